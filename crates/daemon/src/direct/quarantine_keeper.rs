//! Persists the quarantine in the store and restores it after a start. When the store comes back from an older
//! copy, the first reader of each failure domain writes again what the copy lacks.

use std::{collections::HashSet, sync::Arc, time::Duration};

use headlatch_outside::{
    facts::StoreFailure,
    quarantine::{QuarantineEntry, QuarantineStore, UnixMillis},
};
use headlatch_types::request::QuarantineKey;
use serde_json::json;

use super::{
    facts::{ReadGate, ReaderRole},
    quarantine::QuarantineWrite,
    state::{EntryState, TopicGate},
};
use crate::{decisions, timer::unix_time};

/// Interval at which this checks whether the entry is a reader of the store. Other entries receive
/// the quarantine from the readers within a second.
const GATE_POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Delay after a failed call.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Maximum random delay before lost quarantines are written again: the reader of one failure domain writes them,
/// and those of the others find them in the store.
const REWRITE_SPREAD: Duration = Duration::from_millis(1000);

/// Maximum number of attempts of a write, which is dropped after about 15 s. Every entry that
/// observed a crash writes the quarantine, and all entries know it as long as one of them is alive.
const MAX_WRITE_ATTEMPTS: u32 = 30;

/// Restores the persisted quarantine and then performs pending writes; never returns.
pub async fn run(state: Arc<EntryState>, store: Arc<dyn QuarantineStore>) {
    let restore_and_rewrite = async {
        restore_kept(&state, &store).await;
        rewrite_lost(&state, &store).await;
    };
    tokio::join!(restore_and_rewrite, write_pending(&state, &store));
}

async fn restore_kept(state: &Arc<EntryState>, store: &Arc<dyn QuarantineStore>) {
    let gate = TopicGate(state.clone());
    while !gate.is_open() {
        tokio::time::sleep(GATE_POLL_INTERVAL).await;
    }
    let kept = list_kept(store).await;
    decisions::info("quarantine", "read", json!({ "kept": kept.len() }));
    for QuarantineEntry { key, until } in kept {
        let left = until.0.saturating_sub(unix_millis());
        match left {
            0 => write(store, QuarantineWrite::Lift(key)).await,
            _ => state.quarantine.restore(state.now(), key, Duration::from_millis(left)),
        }
    }
}

async fn list_kept(store: &Arc<dyn QuarantineStore>) -> Vec<QuarantineEntry> {
    loop {
        match store.list_quarantines().await {
            Ok(kept) => return kept,
            Err(failure) => log_failure("list", None, &failure),
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
}

/// Writes the quarantines that the store lacks after each change of its era; never returns.
async fn rewrite_lost(state: &Arc<EntryState>, store: &Arc<dyn QuarantineStore>) {
    let gate = TopicGate(state.clone());
    let mut era = state.newest_era();
    loop {
        era = state.later_era(era).await;
        if !gate.is_open() || gate.role() != ReaderRole::Active {
            continue;
        }
        if state.quarantine.refused(state.now()).is_empty() {
            continue;
        }
        tokio::time::sleep(REWRITE_SPREAD.mul_f64(rand::random())).await;
        let kept: HashSet<QuarantineKey> =
            list_kept(store).await.into_iter().map(|entry| entry.key).collect();
        let refused = state.quarantine.refused(state.now());
        let lost: Vec<_> = refused.iter().filter(|(key, _)| !kept.contains(key)).collect();
        let fields = json!({ "era": era, "refused": refused.iter().count(), "lost": lost.len() });
        decisions::info("quarantine", "written_again", fields);
        for (key, left) in lost {
            write(store, QuarantineWrite::Keep(key, left)).await;
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
        let (key, written) = match pending {
            QuarantineWrite::Keep(key, left) => {
                let until = UnixMillis(unix_millis() + left.as_millis() as u64);
                (key, store.keep(QuarantineEntry { key, until }).await)
            }
            QuarantineWrite::Lift(key) => (key, store.lift(key).await),
        };
        match written {
            Ok(()) => return,
            Err(failure) => log_failure("write", Some(key), &failure),
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
}

fn log_failure(call: &str, key: Option<QuarantineKey>, failure: &StoreFailure) {
    let key = key.map(|key| key.to_string());
    let fields = json!({ "call": call, "key": key, "failure": failure.to_string() });
    decisions::warn("quarantine", "store_failed", fields);
}

fn unix_millis() -> u64 {
    unix_time().as_millis() as u64
}
