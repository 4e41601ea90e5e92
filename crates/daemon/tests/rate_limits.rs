//! A rate limit that a server advertises in its responses applies to all entries together.

mod support;

use std::{
    sync::{
        Arc,
        atomic::{AtomicU8, Ordering},
    },
    time::Duration,
};

use googletest::prelude::*;
use headlatch_outside::{
    facts::{Fact, FactTopic},
    headers::HeaderFormat,
};
use headlatch_platform::PlatformHeaders;
use http::StatusCode;
use support::{
    TestStore, ask_with,
    entries::{EntryProcess, start_all_with},
    kept::KeptList,
    plan, record,
    signaling::{SignalingServer, max_in_window},
};
use tokio::{runtime::Runtime, time::Instant};

const ENTRIES: u8 = 3;

/// Number of entry addresses in use, since tests run in parallel.
static NUMBERS_USED: AtomicU8 = AtomicU8::new(0);

/// Entries in front of servers of one service.
struct Fixture {
    callers: Runtime,
    entries: Vec<EntryProcess>,
    servers: Vec<SignalingServer>,
}

impl Fixture {
    fn new(servers: usize) -> Self {
        let callers = Runtime::new().expect("runtime");
        let store = Arc::new(TestStore::default());
        store.set(FactTopic::Plan, "main", Fact::Plan(Box::new(plan(5))));
        let servers: Vec<SignalingServer> =
            (0..servers).map(|_| callers.block_on(SignalingServer::start())).collect();
        for (number, server) in servers.iter().enumerate() {
            let name = format!("i{number}");
            store.set(FactTopic::Servers, &name, Fact::Server(record(&name, server.address, "z1")));
        }
        let headers: Arc<dyn HeaderFormat> = Arc::new(PlatformHeaders);
        let first = NUMBERS_USED.fetch_add(ENTRIES, Ordering::Relaxed) + 1;
        let numbers = first..=first + ENTRIES - 1;
        let entries = start_all_with(numbers, &store, &Arc::<KeptList>::default(), &headers);
        Self { callers, entries, servers }
    }

    /// Sends a request to every entry each `pause` for `time`; returns the fractions that were
    /// served and refused.
    fn send_load(&self, pause: Duration, time: Duration) -> (f64, f64) {
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

impl Drop for Fixture {
    fn drop(&mut self) {
        self.entries.drain(..).for_each(EntryProcess::kill);
    }
}

/// Maximum number of requests that a server may get in 4 s at `limit` requests per second, with a
/// tolerance.
fn max_requests(limit: f64) -> usize {
    (limit * 4.0 * 1.5) as usize + 5
}

#[gtest]
fn limited_server_gets_no_more_than_its_limit_from_all_entries() {
    let fixture = Fixture::new(2);
    let limited = &fixture.servers[0];
    limited.serve_with(&["server-limit: 2"]);
    let named = Instant::now();
    let (served, _) = fixture.send_load(Duration::from_millis(100), Duration::from_secs(9));
    let from = named + Duration::from_secs(3);
    let most = max_in_window(&limited.arrivals(), Duration::from_secs(4), from);
    expect_that!(most, le(max_requests(2.0)));
    expect_that!(most, ge(4));
    expect_that!(served, ge(0.99));
}

#[gtest]
fn requests_beyond_all_rate_limits_are_refused_at_once_with_a_retry_after() {
    let fixture = Fixture::new(1);
    let limited = &fixture.servers[0];
    limited.serve_with(&["server-limit: 0.5"]);
    let (served, refused) = fixture.send_load(Duration::from_millis(100), Duration::from_secs(6));
    expect_that!(served + refused, ge(0.99));
    expect_that!(refused, ge(0.5));
    let address = fixture.entries[0].entry.address;
    let begun = Instant::now();
    let lines = [("request-id", "last"), ("api-key", "k")];
    let answer = fixture.callers.block_on(ask_with(address, "/safe/a", &lines));
    let answer = answer.expect("response");
    expect_that!(begun.elapsed(), lt(Duration::from_millis(300)));
    expect_that!(answer.status, eq(StatusCode::SERVICE_UNAVAILABLE));
    let rest = answer.headers.get("retry-after").and_then(|value| value.to_str().ok());
    // The server accepts one request in 2 s.
    expect_that!(rest.and_then(|rest| rest.parse::<f64>().ok()), some(ge(2.0)));
}

#[gtest]
fn a_lifted_rate_limit_leaves_the_server_to_all_entries() {
    let fixture = Fixture::new(1);
    let server = &fixture.servers[0];
    server.serve_with(&["server-limit: 1"]);
    fixture.send_load(Duration::from_millis(100), Duration::from_secs(3));
    let before = server.arrivals().len();
    server.serve_with(&[]);
    fixture.send_load(Duration::from_millis(100), Duration::from_secs(5));
    expect_that!(server.arrivals().len() - before, ge(60));
}

#[gtest]
fn a_malformed_rate_limit_is_counted_and_replaced_by_a_low_one() {
    let fixture = Fixture::new(2);
    let limited = &fixture.servers[0];
    limited.serve_with(&["server-limit: a few"]);
    fixture.send_load(Duration::from_millis(100), Duration::from_secs(4));
    let unreadable =
        |entry: &EntryProcess| entry.entry.state.metrics.malformed_signals("rate_limit");
    expect_that!(fixture.entries.iter().map(unreadable).sum::<u64>(), ge(1));
    let from = limited.arrivals()[0] + Duration::from_secs(2);
    let late = limited.arrivals().iter().filter(|at| **at >= from).count();
    expect_that!(late, le(6));
}
