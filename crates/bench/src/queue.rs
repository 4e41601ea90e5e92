//! Events in the order of their time.

use std::{
    cmp::{Ordering, Reverse},
    collections::BinaryHeap,
    time::Duration,
};

use headlatch_core::time::Moment;

#[derive(Debug)]
struct Entry<E> {
    at: Moment,
    order: u64,
    event: E,
}

impl<E> PartialEq for Entry<E> {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl<E> Eq for Entry<E> {}

impl<E> PartialOrd for Entry<E> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> Ord for Entry<E> {
    fn cmp(&self, other: &Self) -> Ordering {
        (self.at, self.order).cmp(&(other.at, other.order))
    }
}

/// A queue of events; those due at the same time come in the order they were added.
#[derive(Debug)]
pub struct EventQueue<E> {
    heap: BinaryHeap<Reverse<Entry<E>>>,
    now: Moment,
    added: u64,
}

impl<E> Default for EventQueue<E> {
    fn default() -> Self {
        Self { heap: BinaryHeap::new(), now: Moment::ZERO, added: 0 }
    }
}

impl<E> EventQueue<E> {
    /// The time of the event that was taken last.
    pub fn now(&self) -> Moment {
        self.now
    }

    /// Adds an event that is due at `at`, or now if that is past.
    pub fn at(&mut self, at: Moment, event: E) {
        self.added += 1;
        let at = at.max(self.now);
        self.heap.push(Reverse(Entry { at, order: self.added, event }));
    }

    /// Adds an event that is due after `rest`.
    pub fn after(&mut self, rest: Duration, event: E) {
        self.at(self.now + rest, event);
    }

    /// Takes the next event and moves the time on to it.
    pub fn pop(&mut self) -> Option<(Moment, E)> {
        let Reverse(entry) = self.heap.pop()?;
        self.now = entry.at;
        Some((entry.at, entry.event))
    }
}
