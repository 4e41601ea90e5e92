//! Where agents read the manifest of a version.

use std::{net::SocketAddr, time::Duration};

use googletest::prelude::*;
use headlatch_core::direct::manifest_source::{
    INITIAL_READERS, MAX_READERS, ManifestSource, ManifestView, manifest_source,
};

fn holder(last: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, last], 7700))
}

fn view(rank: usize, waited_ms: u64) -> ManifestView<'static> {
    ManifestView {
        rank,
        domain_rank: rank / 5,
        is_alone: false,
        steady: Duration::from_secs(60),
        waited: Duration::from_millis(waited_ms),
        failures: 0,
        holders: &[],
        holders_in_domain: true,
    }
}

#[gtest]
fn few_agents_ask_the_origin_at_once() {
    let asking = (0..76).filter(|rank| manifest_source(&view(*rank, 0)) == ManifestSource::Origin);
    expect_that!(asking.count(), eq(INITIAL_READERS));
}

#[gtest]
fn the_others_read_it_from_those_that_hold_it() {
    let holders = [holder(1), holder(2)];
    let near = ManifestView { holders: &holders, ..view(50, 100) };
    expect_that!(manifest_source(&near), eq(ManifestSource::Peer(holder(1))));
    let second = ManifestView { failures: 1, ..near };
    expect_that!(manifest_source(&second), eq(ManifestSource::Peer(holder(2))));
}

#[gtest]
fn every_agent_eventually_asks_the_origin() {
    expect_that!(manifest_source(&view(75, 600)), eq(ManifestSource::Wait));
    expect_that!(manifest_source(&view(75, 2_000)), eq(ManifestSource::Wait));
    expect_that!(manifest_source(&view(75, 9_100)), eq(ManifestSource::Origin));
    let holders = [holder(1)];
    let failed = ManifestView { holders: &holders, failures: 2, ..view(75, 9_100) };
    expect_that!(manifest_source(&failed), eq(ManifestSource::Origin));
}

#[gtest]
fn an_agent_that_has_just_started_waits_to_discover_peers() {
    let alone = ManifestView { is_alone: true, ..view(0, 0) };
    expect_that!(manifest_source(&alone), eq(ManifestSource::Wait));
    let settled = ManifestView { waited: Duration::from_millis(900), ..alone };
    expect_that!(manifest_source(&settled), eq(ManifestSource::Origin));
}

/// If two hundred agents all ask the first holder of the manifest, none of them is answered in
/// time.
#[gtest]
fn few_agents_ask_one_holder_at_once() {
    let holders = [holder(1)];
    let asks = |rank: usize, near: bool, waited_ms: u64| {
        let view =
            ManifestView { holders: &holders, holders_in_domain: near, ..view(rank, waited_ms) };
        matches!(manifest_source(&view), ManifestSource::Peer(_))
    };
    let asking = |near, waited_ms| (0..204).filter(|rank| asks(*rank, near, waited_ms)).count();
    // Forty-one agents per failure domain.
    expect_that!(asking(true, 0), eq(8 * 5));
    expect_that!(asking(false, 0), eq(2 * 5));
    expect_that!(asking(true, 1_000), eq(204));
}

/// After a power loss everywhere, agents discover each other within seconds. Reading the origin
/// before that exhausts its connections, and no agent has the manifest for a long time.
#[gtest]
fn an_agent_that_still_discovers_peers_does_not_read_the_origin() {
    let finding = ManifestView { steady: Duration::from_millis(100), ..view(0, 1_000) };
    expect_that!(manifest_source(&finding), eq(ManifestSource::Wait));
    let steady = ManifestView { steady: Duration::from_millis(400), ..finding };
    expect_that!(manifest_source(&steady), eq(ManifestSource::Origin));
    let late = ManifestView { waited: Duration::from_millis(2_600), ..finding };
    expect_that!(manifest_source(&late), eq(ManifestSource::Origin));
}

#[gtest]
fn readers_of_the_origin_are_limited() {
    let reading = |waited_ms: u64| {
        let asks =
            |rank: &usize| manifest_source(&view(*rank, waited_ms)) == ManifestSource::Origin;
        (0..204).filter(asks).count()
    };
    expect_that!(reading(1_400), eq(MAX_READERS));
    // Later, those that still lack it read one at a time.
    expect_that!(reading(9_000) - reading(8_000), le(10));
}
