//! Back-pressure and drain signals that servers send in their response headers.

use std::time::Duration;

use headlatch_core::{
    direct::{
        peers::{DomainKey, PeerKind, PeerTable},
        rate_limits::{EntryPeer, FALLBACK_LIMIT, LimitNotice},
        server_table::{ChosenServer, ColdNotice, FALLBACK_COLD_TIME, MisdirectedNotice},
        suspects::LifeKey,
    },
    time::Moment,
};
use headlatch_outside::headers::{ParsedHeader, ResponseMetadata};
use headlatch_types::quantity::RequestRate;
use serde_json::json;

use super::EntryState;
use crate::decisions;

/// Values of the `kind` label of the signal metrics.
const DRAINING: &str = "draining";
const COLD: &str = "cold";
const RETRY_AFTER: &str = "retry_after";
const RATE_LIMIT: &str = "rate_limit";

/// Backoff after a malformed `Retry-After`.
const FALLBACK_BACKOFF: Duration = Duration::from_secs(5);

impl EntryState {
    /// Applies the signals in a response of `server` to a request that was sent at `sent`.
    pub fn apply_signals(&self, server: &ChosenServer, sent: Moment, facts: &ResponseMetadata) {
        self.apply_draining(server, facts.draining);
        self.apply_cold(server, facts.cold);
        self.apply_retry_after(server, facts.retry_after);
        self.record_limit(server, sent, facts);
    }

    /// A malformed header counts as draining.
    fn apply_draining(&self, server: &ChosenServer, draining: ParsedHeader<bool>) {
        match draining {
            ParsedHeader::Absent | ParsedHeader::Valid(false) => return,
            ParsedHeader::Valid(true) => {}
            ParsedHeader::Malformed => self.metrics.count_malformed_signal(DRAINING),
        }
        if self.servers().mark_draining(self.now(), server.life) {
            self.metrics.count_server_signal(DRAINING);
            let fields = json!({ "server": server.id, "life": server.life.to_string() });
            decisions::info("servers", "draining_announced", fields);
        }
    }

    /// Merges cold servers reported by other entries.
    pub fn merge_cold(&self, notices: &[ColdNotice]) {
        if !notices.is_empty() {
            self.servers().merge_cold(self.now(), notices);
        }
    }

    /// Merges misdirected requests reported by other entries.
    pub fn merge_misdirected(&self, notices: &[MisdirectedNotice]) {
        if notices.is_empty() {
            return;
        }
        for life in self.servers().merge_misdirected(self.now(), notices) {
            decisions::info("servers", "misdirected_learned", json!({ "life": life.to_string() }));
        }
    }

    /// Merges draining servers reported by other entries.
    pub fn merge_draining(&self, lives: &[LifeKey]) {
        let now = self.now();
        for life in lives {
            if self.servers().mark_draining(now, *life) {
                let fields = json!({ "life": life.to_string() });
                decisions::info("servers", "draining_learned", fields);
            }
        }
    }

    fn apply_cold(&self, server: &ChosenServer, cold: ParsedHeader<Duration>) {
        let remaining = match cold {
            ParsedHeader::Absent => return,
            ParsedHeader::Valid(remaining) => remaining,
            ParsedHeader::Malformed => {
                self.metrics.count_malformed_signal(COLD);
                FALLBACK_COLD_TIME
            }
        };
        self.metrics.count_server_signal(COLD);
        self.servers().record_cold(self.now(), server, remaining);
    }

    fn apply_retry_after(&self, server: &ChosenServer, retry_after: ParsedHeader<Duration>) {
        let backoff = match retry_after {
            ParsedHeader::Absent => return,
            ParsedHeader::Valid(time) => time,
            ParsedHeader::Malformed => {
                self.metrics.count_malformed_signal(RETRY_AFTER);
                FALLBACK_BACKOFF
            }
        };
        self.metrics.count_server_signal(RETRY_AFTER);
        self.servers().start_backoff(self.now(), server, backoff);
        let fields = json!({ "server": server.id, "backoff_ms": backoff.as_millis() as u64 });
        decisions::info("servers", "backoff_requested", fields);
    }

    fn record_limit(&self, server: &ChosenServer, sent: Moment, facts: &ResponseMetadata) {
        let limit = match facts.rate_limit {
            ParsedHeader::Valid(limit) => Some(limit),
            ParsedHeader::Malformed => Some(self.fallback_limit(server)),
            // Unsigned responses may come from a proxy that drops headers.
            ParsedHeader::Absent if facts.signed => None,
            ParsedHeader::Absent => return,
        };
        if self.servers().record_limit(self.now(), server.life, limit, sent) {
            self.metrics.count_server_signal(RATE_LIMIT);
            let life = server.life.to_string();
            let fields = json!({ "server": server.id, "life": life, "limit": limit });
            decisions::info("servers", "rate_limit_changed", fields);
        }
    }

    /// Replacement for a malformed limit: the last known limit, or else a low one.
    fn fallback_limit(&self, server: &ChosenServer) -> RequestRate {
        self.metrics.count_malformed_signal(RATE_LIMIT);
        let limit = self.servers().rate_limit(server.life).unwrap_or(FALLBACK_LIMIT);
        let fields = json!({ "server": server.id, "taken": limit });
        decisions::warn("servers", "malformed_rate_limit", fields);
        limit
    }

    /// Merges rate limits reported by other entries.
    pub fn merge_limits(&self, notices: &[LimitNotice]) {
        let now = self.now();
        for notice in notices {
            if self.servers().merge_limit(now, *notice) {
                let (life, age_ms) = (notice.life.to_string(), notice.age.as_millis() as u64);
                let fields = json!({ "life": life, "limit": notice.limit, "age_ms": age_ms });
                decisions::info("servers", "rate_limit_learned", fields);
            }
        }
    }

    /// All live entries, including this one.
    pub(super) fn entry_peers(&self, peers: &PeerTable) -> Vec<EntryPeer> {
        let node = &self.settings.node;
        let own = EntryPeer { key: node.control.into(), domain: DomainKey::from(&node.domain) };
        let living = peers.living().filter(|peer| peer.notice.kind == PeerKind::Entry);
        let others = living
            .map(|peer| EntryPeer { key: peer.notice.from.into(), domain: peer.notice.domain });
        std::iter::once(own).chain(others).collect()
    }
}
