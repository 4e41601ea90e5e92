//! An entry's part in the quarantine of requests under which servers end.

use std::{
    sync::{Mutex, MutexGuard},
    time::Duration,
};

use headlatch_core::{
    direct::{
        request_digest::{RequestDigest, RequestDigests},
        suspects::{
            EndedRun, LifeKey, QUARANTINE_TIME, QuarantinedRequest, SuspectChange, SuspectNotice,
            SuspectTable,
        },
    },
    time::Moment,
};
use serde_json::json;
use tokio::sync::Notify;

use crate::decisions;

/// Something that is to be kept, or kept no longer, in the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuarantineWrite {
    /// The request is refused for this long.
    Keep(RequestDigest, Duration),
    /// It is no longer refused.
    Lift(RequestDigest),
}

/// What one entry knows of requests under which servers ended, shared by its parts.
#[derive(Debug, Default)]
pub struct Quarantine {
    table: Mutex<SuspectTable>,
    /// Wakes those who wait for an answer to a request: it may be refused now.
    newly_refused: Notify,
    pending_writes: Mutex<Vec<QuarantineWrite>>,
    writes_pending: Notify,
}

impl Quarantine {
    fn table(&self) -> MutexGuard<'_, SuspectTable> {
        self.table.lock().unwrap_or_else(|broken| broken.into_inner())
    }

    fn pending_writes(&self) -> MutexGuard<'_, Vec<QuarantineWrite>> {
        self.pending_writes.lock().unwrap_or_else(|broken| broken.into_inner())
    }

    /// A request comes; the time for which it is refused, if it is.
    pub fn check_request(&self, now: Moment, digests: &RequestDigests) -> Option<Duration> {
        let mut table = self.table();
        digests.iter().filter_map(|digest| table.note_coming(now, digest)).max()
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

    /// A server has ended while this entry had a request there.
    pub fn record_server_end(
        &self,
        now: Moment,
        digests: &RequestDigests,
        life: LifeKey,
        run: EndedRun,
    ) {
        for digest in digests.iter() {
            let change = self.table().note_end(now, digest, life, run);
            self.apply_change(digest, change, "ends");
        }
    }

    /// A request has run to its end.
    pub fn record_whole_answer(&self, now: Moment, digests: &RequestDigests) {
        for digest in digests.iter() {
            let change = self.table().note_whole(now, digest);
            self.apply_change(digest, change, "whole_answer");
        }
    }

    /// Takes in what another entry tells.
    pub fn merge_notices(&self, now: Moment, notices: &[SuspectNotice]) {
        for notice in notices {
            let change = self.table().hear(now, *notice);
            self.apply_change(notice.digest(), change, "peer");
        }
    }

    /// Takes in what the store has kept.
    pub fn restore(&self, now: Moment, digest: RequestDigest, left: Duration) {
        let change = self.table().note_kept(now, digest, left);
        self.apply_change(digest, change, "store");
    }

    /// Has a request served again, as an operator wants it; tells whether it was suspected.
    pub fn lift(&self, now: Moment, digest: RequestDigest) -> bool {
        let change = self.table().lift(now, digest);
        let lifted = change != SuspectChange::None;
        self.apply_change(digest, change, "operator");
        lifted
    }

    /// What other entries are to be told.
    pub fn notices(&self, now: Moment) -> Vec<SuspectNotice> {
        self.table().notices(now)
    }

    /// The requests that are refused.
    pub fn refused(&self, now: Moment) -> Vec<QuarantinedRequest> {
        self.table().refused(now)
    }

    /// Forgets what is too old to matter.
    pub fn forget_old(&self, now: Moment) {
        self.table().forget_old(now);
    }

    /// What is to be written to the store next.
    pub async fn next_writes(&self) -> Vec<QuarantineWrite> {
        loop {
            let news = self.writes_pending.notified();
            let writes = std::mem::take(&mut *self.pending_writes());
            if !writes.is_empty() {
                return writes;
            }
            news.await;
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
                // All who have heard of the ends have judged alike; those who saw one keep it.
                if seen {
                    self.queue_write(QuarantineWrite::Keep(digest, QUARANTINE_TIME));
                }
            }
            SuspectChange::Cleared { was_refused } => {
                if !was_refused {
                    return;
                }
                let fields = json!({ "content": content, "source": source });
                decisions::note("quarantine", "cleared", fields);
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
