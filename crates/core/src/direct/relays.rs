//! Relays: how many processes know each other without each telling all.
//!
//! Up to some number of processes everybody tells everybody (the mesh). Beyond that the first two
//! entries of each failure domain relay: members tell only them, and hear from them who lives and
//! what has changed; relays of different failure domains tell each other. What a member sends and
//! receives then does not grow with the number of processes, but for a few bytes each.
//!
//! Nobody has to agree on a relay. Whoever hears relays, and that they hear it, tells only them;
//! whoever hears none tells everybody, as before.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use super::peers::{DomainKey, DrainReport, PeerKind, PeerNotice};
use crate::time::Moment;

/// Relays of a failure domain: one may stop unseen, and datagrams are lost.
pub const RELAYS: usize = 2;

/// Silence after which a relay is not relied on; it says something every 200 ms.
pub const RELAY_SILENCE: Duration = Duration::from_millis(450);

/// Age up to which a relay counts as hearing this process, which tells it something every 500 ms:
/// two notices are lost.
const OWN_NOTICE_LIFE: Duration = Duration::from_millis(1300);

/// A member of a failure domain that lives.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RosterMember {
    /// Where it hears notices.
    pub address: SocketAddr,
    /// What it does.
    pub kind: PeerKind,
    /// Time since it was heard.
    pub age: Duration,
}

/// The living members of one failure domain, as far as a relay knows.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct DomainRoster {
    /// The failure domain.
    pub domain: DomainKey,
    /// Its members.
    pub members: Vec<RosterMember>,
}

/// A notice that a relay hands on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RelayedNotice {
    /// The notice.
    pub notice: PeerNotice,
    /// Time since its sender was heard.
    pub age: Duration,
}

/// What the entries of one failure domain together say of a server that is about to change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DrainSum {
    /// Address of the server.
    pub server: SocketAddr,
    /// What they say.
    pub report: DrainReport,
}

/// What a relay tells in one datagram.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerBundle {
    /// Where the relay hears notices.
    pub from: SocketAddr,
    /// Its failure domain.
    pub domain: DomainKey,
    /// Who lives.
    pub rosters: Vec<DomainRoster>,
    /// Notices that it hands on, its own among them.
    pub notices: Vec<RelayedNotice>,
    /// What entries of its failure domain say of servers.
    pub drains: Vec<DrainSum>,
}

impl PeerBundle {
    /// A bundle with nothing in it.
    pub fn empty(from: SocketAddr, domain: DomainKey) -> Self {
        Self { from, domain, rosters: Vec::new(), notices: Vec::new(), drains: Vec::new() }
    }

    /// Age of the last notice that the relay has from the process at `own`, if it lists it.
    pub fn age_of(&self, own: SocketAddr) -> Option<Duration> {
        let members = self.rosters.iter().flat_map(|roster| &roster.members);
        members.filter(|member| member.address == own).map(|member| member.age).min()
    }
}

#[derive(Debug, Clone, Copy)]
struct RelayMarks {
    heard: Moment,
    /// When it last heard this process, as far as it has said.
    hears_me: Option<Moment>,
}

/// The relays that one process hears.
#[derive(Debug, Clone, Default)]
pub struct HeardRelays {
    relays: BTreeMap<SocketAddr, RelayMarks>,
}

impl HeardRelays {
    /// Takes in that a relay of the own failure domain has said something, and how long ago it heard
    /// this process, if it says so.
    pub fn note(&mut self, now: Moment, relay: SocketAddr, own_age: Option<Duration>) {
        let fresh = RelayMarks { heard: now, hears_me: None };
        let marks = self.relays.entry(relay).or_insert(fresh);
        marks.heard = now;
        marks.hears_me = marks.hears_me.max(own_age.map(|age| now - age));
    }

    /// Relays that can be relied on: they are heard, and hear this process.
    pub fn usable(&self, now: Moment) -> Vec<SocketAddr> {
        let is_usable = |marks: &RelayMarks| {
            let hears_me = marks.hears_me.is_some_and(|at| now.since(at) <= OWN_NOTICE_LIFE);
            hears_me && now.since(marks.heard) <= RELAY_SILENCE
        };
        let usable = self.relays.iter().filter(|(_, marks)| is_usable(marks));
        usable.map(|(relay, _)| *relay).collect()
    }

    /// Forgets relays that have been silent for long.
    pub fn expire(&mut self, now: Moment) {
        self.relays.retain(|_, marks| now.since(marks.heard) <= OWN_NOTICE_LIFE);
    }
}
