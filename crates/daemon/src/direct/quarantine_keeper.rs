//! Persists the quarantine in the store and restores it after a start. When the store comes back from an older
//! copy, the first reader of each failure domain writes again what the copy lacks.

use std::{collections::HashSet, sync::Arc, time::Duration};

use headlatch_outside::{
    facts::{ListExtent, StoreFailure},
    quarantine::{QuarantineEntry, QuarantineList, QuarantineStore, UnixMillis},
};
use headlatch_types::request::QuarantineKey;
use serde_json::json;

use super::{
    fact_update::{count_dead_ends, log_dead_ends},
    facts::{ReadGate, ReaderRole, relist_delay},
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
        let extent = restore_kept(&state, &store).await;
        tokio::join!(rewrite_lost(&state, &store), restore_rest(&state, &store, extent));
    };
    tokio::join!(restore_and_rewrite, write_pending(&state, &store));
}

async fn restore_kept(state: &Arc<EntryState>, store: &Arc<dyn QuarantineStore>) -> ListExtent {
    let gate = TopicGate(state.clone());
    while !gate.is_open() {
        tokio::time::sleep(GATE_POLL_INTERVAL).await;
    }
    restore(state, store).await
}

/// Restores the rest of a list that the store did not continue, once it does.
async fn restore_rest(
    state: &Arc<EntryState>,
    store: &Arc<dyn QuarantineStore>,
    mut extent: ListExtent,
) {
    let mut cut_lists = 0;
    while extent == ListExtent::Cut {
        cut_lists += 1;
        tokio::time::sleep(relist_delay(cut_lists)).await;
        extent = restore(state, store).await;
    }
}

async fn restore(state: &Arc<EntryState>, store: &Arc<dyn QuarantineStore>) -> ListExtent {
    let QuarantineList { entries, extent, .. } = list_kept(state, store).await;
    let now = unix_millis();
    let (expired, active): (Vec<_>, Vec<_>) =
        entries.into_iter().partition(|quarantine| quarantine.until.0 <= now);
    for QuarantineEntry { key, until } in active {
        state.quarantine.restore(state.now(), key, Duration::from_millis(until.0 - now));
    }
    for QuarantineEntry { key, .. } in expired {
        write(store, QuarantineWrite::Lift(key)).await;
    }
    extent
}

/// Lists the quarantines in the store, retrying until it succeeds, and logs what could not be read of them.
async fn list_kept(state: &EntryState, store: &Arc<dyn QuarantineStore>) -> QuarantineList {
    let list = loop {
        match store.list_quarantines().await {
            Ok(list) => break list,
            Err(failure) => log_failure("list", None, &failure),
        }
        tokio::time::sleep(RETRY_DELAY).await;
    };
    let fields = json!({ "kept": list.entries.len(), "unreadable": list.unreadable.len() });
    decisions::info("quarantine", "read", fields);
    for name in &list.unreadable {
        decisions::warn("quarantine", "unreadable", json!({ "name": name }));
    }
    log_dead_ends("quarantines", list.entries.len(), list.extent, &list.dead_ends);
    state.metrics.count_store_events("quarantine_unreadable", list.unreadable.len());
    count_dead_ends(&state.metrics, list.extent, &list.dead_ends);
    list
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
        // Those that a cut list lacks are written again as well, which does no harm.
        let kept = list_kept(state, store).await.entries;
        let kept: HashSet<QuarantineKey> = kept.into_iter().map(|entry| entry.key).collect();
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
