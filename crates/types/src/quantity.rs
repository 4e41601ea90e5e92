//! Sizes, rates, revisions and fencing tokens.

use std::{fmt, str::FromStr, time::Duration};

use serde::{Deserialize, Serialize};

const UNITS: [(&str, u64); 4] = [("GiB", 1 << 30), ("MiB", 1 << 20), ("KiB", 1 << 10), ("B", 1)];

/// Text that is not a size or rate.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("\"{text}\" is not a {what}; write {form}, such as \"{example}\"")]
pub struct QuantityError {
    text: String,
    what: &'static str,
    form: &'static str,
    example: &'static str,
}

fn write_bytes(bytes: u64, f: &mut fmt::Formatter<'_>) -> fmt::Result {
    let fits = |unit: &&(&str, u64)| bytes >= unit.1 && bytes.is_multiple_of(unit.1);
    let (name, factor) = UNITS.iter().find(fits).unwrap_or(&("B", 1));
    write!(f, "{}{name}", bytes / factor)
}

fn parse_bytes(text: &str) -> Option<u64> {
    let (name, factor) = UNITS.iter().find(|(name, _)| text.ends_with(name))?;
    let digits = text.strip_suffix(name)?.trim_end();
    digits.parse::<u64>().ok()?.checked_mul(*factor)
}

macro_rules! string_serde {
    ($name:ident, $error:ty) => {
        impl TryFrom<String> for $name {
            type Error = $error;
            fn try_from(text: String) -> Result<Self, $error> {
                text.parse()
            }
        }

        impl From<$name> for String {
            fn from(value: $name) -> String {
                value.to_string()
            }
        }
    };
}

/// A number of bytes, written like `64MiB`.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(try_from = "String", into = "String")]
pub struct ByteSize(u64);

impl ByteSize {
    /// A size of `bytes` bytes.
    pub const fn from_bytes(bytes: u64) -> Self {
        Self(bytes)
    }

    /// A size of `mib` times 2^20 bytes.
    pub const fn from_mib(mib: u64) -> Self {
        Self(mib << 20)
    }

    /// The number of bytes.
    pub const fn bytes(self) -> u64 {
        self.0
    }
}

impl fmt::Display for ByteSize {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write_bytes(self.0, f)
    }
}

impl FromStr for ByteSize {
    type Err = QuantityError;
    fn from_str(text: &str) -> Result<Self, QuantityError> {
        parse_bytes(text).map(Self).ok_or_else(|| QuantityError {
            text: text.to_owned(),
            what: "size",
            form: "a whole number and a unit",
            example: "64MiB",
        })
    }
}

string_serde!(ByteSize, QuantityError);

/// A number of bytes a second, written like `10MiB/s` or `7.3Mbit/s`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct ByteRate(u64);

impl ByteRate {
    /// A rate of `bytes` bytes a second; 0 is raised to 1, so that the time of a transfer is finite.
    pub const fn from_bytes_per_second(bytes: u64) -> Self {
        Self(if bytes == 0 { 1 } else { bytes })
    }

    /// Bytes a second.
    pub const fn bytes_per_second(self) -> u64 {
        self.0
    }

    /// The time that `size` takes at this rate.
    pub fn time_for(self, size: ByteSize) -> Duration {
        Duration::from_secs_f64(size.bytes() as f64 / self.0 as f64)
    }
}

impl fmt::Display for ByteRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write_bytes(self.0, f)?;
        f.write_str("/s")
    }
}

/// Converts a rate in Mbit/s to bytes a second.
fn parse_megabits(text: &str) -> Option<u64> {
    let megabits: f64 = text.trim().parse().ok()?;
    (megabits.is_finite() && megabits > 0.0).then_some((megabits * 125_000.0) as u64)
}

impl FromStr for ByteRate {
    type Err = QuantityError;
    fn from_str(text: &str) -> Result<Self, QuantityError> {
        let bytes = match text.strip_suffix("Mbit/s") {
            Some(megabits) => parse_megabits(megabits),
            None => text.strip_suffix("/s").and_then(parse_bytes),
        };
        let bytes = bytes.filter(|bytes| *bytes > 0);
        bytes.map(Self).ok_or_else(|| QuantityError {
            text: text.to_owned(),
            what: "rate",
            form: "a whole number and a unit",
            example: "10MiB/s",
        })
    }
}

string_serde!(ByteRate, QuantityError);

/// Requests a second, to a thousandth of one, written like `1.2`.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(try_from = "String", into = "String")]
pub struct RequestRate(u64);

impl RequestRate {
    /// A rate of `milli` thousandths of a request a second.
    pub const fn from_milli(milli: u64) -> Self {
        Self(milli)
    }

    /// Thousandths of a request a second.
    pub const fn milli(self) -> u64 {
        self.0
    }

    /// Requests a second.
    pub fn per_second(self) -> f64 {
        self.0 as f64 / 1000.0
    }
}

impl fmt::Display for RequestRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.per_second())
    }
}

impl FromStr for RequestRate {
    type Err = QuantityError;
    fn from_str(text: &str) -> Result<Self, QuantityError> {
        let rate: Option<f64> = text.trim().parse().ok();
        let rate = rate.filter(|rate| rate.is_finite() && *rate >= 0.0);
        // Rounded down, so that a limit is never exceeded.
        rate.map(|rate| Self((rate * 1000.0) as u64)).ok_or_else(|| QuantityError {
            text: text.to_owned(),
            what: "number of requests a second",
            form: "a decimal number that is not negative",
            example: "1.2",
        })
    }
}

string_serde!(RequestRate, QuantityError);

/// Text that is not a whole number where one is due.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("\"{0}\" is not a whole number")]
pub struct NumberError(String);

macro_rules! number_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize,
            Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(u64);

        impl $name {
            /// Wraps the number.
            pub const fn new(number: u64) -> Self {
                Self(number)
            }

            /// The number.
            pub const fn number(self) -> u64 {
                self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{}", self.0)
            }
        }

        impl FromStr for $name {
            type Err = NumberError;
            fn from_str(text: &str) -> Result<Self, NumberError> {
                text.parse().map(Self).map_err(|_| NumberError(text.to_owned()))
            }
        }
    };
}

number_type!(
    /// A revision of the fleet file, as the platform numbers it; 0 is none.
    ConfigRevision
);
number_type!(
    /// A token that increases with every new process that takes over control of an endpoint.
    FencingToken
);
