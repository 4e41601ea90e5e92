//! A server in need names a limit in its answers: entries that know of it keep it together.

mod support;

use std::{sync::Arc, time::Duration};

use googletest::prelude::*;
use headlatch_outside::{
    facts::{Fact, FactTopic},
    headers::HeaderForm,
};
use headlatch_platform::PlatformHeaders;
use http::StatusCode;
use support::{
    TestStore, ask_with,
    entries::{EntryProcess, start_all_with},
    plan, record,
    speaking::{SpeakingServer, most_in_span},
};
use tokio::{runtime::Runtime, time::Instant};

const ENTRIES: u8 = 3;

/// Entries before servers of one service.
struct Setting {
    callers: Runtime,
    entries: Vec<EntryProcess>,
    servers: Vec<SpeakingServer>,
}

impl Setting {
    fn new(servers: usize) -> Self {
        let callers = Runtime::new().expect("a runtime");
        let store = Arc::new(TestStore::default());
        store.set(FactTopic::Plan, "main", Fact::Plan(Box::new(plan(5))));
        let servers: Vec<SpeakingServer> =
            (0..servers).map(|_| callers.block_on(SpeakingServer::start())).collect();
        for (number, server) in servers.iter().enumerate() {
            let name = format!("i{number}");
            store.set(FactTopic::Servers, &name, Fact::Server(record(&name, server.address, "z1")));
        }
        let headers: Arc<dyn HeaderForm> = Arc::new(PlatformHeaders);
        let entries = start_all_with(ENTRIES, &store, &Arc::default(), &headers);
        Self { callers, entries, servers }
    }

    /// Has callers come to all entries, each every `pause`, for `time`; the shares of requests that were
    /// served and that were refused.
    fn press(&self, pause: Duration, time: Duration) -> (f64, f64) {
        let until = Instant::now() + time;
        let callers = self.entries.iter().enumerate().map(|(number, entry)| {
            let address = entry.entry.address;
            async move {
                let mut statuses = Vec::new();
                while Instant::now() < until {
                    let id = format!("{number}-{}", statuses.len());
                    let lines = [("request-id", id.as_str()), ("api-key", "k")];
                    let answer = ask_with(address, "/safe/a", &lines).await;
                    statuses.push(answer.map(|answer| answer.status).ok());
                    tokio::time::sleep(pause).await;
                }
                statuses
            }
        });
        let asked = futures_util::future::join_all(callers);
        let statuses = self.callers.block_on(asked).concat();
        let share = |status: StatusCode| {
            let count = statuses.iter().filter(|got| **got == Some(status)).count();
            count as f64 / statuses.len() as f64
        };
        (share(StatusCode::OK), share(StatusCode::SERVICE_UNAVAILABLE))
    }
}

impl Drop for Setting {
    fn drop(&mut self) {
        self.entries.drain(..).for_each(EntryProcess::kill);
    }
}

/// Requests that a server may get in four seconds at `limit` a second.
fn allowed(limit: f64) -> usize {
    (limit * 4.0 * 1.5) as usize + 5
}

#[gtest]
fn limited_server_gets_no_more_than_its_limit_from_all_entries() {
    let setting = Setting::new(2);
    let limited = &setting.servers[0];
    limited.say(&["server-limit: 2"]);
    let named = Instant::now();
    let (served, _) = setting.press(Duration::from_millis(100), Duration::from_secs(9));
    let from = named + Duration::from_secs(3);
    let most = most_in_span(&limited.arrivals(), Duration::from_secs(4), from);
    expect_that!(most, le(allowed(2.0)));
    // It still works for as much as it has named.
    expect_that!(most, ge(4));
    expect_that!(served, ge(0.99));
}
