//! Headers of answers that nothing reads: a server may say more than this version understands.

use std::collections::HashSet;

use headlatch_types::traffic::ServerId;
use http::{HeaderMap, HeaderName};
use serde_json::json;

use super::state::EntryState;
use crate::decisions;

/// Names that are counted each by itself; further ones are counted together.
const MOST_NAMES: usize = 64;

/// What further names are counted as.
const OTHER_NAMES: &str = "other";

/// The names that have been met.
#[derive(Debug, Default)]
pub struct UnreadHeaders {
    names: HashSet<HeaderName>,
}

impl UnreadHeaders {
    /// Takes in a name; tells whether it is new, and none once too many have been met.
    fn note(&mut self, name: &HeaderName) -> Option<bool> {
        if self.names.contains(name) {
            return Some(false);
        }
        (self.names.len() < MOST_NAMES).then(|| self.names.insert(name.clone()))
    }
}

impl EntryState {
    /// Counts the headers of an answer of `server` that nothing reads, and writes each name down once.
    pub fn note_unread_headers(&self, server: &ServerId, headers: &HeaderMap) {
        for name in self.headers.unread_in_answer(headers) {
            let noted = self.unread_headers().note(&name);
            let label = noted.map_or(OTHER_NAMES, |_| name.as_str());
            self.metrics.count_unread_header(label);
            if noted == Some(true) {
                let fields = json!({ "header": name.as_str(), "server": server });
                decisions::warn("answers", "unread_header", fields);
            }
        }
    }
}
