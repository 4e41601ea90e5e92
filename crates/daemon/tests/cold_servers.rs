//! Servers that come back cold while the store turns entries away, over real sockets.

mod support;

use std::{
    sync::{
        Arc,
        atomic::{AtomicU8, Ordering},
    },
    time::Duration,
};

use googletest::prelude::*;
use headlatch_http::Connections;
use headlatch_outside::headers::HeaderFormat;
use headlatch_platform::{PlatformHeaders, PlatformStore};
use http::StatusCode;
use serde_json::json;
use support::{
    ask_with,
    entries::{EntryProcess, start_all_with},
    rollback_store::{RollbackStore, config_spec, server_spec},
    signaling::{SignalingServer, max_in_window},
};
use tokio::{runtime::Runtime, time::Instant};

/// Most requests that a cold server may get in any second: a rate of 17, an overage of 1.5 and a slack of 5.
const MAX_IN_A_SECOND: usize = 30;

/// Number of entry addresses in use, since tests run in parallel.
static NUMBERS_USED: AtomicU8 = AtomicU8::new(0);

/// Entries in front of one server, with a store that can turn all of them away.
struct Fixture {
    callers: Runtime,
    store: RollbackStore,
    entries: Vec<EntryProcess>,
    server: SignalingServer,
}

impl Fixture {
    fn new(count: u8) -> Self {
        let callers = Runtime::new().expect("runtime");
        let store = callers.block_on(RollbackStore::start());
        let server = callers.block_on(SignalingServer::start());
        let mut config = config_spec(5);
        config["services"][0]["cold_per_s"] = json!(17.0);
        store.put("config", "main", config);
        store.put("servers", "i0", server_spec(server.address, "z1", "ready", 0));
        let client = Arc::new(PlatformStore::new(store.address, Arc::new(Connections::default())));
        let headers: Arc<dyn HeaderFormat> = Arc::new(PlatformHeaders);
        let first = NUMBERS_USED.fetch_add(count, Ordering::Relaxed) + 1;
        let entries = start_all_with(first..=first + count - 1, &client, &client, &headers);
        Self { callers, store, entries, server }
    }

    /// Sends requests to every entry, each `pause` one, for `time`; returns the part that was served.
    fn send_load(&self, pause: Duration, time: Duration) -> f64 {
        let until = Instant::now() + time;
        let callers = self.entries.iter().map(|entry| {
            let address = entry.entry.address;
            async move {
                let (mut served, mut sent) = (0, 0);
                while Instant::now() < until {
                    let asked = ask_with(address, "/safe/a", &[("request-id", "r1")]);
                    served +=
                        usize::from(asked.await.is_ok_and(|got| got.status == StatusCode::OK));
                    sent += 1;
                    tokio::time::sleep(pause).await;
                }
                (served, sent)
            }
        });
        let counts = self.callers.block_on(futures_util::future::join_all(callers));
        let sum = |part: fn(&(usize, usize)) -> usize| counts.iter().map(part).sum::<usize>();
        sum(|(served, _)| *served) as f64 / sum(|(_, sent)| *sent) as f64
    }

    fn worst_second(&self, from: Instant) -> usize {
        max_in_window(&self.server.arrivals(), Duration::from_secs(1), from)
    }
}

impl Drop for Fixture {
    fn drop(&mut self) {
        self.entries.drain(..).for_each(EntryProcess::kill);
    }
}

/// Its own word, in its answers, is all that entries have of it.
#[gtest]
fn server_that_says_that_it_is_cold_is_not_flooded_while_the_store_turns_entries_away() {
    let fixture = Fixture::new(3);
    let served = fixture.send_load(Duration::from_millis(10), Duration::from_millis(500));
    expect_that!(served, ge(0.9));
    fixture.store.turn_away(true);
    fixture.server.serve_with(&["cold-ms: 3000"]);
    let turned_cold = Instant::now();
    fixture.send_load(Duration::from_millis(10), Duration::from_millis(2800));
    expect_that!(fixture.worst_second(turned_cold), le(MAX_IN_A_SECOND));
    expect_that!(fixture.server.arrivals().len(), ge(20));
}

/// The record of the earlier server stays on the list while the store turns all entries of a domain away.
#[gtest]
fn server_at_the_address_of_an_earlier_one_is_not_flooded_while_the_store_turns_entries_away() {
    let fixture = Fixture::new(11);
    let served = fixture.send_load(Duration::from_millis(10), Duration::from_millis(500));
    expect_that!(served, ge(0.9));
    fixture.store.turn_away(true);
    fixture.server.misdirect();
    let replaced = Instant::now();
    fixture.send_load(Duration::from_millis(10), Duration::from_millis(2500));
    expect_that!(fixture.worst_second(replaced), le(MAX_IN_A_SECOND));
}
