//! Prompt parts on which a server wrote and lived on.

use std::{
    collections::{BTreeSet, HashMap, VecDeque},
    time::Duration,
};

use headlatch_types::request::PartKey;

use crate::time::Moment;

/// Time for which a sound answer is remembered.
const MEMORY_TIME: Duration = Duration::from_secs(60);

/// Number of sound answers without a part that show that it is not in every request.
const CONTRAST_ANSWERS: usize = 2;

/// Maximum number of remembered parts; the ones that were sound longest ago are forgotten first.
const MAX_SOUND_PARTS: usize = 4096;

/// When servers last began to write on each part, of answers after which they lived on.
#[derive(Debug, Clone, Default)]
pub(super) struct SoundParts {
    last: HashMap<PartKey, Moment>,
    in_order: BTreeSet<(Moment, PartKey)>,
    /// The last sound answers of this entry, whatever their parts.
    answers: VecDeque<Moment>,
}

impl SoundParts {
    /// Records that a server began to write on `part` at `begun` and lived on.
    pub(super) fn record(&mut self, part: PartKey, begun: Moment) {
        let known = self.last.get(&part).copied();
        if known.is_some_and(|known| known >= begun) {
            return;
        }
        if let Some(known) = known {
            self.in_order.remove(&(known, part));
        }
        self.last.insert(part, begun);
        self.in_order.insert((begun, part));
        if self.in_order.len() > MAX_SOUND_PARTS {
            self.remove_first();
        }
    }

    /// Records a sound answer of this entry.
    pub(super) fn record_answer(&mut self, begun: Moment) {
        self.answers.push_back(begun);
        if self.answers.len() > CONTRAST_ANSWERS {
            self.answers.pop_front();
        }
    }

    /// Whether there were enough answers lately to tell parts that are never in one from those that
    /// are in all.
    pub(super) fn gives_contrast(&self, now: Moment) -> bool {
        self.answers.len() == CONTRAST_ANSWERS
            && self.answers.iter().all(|at| now.since(*at) <= MEMORY_TIME)
    }

    /// When a server last began to write on `part`, within [`MEMORY_TIME`] before `now`.
    pub(super) fn last(&self, now: Moment, part: PartKey) -> Option<Moment> {
        self.last.get(&part).copied().filter(|at| now.since(*at) <= MEMORY_TIME)
    }

    /// Forgets answers older than [`MEMORY_TIME`].
    pub(super) fn remove_expired(&mut self, now: Moment) {
        while self.in_order.first().is_some_and(|(at, _)| now.since(*at) > MEMORY_TIME) {
            self.remove_first();
        }
    }

    fn remove_first(&mut self) {
        if let Some((_, part)) = self.in_order.pop_first() {
            self.last.remove(&part);
        }
    }
}
