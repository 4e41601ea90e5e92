//! Which engine box runs which model.
//!
//! Every agent works the placement out by itself from the fleet file and the list of boxes; the
//! weighing against a holder of a lease stands in `docs/decisions/0004-placement.md`.

use std::collections::{BTreeMap, BTreeSet};

use headlatch_types::{
    FleetPlan,
    digest::key_of,
    fleet::ModelPlan,
    id::{BoxId, DomainId},
};

use crate::hash::score;

/// A box whose endpoint is a model engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineBox {
    /// The box.
    pub id: BoxId,
    /// Its failure domain.
    pub domain: DomainId,
}

/// Box to the index of its model in the fleet file, with the box's rank among the replicas.
pub type Placement = BTreeMap<BoxId, PlacedReplica>;

/// The place of one replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlacedReplica {
    /// Index in [`FleetPlan::models`].
    pub model: usize,
    /// Rank among the model's replicas in this domain, from 0.
    pub rank: u32,
}

/// Places every model; a domain with too few boxes runs fewer replicas.
///
/// Models take their boxes in the order of the file. Within a domain each model ranks the boxes
/// that are left by rendezvous hashing on its name, so that a new version stays where the old one
/// runs, and a box that comes or goes moves few others.
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
