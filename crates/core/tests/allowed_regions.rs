//! Guards against requests restricted to some regions reaching servers in others because server selection
//! ignores the regions of the route. No selection may leave the allowed regions, whatever the servers, plans,
//! network partitions, versions and retries.

use std::{collections::BTreeSet, time::Duration};

use googletest::prelude::*;
use headlatch_core::direct::{
    admission::shedding::{EngineHeadroom, LoadShedder, NewRequest, ShedRank},
    engine_model::{EngineLoad, EngineWork},
    peers::DomainKey,
    server_table::{
        ContinuationLimits, EngineQuery, ServerChoice, ServerOutcome, ServerQuery, ServerTable,
        server_key,
    },
};
use headlatch_types::{
    id::{DomainId, RegionId},
    request::RequestDigest,
    store::StoreRevision,
    traffic::{AllowedRegions, ServerId, ServerRecord, WeightVersion},
};
use proptest::prelude::{Just, ProptestConfig, Strategy, any, prop, proptest};

#[path = "support/entry.rs"]
mod entry;
#[path = "support/figures.rs"]
mod figures;

use entry::{at, changing, server};
use figures::figures;

/// Failure domains with their regions; the region of `z4` is unknown.
const ZONES: [(&str, &str); 4] = [("z1", "r1"), ("z2", "r1"), ("z3", "r2"), ("z4", "")];

fn region_of(zone: &DomainId) -> Option<RegionId> {
    let known = ZONES.iter().find(|(name, _)| *name == zone.as_str());
    known.and_then(|(_, region)| region.parse().ok())
}

fn only(regions: &[&str]) -> AllowedRegions {
    AllowedRegions::Only(regions.iter().map(|name| name.parse().expect("a name")).collect())
}

fn table_in(zone: &str, servers: &[ServerRecord]) -> ServerTable {
    let known = ZONES.iter().filter(|(_, region)| !region.is_empty());
    let regions = known
        .map(|(zone, region)| (zone.parse().expect("a name"), region.parse().expect("a name")));
    let mut table = ServerTable::new(zone.parse().expect("a name"), regions.collect());
    let mark = StoreRevision::from_wire(1);
    servers.iter().for_each(|server| table.set(at(0), server.clone(), mark));
    table.set_entries(20);
    table
}

/// Generated request and server state.
#[derive(Debug, Clone)]
struct RegionCase {
    zone: usize,
    servers: Vec<(usize, u64, u32, bool)>,
    regions: BTreeSet<usize>,
    silent: BTreeSet<usize>,
    tried: BTreeSet<usize>,
    lost: BTreeSet<usize>,
    least: Option<u64>,
    engine: bool,
    continues: bool,
    draw: u64,
}

fn cases() -> impl Strategy<Value = RegionCase> {
    let servers = prop::collection::vec((0..4usize, 1..3u64, 0..24u32, any::<bool>()), 0..12);
    let sets = || prop::collection::btree_set(0..12usize, 0..4);
    (
        (0..4usize, servers, prop::collection::btree_set(0..3usize, 1..3)),
        (prop::collection::btree_set(0..4usize, 0..4), sets(), sets()),
        (prop::option::of(1..3u64), any::<bool>(), any::<bool>(), any::<u64>()),
        Just(()),
    )
        .prop_map(|((zone, servers, regions), (silent, tried, lost), rest, ())| {
            let (least, engine, continues, draw) = rest;
            RegionCase {
                zone,
                servers,
                regions,
                silent,
                tried,
                lost,
                least,
                engine,
                continues,
                draw,
            }
        })
}

impl RegionCase {
    fn allowed(&self) -> AllowedRegions {
        let names = ["r1", "r2", "r3"];
        only(&self.regions.iter().map(|index| names[*index]).collect::<Vec<_>>())
    }

    fn records(&self) -> Vec<ServerRecord> {
        let drawn = self.servers.iter().enumerate();
        drawn
            .map(|(index, (zone, version, _, draining))| ServerRecord {
                draining: *draining,
                ..server(&format!("s{index}"), ZONES[*zone].0, *version)
            })
            .collect()
    }

    fn table(&self, records: &[ServerRecord]) -> ServerTable {
        let mut table = table_in(ZONES[self.zone].0, records);
        for (record, (_, _, in_flight, _)) in records.iter().zip(&self.servers) {
            let load = EngineLoad { in_flight: *in_flight, waiting_tokens: 0 };
            table.set_other_load(server_key(&record.id), load);
        }
        let zone = |index: &usize| -> DomainId { ZONES[*index].0.parse().expect("a name") };
        table.set_unreachable_domains(
            self.silent.iter().map(|at| DomainKey::from(&zone(at))).collect(),
        );
        for index in self.lost.iter().filter(|index| **index < records.len()) {
            table.begin(&records[*index].id, 100);
            table.end(at(1), &records[*index].id, ServerOutcome::Lost);
        }
        table
    }

    /// Failure domain of the selected server, if any.
    fn chosen(&self) -> Option<DomainId> {
        let records = self.records();
        let table = self.table(&records);
        let (figures, regions) = (figures(), self.allowed());
        let work = EngineWork::new(&figures, Some(500), Duration::from_millis(400));
        let engine = EngineQuery {
            figures: &figures,
            work,
            continues: self.continues,
            bound: Default::default(),
        };
        let tried: Vec<ServerId> =
            self.tried.iter().map(|index| ServerId(format!("s{index}").into())).collect();
        let query = ServerQuery {
            service: "llm",
            engine: self.engine.then_some(engine),
            regions: &regions,
            min_version: self.least.map(WeightVersion),
            tried: &tried,
            random: self.draw,
        };
        let ServerChoice::Server(chosen) = table.choose(at(2), &query) else { return None };
        records.into_iter().find(|record| record.id == chosen.id).map(|record| record.zone)
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 4000,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(11),
        ..ProptestConfig::default()
    })]

    #[test]
    fn selection_stays_within_allowed_regions(case in cases()) {
        let zone = case.chosen();
        let region = zone.as_ref().map(region_of);
        proptest::prop_assert!(
            region.as_ref().is_none_or(|region| case.allowed().allows(region.as_ref())),
            "{zone:?} was chosen"
        );
    }
}

fn choose(table: &ServerTable, regions: &AllowedRegions, draw: u64) -> String {
    let figures = figures();
    let work = EngineWork::new(&figures, Some(500), Duration::from_millis(400));
    let engine =
        Some(EngineQuery { figures: &figures, work, continues: false, bound: Default::default() });
    let (least, tried) = (None, &[][..]);
    let query =
        ServerQuery { service: "llm", engine, regions, min_version: least, tried, random: draw };
    match table.choose(at(2), &query) {
        ServerChoice::Server(server) => server.id.to_string(),
        ServerChoice::Full(_) => "full".to_owned(),
        ServerChoice::Unavailable => "unavailable".to_owned(),
    }
}

#[gtest]
fn no_server_is_chosen_outside_allowed_regions() {
    let table = table_in("z1", &[server("near", "z1", 1), server("unknown", "z4", 1)]);
    expect_that!(choose(&table, &only(&["r1"]), 1), eq("near"));
    expect_that!(choose(&table, &only(&["r2"]), 1), eq("unavailable"));
    expect_that!(choose(&table, &only(&["r3"]), 1), eq("unavailable"));
    expect_that!(choose(&table, &only(&[]), 1), eq("unavailable"));
}

/// Servers in other failure domains are mostly left to the entries there, except for requests that may run
/// nowhere else.
#[gtest]
fn remote_region_is_fully_used_by_requests_restricted_to_it() {
    let mut table = table_in("z1", &[server("near", "z1", 1), server("far", "z3", 1)]);
    table.set_entries(500);
    let far = only(&["r2"]);
    let drawn =
        (0..200u64).map(|draw| choose(&table, &far, draw.wrapping_mul(0x9e37_79b9_7f4a_7c15)));
    expect_that!(drawn.filter(|chosen| chosen == "far").count(), eq(200));
    // The slots reserved for local entries are used as well.
    table.set_other_load(
        server_key(&ServerId("far".into())),
        EngineLoad { in_flight: 15, waiting_tokens: 0 },
    );
    expect_that!(choose(&table, &far, 1), eq("far"));
}

#[gtest]
fn shedding_of_restricted_requests_spares_unrestricted_ones() {
    let (mut shedder, figures) = (LoadShedder::default(), figures());
    let (service, restricted) = ("llm".into(), only(&["r1"]));
    let full = EngineHeadroom::Best(EngineLoad { in_flight: 16, waiting_tokens: 40_000 });
    let free = EngineHeadroom::Best(EngineLoad { in_flight: 12, waiting_tokens: 0 });
    let mut refused = [0, 0];
    for content in 0..2000u64 {
        let both = [(&AllowedRegions::Anywhere, free), (&restricted, full)];
        for (count, (regions, room)) in refused.iter_mut().zip(both) {
            let rank = ShedRank::new(RequestDigest(content), Duration::from_secs(1_000_000));
            let objective = Duration::from_millis(500);
            let new = NewRequest {
                service: &service,
                regions,
                figures: &figures,
                objective,
                rank,
                urgency: None,
                prompt_tokens: 800,
            };
            *count += usize::from(shedder.refuses(at(content * 5), &new, room).is_some());
        }
    }
    expect_that!(refused[0], eq(0));
    expect_that!(refused[1], gt(1_500));
}

/// Streams that may only be resumed in their region are kept if that region lacks capacity.
#[gtest]
fn streams_in_region_without_capacity_delay_change() {
    let (one, other) = (server("a", "z1", 1), server("b", "z3", 1));
    let mut table = table_in("z1", &[one.clone(), other]);
    table.begin(&one.id, 100);
    table.finish_prefill(&one.id, 100);
    let changing = changing(&one);
    table.set_notice(one.address, Some(changing));
    let kept = |within_region| {
        let limits =
            ContinuationLimits { layers: 0, min_version: None, retries: 10, within_region };
        let drains = table.drains(at(2), &[("llm".into(), limits)].into());
        drains.iter().map(|drain| drain.unresumable).sum::<u32>()
    };
    expect_that!(kept(false), eq(0));
    expect_that!(kept(true), eq(1));
}
