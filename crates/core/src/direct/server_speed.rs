//! How much slower a server is than configured, by its own report and by this entry's observation.
//!
//! Load pattern: servers of uneven speed. Some servers are several times slower than configured for
//! seconds, others pause for some hundred milliseconds; predictions from the configured figures would
//! keep sending them an even share of the requests.
//!
//! A slow response alone does not show that its server is slow. An observation is therefore used only
//! if the whole load that the entry has heard of until the response explains it no better (see
//! [`SpeedObserver`]), if several responses in turn agree (see [`ServerSpeed`]), and as far as the
//! server is slower than the others of its service, since an entry that is short of CPU time sees all
//! servers respond late.

use std::{
    collections::{HashMap, VecDeque},
    sync::Arc,
    time::Duration,
};

use headlatch_types::{
    pace::ServerPace,
    traffic::{EngineCapacity, ServerId},
};

use super::engine_model::{EngineLoad, EngineWork, time_to_first_token};
use crate::time::Moment;

mod publisher;

pub use publisher::PacePublisher;

/// Factor up to which a server counts as being as fast as configured: in a fleet of even servers,
/// responses differ by that much.
const EVEN_FACTOR: f64 = 1.25;

/// Largest factor that is applied to predictions.
const MAX_FACTOR: f64 = 10.0;

/// Time constant with which observations decay: slow periods last for seconds.
const DECAY_TIME: f64 = 2.0;

/// Largest number of recent observations of one server.
const MAX_OBSERVATIONS: usize = 5;

/// Weight of observations below which the rest counts as a factor of 1; one observation alone thus
/// has half the effect.
const MIN_WEIGHT: f64 = 2.0;

/// Weight below which an observation does not count; reached after 6 s.
const NEGLIGIBLE_WEIGHT: f64 = 0.05;

/// Delay behind the prediction that shows nothing: entries see each other's load about 100 ms late,
/// and the scheduler may stop an entry with a small share of a core for nearly as long.
const MIN_DELAY: Duration = Duration::from_millis(100);

/// Suspension of the own machine during a request from which its time is not used.
const MAX_SUSPENSION: Duration = Duration::from_millis(1);

/// Number of servers of a service whose latest responses determine the usual ratio: enough for a sixth
/// of slow ones not to matter, and few enough to follow a load of this entry that changes.
const USUAL_SERVERS: usize = 15;

/// Number of other servers whose ratios are kept whatever their age: with fewer, a slow server that
/// alone responds for some seconds would set the usual ratio itself.
const MIN_USUAL_SERVERS: usize = 2;

/// Source of a server's factor.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SpeedSource {
    /// The report of the server, passed on by its agent.
    Report,
    /// Response times seen by this entry.
    Responses,
}

impl SpeedSource {
    /// The source as it appears in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Report => "report",
            Self::Responses => "responses",
        }
    }
}

/// A server that has become slow or has recovered.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SpeedChange {
    /// The server.
    pub server: ServerId,
    /// Its current factor; [`ServerPace::NOMINAL`] if it has recovered.
    pub factor: ServerPace,
    /// Source of the factor that made it slow.
    pub source: SpeedSource,
}

/// Time of a first token, with what is needed to judge it.
#[derive(Debug, Clone, Copy)]
pub struct FirstToken<'a> {
    /// Configured figures of the service's engines.
    pub figures: &'a EngineCapacity,
    /// Work of the request.
    pub work: EngineWork,
    /// Time from sending the request to the first token.
    pub elapsed: Duration,
    /// Time during which the machine of this entry was suspended meanwhile.
    pub suspended: Duration,
}

/// An observation of one response.
#[derive(Debug, Clone, Copy)]
struct Observation {
    at: Moment,
    ratio: f64,
}

/// Latest ratio of observed to predicted time of a server.
#[derive(Debug, Clone, Copy)]
struct ServerRatio {
    server: u32,
    at: Moment,
    ratio: f64,
}

/// Speed of one server process as observed by this entry.
#[derive(Debug, Clone, Default)]
pub struct ServerSpeed {
    recent: VecDeque<Observation>,
    /// Source of the factor that was last logged as slow.
    logged: Option<SpeedSource>,
}

impl ServerSpeed {
    /// Records that the first token of a request sent at `sent` took `ratio` times as long as it
    /// should have.
    ///
    /// A request that was already waiting when the previous observation was made is left out: a
    /// single suspension of the server delays all requests that wait there.
    pub fn record(&mut self, now: Moment, sent: Moment, ratio: f64) {
        if self.recent.back().is_some_and(|last| sent < last.at) {
            return;
        }
        self.recent.retain(|one| weight(now, one.at) >= NEGLIGIBLE_WEIGHT);
        if self.recent.len() == MAX_OBSERVATIONS {
            self.recent.pop_front();
        }
        self.recent.push_back(Observation { at: now, ratio: ratio.clamp(1.0, MAX_FACTOR) });
    }

    /// Removes all observations: the server changes its weights.
    pub fn forget(&mut self) {
        self.recent.clear();
    }

    /// The factor that this entry observes: a weighted average in which the slowest response does not
    /// count, as it may have been a long prompt that other entries have not announced.
    fn observed(&self, now: Moment) -> f64 {
        // The usual case in a fleet of even servers, and every choice asks for each server's factor.
        if self.recent.len() < 2 || self.recent.iter().all(|one| one.ratio <= 1.0) {
            return 1.0;
        }
        let mut recent = [(0.0, 1.0); MAX_OBSERVATIONS];
        for (one, observation) in recent.iter_mut().zip(&self.recent) {
            let weight = weight(now, observation.at);
            if weight >= NEGLIGIBLE_WEIGHT {
                *one = (weight, observation.ratio);
            }
        }
        let slowest = recent.iter().enumerate().max_by(|a, b| a.1.1.total_cmp(&b.1.1));
        let slowest = slowest.map(|(index, _)| index);
        let others = recent.iter().enumerate().filter(|(index, _)| Some(*index) != slowest);
        let (excess, total) = others.fold((0.0, 0.0), |(excess, total), (_, (weight, ratio))| {
            (excess + weight * (ratio - 1.0), total + weight)
        });
        1.0 + excess / f64::max(total, MIN_WEIGHT)
    }

    /// The factor by which predictions for the server are multiplied, and its source; `reported` is
    /// the pace that its agent has published. `None` if the server is as fast as configured.
    pub fn factor(
        &self,
        now: Moment,
        reported: Option<ServerPace>,
    ) -> Option<(ServerPace, SpeedSource)> {
        let reported = reported.map_or(1.0, ServerPace::factor);
        let observed = self.observed(now);
        let (factor, source) = match observed > reported {
            true => (observed, SpeedSource::Responses),
            false => (reported, SpeedSource::Report),
        };
        let factor = ServerPace::try_from(factor.min(MAX_FACTOR)).ok()?;
        (factor.factor() > EVEN_FACTOR).then_some((factor, source))
    }

    /// Returns whether the server has become slow or has recovered since the last call, and with it
    /// its current factor and the source of the factor that made it slow.
    pub fn take_change(
        &mut self,
        current: Option<(ServerPace, SpeedSource)>,
    ) -> Option<(ServerPace, SpeedSource)> {
        match (self.logged, current) {
            (None, Some((factor, source))) => {
                self.logged = Some(source);
                Some((factor, source))
            }
            (Some(source), None) => {
                self.logged = None;
                Some((ServerPace::NOMINAL, source))
            }
            _ => None,
        }
    }
}

fn weight(now: Moment, at: Moment) -> f64 {
    (-now.since(at).as_secs_f64() / DECAY_TIME).exp()
}

/// Load that a request has met at its server: the highest that the entry has heard of while the
/// request waited.
#[derive(Debug, Clone, Copy)]
struct LoadWatch {
    ticket: WatchTicket,
    own: EngineLoad,
    others: EngineLoad,
}

/// Identifies a request whose first token is awaited.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WatchTicket(u64);

/// Compares the first tokens of all servers with their predictions.
///
/// The prediction is made again when the first token arrives, from the highest load that the entry has
/// heard of meanwhile. That corrects the entry's stale view at the time of sending, whether or not the
/// other entries' requests have ended since.
#[derive(Debug, Default)]
pub struct SpeedObserver {
    watches: HashMap<u32, Vec<LoadWatch>>,
    tickets: u64,
    /// Ratios of the servers that responded last, by service.
    ratios: HashMap<Arc<str>, VecDeque<ServerRatio>>,
}

fn highest(one: EngineLoad, other: EngineLoad) -> EngineLoad {
    EngineLoad {
        in_flight: one.in_flight.max(other.in_flight),
        waiting_tokens: one.waiting_tokens.max(other.waiting_tokens),
    }
}

impl SpeedObserver {
    /// Starts to watch the load at a server for a request that has just been sent there and is
    /// included in `own`.
    pub fn watch(&mut self, server: u32, own: EngineLoad, others: EngineLoad) -> WatchTicket {
        self.tickets += 1;
        let ticket = WatchTicket(self.tickets);
        self.watches.entry(server).or_default().push(LoadWatch { ticket, own, others });
        ticket
    }

    /// Records the load of this entry at a server.
    pub fn raise_own(&mut self, server: u32, own: EngineLoad) {
        let watches = self.watches.get_mut(&server).into_iter().flatten();
        watches.for_each(|watch| watch.own = highest(watch.own, own));
    }

    /// Records the load of the other entries at a server.
    pub fn raise_others(&mut self, server: u32, others: EngineLoad) {
        let watches = self.watches.get_mut(&server).into_iter().flatten();
        watches.for_each(|watch| watch.others = highest(watch.others, others));
    }

    /// Records the loads of the other entries at all servers.
    pub fn raise_all_others(&mut self, others: &HashMap<u32, EngineLoad>) {
        for (server, watches) in &mut self.watches {
            let others = others.get(server).copied().unwrap_or_default();
            watches.iter_mut().for_each(|watch| watch.others = highest(watch.others, others));
        }
    }

    /// Ends a watch and returns the highest load meanwhile, which includes the request itself; `None`
    /// if it has ended before.
    pub fn end(&mut self, server: u32, ticket: WatchTicket) -> Option<EngineLoad> {
        let watches = self.watches.get_mut(&server)?;
        let index = watches.iter().position(|watch| watch.ticket == ticket)?;
        let watch = watches.swap_remove(index);
        if watches.is_empty() {
            self.watches.remove(&server);
        }
        Some(watch.own + watch.others)
    }

    /// Compares a first token of a server with its prediction at `load`, the highest load meanwhile.
    /// Returns by how much it took longer than the median of the service's servers; `None` if its time
    /// does not show the speed of the server, since the request may have waited for a slot, the machine
    /// was suspended, or the prediction is so short that a slow server would have been in time.
    pub fn compare(
        &mut self,
        now: Moment,
        service: &Arc<str>,
        server: u32,
        token: &FirstToken<'_>,
        load: EngineLoad,
    ) -> Option<f64> {
        if load.in_flight > token.figures.slots || token.suspended >= MAX_SUSPENSION {
            return None;
        }
        let before = EngineLoad {
            in_flight: load.in_flight.saturating_sub(1),
            waiting_tokens: load.waiting_tokens.saturating_sub(token.work.prompt),
        };
        let predicted = time_to_first_token(token.figures, before, token.work);
        if predicted.is_zero() {
            return None;
        }
        let is_in_time = token.elapsed.saturating_sub(predicted) < MIN_DELAY;
        let ratio = match is_in_time {
            true => 1.0,
            false => token.elapsed.as_secs_f64() / predicted.as_secs_f64(),
        };
        let ratios = self.ratios.entry(service.clone()).or_default();
        // One ratio per server: a slow server that gets many requests must not become the usual one.
        ratios.retain(|one| one.server != server);
        // Ratios from before a pause would hide a slow server if this entry was busier then.
        let is_old = |one: &ServerRatio| weight(now, one.at) < NEGLIGIBLE_WEIGHT;
        while ratios.len() > MIN_USUAL_SERVERS && ratios.front().is_some_and(is_old) {
            ratios.pop_front();
        }
        if ratios.len() == USUAL_SERVERS {
            ratios.pop_front();
        }
        ratios.push_back(ServerRatio { server, at: now, ratio });
        let mut sorted: Vec<f64> = ratios.iter().map(|one| one.ratio).collect();
        sorted.sort_by(f64::total_cmp);
        // Even twice the time would have been within the delay that shows nothing. The ratio still
        // counts towards the usual one, without which no server of a service with short prompts could
        // be compared.
        if is_in_time && predicted < MIN_DELAY {
            return None;
        }
        // Rounded up, so that no server is marked before two faster ones are known.
        Some(ratio / sorted[sorted.len() / 2])
    }
}
