//! Recognition of repeated requests.

use std::{fmt, num::ParseIntError, str::FromStr};

/// A digest of a request's caller and content: 64 bits of BLAKE3, enough to distinguish the requests of one
/// caller. It includes the caller so that requests of different callers never match.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestDigest(pub u64);

impl fmt::Display for RequestDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for RequestDigest {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, ParseIntError> {
        u64::from_str_radix(text, 16).map(Self)
    }
}
