//! Admission queue of an entry: new requests for which no engine has room at the moment.
//!
//! Handles capacity that is missing for tenths of a second, and load bursts of seconds with the retries that
//! follow them. A request waits only while it can be expected to be served in time; the others are refused
//! at once, so that their callers can try elsewhere.

use std::{cmp::Ordering, collections::BTreeMap, fmt, ops::Add, sync::Arc, time::Duration};

use headlatch_types::traffic::AllowedRegions;

use super::{
    caller::CallerKind,
    drain_rate::{DrainRate, PromptTokens, TokenRate},
    urgency::UrgencyRank,
};
use crate::time::Moment;

/// Maximum number of waiting requests of an entry. Their bodies stay in the entry's memory budget; an entry
/// receives about 16 requests per second, so that more would wait past any objective.
pub const MAX_WAITING: usize = 128;

/// Maximum number of lanes whose first requests look for a server at a time: each one looks at all servers
/// of its service, and entries may have a fifth of a processor.
pub const MAX_TRIED_LANES: usize = 4;

/// Minimum time between the expected start of a late request and its deadline, in which an engine can
/// still return an answer of usual length.
const LATE_START_MARGIN: Duration = Duration::from_secs(1);

/// Time after which the rank of a waiting request without an objective is raised by one.
const RAISE_TIME: Duration = Duration::from_millis(500);

/// Requests that wait for the same servers: those of one service that may run in the same regions. A
/// request whose regions have no room must not hold up others.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueueLane {
    /// The service.
    pub service: Arc<str>,
    /// Regions in which the requests may run.
    pub regions: AllowedRegions,
}

impl QueueLane {
    /// Whether requests of this lane can use every server that those of `other` can use.
    pub fn contains(&self, other: &Self) -> bool {
        self.service == other.service && self.regions.intersection(&other.regions) == other.regions
    }
}

/// A request that asks to wait.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QueuedRequest {
    /// Service and allowed regions.
    pub lane: QueueLane,
    /// Urgency among the requests of the service.
    pub rank: UrgencyRank,
    /// Organisation of the caller, if known.
    pub organisation: Option<Arc<str>>,
    /// Length of the prompt.
    pub tokens: PromptTokens,
    /// When the request arrived.
    pub arrived: Moment,
    /// Time from the arrival in which its first token is wanted; zero if not specified.
    pub objective: Duration,
    /// Predicted time from sending to the first token at an idle engine.
    pub first_token: Duration,
    /// When the caller stops waiting.
    pub deadline: Moment,
    /// Whether the caller was refused before.
    pub caller: CallerKind,
}

impl QueuedRequest {
    /// Latest time of sending at which the first token can arrive in time; `None` without an objective.
    fn latest_in_time(&self) -> Option<Moment> {
        let has_objective = !self.objective.is_zero();
        has_objective.then(|| self.arrived + self.objective - self.first_token)
    }

    /// Time in which a server must be predicted to return the first token for the request to be sent there;
    /// `None` if it has no objective or no server could return the first token in time any more.
    pub fn objective_left(&self, now: Moment) -> Option<Duration> {
        let left = (self.arrived + self.objective).since(now);
        (self.can_be_in_time(now) && !left.is_zero()).then_some(left)
    }

    fn can_be_in_time(&self, now: Moment) -> bool {
        self.latest_in_time().is_none_or(|latest| now <= latest)
    }

    /// The rank, raised by one for each half objective waited.
    fn raised_rank(&self, now: Moment) -> usize {
        let step = if self.objective.is_zero() { RAISE_TIME } else { self.objective / 2 };
        let raised = now.since(self.arrived).as_micros() / step.as_micros().max(1);
        usize::from(self.rank.value()).saturating_sub(raised as usize)
    }

    /// Sort key of the order of sending, as far as it depends on this request alone: requests that can
    /// still be in time, then the raised rank, then the rank itself.
    ///
    /// Without the last criterion, unurgent requests with a long objective overtake more urgent ones with a
    /// short objective throughout a load burst, as soon as they have been raised to the same rank.
    fn urgency_at(&self, now: Moment) -> (bool, usize, UrgencyRank) {
        (!self.can_be_in_time(now), self.raised_rank(now), self.rank)
    }

    /// Checks whether the request may go on waiting if it is sent at `start`.
    fn check_start(&self, start: Moment) -> Result<(), QueueBound> {
        if self.latest_in_time().is_some_and(|latest| start <= latest) {
            return if start <= self.deadline { Ok(()) } else { Err(QueueBound::Deadline) };
        }
        if self.caller == CallerKind::New && !self.objective.is_zero() {
            return Err(QueueBound::Late);
        }
        match start + LATE_START_MARGIN <= self.deadline {
            true => Ok(()),
            false => Err(QueueBound::Deadline),
        }
    }
}

/// Identifies a waiting request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct QueueTicket(u64);

/// Bound that caused a refusal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QueueBound {
    /// Too many requests are waiting.
    Length,
    /// The first token is predicted to miss the objective.
    Late,
    /// The request is predicted to start too shortly before its deadline.
    Deadline,
}

impl QueueBound {
    /// Cause of the refusal, for logs and metrics.
    pub fn cause(self) -> &'static str {
        match self {
            Self::Length => "queue_length",
            Self::Late => "queue_late",
            Self::Deadline => "queue_deadline",
        }
    }
}

/// Whether a request may wait.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QueueDecision {
    /// It waits.
    Wait(QueueTicket),
    /// It is refused at once.
    Refuse(QueueBound),
}

/// Place of a waiting request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueuePlace {
    /// Number of requests that are sent before it.
    pub ahead: usize,
    /// Time until it is sent; `None` while the rate of sending is unknown.
    pub predicted_wait: Option<Duration>,
}

/// Order among organisations whose requests have the same rank.
pub trait OrganisationOrder: fmt::Debug + Send {
    /// Compares two organisations; requests of the lesser one are sent first.
    fn compare(&self, one: Option<&str>, other: Option<&str>) -> Ordering;
}

/// Makes no difference between organisations.
#[derive(Debug, Clone, Copy, Default)]
pub struct EqualOrganisations;

impl OrganisationOrder for EqualOrganisations {
    fn compare(&self, _one: Option<&str>, _other: Option<&str>) -> Ordering {
        Ordering::Equal
    }
}

#[derive(Debug)]
struct WaitingRequest {
    ticket: QueueTicket,
    request: QueuedRequest,
}

impl WaitingRequest {
    fn urgency_at(&self, now: Moment) -> (bool, usize, UrgencyRank) {
        self.request.urgency_at(now)
    }
}

#[derive(Debug, Default)]
struct LaneState {
    waiting: Vec<WaitingRequest>,
    drain: DrainRate,
}

/// The waiting requests of one entry.
#[derive(Debug)]
pub struct AdmissionQueue {
    lanes: BTreeMap<QueueLane, LaneState>,
    /// Requests that gave their place to a more urgent one and have not been returned by `due`.
    displaced: Vec<QueueTicket>,
    /// Requests that `next_heads` has returned and does not return again before the others.
    tried_heads: Vec<QueueTicket>,
    last_ticket: u64,
    order: Box<dyn OrganisationOrder>,
}

impl Default for AdmissionQueue {
    fn default() -> Self {
        Self::new(Box::new(EqualOrganisations))
    }
}

impl AdmissionQueue {
    /// Creates an empty queue with an order among organisations.
    pub fn new(order: Box<dyn OrganisationOrder>) -> Self {
        let (displaced, tried_heads) = (Vec::new(), Vec::new());
        Self { lanes: BTreeMap::new(), displaced, tried_heads, last_ticket: 0, order }
    }

    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.lanes.values().map(|lane| lane.waiting.len()).sum()
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Whether sending `request` now would overtake a waiting request that is at least as urgent and could
    /// use the same server. A waiting request that is already late does not hold up one that can be in time.
    pub fn would_overtake(&self, now: Moment, request: &QueuedRequest) -> bool {
        let own = request.urgency_at(now);
        let lanes = self.lanes.iter().filter(|(lane, _)| lane.contains(&request.lane));
        let mut waiting = lanes.flat_map(|(_, state)| &state.waiting);
        waiting.any(|other| other.urgency_at(now) <= own)
    }

    /// Decides whether `request` may wait, and adds it if so. If the queue is full, it may take the place of
    /// a less urgent request, which the next call of [`Self::due`] returns.
    pub fn offer(&mut self, now: Moment, request: QueuedRequest) -> QueueDecision {
        let ticket = QueueTicket(self.last_ticket + 1);
        let new = WaitingRequest { ticket, request };
        let wait = self.predicted_wait(now, &new).unwrap_or_default();
        if let Err(bound) = new.request.check_start(now + wait) {
            return QueueDecision::Refuse(bound);
        }
        if self.len() >= MAX_WAITING && !self.displace_for(now, &new) {
            return QueueDecision::Refuse(QueueBound::Length);
        }
        self.last_ticket += 1;
        let lane = self.lane(now, &new.request.lane);
        lane.drain.begin_waiting(now);
        lane.waiting.push(new);
        QueueDecision::Wait(ticket)
    }

    /// The waiting requests of `lane`.
    pub fn tickets(&self, lane: &QueueLane) -> impl Iterator<Item = QueueTicket> {
        self.lanes.get(lane).into_iter().flat_map(|lane| &lane.waiting).map(|one| one.ticket)
    }

    /// The waiting request of `lane` that is sent next.
    pub fn head(&self, now: Moment, lane: &QueueLane) -> Option<QueueTicket> {
        Some(self.first(now, self.lanes.get(lane)?)?.ticket)
    }

    /// The waiting requests that are sent next, at most one for each lane, the most urgent first. The first
    /// request of a lane is not among them while one of a lane that contains it goes before it.
    pub fn heads(&self, now: Moment) -> Vec<QueueTicket> {
        let firsts = self.lanes.values().filter_map(|lane| self.first(now, lane));
        let mut firsts: Vec<&WaitingRequest> = firsts.collect();
        firsts.sort_by(|one, other| self.compare(now, one, other));
        let heads = firsts.iter().enumerate().filter(|(index, own)| {
            let mut before = firsts[..*index].iter();
            !before.any(|one| one.request.lane.contains(&own.request.lane))
        });
        heads.map(|(_, head)| head.ticket).collect()
    }

    /// The next waiting requests that should look for a server: at most [`MAX_TRIED_LANES`] of
    /// [`Self::heads`], first those that were not returned since all others have been.
    pub fn next_heads(&mut self, now: Moment) -> Vec<QueueTicket> {
        let heads = self.heads(now);
        if heads.len() <= MAX_TRIED_LANES {
            self.tried_heads.clear();
            return heads;
        }
        let (tried, mut next): (Vec<_>, Vec<_>) =
            heads.into_iter().partition(|head| self.tried_heads.contains(head));
        if next.len() > MAX_TRIED_LANES {
            next.truncate(MAX_TRIED_LANES);
            self.tried_heads.extend(&next);
        } else {
            next.extend(tried.into_iter().take(MAX_TRIED_LANES - next.len()));
            self.tried_heads.clone_from(&next);
        }
        next
    }

    fn first<'a>(&self, now: Moment, lane: &'a LaneState) -> Option<&'a WaitingRequest> {
        lane.waiting.iter().min_by(|one, other| self.compare(now, one, other))
    }

    /// The place of a waiting request.
    pub fn place(&self, now: Moment, ticket: QueueTicket) -> Option<QueuePlace> {
        let mut waiting = self.lanes.values().flat_map(|lane| &lane.waiting);
        let request = waiting.find(|one| one.ticket == ticket)?;
        let ahead = self.ahead(now, request).count();
        Some(QueuePlace { ahead, predicted_wait: self.predicted_wait(now, request) })
    }

    /// Changes the rank of a waiting request, because a newer plan has other priorities.
    pub fn set_rank(&mut self, ticket: QueueTicket, rank: UrgencyRank) {
        let mut waiting = self.lanes.values_mut().flat_map(|lane| &mut lane.waiting);
        if let Some(one) = waiting.find(|one| one.ticket == ticket) {
            one.request.rank = rank;
        }
    }

    /// Removes a request that is sent or whose caller has disconnected; no effect if it does not wait.
    pub fn remove(&mut self, now: Moment, ticket: QueueTicket) {
        self.displaced.retain(|displaced| *displaced != ticket);
        for lane in self.lanes.values_mut().filter(|lane| !lane.waiting.is_empty()) {
            lane.waiting.retain(|one| one.ticket != ticket);
            if lane.waiting.is_empty() {
                lane.drain.end_waiting(now);
            }
        }
    }

    /// Removes and returns the requests that must be refused now, each with the bound that it exceeds.
    pub fn due(&mut self, now: Moment) -> Vec<(QueueTicket, QueueBound)> {
        let displaced = std::mem::take(&mut self.displaced);
        let mut due: Vec<_> = displaced.iter().map(|one| (*one, QueueBound::Length)).collect();
        for lane in self.lanes.values() {
            due.extend(self.due_in(now, lane));
        }
        due.iter().for_each(|(ticket, _)| self.remove(now, *ticket));
        due
    }

    /// Records that a request of `lane` with a prompt of `tokens` is sent, whether it waited or not. One that
    /// waited must be recorded before it is removed.
    pub fn record_sent(&mut self, now: Moment, lane: &QueueLane, tokens: PromptTokens) {
        if let Some(lane) = self.lanes.get_mut(lane) {
            lane.drain.record_sent(now, tokens);
        }
    }

    /// Rate at which prompt tokens of `lane` are being sent; zero while it is unknown.
    pub fn rate(&self, now: Moment, lane: &QueueLane) -> TokenRate {
        self.lanes.get(lane).map_or(TokenRate::default(), |lane| lane.drain.rate(now))
    }

    fn lane(&mut self, now: Moment, lane: &QueueLane) -> &mut LaneState {
        if !self.lanes.contains_key(lane) {
            // Plan changes must not leave a stale lane behind for each set of regions.
            self.lanes.retain(|_, state| !state.waiting.is_empty() || state.drain.is_recent(now));
        }
        self.lanes.entry(lane.clone()).or_default()
    }

    /// The requests of a lane that must be refused now. A refused request does not count as ahead of
    /// those behind it.
    fn due_in<'a>(&self, now: Moment, lane: &'a LaneState) -> Vec<(QueueTicket, QueueBound)> {
        let with_urgency = |one: &'a WaitingRequest| (one.urgency_at(now), one);
        let mut waiting: Vec<_> = lane.waiting.iter().map(with_urgency).collect();
        waiting.sort_by(|(first, one), (second, other)| {
            first.cmp(second).then_with(|| self.compare_equally_urgent(one, other))
        });
        let rate = lane.drain.rate(now);
        let mut ahead = PromptTokens::default();
        let mut due = Vec::new();
        for (_, one) in waiting {
            let wait = rate.time_for(ahead).unwrap_or_default();
            match one.request.check_start(now + wait) {
                Ok(()) => ahead = ahead + one.request.tokens,
                Err(bound) => due.push((one.ticket, bound)),
            }
        }
        due
    }

    /// Gives the place of the least urgent request of all lanes to `new`, if that one is more urgent.
    fn displace_for(&mut self, now: Moment, new: &WaitingRequest) -> bool {
        let waiting = self.lanes.values().flat_map(|lane| &lane.waiting);
        let last = waiting.max_by(|one, other| self.compare(now, one, other));
        let last = last.filter(|last| new.urgency_at(now) < last.urgency_at(now));
        let Some(ticket) = last.map(|last| last.ticket) else { return false };
        self.remove(now, ticket);
        self.displaced.push(ticket);
        true
    }

    /// The requests of the same lane that are sent before `request`.
    fn ahead(&self, now: Moment, request: &WaitingRequest) -> impl Iterator<Item = &QueuedRequest> {
        let waiting = self.lanes.get(&request.request.lane).map(|lane| lane.waiting.as_slice());
        let waiting = waiting.unwrap_or_default().iter();
        let ahead = waiting.filter(move |one| self.compare(now, one, request) == Ordering::Less);
        ahead.map(|one| &one.request)
    }

    /// Time until `request` is sent; `None` while the rate of sending is unknown.
    fn predicted_wait(&self, now: Moment, request: &WaitingRequest) -> Option<Duration> {
        let ahead = self.ahead(now, request).map(|one| one.tokens);
        let ahead = ahead.fold(PromptTokens::default(), PromptTokens::add);
        self.rate(now, &request.request.lane).time_for(ahead)
    }

    /// Compares two waiting requests; the lesser one is sent first.
    fn compare(&self, now: Moment, one: &WaitingRequest, other: &WaitingRequest) -> Ordering {
        let urgency = one.urgency_at(now).cmp(&other.urgency_at(now));
        urgency.then_with(|| self.compare_equally_urgent(one, other))
    }

    fn compare_equally_urgent(&self, one: &WaitingRequest, other: &WaitingRequest) -> Ordering {
        let (first, second) = (&one.request, &other.request);
        let organisations =
            self.order.compare(first.organisation.as_deref(), second.organisation.as_deref());
        let deadline = || first.deadline.cmp(&second.deadline);
        organisations.then_with(deadline).then(one.ticket.cmp(&other.ticket))
    }
}
