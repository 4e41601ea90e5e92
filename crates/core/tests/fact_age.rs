//! Detection of an outdated copy of a topic.

use headlatch_types::store::StoreRevision;
use std::time::Duration;

use googletest::prelude::*;
use headlatch_core::{direct::fact_age::FactAge, time::Moment};

fn at(millis: u64) -> Moment {
    Moment::ZERO + Duration::from_millis(millis)
}

fn mark(number: u64) -> StoreRevision {
    StoreRevision::from_wire(number)
}

#[gtest]
fn change_known_to_peers_is_missing_until_the_store_covers_it() {
    let mut age = FactAge::default();
    age.confirm_from_store(at(0), mark(10), mark(4));
    age.record_peer_position(at(100), mark(10));
    expect_that!(age.behind(at(200)), none());
    age.record_peer_position(at(300), mark(11));
    age.record_peer_position(at(500), mark(12));
    expect_that!(age.behind(at(700)), some(eq(Duration::from_millis(400))));
    age.confirm_from_store(at(800), mark(11), mark(11));
    expect_that!(age.behind(at(800)), some(eq(Duration::from_millis(500))));
    // Changes of other topics advance the position of the store beyond the reported changes.
    age.confirm_from_store(at(900), mark(30), mark(12));
    expect_that!(age.behind(at(900)), none());
    age.record_peer_position(at(950), mark(29));
    expect_that!(age.behind(at(950)), none());
    expect_that!(age.newest(), eq(mark(12)));
}

#[gtest]
fn change_from_a_peer_does_not_confirm_the_store() {
    let mut age = FactAge::default();
    expect_that!(age.age(at(0)), none());
    age.confirm_from_store(at(0), mark(5), mark(5));
    age.record_peer_position(at(100), mark(6));
    age.take_from_peer(mark(6));
    expect_that!(age.behind(at(200)), none());
    expect_that!(age.age(at(200)), some(eq(Duration::from_millis(200))));
    expect_that!(age.newest_told(), eq(mark(6)));
}

/// Guards against full reads of a list that is still growing. If the servers of a fleet are registered over
/// six seconds, an entry that applies the changes every 0.3 s is behind all the time. If it takes that for a
/// lost watch after 1.4 s and reads the full list, the reads saturate the link of a region.
#[gtest]
fn steady_progress_does_not_trigger_a_full_read() {
    let timeout = Duration::from_millis(1_400);
    let (mut reader, mut other) = (FactAge::default(), FactAge::default());
    let mut read = Vec::new();
    for tenth in 0..60u64 {
        let now = at(tenth * 100);
        reader.record_peer_position(now, mark(tenth + 5));
        other.record_peer_position(now, mark(tenth + 5));
        if tenth % 8 == 0 {
            reader.confirm_from_store(now, mark(tenth + 1), mark(tenth + 1));
        }
        if tenth % 3 == 0 {
            other.take_list_from_peer(now, mark(tenth + 1), mark(tenth + 1));
        }
        if reader.take_due(now, timeout) {
            read.push(tenth);
        }
        expect_that!(other.behind(now).is_some(), eq(true));
        expect_that!(other.stalled(now), some(lt(timeout)));
    }
    expect_that!(read, is_empty());
    // No further changes arrive.
    expect_that!(other.stalled(at(7_200)), some(ge(timeout)));
    expect_that!(reader.take_due(at(7_200), timeout), eq(true));
}

#[gtest]
fn store_replies_without_changes_are_not_progress() {
    let timeout = Duration::from_millis(1_400);
    let mut age = FactAge::default();
    age.confirm_from_store(at(0), mark(5), mark(5));
    age.record_peer_position(at(100), mark(9));
    // A watch that receives no changes repeatedly ends at the position where it started.
    age.confirm_from_store(at(1_000), mark(5), mark(5));
    expect_that!(age.take_due(at(1_400), timeout), eq(false));
    expect_that!(age.take_due(at(1_500), timeout), eq(true));
}
