//! Notices that processes exchange.

use std::{net::SocketAddr, time::Duration};

use headlatch_types::{
    id::{DomainId, ModelName},
    pace::ServerPace,
    store::StoreRevision,
    traffic::WeightVersion,
};

use crate::direct::{
    engine_model::EngineLoad,
    evacuation::EvacuatedDomains,
    leaving::LeavingNotice,
    rate_limits::LimitNotice,
    server_table::{ColdNotice, MisdirectedNotice},
    suspect_parts::PartNotice,
    suspects::{LifeKey, SuspectNotice},
};

/// Short key that identifies a failure domain in notices.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct DomainKey(pub u32);

impl From<&DomainId> for DomainKey {
    fn from(domain: &DomainId) -> Self {
        let key = domain.key();
        Self((key ^ (key >> 32)) as u32)
    }
}

impl std::fmt::Display for DomainKey {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{:08x}", self.0)
    }
}

/// Role of a process.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub enum PeerKind {
    /// Accepts client requests.
    #[default]
    Entry,
    /// Manages a server.
    Agent,
}

/// State of the server that an agent manages.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerNotice {
    /// Address of the server.
    pub address: SocketAddr,
    /// Version of which the server holds all weights, if any.
    pub whole: Option<WeightVersion>,
    /// The server is switching weights and accepts no new requests.
    pub changing: bool,
    /// Version that is staged and can be switched to, or has been.
    pub staged: Option<WeightVersion>,
    /// Version whose pieces the agent serves to other agents.
    pub sharing: Option<WeightVersion>,
    /// Failure domain of the server.
    pub zone: DomainId,
    /// Service of the server; empty if unknown.
    pub service: String,
    /// Pace that the server reports, if any.
    pub pace: Option<ServerPace>,
}

/// In-flight requests at one server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadNotice {
    /// Key of the server.
    pub server: u32,
    /// In-flight requests and pending prompt tokens.
    pub load: EngineLoad,
}

/// A target version of the weights of a model.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WantedNotice {
    /// The model.
    pub model: ModelName,
    /// The version.
    pub version: WeightVersion,
    /// Time since the sender learnt of the version.
    pub age: Duration,
}

/// Confirmation by an entry that it sends no new requests to a server that is about to change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DrainNotice {
    /// Address of the server.
    pub server: SocketAddr,
    /// Requests of the entry that the server has not started.
    pub waiting: u32,
    /// Streams of the entry that could not be resumed elsewhere if they were interrupted now.
    pub unresumable: u32,
}

/// Sum of the drain notices of all entries for a server that is about to change.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct DrainReport {
    /// Live entries that have not confirmed that they send no new requests.
    pub unconfirmed: usize,
    /// Requests that the server has not started.
    pub waiting: u32,
    /// Streams that could not be resumed elsewhere if they were interrupted now.
    pub unresumable: u32,
}

/// A notice that a process sends to its peers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerNotice {
    /// Address at which the sender receives notices.
    pub from: SocketAddr,
    /// Role of the sender.
    pub kind: PeerKind,
    /// Failure domain of the sender.
    pub domain: DomainKey,
    /// Random number drawn at start, which distinguishes a restarted process from its predecessor.
    pub incarnation: u64,
    /// Increases with every notice of an incarnation.
    pub sequence: u64,
    /// Version of the plan that the sender uses.
    pub plan: u64,
    /// The newest change of the server list that the sender has applied; zero if it reports none.
    pub servers: StoreRevision,
    /// Servers that were recently reported as leaving.
    pub leaving: Vec<LeavingNotice>,
    /// Servers that have announced in a response that they are draining.
    pub draining_lives: Vec<LifeKey>,
    /// Rate limits that servers have advertised.
    pub limits: Vec<LimitNotice>,
    /// Servers that have announced in a response that they are cold.
    pub cold: Vec<ColdNotice>,
    /// Servers at whose addresses others answer.
    pub misdirected: Vec<MisdirectedNotice>,
    /// Requests during which servers terminated.
    pub suspects: Vec<SuspectNotice>,
    /// Prompt parts under which servers terminated.
    pub suspect_parts: Vec<PartNotice>,
    /// Whether the store answers the calls of the sender, to its knowledge.
    pub reads_store: bool,
    /// Other peers that the sender knows.
    pub peers: Vec<SocketAddr>,
    /// In-flight requests of the sender.
    pub loads: Vec<LoadNotice>,
    /// `loads` holds only the servers whose load has changed, and all other facts are omitted.
    pub changes_only: bool,
    /// In-flight requests of all entries of the failure domain, if the sender publishes them.
    pub domain_loads: Option<Vec<LoadNotice>>,
    /// Servers to which the sender sends no requests because they are about to change.
    pub drains: Vec<DrainNotice>,
    /// The server that the sender manages, if any.
    pub server: Option<ServerNotice>,
    /// Known target versions, which determine until when older versions may be used.
    pub wanted: Vec<WantedNotice>,
    /// Failure domains that are known to be under evacuation.
    pub evacuated: EvacuatedDomains,
}

impl PeerNotice {
    /// The first notice of a process, which reports only that it is alive.
    pub fn empty(from: SocketAddr, kind: PeerKind, domain: DomainKey) -> Self {
        Self {
            from,
            kind,
            domain,
            incarnation: 1,
            sequence: 1,
            plan: 0,
            servers: StoreRevision::default(),
            leaving: Vec::new(),
            draining_lives: Vec::new(),
            limits: Vec::new(),
            cold: Vec::new(),
            misdirected: Vec::new(),
            suspects: Vec::new(),
            suspect_parts: Vec::new(),
            reads_store: true,
            peers: Vec::new(),
            loads: Vec::new(),
            changes_only: false,
            domain_loads: None,
            drains: Vec::new(),
            server: None,
            wanted: Vec::new(),
            evacuated: EvacuatedDomains::default(),
        }
    }
}
