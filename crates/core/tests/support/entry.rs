//! Fixtures for tests of entries: servers, peers and times.

// Each test crate uses a subset.
#![allow(dead_code)]

use std::{collections::HashMap, time::Duration};

use headlatch_core::{
    direct::{
        engine_model::EngineLoad,
        peers::{DomainKey, LoadNotice, PeerKind, PeerNotice, ServerNotice},
        server_table::{ServerTable, server_key},
    },
    time::Moment,
};
use headlatch_types::{
    id::{DomainId, ModelName},
    store::StoreRevision,
    traffic::{HeldLayers, HeldModel, ServerId, ServerRecord, WeightVersion},
};

/// Returns the moment `millis` milliseconds after the start.
pub fn at(millis: u64) -> Moment {
    Moment::ZERO + Duration::from_millis(millis)
}

/// Returns a duration in milliseconds.
pub fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// Returns the model of every engine.
pub fn model() -> ModelName {
    "m".parse().expect("a name")
}

/// Returns the record of an engine that has loaded a version completely.
pub fn server(name: &str, zone: &str, version: u64) -> ServerRecord {
    let layers = vec![HeldLayers { from: 0, until: 16, version: WeightVersion(version) }];
    let held = HeldModel { model: model(), version: WeightVersion(version), layers };
    ServerRecord {
        id: ServerId(name.into()),
        started_at: None,
        service: "llm".into(),
        address: format!("127.0.0.1:{}", 1000 + server_key(&ServerId(name.into())) % 60_000)
            .parse()
            .expect("an address"),
        zone: zone.parse().expect("a name"),
        slots: 16,
        draining: false,
        cold_ms: 0,
        models: vec![held],
    }
}

/// Returns the notice of an agent whose engine is about to change weights.
pub fn changing(record: &ServerRecord) -> ServerNotice {
    ServerNotice {
        address: record.address,
        whole: Some(WeightVersion(1)),
        changing: true,
        staged: None,
        sharing: None,
        zone: record.zone.clone(),
        service: record.service.to_string(),
        pace: None,
    }
}

/// Returns a table of `servers` for an entry in `z1` (region `r1`), with `z2` in region `r2`.
pub fn table(servers: &[ServerRecord]) -> ServerTable {
    let zone = |name: &str| -> DomainId { name.parse().expect("a name") };
    let region = |name: &str| name.parse().expect("a name");
    let regions = HashMap::from([(zone("z1"), region("r1")), (zone("z2"), region("r2"))]);
    let mut table = ServerTable::new(zone("z1"), regions);
    servers.iter().for_each(|server| table.set(at(0), server.clone(), StoreRevision::from_wire(1)));
    table
}

/// Returns the notice of an entry with requests at one server.
pub fn notice(from: &str, life: u64, sequence: u64, in_flight: u32) -> PeerNotice {
    let load = EngineLoad { in_flight, waiting_tokens: 0 };
    PeerNotice {
        incarnation: life,
        sequence,
        plan: 1,
        loads: vec![LoadNotice { server: 7, load }],
        ..PeerNotice::empty(from.parse().expect("an address"), PeerKind::Entry, DomainKey(1))
    }
}
