//! Recognition of repeated requests.

use std::{fmt, num::ParseIntError, str::FromStr};

use crate::digest::key_of;

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

/// A part of a prompt, by the id that callers give it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PromptPart(pub u128);

impl fmt::Display for PromptPart {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}", self.0)
    }
}

impl FromStr for PromptPart {
    type Err = ParseIntError;

    /// Reads hexadecimal digits in either case; leading zeros do not distinguish parts.
    fn from_str(text: &str) -> Result<Self, ParseIntError> {
        u128::from_str_radix(text, 16).map(Self)
    }
}

/// The parts of a request's prompt that other requests may have as well.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct SharedParts {
    /// The parts, each once, in their order in the prompt.
    pub parts: Vec<PromptPart>,
    /// Number of listed parts that could not be read, or that exceed [`MAX_SHARED_PARTS`].
    pub unread: usize,
}

/// Maximum number of shared parts that are read of one request.
pub const MAX_SHARED_PARTS: usize = 64;

impl SharedParts {
    /// Ids of the parts, for logs.
    pub fn ids(&self) -> Vec<String> {
        self.parts.iter().map(PromptPart::to_string).collect()
    }

    /// Adds a listed part; `None` stands for one that could not be read.
    pub fn push(&mut self, part: Option<PromptPart>) {
        match part {
            Some(part) if self.parts.contains(&part) => {}
            Some(part) if self.parts.len() < MAX_SHARED_PARTS => self.parts.push(part),
            _ => self.unread += 1,
        }
    }
}

/// A prompt part of one model: 64 bits of BLAKE3 over the model's name and the part. Callers and routes
/// are not distinguished, since what a part does to a server does not depend on them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PartKey(pub u64);

impl PartKey {
    /// The key of `part` in prompts of `model`.
    pub fn of(model: Option<&str>, part: PromptPart) -> Self {
        let model = model.unwrap_or_default().as_bytes();
        Self(key_of(&[&part.0.to_le_bytes()[..], model].concat()))
    }
}

/// Prefix of the text form of a [`PartKey`]. Releases that know digests alone do not take it for one.
const PART_PREFIX: &str = "part-";

impl fmt::Display for PartKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{PART_PREFIX}{:016x}", self.0)
    }
}

/// What requests are refused for while it is quarantined.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum QuarantineKey {
    /// Requests of this content.
    Request(RequestDigest),
    /// Requests with this part in their prompts.
    Part(PartKey),
}

impl fmt::Display for QuarantineKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Request(digest) => digest.fmt(f),
            Self::Part(part) => part.fmt(f),
        }
    }
}

impl FromStr for QuarantineKey {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, ParseIntError> {
        match text.strip_prefix(PART_PREFIX) {
            Some(key) => u64::from_str_radix(key, 16).map(PartKey).map(Self::Part),
            None => text.parse().map(Self::Request),
        }
    }
}
