//! Rolling switch of replicas from one set of weights to another.
//!
//! The replicas of a model in one failure domain switch in batches, in the order of their ranks, so
//! that the number required by the fleet file keeps serving. Each box decides on its own from
//! gossip. Its view may be outdated, but a report that a replica serves the new set stays valid
//! with age, so that an outdated view can only make a box wait longer.

/// Known state of another replica of the same model in the same failure domain.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReplicaView {
    /// Rank of the replica, from 0.
    pub rank: u32,
    /// Whether the replica serves the target set.
    pub serves_target: bool,
    /// Whether the replica serves any set of the model.
    pub serves: bool,
}

/// Returns whether the replica with `rank` may stop serving its old set now, where `min_serving` of
/// `replicas` must keep serving.
///
/// All replicas of lower rank, except for one batch, must already serve the target set. A batch has
/// `replicas - min_serving` replicas, and at least one. In addition at least `min_serving` other
/// replicas must be known to serve, so that a switch in a domain that has lost boxes does not
/// reduce it below the required number.
pub fn may_switch(rank: u32, replicas: u32, min_serving: u32, others: &[ReplicaView]) -> bool {
    let batch = replicas.saturating_sub(min_serving).max(1);
    let updated_before =
        others.iter().filter(|other| other.rank < rank && other.serves_target).count() as u32;
    let in_turn = rank < updated_before + batch;
    let serving = others.iter().filter(|other| other.serves).count() as u32;
    in_turn && serving >= min_serving
}
