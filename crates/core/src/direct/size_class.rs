//! Where the size of a request stands among the sizes of its kind.
//!
//! Bounds in bytes or tokens would say nothing: what is large for one route is usual for another.

use std::{
    collections::{HashMap, VecDeque},
    fmt,
    sync::Arc,
};

use headlatch_types::quantity::ByteSize;

/// Sizes of a kind that are remembered: 10 s of a busy entry, and enough that the largest tenth holds
/// a dozen and more.
const SIZES_PER_KIND: usize = 256;

/// Kinds that are remembered, so that routes which come and go do not add up: 2 MiB of sizes.
const MAX_KINDS: usize = 1024;

/// Part of a kind whose requests are larger than one of the largest tenth.
const LARGEST_TENTH: f64 = 0.1;

/// The same for the fifth below that.
const NEXT_FIFTH: f64 = 0.3;

/// The same for the half of the larger ones.
const UPPER_HALF: f64 = 0.5;

/// Where a size stands within its kind.
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
    /// All of them, from small to large.
    pub const ALL: [Self; 4] =
        [Self::LowerHalf, Self::UpperHalf, Self::NextFifth, Self::LargestTenth];

    /// The class of a size above which `larger` of its kind stand, from 0 to 1.
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

/// The sizes seen lately, by kind of request.
#[derive(Debug, Default)]
pub struct SizeRanks {
    kinds: HashMap<Arc<str>, VecDeque<ByteSize>>,
}

impl SizeRanks {
    /// Takes in a request's size and tells where it stands within its kind.
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
        // Itself is one of the equals: half of the others that are as large count as larger.
        let equal = sizes.iter().filter(|other| **other == size).count() as f64 - 1.0;
        SizeClass::from_share_above((larger + equal / 2.0) / sizes.len() as f64)
    }
}
