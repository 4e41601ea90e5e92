//! Two servers are cut off from the store for a few seconds: their entries lapse, and are back with the next heartbeat.

use std::time::{Duration, Instant};

use crate::rig::{self, EntryPlace, Process, Setup};
use crate::store::Store;

/// Bound `config_apply_ms` of the small sites.
const CONFIG_APPLY: Duration = Duration::from_millis(2000);

/// Bound `contact_ms` of the small sites.
const CONTACT: Duration = Duration::from_millis(3000);

/// Length of the cut.
const CUT: Duration = Duration::from_millis(3700);

/// Time from the beginning of the cut to the first lapse: three heartbeats of 1.2 s after the last one.
const LAPSE: Duration = Duration::from_millis(3500);

/// Time between the lapses of the two entries.
const APART: Duration = Duration::from_millis(100);

/// Time from the lapse of an entry to its return.
const AWAY: Duration = Duration::from_millis(400);

/// Number of requests on the routes of each sort in the steady state.
const COUNT: usize = 40;

const SERVERS: [(&str, &str); 3] =
    [("i-000000a1", "rol-api"), ("i-000000b2", "rol-api"), ("i-000000c3", "balie-app")];

const FIRST_ROUTE: &str = r#"{"name":"r-fetch","host":"hulo84.example","path_prefix":"/fetch/","kind":"safe","timeout_ms":2000,"target_latency_ms":300,"priority":2,"service":"rol-api","max_attempts":2,"allow_anonymous":false}"#;

const ADDED_ROUTE: &str = r#"{"name":"r-desk","host":"hulo84.example","path_prefix":"/desk/","kind":"safe","timeout_ms":2000,"target_latency_ms":300,"priority":2,"service":"balie-app","max_attempts":2,"allow_anonymous":false}"#;

fn config(version: u32, routes: &[&str]) -> String {
    format!(
        r#"{{"version":{version},"routes":[{}],
"services":[{{"name":"rol-api","health_path":"/health","max_connections":100,"protocol":"h1","tls":false}},
{{"name":"balie-app","health_path":"/health","max_connections":48,"protocol":"h1","tls":false}}],
"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},
"tenants":[{{"name":"bozi300","api_keys":["jnbanfqasnmgkcuyj8pj"],"priority":1}}]}}"#,
        routes.join(",")
    )
}

struct Case<'a> {
    setup: &'a Setup,
    places: [EntryPlace; 2],
    asked: usize,
}

impl Case<'_> {
    /// Sends one request to each entry in turn; returns whether it got a success.
    fn ask(&mut self, route: &str, purpose: &str) -> bool {
        self.asked += 1;
        let (id, place) = (format!("{route}-{}", self.asked), self.places[self.asked / 2 % 2]);
        let headers = format!(
            "Host: hulo84.example\r\nRequest-Id: {id}\r\nDeadline-Ms: 4000\r\nApi-Key: jnbanfqasnmgkcuyj8pj\r\n"
        );
        let answer = rig::request(place.listen, "GET", &format!("/{route}/{id}"), &headers, b"");
        let served = answer.status() == "200" && answer.appears_complete();
        self.setup.record.note(format!(
            "{purpose}: {id} to {}: status {} after {} ms",
            place.listen,
            answer.status(),
            answer.took.as_millis()
        ));
        std::thread::sleep(Duration::from_millis(250).saturating_sub(answer.took));
        served
    }

    /// Asks for both routes in turn; returns how many were served on the first one and on the added one.
    fn ask_both(&mut self, count: usize, purpose: &str) -> (usize, usize) {
        let (mut first, mut added) = (0, 0);
        for _ in 0..count {
            first += usize::from(self.ask("fetch", purpose));
            added += usize::from(self.ask("desk", purpose));
        }
        (first, added)
    }
}

struct Server {
    id: &'static str,
    service: &'static str,
    address: String,
    _process: Process,
    born: u128,
}

impl Server {
    fn start(
        setup: &Setup,
        id: &'static str,
        service: &'static str,
        address: String,
    ) -> Option<Self> {
        let program = std::env::current_exe().ok()?;
        let log = setup.folder.join(id).display().to_string();
        let output = setup.folder.join(format!("{id}-{}.log", rig::unix_ms()));
        let arguments = ["server", &address, id, &log, "framed"];
        let process = Process::start(&program, &arguments, &output).ok()?;
        Some(Self { id, service, address, _process: process, born: rig::unix_ms() })
    }

    fn register(&self, store: &Store, state: &str) {
        let Self { id, service, address, born, .. } = self;
        let spec = format!(
            r#"{{"service":"{service}","address":"{address}","zone":"zone-a","version":"v1","slots":6,"state":"{state}","cold_remaining_ms":0,"sequence":1,"born":{born}}}"#
        );
        store.put("servers", id, spec.as_bytes());
    }
}

fn sleep_until(moment: Instant) {
    std::thread::sleep(moment.saturating_duration_since(Instant::now()));
}

/// Cuts two servers off from the store: their heartbeats stay away, their entries lapse, and they are back with the next
/// heartbeat after the cut. The servers go on serving all the while, and nothing else is cut.
fn cut_off(setup: &Setup, store: &Store, servers: &[Server]) {
    let record = &setup.record;
    record.note("two servers are cut off from the store");
    let begun = Instant::now();
    let lapses = (0..servers.len()).map(|number| begun + LAPSE + APART * number as u32);
    let lapses: Vec<Instant> = lapses.collect();
    for (server, lapse) in servers.iter().zip(&lapses) {
        sleep_until(*lapse);
        store.remove("servers", server.id);
        record.note(format!("the entry of {} of {} has lapsed", server.id, server.service));
    }
    sleep_until(begun + CUT);
    record.note("the cut is over");
    for (server, lapse) in servers.iter().zip(&lapses) {
        sleep_until(*lapse + AWAY);
        server.register(store, "ready");
        record.note(format!("the entry of {} is back", server.id));
    }
}

pub fn play(setup: &Setup) -> Option<bool> {
    let record = &setup.record;
    let (store, store_address) = Store::start();
    store.put("config", "main", config(7, &[FIRST_ROUTE]).as_bytes());
    let mut servers = Vec::new();
    for (id, service) in SERVERS {
        let server = Server::start(setup, id, service, rig::free("127.0.0.1").to_string())?;
        server.register(&store, "ready");
        servers.push(server);
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
    store.put("config", "main", config(11, &[FIRST_ROUTE, ADDED_ROUTE]).as_bytes());
    record.note("the store has taken the configuration that adds the route r-desk");
    std::thread::sleep(CONFIG_APPLY);
    let mut case = Case { setup, places, asked: 0 };
    let before = case.ask_both(10, "before");
    record.note(format!("served before: {} and {} of 10", before.0, before.1));
    if before != (10, 10) {
        return None;
    }
    if setup.trouble {
        cut_off(setup, &store, &servers[1..]);
    }
    std::thread::sleep(CONTACT);
    record.note("no disruption for contact_ms");
    let (first, added) = case.ask_both(COUNT, "steady");
    record.note(format!("served on the first route: {first} of {COUNT}"));
    record.note(format!("served on the route that was added later: {added} of {COUNT}"));
    // Both servers are sound: each answers when it is asked directly.
    for server in &servers {
        let address = server.address.parse().ok()?;
        let headers = format!(
            "Host: hulo84.example\r\nRequest-Id: direct\r\nExpect-Instance: {}\r\n",
            server.id
        );
        let answer = rig::request(address, "GET", "/health", &headers, b"");
        record.note(format!("{} asked directly: status {}", server.id, answer.status()));
    }
    drop(entries);
    Some(4 * added < first)
}
