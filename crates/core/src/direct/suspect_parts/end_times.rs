//! When servers ended, and which of them ended together.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use crate::{direct::suspects::LifeKey, time::Moment};

/// Servers that end within this time of each other count as a herd, which has a common cause of its
/// own: a loss of power or of a network.
const HERD_TIME: Duration = Duration::from_millis(50);

/// Minimum number of ends in a herd.
const MIN_HERD: usize = 4;

/// A herd is evidence against a part only if one in this many of its servers had the part in
/// progress.
const HERD_SHARE: usize = 4;

/// Maximum number of remembered ends; the oldest are forgotten first.
const MAX_END_TIMES: usize = 2048;

/// When each server life ended, as far as this entry knows.
#[derive(Debug, Clone, Default)]
pub(super) struct EndTimes {
    by_life: BTreeMap<LifeKey, Moment>,
    in_order: BTreeSet<(Moment, LifeKey)>,
}

impl EndTimes {
    /// Records an end, unless it is known.
    pub(super) fn record(&mut self, at: Moment, life: LifeKey) {
        if self.by_life.contains_key(&life) {
            return;
        }
        self.by_life.insert(life, at);
        self.in_order.insert((at, life));
        if self.in_order.len() > MAX_END_TIMES
            && let Some((_, oldest)) = self.in_order.pop_first()
        {
            self.by_life.remove(&oldest);
        }
    }

    /// When a server life ended.
    pub(super) fn at(&self, life: LifeKey) -> Option<Moment> {
        self.by_life.get(&life).copied()
    }

    /// The ends among `lives` that are evidence against a part that was in progress at all of them.
    pub(super) fn evidence(&self, lives: &BTreeSet<LifeKey>) -> EndEvidence {
        let times = lives.iter().filter_map(|life| self.at(*life));
        let counted = times.filter(|at| {
            let (from, to) = ((*at - HERD_TIME, LifeKey(0)), (*at + HERD_TIME, LifeKey(u32::MAX)));
            let herd = self.in_order.range(from..=to);
            let (mut all, mut with_part) = (0, 0);
            herd.for_each(|(_, life)| {
                all += 1;
                with_part += usize::from(lives.contains(life));
            });
            all < MIN_HERD || with_part * HERD_SHARE >= all
        });
        counted.fold(EndEvidence::default(), |evidence, at| EndEvidence {
            ends: evidence.ends + 1,
            first: Some(evidence.first.map_or(at, |first| first.min(at))),
            last: evidence.last.max(Some(at)),
        })
    }

    /// Forgets ends before `until`.
    pub(super) fn remove_before(&mut self, until: Moment) {
        while self.in_order.first().is_some_and(|(at, _)| *at < until) {
            if let Some((_, life)) = self.in_order.pop_first() {
                self.by_life.remove(&life);
            }
        }
    }
}

/// Ends that speak against a part.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct EndEvidence {
    /// Number of ends.
    pub(super) ends: usize,
    first: Option<Moment>,
    /// The last of them.
    pub(super) last: Option<Moment>,
}

impl EndEvidence {
    /// Time between the first and the last end.
    pub(super) fn span(self) -> Duration {
        self.last.unwrap_or_default().since(self.first.unwrap_or_default())
    }
}
