//! Requests under which servers end, and their quarantine.
//!
//! A limit that is counted by request holds nothing where the same content comes again: here ends of
//! servers are counted by content, over all entries. Every request that a server had when it ended is a
//! suspect, most of them without guilt: a suspicion alone changes nothing. One under which servers
//! ended again and again, and which never ran to its end, is refused from then on.
//!
//! Entries tell each other each end, by content and server life, so that an end that several have seen,
//! or that is told twice, counts once; failure domains that were cut off from each other join their
//! counts afterwards. All that is kept is bounded, the oldest suspicions go first.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use super::request_digest::RequestDigest;
use crate::time::Moment;

mod completed;
mod notices;

use completed::CompletedRequests;
pub use notices::{MAX_NOTICES, SuspectNotice};

/// Ends of servers from which on a request is refused. Requests beside a harmful one meet two ends at
/// times, where it is continued at the same second server as they are.
const QUARANTINE_THRESHOLD: usize = 3;

/// Time between two ends after which a request that never brought anything, anywhere, is refused
/// without a third. Sound ones wait for a first event for a third of a second, and hardly ever twice at
/// servers that end; but servers that are lost together end within a tenth of a second, in which a
/// request may be sent from one to the next: where two fifths to two thirds of a service were lost
/// eight times in 15 s, one of some five hundred sound requests was refused without this time.
const MIN_END_SPAN: Duration = Duration::from_millis(250);

/// Time for which a request is refused after its last coming. Longer than callers go on trying; a sound
/// one that was taken for harmful is served again after that.
pub const QUARANTINE_TIME: Duration = Duration::from_secs(600);

/// Time after the last end under it for which a suspicion is kept.
const SUSPICION_TIME: Duration = Duration::from_secs(120);

/// Time for which old word of a request that has been cleared is not believed: several times as long
/// as entries tell what is new.
const STALE_NOTICE_TIME: Duration = Duration::from_secs(5);

/// Suspects kept at most. Three quarters of a hundred servers that end at once have some thousand
/// requests; each takes some hundred bytes.
pub const MAX_SUSPECTS: usize = 2048;

/// Requests that are refused at most, so that a caller who makes servers end on purpose cannot fill
/// the memory; each of them costs two ends.
pub const MAX_QUARANTINED: usize = 256;

/// One life of a server, from its start to its end, as a short key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LifeKey(pub u32);

impl std::fmt::Display for LifeKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:08x}", self.0)
    }
}

/// How far a request had come at a server that ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ProgressAtEnd {
    /// It had brought nothing.
    NoOutput,
    /// It had brought a part of its answer.
    PartialOutput,
}

/// What a word about a suspect changed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SuspectChange {
    /// Nothing that matters.
    None,
    /// The request is refused from now on.
    Refused {
        /// The lives of servers that ended under it; none where others have judged.
        lives: Vec<LifeKey>,
        /// This entry has seen one of the ends itself.
        seen: bool,
    },
    /// The request is no longer a suspect.
    Cleared {
        /// It was refused.
        was_refused: bool,
    },
}

/// A request that is refused, for operators.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QuarantinedRequest {
    /// The request.
    pub digest: RequestDigest,
    /// Time for which it is still refused, unless it comes again.
    pub left: Duration,
    /// Ends of servers under it that this entry knows of.
    pub ends: usize,
}

/// An end of a server under a request.
#[derive(Debug, Clone, Copy)]
struct RecordedEnd {
    run: ProgressAtEnd,
    /// When it was seen, or heard of.
    recorded: Moment,
}

#[derive(Debug, Clone, Default)]
struct Suspect {
    ends: BTreeMap<LifeKey, RecordedEnd>,
    /// This entry has seen one of the ends itself.
    seen: bool,
    /// When something new was learnt of it.
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
        let silent = self.ends.values().all(|end| end.run == ProgressAtEnd::NoOutput);
        self.ends.len() >= QUARANTINE_THRESHOLD || (silent && span >= MIN_END_SPAN)
    }

    /// Whether others are to hear of it again and again: with one end more it is refused, or it is.
    fn needs_repeating(&self, now: Moment) -> bool {
        self.is_refused(now) || self.ends.len() > 1
    }

    fn is_current(&self, now: Moment) -> bool {
        self.is_refused(now) || now.since(self.updated) <= SUSPICION_TIME
    }
}

/// What one entry knows of requests under which servers ended.
#[derive(Debug, Clone, Default)]
pub struct SuspectTable {
    suspects: BTreeMap<RequestDigest, Suspect>,
    /// Suspects by when something new was learnt of them.
    by_age: BTreeSet<(Moment, RequestDigest)>,
    completed: CompletedRequests,
    cleared: BTreeMap<RequestDigest, Moment>,
}

impl SuspectTable {
    /// A server has ended while it had the request, as this entry has seen.
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

    /// The request has run to its end: it harms nobody.
    pub fn record_completion(&mut self, now: Moment, digest: RequestDigest) -> SuspectChange {
        self.completed.record(now, digest);
        match self.suspects.get(&digest).map(|suspect| suspect.needs_repeating(now)) {
            Some(true) => self.clear(now, digest),
            // Where others count a second end of it, this entry speaks for it then.
            Some(false) => {
                self.remove_suspect(digest);
                SuspectChange::None
            }
            None => SuspectChange::None,
        }
    }

    /// An operator wants the request to be served again.
    pub fn lift(&mut self, now: Moment, digest: RequestDigest) -> SuspectChange {
        self.clear(now, digest)
    }

    /// The store, or another entry, says that the request is refused for `left` more.
    pub fn record_quarantine(
        &mut self,
        now: Moment,
        digest: RequestDigest,
        left: Duration,
    ) -> SuspectChange {
        self.refuse(now, digest, now + left.min(QUARANTINE_TIME))
    }

    /// Takes in what another entry tells.
    pub fn apply(&mut self, now: Moment, notice: SuspectNotice) -> SuspectChange {
        let digest = notice.digest();
        match notice {
            SuspectNotice::Cleared { .. } => self.clear(now, digest),
            _ if self.is_stale(now, digest) => SuspectChange::None,
            _ if self.completed.completed_recently(now, digest) => {
                // Whoever tells that has not heard how the request ran here.
                self.cleared.insert(digest, now);
                SuspectChange::None
            }
            SuspectNotice::Ended { life, run, .. } => self.add_end(now, digest, life, run),
            SuspectNotice::Refused { left, .. } => self.record_quarantine(now, digest, left),
        }
    }

    /// Whether the request is refused now.
    pub fn is_refused(&self, now: Moment, digest: RequestDigest) -> bool {
        self.suspects.get(&digest).is_some_and(|suspect| suspect.is_refused(now))
    }

    /// The request has come; the time for which it is refused from now on, if it is.
    pub fn record_arrival(&mut self, now: Moment, digest: RequestDigest) -> Option<Duration> {
        let suspect = self.suspects.get_mut(&digest)?;
        if !suspect.is_refused(now) {
            return None;
        }
        suspect.refused_until = Some(now + QUARANTINE_TIME);
        Some(QUARANTINE_TIME)
    }

    /// The requests that are refused.
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

    /// Suspects that are kept, those that are refused among them.
    pub fn len(&self) -> usize {
        self.suspects.len()
    }

    /// Whether nothing is suspected.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Forgets what is too old to matter.
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

    /// Forgets a suspect, if it is one, and has others told.
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
        // What is proved needs no further end, and one who has seen the request begin knows better.
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

    /// Something new is known of a suspect; the oldest one goes where there are too many.
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
