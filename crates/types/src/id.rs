//! Checked names of boxes, domains, models and other identified items.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};

/// Longest name accepted, in bytes.
pub const MAX_NAME_BYTES: usize = 64;

/// A name that does not follow the rules for names.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error(
    "\"{0}\" is not a name; use 1 to 64 letters, digits, '.', '_' or '-', beginning with a letter or digit"
)]
pub struct NameError(String);

fn check_name(text: &str) -> Result<(), NameError> {
    let plain = |c: char| c.is_ascii_alphanumeric() || matches!(c, '.' | '_' | '-');
    let starts_well = text.starts_with(|c: char| c.is_ascii_alphanumeric());
    if starts_well && text.len() <= MAX_NAME_BYTES && text.chars().all(plain) {
        return Ok(());
    }
    Err(NameError(text.chars().take(MAX_NAME_BYTES).collect()))
}

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(String);

        impl $name {
            /// The name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl FromStr for $name {
            type Err = NameError;
            fn from_str(text: &str) -> Result<Self, NameError> {
                check_name(text).map(|()| Self(text.to_owned()))
            }
        }

        impl TryFrom<String> for $name {
            type Error = NameError;
            fn try_from(text: String) -> Result<Self, NameError> {
                text.parse()
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> String {
                name.0
            }
        }
    };
}

name_type!(
    /// One box: an entry box or an endpoint box.
    BoxId
);
name_type!(
    /// One failure domain.
    DomainId
);
name_type!(
    /// One region, which holds one or more failure domains.
    RegionId
);
name_type!(
    /// One model, as callers name it.
    ModelName
);
name_type!(
    /// One version of a model or adapter.
    VersionName
);
name_type!(
    /// One adapter on a model.
    AdapterName
);
name_type!(
    /// One plain service.
    ServiceName
);
name_type!(
    /// One organisation whose callers share limits.
    OrganisationName
);
name_type!(
    /// One request, unique across entries.
    RequestId
);
name_type!(
    /// One attempt to apply a fleet file.
    ApplyId
);

impl BoxId {
    /// A 64-bit hash of the id, the same in every process.
    pub fn key(&self) -> u64 {
        crate::digest::key_of(self.as_str().as_bytes())
    }
}

impl DomainId {
    /// A 64-bit hash of the id, the same in every process.
    pub fn key(&self) -> u64 {
        crate::digest::key_of(self.as_str().as_bytes())
    }
}
