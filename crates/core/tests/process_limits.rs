//! Shares of the memory and the descriptors of an entry.

use googletest::prelude::*;
use headlatch_core::direct::process_limits::{ANSWER_WINDOW, ProcessLimits};
use headlatch_types::quantity::ByteSize;

const HEAD: ByteSize = ByteSize::from_bytes(16 << 10);

/// Upper bound of the memory of a connection with a request head of 16 KiB.
const CONNECTION: ByteSize = ByteSize::from_bytes(44 << 10);

#[gtest]
fn what_callers_may_hold_is_three_fifths_of_the_memory() {
    for mib in [32, 64, 160, 260, 512, 4096] {
        let memory = ByteSize::from_mib(mib);
        let limits = ProcessLimits::new(memory, 1 << 20);
        let connections = limits.caller_connections(HEAD) as u64 * CONNECTION.bytes();
        let held = limits.request_bodies.bytes() + limits.answers.bytes() + connections;
        expect_that!(held, le(memory.bytes() * 3 / 5), "{mib} MiB");
        expect_that!(limits.answers.bytes() / ANSWER_WINDOW.bytes(), ge(mib), "{mib} MiB");
    }
}

#[gtest]
fn descriptors_suffice_for_all_at_once() {
    for descriptors in [128, 256, 1024, 4100, 8192] {
        let limits = ProcessLimits::new(ByteSize::from_mib(65_536), descriptors);
        let callers = limits.caller_connections(HEAD);
        // Each caller has at most one request at a server.
        let used = 2 * callers + limits.idle_server_connections + 3 * limits.admin_connections;
        expect_that!(used, lt(descriptors), "{descriptors} descriptors");
        expect_that!(callers, ge(descriptors / 6), "{descriptors} descriptors");
    }
}

#[gtest]
fn large_heads_leave_room_for_a_connection() {
    let limits = ProcessLimits::new(ByteSize::from_mib(32), 1024);
    expect_that!(limits.caller_connections(ByteSize::from_mib(64)), eq(1));
}
