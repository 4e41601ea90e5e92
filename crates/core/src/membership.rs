//! Cluster membership: records that nodes publish about themselves, spread by gossip.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    time::Duration,
};

use headlatch_types::{
    fleet::SetKey,
    id::{BoxId, DomainId, RegionId, ServiceName},
    quantity::ConfigRevision,
};
use rand::{Rng, rngs::SmallRng, seq::IteratorRandom};

use crate::time::Moment;

/// Time without a heartbeat after which a node of the same failure domain receives no new work.
///
/// A heartbeat takes a few packets to reach every node. Nodes that send requests detect a failed
/// node sooner, because the requests fail.
pub const SUSPECT_TIMEOUT: Duration = Duration::from_secs(12);

/// Like [`SUSPECT_TIMEOUT`], for nodes of other failure domains, whose heartbeats arrive less
/// often.
pub const REMOTE_SUSPECT_TIMEOUT: Duration = Duration::from_secs(45);

/// Time without a heartbeat after which a node is removed from the table.
pub const EXPIRY_TIMEOUT: Duration = Duration::from_secs(120);

/// Interval between the gossip packets of a node.
pub const GOSSIP_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum number of full records per packet, including the sender's own.
pub const MAX_PACKET_RECORDS: usize = 6;

/// Maximum number of heartbeats per packet.
pub const MAX_PACKET_HEARTBEATS: usize = 50;

/// Maximum number of records requested per packet.
pub const MAX_PACKET_REQUESTS: usize = 12;

/// Number of packets in which a node forwards an updated record.
const UPDATE_TRANSMISSIONS: u32 = 4;

/// Number of packets sent immediately after a change of the own record or an urgent update.
pub const URGENT_FANOUT: usize = 3;

/// Minimum time between two immediate forwards of urgent updates. Without it, a change on every
/// node, such as a new version, would cause a number of packets quadratic in the number of nodes.
const URGENT_FORWARD_INTERVAL: Duration = Duration::from_secs(1);

/// Role of a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NodeKind {
    /// Entry that accepts requests.
    Entry,
    /// Agent on the box of an endpoint.
    Agent,
}

/// State of an endpoint, published by its agent.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EndpointState {
    /// Name of the service; `None` for a model engine.
    pub service: Option<ServiceName>,
    /// Set of weights that is being served.
    pub serving: Option<SetKey>,
    /// Set of weights that is being fetched.
    pub fetching: Option<SetKey>,
    /// Verified part of the set being fetched, in thousandths.
    pub fetched_permille: u32,
    /// Fetch rate in bytes per second.
    pub fetch_rate: u64,
    /// Number of requests in progress.
    pub in_progress: u32,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Whether the endpoint responds.
    pub healthy: bool,
}

/// Record that a node publishes about itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NodeRecord {
    /// Box of the node.
    pub id: BoxId,
    /// Failure domain of the box.
    pub domain: DomainId,
    /// Region of the box.
    pub region: RegionId,
    /// Role of the node.
    pub kind: NodeKind,
    /// Control address, under which other nodes reach it.
    pub control: SocketAddr,
    /// Start time of the process; a record with a later start replaces earlier ones.
    pub incarnation: u64,
    /// Version of the record; rises with every change other than to metrics, which heartbeats
    /// carry. Starts at the start time of the process in milliseconds, so that versions keep rising
    /// over restarts.
    pub version: u64,
    /// Seconds on the node's own clock when the record was sent.
    pub beat: u32,
    /// Configuration revision in force on the node.
    pub revision: ConfigRevision,
    /// Whether the node is about to leave.
    pub leaving: bool,
    /// State of the endpoint; `None` for an entry.
    pub endpoint: Option<EndpointState>,
}

/// Short key that identifies a node in heartbeats. Collisions are possible but rare.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ShortKey(pub u32);

impl ShortKey {
    /// Returns the short key of a box.
    pub fn of(id: &BoxId) -> Self {
        Self(id.key() as u32)
    }
}

/// Heartbeat of a node with its current metrics.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Heartbeat {
    /// Key of the node.
    pub key: ShortKey,
    /// Seconds on the node's own clock when the heartbeat was sent.
    pub beat: u32,
    /// Low bits of the record's version, by which a receiver detects that its record is outdated.
    pub version: u32,
    /// Low bits of the configuration revision in force on the node.
    pub revision: u32,
    /// Requests in progress at the endpoint.
    pub in_progress: u16,
    /// Verified part of the set being fetched, in thousandths.
    pub fetched_permille: u16,
}

/// Gossip datagram between nodes.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct GossipPacket {
    /// Records; outside of replies the sender's own record comes first.
    pub records: Vec<NodeRecord>,
    /// Heartbeats of nodes whose full record is not included.
    pub beats: Vec<Heartbeat>,
    /// Nodes whose records the sender requests.
    pub wants: Vec<ShortKey>,
}

/// Result of merging a packet.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct MergeOutcome {
    /// Whether the packet contained a change that should be forwarded immediately.
    pub urgent: bool,
    /// Newest configuration revision above the local one and the control address of a node that has
    /// it.
    pub newest_config: Option<(ConfigRevision, SocketAddr)>,
    /// Nodes whose record is missing here or older than the one known to the sender.
    pub missing_records: Vec<ShortKey>,
}

impl KnownNode {
    fn new(now: Moment, record: NodeRecord) -> Self {
        let beat = record.beat;
        let mut known =
            Self { record, last_alive: now, min_clock_offset: i64::MAX, transmissions: 0 };
        known.record_heartbeat(now, beat);
        known
    }

    /// Updates `last_alive` to the time at which a heartbeat received now would have arrived with
    /// the lowest delay observed.
    fn record_heartbeat(&mut self, now: Moment, beat: u32) {
        let sent_at = i64::from(beat) * MICROS_PER_SECOND;
        self.min_clock_offset = self.min_clock_offset.min(now.micros() as i64 - sent_at);
        self.last_alive = Moment::from_micros((sent_at + self.min_clock_offset).max(0) as u64);
    }
}

impl NodeRecord {
    fn generation(&self) -> (u64, u64) {
        (self.incarnation, self.version)
    }

    fn without_metrics(&self) -> Self {
        let mut record = self.clone();
        record.revision = ConfigRevision::default();
        if let Some(state) = record.endpoint.as_mut() {
            state.in_progress = 0;
            state.fetched_permille = 0;
            state.fetch_rate = 0;
        }
        record
    }

    fn to_heartbeat(&self) -> Heartbeat {
        let state = self.endpoint.as_ref();
        let saturate = |value: u32| value.min(u32::from(u16::MAX)) as u16;
        Heartbeat {
            key: ShortKey::of(&self.id),
            beat: self.beat,
            version: self.version as u32,
            revision: self.revision.number() as u32,
            in_progress: saturate(state.map_or(0, |state| state.in_progress)),
            fetched_permille: saturate(state.map_or(0, |state| state.fetched_permille)),
        }
    }

    fn apply_heartbeat(&mut self, beat: Heartbeat) {
        self.beat = beat.beat;
        self.revision = ConfigRevision::new(beat.revision.into());
        if let Some(state) = self.endpoint.as_mut() {
            state.in_progress = beat.in_progress.into();
            state.fetched_permille = beat.fetched_permille.into();
        }
    }

    /// Returns whether `version`, of which only the low bits are known, is newer than this
    /// record's.
    fn is_older_than(&self, version: u32) -> bool {
        let difference = version.wrapping_sub(self.version as u32);
        difference != 0 && difference < u32::MAX / 2
    }

    fn serving(&self) -> Option<SetKey> {
        self.endpoint.as_ref().and_then(|state| state.serving)
    }

    /// Returns whether the change from `before` should be forwarded immediately.
    fn is_urgent_change(&self, before: &Self) -> bool {
        self.leaving != before.leaving || self.serving() != before.serving()
    }
}

/// Known node with its latest record.
#[derive(Debug, Clone)]
pub struct KnownNode {
    /// Latest record.
    pub record: NodeRecord,
    /// Time at which the last heartbeat would have arrived with the lowest delay observed, so that
    /// a heartbeat that was forwarded slowly does not make a dead node look alive.
    pub last_alive: Moment,
    /// Lowest difference observed between the local time of arrival and the node's own time of
    /// sending, in microseconds.
    min_clock_offset: i64,
    /// Number of packets in which the current record has been forwarded.
    transmissions: u32,
}

/// Table of all nodes known to this node.
#[derive(Debug, Clone)]
pub struct NodeTable {
    own: NodeRecord,
    nodes: BTreeMap<BoxId, KnownNode>,
    short: HashMap<ShortKey, BoxId>,
    /// Addresses to contact in addition to known nodes.
    seeds: Vec<SocketAddr>,
    /// When an urgent update was last forwarded immediately.
    last_urgent_forward: Moment,
}

impl NodeTable {
    /// Creates a table that contains only this node.
    pub fn new(own: NodeRecord) -> Self {
        Self {
            own,
            nodes: BTreeMap::new(),
            short: HashMap::new(),
            seeds: Vec::new(),
            last_urgent_forward: Moment::ZERO,
        }
    }

    /// Returns this node's own record.
    pub fn own(&self) -> &NodeRecord {
        &self.own
    }

    /// Updates this node's own record and raises its version if more than metrics changed.
    pub fn update(&mut self, change: impl FnOnce(&mut NodeRecord)) {
        let before = self.own.clone();
        change(&mut self.own);
        if self.own.without_metrics() != before.without_metrics() {
            self.own.version += 1;
        }
    }

    /// Sets the addresses from the platform's member list, to contact in addition to known nodes.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddr>) {
        self.seeds = seeds;
    }

    /// Merges a received packet.
    pub fn merge(&mut self, now: Moment, packet: GossipPacket) -> MergeOutcome {
        let mut outcome = MergeOutcome::default();
        for record in packet.records {
            if record.revision
                > outcome.newest_config.map_or(self.own.revision, |(newest, _)| newest)
            {
                outcome.newest_config = Some((record.revision, record.control));
            }
            outcome.urgent |= self.merge_record(now, record);
        }
        for beat in packet.beats {
            let newest = outcome.newest_config.map_or(self.own.revision, |(newest, _)| newest);
            if u64::from(beat.revision) > newest.number() {
                let id = self.short.get(&beat.key);
                let known = id.and_then(|id| self.nodes.get(id));
                let found = known.map(|known| known.record.control);
                let revision = ConfigRevision::new(beat.revision.into());
                outcome.newest_config =
                    found.map(|control| (revision, control)).or(outcome.newest_config);
            }
            if !self.merge_heartbeat(now, beat)
                && outcome.missing_records.len() < MAX_PACKET_REQUESTS
            {
                outcome.missing_records.push(beat.key);
            }
        }
        if outcome.urgent
            && now.since(self.last_urgent_forward) < URGENT_FORWARD_INTERVAL
            && self.last_urgent_forward > Moment::ZERO
        {
            outcome.urgent = false;
        } else if outcome.urgent {
            self.last_urgent_forward = now;
        }
        outcome
    }

    /// Merges a record; returns whether the change should be forwarded immediately.
    fn merge_record(&mut self, now: Moment, record: NodeRecord) -> bool {
        if record.id == self.own.id {
            // Record of an earlier process on this box that is still being forwarded.
            return false;
        }
        let Some(known) = self.nodes.get_mut(&record.id) else {
            self.short.insert(ShortKey::of(&record.id), record.id.clone());
            self.nodes.insert(record.id.clone(), KnownNode::new(now, record));
            return false;
        };
        if record.beat > known.record.beat {
            known.record_heartbeat(now, record.beat);
            known.record.apply_heartbeat(record.to_heartbeat());
        }
        if record.generation() <= known.record.generation() {
            return false;
        }
        let urgent = record.is_urgent_change(&known.record);
        let beat = known.record.to_heartbeat();
        known.record = record;
        known.record.apply_heartbeat(beat);
        known.transmissions = 0;
        urgent
    }

    /// Merges a heartbeat; returns `false` if the record of its node is missing or outdated.
    fn merge_heartbeat(&mut self, now: Moment, beat: Heartbeat) -> bool {
        if beat.key == ShortKey::of(&self.own.id) {
            return true;
        }
        let known = self.short.get(&beat.key).and_then(|id| self.nodes.get_mut(id));
        let Some(known) = known else { return false };
        if beat.beat > known.record.beat {
            known.record_heartbeat(now, beat.beat);
            known.record.apply_heartbeat(beat);
        }
        !known.record.is_older_than(beat.version)
    }

    /// Removes nodes without a heartbeat for [`EXPIRY_TIMEOUT`].
    pub fn expire(&mut self, now: Moment) {
        self.nodes.retain(|_, known| now.since(known.last_alive) < EXPIRY_TIMEOUT);
        let nodes = &self.nodes;
        self.short.retain(|_, id| nodes.contains_key(id));
    }

    fn is_alive(&self, now: Moment, known: &KnownNode) -> bool {
        let local = known.record.domain == self.own.domain;
        let limit = if local { SUSPECT_TIMEOUT } else { REMOTE_SUSPECT_TIMEOUT };
        now.since(known.last_alive) < limit
    }

    /// Returns the nodes with a recent heartbeat, except for this node.
    pub fn alive_nodes(&self, now: Moment) -> impl Iterator<Item = &NodeRecord> {
        let is_alive = move |known: &&KnownNode| self.is_alive(now, known);
        self.nodes.values().filter(is_alive).map(|known| &known.record)
    }

    /// Returns all known nodes, including those without a recent heartbeat.
    pub fn known_nodes(&self) -> impl Iterator<Item = &KnownNode> {
        self.nodes.values()
    }

    /// Builds the next packet at second `beat` of this node's clock: its own record, updated
    /// records and heartbeats.
    pub fn next_packet(&mut self, beat: u32) -> GossipPacket {
        self.own.beat = beat;
        let mut updates: Vec<&mut KnownNode> = self
            .nodes
            .values_mut()
            .filter(|known| known.transmissions < UPDATE_TRANSMISSIONS)
            .collect();
        updates.sort_by_key(|known| (known.transmissions, std::cmp::Reverse(known.last_alive)));
        let mut records = vec![self.own.clone()];
        for known in updates.into_iter().take(MAX_PACKET_RECORDS - 1) {
            known.transmissions += 1;
            records.push(known.record.clone());
        }
        GossipPacket { records, beats: self.recent_heartbeats(), wants: Vec::new() }
    }

    /// Returns the most recent heartbeats, most of them from this failure domain.
    ///
    /// A receiver also learns from them which nodes it does not know and requests their records.
    fn recent_heartbeats(&self) -> Vec<Heartbeat> {
        let own = &self.own.domain;
        let mut all: Vec<&KnownNode> = self.nodes.values().collect();
        all.sort_by_key(|known| std::cmp::Reverse((known.last_alive, known.record.beat)));
        let (local, remote): (Vec<_>, Vec<_>) =
            all.into_iter().partition(|known| known.record.domain == *own);
        let remote_limit =
            MAX_PACKET_HEARTBEATS - local.len().min(MAX_PACKET_HEARTBEATS - REMOTE_HEARTBEATS);
        let local = local.into_iter().take(MAX_PACKET_HEARTBEATS - REMOTE_HEARTBEATS);
        let chosen = local.chain(remote.into_iter().take(remote_limit));
        chosen.map(|known| known.record.to_heartbeat()).collect()
    }

    /// Builds a packet that requests missing records.
    pub fn request_records(&self, unknown: Vec<ShortKey>) -> GossipPacket {
        let records = vec![self.own.clone()];
        GossipPacket { records, beats: Vec::new(), wants: unknown }
    }

    /// Builds the replies to `packet`: the requested records, and this node's own record if the
    /// sender's configuration is older.
    pub fn replies(&self, packet: &GossipPacket) -> Vec<GossipPacket> {
        let sender = packet.records.first();
        let is_outdated = sender.is_some_and(|one| one.revision < self.own.revision);
        let own = is_outdated
            .then(|| GossipPacket { records: vec![self.own.clone()], ..GossipPacket::default() });
        own.into_iter().chain(self.requested_records(&packet.wants)).collect()
    }

    fn requested_records(&self, wants: &[ShortKey]) -> Vec<GossipPacket> {
        let wanted = wants.iter().take(MAX_PACKET_REQUESTS).filter_map(|key| self.short.get(key));
        let records: Vec<NodeRecord> =
            wanted.filter_map(|id| self.nodes.get(id)).map(|known| known.record.clone()).collect();
        let packet = |records: &[NodeRecord]| GossipPacket {
            records: records.to_vec(),
            ..GossipPacket::default()
        };
        records.chunks(MAX_PACKET_RECORDS).map(packet).collect()
    }

    /// Chooses the receiver of the next packet: usually a node of this failure domain, sometimes
    /// one of another domain, and a seed if fewer than two nodes are known or at random.
    pub fn choose_target(&self, now: Moment, rng: &mut SmallRng) -> Option<SocketAddr> {
        if self.nodes.len() < 2 || rng.random_range(0..SEED_ONE_IN) == 0 {
            let seeds = self.seeds.iter().filter(|seed| **seed != self.own.control);
            if let Some(seed) = seeds.choose(rng) {
                return Some(*seed);
            }
        }
        let remote = rng.random_range(0..REMOTE_ONE_IN) == 0;
        let in_scope = |record: &&NodeRecord| (record.domain != self.own.domain) == remote;
        let chosen = self.alive_nodes(now).filter(in_scope).choose(rng);
        chosen.or_else(|| self.alive_nodes(now).choose(rng)).map(|record| record.control)
    }
}

const MICROS_PER_SECOND: i64 = 1_000_000;

/// Heartbeats per packet that are reserved for nodes of other failure domains.
const REMOTE_HEARTBEATS: usize = 20;

/// One in this many packets goes to another failure domain.
const REMOTE_ONE_IN: u32 = 5;

/// One in this many packets goes to a seed address, whether or not its node is known.
const SEED_ONE_IN: u32 = 10;
