//! Distributed enforcement of rate limits: those that servers advertise in their responses, and the rate of
//! cold servers.
//!
//! A limit applies to all entries together. A few entries, the holders, split the limit of a server evenly
//! between token buckets; the others send it nothing. Holders are selected by rendezvous hashing. Their number
//! is proportional to the limit, so that the combined burst and the effect of stale membership do not grow
//! with the number of entries.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use headlatch_types::quantity::RequestRate;

use super::{peers::DomainKey, suspects::LifeKey};
use crate::{hash::score, time::Moment};

mod members;

pub use members::LimitMembers;

/// How a limit is divided among entries.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Division {
    /// Number of holders per request per second of the limit.
    holders_per_request: f64,
    /// Time in which an empty token bucket fills up; its capacity is at least one token.
    burst_time: Duration,
}

/// Division of an advertised limit.
const ADVERTISED: Division =
    Division { holders_per_request: 1.0, burst_time: Duration::from_millis(500) };

/// Division of the rate of a cold server. It must hold in any second, so that fewer holders may send at the
/// same time.
const COLD: Division =
    Division { holders_per_request: 0.5, burst_time: Duration::from_millis(250) };

/// Uptime before which an entry uses no share: it may not know the other entries yet, and what it sent before a
/// restart still counts.
const DISCOVERY_TIME: Duration = Duration::from_secs(2);

/// Minimum request rate, so that the end of a limit of zero is detected.
const PROBE_RATE: RequestRate = RequestRate::from_milli(100);

/// Limit that replaces a malformed one if no earlier limit is known.
pub const FALLBACK_LIMIT: RequestRate = RequestRate::from_milli(1000);

/// Time without a response from the server after which the next standby may send one request: the holders may
/// have no callers or no connection to the server.
const STANDBY_TIMEOUT: Duration = Duration::from_secs(5);

/// Maximum age of a gossiped limit.
const GOSSIP_TIME: Duration = Duration::from_secs(5);

/// Time for which lifted limits and limits of unlisted servers are kept.
const RETENTION: Duration = Duration::from_secs(60);

/// Maximum number of limits in one notice.
pub const MAX_LIMIT_NOTICES: usize = 64;

/// Key of an entry for rendezvous hashing.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct EntryKey(pub u64);

impl From<SocketAddr> for EntryKey {
    fn from(address: SocketAddr) -> Self {
        let ip = match address.ip() {
            std::net::IpAddr::V4(ip) => u64::from(u32::from(ip)),
            std::net::IpAddr::V6(ip) => {
                let bits = u128::from(ip);
                (bits >> 64) as u64 ^ bits as u64
            }
        };
        Self(ip.rotate_left(16) ^ u64::from(address.port()))
    }
}

/// An entry that may hold limits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EntryPeer {
    /// Key for rendezvous hashing.
    pub key: EntryKey,
    /// Failure domain of the entry.
    pub domain: DomainKey,
}

/// A server's rate limit as gossiped between entries.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LimitNotice {
    /// Key of the server process.
    pub life: LifeKey,
    /// The limit; `None` if it was lifted.
    pub limit: Option<RequestRate>,
    /// Time since the server advertised it.
    pub age: Duration,
}

/// An entry's share of one limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LimitShare {
    /// Number of candidates that rank before this entry.
    pub rank: u32,
    /// Number of entries that hold the limit.
    pub holders: u32,
}

/// A limit and how it is divided.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitInForce {
    rate: RequestRate,
    division: Division,
    /// Whether it is the rate of a cold server.
    pub is_cold: bool,
}

impl LimitInForce {
    fn advertised(rate: RequestRate) -> Self {
        Self { rate, division: ADVERTISED, is_cold: false }
    }

    fn cold(rate: RequestRate) -> Self {
        Self { rate, division: COLD, is_cold: true }
    }

    /// Returns the number of requests per second over all entries.
    fn per_second(self) -> f64 {
        self.rate.max(PROBE_RATE).per_second()
    }
}

impl LimitShare {
    /// Returns the share of the entry `own` in the limit of a server; `None` if it is not a candidate.
    pub fn new(
        life: LifeKey,
        limit: LimitInForce,
        own: EntryKey,
        candidates: &[EntryKey],
    ) -> Option<Self> {
        let most = u32::try_from(candidates.len()).unwrap_or(u32::MAX);
        let place = |key: EntryKey| (score(u64::from(life.0), key.0), key);
        let rank = candidates.iter().filter(|key| place(**key) > place(own)).count() as u32;
        let holders = limit.rate.per_second() * limit.division.holders_per_request;
        let holders = holders.ceil() as u32;
        let share = Self { rank, holders: holders.clamp(1, most.max(1)) };
        candidates.contains(&own).then_some(share)
    }

    fn is_holder(self) -> bool {
        self.rank < self.holders
    }

    /// Returns the time without a response from the server after which this entry may send one request; `None`
    /// if this entry is not a standby.
    fn standby_timeout(self) -> Option<Duration> {
        let turn = self.rank - self.holders.min(self.rank) + 1;
        (self.rank < self.holders * 2).then(|| STANDBY_TIMEOUT * turn)
    }
}

/// Rate limit state of one server process.
#[derive(Debug, Clone)]
struct RateLimit {
    /// Limit that the server advertises.
    advertised: Option<RequestRate>,
    /// Time at which the server last advertised the limit or its absence to any entry.
    advertised_at: Moment,
    /// Rate of the server while it is cold, and until when it is.
    cold: Option<(RequestRate, Moment)>,
    share: Option<LimitShare>,
    /// Number of tokens at time `counted`.
    tokens: f64,
    counted: Moment,
    sent: Moment,
}

impl RateLimit {
    fn new(now: Moment) -> Self {
        Self {
            advertised: None,
            advertised_at: Moment::ZERO,
            cold: None,
            share: None,
            tokens: 0.0,
            counted: now,
            sent: Moment::ZERO,
        }
    }

    fn has_never_advertised(&self) -> bool {
        self.advertised.is_none() && self.advertised_at == Moment::ZERO
    }

    fn cold_rate(&self, now: Moment) -> Option<RequestRate> {
        self.cold.filter(|(_, until)| now < *until).map(|(rate, _)| rate)
    }

    /// Returns the lower one of the advertised limit and the cold rate.
    fn in_force(&self, now: Moment) -> Option<LimitInForce> {
        match (self.cold_rate(now), self.advertised) {
            (Some(cold), Some(advertised)) if advertised < cold => {
                Some(LimitInForce::advertised(advertised))
            }
            (Some(cold), _) => Some(LimitInForce::cold(cold)),
            (None, advertised) => advertised.map(LimitInForce::advertised),
        }
    }

    /// Returns the number of requests per second that this entry may send.
    fn rate(&self, limit: LimitInForce) -> f64 {
        let holder = self.share.filter(|share| share.is_holder());
        holder.map_or(0.0, |share| limit.per_second() / f64::from(share.holders))
    }

    /// Returns the number of available tokens.
    fn tokens(&self, now: Moment, limit: LimitInForce) -> f64 {
        let rate = self.rate(limit);
        let most = (rate * limit.division.burst_time.as_secs_f64()).max(1.0);
        (self.tokens + rate * now.since(self.counted).as_secs_f64()).min(most)
    }

    /// Updates the token count to `now`, before a change of the rate or the tokens.
    fn settle(&mut self, now: Moment) {
        if let Some(limit) = self.in_force(now) {
            self.tokens = self.tokens(now, limit);
        }
        self.counted = now;
    }

    fn set_share(&mut self, now: Moment, share: Option<LimitShare>) {
        if self.share == share {
            return;
        }
        self.settle(now);
        let was_holder = self.share.is_some_and(LimitShare::is_holder);
        self.share = share;
        if let Some(share) = share.filter(|share| share.is_holder() && !was_holder) {
            // Staggers the first requests of the holders.
            self.tokens = f64::from(share.rank) / f64::from(share.holders);
        }
    }

    /// Returns the time until this entry may send a request; `None` if it has no share.
    fn wait(&self, now: Moment) -> Option<Duration> {
        let Some(limit) = self.in_force(now) else { return Some(Duration::ZERO) };
        let share = self.share?;
        if share.is_holder() {
            let missing = (1.0 - self.tokens(now, limit)).max(0.0);
            let earned = Duration::from_secs_f64(missing / self.rate(limit));
            return Some(earned.max(DISCOVERY_TIME.saturating_sub(now.since(Moment::ZERO))));
        }
        // A cold period is over before a standby would have its turn.
        let timeout = share.standby_timeout().filter(|_| !limit.is_cold)?;
        Some((self.advertised_at.max(self.sent) + timeout).since(now))
    }
}

/// Rate limits of all servers.
#[derive(Debug, Clone, Default)]
pub struct RateLimits {
    lives: HashMap<LifeKey, RateLimit>,
}

impl RateLimits {
    /// Returns whether no limit is known.
    pub fn is_empty(&self) -> bool {
        self.lives.is_empty()
    }

    /// Returns the limit that a server advertises.
    pub fn limit(&self, life: LifeKey) -> Option<RequestRate> {
        self.lives.get(&life)?.advertised
    }

    /// Returns the limit of a server that is enforced: the lower one of the advertised limit and the cold rate.
    pub fn in_force(&self, now: Moment, life: LifeKey) -> Option<LimitInForce> {
        self.lives.get(&life)?.in_force(now)
    }

    /// Returns the number of servers that advertise a limit.
    pub fn count(&self) -> usize {
        self.lives.values().filter(|known| known.advertised.is_some()).count()
    }

    /// Limits a server to `rate` until it is warm.
    pub fn set_cold(&mut self, now: Moment, life: LifeKey, rate: RequestRate, until: Moment) {
        let known = self.lives.entry(life).or_insert_with(|| RateLimit::new(now));
        known.settle(now);
        known.cold = Some((rate, until));
    }

    /// Ends the cold rate of a server.
    pub fn clear_cold(&mut self, now: Moment, life: LifeKey) {
        if let Some(known) = self.lives.get_mut(&life) {
            known.settle(now);
            known.cold = None;
        }
    }

    /// Records the limit, or its absence, in an answer to a request sent at `sent`; returns whether it
    /// changed.
    pub fn record(
        &mut self,
        now: Moment,
        life: LifeKey,
        limit: Option<RequestRate>,
        sent: Moment,
    ) -> bool {
        match (self.lives.get(&life), limit) {
            (None, None) => return false,
            (Some(known), None) if known.has_never_advertised() => return false,
            // The response may have started before the limit was advertised.
            (Some(known), None) if known.advertised.is_some() && known.advertised_at >= sent => {
                return false;
            }
            _ => {}
        }
        self.update(now, life, limit, now)
    }

    /// Merges a limit learned from another entry; returns whether it changed.
    pub fn merge(&mut self, now: Moment, notice: LimitNotice) -> bool {
        self.update(now, notice.life, notice.limit, now - notice.age)
    }

    /// Stores the limit if it is more recent than the known one; returns whether it changed.
    fn update(
        &mut self,
        now: Moment,
        life: LifeKey,
        limit: Option<RequestRate>,
        advertised_at: Moment,
    ) -> bool {
        let known = self.lives.entry(life).or_insert_with(|| RateLimit::new(now));
        if !known.has_never_advertised() && known.advertised_at >= advertised_at {
            return false;
        }
        known.settle(now);
        known.advertised_at = advertised_at;
        std::mem::replace(&mut known.advertised, limit) != limit
    }

    /// Sets this entry's share of a server's limit.
    pub fn set_share(&mut self, now: Moment, life: LifeKey, share: Option<LimitShare>) {
        if let Some(known) = self.lives.get_mut(&life) {
            known.set_share(now, share);
        }
    }

    /// Returns the time until this entry may send a request to a server; `None` if it has no share.
    pub fn wait(&self, now: Moment, life: LifeKey) -> Option<Duration> {
        self.lives.get(&life).map_or(Some(Duration::ZERO), |known| known.wait(now))
    }

    /// Returns the interval between requests to a server over all entries; zero without a limit.
    pub fn pause(&self, now: Moment, life: LifeKey) -> Duration {
        let limit = self.in_force(now, life);
        limit.map_or(Duration::ZERO, |limit| Duration::from_secs_f64(1.0 / limit.per_second()))
    }

    /// Takes a token for one request if available; returns whether the request may be sent.
    pub fn try_acquire(&mut self, now: Moment, life: LifeKey) -> bool {
        let Some(known) = self.lives.get_mut(&life) else { return true };
        if known.wait(now) != Some(Duration::ZERO) {
            return false;
        }
        known.settle(now);
        known.tokens = (known.tokens - 1.0).max(0.0);
        known.sent = now;
        true
    }

    /// Returns the limits to gossip, newest first.
    pub fn recent(&self, now: Moment) -> Vec<LimitNotice> {
        let recent = self.lives.iter().filter(|(_, known)| {
            // The age of a limit advertised before this process started is unknown.
            known.advertised_at > Moment::ZERO && now.since(known.advertised_at) <= GOSSIP_TIME
        });
        let notice = |(life, known): (&LifeKey, &RateLimit)| LimitNotice {
            life: *life,
            limit: known.advertised,
            age: now.since(known.advertised_at),
        };
        let mut notices: Vec<LimitNotice> = recent.map(notice).collect();
        notices.sort_by_key(|notice| (notice.age, notice.life.0));
        notices.truncate(MAX_LIMIT_NOTICES);
        notices
    }

    /// Removes the limit of a server process that has ended.
    pub fn forget(&mut self, life: LifeKey) {
        self.lives.remove(&life);
    }

    /// Removes limits that were lifted or whose servers are not listed, after the retention time.
    pub fn forget_old(&mut self, now: Moment, is_listed: impl Fn(LifeKey) -> bool) {
        self.lives.retain(|life, known| {
            let is_kept = known.in_force(now).is_some() && is_listed(*life);
            is_kept || now.since(known.advertised_at) <= RETENTION
        });
    }
}
