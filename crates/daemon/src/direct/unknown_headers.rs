//! Unknown headers in responses of servers, which may carry signals that this version does not
//! support.

use std::collections::HashSet;

use headlatch_types::traffic::ServerId;
use http::{HeaderMap, HeaderName};
use serde_json::json;

use super::state::EntryState;
use crate::decisions;

/// Maximum number of header names that get a label of their own.
const MAX_NAMES: usize = 64;

/// Label of all further names.
const OTHER_NAMES: &str = "other";

/// Header names seen so far.
#[derive(Debug, Default)]
pub struct UnknownHeaders {
    names: HashSet<HeaderName>,
}

impl UnknownHeaders {
    /// Records a name and returns whether it is new; `None` if the maximum number of names is
    /// reached.
    fn note(&mut self, name: &HeaderName) -> Option<bool> {
        if self.names.contains(name) {
            return Some(false);
        }
        (self.names.len() < MAX_NAMES).then(|| self.names.insert(name.clone()))
    }
}

impl EntryState {
    /// Counts the unknown headers of a response and logs each name once.
    pub fn record_unknown_headers(&self, server: &ServerId, headers: &HeaderMap) {
        for name in self.headers.unknown_response_headers(headers) {
            let noted = self.unknown_headers().note(&name);
            let label = noted.map_or(OTHER_NAMES, |_| name.as_str());
            self.metrics.count_unknown_header(label);
            if noted == Some(true) {
                let fields = json!({ "header": name.as_str(), "server": server });
                decisions::warn("answers", "unknown_header", fields);
            }
        }
    }
}
