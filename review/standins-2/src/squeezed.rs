//! A server crashes and starts again while the bytes of its answer, which has no length, are on their way over a narrow link.

use std::fs;
use std::sync::atomic::Ordering;
use std::time::Duration;

use crate::rig::{self, EntryPlace, Link, Process, Setup};
use crate::server::long_body;
use crate::store::Store;

/// Rate of the narrow link, 0.91 Mbit/s, in bytes a second.
const RATE: usize = 113_750;

/// Time from the crash to the new start.
const DOWN: Duration = Duration::from_millis(600);

const CONFIG: &str = r#"{"version":7,"routes":[
{"name":"r-lookup","host":"voka93.example","path_prefix":"/lookup/","kind":"unsafe","timeout_ms":6000,"target_latency_ms":300,"priority":2,"service":"rol-api","max_attempts":1,"allow_anonymous":false}],
"services":[{"name":"rol-api","health_path":"/health","max_connections":100,"protocol":"h1","tls":false}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"bozi300","api_keys":["jnbanfqasnmgkcuyj8pj"],"priority":1}]}"#;

pub fn play(setup: &Setup) -> Option<bool> {
    let record = &setup.record;
    let log = setup.folder.join("runs.log");
    let (log_name, address) = (log.display().to_string(), rig::free("127.0.0.1").to_string());
    let program = std::env::current_exe().ok()?;
    let (store, store_address) = Store::start();
    store.put("config", "main", CONFIG.as_bytes());
    let link = Link::start(address.parse().ok()?);
    let start = |id: &str| -> Option<Process> {
        let output = setup.folder.join(format!("{id}.log"));
        let process =
            Process::start(&program, &["server", &address, id, &log_name, "long"], &output).ok()?;
        std::thread::sleep(Duration::from_millis(100));
        let born = rig::unix_ms();
        let spec = format!(
            r#"{{"service":"rol-api","address":"{}","zone":"zone-a","version":"v1","slots":6,"state":"ready","cold_remaining_ms":0,"sequence":1,"born":{born}}}"#,
            link.address
        );
        store.put("servers", id, spec.as_bytes());
        record.note(format!("server {id} started, pid {}", process.id()));
        Some(process)
    };
    let mut server = start("i-000000a1")?;
    let place = EntryPlace::new("127.0.0.1");
    let _entry = rig::start_entry(setup, "front-zone-a-1", place, &[place], store_address, true)?;
    if !rig::wait_ready(place.admin, Duration::from_secs(20)) {
        record.note("the entry did not become ready");
        return None;
    }
    std::thread::sleep(Duration::from_secs(1));
    link.set_rate(RATE);
    record.note("the link to the server is narrow");
    let mut broken = false;
    for number in 1..=2 {
        let id = format!("lookup-{number}");
        let before = link.returned.load(Ordering::SeqCst);
        let call = {
            let id = id.clone();
            std::thread::spawn(move || {
                let headers = format!(
                    "Host: voka93.example\r\nRequest-Id: {id}\r\nDeadline-Ms: 6000\r\nApi-Key: jnbanfqasnmgkcuyj8pj\r\n"
                );
                rig::request(place.listen, "POST", &format!("/lookup/{id}"), &headers, b"{}")
            })
        };
        if setup.trouble {
            while link.returned.load(Ordering::SeqCst) == before {
                std::thread::sleep(Duration::from_millis(2));
            }
            std::thread::sleep(Duration::from_millis(100));
            server.kill();
            record.note("the server is killed");
            std::thread::sleep(DOWN);
            server = start(&format!("i-000000b{number}"))?;
        }
        let (answer, whole) = (call.join().ok()?, long_body(&id));
        let is_whole = answer.body == whole.as_bytes();
        let partial = answer.status() == "200" && answer.appears_complete() && !is_whole;
        broken |= partial;
        record.note(format!(
            "{id}: status {}, {} of {} bytes, end {:?}, after {} ms{}",
            answer.status(),
            answer.body.len(),
            whole.len(),
            answer.end,
            answer.took.as_millis(),
            if partial { ": PART OF AN ANSWER AS A WHOLE ONE" } else { "" },
        ));
        std::thread::sleep(Duration::from_secs(2));
    }
    let text = fs::read_to_string(&log).unwrap_or_default();
    text.lines().for_each(|line| record.note(format!("server: {line}")));
    Some(broken)
}
