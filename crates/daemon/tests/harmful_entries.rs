//! Several entries, each with a runtime and sockets of its own, before servers that a harmful request
//! ends: what one of them has seen all of them must know, also after all have been killed.

mod support;

use std::{
    net::{Ipv4Addr, SocketAddr},
    sync::{Arc, Mutex},
    time::Duration,
};

use googletest::prelude::*;
use headlatch_daemon::direct::entry::DirectEntry;
use headlatch_outside::{
    OutsideFuture,
    facts::{Fact, FactTopic, StoreFailure},
    quarantine::{KeptQuarantine, QuarantineStore},
};
use headlatch_types::{direct_settings::DirectEntrySettings, request::RequestDigest};
use http::StatusCode;
use support::{
    TestHeaders, TestStore, ask_with, mortal::MortalServer, paced::EventPace, plan, record,
    settings,
};
use tokio::runtime::Runtime;

/// Where notices of all entries are heard.
const CONTROL_PORT: u16 = 7700;

/// An address of this process alone, so that tests beside it cannot be met.
fn place(number: u8) -> SocketAddr {
    let [_, _, high, low] = std::process::id().to_be_bytes();
    SocketAddr::from((Ipv4Addr::new(127, high | 0x80, low, number), CONTROL_PORT))
}

#[derive(Debug, Default)]
struct KeptList(Mutex<Vec<KeptQuarantine>>);

impl KeptList {
    fn count(&self) -> usize {
        self.0.lock().expect("no test panics with it").len()
    }
}

impl QuarantineStore for KeptList {
    fn list_kept(
        &self,
    ) -> OutsideFuture<'_, std::result::Result<Vec<KeptQuarantine>, StoreFailure>> {
        Box::pin(async { Ok(self.0.lock().expect("no test panics with it").clone()) })
    }

    fn keep(
        &self,
        quarantine: KeptQuarantine,
    ) -> OutsideFuture<'_, std::result::Result<(), StoreFailure>> {
        self.0.lock().expect("no test panics with it").push(quarantine);
        Box::pin(async { Ok(()) })
    }

    fn lift(
        &self,
        digest: RequestDigest,
    ) -> OutsideFuture<'_, std::result::Result<(), StoreFailure>> {
        self.0.lock().expect("no test panics with it").retain(|one| one.digest != digest);
        Box::pin(async { Ok(()) })
    }
}

/// An entry that can be killed.
struct EntryProcess {
    runtime: Runtime,
    entry: DirectEntry,
}

impl EntryProcess {
    fn start(number: u8, count: u8, store: Arc<TestStore>, kept: Arc<KeptList>) -> Self {
        let mut own: DirectEntrySettings = settings();
        own.node.control = place(number);
        own.direct.seeds = (1..=count).filter(|one| *one != number).map(place).collect();
        let runtime = Runtime::new().expect("a runtime");
        let headers = Arc::new(TestHeaders);
        let entry = runtime.block_on(DirectEntry::start_keeping(own, store, headers, kept));
        Self { runtime, entry: entry.expect("it starts") }
    }

    fn knows(&self, count: usize) -> bool {
        self.entry.state.is_ready() && self.entry.state.entries() == count
    }

    fn kill(self) {
        // Its ports must be free before another one starts there.
        self.runtime.shutdown_timeout(Duration::from_secs(5));
    }
}

fn start_all(count: u8, store: &Arc<TestStore>, kept: &Arc<KeptList>) -> Vec<EntryProcess> {
    let start = |number| EntryProcess::start(number, count, store.clone(), kept.clone());
    let entries: Vec<EntryProcess> = (1..=count).map(start).collect();
    while !entries.iter().all(|one| one.knows(count.into())) {
        std::thread::sleep(Duration::from_millis(20));
    }
    entries
}

#[gtest]
fn entries_agree_on_what_they_refuse_and_know_it_after_all_were_killed() {
    let callers = Runtime::new().expect("a runtime");
    let store = Arc::new(TestStore::default());
    store.set(FactTopic::Plan, "main", Fact::Plan(Box::new(plan(5))));
    let mut servers = Vec::new();
    for number in 0..8 {
        let server = callers.block_on(MortalServer::start(EventPace::default()));
        let name = format!("i{number}");
        store.set(FactTopic::Servers, &name, Fact::Server(record(&name, server.address, "z1")));
        servers.push(server);
    }
    let kept = Arc::new(KeptList::default());
    let ended = || servers.iter().filter(|server| server.has_ended()).count();
    let ask = |entry: &EntryProcess, path: &str| {
        let asked = ask_with(entry.entry.address, path, &[("x-key", "k")]);
        callers.block_on(asked)
    };
    let entries = start_all(3, &store, &kept);
    for coming in 0..9 {
        let _ = ask(&entries[coming % 3], "/stream/harmful");
        // As long as a caller waits before the next one, and longer than two notices.
        std::thread::sleep(Duration::from_millis(300));
    }
    expect_that!(ended(), le(3));
    for (number, entry) in entries.iter().enumerate() {
        let answer = ask(entry, "/stream/harmful").expect("an answer");
        expect_that!(answer.status, eq(StatusCode::SERVICE_UNAVAILABLE), "entry {number}");
        let sound = ask(entry, &format!("/stream/sound{number}")).expect("an answer");
        expect_that!(sound.status, eq(StatusCode::OK), "entry {number}");
    }
    expect_that!(kept.count(), ge(1));
    entries.into_iter().for_each(EntryProcess::kill);
    let before = ended();
    let entries = start_all(3, &store, &kept);
    // Within the three seconds in which an entry that has just started is not held to it.
    std::thread::sleep(Duration::from_millis(1500));
    for (number, entry) in entries.iter().enumerate() {
        let answer = ask(entry, "/stream/harmful").expect("an answer");
        expect_that!(answer.status, eq(StatusCode::SERVICE_UNAVAILABLE), "entry {number}, again");
    }
    expect_that!(ended(), eq(before));
    entries.into_iter().for_each(EntryProcess::kill);
}
