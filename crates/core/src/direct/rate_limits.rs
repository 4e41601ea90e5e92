//! Distributed enforcement of rate limits that servers advertise in their responses.
//!
//! A limit applies to all entries together. A few entries, the holders, split the limit of a server evenly
//! between token buckets; the others send it nothing. Holders are selected by rendezvous hashing. Their number
//! is proportional to the limit, so that the combined burst and the effect of stale membership do not grow
//! with the number of entries.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use headlatch_types::quantity::RequestRate;

use super::{peers::DomainKey, suspects::LifeKey};
use crate::{hash::score, time::Moment};

/// Number of holders per request per second of a limit.
const HOLDERS_PER_REQUEST: f64 = 1.0;

/// Time in which an empty token bucket fills up; its capacity is at least one token.
const BURST_TIME: Duration = Duration::from_millis(500);

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

impl LimitShare {
    /// Returns the share of the entry `own` in the limit of a server; `None` if it is not a candidate.
    pub fn new(
        life: LifeKey,
        limit: RequestRate,
        own: EntryKey,
        candidates: &[EntryKey],
    ) -> Option<Self> {
        let most = u32::try_from(candidates.len()).unwrap_or(u32::MAX);
        let place = |key: EntryKey| (score(u64::from(life.0), key.0), key);
        let rank = candidates.iter().filter(|key| place(**key) > place(own)).count() as u32;
        let holders = (limit.per_second() * HOLDERS_PER_REQUEST).ceil() as u32;
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
    limit: Option<RequestRate>,
    /// Time at which the server last advertised the limit or its absence to any entry.
    advertised_at: Moment,
    share: Option<LimitShare>,
    /// Number of tokens at time `counted`.
    tokens: f64,
    counted: Moment,
    sent: Moment,
}

impl RateLimit {
    fn new(now: Moment, limit: Option<RequestRate>, advertised_at: Moment) -> Self {
        Self { limit, advertised_at, share: None, tokens: 0.0, counted: now, sent: Moment::ZERO }
    }

    /// Returns the number of requests per second that this entry may send.
    fn rate(&self) -> f64 {
        let holder = self.share.filter(|share| share.is_holder());
        let limit = self.limit.unwrap_or_default().max(PROBE_RATE);
        holder.map_or(0.0, |share| limit.per_second() / f64::from(share.holders))
    }

    /// Returns the number of available tokens.
    fn tokens(&self, now: Moment) -> f64 {
        let rate = self.rate();
        let most = (rate * BURST_TIME.as_secs_f64()).max(1.0);
        (self.tokens + rate * now.since(self.counted).as_secs_f64()).min(most)
    }

    /// Updates the token count to `now`, before a change of the rate or the tokens.
    fn settle(&mut self, now: Moment) {
        self.tokens = self.tokens(now);
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
        if self.limit.is_none() {
            return Some(Duration::ZERO);
        }
        let share = self.share?;
        if share.is_holder() {
            let missing = (1.0 - self.tokens(now)).max(0.0);
            return Some(Duration::from_secs_f64(missing / self.rate()));
        }
        let due = self.advertised_at.max(self.sent) + share.standby_timeout()?;
        Some(due.since(now))
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

    /// Returns the limit of a server.
    pub fn limit(&self, life: LifeKey) -> Option<RequestRate> {
        self.lives.get(&life)?.limit
    }

    /// Returns the number of servers with a limit.
    pub fn count(&self) -> usize {
        self.lives.values().filter(|known| known.limit.is_some()).count()
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
            // The response may have started before the limit was advertised.
            (Some(known), None) if known.limit.is_some() && known.advertised_at >= sent => {
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
        match self.lives.get_mut(&life) {
            Some(known) if known.advertised_at < advertised_at => {
                known.settle(now);
                known.advertised_at = advertised_at;
                std::mem::replace(&mut known.limit, limit) != limit
            }
            Some(_) => false,
            None => {
                self.lives.insert(life, RateLimit::new(now, limit, advertised_at));
                limit.is_some()
            }
        }
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
    pub fn pause(&self, life: LifeKey) -> Duration {
        let limit = self.limit(life).map(|limit| limit.max(PROBE_RATE));
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
            limit: known.limit,
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
            let is_kept = known.limit.is_some() && is_listed(*life);
            is_kept || now.since(known.advertised_at) <= RETENTION
        });
    }
}
