//! What a burst came to.

use serde::Serialize;

/// Figures of one burst, one line of JSON.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct BurstReport {
    /// Boxes at the start and joined since.
    pub boxes: u32,
    /// Time until every living box served the version wanted last, in seconds.
    pub seconds_to_n: f64,
    /// Shortest time possible, in seconds.
    pub bound_seconds: f64,
    /// The one over the other.
    pub time_ratio: f64,
    /// Bytes sent by the origin, in copies.
    pub origin_copies: f64,
    /// Part of the chunks that no living box held when the origin's outage ended.
    pub missing_after_outage: f64,
    /// Bytes sent by the store, in copies.
    pub store_copies: f64,
    /// Bytes that boxes of other domains sent into the domain that received most, in copies.
    pub cross_domain_copies: f64,
    /// Bytes that boxes of other regions sent into the region that received most, in copies.
    pub cross_region_copies: f64,
    /// Chunks that came although the box had them, or came corrupt.
    pub chunks_refetched: u64,
    /// Corrupt chunks that a box took for good.
    pub corrupt_accepted: u64,
    /// Boxes that served from weights that were not one whole version.
    pub mixed_served: u64,
    /// Living boxes that did not serve at the end.
    pub unfinished: u64,
    /// Bytes of notes and requests a box sent, a second of the burst.
    pub control_bytes_per_box_second: f64,
    /// Largest memory that one planner's state took, in bytes, without the chunks.
    pub agent_peak_bytes: u64,
    /// Time the run took, in seconds; left out of comparisons.
    pub wall_seconds: f64,
}

impl BurstReport {
    /// The report without what differs from run to run.
    pub fn steady(&self) -> Self {
        Self { wall_seconds: 0.0, ..self.clone() }
    }
}
