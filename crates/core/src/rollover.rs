//! Whose turn it is to change from one set of weights to another.
//!
//! Replicas of a model in one domain change in the order of their ranks, a few at a time, so that
//! as many as the fleet file asks for keep serving. Each box decides alone from what it has heard.
//! What it hears may be old, but "serves the new set" is never taken back by age, so an old
//! report can only make a box wait longer.

/// What is known of one replica of the same model in the same domain.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReplicaView {
    /// Its rank, from 0.
    pub rank: u32,
    /// Whether it serves the set that is wanted now.
    pub serves_wanted: bool,
    /// Whether it serves any set of this model.
    pub serves: bool,
}

/// Whether the replica of `rank` may stop serving its old set now, out of `replicas` of which
/// `kept` must go on serving.
///
/// Of the replicas before it in rank all but a batch must serve the wanted set already; the batch
/// is as large as the file allows. Also at least `kept` others must be known to serve at all, so
/// that a domain that has lost boxes does not go below what is asked for by changing versions.
pub fn may_switch(rank: u32, replicas: u32, min_serving: u32, others: &[ReplicaView]) -> bool {
    let batch = replicas.saturating_sub(min_serving).max(1);
    let updated_before =
        others.iter().filter(|other| other.rank < rank && other.serves_wanted).count() as u32;
    let in_turn = rank < updated_before + batch;
    let serving = others.iter().filter(|other| other.serves).count() as u32;
    in_turn && serving >= min_serving
}
