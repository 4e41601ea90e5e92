//! Unknown headers in responses of servers and unknown fields of facts from the store, which may carry
//! signals that this version does not support.

use std::collections::HashSet;

use headlatch_outside::facts::{FactChange, FactTopic, NamedFact};
use headlatch_types::{reading::FieldPath, traffic::ServerId};
use http::HeaderMap;
use serde_json::json;

use super::{facts::FactUpdate, state::EntryState};
use crate::decisions;

/// Maximum number of names that get a label of their own.
const MAX_NAMES: usize = 64;

/// Label of all further names.
const OTHER_NAMES: &str = "other";

/// Names seen so far.
#[derive(Debug, Default)]
pub struct UnknownNames {
    names: HashSet<String>,
}

/// A name as it is counted.
struct CountedName<'a> {
    /// Value of the metric's label.
    label: &'a str,
    /// Whether the name is to be logged, which happens once.
    is_new: bool,
}

impl UnknownNames {
    fn record<'a>(&mut self, name: &'a str) -> CountedName<'a> {
        if self.names.contains(name) {
            return CountedName { label: name, is_new: false };
        }
        if self.names.len() >= MAX_NAMES {
            return CountedName { label: OTHER_NAMES, is_new: false };
        }
        self.names.insert(name.to_owned());
        CountedName { label: name, is_new: true }
    }
}

impl EntryState {
    /// Counts the unknown headers of a response and logs each name once.
    pub fn record_unknown_headers(&self, server: &ServerId, headers: &HeaderMap) {
        for name in self.headers.unknown_response_headers(headers) {
            let counted = self.unknown_headers().record(name.as_str());
            self.metrics.count_unknown_header(counted.label);
            if counted.is_new {
                let fields = json!({ "header": name.as_str(), "server": server });
                decisions::warn("answers", "unknown_header", fields);
            }
        }
    }

    /// Counts the unknown fields of facts from the store and logs each path once.
    pub fn record_unknown_fields(&self, topic: FactTopic, update: &FactUpdate) {
        let listed: Vec<&NamedFact> = match update {
            FactUpdate::All(list) => list.facts.iter().collect(),
            FactUpdate::Changes(changes) => changes
                .changes
                .iter()
                .filter_map(|change| match change {
                    FactChange::Set(fact) => Some(fact),
                    FactChange::Gone { .. } => None,
                })
                .collect(),
        };
        for fact in listed {
            for path in &fact.unknown_fields {
                self.record_unknown_field(topic, fact, path);
            }
        }
    }

    fn record_unknown_field(&self, topic: FactTopic, fact: &NamedFact, path: &FieldPath) {
        let path = format!("{}.{path}", topic.as_str());
        let counted = self.unknown_fields().record(&path);
        self.metrics.count_unknown_field(counted.label);
        if counted.is_new {
            let fields = json!({ "field": path, "name": fact.name });
            decisions::warn("store", "unknown_field", fields);
        }
    }
}
