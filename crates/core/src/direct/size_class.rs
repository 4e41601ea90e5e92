//! Ranks a request's size among recent sizes of its kind.
//!
//! Fixed bounds in bytes or tokens would be meaningless: what is large for one route is usual for
//! another.

use std::{
    collections::{HashMap, VecDeque},
    fmt,
    sync::Arc,
};

use headlatch_types::quantity::ByteSize;

/// Number of sizes remembered per kind: 10 s of a busy entry, and enough for more than a dozen in
/// the largest tenth.
const SIZES_PER_KIND: usize = 256;

/// Maximum number of kinds, so that short-lived routes do not accumulate: 2 MiB of sizes.
const MAX_KINDS: usize = 1024;

/// A size is in the largest tenth if a smaller share of its kind than this is larger.
const LARGEST_TENTH: f64 = 0.1;

/// The same bound for the fifth below the largest tenth.
const NEXT_FIFTH: f64 = 0.3;

/// The same bound for the upper half.
const UPPER_HALF: f64 = 0.5;

/// Position of a size within its kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum SizeClass {
    /// Half of the requests are larger.
    LowerHalf,
    /// The fifth above the lower half.
    UpperHalf,
    /// The fifth below the largest tenth.
    NextFifth,
    /// The largest tenth.
    LargestTenth,
}

impl SizeClass {
    /// All classes, from small to large.
    pub const ALL: [Self; 4] =
        [Self::LowerHalf, Self::UpperHalf, Self::NextFifth, Self::LargestTenth];

    /// The class of a size, given the share of its kind that is larger, from 0 to 1.
    pub fn from_share_above(larger: f64) -> Self {
        match larger {
            share if share < LARGEST_TENTH => Self::LargestTenth,
            share if share < NEXT_FIFTH => Self::NextFifth,
            share if share < UPPER_HALF => Self::UpperHalf,
            _ => Self::LowerHalf,
        }
    }

    /// The name in metrics and tables.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::LowerHalf => "lower_half",
            Self::UpperHalf => "upper_half",
            Self::NextFifth => "next_fifth",
            Self::LargestTenth => "largest_tenth",
        }
    }
}

impl fmt::Display for SizeClass {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// Recent request sizes by kind.
#[derive(Debug, Default)]
pub struct SizeRanks {
    kinds: HashMap<Arc<str>, VecDeque<ByteSize>>,
}

impl SizeRanks {
    /// Records a request's size and returns its class within its kind.
    pub fn record(&mut self, kind: &Arc<str>, size: ByteSize) -> SizeClass {
        if self.kinds.len() >= MAX_KINDS && !self.kinds.contains_key(kind) {
            self.kinds.clear();
        }
        let sizes = self.kinds.entry(kind.clone()).or_default();
        if sizes.len() == SIZES_PER_KIND {
            sizes.pop_front();
        }
        sizes.push_back(size);
        let larger = sizes.iter().filter(|other| **other > size).count() as f64;
        // Half of the other requests of equal size count as larger; `sizes` includes the request
        // itself.
        let equal = sizes.iter().filter(|other| **other == size).count() as f64 - 1.0;
        SizeClass::from_share_above((larger + equal / 2.0) / sizes.len() as f64)
    }
}
