//! Which connection gives way to others.

use std::time::Duration;

use googletest::prelude::*;
use headlatch_core::direct::slow_peers::{WaitingPeer, slowest_peer};
use headlatch_types::quantity::ByteRate;

const YIELD_RATE: ByteRate = ByteRate::from_bytes_per_second(16 << 10);

fn peer(id: u32, seconds: u64, bytes_per_second: u64) -> WaitingPeer<u32> {
    WaitingPeer {
        id,
        waited: Duration::from_secs(seconds),
        rate: ByteRate::from_bytes_per_second(bytes_per_second),
    }
}

#[gtest]
fn the_slowest_gives_way_and_among_equals_the_longest() {
    let peers = [peer(1, 5, 900), peer(2, 5, 0), peer(3, 9, 0), peer(4, 9, 2000)];
    expect_that!(slowest_peer(peers, YIELD_RATE), some(eq(3)));
}

#[gtest]
fn a_peer_at_the_yield_rate_keeps_its_connection() {
    expect_that!(slowest_peer([peer(1, 60, 16 << 10)], YIELD_RATE), none());
}

#[gtest]
fn a_peer_that_has_just_become_slow_keeps_its_connection() {
    expect_that!(slowest_peer([peer(1, 1, 0)], YIELD_RATE), none());
}
