//! What servers say of themselves in the heads of their answers.

use std::time::Duration;

use headlatch_core::{
    direct::{
        named_limits::{EntryPeer, LimitNotice, UNREADABLE_LIMIT},
        peers::{DomainKey, PeerKind, PeerTable},
        server_table::ChosenServer,
        suspects::LifeKey,
    },
    time::Moment,
};
use headlatch_outside::headers::{AnswerFacts, HeadValue};
use headlatch_types::quantity::RequestRate;
use serde_json::json;

use super::EntryState;
use crate::decisions;

/// Kinds of words, in metrics.
const LEAVING: &str = "leaving";
const REST: &str = "rest";
const LIMIT: &str = "limit";

/// Rest of a server that asks for a time that cannot be read.
const UNREADABLE_REST: Duration = Duration::from_secs(5);

impl EntryState {
    /// Takes in what a server says of itself in an answer to what was sent at `sent`.
    pub fn hear_words(&self, server: &ChosenServer, sent: Moment, facts: &AnswerFacts) {
        self.hear_leaving_word(server, facts.leaving);
        self.hear_rest(server, facts.rest);
        self.hear_limit(server, sent, facts);
    }

    /// Takes in whether a server says that it leaves; what cannot be read is taken for a yes.
    fn hear_leaving_word(&self, server: &ChosenServer, leaving: HeadValue<bool>) {
        match leaving {
            HeadValue::Absent | HeadValue::Said(false) => return,
            HeadValue::Said(true) => {}
            HeadValue::Unreadable => self.metrics.count_unreadable_word(LEAVING),
        }
        if self.servers().note_leaving_life(self.now(), server.life) {
            self.metrics.count_server_word(LEAVING);
            let fields = json!({ "server": server.id, "life": server.life.to_string() });
            decisions::note("servers", "leaving_said", fields);
        }
    }

    /// Servers that have told other entries that they leave.
    pub fn hear_leaving_lives(&self, lives: &[LifeKey]) {
        let now = self.now();
        for life in lives {
            if self.servers().note_leaving_life(now, *life) {
                let fields = json!({ "life": life.to_string() });
                decisions::note("servers", "leaving_said_elsewhere", fields);
            }
        }
    }

    fn hear_rest(&self, server: &ChosenServer, rest: HeadValue<Duration>) {
        let rest = match rest {
            HeadValue::Absent => return,
            HeadValue::Said(rest) => rest,
            HeadValue::Unreadable => {
                self.metrics.count_unreadable_word(REST);
                UNREADABLE_REST
            }
        };
        self.metrics.count_server_word(REST);
        self.servers().note_rest(self.now(), server, rest);
        let fields = json!({ "server": server.id, "rest_ms": rest.as_millis() as u64 });
        decisions::note("servers", "rest_asked", fields);
    }

    fn hear_limit(&self, server: &ChosenServer, sent: Moment, facts: &AnswerFacts) {
        let limit = match facts.limit {
            HeadValue::Said(limit) => Some(limit),
            HeadValue::Unreadable => Some(self.limit_in_place_of_unreadable(server)),
            // Only the server itself signs: what stands between may leave words out.
            HeadValue::Absent if facts.signed => None,
            HeadValue::Absent => return,
        };
        if self.servers().hear_limit(self.now(), server.life, limit, sent) {
            self.metrics.count_server_word(LIMIT);
            let life = server.life.to_string();
            let fields = json!({ "server": server.id, "life": life, "limit": limit });
            decisions::note("servers", "limit_named", fields);
        }
    }

    /// The limit that goes on, as far as one is known.
    fn limit_in_place_of_unreadable(&self, server: &ChosenServer) -> RequestRate {
        self.metrics.count_unreadable_word(LIMIT);
        let limit = self.servers().named_limit(server.life).unwrap_or(UNREADABLE_LIMIT);
        let fields = json!({ "server": server.id, "taken": limit });
        decisions::warn("servers", "unreadable_limit", fields);
        limit
    }

    /// Limits that other entries have heard.
    pub fn hear_told_limits(&self, notices: &[LimitNotice]) {
        let now = self.now();
        for notice in notices {
            if self.servers().hear_told_limit(now, *notice) {
                let (life, age_ms) = (notice.life.to_string(), notice.age.as_millis() as u64);
                let fields = json!({ "life": life, "limit": notice.limit, "age_ms": age_ms });
                decisions::note("servers", "limit_told", fields);
            }
        }
    }

    /// The entries that live, this one among them.
    pub(super) fn entry_peers(&self, peers: &PeerTable) -> Vec<EntryPeer> {
        let node = &self.settings.node;
        let own = EntryPeer { key: node.control.into(), domain: DomainKey::from(&node.domain) };
        let living = peers.living().filter(|peer| peer.notice.kind == PeerKind::Entry);
        let others = living
            .map(|peer| EntryPeer { key: peer.notice.from.into(), domain: peer.notice.domain });
        std::iter::once(own).chain(others).collect()
    }
}
