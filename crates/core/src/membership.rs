//! What a node knows of the others, from their own words passed on by gossip.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use headlatch_types::{
    fleet::SetKey,
    id::{BoxId, DomainId, RegionId, ServiceName},
    quantity::ConfigRevision,
};
use rand::{Rng, rngs::SmallRng, seq::IteratorRandom};

use crate::time::Moment;

/// A node that has not been heard of for this long gets no new work.
pub const SUSPECT_AFTER: Duration = Duration::from_secs(6);

/// A node that has not been heard of for this long is forgotten.
pub const FORGET_AFTER: Duration = Duration::from_secs(60);

/// How often a node sends a packet.
pub const GOSSIP_PAUSE: Duration = Duration::from_secs(1);

/// Records in one packet.
pub const PACKET_RECORDS: usize = 10;

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
    /// Rises with every change and every packet of its own.
    pub beat: u64,
    /// Revision in force there.
    pub revision: ConfigRevision,
    /// Whether it is about to leave.
    pub leaving: bool,
    /// What its endpoint does; none for an entry.
    pub endpoint: Option<EndpointState>,
}

impl NodeRecord {
    fn age(&self) -> (u64, u64) {
        (self.incarnation, self.beat)
    }
}

/// A record and when it was news here.
#[derive(Debug, Clone)]
pub struct KnownNode {
    /// The newest record.
    pub record: NodeRecord,
    /// When it came.
    pub heard: Moment,
    /// Packets it has been passed on in since.
    passed_on: u32,
}

/// Every node that this one knows of.
#[derive(Debug, Clone)]
pub struct NodeTable {
    own: NodeRecord,
    nodes: BTreeMap<BoxId, KnownNode>,
    /// Addresses to try when nobody is known.
    seeds: Vec<SocketAddr>,
}

impl NodeTable {
    /// A table with this node alone.
    pub fn new(own: NodeRecord) -> Self {
        Self { own, nodes: BTreeMap::new(), seeds: Vec::new() }
    }

    /// This node's own record.
    pub fn own(&self) -> &NodeRecord {
        &self.own
    }

    /// Changes this node's own record.
    pub fn update(&mut self, change: impl FnOnce(&mut NodeRecord)) {
        let before = self.own.clone();
        change(&mut self.own);
        if self.own != before {
            self.own.beat += 1;
        }
    }

    /// Takes over addresses from the platform's list, to try besides known nodes.
    pub fn seed(&mut self, seeds: Vec<SocketAddr>) {
        self.seeds = seeds;
    }

    /// Takes in a record; true if it was news.
    pub fn merge(&mut self, now: Moment, record: NodeRecord) -> bool {
        if record.id == self.own.id {
            // An older start of this box, still on its way around.
            return false;
        }
        match self.nodes.get_mut(&record.id) {
            Some(known) if known.record.age() >= record.age() => false,
            Some(known) => {
                *known = KnownNode { record, heard: now, passed_on: 0 };
                true
            }
            None => {
                let known = KnownNode { record, heard: now, passed_on: 0 };
                self.nodes.insert(known.record.id.clone(), known);
                true
            }
        }
    }

    /// Forgets nodes that have been silent for long.
    pub fn expire(&mut self, now: Moment) {
        self.nodes.retain(|_, known| now.since(known.heard) < FORGET_AFTER);
    }

    /// Nodes heard of lately, not counting this one.
    pub fn living(&self, now: Moment) -> impl Iterator<Item = &NodeRecord> {
        let lately = move |known: &&KnownNode| now.since(known.heard) < SUSPECT_AFTER;
        self.nodes.values().filter(lately).map(|known| &known.record)
    }

    /// Every node known, with the time it was last heard of.
    pub fn known(&self) -> impl Iterator<Item = &KnownNode> {
        self.nodes.values()
    }

    /// One node, if it was heard of lately.
    pub fn get(&self, now: Moment, id: &BoxId) -> Option<&NodeRecord> {
        let known = self.nodes.get(id)?;
        (now.since(known.heard) < SUSPECT_AFTER).then_some(&known.record)
    }

    /// The records of the next packet: this node's own first, then those that have been passed
    /// on least often since they were news.
    pub fn packet(&mut self) -> Vec<NodeRecord> {
        self.own.beat += 1;
        let mut others: Vec<&mut KnownNode> = self.nodes.values_mut().collect();
        others.sort_by_key(|known| (known.passed_on, std::cmp::Reverse(known.heard)));
        let mut records = vec![self.own.clone()];
        for known in others.into_iter().take(PACKET_RECORDS - 1) {
            known.passed_on += 1;
            records.push(known.record.clone());
        }
        records
    }

    /// Where the next packet goes: mostly into this node's domain, now and then into another,
    /// and to a seed while few nodes are known.
    pub fn target(&self, now: Moment, rng: &mut SmallRng) -> Option<SocketAddr> {
        const FAR_ONE_IN: u32 = 4;
        const SEED_ONE_IN: u32 = 8;
        if self.nodes.len() < 2 || rng.random_range(0..SEED_ONE_IN) == 0 {
            let seeds = self.seeds.iter().filter(|seed| **seed != self.own.control);
            if let Some(seed) = seeds.choose(rng) {
                return Some(*seed);
            }
        }
        let far = rng.random_range(0..FAR_ONE_IN) == 0;
        let fits = |record: &&NodeRecord| (record.domain != self.own.domain) == far;
        let chosen = self.living(now).filter(fits).choose(rng);
        chosen.or_else(|| self.living(now).choose(rng)).map(|record| record.control)
    }
}
