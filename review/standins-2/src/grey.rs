//! A server fails part of its requests after it has run them, with a 503 that does not state `Not-Executed`.

use std::collections::{BTreeMap, BTreeSet};
use std::fs;
use std::time::{Duration, Instant};

use crate::rig::{self, Answer, EntryPlace, Process, Setup};
use crate::store::Store;

/// Length of the disruption.
const LENGTH: Duration = Duration::from_millis(6500);

/// Time between two new requests.
const INTERVAL: Duration = Duration::from_millis(75);

const SERVERS: [&str; 3] = ["i-000000a1", "i-000000b2", "i-000000c3"];

const CONFIG: &str = r#"{"version":7,"routes":[
{"name":"r-lookup","host":"hulo84.example","path_prefix":"/lookup/","kind":"unsafe","timeout_ms":4000,"target_latency_ms":300,"priority":2,"service":"rol-api","max_attempts":2,"allow_anonymous":false}],
"services":[{"name":"rol-api","health_path":"/health","max_connections":100,"protocol":"h1","tls":false}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"bozi300","api_keys":["jnbanfqasnmgkcuyj8pj"],"priority":1}]}"#;

/// One try of a client.
struct Try {
    id: String,
    status: String,
}

fn ask(entry: EntryPlace, subject: usize, id: &str) -> Answer {
    let headers = format!(
        "Host: hulo84.example\r\nRequest-Id: {id}\r\nDeadline-Ms: 4000\r\nApi-Key: jnbanfqasnmgkcuyj8pj\r\n"
    );
    let body = format!("{{\"subject\":{subject}}}");
    rig::request(entry.listen, "POST", "/lookup/one", &headers, body.as_bytes())
}

/// A client: it asks once more after a promise that the request has not run and never will.
fn call(setup_record: &rig::Record, entries: [EntryPlace; 2], subject: usize) -> Vec<Try> {
    let mut tries = Vec::new();
    for number in 0..2 {
        let id = format!("lookup-{subject}-{number}");
        let answer = ask(entries[(subject + number) % 2], subject, &id);
        let status = answer.status().to_owned();
        setup_record.note(format!(
            "{id}: status {status} after {} ms, stamp {}",
            answer.took.as_millis(),
            answer.head.as_ref().and_then(|head| head.get("response-stamp")).unwrap_or("-")
        ));
        let promised = ["408", "421", "429", "503"].contains(&status.as_str());
        tries.push(Try { id, status });
        if !promised {
            break;
        }
    }
    tries
}

pub fn play(setup: &Setup) -> Option<bool> {
    let record = &setup.record;
    let program = std::env::current_exe().ok()?;
    let log = setup.folder.join("runs.log");
    let log_name = log.display().to_string();
    let (store, store_address) = Store::start();
    store.put("config", "main", CONFIG.as_bytes());
    let mut servers = Vec::new();
    for (number, id) in SERVERS.into_iter().enumerate() {
        let address = rig::free("127.0.0.1").to_string();
        let kind = if number == 0 && setup.trouble { "grey" } else { "framed" };
        let output = setup.folder.join(format!("{id}.log"));
        let arguments = ["server", &address, id, &log_name, kind];
        servers.push(Process::start(&program, &arguments, &output).ok()?);
        let spec = format!(
            r#"{{"service":"rol-api","address":"{address}","zone":"zone-a","version":"v1","slots":6,"state":"ready","cold_remaining_ms":0,"sequence":1,"born":{}}}"#,
            rig::unix_ms()
        );
        store.put("servers", id, spec.as_bytes());
        record.note(format!("server {id} at {address}: {kind}"));
    }
    let places = [EntryPlace::new("127.0.0.1"), EntryPlace::new("127.0.0.2")];
    let mut entries = Vec::new();
    for (name, place) in ["front-zone-a-1", "front-zone-a-2"].into_iter().zip(places) {
        entries.push(rig::start_entry(setup, name, place, &places, store_address, true)?);
    }
    if !places.iter().all(|place| rig::wait_ready(place.admin, Duration::from_secs(20))) {
        record.note("the entries did not become ready");
        return None;
    }
    std::thread::sleep(Duration::from_secs(2));
    let begun = Instant::now();
    let mut calls = Vec::new();
    for subject in 0.. {
        if begun.elapsed() >= LENGTH {
            break;
        }
        let record = record.clone();
        calls.push(std::thread::spawn(move || call(&record, places, subject)));
        std::thread::sleep(INTERVAL);
    }
    let calls: Vec<Vec<Try>> = calls.into_iter().filter_map(|one| one.join().ok()).collect();
    drop(entries);
    let text = fs::read_to_string(&log).unwrap_or_default();
    text.lines().for_each(|line| record.note(format!("server: {line}")));
    let runs: BTreeSet<&str> =
        text.lines().filter_map(|line| line.strip_prefix("run ")?.split(' ').next()).collect();
    let mut answers: BTreeMap<&str, usize> = BTreeMap::new();
    let (mut promised, mut twice) = (0, 0);
    for tries in &calls {
        for one in tries {
            *answers.entry(&one.status).or_default() += 1;
            let is_promise = ["408", "421", "429", "503"].contains(&one.status.as_str());
            if is_promise && runs.contains(one.id.as_str()) {
                promised += 1;
                record.note(format!("{}: answered {} AND HAS RUN", one.id, one.status));
            }
        }
        twice += usize::from(tries.iter().filter(|one| runs.contains(one.id.as_str())).count() > 1);
    }
    record.note(format!("answers by status: {answers:?}"));
    record.note(format!("requests that were answered with a promise and have run: {promised}"));
    record.note(format!("operations that were executed twice: {twice} of {}", calls.len()));
    if answers.get("200").copied().unwrap_or(0) == 0 {
        return None;
    }
    Some(promised > 0)
}
