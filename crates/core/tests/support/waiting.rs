//! Simulated load on the admission queue of one entry.

use std::{ops::Range, sync::Arc, time::Duration};

use headlatch_core::{
    direct::admission::{
        caller::CallerKind,
        drain_rate::PromptTokens,
        queue::{AdmissionQueue, QueueBound, QueueDecision, QueueLane, QueueTicket, QueuedRequest},
        return_time::{ReturnBounds, ReturnTime},
        urgency::UrgencyRank,
    },
    time::Moment,
};
use headlatch_types::traffic::AllowedRegions;

/// Step of the simulation.
pub const STEP: Duration = Duration::from_millis(5);

pub fn at(millis: u64) -> Moment {
    Moment::ZERO + Duration::from_millis(millis)
}

pub fn lane(service: &str) -> QueueLane {
    QueueLane { service: service.into(), regions: AllowedRegions::Anywhere }
}

/// A new request of the most urgent rank with an objective of 400 ms and a deadline of 6 s.
pub fn request(arrived: Moment) -> QueuedRequest {
    QueuedRequest {
        lane: lane("llm"),
        rank: UrgencyRank::new(0),
        organisation: None,
        tokens: PromptTokens(800),
        arrived,
        objective: Duration::from_millis(400),
        first_token: Duration::from_millis(60),
        deadline: arrived + Duration::from_secs(6),
        caller: CallerKind::New,
    }
}

pub fn ranked(arrived: Moment, rank: usize) -> QueuedRequest {
    QueuedRequest { rank: UrgencyRank::new(rank), ..request(arrived) }
}

/// The same caller after a refusal, with 1.5 s less until its deadline.
pub fn retrying(arrived: Moment, rank: usize) -> QueuedRequest {
    let deadline = arrived + Duration::from_millis(4500);
    QueuedRequest { caller: CallerKind::Retrying, deadline, ..ranked(arrived, rank) }
}

/// Ticket of a request that must be allowed to wait.
pub fn wait(queue: &mut AdmissionQueue, now: Moment, request: QueuedRequest) -> QueueTicket {
    match queue.offer(now, request) {
        QueueDecision::Wait(ticket) => ticket,
        QueueDecision::Refuse(bound) => panic!("the request is refused: {bound:?}"),
    }
}

/// Makes the queue believe that prompt tokens were sent at `per_second` for the last 10 s, in which a request
/// has always been waiting.
pub fn send_steadily(queue: &mut AdmissionQueue, until: Moment, per_second: u64) {
    let begun = until - Duration::from_secs(10);
    let objective = Duration::ZERO;
    let deadline = until + Duration::from_secs(10);
    let ticket = wait(queue, begun, QueuedRequest { objective, deadline, ..request(begun) });
    for step in 0..1000 {
        let sent_at = until - Duration::from_millis(10) * (1000 - step);
        queue.record_sent(sent_at, &lane("llm"), PromptTokens(per_second / 100));
    }
    queue.remove(until, ticket);
}

/// Requests of one kind that arrive at regular intervals.
#[derive(Debug, Clone, Copy)]
pub struct Arrivals {
    pub rank: usize,
    pub objective: Duration,
    pub tokens: u64,
    pub per_second: f64,
    /// Factor of the rate in a load burst, and when it begins and ends, in milliseconds.
    pub burst: Option<(f64, u64, u64)>,
}

/// The three kinds of the contended deployment as one of 34 entries receives them.
pub fn contended_kinds() -> [Arrivals; 3] {
    let kind = |rank, objective, per_second, tokens| Arrivals {
        rank,
        objective: Duration::from_millis(objective),
        tokens,
        per_second,
        burst: None,
    };
    [
        kind(0, 400, 207.0 / 34.0, 827),
        kind(1, 400, 114.0 / 34.0, 647),
        kind(2, 1000, 164.0 / 34.0, 1330),
    ]
}

/// Prompt tokens that arrive per second.
pub fn offered(kinds: &[Arrivals]) -> f64 {
    kinds.iter().map(|kind| kind.per_second * kind.tokens as f64).sum()
}

/// What became of the requests of one kind.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Outcomes {
    pub arrived: u32,
    pub in_time: u32,
    pub late: u32,
    pub refused: u32,
}

impl Outcomes {
    pub fn in_time_share(&self) -> f64 {
        f64::from(self.in_time) / f64::from(self.arrived.max(1))
    }
}

/// An entry that can send a fixed number of prompt tokens per second.
#[derive(Debug)]
pub struct SimulatedEntry {
    pub queue: AdmissionQueue,
    pub per_second: f64,
    pub outcomes: Vec<Outcomes>,
    /// Greatest number of waiting requests.
    pub longest: usize,
    /// Prompt tokens sent.
    pub sent: u64,
    /// Refused callers return once.
    pub callers_retry: bool,
    room: f64,
    times: ReturnTime,
    draw: f64,
    returning: Vec<(Moment, usize, QueuedRequest)>,
    waiting: Vec<(QueueTicket, usize, QueuedRequest)>,
}

impl SimulatedEntry {
    pub fn new(per_second: f64) -> Self {
        Self {
            queue: AdmissionQueue::default(),
            per_second,
            outcomes: Vec::new(),
            longest: 0,
            sent: 0,
            callers_retry: false,
            room: 0.0,
            times: ReturnTime::default(),
            draw: 0.0,
            returning: Vec::new(),
            waiting: Vec::new(),
        }
    }

    /// Runs the load for a span of milliseconds.
    pub fn run(&mut self, kinds: &[Arrivals], span: Range<u64>) {
        self.outcomes = vec![Outcomes::default(); kinds.len()];
        let mut owed = vec![0.0; kinds.len()];
        for millis in span.step_by(STEP.as_millis() as usize) {
            let now = at(millis);
            self.return_callers(now);
            // Engines that are idle do not work ahead.
            self.room = (self.room + self.per_second * STEP.as_secs_f64()).min(1500.0);
            for (index, kind) in kinds.iter().enumerate() {
                let burst = kind.burst.filter(|(_, from, until)| (*from..*until).contains(&millis));
                let factor = burst.map_or(1.0, |(factor, _, _)| factor);
                owed[index] += kind.per_second * factor * STEP.as_secs_f64();
                while owed[index] >= 1.0 {
                    owed[index] -= 1.0;
                    self.arrive(now, index, kind);
                }
            }
            self.advance(now);
        }
    }

    fn arrive(&mut self, now: Moment, index: usize, kind: &Arrivals) {
        let request = QueuedRequest {
            tokens: PromptTokens(kind.tokens),
            objective: kind.objective,
            ..ranked(now, kind.rank)
        };
        self.offer(now, index, request);
    }

    /// Sends the request, lets it wait or counts its refusal.
    pub fn offer(&mut self, now: Moment, index: usize, request: QueuedRequest) {
        self.outcomes[index].arrived += 1;
        if self.room > 0.0 && !self.queue.would_overtake(now, &request) {
            return self.send(now, index, &request);
        }
        match self.queue.offer(now, request.clone()) {
            QueueDecision::Wait(ticket) => self.waiting.push((ticket, index, request)),
            QueueDecision::Refuse(_) => self.refuse(now, index, request),
        }
        self.longest = self.longest.max(self.queue.len());
    }

    /// Refuses what is due and sends from the head while there is room.
    pub fn advance(&mut self, now: Moment) -> Vec<QueueBound> {
        let due = self.queue.due(now);
        for (ticket, _) in &due {
            let (index, request) = self.take(*ticket);
            self.refuse(now, index, request);
        }
        while self.room > 0.0
            && let Some(ticket) = self.queue.head(now, &lane("llm"))
        {
            let (index, request) = self.take(ticket);
            self.send(now, index, &request);
            self.queue.remove(now, ticket);
        }
        due.into_iter().map(|(_, bound)| bound).collect()
    }

    /// Counts a refusal; the caller returns once if callers retry.
    fn refuse(&mut self, now: Moment, index: usize, request: QueuedRequest) {
        self.outcomes[index].refused += 1;
        let service = request.lane.service.clone();
        self.times.record_overload(now, &service);
        if !self.callers_retry || request.caller == CallerKind::Retrying {
            return;
        }
        // Multiples of the golden ratio are spread evenly and the same in every run.
        self.draw = (self.draw + 0.618_034).fract();
        let bounds = ReturnBounds { remaining: request.deadline.since(now), asked: Duration::ZERO };
        let due = now + self.times.time(now, &service, bounds, self.draw);
        self.returning.push((due, index, request));
    }

    fn return_callers(&mut self, now: Moment) {
        let is_due = |(due, _, _): &(Moment, usize, QueuedRequest)| *due <= now;
        let (due, later) = std::mem::take(&mut self.returning).into_iter().partition(is_due);
        self.returning = later;
        let due: Vec<(Moment, usize, QueuedRequest)> = due;
        for (_, index, request) in due {
            let again = QueuedRequest { arrived: now, caller: CallerKind::Retrying, ..request };
            self.offer(now, index, again);
        }
    }

    fn take(&mut self, ticket: QueueTicket) -> (usize, QueuedRequest) {
        let place = self.waiting.iter().position(|(waiting, _, _)| *waiting == ticket);
        let (_, index, request) = self.waiting.swap_remove(place.expect("the ticket waits"));
        (index, request)
    }

    fn send(&mut self, now: Moment, index: usize, request: &QueuedRequest) {
        self.room -= request.tokens.0 as f64;
        self.sent += request.tokens.0;
        self.queue.record_sent(now, &request.lane, request.tokens);
        let outcomes = &mut self.outcomes[index];
        match now + request.first_token <= request.arrived + request.objective {
            true => outcomes.in_time += 1,
            false => outcomes.late += 1,
        }
    }
}

/// An organisation order for tests: by name.
#[derive(Debug)]
pub struct ByName;

impl headlatch_core::direct::admission::queue::OrganisationOrder for ByName {
    fn compare(&self, one: Option<&str>, other: Option<&str>) -> std::cmp::Ordering {
        one.cmp(&other)
    }
}

pub fn of(organisation: &str, request: QueuedRequest) -> QueuedRequest {
    let organisation: Arc<str> = organisation.into();
    QueuedRequest { organisation: Some(organisation), ..request }
}
