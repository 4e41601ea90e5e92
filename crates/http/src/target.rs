//! The path and query of a call.

use std::fmt::{self, Display};

use percent_encoding::{AsciiSet, NON_ALPHANUMERIC, utf8_percent_encode};

/// The characters that a URL allows unencoded everywhere (RFC 3986, section 2.3) stay; all others have a meaning
/// somewhere in a target, or none.
const ENCODED: &AsciiSet = &NON_ALPHANUMERIC.remove(b'-').remove(b'.').remove(b'_').remove(b'~');

/// Length of the longest target that can be sent, in bytes: that of the `http` crate.
const MAX_BYTES: usize = u16::MAX as usize - 1;

/// Path and query of a call. It consists of fixed text and of percent-encoded values, so that the server reads every
/// value as it is here, whatever it contains.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallTarget {
    text: String,
    has_query: bool,
}

impl CallTarget {
    /// The target `path`, without a query.
    pub fn new(path: &'static str) -> Self {
        Self { text: path.to_owned(), has_query: false }
    }

    /// Appends a segment to the path, before any parameter.
    pub fn segment(mut self, value: impl Display) -> Self {
        debug_assert!(!self.has_query, "a segment follows a parameter");
        self.text.push('/');
        self.push_encoded(&value);
        self
    }

    /// Appends a parameter to the query.
    pub fn parameter(mut self, name: &'static str, value: impl Display) -> Self {
        self.text.push(if self.has_query { '&' } else { '?' });
        self.has_query = true;
        self.text.push_str(name);
        self.text.push('=');
        self.push_encoded(&value);
        self
    }

    fn push_encoded(&mut self, value: &impl Display) {
        self.text.extend(utf8_percent_encode(&value.to_string(), ENCODED));
    }

    /// Whether it is too long to be sent.
    pub fn is_too_long(&self) -> bool {
        self.text.len() > MAX_BYTES
    }

    /// The target as it is sent.
    pub fn as_str(&self) -> &str {
        &self.text
    }
}

impl Display for CallTarget {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.text)
    }
}

impl From<&'static str> for CallTarget {
    fn from(path: &'static str) -> Self {
        Self::new(path)
    }
}
