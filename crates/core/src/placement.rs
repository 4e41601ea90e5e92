//! Placement of models on engine boxes.
//!
//! Every agent computes the placement on its own from the fleet file and the list of boxes.
//! `docs/decisions/0004-placement.md` compares this with a leader that holds a lease.

use std::collections::{BTreeMap, BTreeSet};

use headlatch_types::{
    FleetPlan,
    digest::key_of,
    fleet::ModelPlan,
    id::{BoxId, DomainId},
};

use crate::hash::score;

/// Box whose endpoint is a model engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineBox {
    /// Id of the box.
    pub id: BoxId,
    /// Failure domain of the box.
    pub domain: DomainId,
}

/// Replica placed on each box.
pub type Placement = BTreeMap<BoxId, PlacedReplica>;

/// Replica of a model on a box.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlacedReplica {
    /// Index of the model in [`FleetPlan::models`].
    pub model: usize,
    /// Rank among the model's replicas in the failure domain, from 0.
    pub rank: u32,
}

/// Places every model. A failure domain with too few boxes runs fewer replicas.
///
/// Models are placed in the order of the fleet file. Within a domain each model ranks the remaining
/// boxes by rendezvous hashing on its name, so that a new version is placed where the old one runs
/// and adding or removing a box moves few replicas.
pub fn place(plan: &FleetPlan, boxes: &[EngineBox]) -> Placement {
    let mut placement = Placement::new();
    let domains: BTreeSet<&DomainId> = boxes.iter().map(|one| &one.domain).collect();
    for domain in domains {
        let mut free: Vec<&BoxId> =
            boxes.iter().filter(|one| one.domain == *domain).map(|one| &one.id).collect();
        for (index, model) in plan.models.iter().enumerate() {
            let wanted = model.replicas.get(domain).copied().unwrap_or(0) as usize;
            sort_by_score(model, &mut free);
            let taken = free.drain(..wanted.min(free.len()));
            placement.extend(
                taken
                    .zip(0u32..)
                    .map(|(id, rank)| (id.clone(), PlacedReplica { model: index, rank })),
            );
        }
    }
    placement
}

fn sort_by_score(model: &ModelPlan, boxes: &mut [&BoxId]) {
    let subject = key_of(model.name.as_str().as_bytes());
    boxes.sort_by_key(|id| (std::cmp::Reverse(score(subject, id.key())), (*id).clone()));
}
