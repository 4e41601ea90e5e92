//! Selection of the plan readers of a failure domain.

use std::net::SocketAddr;

use googletest::prelude::*;
use headlatch_core::direct::plan_readers::{ReaderCandidate, is_plan_reader};

fn address(last: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, last], 7700))
}

/// The plan readers among entries 1 to 12, of which those in `failing` cannot reach the store and those in
/// `gone` have timed out.
fn readers(failing: &[u8], gone: &[u8]) -> Vec<u8> {
    let living: Vec<u8> = (1..=12).filter(|entry| !gone.contains(entry)).collect();
    let view = |entry: &u8| ReaderCandidate {
        address: address(*entry),
        reads_store: !failing.contains(entry),
    };
    let reads = |own: &u8| {
        let others = living.iter().filter(|entry| *entry != own).map(view);
        is_plan_reader(address(*own), others)
    };
    living.iter().copied().filter(reads).collect()
}

#[gtest]
fn two_entries_read_the_plan() {
    expect_that!(readers(&[], &[]), eq(&vec![1, 2]));
    expect_that!(readers(&[], &[1]), eq(&vec![2, 3]));
}

#[gtest]
fn entries_that_the_store_turns_away_are_joined_by_others() {
    // Rejected entries keep retrying.
    expect_that!(readers(&[1, 2], &[]), eq(&vec![1, 2, 3, 4]));
    expect_that!(readers(&[1, 2, 3, 4, 5], &[6]), eq(&vec![1, 2, 3, 4, 5, 7, 8]));
}

#[gtest]
fn entry_without_peers_reads_the_plan() {
    expect_that!(is_plan_reader(address(9), std::iter::empty()), eq(true));
}
