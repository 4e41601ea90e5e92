//! Persists the quarantine in the store and restores it after a start.

use std::{sync::Arc, time::Duration};

use headlatch_core::direct::request_digest::RequestDigest;
use headlatch_outside::{
    facts::StoreFailure,
    quarantine::{QuarantineEntry, QuarantineStore, UnixMillis},
};
use serde_json::json;

use super::{
    facts::ReadGate,
    quarantine::QuarantineWrite,
    state::{EntryState, TopicGate},
};
use crate::{decisions, timer::unix_time};

/// Interval at which this checks whether the entry is a reader of the store. Other entries receive
/// the quarantine from the readers within a second.
const GATE_POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Delay after a failed call.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Maximum number of attempts of a write, which is dropped after about 15 s. Every entry that
/// observed a crash writes the quarantine, and all entries know it as long as one of them is alive.
const MAX_WRITE_ATTEMPTS: u32 = 30;

/// Restores the persisted quarantine and then performs pending writes; never returns.
pub async fn run(state: Arc<EntryState>, store: Arc<dyn QuarantineStore>) {
    tokio::join!(restore_kept(&state, &store), write_pending(&state, &store));
}

async fn restore_kept(state: &Arc<EntryState>, store: &Arc<dyn QuarantineStore>) {
    let gate = TopicGate(state.clone());
    while !gate.is_open() {
        tokio::time::sleep(GATE_POLL_INTERVAL).await;
    }
    let kept = loop {
        match store.list_quarantines().await {
            Ok(kept) => break kept,
            Err(failure) => log_failure("list", None, &failure),
        }
        tokio::time::sleep(RETRY_DELAY).await;
    };
    decisions::info("quarantine", "read", json!({ "kept": kept.len() }));
    for QuarantineEntry { digest, until } in kept {
        let left = until.0.saturating_sub(unix_millis());
        match left {
            0 => write(store, QuarantineWrite::Lift(digest)).await,
            _ => state.quarantine.restore(state.now(), digest, Duration::from_millis(left)),
        }
    }
}

async fn write_pending(state: &Arc<EntryState>, store: &Arc<dyn QuarantineStore>) {
    loop {
        for pending in state.quarantine.next_writes().await {
            write(store, pending).await;
        }
    }
}

async fn write(store: &Arc<dyn QuarantineStore>, pending: QuarantineWrite) {
    for _ in 0..MAX_WRITE_ATTEMPTS {
        let (digest, written) = match pending {
            QuarantineWrite::Keep(digest, left) => {
                let until = UnixMillis(unix_millis() + left.as_millis() as u64);
                (digest, store.keep(QuarantineEntry { digest, until }).await)
            }
            QuarantineWrite::Lift(digest) => (digest, store.lift(digest).await),
        };
        match written {
            Ok(()) => return,
            Err(failure) => log_failure("write", Some(digest), &failure),
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
}

fn log_failure(call: &str, digest: Option<RequestDigest>, failure: &StoreFailure) {
    let content = digest.map(|digest| digest.to_string());
    let fields = json!({ "call": call, "content": content, "failure": failure.to_string() });
    decisions::warn("quarantine", "store_failed", fields);
}

fn unix_millis() -> u64 {
    unix_time().as_millis() as u64
}
