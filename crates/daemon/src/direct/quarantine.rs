//! Quarantine of requests that crash servers, as one entry applies it.

use std::{
    sync::{Mutex, MutexGuard},
    time::Duration,
};

use headlatch_core::{
    direct::{
        request_digest::{RequestDigest, RequestDigests},
        suspects::{
            LifeKey, ProgressAtEnd, QUARANTINE_TIME, QuarantinedRequest, SuspectChange,
            SuspectNotice, SuspectTable,
        },
    },
    time::Moment,
};
use serde_json::json;
use tokio::sync::Notify;

use crate::decisions;

/// A pending write to the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuarantineWrite {
    /// The request is refused for this long.
    Keep(RequestDigest, Duration),
    /// The request is no longer refused.
    Lift(RequestDigest),
}

/// Requests of one entry during which servers crashed, shared by its tasks.
#[derive(Debug, Default)]
pub struct Quarantine {
    table: Mutex<SuspectTable>,
    /// Wakes tasks that wait for a response when a request becomes refused.
    newly_refused: Notify,
    pending_writes: Mutex<Vec<QuarantineWrite>>,
    writes_pending: Notify,
}

impl Quarantine {
    fn table(&self) -> MutexGuard<'_, SuspectTable> {
        self.table.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    fn pending_writes(&self) -> MutexGuard<'_, Vec<QuarantineWrite>> {
        self.pending_writes.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Records that a request arrived. Returns the remaining time of its quarantine if it is
    /// refused.
    pub fn check_request(&self, now: Moment, digests: &RequestDigests) -> Option<Duration> {
        let mut table = self.table();
        digests.iter().filter_map(|digest| table.record_arrival(now, digest)).max()
    }

    /// Whether a request is refused.
    pub fn refuses(&self, now: Moment, digests: &RequestDigests) -> bool {
        let table = self.table();
        digests.iter().any(|digest| table.is_refused(now, digest))
    }

    /// Waits until a request is refused.
    pub async fn wait_until_refused(&self, now: impl Fn() -> Moment, digests: &RequestDigests) {
        loop {
            let refused = self.newly_refused.notified();
            if self.refuses(now(), digests) {
                return;
            }
            refused.await;
        }
    }

    /// Records that a server ended while it was processing a request of this entry.
    pub fn record_server_end(
        &self,
        now: Moment,
        digests: &RequestDigests,
        life: LifeKey,
        run: ProgressAtEnd,
    ) {
        for digest in digests.iter() {
            let change = self.table().record_server_end(now, digest, life, run);
            self.apply_change(digest, change, "ends");
        }
    }

    /// Records that a request was answered completely.
    pub fn record_whole_answer(&self, now: Moment, digests: &RequestDigests) {
        for digest in digests.iter() {
            let change = self.table().record_completion(now, digest);
            self.apply_change(digest, change, "whole_answer");
        }
    }

    /// Merges notices of another entry.
    pub fn merge_notices(&self, now: Moment, notices: &[SuspectNotice]) {
        for notice in notices {
            let change = self.table().apply(now, *notice);
            self.apply_change(notice.digest(), change, "peer");
        }
    }

    /// Restores a quarantine from the store.
    pub fn restore(&self, now: Moment, digest: RequestDigest, left: Duration) {
        let change = self.table().record_quarantine(now, digest, left);
        self.apply_change(digest, change, "store");
    }

    /// Lifts a quarantine on behalf of an operator; returns whether the request was suspected.
    pub fn lift(&self, now: Moment, digest: RequestDigest) -> bool {
        let change = self.table().lift(now, digest);
        let lifted = change != SuspectChange::None;
        self.apply_change(digest, change, "operator");
        lifted
    }

    /// Notices for other entries.
    pub fn notices(&self, now: Moment) -> Vec<SuspectNotice> {
        self.table().notices(now)
    }

    /// The requests that are refused.
    pub fn refused(&self, now: Moment) -> Vec<QuarantinedRequest> {
        self.table().refused(now)
    }

    /// Removes expired records.
    pub fn forget_old(&self, now: Moment) {
        self.table().remove_expired(now);
    }

    /// Waits for the next writes to the store.
    pub async fn next_writes(&self) -> Vec<QuarantineWrite> {
        loop {
            let notified = self.writes_pending.notified();
            let writes = std::mem::take(&mut *self.pending_writes());
            if !writes.is_empty() {
                return writes;
            }
            notified.await;
        }
    }

    fn apply_change(&self, digest: RequestDigest, change: SuspectChange, source: &str) {
        let content = digest.to_string();
        match change {
            SuspectChange::None => {}
            SuspectChange::Refused { lives, seen } => {
                let lives: Vec<String> = lives.iter().map(LifeKey::to_string).collect();
                let fields = json!({ "content": content, "source": source, "lives": lives });
                decisions::warn("quarantine", "refused_from_now", fields);
                self.newly_refused.notify_waiters();
                // Every entry that received the reports reaches the same verdict; only those that
                // observed a crash write it to the store.
                if seen {
                    self.queue_write(QuarantineWrite::Keep(digest, QUARANTINE_TIME));
                }
            }
            SuspectChange::Cleared { was_refused } => {
                if !was_refused {
                    return;
                }
                let fields = json!({ "content": content, "source": source });
                decisions::info("quarantine", "cleared", fields);
                if source != "peer" {
                    self.queue_write(QuarantineWrite::Lift(digest));
                }
            }
        }
    }

    fn queue_write(&self, write: QuarantineWrite) {
        self.pending_writes().push(write);
        self.writes_pending.notify_one();
    }
}
