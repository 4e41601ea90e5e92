//! Slow start: which servers are cold, and until when. Their request rate is limited over all entries by
//! [`crate::direct::rate_limits`].

use std::{collections::HashMap, sync::Arc, time::Duration};

use headlatch_types::{quantity::RequestRate, traffic::ServerId};

use crate::{direct::suspects::LifeKey, time::Moment};

/// Time for which servers of a returning failure domain count as cold without a record that says so: the age
/// that a record may have at an entry.
const RETURN_TIME: Duration = Duration::from_secs(3);

/// Longest time for which a server counts as cold without a new announcement.
const MAX_COLD_TIME: Duration = Duration::from_secs(600);

/// Difference between two announced ends of a cold period that is not gossiped, so that the time that notices take
/// does not extend the period.
const ANNOUNCEMENT_TOLERANCE: Duration = Duration::from_millis(500);

/// Time for which an announcement is gossiped.
const GOSSIP_TIME: Duration = Duration::from_secs(1);

/// Maximum number of cold servers in one notice.
pub const MAX_COLD_NOTICES: usize = 32;

/// Time for which a server counts as cold whose announcement is malformed.
pub const FALLBACK_COLD_TIME: Duration = RETURN_TIME;

/// Where an entry learned that a server is cold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ColdSource {
    /// The server's record, from the store or another entry's copy of it.
    Record,
    /// A response of the server.
    Response,
    /// Another entry that had such a response.
    Peer,
    /// The end of the evacuation of its failure domain; its record may be on its way.
    Evacuation,
}

impl ColdSource {
    /// Returns the source as it appears in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Record => "record",
            Self::Response => "response",
            Self::Peer => "peer",
            Self::Evacuation => "evacuation",
        }
    }
}

/// A cold period as this entry knows it at one moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ColdView {
    /// Remaining time.
    pub remaining: Duration,
    /// Time since this entry learned of the period.
    pub known_for: Duration,
    /// Where this entry learned of the period, or of its latest extension.
    pub source: ColdSource,
    /// Requests that this entry has sent in the period.
    pub sent: u32,
}

/// Beginning or end of a cold period, for logs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ColdEvent {
    /// Server ID.
    pub server: ServerId,
    /// Key of the server process.
    pub life: LifeKey,
    /// Whether the period begins.
    pub began: bool,
    /// The period at that moment.
    pub view: ColdView,
}

/// Maximum request rates of cold servers, per second over all entries, by service. Services without an entry
/// are not limited.
#[derive(Debug, Clone, Default)]
pub struct ColdRates(pub HashMap<Arc<str>, RequestRate>);

/// A server's announcement that it is cold, as gossiped between entries.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ColdNotice {
    /// Key of the server process.
    pub life: LifeKey,
    /// Time for which it stays cold.
    pub remaining: Duration,
}

/// Cold period of a server.
#[derive(Debug, Clone, Copy)]
pub struct ColdPeriod {
    since: Moment,
    until: Moment,
    source: ColdSource,
    /// Time at which a response of the server began the period or moved its end, here or at another entry.
    announced_at: Option<Moment>,
    sent: u32,
}

impl ColdPeriod {
    /// Applies a new record of a server that stays cold for `rest`; `before` is its previous period. Returns
    /// `None` if the server is warm.
    pub fn from_record(now: Moment, rest: Duration, before: Option<Self>) -> Option<Self> {
        let current = before.filter(|before| now < before.until);
        if rest.is_zero() {
            // The record may be older than the end of the evacuation, or than the server's response.
            return current.filter(|current| current.source != ColdSource::Record);
        }
        let end = (now + rest).max(current.and_then(Self::announced_end).unwrap_or(now));
        Some(Self::extend(now, end, ColdSource::Record, current))
    }

    /// Applies a response of the server, which knows its remaining time best.
    pub fn from_response(now: Moment, rest: Duration, before: Option<Self>) -> Option<Self> {
        let current = before.filter(|before| now < before.until);
        if rest.is_zero() {
            return None;
        }
        let period = Self::extend(now, now + rest, ColdSource::Response, current);
        let is_known = current.is_some_and(|current| {
            let moved = period.until.since(current.until) + current.until.since(period.until);
            moved <= ANNOUNCEMENT_TOLERANCE
        });
        let announced_at = if is_known { period.announced_at } else { Some(now) };
        Some(Self { announced_at, ..period })
    }

    /// Applies another entry's notice of a response of the server.
    pub fn from_peer(now: Moment, rest: Duration, before: Option<Self>) -> Option<Self> {
        let known = before.map_or(now, |before| before.until);
        if now + rest <= known + ANNOUNCEMENT_TOLERANCE {
            return before;
        }
        let current = before.filter(|before| now < before.until);
        let period = Self::extend(now, now + rest, ColdSource::Peer, current);
        Some(Self { announced_at: Some(now), ..period })
    }

    /// Applies the end of the evacuation of the server's failure domain.
    pub fn after_evacuation(now: Moment, before: Option<Self>) -> Self {
        match before.filter(|before| now < before.until) {
            Some(current) => current,
            None => Self::extend(now, now + RETURN_TIME, ColdSource::Evacuation, None),
        }
    }

    fn extend(now: Moment, end: Moment, source: ColdSource, current: Option<Self>) -> Self {
        let first = Self { since: now, until: now, source, announced_at: None, sent: 0 };
        let until = end.min(now + MAX_COLD_TIME);
        Self { until, source, ..current.unwrap_or(first) }
    }

    /// Returns the end of the period if the server has announced it itself.
    fn announced_end(self) -> Option<Moment> {
        self.announced_at.map(|_| self.until)
    }

    /// Returns the remaining time if the announcement is to be gossiped.
    pub fn remaining_to_gossip(&self, now: Moment) -> Option<Duration> {
        let is_recent = self.announced_at.is_some_and(|at| now.since(at) <= GOSSIP_TIME);
        Some(self.until.since(now)).filter(|rest| is_recent && !rest.is_zero())
    }

    /// Returns the end of the period.
    pub fn until(&self) -> Moment {
        self.until
    }

    /// Returns the period as known at `now`.
    pub fn view(&self, now: Moment) -> ColdView {
        ColdView {
            remaining: self.until.since(now),
            known_for: now.since(self.since),
            source: self.source,
            sent: self.sent,
        }
    }

    /// Records that a request was sent to the server.
    pub fn record_sent(&mut self) {
        self.sent += 1;
    }
}
