//! Which parts the known ends speak against.

use std::{cmp::Reverse, collections::BTreeSet, time::Duration};

use headlatch_types::request::PartKey;

use super::{
    CAUTIOUS_QUARANTINE_TIME, MIN_END_SPAN, PART_QUARANTINE_TIME, PartChange, PartTable,
    REFUSAL_ENDS, SOUND_REFUSAL_ENDS, TIED_REFUSAL_ENDS,
};
use crate::{direct::suspects::LifeKey, time::Moment};

/// Number of ends that another part explains beyond those of a refused one when it releases it.
const RELEASE_MARGIN: usize = 2;

/// What is known of a candidate apart from its ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum CandidateState {
    /// A server wrote on it recently.
    RecentlySound,
    /// Nothing.
    Unknown,
    /// It was refused before and is tried again.
    OnProbation,
    /// It is refused.
    Refused,
}

/// A part that may be harmful, with the ends that no other part explains.
#[derive(Debug, Clone)]
struct Candidate {
    part: PartKey,
    lives: BTreeSet<LifeKey>,
    state: CandidateState,
}

impl Candidate {
    /// Whether this part explains the ends of `other` as well.
    fn rivals(&self, other: &Self) -> bool {
        self.part != other.part && self.lives.is_superset(&other.lives)
    }
}

/// Parts that explain ends, with the ends that each of them explains.
type Explanations = Vec<(PartKey, BTreeSet<LifeKey>)>;

impl PartTable {
    /// Refuses the parts that explain the known ends, and releases refused ones whose ends others
    /// explain.
    pub(super) fn judge(&mut self, now: Moment) -> Vec<PartChange> {
        let explanations = self.explain_ends(now);
        let mut changes = Vec::new();
        for (part, lives) in &explanations {
            if self.is_refused(now, *part) {
                if let Some(known) = self.quarantined.get_mut(part) {
                    known.lives.extend(lives);
                }
                continue;
            }
            let time = self.next_quarantine_time(now, *part);
            changes.push(self.refuse(now, *part, time, lives.clone()));
        }
        changes.extend(self.release_explained(now, &explanations));
        changes
    }

    fn next_quarantine_time(&self, now: Moment, part: PartKey) -> Duration {
        match self.quarantined.get(&part) {
            Some(before) => (before.time * 2).min(PART_QUARANTINE_TIME),
            None if self.sound.last(now, part).is_some() => CAUTIOUS_QUARANTINE_TIME,
            None => PART_QUARANTINE_TIME,
        }
    }

    /// Judges the remaining ends after others were cleared.
    pub(super) fn judge_after(
        &mut self,
        now: Moment,
        cleared: impl IntoIterator<Item = PartChange>,
    ) -> Vec<PartChange> {
        let mut changes = Vec::from_iter(cleared);
        if !changes.is_empty() {
            changes.extend(self.judge(now));
        }
        changes
    }

    fn release_explained(&mut self, now: Moment, explanations: &Explanations) -> Vec<PartChange> {
        let is_cause = |part: &PartKey| explanations.iter().any(|(cause, _)| cause == part);
        let is_explained = |lives: &BTreeSet<LifeKey>| {
            explanations.iter().any(|(_, ends)| {
                ends.len() >= lives.len() + RELEASE_MARGIN && ends.is_superset(lives)
            })
        };
        let released = self.quarantined.iter().filter(|(part, one)| {
            !is_cause(part) && !one.lives.is_empty() && is_explained(&one.lives)
        });
        let released: Vec<PartKey> = released.map(|(part, _)| *part).collect();
        released.into_iter().filter_map(|part| self.release(now, part)).collect()
    }

    /// Explains the known ends by as few parts as possible.
    fn explain_ends(&self, now: Moment) -> Explanations {
        let mut candidates = self.candidates(now);
        let mut explanations = Explanations::new();
        while let Some(cause) = self.most_likely_cause(now, &candidates) {
            let (tied, others): (Vec<_>, Vec<_>) = candidates
                .into_iter()
                .partition(|one| one.lives == cause.lives && one.state == cause.state);
            explanations.extend(tied.into_iter().map(|one| (one.part, one.lives)));
            candidates = others;
            for one in &mut candidates {
                one.lives.retain(|life| !cause.lives.contains(life));
            }
        }
        explanations
    }

    /// The candidate that explains most ends, of those against which enough of them speak.
    fn most_likely_cause(&self, now: Moment, candidates: &[Candidate]) -> Option<Candidate> {
        let likely = candidates.iter().filter(|one| self.is_likely(now, one, candidates));
        let order = |one: &&Candidate| {
            (one.lives.len(), one.state > CandidateState::RecentlySound, Reverse(one.part))
        };
        likely.max_by_key(order).cloned()
    }

    fn is_likely(&self, now: Moment, candidate: &Candidate, all: &[Candidate]) -> bool {
        let evidence = self.end_times.evidence(&candidate.lives);
        let ends = match candidate.state {
            CandidateState::RecentlySound => SOUND_REFUSAL_ENDS,
            CandidateState::Unknown if !self.sound.gives_contrast(now) => return false,
            CandidateState::Unknown => REFUSAL_ENDS,
            CandidateState::OnProbation | CandidateState::Refused => return evidence.ends > 0,
        };
        let is_tied = || all.iter().any(|other| other.rivals(candidate));
        evidence.ends >= ends
            && evidence.span() >= MIN_END_SPAN
            && (evidence.ends >= TIED_REFUSAL_ENDS || !is_tied())
    }

    /// Suspects with enough ends to be judged, and those that are refused or on probation.
    fn candidates(&self, now: Moment) -> Vec<Candidate> {
        let by_ends = self.by_rank.iter().rev();
        let many = by_ends.take_while(|(ends, _, _)| *ends >= REFUSAL_ENDS);
        let many = many.map(|(_, _, part)| *part);
        let parts: BTreeSet<PartKey> = self.quarantined.keys().copied().chain(many).collect();
        parts.into_iter().filter_map(|part| self.candidate(now, part)).collect()
    }

    fn candidate(&self, now: Moment, part: PartKey) -> Option<Candidate> {
        let suspect = self.suspects.get(&part)?;
        let refused_until = self.refused_until(part);
        let is_cautious =
            self.quarantined.get(&part).is_some_and(|one| one.time < PART_QUARANTINE_TIME);
        let state = match refused_until {
            Some(until) if until > now => CandidateState::Refused,
            Some(_) if is_cautious => CandidateState::Unknown,
            Some(_) => CandidateState::OnProbation,
            None if self.sound.last(now, part).is_some() => CandidateState::RecentlySound,
            None => CandidateState::Unknown,
        };
        // Only ends of the trial speak against a part on probation.
        let from = refused_until.filter(|until| *until <= now).unwrap_or_default();
        let counts = |life: &LifeKey| self.end_times.at(*life).is_some_and(|at| at >= from);
        let lives = suspect.ends.iter().copied().filter(counts).collect();
        Some(Candidate { part, lives, state })
    }
}
