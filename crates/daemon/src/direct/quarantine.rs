//! Quarantine of requests and prompt parts that crash servers, as one entry applies it.

use std::{
    sync::{Mutex, MutexGuard},
    time::Duration,
};

use headlatch_core::{
    direct::{
        request_digest::{RequestDigest, RequestIdentity},
        suspect_parts::{
            MAX_PART_NOTICES, PART_QUARANTINE_TIME, PartChange, PartNotice, PartTable,
            QuarantinedPart, SURVIVAL_TIME,
        },
        suspects::{
            LifeKey, MAX_NOTICES, ProgressAtEnd, QUARANTINE_TIME, QuarantinedRequest,
            SuspectChange, SuspectNotice, SuspectTable,
        },
    },
    time::Moment,
};
use headlatch_types::request::{PartKey, QuarantineKey};
use serde_json::json;
use tokio::sync::Notify;

use crate::decisions;

/// Notices about requests that fit into a datagram beside a full set of notices about parts.
const MIN_REQUEST_NOTICES: usize = MAX_NOTICES - MAX_PART_NOTICES;

/// Maximum random delay with which an entry tries a refused part again: the first one to do so tells
/// the others what came of it.
pub const TRIAL_SPREAD: Duration = Duration::from_secs(60);

/// A pending write to the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuarantineWrite {
    /// Requests are refused for this long.
    Keep(QuarantineKey, Duration),
    /// They are no longer refused.
    Lift(QuarantineKey),
}

/// Notices for other entries.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct QuarantineNotices {
    /// Notices about the content of requests.
    pub suspects: Vec<SuspectNotice>,
    /// Notices about prompt parts.
    pub suspect_parts: Vec<PartNotice>,
}

/// What is refused, for operators.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct QuarantineList {
    /// Refused contents.
    pub requests: Vec<QuarantinedRequest>,
    /// Refused prompt parts.
    pub parts: Vec<QuarantinedPart>,
}

impl QuarantineList {
    /// Whether nothing is refused.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty() && self.parts.is_empty()
    }

    /// Key and remaining time of each quarantine.
    pub fn iter(&self) -> impl Iterator<Item = (QuarantineKey, Duration)> {
        let requests = self.requests.iter();
        let requests = requests.map(|one| (QuarantineKey::Request(one.digest), one.left));
        let parts = self.parts.iter().map(|one| (QuarantineKey::Part(one.part), one.left));
        requests.chain(parts)
    }
}

#[derive(Debug, Default)]
struct QuarantineTables {
    requests: SuspectTable,
    parts: PartTable,
}

/// Requests and prompt parts during which servers crashed, shared by the tasks of one entry.
#[derive(Debug, Default)]
pub struct Quarantine {
    tables: Mutex<QuarantineTables>,
    /// Wakes tasks that wait for a response when something becomes refused.
    newly_refused: Notify,
    pending_writes: Mutex<Vec<QuarantineWrite>>,
    writes_pending: Notify,
}

impl Quarantine {
    /// Creates the quarantine of an entry that tries refused parts again this much later than the
    /// first one.
    pub fn new(trial_delay: Duration) -> Self {
        let tables = QuarantineTables {
            parts: PartTable::new(trial_delay),
            requests: SuspectTable::default(),
        };
        Self { tables: Mutex::new(tables), ..Self::default() }
    }

    fn tables(&self) -> MutexGuard<'_, QuarantineTables> {
        self.tables.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    fn pending_writes(&self) -> MutexGuard<'_, Vec<QuarantineWrite>> {
        self.pending_writes.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Records that a request arrived. Returns the remaining time of its quarantine if it is
    /// refused.
    pub fn check_request(&self, now: Moment, request: &RequestIdentity) -> Option<Duration> {
        let mut tables = self.tables();
        let digests = request.digests.iter();
        let content =
            digests.filter_map(|digest| tables.requests.record_arrival(now, digest)).max();
        let parts = request.parts.iter().filter_map(|part| tables.parts.refused_for(now, *part));
        content.max(parts.max())
    }

    /// The keys for which a request is refused.
    pub fn refused_keys(&self, now: Moment, request: &RequestIdentity) -> Vec<QuarantineKey> {
        let tables = self.tables();
        let digests = request.digests.iter().filter(|one| tables.requests.is_refused(now, *one));
        let parts = request.parts.iter().filter(|part| tables.parts.is_refused(now, **part));
        let parts = parts.copied().map(QuarantineKey::Part);
        digests.map(QuarantineKey::Request).chain(parts).collect()
    }

    /// Whether a request is refused.
    pub fn refuses(&self, now: Moment, request: &RequestIdentity) -> bool {
        !self.refused_keys(now, request).is_empty()
    }

    /// Whether servers ended under a part of a request and none has written on it since.
    pub fn suspects_part(&self, request: &RequestIdentity) -> bool {
        let tables = self.tables();
        request.parts.iter().any(|part| tables.parts.is_suspected(*part))
    }

    /// Waits until a request is refused.
    pub async fn wait_until_refused(&self, now: impl Fn() -> Moment, request: &RequestIdentity) {
        loop {
            let refused = self.newly_refused.notified();
            if self.refuses(now(), request) {
                return;
            }
            refused.await;
        }
    }

    /// Records that a server ended while it was processing a request of this entry, on whose answer
    /// it had been writing since `writing_since`.
    pub fn record_server_end(
        &self,
        now: Moment,
        request: &RequestIdentity,
        life: LifeKey,
        writing_since: Option<Moment>,
    ) {
        let survived = writing_since.filter(|since| now.since(*since) >= SURVIVAL_TIME);
        let changes = match survived {
            Some(since) => self.tables().parts.record_sound_answer(now, &request.parts, since),
            None => self.tables().parts.record_server_end(now, &request.parts, life),
        };
        self.apply_part_changes(now, changes, "ends");
        if self.tables().parts.explained_ends(now).contains(&life) {
            return;
        }
        let run = match writing_since {
            Some(_) => ProgressAtEnd::Begun,
            None => ProgressAtEnd::Silent,
        };
        for digest in request.digests.iter() {
            let change = self.tables().requests.record_server_end(now, digest, life, run);
            self.apply_change(digest, change, "ends");
        }
    }

    /// Records that a request was answered completely.
    pub fn record_whole_answer(&self, now: Moment, request: &RequestIdentity) {
        for digest in request.digests.iter() {
            let change = self.tables().requests.record_completion(now, digest);
            self.apply_change(digest, change, "whole_answer");
        }
    }

    /// Records that a server that began to write on the parts of a request at `begun` survived it.
    pub fn record_survival(&self, now: Moment, request: &RequestIdentity, begun: Moment) {
        let changes = self.tables().parts.record_sound_answer(now, &request.parts, begun);
        self.apply_part_changes(now, changes, "whole_answer");
    }

    /// Merges notices of another entry.
    pub fn merge_notices(
        &self,
        now: Moment,
        suspects: &[SuspectNotice],
        suspect_parts: &[PartNotice],
    ) {
        for notice in suspects {
            let change = self.tables().requests.apply(now, *notice);
            self.apply_change(notice.digest(), change, "peer");
        }
        if !suspect_parts.is_empty() {
            let changes = self.tables().parts.apply(now, suspect_parts);
            self.apply_part_changes(now, changes, "peer");
            self.remove_explained_ends(now);
        }
    }

    /// Restores a quarantine from the store.
    pub fn restore(&self, now: Moment, key: QuarantineKey, left: Duration) {
        match key {
            QuarantineKey::Request(digest) => {
                let change = self.tables().requests.record_quarantine(now, digest, left);
                self.apply_change(digest, change, "store");
            }
            QuarantineKey::Part(part) => {
                let change = self.tables().parts.record_quarantine(now, part, left);
                self.apply_part_changes(now, change, "store");
            }
        }
    }

    /// Lifts a quarantine on behalf of an operator; returns whether there was one.
    pub fn lift(&self, now: Moment, key: QuarantineKey) -> bool {
        match key {
            QuarantineKey::Request(digest) => {
                let change = self.tables().requests.lift(now, digest);
                let lifted = change != SuspectChange::None;
                self.apply_change(digest, change, "operator");
                lifted
            }
            QuarantineKey::Part(part) => {
                let changes = self.tables().parts.lift(now, part);
                let lifted = !changes.is_empty();
                self.apply_part_changes(now, changes, "operator");
                lifted
            }
        }
    }

    /// Notices for other entries.
    pub fn notices(&self, now: Moment) -> QuarantineNotices {
        let tables = self.tables();
        let suspect_parts = tables.parts.notices(now);
        let mut suspects = tables.requests.notices(now);
        suspects.truncate((MAX_NOTICES - suspect_parts.len()).max(MIN_REQUEST_NOTICES));
        QuarantineNotices { suspects, suspect_parts }
    }

    /// What is refused.
    pub fn refused(&self, now: Moment) -> QuarantineList {
        let tables = self.tables();
        QuarantineList { requests: tables.requests.refused(now), parts: tables.parts.refused(now) }
    }

    /// Removes expired records.
    pub fn forget_old(&self, now: Moment) {
        let mut tables = self.tables();
        tables.requests.remove_expired(now);
        tables.parts.remove_expired(now);
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
                    let key = QuarantineKey::Request(digest);
                    self.queue_write(QuarantineWrite::Keep(key, QUARANTINE_TIME));
                }
            }
            SuspectChange::Cleared { was_refused } => {
                if !was_refused {
                    return;
                }
                let fields = json!({ "content": content, "source": source });
                decisions::info("quarantine", "cleared", fields);
                if source != "peer" {
                    self.queue_write(QuarantineWrite::Lift(QuarantineKey::Request(digest)));
                }
            }
        }
    }

    fn apply_part_changes(
        &self,
        now: Moment,
        changes: impl IntoIterator<Item = PartChange>,
        source: &str,
    ) {
        let mut refused = false;
        for change in changes {
            match change {
                PartChange::Refused(verdict) => {
                    refused = true;
                    let lives: Vec<String> = verdict.lives.iter().map(LifeKey::to_string).collect();
                    let sound_ms = verdict.sound_age.map(|age| age.as_millis() as u64);
                    let fields = json!({
                        "part": verdict.part.to_string(), "source": source, "lives": lives,
                        "last_sound_ms": sound_ms, "left_ms": verdict.left.as_millis() as u64,
                    });
                    decisions::warn("quarantine", "part_refused_from_now", fields);
                    // Short quarantines end before another entry could start from the store.
                    if verdict.seen && verdict.left == PART_QUARANTINE_TIME && source != "store" {
                        let key = QuarantineKey::Part(verdict.part);
                        self.queue_write(QuarantineWrite::Keep(key, verdict.left));
                    }
                }
                PartChange::Released { part, seen } => self.apply_release(part, seen, source),
            }
        }
        if refused {
            self.newly_refused.notify_waiters();
            self.remove_explained_ends(now);
        }
    }

    fn apply_release(&self, part: PartKey, seen: bool, source: &str) {
        let fields = json!({ "part": part.to_string(), "source": source });
        decisions::info("quarantine", "part_released", fields);
        // Whoever wrote the quarantine to the store removes it, whatever the reason.
        if seen || source == "operator" {
            self.queue_write(QuarantineWrite::Lift(QuarantineKey::Part(part)));
        }
    }

    /// Releases requests that were refused on ends that a refused part explains.
    fn remove_explained_ends(&self, now: Moment) {
        let released = {
            let mut tables = self.tables();
            let explained = tables.parts.explained_ends(now);
            if explained.is_empty() {
                return;
            }
            tables.requests.remove_explained_ends(now, &explained)
        };
        for (digest, seen) in released {
            let fields = json!({ "content": digest.to_string(), "source": "explained" });
            decisions::info("quarantine", "cleared", fields);
            if seen {
                self.queue_write(QuarantineWrite::Lift(QuarantineKey::Request(digest)));
            }
        }
    }

    fn queue_write(&self, write: QuarantineWrite) {
        self.pending_writes().push(write);
        self.writes_pending.notify_one();
    }
}
