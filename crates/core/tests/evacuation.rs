//! Evacuation of failure domains, and slow start of returning servers.

use std::{collections::BTreeSet, net::SocketAddr, time::Duration};

use googletest::prelude::*;
use headlatch_core::direct::{
    engine_model::EngineWork,
    evacuation::{EvacuatedDomains, Evacuations},
    peers::DomainKey,
    rate_limits::EntryPeer,
    server_table::{
        ChosenServer, ColdRates, EngineQuery, ServerChoice, ServerOutcome, ServerQuery, ServerTable,
    },
    suspects::LifeKey,
};
use headlatch_types::{
    id::DomainId,
    quantity::RequestRate,
    store::{StoreEra, StoreRevision},
    traffic::{AllowedRegions, ServerRecord},
};

#[path = "support/entry.rs"]
mod entry;
#[path = "support/figures.rs"]
mod figures;

use entry::{at, server, table};
use figures::figures;

/// Maximum requests per second to a cold server, over all entries.
const COLD_RATE: f64 = 17.0;

/// Uptime of the entries when a cold server returns, in milliseconds.
const UPTIME: u64 = 60_000;

fn domain(name: &str) -> DomainKey {
    DomainKey::from(&name.parse::<DomainId>().expect("a name"))
}

fn choose(table: &ServerTable, now: u64, continues: bool) -> Option<String> {
    chosen(table, now, continues).map(|server| server.id.to_string())
}

fn chosen_life(table: &ServerTable, now: u64) -> Option<LifeKey> {
    chosen(table, now, false).map(|server| server.life)
}

fn chosen(table: &ServerTable, now: u64, continues: bool) -> Option<ChosenServer> {
    let figures = figures();
    let work = EngineWork::new(&figures, Some(500), Duration::from_millis(400));
    let query = ServerQuery {
        service: "llm",
        engine: Some(EngineQuery { figures: &figures, work, continues, bound: Default::default() }),
        regions: &AllowedRegions::Anywhere,
        min_version: None,
        tried: &[],
        random: now,
    };
    match table.choose(at(now), &query) {
        ServerChoice::Server(server) => Some(server),
        _ => None,
    }
}

#[gtest]
fn evacuated_failure_domain_gets_no_requests() {
    let mut table = table(&[server("near", "z1", 1), server("far", "z2", 1)]);
    table.set_entries(1);
    expect_that!(choose(&table, 0, false), some(eq("near")));
    table.set_evacuated_domains(at(0), [domain("z1")].into());
    for continues in [false, true] {
        expect_that!(choose(&table, 0, continues), some(eq("far")));
    }
    // No other failure domain is available: evacuated servers still get no requests.
    table.set_unreachable_domains([domain("z2")].into());
    table.set_evacuated_domains(at(0), [domain("z1"), domain("z2")].into());
    expect_that!(choose(&table, 0, false), none());
    table.set_evacuated_domains(at(0), BTreeSet::new());
    expect_that!(choose(&table, 0, false), some(eq("near")));
}

#[gtest]
fn evacuation_set_with_latest_revision_wins() {
    let set = |mark, names: &[&str]| EvacuatedDomains {
        mark: StoreRevision::from_wire(mark),
        domains: names.iter().map(|name| domain(name)).collect(),
    };
    let mut known = EvacuatedDomains::default();
    expect_that!(known.merge(&set(5, &["z1"])), eq(true));
    // A late, older set is ignored, and a newer set with the same content is no change.
    expect_that!(known.merge(&set(4, &[])), eq(false));
    expect_that!(known.merge(&set(6, &["z1"])), eq(false));
    let next = known
        .with_changes(StoreRevision::from_wire(9), [(domain("z1"), false), (domain("z2"), true)]);
    expect_that!(next, eq(&set(9, &["z2"])));
    expect_that!(known.merge(&next), eq(true));
    expect_that!(known, eq(&next));
}

/// The older copy of a store that was rolled back may lack an order.
#[gtest]
fn evacuation_that_a_later_era_lacks_holds_until_it_could_be_written_again() {
    let set = |era, number, names: &[&str]| EvacuatedDomains {
        mark: StoreRevision::new(StoreEra::new(era), number).expect("revision in range"),
        domains: names.iter().map(|name| domain(name)).collect(),
    };
    let in_force = |evacuations: &Evacuations| evacuations.in_force();
    let mut evacuations = Evacuations::default();
    expect_that!(evacuations.merge(at(0), &set(0, 150, &["z1", "z2"])), eq(true));
    expect_that!(evacuations.merge(at(1000), &set(1, 90, &["z3"])), eq(true));
    expect_that!(in_force(&evacuations), eq(&["z1", "z2", "z3"].map(domain).into()));
    // Other processes get what the store lists, and keep orders by themselves.
    expect_that!(evacuations.listed(), eq(&set(1, 90, &["z3"])));
    // One order is written again; a late notice of the earlier era changes nothing.
    expect_that!(evacuations.merge(at(2000), &set(1, 92, &["z1", "z3"])), eq(false));
    expect_that!(evacuations.merge(at(2100), &set(0, 160, &[])), eq(false));
    expect_that!(evacuations.expire(at(3400)), eq(false));
    expect_that!(evacuations.expire(at(3500)), eq(true));
    expect_that!(in_force(&evacuations), eq(&["z1", "z3"].map(domain).into()));
}

/// Orders of a list that could not be read to its end were taken for all there are, also by other processes.
#[gtest]
#[test]
fn orders_of_a_cut_list_are_in_force_and_not_reported_as_all() {
    let (north, south) = (domain("north"), domain("south"));
    let mark = StoreRevision::from_wire;
    let mut evacuations = Evacuations::default();
    let listed = EvacuatedDomains { mark: mark(5), domains: BTreeSet::from([north]) };
    evacuations.merge(at(0), &listed);
    evacuations.apply_partial(mark(7), [(south, true)]);
    expect_that!(evacuations.in_force(), eq(&BTreeSet::from([north, south])));
    expect_that!(evacuations.listed(), eq(&listed));
    evacuations.apply_partial(mark(8), [(north, false)]);
    expect_that!(evacuations.in_force(), eq(&BTreeSet::from([south])));
    expect_that!(evacuations.listed().mark, eq(mark(5)));
    evacuations.forget_partial();
    expect_that!(evacuations.in_force(), is_empty());
    evacuations.apply_partial(mark(9), [(south, true)]);
    let whole = EvacuatedDomains { mark: mark(9), domains: BTreeSet::new() };
    evacuations.merge(at(0), &whole);
    expect_that!(evacuations.in_force(), is_empty());
}

fn entry_peer(number: usize) -> EntryPeer {
    let address = SocketAddr::from(([10, 0, (number / 250) as u8, (number % 250) as u8], 7700));
    EntryPeer { key: address.into(), domain: domain("z1") }
}

/// The table of one entry, of `entries`, that has just read that a server is cold.
fn cold_table(number: usize, entries: usize) -> ServerTable {
    let cold = ServerRecord { cold_ms: 3_000, ..server("cold", "z1", 1) };
    let mut table = table(&[]);
    table.set(at(UPTIME), cold, StoreRevision::from_wire(1));
    table.set_entries(entries);
    let rate = RequestRate::from_milli((COLD_RATE * 1000.0) as u64);
    table.set_cold_rates(at(UPTIME), ColdRates([("llm".into(), rate)].into()));
    let peers: Vec<EntryPeer> = (0..entries).map(entry_peer).collect();
    table.assign_limit_shares(at(UPTIME), peers[number].key, &peers);
    table
}

/// Requests sent to a returned server in each second by `entries` entries, all of which have more requests
/// than they may send.
fn sent_by_second(entries: usize) -> Vec<usize> {
    let mut tables: Vec<ServerTable> =
        (0..entries).map(|number| cold_table(number, entries)).collect();
    let mut sent = vec![0; 3];
    for now in (UPTIME..UPTIME + 3_000).step_by(10) {
        for table in &mut tables {
            if let Some(life) = chosen_life(table, now) {
                assert!(table.try_acquire(at(now), life), "a chosen server may be sent a request");
                let id = headlatch_types::traffic::ServerId("cold".into());
                table.begin(&id, 0);
                table.end(at(now), &id, ServerOutcome::Answered);
                sent[(now - UPTIME) as usize / 1000] += 1;
            }
        }
    }
    sent
}

#[gtest]
fn cold_rate_holds_for_any_number_of_entries() {
    for entries in [1, 7, 34, 546] {
        for sent in sent_by_second(entries) {
            expect_that!(sent, all!(ge(12), le(COLD_RATE as usize + 2)), "{entries} entries");
        }
    }
}

#[gtest]
fn warm_or_unlimited_server_is_chosen_immediately() {
    let table = cold_table(0, 34);
    expect_that!(choose(&table, UPTIME, false), none());
    expect_that!(choose(&table, UPTIME + 3_000, false), some(eq("cold")));
    let mut unbounded = cold_table(0, 34);
    unbounded.set_cold_rates(at(UPTIME), ColdRates::default());
    expect_that!(choose(&unbounded, UPTIME, false), some(eq("cold")));
}
