//! Slow start: which servers are cold, and until when. Their request rate is limited over all entries by
//! [`crate::direct::rate_limits`].

use std::{collections::HashMap, sync::Arc, time::Duration};

use headlatch_types::{quantity::RequestRate, traffic::ServerId};

use crate::{direct::suspects::LifeKey, time::Moment};

/// Time for which servers of a returning failure domain count as cold without a record that says so: the age
/// that a record may have at an entry.
const RETURN_TIME: Duration = Duration::from_secs(3);

/// Where an entry learned that a server is cold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ColdSource {
    /// The server's record, from the store or another entry's copy of it.
    Record,
    /// The end of the evacuation of its failure domain; its record may be on its way.
    Evacuation,
}

impl ColdSource {
    /// Returns the source as it appears in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Record => "record",
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

/// Cold period of a server.
#[derive(Debug, Clone, Copy)]
pub struct ColdPeriod {
    since: Moment,
    until: Moment,
    source: ColdSource,
    sent: u32,
}

impl ColdPeriod {
    /// Applies a new record of a server that stays cold for `rest`; `before` is its previous period. Returns
    /// `None` if the server is warm.
    pub fn from_record(now: Moment, rest: Duration, before: Option<Self>) -> Option<Self> {
        let current = before.filter(|before| now < before.until);
        if rest.is_zero() {
            // The record may be older than the end of the evacuation.
            return current.filter(|current| current.source != ColdSource::Record);
        }
        Some(Self::extend(now, rest, ColdSource::Record, current))
    }

    /// Applies the end of the evacuation of the server's failure domain.
    pub fn after_evacuation(now: Moment, before: Option<Self>) -> Self {
        match before.filter(|before| now < before.until) {
            Some(current) => current,
            None => Self::extend(now, RETURN_TIME, ColdSource::Evacuation, None),
        }
    }

    fn extend(now: Moment, rest: Duration, source: ColdSource, current: Option<Self>) -> Self {
        let (since, sent) = current.map_or((now, 0), |current| (current.since, current.sent));
        Self { since, until: now + rest, source, sent }
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
