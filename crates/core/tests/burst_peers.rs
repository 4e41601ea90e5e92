//! Handling of boxes and origins that become unreachable and recover.

use std::time::Duration;

use googletest::prelude::*;
use headlatch_core::{
    burst::{
        ChunkSet, ChunkSource, DrawMode, FetchFailure, PeerKey, PeerLocation, PeerStatus,
        SwarmAction, SwarmEvent, SwarmNote, SwarmPlanner, SwarmSettings, SwarmTimings,
    },
    time::Moment,
};
use headlatch_types::ChunkIndex;

#[path = "support/draws.rs"]
mod draws;

use draws::drawn;

const CHUNKS: u32 = 4;
const PEER: PeerKey = PeerKey(2);

fn at(millis: u64) -> Moment {
    Moment::ZERO + Duration::from_millis(millis)
}

/// A planner in a domain of two boxes, with its first actions.
fn planner() -> (SwarmPlanner, Vec<SwarmAction>) {
    let chunk_time = Duration::from_millis(30);
    let mut settings = SwarmSettings::new(CHUNKS, chunk_time, chunk_time);
    settings.draw_mode = DrawMode::Assigned;
    settings.timings = SwarmTimings::short_burst();
    let location = |key| PeerLocation { key: PeerKey(key), domain: 1, region: 1 };
    let held = ChunkSet::new(CHUNKS);
    let mut planner = SwarmPlanner::begin(settings, 1, location(1), held, at(0));
    let first = planner.handle(at(0), SwarmEvent::Peers(vec![location(1), location(2)]));
    (planner, first)
}

fn full_bitfield() -> SwarmEvent {
    let mut field = ChunkSet::new(CHUNKS);
    (0..CHUNKS).for_each(|chunk| {
        field.insert(ChunkIndex(chunk));
    });
    SwarmEvent::Note { from: PEER, note: SwarmNote::Bitfield(field), status: PeerStatus::default() }
}

fn requests_from_peer(actions: &[SwarmAction]) -> bool {
    let source = ChunkSource::Peer(PEER);
    actions
        .iter()
        .any(|action| matches!(action, SwarmAction::Fetch { source: from, .. } if *from == source))
}

#[gtest]
fn a_box_that_was_out_of_reach_is_asked_again_as_soon_as_it_is_heard() {
    let (mut planner, _) = planner();
    // Every undelivered note is reported.
    for tick in 0..20 {
        planner.handle(at(50 * tick), SwarmEvent::PeerUnreachable(PEER));
    }
    let actions = planner.handle(at(1300), full_bitfield());
    expect_that!(requests_from_peer(&actions), eq(true));
}

#[gtest]
fn a_box_that_has_fallen_silent_is_not_asked() {
    let (mut planner, first) = planner();
    for chunk in drawn(&first) {
        planner.handle(at(60), SwarmEvent::Verified { chunk, source: ChunkSource::Origin });
    }
    let asked = planner.handle(at(100), full_bitfield());
    expect_that!(requests_from_peer(&asked), eq(true));
    // The box neither sends chunks nor notes: requests to it are cancelled and not repeated, and the
    // chunks are drawn from the origin.
    let mut later = Vec::new();
    for tick in 20..200 {
        let now = at(50 * tick);
        let actions = planner.handle(now, SwarmEvent::Tick);
        for chunk in drawn(&actions) {
            let source = ChunkSource::Origin;
            later.extend(planner.handle(now, SwarmEvent::Verified { chunk, source }));
        }
        later.extend(actions);
    }
    expect_that!(requests_from_peer(&later), eq(false));
    expect_that!(planner.is_complete(), eq(true));
}

/// Number of draws that all boxes, in three domains, start within one second after the origin recovers
/// from an outage of five seconds.
fn draws_after_an_outage(boxes: u64) -> usize {
    let chunk_time = Duration::from_millis(30);
    let mut settings = SwarmSettings::new(CHUNKS * 4, chunk_time, chunk_time);
    settings.draw_mode = DrawMode::Assigned;
    settings.timings = SwarmTimings::short_burst();
    let location = |key: u64| PeerLocation { key: PeerKey(key), domain: key % 3, region: key % 3 };
    let peers: Vec<PeerLocation> = (1..=boxes).map(location).collect();
    let begin = |location: &PeerLocation| {
        SwarmPlanner::begin(settings.clone(), 1, *location, ChunkSet::new(CHUNKS * 4), at(0))
    };
    let mut planners: Vec<SwarmPlanner> = peers.iter().map(begin).collect();
    let mut draws = 0;
    for tick in 0..120 {
        let now = at(50 * tick);
        for planner in &mut planners {
            let event = match tick {
                0 => SwarmEvent::Peers(peers.clone()),
                _ => SwarmEvent::Tick,
            };
            let mut begun = drawn(&planner.handle(now, event));
            while let Some(chunk) = begun.pop() {
                if tick >= 100 {
                    draws += 1;
                    continue;
                }
                let (source, failure) = (ChunkSource::Origin, FetchFailure::Unreachable);
                let failed = SwarmEvent::Failed { chunk, source, failure };
                begun.extend(drawn(&planner.handle(now, failed)));
            }
        }
    }
    draws
}

#[gtest]
fn an_origin_that_is_back_is_not_drawn_from_by_everybody() {
    // Sixteen chunks are due, drawn one at a time by each drawer; redraws are only started for chunks
    // that do not arrive.
    expect_that!(draws_after_an_outage(45), all![ge(8), le(32)]);
}
