//! Unknown headers in responses of servers and unknown fields of JSON input, which may carry signals that this
//! version does not support, and invalid fields of JSON input.

use std::{
    collections::{BTreeSet, HashSet},
    sync::Mutex,
};

use headlatch_outside::facts::FactTopic;
use headlatch_types::{
    reading::{FieldIssues, FieldPath, prefix},
    traffic::ServerId,
};
use http::HeaderMap;
use serde_json::json;

use super::{agent::lock, facts::FactUpdate, state::EntryState};
use crate::{decisions, metrics::NodeMetrics};

/// Maximum number of names that get a label of their own.
const MAX_NAMES: usize = 64;

/// Longest label, in bytes.
const MAX_NAME_BYTES: usize = 256;

/// Label of all further names.
const OTHER_NAMES: &str = "other";

/// Names seen so far.
#[derive(Debug, Default)]
pub struct UnknownNames {
    names: HashSet<String>,
}

/// A name as it is counted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CountedName<'a> {
    /// Value of the metric's label.
    pub label: &'a str,
    /// Whether the name is to be logged, which happens once.
    pub is_new: bool,
}

impl UnknownNames {
    /// Records a name; only the first [`MAX_NAMES`] different names get a label of their own and are logged. Names that
    /// begin with the same [`MAX_NAME_BYTES`] count as one.
    pub fn record<'a>(&mut self, name: &'a str) -> CountedName<'a> {
        let name = prefix(name, MAX_NAME_BYTES);
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

/// JSON input whose fields are counted.
#[derive(Debug, Clone, Copy)]
pub struct FieldSource<'a> {
    /// Part of the decision log.
    pub part: &'a str,
    /// Kind of the input, which precedes the path of its fields.
    pub kind: &'a str,
    /// Name of the object that was read.
    pub name: &'a str,
}

/// Counts fields that are unknown or invalid, and logs each path once.
#[derive(Debug, Default)]
pub struct FieldCounter {
    unknown: Mutex<UnknownNames>,
    invalid: Mutex<UnknownNames>,
}

impl FieldCounter {
    /// Counts and logs the fields of `source` that were not used.
    pub fn record(&self, metrics: &NodeMetrics, source: FieldSource<'_>, issues: &FieldIssues) {
        self.record_unknown(metrics, source, &issues.unknown);
        for path in &issues.invalid {
            record_path(&self.invalid, source, "invalid_field", path, |label| {
                metrics.count_invalid_field(label);
            });
        }
    }

    /// Counts and logs the fields of `source` that are unknown.
    pub fn record_unknown(
        &self,
        metrics: &NodeMetrics,
        source: FieldSource<'_>,
        paths: &BTreeSet<FieldPath>,
    ) {
        for path in paths {
            record_path(&self.unknown, source, "unknown_field", path, |label| {
                metrics.count_unknown_field(label);
            });
        }
    }
}

fn record_path(
    names: &Mutex<UnknownNames>,
    source: FieldSource<'_>,
    event: &str,
    path: &FieldPath,
    count: impl FnOnce(&str),
) {
    let path = format!("{}.{path}", source.kind);
    let counted = lock(names).record(&path);
    count(counted.label);
    if counted.is_new {
        decisions::warn(source.part, event, json!({ "field": path, "name": source.name }));
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

    /// Counts the unknown and invalid fields of facts from the store and logs each path once.
    pub fn record_field_issues(&self, topic: FactTopic, update: &FactUpdate) {
        for fact in update.set() {
            let source = FieldSource { part: "store", kind: topic.as_str(), name: &fact.name };
            self.field_counter.record(&self.metrics, source, &fact.field_issues);
        }
    }
}
