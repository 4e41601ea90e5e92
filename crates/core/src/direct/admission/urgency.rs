//! Urgency of requests relative to the other requests of their service.

use std::fmt;

/// Rank of a request among the urgencies of its service; 0 is the most urgent.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct UrgencyRank(u8);

impl UrgencyRank {
    /// The least urgent rank.
    pub const MAX: Self = Self(9);

    /// The rank at `index`; all indices past [`Self::MAX`] share that rank.
    pub fn new(index: usize) -> Self {
        u8::try_from(index).map_or(Self::MAX, |rank| Self(rank).min(Self::MAX))
    }

    /// The rank as a number from 0 to 9.
    pub fn value(self) -> u8 {
        self.0
    }
}

impl fmt::Display for UrgencyRank {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.0)
    }
}
