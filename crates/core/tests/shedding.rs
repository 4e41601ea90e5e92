//! Which requests entries reject while engines are full.

use std::{sync::Arc, time::Duration};

use googletest::prelude::*;
use headlatch_core::{
    direct::{
        admission::shedding::{EngineHeadroom, LoadShedder, NewRequest, RANK_PERIOD, ShedRank},
        engine_model::EngineLoad,
    },
    time::Moment,
};
use headlatch_types::{request::RequestDigest, traffic::AllowedRegions};

#[path = "support/figures.rs"]
mod figures;

use figures::figures;

fn at(millis: u64) -> Moment {
    Moment::ZERO + Duration::from_millis(millis)
}

fn rank(content: u64) -> ShedRank {
    ShedRank::new(RequestDigest(content), Duration::from_secs(1_000_000))
}

/// Share of contents rejected while the engines have this headroom, over several seconds.
fn refused(shedder: &mut LoadShedder, from: u64, room: EngineHeadroom, objective: u64) -> f64 {
    let (service, figures): (Arc<str>, _) = ("llm".into(), figures());
    let objective = Duration::from_millis(objective);
    let contents = 0..4000;
    let count = contents.end as f64;
    let refused = contents.filter(|content| {
        let new = NewRequest {
            service: &service,
            regions: &AllowedRegions::Anywhere,
            figures: &figures,
            objective,
            rank: rank(*content),
            urgency: None,
            prompt_tokens: 800,
        };
        shedder.refuses(at(from + content * 2), &new, room).is_some()
    });
    refused.count() as f64 / count
}

const IDLE: EngineHeadroom = EngineHeadroom::Best(EngineLoad { in_flight: 0, waiting_tokens: 0 });

#[gtest]
fn nothing_is_rejected_while_an_engine_is_idle() {
    // Objectives that even a usual prompt misses do not justify idle engines.
    for objective in [0, 50, 150, 400, 10_000] {
        let mut shedder = LoadShedder::default();
        expect_that!(refused(&mut shedder, 0, IDLE, objective), eq(0.0), "{objective} ms");
    }
}

#[gtest]
fn nothing_is_rejected_once_engines_are_idle_again() {
    let mut shedder = LoadShedder::default();
    expect_that!(refused(&mut shedder, 0, EngineHeadroom::Full, 400), gt(0.8));
    expect_that!(refused(&mut shedder, 8000, IDLE, 400), eq(0.0));
}

#[gtest]
fn the_rejected_share_grows_with_the_wait() {
    let waiting = [0, 1000, 2000, 3000, 4000];
    let parts = waiting.map(|waiting_tokens| {
        let room = EngineHeadroom::Best(EngineLoad { in_flight: 16, waiting_tokens });
        refused(&mut LoadShedder::default(), 0, room, 400)
    });
    expect_that!(parts.is_sorted(), eq(true), "{parts:?}");
    expect_that!(parts[0], eq(0.0));
    expect_that!(parts[4], gt(0.8));
}

#[gtest]
fn a_kind_with_a_long_objective_does_not_fill_engines() {
    let (service, figures): (Arc<str>, _) = ("llm".into(), figures());
    let room = EngineHeadroom::Best(EngineLoad { in_flight: 17, waiting_tokens: 3000 });
    let mut shedder = LoadShedder::default();
    let mut patient = Vec::new();
    for content in 0..2000 {
        let mut ask = |objective| {
            let objective = Duration::from_millis(objective);
            let new = NewRequest {
                service: &service,
                regions: &AllowedRegions::Anywhere,
                figures: &figures,
                objective,
                rank: rank(content),
                urgency: None,
                prompt_tokens: 800,
            };
            shedder.refuses(at(content * 4), &new, room).is_some()
        };
        let _ = ask(400);
        patient.push(ask(10_000));
    }
    let refused = patient.iter().filter(|refused| **refused).count();
    expect_that!(refused, gt(1000));
    // A rare kind does not limit others, once enough requests have arrived to tell.
    let mut shedder = LoadShedder::default();
    for content in 0..2000 {
        let objective = Duration::from_millis(if content % 100 == 0 { 400 } else { 10_000 });
        let new = NewRequest {
            service: &service,
            regions: &AllowedRegions::Anywhere,
            figures: &figures,
            objective,
            rank: rank(content),
            urgency: None,
            prompt_tokens: 800,
        };
        let refused = shedder.refuses(at(content * 4), &new, room);
        if content > 1000 && objective.as_secs() == 10 {
            expect_that!(refused, none(), "{content}");
        }
    }
}

#[gtest]
fn a_content_keeps_its_rank_for_one_period() {
    let begin = Duration::from_secs(1_000_000);
    let rank_after = |content, seconds| {
        ShedRank::new(RequestDigest(content), begin + Duration::from_secs(seconds))
    };
    let contents = 0..1000;
    // A retry within three seconds has the same rank in nine of ten cases, at any entry.
    let kept =
        contents.clone().filter(|content| rank_after(*content, 0) == rank_after(*content, 3));
    expect_that!(kept.count(), ge(850));
    let long = RANK_PERIOD.as_secs() + 1;
    let kept =
        contents.clone().filter(|content| rank_after(*content, 0) == rank_after(*content, long));
    expect_that!(kept.count(), eq(0));
    // Ranks are evenly distributed between 0 and 1.
    let mut ranks: Vec<f64> = contents.map(|content| share_below(rank(content))).collect();
    ranks.sort_by(f64::total_cmp);
    expect_that!(ranks[100], near(0.1, 0.05));
    expect_that!(ranks[900], near(0.9, 0.05));
}

/// Share of a thousand other ranks below this one.
fn share_below(rank_of_one: ShedRank) -> f64 {
    (5000..6000).filter(|content| rank(*content) < rank_of_one).count() as f64 / 1000.0
}

#[gtest]
fn services_are_independent() {
    let mut shedder = LoadShedder::default();
    let _ = refused(&mut shedder, 0, EngineHeadroom::Full, 400);
    let (service, figures): (Arc<str>, _) = ("other".into(), figures());
    let objective = Duration::from_millis(400);
    let room = EngineHeadroom::Best(EngineLoad { in_flight: 15, waiting_tokens: 0 });
    let new = NewRequest {
        service: &service,
        regions: &AllowedRegions::Anywhere,
        figures: &figures,
        objective,
        rank: rank(1),
        urgency: None,
        prompt_tokens: 800,
    };
    expect_that!(shedder.refuses(at(8000), &new, room), none());
}
