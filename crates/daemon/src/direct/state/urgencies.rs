//! Urgencies of requests under the plan in force.

use std::collections::BTreeMap;

use headlatch_core::direct::admission::urgency::{ServiceUrgencies, UrgencyRank};
use serde_json::json;

use super::EntryState;
use crate::decisions;

impl EntryState {
    /// Applies the urgencies of the plan in force to load shedding and logs them.
    pub(super) fn apply_urgencies(&self) {
        // The plan is read with the lock held, so that a newer one is never overwritten.
        let mut shedder = self.shedder();
        let Some(routes) = self.routes() else { return };
        shedder.set_urgencies(routes.urgencies().clone());
        drop(shedder);
        let services = logged_ranks(routes.urgencies());
        let fields = json!({ "version": routes.plan().version, "services": services });
        decisions::info("plan", "urgency", fields);
    }
}

/// The urgencies of each rank by service, a range for a rank that several share, for
/// logs; at most ten ranks a service.
fn logged_ranks(urgencies: &ServiceUrgencies) -> BTreeMap<&str, Vec<String>> {
    let ranks = urgencies.iter().map(|(service, ranks)| {
        let levels = ranks.levels();
        let shared = usize::from(UrgencyRank::MAX.value());
        let mut texts: Vec<String> = levels.iter().take(shared).map(ToString::to_string).collect();
        texts.extend(match levels.get(shared..) {
            Some([first, .., last]) => Some(format!("{first} to {last}")),
            Some([only]) => Some(only.to_string()),
            _ => None,
        });
        (service, texts)
    });
    ranks.collect()
}
