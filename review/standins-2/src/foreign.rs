//! Another writer's entry stands among the servers, and its bytes are unreadable.

use std::fs;
use std::path::Path;
use std::time::{Duration, Instant};

use crate::rig::{self, EntryPlace, Process, Setup};
use crate::store::Store;

/// Bound `drain_ms` of the small sites.
const DRAIN: Duration = Duration::from_millis(2000);

/// Bound `recovery_s` of the small sites.
const RECOVERY: Duration = Duration::from_secs(12);

const CONFIG: &str = r#"{"version":7,"routes":[
{"name":"r-fetch","host":"hulo84.example","path_prefix":"/fetch/","kind":"safe","timeout_ms":2000,"target_latency_ms":300,"priority":2,"service":"rol-api","max_attempts":2,"allow_anonymous":false}],
"services":[{"name":"rol-api","health_path":"/health","max_connections":100,"protocol":"h1","tls":false}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"bozi300","api_keys":["jnbanfqasnmgkcuyj8pj"],"priority":1}]}"#;

/// The other writer's entry: one of its fields has bytes that are no text.
const UNREADABLE: &[u8] = b"{\"service\":\"\xff\x00\x9c\x1b\",\"address\":7}";

struct Case<'a> {
    setup: &'a Setup,
    places: [EntryPlace; 2],
    asked: usize,
}

impl Case<'_> {
    /// Sends requests to the two entries in turn, ten a second; returns how many got a success.
    fn ask(&mut self, count: usize, purpose: &str) -> usize {
        let mut served = 0;
        for _ in 0..count {
            self.asked += 1;
            let (id, place) = (format!("fetch-{}", self.asked), self.places[self.asked % 2]);
            let headers = format!(
                "Host: hulo84.example\r\nRequest-Id: {id}\r\nDeadline-Ms: 4000\r\nApi-Key: jnbanfqasnmgkcuyj8pj\r\n"
            );
            let answer = rig::request(place.listen, "GET", &format!("/fetch/{id}"), &headers, b"");
            served += usize::from(answer.status() == "200" && answer.appears_complete());
            self.setup.record.note(format!(
                "{purpose}: {id} to {}: status {} after {} ms",
                place.listen,
                answer.status(),
                answer.took.as_millis()
            ));
            std::thread::sleep(Duration::from_millis(100).saturating_sub(answer.took));
        }
        served
    }
}

fn register(store: &Store, id: &str, address: &str, state: &str, born: u128) {
    let spec = format!(
        r#"{{"service":"rol-api","address":"{address}","zone":"zone-a","version":"v1","slots":6,"state":"{state}","cold_remaining_ms":0,"sequence":1,"born":{born}}}"#
    );
    store.put("servers", id, spec.as_bytes());
}

/// Number of requests that a server has run.
fn runs(log: &Path) -> usize {
    fs::read_to_string(log)
        .unwrap_or_default()
        .lines()
        .filter(|line| line.starts_with("run "))
        .count()
}

pub fn play(setup: &Setup) -> Option<bool> {
    let record = &setup.record;
    let program = std::env::current_exe().ok()?;
    let (store, store_address) = Store::start();
    store.put("config", "main", CONFIG.as_bytes());
    let mut servers = Vec::new();
    for id in ["i-000000a1", "i-000000b2"] {
        let (address, log) = (rig::free("127.0.0.1").to_string(), setup.folder.join(id));
        let log_name = log.display().to_string();
        let output = setup.folder.join(format!("{id}.log"));
        let process =
            Process::start(&program, &["server", &address, id, &log_name, "framed"], &output)
                .ok()?;
        let born = rig::unix_ms();
        register(&store, id, &address, "ready", born);
        servers.push((id, address, log, process, born));
    }
    let places = [EntryPlace::new("127.0.0.1"), EntryPlace::new("127.0.0.2")];
    let names = ["front-zone-a-1", "front-zone-a-2"];
    let start = |number: usize, first| {
        rig::start_entry(setup, names[number], places[number], &places, store_address, first)
    };
    let mut entries = vec![start(0, true)?, start(1, true)?];
    if !places.iter().all(|place| rig::wait_ready(place.admin, Duration::from_secs(20))) {
        record.note("the entries did not become ready");
        return None;
    }
    let mut case = Case { setup, places, asked: 0 };
    let before = case.ask(20, "before");
    record.note(format!("served before: {before} of 20"));
    if before < 20 {
        return None;
    }
    if setup.trouble {
        store.put("servers", "x-other-writer", UNREADABLE);
        record.note("another writer's unreadable entry stands among the servers");
    }
    std::thread::sleep(Duration::from_secs(1));

    // Planned work: the second server announces that it leaves, and ends later than drain_ms.
    let (id, address, log, mut process, born) = servers.pop()?;
    register(&store, id, &address, "draining", born);
    let announced = Instant::now();
    record.note(format!("the store has taken that {id} is draining"));
    case.ask(20, "draining");
    std::thread::sleep((DRAIN + Duration::from_millis(100)).saturating_sub(announced.elapsed()));
    let in_time = runs(&log);
    case.ask(20, "drained");
    let late = runs(&log) - in_time;
    record.note(format!("requests that {id} ran later than drain_ms after that: {late}"));
    process.kill();
    store.remove("servers", id);
    record.note(format!("{id} has ended and its entry is gone"));

    // The final fault: all processes are killed and started again.
    entries.iter_mut().for_each(Process::kill);
    record.note("all processes of the system are killed");
    entries = vec![start(0, false)?, start(1, false)?];
    record.note("they are started again");
    std::thread::sleep(RECOVERY);
    let ready = places.iter().filter(|place| rig::ready(place.admin)).count();
    record.note(format!("ready after recovery_s: {ready} of 2"));
    let after = case.ask(20, "after");
    record.note(format!("served later than recovery_s: {after} of 20"));
    drop(entries);
    Some(4 * after < 20)
}
