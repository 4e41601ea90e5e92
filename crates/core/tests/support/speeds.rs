//! Fixtures for tests of servers' speed: a fleet of engines and the notices of their agents.

// Each test crate uses a subset.
#![allow(dead_code)]

use std::time::Duration;

use headlatch_core::direct::{
    engine_model::EngineWork, peers::ServerNotice, server_table::ServerTable,
};
use headlatch_types::{
    pace::ServerPace,
    traffic::{EngineCapacity, ServerRecord, WeightVersion},
};

use super::entry::{changing, server, table};

pub const SERVERS: usize = 12;
pub const PROMPT: u64 = 800;
pub const OBJECTIVE: Duration = Duration::from_millis(400);

pub fn figures() -> EngineCapacity {
    EngineCapacity {
        slots: 16,
        memory_tokens: 317_000,
        step_ms: 9.27,
        stride: 1,
        read_per_second: 20_700.0,
        layers: 16,
        usual_prompt: PROMPT,
        usual_answer: 100,
        models: Vec::new(),
        warm_ms: 0,
        ..EngineCapacity::default()
    }
}

pub fn pace(factor: f64) -> ServerPace {
    ServerPace::try_from(factor).expect("a pace")
}

pub fn records() -> Vec<ServerRecord> {
    (0..SERVERS).map(|index| server(&format!("s{index}"), "z1", 1)).collect()
}

/// Returns the table of an entry that takes the pace of the servers into account.
pub fn pace_table() -> ServerTable {
    let mut table = table(&records());
    table.set_uses_pace(true);
    table
}

pub fn notice(record: &ServerRecord, pace: Option<ServerPace>) -> ServerNotice {
    ServerNotice { whole: Some(WeightVersion(1)), changing: false, pace, ..changing(record) }
}

pub fn work(figures: &EngineCapacity, prompt: u64) -> EngineWork {
    EngineWork::new(figures, Some(prompt), OBJECTIVE)
}
