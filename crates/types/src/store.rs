//! Positions in the history of a store.
//!
//! A store may come back from an older copy of itself: its revisions go back and are given out again, and its
//! era rises. A bare revision then says nothing about which of two states is newer, so that a position always
//! includes the era and is ordered by it first.

use std::{fmt, num::ParseIntError, str::FromStr};

use serde::{Deserialize, Serialize};

/// Number of times that a store has come back from an older copy of itself; zero if it never reported one.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct StoreEra(u16);

impl StoreEra {
    /// Creates an era.
    pub const fn new(number: u16) -> Self {
        Self(number)
    }

    /// The number of the era.
    pub const fn number(self) -> u16 {
        self.0
    }

    /// The position before every change of this era.
    pub const fn start(self) -> StoreRevision {
        StoreRevision((self.0 as u64) << StoreRevision::NUMBER_BITS)
    }
}

impl fmt::Display for StoreEra {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for StoreEra {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.trim().parse().map(Self)
    }
}

/// Position in the history of a store, ordered by era first and by the store's own revision second.
///
/// On the wire it is one number with the era in its upper 16 bits, so that processes of an earlier release,
/// which know no eras, order positions in the same way.
#[derive(Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct StoreRevision(u64);

/// A revision that is too large to be combined with an era.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("revision {0} exceeds {max}", max = StoreRevision::MAX_NUMBER)]
pub struct RevisionRangeError(u64);

impl StoreRevision {
    const NUMBER_BITS: u32 = 48;

    /// Largest revision within an era.
    pub const MAX_NUMBER: u64 = (1 << Self::NUMBER_BITS) - 1;

    /// Combines the era of a response with a revision in it.
    pub const fn new(era: StoreEra, number: u64) -> Result<Self, RevisionRangeError> {
        match number <= Self::MAX_NUMBER {
            true => Ok(Self(era.start().0 | number)),
            false => Err(RevisionRangeError(number)),
        }
    }

    /// Decodes a position as it is sent between processes.
    pub const fn from_wire(encoded: u64) -> Self {
        Self(encoded)
    }

    /// Encodes the position for other processes.
    pub const fn to_wire(self) -> u64 {
        self.0
    }

    /// The era.
    pub const fn era(self) -> StoreEra {
        StoreEra((self.0 >> Self::NUMBER_BITS) as u16)
    }

    /// The store's own revision within the era.
    pub const fn number(self) -> u64 {
        self.0 & Self::MAX_NUMBER
    }
}

impl fmt::Display for StoreRevision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}", self.number(), self.era())
    }
}

impl fmt::Debug for StoreRevision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "StoreRevision({self})")
    }
}
