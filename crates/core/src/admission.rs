//! Who may begin a request at an entry: fair shares, bounded queues, early refusal.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use headlatch_types::id::OrganisationName;

use crate::time::Moment;

/// Least time between two cuts of a limit: refusals come in crowds that tell of one shortage.
const CUT_PAUSE: Duration = Duration::from_secs(2);

/// What is left of a limit after a cut.
const CUT_FACTOR: f64 = 0.97;

/// How many requests an entry lets run, learnt from its endpoints' refusals.
///
/// It rises by one for every round of requests that run and falls by a few hundredths when endpoints are
/// full, so that under overload requests wait in the fair queue instead of being refused at
/// random by whichever endpoint they happen to meet.
#[derive(Debug, Clone)]
pub struct RunningLimit {
    limit: f64,
    least: f64,
    most: f64,
    cut_at: Moment,
}

impl RunningLimit {
    /// A limit between `least` and `most`, which begins at `most`.
    pub fn new(least: u32, most: u32) -> Self {
        let (least, most) = (f64::from(least), f64::from(most.max(least)));
        Self { limit: most, least, most, cut_at: Moment::ZERO }
    }

    /// Changes the most it may rise to.
    pub fn set_most(&mut self, most: u32) {
        self.most = f64::from(most).max(self.least);
        self.limit = self.limit.min(self.most);
    }

    /// An endpoint took a request.
    pub fn note_run(&mut self) {
        self.limit = (self.limit + 1.0 / self.limit).min(self.most);
    }

    /// An endpoint was full.
    pub fn note_busy(&mut self, now: Moment) {
        if now.since(self.cut_at) >= CUT_PAUSE {
            self.cut_at = now;
            self.limit = (self.limit * CUT_FACTOR).max(self.least);
        }
    }

    /// The limit now.
    pub fn get(&self) -> u32 {
        self.limit as u32
    }
}

/// Number of a request that waits or runs, given by its entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TicketNumber(pub u64);

/// What an organisation may use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ShareTerms {
    /// Its part of the capacity, relative to the others.
    pub share: u32,
    /// Most requests in progress.
    pub most_in_progress: Option<u32>,
}

/// Why a request was refused; it certainly did not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RefusalReason {
    /// Too many requests wait already.
    QueueFull,
    /// It waited too long.
    WaitedTooLong,
}

/// What became of an arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// It may run now.
    Run,
    /// It waits; [`FairQueue::release`] or [`FairQueue::expire`] will name it.
    Wait,
    /// It is refused.
    Refuse(RefusalReason),
}

#[derive(Debug, Clone, Copy)]
struct WaitingTicket {
    number: TicketNumber,
    until: Moment,
}

#[derive(Debug, Clone, Default)]
struct OrganisationLine {
    running: u32,
    waiting: VecDeque<WaitingTicket>,
    /// Virtual time at which its next request is due.
    due: u64,
}

/// Virtual time that one request of a share of 1 takes.
const STEP: u64 = 1 << 20;

/// Lets requests run up to a limit and shares the limit between organisations.
///
/// It is start-time fair queueing: each organisation has a clock that a request moves on by an
/// amount inverse to its share, and the one whose clock is furthest behind goes next. Each entry
/// does so for itself; the platform's balancer spreads every organisation over all entries, so
/// that shares hold overall without a counter between them.
#[derive(Debug, Clone)]
pub struct FairQueue {
    lines: BTreeMap<OrganisationName, OrganisationLine>,
    most_running: u32,
    most_waiting: usize,
    longest_wait: Duration,
    running: u32,
    waiting: usize,
    clock: u64,
}

impl FairQueue {
    /// A queue that lets `most_running` requests run and `most_waiting` wait for `longest_wait`.
    pub fn new(most_running: u32, most_waiting: usize, longest_wait: Duration) -> Self {
        Self {
            lines: BTreeMap::new(),
            most_running,
            most_waiting,
            longest_wait,
            running: 0,
            waiting: 0,
            clock: 0,
        }
    }

    /// Changes how many requests may run.
    pub fn resize(&mut self, most_running: u32) {
        self.most_running = most_running;
    }

    /// Requests that run and that wait.
    pub fn counts(&self) -> (u32, usize) {
        (self.running, self.waiting)
    }

    /// A request has come.
    pub fn arrive(
        &mut self,
        now: Moment,
        number: TicketNumber,
        organisation: &OrganisationName,
        terms: ShareTerms,
    ) -> Admission {
        let clock = self.clock;
        let line = self.lines.entry(organisation.clone()).or_default();
        let own_room = terms.most_in_progress.is_none_or(|most| line.running < most);
        if self.running < self.most_running && self.waiting == 0 && own_room {
            line.start(clock, terms);
            self.running += 1;
            return Admission::Run;
        }
        // A full queue is shared as well: whoever has more than its part waiting is refused.
        let part = self.most_waiting / self.lines.len().max(1);
        let line = self.lines.entry(organisation.clone()).or_default();
        if self.waiting >= self.most_waiting && line.waiting.len() >= part.max(1)
            || self.waiting >= self.most_waiting * 2
        {
            return Admission::Refuse(RefusalReason::QueueFull);
        }
        line.waiting.push_back(WaitingTicket { number, until: now + self.longest_wait });
        self.waiting += 1;
        Admission::Wait
    }

    /// A request has ended.
    pub fn end(&mut self, organisation: &OrganisationName) {
        self.running = self.running.saturating_sub(1);
        if let Some(line) = self.lines.get_mut(organisation) {
            line.running = line.running.saturating_sub(1);
        }
    }

    /// A request that waits has been given up by its caller.
    pub fn leave(&mut self, organisation: &OrganisationName, number: TicketNumber) {
        if let Some(line) = self.lines.get_mut(organisation) {
            let before = line.waiting.len();
            line.waiting.retain(|ticket| ticket.number != number);
            self.waiting -= before - line.waiting.len();
        }
    }

    /// The requests that may begin now.
    pub fn release(
        &mut self,
        terms: impl Fn(&OrganisationName) -> ShareTerms,
    ) -> Vec<TicketNumber> {
        let mut released = Vec::new();
        while self.running < self.most_running {
            let ready = self.lines.iter_mut().filter(|(name, line)| {
                let most = terms(name).most_in_progress;
                !line.waiting.is_empty() && most.is_none_or(|most| line.running < most)
            });
            let Some((name, line)) = ready.min_by_key(|(_, line)| line.due) else { break };
            let Some(ticket) = line.waiting.pop_front() else { break };
            self.clock = self.clock.max(line.due);
            line.start(self.clock, terms(name));
            self.waiting -= 1;
            self.running += 1;
            released.push(ticket.number);
        }
        released
    }

    /// The requests that have waited too long.
    pub fn expire(&mut self, now: Moment) -> Vec<TicketNumber> {
        let mut expired = Vec::new();
        for line in self.lines.values_mut() {
            while line.waiting.front().is_some_and(|ticket| ticket.until <= now) {
                expired.extend(line.waiting.pop_front().map(|ticket| ticket.number));
            }
        }
        self.waiting -= expired.len();
        expired
    }
}

impl OrganisationLine {
    fn start(&mut self, clock: u64, terms: ShareTerms) {
        self.running += 1;
        self.due = self.due.max(clock) + STEP / u64::from(terms.share.max(1));
    }
}
