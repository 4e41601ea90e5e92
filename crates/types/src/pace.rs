//! The pace of a server: how much slower it is than its configured figures.

use std::{fmt, str::FromStr};

/// Hundredths in a factor of 1.
const SCALE: u32 = 100;

/// Smallest accepted pace, in hundredths.
const MIN_HUNDREDTHS: u32 = 10;

/// Largest accepted pace, in hundredths.
const MAX_HUNDREDTHS: u32 = 10_000;

/// Factor by which a server is slower than configured, from 0.1 to 100 to a hundredth, written like
/// `2.50`. Below 1 the server is faster than configured.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ServerPace(u32);

/// A value that is not a pace.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{0} is not a pace; a pace is a number from 0.1 to 100, such as 2.50")]
pub struct PaceError(String);

impl PaceError {
    /// An error about `value`, which is shown up to a length of 32 characters.
    pub fn new(value: &str) -> Self {
        Self(value.chars().take(32).collect())
    }
}

impl ServerPace {
    /// The pace of a server that is as fast as configured.
    pub const NOMINAL: Self = Self(SCALE);

    /// The factor in hundredths, as sent in notices.
    pub const fn hundredths(self) -> u32 {
        self.0
    }

    /// A pace from hundredths.
    ///
    /// # Errors
    ///
    /// The pace is not within 0.1 to 100.
    pub fn from_hundredths(hundredths: u32) -> Result<Self, PaceError> {
        match (MIN_HUNDREDTHS..=MAX_HUNDREDTHS).contains(&hundredths) {
            true => Ok(Self(hundredths)),
            false => Err(PaceError(format!("{hundredths} hundredths"))),
        }
    }

    /// The factor.
    pub fn factor(self) -> f64 {
        f64::from(self.0) / f64::from(SCALE)
    }
}

impl TryFrom<f64> for ServerPace {
    type Error = PaceError;

    /// Rounds to a hundredth.
    fn try_from(factor: f64) -> Result<Self, PaceError> {
        let least = f64::from(MIN_HUNDREDTHS) / f64::from(SCALE);
        let most = f64::from(MAX_HUNDREDTHS) / f64::from(SCALE);
        match (least..=most).contains(&factor) {
            true => Ok(Self((factor * f64::from(SCALE)).round() as u32)),
            false => Err(PaceError::new(&factor.to_string())),
        }
    }
}

impl fmt::Display for ServerPace {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.2}", self.factor())
    }
}

impl FromStr for ServerPace {
    type Err = PaceError;

    fn from_str(text: &str) -> Result<Self, PaceError> {
        let factor: f64 = text.trim().parse().map_err(|_| PaceError::new(text))?;
        Self::try_from(factor)
    }
}
