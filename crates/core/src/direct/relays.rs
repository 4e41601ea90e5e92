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
pub const RELAY_TIMEOUT: Duration = Duration::from_millis(450);

/// Age up to which a relay counts as hearing this process, which tells it something every 500 ms:
/// two notices are lost.
const ACK_TTL: Duration = Duration::from_millis(1300);

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
    /// Relays of other failure domains that it hears itself, and how long ago.
    pub hears: Vec<RosterMember>,
}

impl PeerBundle {
    /// A bundle with nothing in it.
    pub fn empty(from: SocketAddr, domain: DomainKey) -> Self {
        let (rosters, notices, drains) = (Vec::new(), Vec::new(), Vec::new());
        Self { from, domain, rosters, notices, drains, hears: Vec::new() }
    }

    /// Age of the last notice that the relay has from the process at `own`, if it lists it.
    pub fn age_of(&self, own: SocketAddr) -> Option<Duration> {
        let members = self.rosters.iter().flat_map(|roster| &roster.members);
        members.filter(|member| member.address == own).map(|member| member.age).min()
    }
}

/// Relays of one other failure domain that are told something at most, those among them that do not
/// hear or are not heard: these are told on, so that they are known to be back.
const MAX_TARGETS: usize = 2 * RELAYS;

/// Time that a relay of another failure domain has to answer before it is judged: it may have to begin.
const FIRST_REPLY_TIMEOUT: Duration = Duration::from_millis(2500);

/// Silence after which such a relay is not heard; it says something every 100 ms.
const FAR_RELAY_TIMEOUT: Duration = Duration::from_millis(1200);

/// Age up to which such a relay counts as hearing this one: it says every 500 ms whom it hears, and two
/// such words are lost.
const FAR_ACK_TTL: Duration = Duration::from_millis(1800);

/// Time for which relays of other failure domains must have told an entry something before it relays
/// whatever its rank: while processes start, these take anybody for a relay for a moment.
const RELAY_ROLE_DELAY: Duration = Duration::from_millis(1000);

/// What a relay knows of one of another failure domain.
#[derive(Debug, Clone, Copy, Default)]
struct FarRelayState {
    /// When it was first told something, if it is told something now.
    contacted_since: Option<Moment>,
    /// When it was last told something.
    last_contacted: Moment,
    /// When it was last heard, not by way of others.
    heard: Option<Moment>,
    /// When it last heard this one, as far as it has said.
    hears_self: Option<Moment>,
}

impl FarRelayState {
    fn record_contact(&mut self, now: Moment) {
        if now.since(self.last_contacted) > FAR_RELAY_TIMEOUT {
            self.contacted_since = None;
        }
        self.last_contacted = now;
        self.contacted_since.get_or_insert(now);
    }

    /// Whether what is told goes both ways, or may not have come back yet.
    fn is_bidirectional(&self, now: Moment) -> bool {
        let within = |at: Option<Moment>, age: Duration| at.is_some_and(|at| now.since(at) <= age);
        let answers = within(self.heard, FAR_RELAY_TIMEOUT) && within(self.hears_self, FAR_ACK_TTL);
        answers || within(self.contacted_since, FIRST_REPLY_TIMEOUT)
    }
}

/// The relays of other failure domains, as one relay tells and hears them.
///
/// A relay that is cut one way goes on saying that it lives, and its failure domain hears others, or is
/// heard by them, through its relays alone. So relays tell each other whom they hear; where that does
/// not come back, the next entries of the failure domain are told as well, and these relay for as long.
#[derive(Debug, Clone, Default)]
pub struct FarRelays {
    states: BTreeMap<SocketAddr, FarRelayState>,
    /// Since when relays of other failure domains have told this entry something, and the last time.
    contacted_by: Option<(Moment, Moment)>,
}

impl FarRelays {
    /// Takes in a bundle that a relay of another failure domain has sent to `own`.
    pub fn note(&mut self, now: Moment, own: SocketAddr, bundle: &PeerBundle) {
        let state = self.states.entry(bundle.from).or_default();
        state.heard = Some(now);
        let echo = bundle.hears.iter().find(|member| member.address == own);
        state.hears_self = state.hears_self.max(echo.map(|member| now - member.age));
        self.contacted_by = match self.contacted_by {
            Some((since, last)) if now.since(last) <= RELAY_ROLE_DELAY => Some((since, now)),
            _ => Some((now, now)),
        };
    }

    /// Whether a relay is told something and is known not to hear it.
    pub fn is_one_way(&self, now: Moment, relay: SocketAddr) -> bool {
        let state = self.states.get(&relay);
        state.is_some_and(|state| state.contacted_since.is_some() && !state.is_bidirectional(now))
    }

    /// Whether relays of other failure domains tell this entry what it is to hand on.
    pub fn is_used_as_relay(&self, now: Moment) -> bool {
        self.contacted_by.is_some_and(|(since, last)| {
            now.since(last) <= RELAY_ROLE_DELAY && now.since(since) >= RELAY_ROLE_DELAY
        })
    }

    /// Whom to tell, of the `entries` of each other failure domain in the order in which they relay. One
    /// that hears nobody itself (`judges` is not set) takes nobody for deaf or mute.
    pub fn choose(
        &mut self,
        now: Moment,
        entries: &[Vec<SocketAddr>],
        check_links: bool,
    ) -> Vec<SocketAddr> {
        let mut chosen = Vec::new();
        for domain in entries {
            let mut working = 0;
            for entry in domain.iter().take(MAX_TARGETS) {
                if working == RELAYS {
                    break;
                }
                let state = self.states.entry(*entry).or_default();
                state.record_contact(now);
                working += usize::from(!check_links || state.is_bidirectional(now));
                chosen.push(*entry);
            }
        }
        self.states.retain(|_, state| {
            let heard = state.heard.is_some_and(|heard| now.since(heard) <= FAR_ACK_TTL);
            heard || now.since(state.last_contacted) <= FAR_ACK_TTL
        });
        chosen
    }

    /// The relays that are heard, for these to know.
    pub fn heard(&self, now: Moment) -> Vec<RosterMember> {
        let heard = self.states.iter().filter_map(|(address, state)| {
            let age = now.since(state.heard?);
            Some(RosterMember { address: *address, kind: PeerKind::Entry, age })
        });
        heard.filter(|member| member.age <= FAR_ACK_TTL).collect()
    }
}

#[derive(Debug, Clone, Copy)]
struct NearRelayState {
    heard: Moment,
    /// When it last heard this process, as far as it has said.
    hears_self: Option<Moment>,
}

/// The relays that one process hears.
#[derive(Debug, Clone, Default)]
pub struct NearRelays {
    relays: BTreeMap<SocketAddr, NearRelayState>,
}

impl NearRelays {
    /// Takes in that a relay of the own failure domain has said something, and how long ago it heard
    /// this process, if it says so.
    pub fn note(&mut self, now: Moment, relay: SocketAddr, own_age: Option<Duration>) {
        let fresh = NearRelayState { heard: now, hears_self: None };
        let state = self.relays.entry(relay).or_insert(fresh);
        state.heard = now;
        state.hears_self = state.hears_self.max(own_age.map(|age| now - age));
    }

    /// Relays that can be relied on: they are heard, and hear this process.
    pub fn usable(&self, now: Moment) -> Vec<SocketAddr> {
        let is_usable = |state: &NearRelayState| {
            let hears_self = state.hears_self.is_some_and(|at| now.since(at) <= ACK_TTL);
            hears_self && now.since(state.heard) <= RELAY_TIMEOUT
        };
        let usable = self.relays.iter().filter(|(_, state)| is_usable(state));
        usable.map(|(relay, _)| *relay).collect()
    }

    /// Forgets relays that have been silent for long.
    pub fn expire(&mut self, now: Moment) {
        self.relays.retain(|_, state| now.since(state.heard) <= ACK_TTL);
    }
}
