//! Load shedding of services whose routes all have the same priority: its decisions are pinned, so that the
//! distribution of the shed share by urgency cannot change them.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use googletest::prelude::*;
use headlatch_core::{
    direct::{
        admission::{
            shedding::{EngineHeadroom, LoadShedder, NewRequest, ShedRank},
            urgency::{ServiceUrgencies, UrgencyRank},
        },
        engine_model::EngineLoad,
    },
    time::Moment,
};
use headlatch_types::{
    request::RequestDigest,
    traffic::{AllowedRegions, RequestUrgency},
};

#[path = "support/figures.rs"]
mod figures;
#[path = "support/priorities.rs"]
mod priorities;

use figures::figures;
use priorities::plan;

/// Phases of the scripted load.
const PHASES: u64 = 10;

/// Requests in one phase of the scripted load.
const PHASE_REQUESTS: u64 = 500;

/// Time between two requests, in milliseconds.
const GAP_MS: u64 = 4;

/// Headroom of each phase: load rises to full engines and falls until engines are idle.
fn headroom(phase: u64) -> EngineHeadroom {
    let best =
        |in_flight, waiting_tokens| EngineHeadroom::Best(EngineLoad { in_flight, waiting_tokens });
    match phase {
        0 => best(4, 0),
        1 => best(16, 700),
        2 => best(16, 1000),
        3 => best(16, 1300),
        4 => EngineHeadroom::Full,
        5 => best(15, 2000),
        6 => EngineHeadroom::Unusable,
        7 => best(16, 900),
        8 => best(12, 2200),
        _ => best(2, 0),
    }
}

/// Refused requests of each phase, and the sum of the shares that they were refused at, in thousandths.
fn decisions(
    mut shedder: LoadShedder,
    urgency: fn(u64) -> Option<UrgencyRank>,
) -> Vec<(usize, u64)> {
    let (service, figures): (Arc<str>, _) = ("llm".into(), figures());
    let region = "r1".parse().expect("a name");
    let regions = [AllowedRegions::Anywhere, AllowedRegions::Only(BTreeSet::from([region]))];
    let objectives = [400, 400, 1000, 2000];
    let mut decide = |phase: u64, nth: u64| {
        let at = phase * PHASE_REQUESTS + nth;
        let new = NewRequest {
            service: &service,
            regions: &regions[usize::from(nth.is_multiple_of(5))],
            figures: &figures,
            objective: Duration::from_millis(objectives[(at % 4) as usize]),
            rank: ShedRank::new(RequestDigest(at), Duration::from_secs(1_000_000)),
            urgency: urgency(at),
            prompt_tokens: 1 + at % 3000,
        };
        let now = Moment::ZERO + Duration::from_millis(at * GAP_MS);
        shedder.refuses(now, &new, headroom(phase))
    };
    let mut phase_decisions = |phase| {
        let shares: Vec<f64> = (0..PHASE_REQUESTS).filter_map(|nth| decide(phase, nth)).collect();
        (shares.len(), (shares.iter().sum::<f64>() * 1000.0).round() as u64)
    };
    (0..PHASES).map(&mut phase_decisions).collect()
}

/// The decisions of the version before the shed share was distributed by urgency, as a run of it gave them.
const PINNED: [(usize, u64); PHASES as usize] = [
    (0, 0),
    (50, 5604),
    (142, 43829),
    (237, 123918),
    (433, 369914),
    (187, 91584),
    (0, 0),
    (145, 44098),
    (156, 47692),
    (0, 0),
];

/// Guards against a change of the decisions where nothing is known of urgencies.
#[gtest]
fn load_shedding_without_urgency_is_as_before() {
    expect_that!(decisions(LoadShedder::default(), |_| None), eq(&PINNED));
}

/// Guards against organisations' priorities changing the decisions for a service whose routes have a single
/// priority, and against requests admitted by an earlier plan that distinguished urgencies.
#[gtest]
fn a_service_with_one_priority_sheds_as_before() {
    let urgencies = ServiceUrgencies::new(&plan(&[1, 1], &[Some(0), None, Some(9)]));
    let urgency = RequestUrgency { organisation: 9, route: 1 };
    expect_that!(urgencies.rank("llm", urgency), none());
    let mut shedder = LoadShedder::default();
    shedder.set_urgencies(urgencies.clone());
    expect_that!(decisions(shedder, |_| None), eq(&PINNED));
    let mut shedder = LoadShedder::default();
    shedder.set_urgencies(urgencies);
    let earlier = |nth: u64| Some(UrgencyRank::new(nth as usize % 3));
    expect_that!(decisions(shedder, earlier), eq(&PINNED));
}
