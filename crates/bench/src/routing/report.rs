//! What a run of the routing bench came to.

use serde::Serialize;

/// Figures of one run, of requests that came after the warm-up.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct RoutingReport {
    /// Requests that came.
    pub offered: u64,
    /// Whole answers.
    pub whole: u64,
    /// Refused, and not run.
    pub not_run: u64,
    /// Ended without an answer, and may have run.
    pub may_have_run: u64,
    /// Without any end.
    pub lost: u64,
    /// Answers to another request.
    pub crossed: u64,
    /// Requests that must run once and ran twice.
    pub doubled: u64,
    /// Requests said not to have run that did.
    pub false_not_run: u64,
    /// Attempts beyond the first.
    pub retries: u64,
    /// Time to the first token for 95 in 100, in milliseconds.
    pub p95_first_token_ms: f64,
    /// Time between tokens for 95 in 100, in milliseconds.
    pub p95_between_tokens_ms: f64,
    /// Load of the fullest endpoint over the mean, sampled each second, mean over the run.
    pub max_over_mean_load: f64,
    /// Whole answers over what the endpoints could give.
    pub whole_over_capacity: f64,
    /// What the worst-off organisation got over its fair share.
    pub smallest_share_ratio: f64,
    /// Longest time after the fault in which more than 1 % of arrivals failed, in seconds.
    pub settled_seconds: f64,
    /// Time the run took, in seconds.
    pub wall_seconds: f64,
}
