//! Detection and quarantine of prompt parts that terminate the servers running them.
//!
//! Requests may share parts of their prompts and differ in everything else, so that their content
//! digests never repeat. Every part of every request in progress on a server when it ends becomes a
//! suspect, and most suspects are harmless: each request has several parts, each server several
//! requests. Three observations separate a harmful part from the others:
//!
//! - A harmless part is soon answered: a server that began to write on it and lived on clears it.
//! - A harmful part is present at each of several ends, and no other suspect explains them as well.
//! - Once a part explains an end, that end is no evidence against any other part.
//!
//! Entries exchange suspects by part and server life, so that ends observed by several entries
//! count once. All state is bounded.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use headlatch_types::request::PartKey;

use super::suspects::{ANNOUNCE_TIME, LifeKey};
use crate::time::Moment;

mod end_times;
mod judgement;
mod notices;
mod sound_parts;

use end_times::EndTimes;
pub use notices::{MAX_PART_NOTICES, PartNotice};
use sound_parts::SoundParts;

/// Number of ends at which a part is refused if no server has written on it within
/// [`SoundParts`]'s memory. A harmless request that is retried can meet two.
const REFUSAL_ENDS: usize = 3;

/// The same for a part on which servers wrote recently, which has to outweigh that.
const SOUND_REFUSAL_ENDS: usize = 6;

/// Number of ends at which parts that always occur together are refused together.
const TIED_REFUSAL_ENDS: usize = 5;

/// Minimum time between the first and the last end under a part. Servers lost together end within a
/// tenth of a second, in which a request may be retried from one to the next.
const MIN_END_SPAN: Duration = Duration::from_millis(250);

/// Time before an end within which a server that began to write on a part clears it of that end.
/// Observations of several entries are not ordered any more precisely.
const SOUND_TOLERANCE: Duration = Duration::from_secs(1);

/// Time for which a server must have written on a part to show that it survives it.
pub const SURVIVAL_TIME: Duration = Duration::from_millis(500);

/// Time after which a refused part is tried again. At the next end under it, it is refused without
/// further evidence.
pub const PART_QUARANTINE_TIME: Duration = Duration::from_secs(600);

/// Time for which a part on which servers wrote recently is refused at first; it doubles each time that
/// the part ends servers again. Many requests may have such a part.
const CAUTIOUS_QUARANTINE_TIME: Duration = Duration::from_secs(5);

/// Time for which notices that a part is refused are ignored as stale after it was released. Several
/// times as long as entries announce a change.
const STALE_NOTICE_TIME: Duration = Duration::from_secs(5);

/// Time for which a part that is no longer refused stays on probation.
const PROBATION_TIME: Duration = Duration::from_secs(3600);

/// Time after the last end under a part for which it is kept as a suspect.
const SUSPICION_TIME: Duration = Duration::from_secs(120);

/// Maximum number of suspects. The ends of fifty servers with fifty candidate parts each.
pub const MAX_SUSPECT_PARTS: usize = 2560;

/// Maximum number of ends that are kept for a suspect.
const MAX_ENDS_PER_PART: usize = 16;

/// Maximum number of refused parts and of parts on probation, so that a caller who terminates
/// servers on purpose cannot exhaust memory. Each costs the caller several server ends.
pub const MAX_QUARANTINED_PARTS: usize = 256;

/// Effect of an observation or notice.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PartChange {
    /// Requests with the part are refused from now on.
    Refused(PartVerdict),
    /// Requests with the part are no longer refused.
    Released {
        /// The part.
        part: PartKey,
        /// Whether this entry had observed one of the ends itself.
        seen: bool,
    },
}

/// Why a part is refused.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PartVerdict {
    /// The part.
    pub part: PartKey,
    /// Lives of the servers that ended under it; empty if another entry or the store reported the
    /// verdict.
    pub lives: BTreeSet<LifeKey>,
    /// Whether this entry observed one of the ends itself.
    pub seen: bool,
    /// Time since a server last began to write on the part and lived on, if known.
    pub sound_age: Option<Duration>,
    /// Time for which it is refused.
    pub left: Duration,
}

/// A refused part, as reported to operators.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QuarantinedPart {
    /// The part.
    pub part: PartKey,
    /// Remaining time of the quarantine.
    pub left: Duration,
    /// Number of server ends under it that this entry knows of.
    pub ends: usize,
}

#[derive(Debug, Clone, Default)]
struct SuspectPart {
    ends: BTreeSet<LifeKey>,
    /// Whether this entry observed one of the ends itself.
    seen: bool,
    /// When the last end was added.
    updated: Moment,
}

impl SuspectPart {
    fn rank(&self, part: PartKey) -> (usize, Moment, PartKey) {
        (self.ends.len(), self.updated, part)
    }
}

#[derive(Debug, Clone)]
struct PartQuarantine {
    until: Moment,
    /// Duration of the whole quarantine.
    time: Duration,
    /// When this entry learned of it.
    since: Moment,
    lives: BTreeSet<LifeKey>,
    /// Whether this entry had observed one of the ends itself.
    seen: bool,
}

/// One entry's record of prompt parts under which servers ended.
#[derive(Debug, Clone, Default)]
pub struct PartTable {
    suspects: BTreeMap<PartKey, SuspectPart>,
    /// Suspects by number of ends and last change, first the one to evict.
    by_rank: BTreeSet<(usize, Moment, PartKey)>,
    /// Parts that are refused or on probation.
    quarantined: BTreeMap<PartKey, PartQuarantine>,
    end_times: EndTimes,
    sound: SoundParts,
    /// Since when it is announced that a part was sound.
    announced_sound: BTreeMap<PartKey, Moment>,
    /// When parts were released whose ends others explain.
    released: BTreeMap<PartKey, Moment>,
    /// Time that this entry adds to a quarantine of [`PART_QUARANTINE_TIME`], and its part to shorter ones.
    trial_delay: Duration,
}

impl PartTable {
    /// Creates a table that adds `trial_delay` to each quarantine, so that entries with different
    /// delays do not all try a refused part again at the same moment.
    pub fn new(trial_delay: Duration) -> Self {
        Self { trial_delay, ..Self::default() }
    }

    /// Records that a server ended while requests with these parts were in progress, as observed by
    /// this entry.
    pub fn record_server_end(
        &mut self,
        now: Moment,
        parts: &[PartKey],
        life: LifeKey,
    ) -> Vec<PartChange> {
        if parts.is_empty() {
            return Vec::new();
        }
        self.end_times.record(now, life);
        for part in parts {
            if self.add_end(now, *part, life)
                && let Some(suspect) = self.suspects.get_mut(part)
            {
                suspect.seen = true;
            }
        }
        self.judge(now)
    }

    /// Records that a server began to write on these parts at `begun` and lived on.
    pub fn record_sound_answer(
        &mut self,
        now: Moment,
        parts: &[PartKey],
        begun: Moment,
    ) -> Vec<PartChange> {
        if !parts.is_empty() {
            self.sound.record_answer(begun);
        }
        let cleared = parts.iter().filter_map(|part| self.clear(now, *part, begun));
        let changes: Vec<PartChange> = cleared.collect();
        self.judge_after(now, changes)
    }

    /// Ends the quarantine of a part at an operator's command; no change if it is not refused.
    pub fn lift(&mut self, now: Moment, part: PartKey) -> Vec<PartChange> {
        let changes = self.clear(now, part, now);
        self.announced_sound.insert(part, now);
        self.judge_after(now, changes)
    }

    /// Records that a part is refused for another `left`, according to the store or another entry.
    pub fn record_quarantine(
        &mut self,
        now: Moment,
        part: PartKey,
        left: Duration,
    ) -> Option<PartChange> {
        let left = left.min(PART_QUARANTINE_TIME);
        if self.is_refused(now, part) {
            let known = self.quarantined.get_mut(&part)?;
            known.until = known.until.max(now + left);
            return None;
        }
        if left.is_zero() {
            return None;
        }
        Some(self.refuse(now, part, left, BTreeSet::new()))
    }

    /// Applies notices from another entry and then judges what they say.
    pub fn apply(&mut self, now: Moment, notices: &[PartNotice]) -> Vec<PartChange> {
        let mut changes = Vec::new();
        let mut must_judge = false;
        for notice in notices {
            let (change, is_evidence) = self.apply_one(now, *notice);
            must_judge |= is_evidence || matches!(change, Some(PartChange::Released { .. }));
            changes.extend(change);
        }
        if must_judge {
            changes.extend(self.judge(now));
        }
        changes
    }

    /// Applies a notice; returns its effect and whether it is new evidence against a part.
    fn apply_one(&mut self, now: Moment, notice: PartNotice) -> (Option<PartChange>, bool) {
        match notice {
            PartNotice::Sound { part, age } => (self.clear(now, part, now - age), false),
            PartNotice::Ended { part, life, age } => {
                self.end_times.record(now - age, life);
                self.answer_if_sound(now, part);
                (None, self.add_end(now, part, life))
            }
            PartNotice::Refused { part, left } => {
                let is_outdated = self.answer_if_sound(now, part) || self.is_stale(now, part);
                let change = (!is_outdated).then(|| self.record_quarantine(now, part, left));
                (change.flatten(), false)
            }
            PartNotice::Released { part } => {
                // A verdict on ends that this entry knows is its own to reconsider.
                let is_reported =
                    self.quarantined.get(&part).is_some_and(|one| one.lives.is_empty());
                (if is_reported { self.release(now, part) } else { None }, false)
            }
        }
    }

    /// Whether requests with the part are refused at `now`.
    pub fn is_refused(&self, now: Moment, part: PartKey) -> bool {
        self.refused_until(part).is_some_and(|until| until > now)
    }

    /// Remaining time for which requests with the part are refused; `None` if they are not.
    pub fn refused_for(&self, now: Moment, part: PartKey) -> Option<Duration> {
        self.refused_until(part).filter(|until| *until > now).map(|until| until.since(now))
    }

    /// Whether a server ended recently under the part and none has written on it since.
    pub fn is_suspected(&self, part: PartKey) -> bool {
        self.suspects.contains_key(&part) || self.quarantined.contains_key(&part)
    }

    /// Server lives whose ends the refused parts explain.
    pub fn explained_ends(&self, now: Moment) -> BTreeSet<LifeKey> {
        let refused = self.quarantined.iter().filter(|(part, _)| self.is_refused(now, **part));
        refused.flat_map(|(part, one)| self.ends_under(*part, one)).collect()
    }

    fn ends_under(&self, part: PartKey, quarantine: &PartQuarantine) -> BTreeSet<LifeKey> {
        let known = self.suspects.get(&part).map(|suspect| suspect.ends.clone());
        known.unwrap_or_default().union(&quarantine.lives).copied().collect()
    }

    /// All parts that are refused at `now`.
    pub fn refused(&self, now: Moment) -> Vec<QuarantinedPart> {
        let refused = self.quarantined.iter().filter(|(part, _)| self.is_refused(now, **part));
        refused
            .map(|(part, quarantine)| QuarantinedPart {
                part: *part,
                left: self.refused_for(now, *part).unwrap_or_default(),
                ends: self.ends_under(*part, quarantine).len(),
            })
            .collect()
    }

    /// Number of suspects.
    pub fn len(&self) -> usize {
        self.suspects.len()
    }

    /// Whether there are no suspects.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Removes expired suspects, quarantines and observations.
    pub fn remove_expired(&mut self, now: Moment) {
        let old = self.suspects.iter().filter(|(_, one)| now.since(one.updated) > SUSPICION_TIME);
        let old: Vec<PartKey> = old.map(|(part, _)| *part).collect();
        old.into_iter().for_each(|part| self.remove_suspect(part));
        self.quarantined.retain(|_, one| now.since(one.until) <= PROBATION_TIME);
        self.announced_sound.retain(|_, since| now.since(*since) <= ANNOUNCE_TIME);
        self.released.retain(|_, since| now.since(*since) <= STALE_NOTICE_TIME);
        self.end_times.remove_before(now - SUSPICION_TIME);
        self.sound.remove_expired(now);
    }

    fn refused_until(&self, part: PartKey) -> Option<Moment> {
        let one = self.quarantined.get(&part)?;
        let share = one.time.div_duration_f64(PART_QUARANTINE_TIME);
        Some(one.until + self.trial_delay.mul_f64(share))
    }

    /// Announces that a part on which a server wrote recently was sound; returns whether that still
    /// clears it now.
    fn answer_if_sound(&mut self, now: Moment, part: PartKey) -> bool {
        let Some(at) = self.sound.last(now, part) else { return false };
        let announced = self.announced_sound.get(&part);
        if announced.is_none_or(|since| now.since(*since) > ANNOUNCE_TIME) {
            self.announced_sound.insert(part, now);
        }
        at + SOUND_TOLERANCE >= now
    }

    fn is_stale(&self, now: Moment, part: PartKey) -> bool {
        self.released.get(&part).is_some_and(|at| now.since(*at) <= STALE_NOTICE_TIME)
    }

    /// Releases a part whose ends have another cause, and has that announced.
    fn release(&mut self, now: Moment, part: PartKey) -> Option<PartChange> {
        let PartQuarantine { seen, .. } = self.quarantined.remove(&part)?;
        self.released.insert(part, now);
        Some(PartChange::Released { part, seen })
    }

    /// Records a sound answer, which clears the part of earlier ends and of a verdict on them.
    fn clear(&mut self, now: Moment, part: PartKey, begun: Moment) -> Option<PartChange> {
        self.sound.record(part, begun);
        let cleared_until = begun + SOUND_TOLERANCE;
        let ended_at = |life: &LifeKey| self.end_times.at(*life);
        let is_released = self.quarantined.get(&part).is_some_and(|one| {
            let last = one.lives.iter().filter_map(ended_at).max();
            last.unwrap_or(one.since) <= cleared_until
        });
        let is_left = |life: &LifeKey| ended_at(life).is_some_and(|at| at > cleared_until);
        let known = self.suspects.get(&part).map(|suspect| &suspect.ends);
        let left = known.map(|ends| ends.iter().copied().filter(is_left).collect::<BTreeSet<_>>());
        let is_cleared = known.map(BTreeSet::len) > left.as_ref().map(BTreeSet::len);
        match left {
            Some(left) if left.is_empty() => self.remove_suspect(part),
            Some(left) if is_cleared => self.update_suspect(part, |suspect| suspect.ends = left),
            _ => {}
        }
        if is_released || is_cleared {
            self.announced_sound.insert(part, now);
        }
        let PartQuarantine { seen, .. } =
            is_released.then(|| self.quarantined.remove(&part)).flatten()?;
        Some(PartChange::Released { part, seen })
    }

    /// Adds an end under a part; returns whether it is new and speaks against the part.
    fn add_end(&mut self, now: Moment, part: PartKey, life: LifeKey) -> bool {
        let Some(ended) = self.end_times.at(life) else { return false };
        let is_sound = self.sound.last(now, part).is_some_and(|at| at + SOUND_TOLERANCE >= ended);
        let known = self.suspects.get(&part).map(|suspect| &suspect.ends);
        if is_sound || known.is_some_and(|ends| ends.contains(&life)) {
            return false;
        }
        let oldest = known
            .filter(|ends| ends.len() >= MAX_ENDS_PER_PART)
            .and_then(|ends| ends.iter().copied().min_by_key(|life| self.end_times.at(*life)));
        self.update_suspect(part, |suspect| {
            suspect.ends.extend([life]);
            suspect.ends.retain(|life| Some(*life) != oldest);
            suspect.updated = now;
        });
        while self.suspects.len() > MAX_SUSPECT_PARTS
            && let Some((_, _, first)) = self.by_rank.first().copied()
        {
            self.remove_suspect(first);
        }
        true
    }

    fn update_suspect(&mut self, part: PartKey, update: impl FnOnce(&mut SuspectPart)) {
        let suspect = self.suspects.entry(part).or_default();
        self.by_rank.remove(&suspect.rank(part));
        update(suspect);
        self.by_rank.insert(suspect.rank(part));
    }

    fn remove_suspect(&mut self, part: PartKey) {
        if let Some(suspect) = self.suspects.remove(&part) {
            self.by_rank.remove(&suspect.rank(part));
        }
    }

    fn refuse(
        &mut self,
        now: Moment,
        part: PartKey,
        time: Duration,
        lives: BTreeSet<LifeKey>,
    ) -> PartChange {
        let seen = self.suspects.get(&part).is_some_and(|suspect| suspect.seen);
        let sound_age = self.sound.last(now, part).map(|at| now.since(at));
        let verdict = PartVerdict { part, lives: lives.clone(), seen, sound_age, left: time };
        let until = now + time;
        self.quarantined.insert(part, PartQuarantine { until, time, since: now, lives, seen });
        if self.quarantined.len() > MAX_QUARANTINED_PARTS {
            let first = self.quarantined.iter().min_by_key(|(_, one)| one.until);
            let first = first.map(|(part, _)| *part);
            first.map(|part| self.quarantined.remove(&part));
        }
        PartChange::Refused(verdict)
    }
}
