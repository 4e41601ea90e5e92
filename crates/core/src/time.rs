//! Time as the decision logic sees it.

use std::{
    fmt,
    ops::{Add, Sub},
    time::Duration,
};

/// A moment, in microseconds since an origin that its owner chose.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Moment(u64);

impl Moment {
    /// The origin.
    pub const ZERO: Self = Self(0);

    /// The moment `micros` microseconds after the origin.
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// Microseconds since the origin.
    pub const fn micros(self) -> u64 {
        self.0
    }

    /// Seconds since the origin.
    pub fn seconds(self) -> f64 {
        self.0 as f64 / 1e6
    }

    /// Time since `earlier`; zero if that is later.
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Moment {
    type Output = Self;
    fn add(self, duration: Duration) -> Self {
        Self(self.0.saturating_add(duration.as_micros() as u64))
    }
}

impl Sub<Duration> for Moment {
    type Output = Self;
    fn sub(self, duration: Duration) -> Self {
        Self(self.0.saturating_sub(duration.as_micros() as u64))
    }
}

impl fmt::Display for Moment {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.3}s", self.seconds())
    }
}
