//! A server crashes behind a cut and starts again under its former id, while it sends answers without a length.

use std::sync::atomic::Ordering;
use std::time::Duration;

use crate::rig::{self, Answer, EntryPlace, Link, Process, Setup};
use crate::server::whole_body;
use crate::store::Store;

/// Length of the cut.
const CUT: Duration = Duration::from_millis(2500);

/// Time from the crash to the new start.
const DOWN: Duration = Duration::from_millis(500);

const SERVER: &str = "i-7f3a91c2";

const CONFIG: &str = r#"{"version":7,"routes":[
{"name":"r-lookup","host":"voka93.example","path_prefix":"/lookup/","kind":"unsafe","timeout_ms":6000,"target_latency_ms":300,"priority":2,"service":"rol-api","max_attempts":1,"allow_anonymous":false},
{"name":"r-stream","host":"voka93.example","path_prefix":"/stream/","kind":"streaming","timeout_ms":6000,"target_latency_ms":500,"priority":1,"service":"rol-api","max_attempts":2,"allow_anonymous":false,"resume_streams":true,"gap_target_ms":400}],
"services":[{"name":"rol-api","health_path":"/health","max_connections":100,"protocol":"h1","tls":false}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"bozi300","api_keys":["jnbanfqasnmgkcuyj8pj"],"priority":1}]}"#;

fn register(store: &Store, link: &Link, born: u128, sequence: u32) {
    let spec = format!(
        r#"{{"service":"rol-api","address":"{}","zone":"zone-a","version":"v1","slots":6,"state":"ready","cold_remaining_ms":0,"sequence":{sequence},"born":{born}}}"#,
        link.address
    );
    store.put("servers", SERVER, spec.as_bytes());
}

fn ask(entry: EntryPlace, kind: &'static str, id: &str) -> Answer {
    let path = format!("/{kind}/{id}");
    let headers = format!(
        "Host: voka93.example\r\nRequest-Id: {id}\r\nDeadline-Ms: 6000\r\nApi-Key: jnbanfqasnmgkcuyj8pj\r\n"
    );
    rig::request(entry.listen, "POST", &path, &headers, b"{}")
}

pub fn play(setup: &Setup) -> Option<bool> {
    let record = &setup.record;
    let log = setup.folder.join("runs.log");
    let (log_name, address) = (log.display().to_string(), rig::free("127.0.0.1"));
    let rig_program = std::env::current_exe().ok()?;
    let start_server = |name: &str| {
        let (address, output) = (address.to_string(), setup.folder.join(name));
        Process::start(&rig_program, &["server", &address, SERVER, &log_name, "unframed"], &output)
            .ok()
    };
    let (store, store_address) = Store::start();
    store.put("config", "main", CONFIG.as_bytes());
    let link = Link::start(address);
    let mut server = start_server("server-1.log")?;
    let born = rig::unix_ms();
    register(&store, &link, born, 1);
    record.note(format!("server {SERVER} started, pid {}, born {born}", server.id()));
    let place = EntryPlace::new("127.0.0.1");
    let _entry = rig::start_entry(setup, "front-zone-a-1", place, &[place], store_address, true)?;
    if !rig::wait_ready(place.admin, Duration::from_secs(20)) {
        record.note("the entry did not become ready");
        return None;
    }
    record.note("the entry is ready");
    std::thread::sleep(Duration::from_secs(1));

    // A request before the disruption shows that answers without a length arrive whole.
    let mut broken = false;
    for kind in ["lookup", "stream"] {
        broken |= judge(
            setup,
            kind,
            &format!("{kind}-before"),
            &ask(place, kind, &format!("{kind}-before")),
        );
    }
    let before = link.returned.load(Ordering::SeqCst);
    let names: Vec<(&'static str, String)> = (1..=3)
        .flat_map(|number| ["lookup", "stream"].map(|kind| (kind, format!("{kind}-{number}"))))
        .collect();
    let calls: Vec<_> = names
        .iter()
        .cloned()
        .map(|(kind, id)| std::thread::spawn(move || ask(place, kind, &id)))
        .collect();
    if setup.trouble {
        // The cut begins once the first halves of all answers have passed the link.
        while link.returned.load(Ordering::SeqCst) < before + names.len() * 300 {
            std::thread::sleep(Duration::from_millis(2));
        }
        std::thread::sleep(Duration::from_millis(30));
        link.set_cut(true);
        record.note("the link to the server is cut");
        std::thread::sleep(Duration::from_millis(20));
        server.kill();
        record.note("the server is killed");
        std::thread::sleep(DOWN);
        server = start_server("server-2.log")?;
        std::thread::sleep(Duration::from_millis(200));
        let born = rig::unix_ms();
        register(&store, &link, born, 1);
        record.note(format!("server {SERVER} started again, pid {}, born {born}", server.id()));
        std::thread::sleep(CUT - DOWN - Duration::from_millis(220));
        link.set_cut(false);
        record.note("the cut is over");
    }
    for ((kind, id), call) in names.iter().zip(calls) {
        broken |= judge(setup, kind, id, &call.join().ok()?);
    }
    let text = std::fs::read_to_string(&log).unwrap_or_default();
    text.lines().for_each(|line| record.note(format!("server: {line}")));
    drop(server);
    Some(broken)
}

/// Records an answer; returns whether it is a success that appears complete and lacks a part of the server's body.
fn judge(setup: &Setup, kind: &str, id: &str, answer: &Answer) -> bool {
    let whole = whole_body(id, kind == "stream");
    let is_whole = answer.body == whole.as_bytes();
    let broken = answer.status() == "200" && answer.appears_complete() && !is_whole;
    setup.record.note(format!(
        "{id}: status {}, {} of {} bytes, end {:?}, after {} ms{}",
        answer.status(),
        answer.body.len(),
        whole.len(),
        answer.end,
        answer.took.as_millis(),
        if broken { ": PART OF AN ANSWER AS A WHOLE ONE" } else { "" },
    ));
    broken
}
