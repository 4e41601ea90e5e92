//! Detection and quarantine of requests that terminate the servers running them.
//!
//! A retry limit per request gives no protection when the same content is submitted again, so
//! server ends are counted per content digest, across all entries. Every request in progress on a
//! server when it ends becomes a suspect. Most suspects are harmless, so a single end has no
//! effect. A request under which servers ended repeatedly and which never ran to completion is
//! refused from then on.
//!
//! Entries exchange each end by content and server life, so an end that several entries observe, or
//! that is reported twice, counts once. Failure domains that were partitioned merge their counts
//! afterwards. All state is bounded; the oldest suspects are evicted first.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use super::request_digest::RequestDigest;
use crate::time::Moment;

mod completed;
mod notices;

pub(super) use notices::{ANNOUNCE_TIME, is_repeat_due, rotation};

use completed::CompletedRequests;
pub use notices::{MAX_NOTICES, SuspectNotice};

/// Number of server ends at which a request is refused. A harmless request running beside a harmful
/// one can see two ends, when both are retried on the same second server.
const QUARANTINE_THRESHOLD: usize = 3;

/// Minimum time between two ends for refusing a request without a third, provided it produced no
/// output anywhere.
///
/// Harmless requests wait about a third of a second for their first event and rarely do so twice on
/// servers that end. Servers lost together end within a tenth of a second, in which a request may
/// be retried from one to the next: with two fifths to two thirds of a service lost eight times in
/// 15 s, one of about five hundred harmless requests was refused without this minimum.
const MIN_END_SPAN: Duration = Duration::from_millis(250);

/// Time for which a request is refused after it last arrived. Longer than callers keep retrying; a
/// harmless request that was quarantined by mistake is served again afterwards.
pub const QUARANTINE_TIME: Duration = Duration::from_secs(600);

/// Time after the last recorded end for which a suspect is kept.
const SUSPICION_TIME: Duration = Duration::from_secs(120);

/// Time for which notices about a cleared request are ignored as stale. Several times as long as
/// entries announce a change.
const STALE_NOTICE_TIME: Duration = Duration::from_secs(5);

/// Maximum number of suspects. Three quarters of a hundred servers ending at once have about a
/// thousand requests in progress; each suspect takes a few hundred bytes.
pub const MAX_SUSPECTS: usize = 2048;

/// Maximum number of refused requests, so that a caller who terminates servers on purpose cannot
/// exhaust memory. Each refused request costs the caller two server ends.
pub const MAX_QUARANTINED: usize = 256;

/// Short key of one life of a server, from its start to its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LifeKey(pub u32);

impl std::fmt::Display for LifeKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:08x}", self.0)
    }
}

/// How far a request had progressed on a server when the server ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ProgressAtEnd {
    /// No output had been received.
    Silent,
    /// Part of the answer had been received.
    Begun,
}

/// Effect of an observation or notice on a suspect.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SuspectChange {
    /// No change that requires action.
    None,
    /// The request is refused from now on.
    Refused {
        /// Lives of the servers that ended under it; empty if another entry made the decision.
        lives: Vec<LifeKey>,
        /// Whether this entry observed one of the ends itself.
        seen: bool,
    },
    /// The request is no longer a suspect.
    Cleared {
        /// Whether it was refused before.
        was_refused: bool,
    },
}

/// A refused request, as reported to operators.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QuarantinedRequest {
    /// Digest of the request.
    pub digest: RequestDigest,
    /// Remaining time of the quarantine, unless the request arrives again.
    pub left: Duration,
    /// Number of server ends under it that this entry knows of.
    pub ends: usize,
}

/// A server end under a request.
#[derive(Debug, Clone, Copy)]
struct RecordedEnd {
    run: ProgressAtEnd,
    /// When it was observed or first reported by another entry.
    recorded: Moment,
}

#[derive(Debug, Clone, Default)]
struct Suspect {
    ends: BTreeMap<LifeKey, RecordedEnd>,
    /// Whether this entry observed one of the ends itself.
    seen: bool,
    /// When the suspect last changed.
    updated: Moment,
    refused_until: Option<Moment>,
}

impl Suspect {
    fn is_refused(&self, now: Moment) -> bool {
        self.refused_until.is_some_and(|until| until > now)
    }

    fn meets_threshold(&self) -> bool {
        let recorded = || self.ends.values().map(|end| end.recorded);
        let span = recorded().max().unwrap_or_default().since(recorded().min().unwrap_or_default());
        let silent = self.ends.values().all(|end| end.run == ProgressAtEnd::Silent);
        self.ends.len() >= QUARANTINE_THRESHOLD || (silent && span >= MIN_END_SPAN)
    }

    /// Whether the suspect is announced periodically: it is refused, or has more than one end and
    /// may be refused at the next.
    fn needs_repeating(&self, now: Moment) -> bool {
        self.is_refused(now) || self.ends.len() > 1
    }

    fn is_current(&self, now: Moment) -> bool {
        self.is_refused(now) || now.since(self.updated) <= SUSPICION_TIME
    }
}

/// One entry's record of requests under which servers ended.
#[derive(Debug, Clone, Default)]
pub struct SuspectTable {
    suspects: BTreeMap<RequestDigest, Suspect>,
    /// Suspects ordered by their last change.
    by_age: BTreeSet<(Moment, RequestDigest)>,
    completed: CompletedRequests,
    cleared: BTreeMap<RequestDigest, Moment>,
}

impl SuspectTable {
    /// Records that a server ended while running the request, as observed by this entry.
    pub fn record_server_end(
        &mut self,
        now: Moment,
        digest: RequestDigest,
        life: LifeKey,
        run: ProgressAtEnd,
    ) -> SuspectChange {
        if self.completed.completed_recently(now, digest) {
            return SuspectChange::None;
        }
        self.suspects.entry(digest).or_default().seen = true;
        self.add_end(now, digest, life, run)
    }

    /// Records that the request ran to completion, which proves it harmless.
    pub fn record_completion(&mut self, now: Moment, digest: RequestDigest) -> SuspectChange {
        self.completed.record(now, digest);
        match self.suspects.get(&digest).map(|suspect| suspect.needs_repeating(now)) {
            Some(true) => self.clear(now, digest),
            // Not announced: if other entries count a second end, this entry answers with a
            // clearance.
            Some(false) => {
                self.remove_suspect(digest);
                SuspectChange::None
            }
            None => SuspectChange::None,
        }
    }

    /// Removes ends that have another cause than the requests in progress; returns the requests that
    /// were refused on these alone and are not refused any more, with whether this entry had observed
    /// one of the ends itself.
    pub fn remove_explained_ends(
        &mut self,
        now: Moment,
        explained: &BTreeSet<LifeKey>,
    ) -> Vec<(RequestDigest, bool)> {
        let is_explained = |life: &LifeKey| explained.contains(life);
        let concerned = self.suspects.iter();
        let concerned = concerned.filter(|(_, suspect)| suspect.ends.keys().any(is_explained));
        let concerned: Vec<RequestDigest> = concerned.map(|(digest, _)| *digest).collect();
        let mut released = Vec::new();
        for digest in concerned {
            let Some(suspect) = self.suspects.get_mut(&digest) else { continue };
            suspect.ends.retain(|life, _| !is_explained(life));
            let seen = suspect.seen;
            if suspect.meets_threshold() {
                continue;
            }
            match self.is_refused(now, digest) {
                true => {
                    let _ = self.clear(now, digest);
                    released.push((digest, seen));
                }
                false => self.remove_if_unsuspected(digest),
            }
        }
        released
    }

    fn remove_if_unsuspected(&mut self, digest: RequestDigest) {
        if self.suspects.get(&digest).is_some_and(|suspect| suspect.ends.is_empty()) {
            self.remove_suspect(digest);
        }
    }

    /// Ends the quarantine of a request at an operator's command.
    pub fn lift(&mut self, now: Moment, digest: RequestDigest) -> SuspectChange {
        self.clear(now, digest)
    }

    /// Records that the request is refused for another `left`, according to the store or another
    /// entry.
    pub fn record_quarantine(
        &mut self,
        now: Moment,
        digest: RequestDigest,
        left: Duration,
    ) -> SuspectChange {
        self.refuse(now, digest, now + left.min(QUARANTINE_TIME))
    }

    /// Applies a notice from another entry.
    pub fn apply(&mut self, now: Moment, notice: SuspectNotice) -> SuspectChange {
        let digest = notice.digest();
        match notice {
            SuspectNotice::Cleared { .. } => self.clear(now, digest),
            _ if self.is_stale(now, digest) => SuspectChange::None,
            _ if self.completed.completed_recently(now, digest) => {
                // The sender does not know that the request ran to completion here; announce the
                // clearance.
                self.cleared.insert(digest, now);
                SuspectChange::None
            }
            SuspectNotice::Ended { life, run, .. } => self.add_end(now, digest, life, run),
            SuspectNotice::Refused { left, .. } => self.record_quarantine(now, digest, left),
        }
    }

    /// Whether the request is refused at `now`.
    pub fn is_refused(&self, now: Moment, digest: RequestDigest) -> bool {
        self.suspects.get(&digest).is_some_and(|suspect| suspect.is_refused(now))
    }

    /// Records that the request has arrived. If it is refused, restarts its quarantine and returns
    /// the new duration.
    pub fn record_arrival(&mut self, now: Moment, digest: RequestDigest) -> Option<Duration> {
        let suspect = self.suspects.get_mut(&digest)?;
        if !suspect.is_refused(now) {
            return None;
        }
        suspect.refused_until = Some(now + QUARANTINE_TIME);
        Some(QUARANTINE_TIME)
    }

    /// All requests that are refused at `now`.
    pub fn refused(&self, now: Moment) -> Vec<QuarantinedRequest> {
        let refused = self.suspects.iter().filter(|(_, suspect)| suspect.is_refused(now));
        refused
            .map(|(digest, suspect)| QuarantinedRequest {
                digest: *digest,
                left: suspect.refused_until.unwrap_or(now).since(now),
                ends: suspect.ends.len(),
            })
            .collect()
    }

    /// Number of suspects, including refused ones.
    pub fn len(&self) -> usize {
        self.suspects.len()
    }

    /// Whether there are no suspects.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Removes expired suspects, clearances and completions.
    pub fn remove_expired(&mut self, now: Moment) {
        let old = self.suspects.iter().filter(|(_, suspect)| !suspect.is_current(now));
        let old: Vec<RequestDigest> = old.map(|(digest, _)| *digest).collect();
        old.into_iter().for_each(|digest| self.remove_suspect(digest));
        self.cleared.retain(|_, at| now.since(*at) <= STALE_NOTICE_TIME);
        self.completed.remove_expired(now);
    }

    fn is_stale(&self, now: Moment, digest: RequestDigest) -> bool {
        self.cleared.get(&digest).is_some_and(|at| now.since(*at) <= STALE_NOTICE_TIME)
    }

    /// Removes a suspect and has the clearance announced to other entries.
    fn clear(&mut self, now: Moment, digest: RequestDigest) -> SuspectChange {
        if !self.suspects.contains_key(&digest) {
            return SuspectChange::None;
        }
        let was_refused = self.is_refused(now, digest);
        self.remove_suspect(digest);
        self.cleared.insert(digest, now);
        SuspectChange::Cleared { was_refused }
    }

    fn add_end(
        &mut self,
        now: Moment,
        digest: RequestDigest,
        life: LifeKey,
        run: ProgressAtEnd,
    ) -> SuspectChange {
        let suspect = self.suspects.entry(digest).or_default();
        let known = suspect.ends.get(&life).copied();
        // At the threshold no further end is needed. A report of partial output overrides one of
        // no output, since its sender has seen the request start.
        if known.is_some_and(|known| known.run >= run) || suspect.ends.len() >= QUARANTINE_THRESHOLD
        {
            return SuspectChange::None;
        }
        let recorded = known.map_or(now, |known| known.recorded);
        suspect.ends.insert(life, RecordedEnd { run, recorded });
        let is_new = suspect.meets_threshold() && !suspect.is_refused(now);
        let (seen, lives) = (suspect.seen, suspect.ends.keys().copied().collect());
        self.mark_updated(now, digest);
        match is_new {
            true => {
                let _ = self.refuse(now, digest, now + QUARANTINE_TIME);
                SuspectChange::Refused { lives, seen }
            }
            false => SuspectChange::None,
        }
    }

    fn refuse(&mut self, now: Moment, digest: RequestDigest, until: Moment) -> SuspectChange {
        let suspect = self.suspects.entry(digest).or_default();
        let was_refused = suspect.is_refused(now);
        suspect.refused_until = suspect.refused_until.max(Some(until));
        if was_refused || until <= now {
            return SuspectChange::None;
        }
        self.mark_updated(now, digest);
        self.evict_excess_quarantined(now);
        SuspectChange::Refused { lives: Vec::new(), seen: false }
    }

    /// Records a change of a suspect; evicts the oldest one that is not refused if there are too
    /// many.
    fn mark_updated(&mut self, now: Moment, digest: RequestDigest) {
        let Some(suspect) = self.suspects.get_mut(&digest) else { return };
        self.by_age.remove(&(suspect.updated, digest));
        suspect.updated = now;
        self.by_age.insert((now, digest));
        if self.suspects.len() <= MAX_SUSPECTS {
            return;
        }
        let oldest = self.by_age.iter().find(|(_, digest)| !self.is_refused(now, *digest));
        if let Some((_, oldest)) = oldest.copied() {
            self.remove_suspect(oldest);
        }
    }

    fn evict_excess_quarantined(&mut self, now: Moment) {
        let refused = self.refused(now);
        if refused.len() <= MAX_QUARANTINED {
            return;
        }
        if let Some(first) = refused.iter().min_by_key(|one| one.left) {
            self.remove_suspect(first.digest);
        }
    }

    fn remove_suspect(&mut self, digest: RequestDigest) {
        if let Some(suspect) = self.suspects.remove(&digest) {
            self.by_age.remove(&(suspect.updated, digest));
        }
    }
}
