//! Relays, which limit the gossip traffic of large deployments.
//!
//! Up to a configured number of processes, all of them exchange notices directly (the mesh). Above it,
//! the first two entries of each failure domain act as relays: members send only to them and receive
//! liveness and changes from them, and relays of different failure domains exchange bundles. The traffic
//! of a member then grows by only a few bytes for each further process.
//!
//! Relays need no agreement. A process with a working two-way path to relays sends only to them, and a
//! process without one sends to all peers as in the mesh.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use super::peers::{DomainKey, DrainReport, PeerKind, PeerNotice};
use crate::time::Moment;

/// Number of relays in a failure domain: one may fail undetected, and datagrams get lost.
pub const RELAYS: usize = 2;

/// Time without a message after which a relay is not used; relays send every 200 ms.
pub const RELAY_TIMEOUT: Duration = Duration::from_millis(450);

/// Maximum age of the last notice that a relay has acknowledged to this process, which sends one every
/// 500 ms: two lost notices.
const ACK_TTL: Duration = Duration::from_millis(1300);

/// A live member of a failure domain.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RosterMember {
    /// Address at which the member receives notices.
    pub address: SocketAddr,
    /// Role of the member.
    pub kind: PeerKind,
    /// Time since its last message.
    pub age: Duration,
}

/// The live members of one failure domain known to a relay.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct DomainRoster {
    /// Key of the failure domain.
    pub domain: DomainKey,
    /// Live members.
    pub members: Vec<RosterMember>,
}

/// A notice that a relay forwards.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RelayedNotice {
    /// The forwarded notice.
    pub notice: PeerNotice,
    /// Time since the last message from its sender.
    pub age: Duration,
}

/// Drain report of one failure domain for a server that is about to change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DrainSum {
    /// Address of the server.
    pub server: SocketAddr,
    /// Sum over the entries of the failure domain.
    pub report: DrainReport,
}

/// Contents of one datagram from a relay.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerBundle {
    /// Address at which the relay receives notices.
    pub from: SocketAddr,
    /// Failure domain of the relay.
    pub domain: DomainKey,
    /// Live members by failure domain.
    pub rosters: Vec<DomainRoster>,
    /// Forwarded notices, including that of the relay itself.
    pub notices: Vec<RelayedNotice>,
    /// Drain reports of its failure domain.
    pub drains: Vec<DrainSum>,
    /// Relays of other failure domains from which it receives bundles directly, with the time since.
    pub received_from: Vec<RosterMember>,
}

impl PeerBundle {
    /// Creates an empty bundle.
    pub fn empty(from: SocketAddr, domain: DomainKey) -> Self {
        let (rosters, notices, drains) = (Vec::new(), Vec::new(), Vec::new());
        Self { from, domain, rosters, notices, drains, received_from: Vec::new() }
    }

    /// Age of the last notice that the relay received from the process at `own`, if the rosters list it.
    pub fn age_of(&self, own: SocketAddr) -> Option<Duration> {
        let members = self.rosters.iter().flat_map(|roster| &roster.members);
        members.filter(|member| member.address == own).map(|member| member.age).min()
    }
}

/// Maximum number of entries of one other failure domain that receive bundles, including those whose path
/// is broken in one direction: they continue to receive bundles so that their recovery is detected.
const MAX_TARGETS: usize = 2 * RELAYS;

/// Time for a relay of another failure domain to answer the first bundle; it may not act as relay yet.
const FIRST_REPLY_TIMEOUT: Duration = Duration::from_millis(2500);

/// Time without a message after which a far relay counts as unreachable; it sends every 100 ms.
const FAR_RELAY_TIMEOUT: Duration = Duration::from_millis(1200);

/// Maximum age of the last bundle that a far relay has acknowledged. It lists the relays that it hears
/// every 500 ms: two lost lists.
const FAR_ACK_TTL: Duration = Duration::from_millis(1800);

/// Time for which an entry must have received bundles from far relays before it acts as relay regardless
/// of its rank: during startup, far relays briefly treat any entry as a relay.
const RELAY_ROLE_DELAY: Duration = Duration::from_millis(1000);

/// State of the path between a relay and one of another failure domain.
#[derive(Debug, Clone, Copy, Default)]
struct FarRelayState {
    /// Start of the current period in which bundles are sent to it.
    contacted_since: Option<Moment>,
    /// When a bundle was last sent to it.
    last_contacted: Moment,
    /// When a bundle was last received directly from it.
    last_received: Option<Moment>,
    /// When it last received a bundle from this relay, by its own report.
    last_acknowledged: Option<Moment>,
}

impl FarRelayState {
    fn record_contact(&mut self, now: Moment) {
        if now.since(self.last_contacted) > FAR_RELAY_TIMEOUT {
            self.contacted_since = None;
        }
        self.last_contacted = now;
        self.contacted_since.get_or_insert(now);
    }

    /// Whether the path works in both directions, or is too new to tell.
    fn is_bidirectional(&self, now: Moment) -> bool {
        let within = |at: Option<Moment>, age: Duration| at.is_some_and(|at| now.since(at) <= age);
        let answers = within(self.last_received, FAR_RELAY_TIMEOUT)
            && within(self.last_acknowledged, FAR_ACK_TTL);
        answers || within(self.contacted_since, FIRST_REPLY_TIMEOUT)
    }
}

/// The relays of other failure domains, as seen by one relay.
///
/// A relay that can only send or only receive still reports that it is alive, while its failure domain
/// depends on its relays to exchange messages with the others. Relays therefore acknowledge whom they
/// hear. Without an acknowledgement, bundles are also sent to the next entries of the failure domain,
/// which act as relays for that time.
#[derive(Debug, Clone, Default)]
pub struct FarRelays {
    states: BTreeMap<SocketAddr, FarRelayState>,
    /// First and last time of the current period in which far relays send bundles to this entry.
    contacted_by: Option<(Moment, Moment)>,
}

impl FarRelays {
    /// Applies a bundle that a relay of another failure domain has sent to `own`.
    pub fn record_bundle(&mut self, now: Moment, own: SocketAddr, bundle: &PeerBundle) {
        let state = self.states.entry(bundle.from).or_default();
        state.last_received = Some(now);
        let echo = bundle.received_from.iter().find(|member| member.address == own);
        state.last_acknowledged = state.last_acknowledged.max(echo.map(|member| now - member.age));
        self.contacted_by = match self.contacted_by {
            Some((since, last)) if now.since(last) <= RELAY_ROLE_DELAY => Some((since, now)),
            _ => Some((now, now)),
        };
    }

    /// Whether bundles are sent to a relay without a working path in both directions.
    pub fn is_one_way(&self, now: Moment, relay: SocketAddr) -> bool {
        let state = self.states.get(&relay);
        state.is_some_and(|state| state.contacted_since.is_some() && !state.is_bidirectional(now))
    }

    /// Whether relays of other failure domains send bundles to this entry as a relay.
    pub fn is_used_as_relay(&self, now: Moment) -> bool {
        self.contacted_by.is_some_and(|(since, last)| {
            now.since(last) <= RELAY_ROLE_DELAY && now.since(since) >= RELAY_ROLE_DELAY
        })
    }

    /// Selects the receivers of bundles among the `entries` of each other failure domain, which are given
    /// in their order of precedence as relays. A relay without local peers does not mark other relays as
    /// failed (`check_links` is not set).
    pub fn select_targets(
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
            let is_received = state.last_received.is_some_and(|at| now.since(at) <= FAR_ACK_TTL);
            is_received || now.since(state.last_contacted) <= FAR_ACK_TTL
        });
        chosen
    }

    /// Far relays from which bundles are received, to be acknowledged.
    pub fn received_from(&self, now: Moment) -> Vec<RosterMember> {
        let relays = self.states.iter().filter_map(|(address, state)| {
            let age = now.since(state.last_received?);
            Some(RosterMember { address: *address, kind: PeerKind::Entry, age })
        });
        relays.filter(|member| member.age <= FAR_ACK_TTL).collect()
    }
}

#[derive(Debug, Clone, Copy)]
struct NearRelayState {
    last_received: Moment,
    /// When it last received a notice from this process, by its own report.
    last_acknowledged: Option<Moment>,
}

/// Relays of the local failure domain from which a process receives bundles.
#[derive(Debug, Clone, Default)]
pub struct NearRelays {
    relays: BTreeMap<SocketAddr, NearRelayState>,
}

impl NearRelays {
    /// Records a message from a relay of the local failure domain, and how long ago the relay received a
    /// notice from this process, if it reports that.
    pub fn record_message(&mut self, now: Moment, relay: SocketAddr, own_age: Option<Duration>) {
        let fresh = NearRelayState { last_received: now, last_acknowledged: None };
        let state = self.relays.entry(relay).or_insert(fresh);
        state.last_received = now;
        state.last_acknowledged = state.last_acknowledged.max(own_age.map(|age| now - age));
    }

    /// Relays whose path works in both directions.
    pub fn usable(&self, now: Moment) -> Vec<SocketAddr> {
        let is_usable = |state: &NearRelayState| {
            let is_acknowledged =
                state.last_acknowledged.is_some_and(|at| now.since(at) <= ACK_TTL);
            is_acknowledged && now.since(state.last_received) <= RELAY_TIMEOUT
        };
        let usable = self.relays.iter().filter(|(_, state)| is_usable(state));
        usable.map(|(relay, _)| *relay).collect()
    }

    /// Removes relays without recent messages.
    pub fn expire(&mut self, now: Moment) {
        self.relays.retain(|_, state| now.since(state.last_received) <= ACK_TTL);
    }
}
