//! What tells that the same request comes again.

use std::{fmt, num::ParseIntError, str::FromStr};

/// A digest of a request's content: 64 bits of BLAKE3, enough to tell apart what one caller sends. The
/// caller is part of it, so that nobody's content can stand for another caller's.
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
