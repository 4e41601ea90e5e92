//! Clock-independent time for the decision logic.

use std::{
    fmt,
    ops::{Add, Sub},
    time::Duration,
};

/// Point in time, in microseconds since an origin chosen by the caller.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Moment(u64);

impl Moment {
    /// Origin of the time scale.
    pub const ZERO: Self = Self(0);

    /// Creates the moment `micros` microseconds after the origin.
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// Returns the microseconds since the origin.
    pub const fn micros(self) -> u64 {
        self.0
    }

    /// Returns the seconds since the origin.
    pub fn seconds(self) -> f64 {
        self.0 as f64 / 1e6
    }

    /// Returns the time since `earlier`, or zero if `earlier` is later than this moment.
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
