//! What processes tell each other.

use std::{net::SocketAddr, time::Duration};

use headlatch_types::{
    id::{DomainId, ModelName},
    traffic::WeightVersion,
};

use crate::direct::{
    engine_model::EngineLoad,
    evacuation::EvacuatedDomains,
    fact_age::ChangeMark,
    leaving::LeavingNotice,
    rate_limits::LimitNotice,
    suspects::{LifeKey, SuspectNotice},
};

/// Short key of a failure domain, in notices.
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

/// What a process does.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub enum PeerKind {
    /// It takes requests in.
    #[default]
    Entry,
    /// It looks after a server.
    Agent,
}

/// What an agent tells of its server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerNotice {
    /// Its address.
    pub address: SocketAddr,
    /// Version that it holds whole, if it does.
    pub whole: Option<WeightVersion>,
    /// It is changing weights and takes nothing new.
    pub changing: bool,
    /// It is ready to change to this version, or has.
    pub staged: Option<WeightVersion>,
    /// Its agent hands on pieces of this version.
    pub sharing: Option<WeightVersion>,
    /// Its zone.
    pub zone: DomainId,
    /// Its service; empty if that is not known.
    pub service: String,
}

/// Requests in progress at one server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadNotice {
    /// Key of the server.
    pub server: u32,
    /// What is in progress there.
    pub load: EngineLoad,
}

/// A version of weights that is wanted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WantedNotice {
    /// The model.
    pub model: ModelName,
    /// The version.
    pub version: WeightVersion,
    /// How long the sender has known it.
    pub age: Duration,
}

/// An entry's word that it sends nothing to a server that is about to change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DrainNotice {
    /// Address of the server.
    pub server: SocketAddr,
    /// Requests of the entry that have not begun there.
    pub waiting: u32,
    /// Streams of the entry that nobody could go on with if they were cut now.
    pub kept: u32,
}

/// What all entries together say of a server that is about to change.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct DrainReport {
    /// Entries that live and have not confirmed that they send nothing more.
    pub unconfirmed: usize,
    /// Requests that have not begun there.
    pub waiting: u32,
    /// Streams that nobody could go on with if they were cut now.
    pub kept: u32,
}

/// One notice.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerNotice {
    /// Where the sender hears notices.
    pub from: SocketAddr,
    /// What it does.
    pub kind: PeerKind,
    /// Its failure domain.
    pub domain: DomainKey,
    /// Drawn at its start, so that a restarted one is not taken for an old one.
    pub incarnation: u64,
    /// Rises with every notice of a life.
    pub sequence: u64,
    /// Version of the plan that it has.
    pub plan: u64,
    /// The newest change of servers that it has taken in; zero if it tells none.
    pub servers: ChangeMark,
    /// Servers that it has heard to be leaving a short time ago.
    pub leaving: Vec<LeavingNotice>,
    /// Servers that have announced in their answers that they drain.
    pub draining_lives: Vec<LifeKey>,
    /// Rate limits that servers have advertised.
    pub limits: Vec<LimitNotice>,
    /// Requests under which servers ended.
    pub suspects: Vec<SuspectNotice>,
    /// Its calls to the store are answered, as far as it knows.
    pub reads_store: bool,
    /// Others that it hears.
    pub peers: Vec<SocketAddr>,
    /// What it has in progress.
    pub loads: Vec<LoadNotice>,
    /// `loads` leaves out servers where nothing changed, and nothing else is told.
    pub changes_only: bool,
    /// What all entries of its failure domain have in progress, if it tells that.
    pub domain_loads: Option<Vec<LoadNotice>>,
    /// Servers that it sends nothing to because they are about to change.
    pub drains: Vec<DrainNotice>,
    /// Its server, if it looks after one.
    pub server: Option<ServerNotice>,
    /// The wanted versions that decide until when older ones may be used, as far as it knows.
    pub wanted: Vec<WantedNotice>,
    /// Failure domains that are being emptied, as far as it knows.
    pub evacuated: EvacuatedDomains,
}

impl PeerNotice {
    /// The first notice of a process that has nothing to tell but that it lives.
    pub fn empty(from: SocketAddr, kind: PeerKind, domain: DomainKey) -> Self {
        Self {
            from,
            kind,
            domain,
            incarnation: 1,
            sequence: 1,
            plan: 0,
            servers: ChangeMark::default(),
            leaving: Vec::new(),
            draining_lives: Vec::new(),
            limits: Vec::new(),
            suspects: Vec::new(),
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
