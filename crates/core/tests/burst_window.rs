//! Draws from an origin that is down, and behaviour of a superseded transfer.
//!
//! Guards against an overload on recovery: if all 76 boxes request their missing chunks from an origin
//! that is down, all their draws share its link when it recovers.

use std::{collections::BTreeSet, time::Duration};

use googletest::prelude::*;
use headlatch_core::{
    burst::{
        ChunkSet, ChunkSource, DrawMode, FetchFailure, PeerKey, PeerLocation, SwarmAction,
        SwarmEvent, SwarmPlanner, SwarmSettings, SwarmTimings,
    },
    time::Moment,
};
use headlatch_types::ChunkIndex;

#[path = "support/draws.rs"]
mod draws;

use draws::drawn;

const CHUNKS: u32 = 96;
const BOXES: u64 = 76;
const TICK: Duration = Duration::from_millis(50);

/// Maximum number of chunks that all boxes together draw concurrently.
const WINDOW: usize = 24;

fn settings() -> SwarmSettings {
    let (own, origin) = (Duration::from_millis(27), Duration::from_millis(45));
    let mut settings = SwarmSettings::new(CHUNKS, own, origin);
    settings.draw_mode = DrawMode::Assigned;
    settings.timings = SwarmTimings::short_burst();
    settings
}

fn location(number: u64) -> PeerLocation {
    let key = PeerKey(number.wrapping_mul(0x9e37_79b9_7f4a_7c15));
    PeerLocation { key, domain: number % 3, region: number % 3 }
}

fn planner(number: u64, held: ChunkSet) -> SwarmPlanner {
    SwarmPlanner::begin(settings(), 1, location(number), held, Moment::ZERO)
}

#[gtest]
fn an_origin_that_is_down_is_asked_for_the_first_chunks_alone() {
    let peers: Vec<PeerLocation> = (0..BOXES).map(location).collect();
    let mut planners: Vec<SwarmPlanner> =
        (0..BOXES).map(|number| planner(number, ChunkSet::new(CHUNKS))).collect();
    let mut asked = BTreeSet::new();
    let mut boxes = BTreeSet::new();
    for tick in 0..120 {
        let now = Moment::ZERO + TICK * tick;
        for (number, planner) in planners.iter_mut().enumerate() {
            let event = match tick {
                0 => SwarmEvent::Peers(peers.clone()),
                _ => SwarmEvent::Tick,
            };
            for chunk in drawn(&planner.handle(now, event)) {
                let (source, failure) = (ChunkSource::Origin, FetchFailure::Unreachable);
                // The box backs off after the failure, so its next draw is at a later tick.
                let _ = planner.handle(now, SwarmEvent::Failed { chunk, source, failure });
                if tick >= 100 {
                    asked.insert(chunk);
                    boxes.insert(number);
                }
            }
        }
    }
    expect_that!(asked.len(), all!(ge(1), le(WINDOW)));
    expect_that!(boxes.len(), lt(BOXES as usize));
}

#[gtest]
fn a_transfer_that_another_version_has_replaced_fetches_nothing_and_still_sends() {
    let mut held = ChunkSet::new(CHUNKS);
    held.insert(ChunkIndex(0));
    let mut planner = planner(1, held);
    let first = planner.handle(Moment::ZERO, SwarmEvent::Peers(vec![location(1), location(4)]));
    expect_that!(drawn(&first).len(), le(1));
    planner.handle(Moment::ZERO + TICK, SwarmEvent::Superseded);
    for chunk in drawn(&first) {
        let (source, failure) = (ChunkSource::Origin, FetchFailure::Unreachable);
        planner.handle(Moment::ZERO + TICK, SwarmEvent::Failed { chunk, source, failure });
    }
    let later: Vec<SwarmAction> = (2..200)
        .flat_map(|tick| planner.handle(Moment::ZERO + TICK * tick, SwarmEvent::Tick))
        .collect();
    let fetches = later.iter().filter(|action| matches!(action, SwarmAction::Fetch { .. }));
    expect_that!(fetches.count(), eq(0));
    let ask = SwarmEvent::Requested { from: location(4).key, chunk: ChunkIndex(0), held: 0 };
    let answer = planner.handle(Moment::ZERO + TICK * 200, ask);
    let granted = SwarmAction::Grant { to: location(4).key, chunk: ChunkIndex(0) };
    expect_that!(answer.contains(&granted), eq(true));
}
