//! What a node knows of the others, from their own words passed on by gossip.

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

/// A node of the own domain that has not been heard of for this long gets no new work.
///
/// News of a beat takes a few packets to come around; whoever sends requests notices sooner, by
/// their failure.
pub const SUSPECT_TIMEOUT: Duration = Duration::from_secs(12);

/// The same for nodes of other domains, whose beats come in more seldom.
pub const REMOTE_SUSPECT_TIMEOUT: Duration = Duration::from_secs(45);

/// A node that has not been heard of for this long is forgotten.
pub const EXPIRY_TIMEOUT: Duration = Duration::from_secs(120);

/// How often a node sends a packet.
pub const GOSSIP_INTERVAL: Duration = Duration::from_secs(1);

/// Full records in one packet, this node's own among them.
pub const MAX_PACKET_RECORDS: usize = 6;

/// Beats in one packet.
pub const MAX_PACKET_HEARTBEATS: usize = 50;

/// Records asked for in one packet.
pub const MAX_PACKET_REQUESTS: usize = 12;

/// Packets in which news is passed on.
const UPDATE_TRANSMISSIONS: u32 = 4;

/// Packets sent at once when this node has news of its own, or passes urgent news on.
pub const URGENT_FANOUT: usize = 3;

/// Least time between two times that news of others is passed on at once. Without it one change
/// at every node, as by a new version, would make packets by the square of their number.
const URGENT_FORWARD_INTERVAL: Duration = Duration::from_secs(1);

/// What a node is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NodeKind {
    /// An entry.
    Entry,
    /// An agent on an endpoint box.
    Agent,
}

/// What an agent says of its endpoint.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EndpointState {
    /// The plain service it serves; none for an engine.
    pub service: Option<ServiceName>,
    /// The set that serves here.
    pub serving: Option<SetKey>,
    /// The set that is being brought in.
    pub fetching: Option<SetKey>,
    /// Part of it that is verified, in thousandths.
    pub fetched_permille: u32,
    /// Rate of the transfer, in bytes a second.
    pub fetch_rate: u64,
    /// Requests in progress.
    pub in_progress: u32,
    /// Requests it can run at the same time.
    pub slots: u32,
    /// Whether the endpoint answers.
    pub healthy: bool,
}

/// What a node says of itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NodeRecord {
    /// Its box.
    pub id: BoxId,
    /// Its failure domain.
    pub domain: DomainId,
    /// Its region.
    pub region: RegionId,
    /// What it is.
    pub kind: NodeKind,
    /// Where other nodes reach it.
    pub control: SocketAddr,
    /// Start of its process; a later start replaces an earlier one.
    pub incarnation: u64,
    /// Rises with every change but those of figures, which beats carry; begins at the
    /// milliseconds of the process's start, so that a restart goes on above the earlier one.
    pub version: u64,
    /// Seconds on the node's own clock when it said this.
    pub beat: u32,
    /// Revision in force there.
    pub revision: ConfigRevision,
    /// Whether it is about to leave.
    pub leaving: bool,
    /// What its endpoint does; none for an entry.
    pub endpoint: Option<EndpointState>,
}

/// Short key of a node, for beats; two nodes rarely share one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ShortKey(pub u32);

impl ShortKey {
    /// The short key of a box.
    pub fn of(id: &BoxId) -> Self {
        Self(id.key() as u32)
    }
}

/// That a node was alive at some second of its own clock, and its figures then.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Heartbeat {
    /// The node.
    pub key: ShortKey,
    /// The second.
    pub beat: u32,
    /// Low bits of its record's version, so that a receiver can tell that it lacks news.
    pub version: u32,
    /// Revision in force there, low bits.
    pub revision: u32,
    /// Requests in progress at its endpoint.
    pub in_progress: u16,
    /// Part of the set on its way there that is verified, in thousandths.
    pub fetched_permille: u16,
}

/// A datagram between nodes.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct GossipPacket {
    /// News, with the sender's own record first; none in an answer.
    pub records: Vec<NodeRecord>,
    /// Beats of nodes that need no full record.
    pub beats: Vec<Heartbeat>,
    /// Nodes whose records the sender lacks.
    pub wants: Vec<ShortKey>,
}

/// What a packet brought.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct MergeOutcome {
    /// Something that everybody should hear of soon.
    pub urgent: bool,
    /// A node that has a newer configuration than any known before, and its revision.
    pub newest_config: Option<(ConfigRevision, SocketAddr)>,
    /// Nodes of which the sender knows more than this node.
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

    /// Works out when a beat that has come now would have come at best.
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

    /// Whether `version`, which are low bits only, is later than this record's.
    fn is_older_than(&self, version: u32) -> bool {
        let difference = version.wrapping_sub(self.version as u32);
        difference != 0 && difference < u32::MAX / 2
    }

    fn serving(&self) -> Option<SetKey> {
        self.endpoint.as_ref().and_then(|state| state.serving)
    }

    /// Whether everybody should hear soon that this has taken the place of `before`.
    fn is_urgent_change(&self, before: &Self) -> bool {
        self.leaving != before.leaving || self.serving() != before.serving()
    }
}

/// A record and when its node was last heard of.
#[derive(Debug, Clone)]
pub struct KnownNode {
    /// The newest record.
    pub record: NodeRecord,
    /// When the node's last beat would have come by the quickest way known: a beat that has been
    /// on its way for long must not make a dead node look alive.
    pub last_alive: Moment,
    /// Least time seen between a second of the node's clock and its coming here, in microseconds.
    min_clock_offset: i64,
    /// Packets the record has been passed on in since it was news.
    transmissions: u32,
}

/// Every node that this one knows of.
#[derive(Debug, Clone)]
pub struct NodeTable {
    own: NodeRecord,
    nodes: BTreeMap<BoxId, KnownNode>,
    short: HashMap<ShortKey, BoxId>,
    /// Addresses to try when nobody is known.
    seeds: Vec<SocketAddr>,
    /// When news of others was last passed on at once.
    last_urgent_forward: Moment,
}

impl NodeTable {
    /// A table with this node alone.
    pub fn new(own: NodeRecord) -> Self {
        Self {
            own,
            nodes: BTreeMap::new(),
            short: HashMap::new(),
            seeds: Vec::new(),
            last_urgent_forward: Moment::ZERO,
        }
    }

    /// This node's own record.
    pub fn own(&self) -> &NodeRecord {
        &self.own
    }

    /// Changes this node's own record.
    pub fn update(&mut self, change: impl FnOnce(&mut NodeRecord)) {
        let before = self.own.clone();
        change(&mut self.own);
        if self.own.without_metrics() != before.without_metrics() {
            self.own.version += 1;
        }
    }

    /// Takes over addresses from the platform's list, to try besides known nodes.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddr>) {
        self.seeds = seeds;
    }

    /// Takes in a packet.
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

    /// Takes in a record; true if everybody should hear of it soon.
    fn merge_record(&mut self, now: Moment, record: NodeRecord) -> bool {
        if record.id == self.own.id {
            // An older start of this box, still on its way around.
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

    /// Takes in a beat; false if its node's record is not known, or is behind.
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

    /// Forgets nodes that have been silent for long.
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

    /// Nodes heard of lately, not counting this one.
    pub fn alive_nodes(&self, now: Moment) -> impl Iterator<Item = &NodeRecord> {
        let is_alive = move |known: &&KnownNode| self.is_alive(now, known);
        self.nodes.values().filter(is_alive).map(|known| &known.record)
    }

    /// Every node known, with the time it was last heard of.
    pub fn known_nodes(&self) -> impl Iterator<Item = &KnownNode> {
        self.nodes.values()
    }

    /// The next packet at second `beat` of this node's clock: its own record, news, and beats.
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

    /// The freshest beats, most of them of the own domain.
    ///
    /// They also tell a receiver whom it does not know yet, so that it can ask for the records.
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

    /// A packet that asks for records that this node lacks.
    pub fn request_records(&self, unknown: Vec<ShortKey>) -> GossipPacket {
        let records = vec![self.own.clone()];
        GossipPacket { records, beats: Vec::new(), wants: unknown }
    }

    /// Packets for the sender of `packet`: the records it asks for, and this node's own if the
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

    /// Where the next packet goes: mostly into this node's domain, now and then into another,
    /// and to a seed while few nodes are known.
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

/// Microseconds of a second.
const MICROS_PER_SECOND: i64 = 1_000_000;

/// Beats in a packet that are kept for nodes of other domains.
const REMOTE_HEARTBEATS: usize = 20;

/// One packet in this many goes to another domain.
const REMOTE_ONE_IN: u32 = 5;

/// One packet in this many goes to an address of the platform's list, known or not.
const SEED_ONE_IN: u32 = 10;
