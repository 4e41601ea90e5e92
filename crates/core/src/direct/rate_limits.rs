//! Rate limits that servers advertise in their answers, for all entries together.
//!
//! A few entries, the holders, divide the limit of a server evenly between token buckets; the others send it
//! nothing. Holders are chosen by rendezvous hashing. Their number is in proportion to the limit, so that the
//! combined burst and the effect of stale membership do not grow with the fleet.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use headlatch_types::quantity::RequestRate;

use super::{peers::DomainKey, suspects::LifeKey};
use crate::{hash::score, time::Moment};

/// Holders for each request a second of a limit.
const HOLDERS_PER_REQUEST: f64 = 1.0;

/// Capacity of a token bucket, as the time that fills it; at least one token.
const BURST_TIME: Duration = Duration::from_millis(500);

/// Least rate that is used, so that the end of a limit of zero is noticed.
const PROBE_RATE: RequestRate = RequestRate::from_milli(100);

/// Limit in place of a malformed one where no earlier one is known.
pub const FALLBACK_LIMIT: RequestRate = RequestRate::from_milli(1000);

/// Time without an answer of the server after which the next standby may send one request: holders may
/// have no callers, or be cut off from the server.
const STANDBY_TIMEOUT: Duration = Duration::from_secs(5);

/// Age up to which a limit is gossiped.
const GOSSIP_TIME: Duration = Duration::from_secs(5);

/// Time for which limits of unlisted servers are kept.
const RETENTION: Duration = Duration::from_secs(60);

/// Most limits in one notice.
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
    /// Its key.
    pub key: EntryKey,
    /// Its failure domain.
    pub domain: DomainKey,
}

/// A server's rate limit, as entries gossip it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LimitNotice {
    /// The life of the server.
    pub life: LifeKey,
    /// The limit; none if it was lifted.
    pub limit: Option<RequestRate>,
    /// Time since the server advertised it.
    pub age: Duration,
}

/// An entry's share in one limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LimitShare {
    /// Candidates that rank before this entry.
    pub rank: u32,
    /// Entries that hold the limit.
    pub holders: u32,
}

impl LimitShare {
    /// The share of the entry `own` in the limit of a server; none if it is no candidate.
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

    /// Time without an answer of the server after which this entry may send one request.
    fn standby_timeout(self) -> Option<Duration> {
        let turn = self.rank - self.holders.min(self.rank) + 1;
        (self.rank < self.holders * 2).then(|| STANDBY_TIMEOUT * turn)
    }
}

/// The limit of one server.
#[derive(Debug, Clone)]
struct RateLimit {
    limit: Option<RequestRate>,
    /// When the server advertised it, to any entry.
    advertised_at: Moment,
    share: Option<LimitShare>,
    /// Tokens as of `counted`.
    tokens: f64,
    counted: Moment,
    sent: Moment,
}

impl RateLimit {
    fn new(now: Moment, limit: Option<RequestRate>, advertised_at: Moment) -> Self {
        Self { limit, advertised_at, share: None, tokens: 0.0, counted: now, sent: Moment::ZERO }
    }

    /// Requests a second that this entry may send.
    fn rate(&self) -> f64 {
        let holder = self.share.filter(|share| share.is_holder());
        let limit = self.limit.unwrap_or_default().max(PROBE_RATE);
        holder.map_or(0.0, |share| limit.per_second() / f64::from(share.holders))
    }

    fn tokens(&self, now: Moment) -> f64 {
        let rate = self.rate();
        let most = (rate * BURST_TIME.as_secs_f64()).max(1.0);
        (self.tokens + rate * now.since(self.counted).as_secs_f64()).min(most)
    }

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

    /// Time until this entry may send a request; none if it has no share.
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

/// The rate limits of all servers.
#[derive(Debug, Clone, Default)]
pub struct RateLimits {
    lives: HashMap<LifeKey, RateLimit>,
}

impl RateLimits {
    /// Whether no limit is known.
    pub fn is_empty(&self) -> bool {
        self.lives.is_empty()
    }

    /// The limit of a server.
    pub fn limit(&self, life: LifeKey) -> Option<RequestRate> {
        self.lives.get(&life)?.limit
    }

    /// Number of servers with a limit.
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
            // The answer may have begun before the limit was advertised.
            (Some(known), None) if known.limit.is_some() && known.advertised_at >= sent => {
                return false;
            }
            _ => {}
        }
        self.update(now, life, limit, now)
    }

    /// Merges the limit that another entry has heard of; returns whether it changed.
    pub fn merge(&mut self, now: Moment, notice: LimitNotice) -> bool {
        self.update(now, notice.life, notice.limit, now - notice.age)
    }

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

    /// Sets this entry's share in a server's limit.
    pub fn set_share(&mut self, now: Moment, life: LifeKey, share: Option<LimitShare>) {
        if let Some(known) = self.lives.get_mut(&life) {
            known.set_share(now, share);
        }
    }

    /// Time until a server may be sent a request by this entry; none if this entry has no share.
    pub fn wait(&self, now: Moment, life: LifeKey) -> Option<Duration> {
        self.lives.get(&life).map_or(Some(Duration::ZERO), |known| known.wait(now))
    }

    /// Time between two requests that all entries together may send a server; zero without a limit.
    pub fn pause(&self, life: LifeKey) -> Duration {
        let limit = self.limit(life).map(|limit| limit.max(PROBE_RATE));
        limit.map_or(Duration::ZERO, |limit| Duration::from_secs_f64(1.0 / limit.per_second()))
    }

    /// Takes a token for one request, if there is one.
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

    /// Limits to gossip, the newest first.
    pub fn recent(&self, now: Moment) -> Vec<LimitNotice> {
        let recent = self.lives.iter().filter(|(_, known)| {
            // The age of what is older than this process is unknown.
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

    /// Forgets the limit of a server that has ended.
    pub fn forget(&mut self, life: LifeKey) {
        self.lives.remove(&life);
    }

    /// Forgets limits that were lifted or whose servers are not listed, after some time.
    pub fn forget_old(&mut self, now: Moment, is_listed: impl Fn(LifeKey) -> bool) {
        self.lives.retain(|life, known| {
            let is_kept = known.limit.is_some() && is_listed(*life);
            is_kept || now.since(known.advertised_at) <= RETENTION
        });
    }
}
