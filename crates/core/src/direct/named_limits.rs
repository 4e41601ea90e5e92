//! Limits on requests a second that servers name in their answers, for all entries together.
//!
//! A few entries hold the limit of a server and divide it evenly; the others send it nothing. Holders are
//! chosen by rendezvous hashing, and their number is in proportion to the limit: what all of them may send at
//! once, and a membership that one of them knows late, then stay within a fixed part of it in a fleet of any
//! size.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use headlatch_types::quantity::RequestRate;

use super::{peers::DomainKey, suspects::LifeKey};
use crate::{hash::score, time::Moment};

/// Holders for each request a second of a limit.
const HOLDERS_PER_REQUEST: f64 = 1.0;

/// Time whose requests a holder may send at once, if that is more than one.
const BURST_TIME: Duration = Duration::from_millis(500);

/// Rate at which a server that takes nothing is asked whether that still holds.
const LEAST_RATE: RequestRate = RequestRate::from_milli(100);

/// Limit of a server that has named one that cannot be read, and none before.
pub const UNREADABLE_LIMIT: RequestRate = RequestRate::from_milli(1000);

/// Time without a word from a server after which the next entry may send one request in a holder's place:
/// holders may have no callers, or be cut off from the server.
const HOLDER_SILENCE: Duration = Duration::from_secs(5);

/// Age up to which a word is told to other entries: several notices.
const TELL_TIME: Duration = Duration::from_secs(5);

/// Time after which nothing is remembered of a life that is not listed.
const MEMORY: Duration = Duration::from_secs(60);

/// Limits that are told in one notice at most.
pub const MOST_LIMITS: usize = 64;

/// An entry's place among all entries.
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
    /// Its place.
    pub key: EntryKey,
    /// Its failure domain.
    pub domain: DomainKey,
}

/// Word of a server's limit, as entries tell each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LimitNotice {
    /// The life of the server.
    pub life: LifeKey,
    /// The limit; none if the server names none any more.
    pub limit: Option<RequestRate>,
    /// Time since the server said so.
    pub age: Duration,
}

/// What an entry may use of one limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LimitShare {
    /// Entries that rank before this one.
    pub rank: u32,
    /// Entries that hold the limit.
    pub holders: u32,
}

impl LimitShare {
    /// The share of the entry `own` in the limit of a server; none if it is not among the candidates.
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

    /// Time without a word from the server after which this entry may send one request.
    fn standby_time(self) -> Option<Duration> {
        let turn = self.rank - self.holders.min(self.rank) + 1;
        (self.rank < self.holders * 2).then(|| HOLDER_SILENCE * turn)
    }
}

/// The limit of one server.
#[derive(Debug, Clone)]
struct NamedLimit {
    limit: Option<RequestRate>,
    /// When the server said so, to this entry or another.
    heard: Moment,
    share: Option<LimitShare>,
    /// Requests that may be sent, as of `counted`.
    tokens: f64,
    counted: Moment,
    sent: Moment,
}

impl NamedLimit {
    fn new(now: Moment, limit: Option<RequestRate>, heard: Moment) -> Self {
        Self { limit, heard, share: None, tokens: 0.0, counted: now, sent: Moment::ZERO }
    }

    /// Requests a second that this entry may send.
    fn rate(&self) -> f64 {
        let holder = self.share.filter(|share| share.is_holder());
        let limit = self.limit.unwrap_or_default().max(LEAST_RATE);
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
            // Holders begin one after the other.
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
        let due = self.heard.max(self.sent) + share.standby_time()?;
        Some(due.since(now))
    }
}

/// The limits that servers have named.
#[derive(Debug, Clone, Default)]
pub struct NamedLimits {
    lives: HashMap<LifeKey, NamedLimit>,
}

impl NamedLimits {
    /// Whether no server has named one.
    pub fn is_empty(&self) -> bool {
        self.lives.is_empty()
    }

    /// The limit of a server.
    pub fn limit(&self, life: LifeKey) -> Option<RequestRate> {
        self.lives.get(&life)?.limit
    }

    /// Servers that name a limit now.
    pub fn count(&self) -> usize {
        self.lives.values().filter(|named| named.limit.is_some()).count()
    }

    /// Takes in that a server names `limit`, or none, in an answer to what was sent at `sent`; tells whether
    /// that is news.
    pub fn hear(
        &mut self,
        now: Moment,
        life: LifeKey,
        limit: Option<RequestRate>,
        sent: Moment,
    ) -> bool {
        match (self.lives.get(&life), limit) {
            (None, None) => return false,
            // The answer may have begun before the limit was named.
            (Some(named), None) if named.limit.is_some() && named.heard >= sent => return false,
            _ => {}
        }
        self.take(now, life, limit, now)
    }

    /// Takes in what another entry tells; tells whether that is news.
    pub fn hear_told(&mut self, now: Moment, notice: LimitNotice) -> bool {
        self.take(now, notice.life, notice.limit, now - notice.age)
    }

    fn take(
        &mut self,
        now: Moment,
        life: LifeKey,
        limit: Option<RequestRate>,
        heard: Moment,
    ) -> bool {
        match self.lives.get_mut(&life) {
            Some(named) if named.heard < heard => {
                named.settle(now);
                named.heard = heard;
                std::mem::replace(&mut named.limit, limit) != limit
            }
            Some(_) => false,
            None => {
                self.lives.insert(life, NamedLimit::new(now, limit, heard));
                limit.is_some()
            }
        }
    }

    /// Sets what this entry may use of a server's limit.
    pub fn set_share(&mut self, now: Moment, life: LifeKey, share: Option<LimitShare>) {
        if let Some(named) = self.lives.get_mut(&life) {
            named.set_share(now, share);
        }
    }

    /// Time until a server may be sent a request by this entry; none if this entry has no share.
    pub fn wait(&self, now: Moment, life: LifeKey) -> Option<Duration> {
        self.lives.get(&life).map_or(Some(Duration::ZERO), |named| named.wait(now))
    }

    /// Time between two requests that all entries together may send a server; zero without a limit.
    pub fn pause(&self, life: LifeKey) -> Duration {
        let limit = self.limit(life).map(|limit| limit.max(LEAST_RATE));
        limit.map_or(Duration::ZERO, |limit| Duration::from_secs_f64(1.0 / limit.per_second()))
    }

    /// Takes one request out of this entry's share, if that allows one now.
    pub fn take_one(&mut self, now: Moment, life: LifeKey) -> bool {
        let Some(named) = self.lives.get_mut(&life) else { return true };
        if named.wait(now) != Some(Duration::ZERO) {
            return false;
        }
        named.settle(now);
        named.tokens = (named.tokens - 1.0).max(0.0);
        named.sent = now;
        true
    }

    /// The limits named a short time ago, for other entries; the newest first.
    pub fn recent(&self, now: Moment) -> Vec<LimitNotice> {
        let told = self.lives.iter().filter(|(_, named)| {
            // What is older than this entry has no age that it could tell.
            named.heard > Moment::ZERO && now.since(named.heard) <= TELL_TIME
        });
        let notice = |(life, named): (&LifeKey, &NamedLimit)| LimitNotice {
            life: *life,
            limit: named.limit,
            age: now.since(named.heard),
        };
        let mut notices: Vec<LimitNotice> = told.map(notice).collect();
        notices.sort_by_key(|notice| (notice.age, notice.life.0));
        notices.truncate(MOST_LIMITS);
        notices
    }

    /// Forgets a life that has ended.
    pub fn forget(&mut self, life: LifeKey) {
        self.lives.remove(&life);
    }

    /// Forgets lives that are not listed, and limits that were lifted, once their words are old.
    pub fn forget_old(&mut self, now: Moment, is_listed: impl Fn(LifeKey) -> bool) {
        self.lives.retain(|life, named| {
            let is_kept = named.limit.is_some() && is_listed(*life);
            is_kept || now.since(named.heard) <= MEMORY
        });
    }
}
