//! Digests of 32 bytes: BLAKE3 for headlatch's own manifests, SHA-256 for weights published with those.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};

/// A digest of 32 bytes, written as 64 hexadecimal digits.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Digest([u8; 32]);

/// Text that is not a digest.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("\"{0}\" is not a digest; give the 64 hexadecimal digits that `headlatch manifest` prints")]
pub struct DigestError(String);

impl Digest {
    /// The digest of `data`.
    pub fn of(data: &[u8]) -> Self {
        Self(*blake3::hash(data).as_bytes())
    }

    /// The SHA-256 digest of `data`, for weights published with SHA-256 digests.
    pub fn sha256(data: &[u8]) -> Self {
        Self(Sha256::digest(data).into())
    }

    /// The 32 bytes.
    pub fn as_bytes(&self) -> &[u8; 32] {
        &self.0
    }

    /// The first 8 bytes as a little-endian number, for use as a hash key.
    pub fn key(&self) -> u64 {
        u64::from_le_bytes(self.0[..8].try_into().expect("a digest has 32 bytes"))
    }

    /// The first 8 hexadecimal digits, for logs and messages.
    pub fn short(&self) -> String {
        self.to_string()[..8].to_owned()
    }
}

/// The hash key of `data`: the first 8 bytes of its BLAKE3 digest.
pub fn key_of(data: &[u8]) -> u64 {
    Digest::of(data).key()
}

impl From<[u8; 32]> for Digest {
    fn from(bytes: [u8; 32]) -> Self {
        Self(bytes)
    }
}

impl TryFrom<&[u8]> for Digest {
    type Error = DigestError;
    fn try_from(bytes: &[u8]) -> Result<Self, DigestError> {
        let bytes = bytes.try_into().map_err(|_| DigestError(format!("{} bytes", bytes.len())))?;
        Ok(Self(bytes))
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Digest({})", self.short())
    }
}

impl FromStr for Digest {
    type Err = DigestError;
    fn from_str(text: &str) -> Result<Self, DigestError> {
        let hash = blake3::Hash::from_hex(text)
            .map_err(|_| DigestError(text.chars().take(64).collect()))?;
        Ok(Self(*hash.as_bytes()))
    }
}

impl TryFrom<String> for Digest {
    type Error = DigestError;
    fn try_from(text: String) -> Result<Self, DigestError> {
        text.parse()
    }
}

impl From<Digest> for String {
    fn from(digest: Digest) -> String {
        digest.to_string()
    }
}

/// Hash function of chunk digests.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub enum DigestKind {
    /// BLAKE3, used by headlatch's own manifests.
    #[default]
    Blake3,
    /// SHA-256.
    Sha256,
}

impl DigestKind {
    /// The digest of `data`.
    pub fn of(self, data: &[u8]) -> Digest {
        match self {
            Self::Blake3 => Digest::of(data),
            Self::Sha256 => Digest::sha256(data),
        }
    }
}
