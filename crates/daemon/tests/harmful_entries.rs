//! Several entries, each with its own runtime and sockets, in front of servers that a harmful
//! request crashes. What one entry observes must reach all of them, and must survive the loss of
//! all of them.

mod support;

use std::{sync::Arc, time::Duration};

use googletest::prelude::*;
use headlatch_outside::facts::{Fact, FactTopic};
use http::StatusCode;
use support::{
    TestStore, ask_with,
    entries::{EntryProcess, start_all},
    kept::KeptList,
    mortal::MortalServer,
    paced::EventPace,
    plan, record,
};
use tokio::runtime::Runtime;

#[gtest]
fn entries_share_quarantines_and_restore_them_after_all_were_killed() {
    let callers = Runtime::new().expect("runtime");
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
        // As long as a caller waits before the next request, and longer than two notice intervals.
        std::thread::sleep(Duration::from_millis(300));
    }
    expect_that!(ended(), le(3));
    for (number, entry) in entries.iter().enumerate() {
        let answer = ask(entry, "/stream/harmful").expect("response");
        expect_that!(answer.status, eq(StatusCode::SERVICE_UNAVAILABLE), "entry {number}");
        let sound = ask(entry, &format!("/stream/sound{number}")).expect("response");
        expect_that!(sound.status, eq(StatusCode::OK), "entry {number}");
    }
    expect_that!(kept.kept().len(), ge(1));
    entries.into_iter().for_each(EntryProcess::kill);
    let before = ended();
    let entries = start_all(3, &store, &kept);
    // Within the 3 s after a start in which an entry is not yet required to know it.
    std::thread::sleep(Duration::from_millis(1500));
    for (number, entry) in entries.iter().enumerate() {
        let answer = ask(entry, "/stream/harmful").expect("response");
        expect_that!(answer.status, eq(StatusCode::SERVICE_UNAVAILABLE), "entry {number}, again");
    }
    expect_that!(ended(), eq(before));
    entries.into_iter().for_each(EntryProcess::kill);
}
