//! Participants of a transfer and the assignment of chunks to them.
//!
//! Every box ranks domains and boxes by rendezvous hashing. Boxes with the same list of peers compute
//! the same assignment without coordination, and boxes with slightly different lists disagree about few
//! chunks.

use std::{
    cell::RefCell,
    collections::{BTreeMap, HashMap},
};

use headlatch_types::ChunkIndex;

use crate::hash::{ranking, score, winner};

/// Key of a box, derived from its id.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct PeerKey(pub u64);

/// A box with its failure domain and region.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct PeerLocation {
    /// Key of the box.
    pub key: PeerKey,
    /// Key of its failure domain.
    pub domain: u64,
    /// Key of its region.
    pub region: u64,
}

/// The boxes that participate in one transfer.
#[derive(Debug, Clone)]
pub struct PeerTopology {
    salt: u64,
    local: PeerLocation,
    peers: BTreeMap<PeerKey, PeerLocation>,
    /// Region and boxes of each domain.
    domains: BTreeMap<u64, (u64, Vec<u64>)>,
    /// Cached results of [`Self::drawer`] for the current list of peers.
    drawers: RefCell<HashMap<ChunkIndex, PeerKey>>,
}

impl PeerTopology {
    /// A topology of this box alone. `salt` distributes the load of different transfers over different
    /// boxes.
    pub fn new(salt: u64, local: PeerLocation) -> Self {
        let mut map = Self {
            salt,
            local,
            peers: BTreeMap::new(),
            domains: BTreeMap::new(),
            drawers: RefCell::default(),
        };
        map.replace(&[local]);
        map
    }

    /// Replaces the list of peers; this box is always added.
    pub fn replace(&mut self, peers: &[PeerLocation]) {
        self.peers = peers.iter().map(|peer| (peer.key, *peer)).collect();
        self.peers.insert(self.local.key, self.local);
        self.index();
    }

    /// Removes a box until the list is next replaced.
    pub fn remove(&mut self, peer: PeerKey) {
        if peer != self.local.key && self.peers.remove(&peer).is_some() {
            self.index();
        }
    }

    fn index(&mut self) {
        self.domains.clear();
        self.drawers.get_mut().clear();
        for peer in self.peers.values() {
            let entry = self.domains.entry(peer.domain).or_insert((peer.region, Vec::new()));
            entry.1.push(peer.key.0);
        }
    }

    /// This box.
    pub fn local(&self) -> PeerLocation {
        self.local
    }

    /// Number of participating boxes.
    pub fn count(&self) -> usize {
        self.peers.len()
    }

    /// Failure domain and region of a box, if it participates.
    pub fn location(&self, peer: PeerKey) -> Option<PeerLocation> {
        self.peers.get(&peer).copied()
    }

    fn subject(&self, chunk: ChunkIndex) -> u64 {
        score(self.salt, u64::from(chunk.0))
    }

    /// The domain whose importer draws `chunk` from the origin.
    pub fn first_domain(&self, chunk: ChunkIndex) -> u64 {
        let domains = self.domains.keys().copied();
        winner(self.subject(chunk), domains).unwrap_or(self.local.domain)
    }

    /// Rank of this box's domain for `chunk`, 0 for the one that draws it.
    pub fn domain_rank(&self, chunk: ChunkIndex) -> usize {
        let ranked = ranking(self.subject(chunk), self.domains.keys().copied());
        ranked.iter().position(|domain| *domain == self.local.domain).unwrap_or(0)
    }

    /// The box that draws `chunk` from the origin or the store.
    ///
    /// The result is cached until the list of peers changes, because it is needed at every event and
    /// requires a hash of every box of a domain.
    pub fn drawer(&self, chunk: ChunkIndex) -> PeerKey {
        let mut drawers = self.drawers.borrow_mut();
        let ranked = || self.importer(self.first_domain(chunk), chunk).unwrap_or(self.local.key);
        *drawers.entry(chunk).or_insert_with(ranked)
    }

    /// The box that draws `chunk` if those in `failed` are excluded.
    pub fn next_drawer(&self, chunk: ChunkIndex, failed: &[PeerKey]) -> PeerKey {
        let domain = self.first_domain(chunk);
        let near = self.domains.get(&domain).map(|(_, boxes)| boxes.as_slice()).unwrap_or(&[]);
        let fits = |key: &u64| !failed.contains(&PeerKey(*key));
        let subject = self.subject(chunk);
        let drawer = winner(subject, near.iter().copied().filter(fits));
        let anyone = || winner(subject, self.peers.keys().map(|key| key.0).filter(fits));
        drawer.or_else(anyone).map_or(self.local.key, PeerKey)
    }

    /// The box that imports `chunk` into `domain`.
    pub fn importer(&self, domain: u64, chunk: ChunkIndex) -> Option<PeerKey> {
        let boxes = &self.domains.get(&domain)?.1;
        winner(self.subject(chunk), boxes.iter().copied()).map(PeerKey)
    }

    /// Rank of this box among its domain's importers of `chunk`, 0 for the first.
    pub fn importer_rank(&self, chunk: ChunkIndex) -> usize {
        let subject = self.subject(chunk);
        let own = score(subject, self.local.key.0);
        let near = self.domains.get(&self.local.domain).map_or(&[][..], |(_, boxes)| boxes);
        near.iter().filter(|other| score(subject, **other) > own).count()
    }

    /// The first `most` importers of `chunk` in every domain, excluding this box.
    pub fn other_importers(&self, chunk: ChunkIndex, most: usize) -> Vec<PeerKey> {
        let subject = self.subject(chunk);
        let first = |boxes: &[u64]| {
            ranking(subject, boxes.iter().copied()).into_iter().take(most).collect::<Vec<_>>()
        };
        let keys = self.domains.values().flat_map(|(_, boxes)| first(boxes)).map(PeerKey);
        keys.filter(|key| *key != self.local.key).collect()
    }

    /// The boxes to which a chunk is offered after it has entered this box's domain from `source`: one
    /// importer in each other region, and one in each other domain of this region. A chunk from another
    /// region is offered within this region only. A chunk from within the region is not offered, since
    /// its sender has already done so.
    pub fn onward(&self, chunk: ChunkIndex, source: ImportOrigin) -> Vec<PeerKey> {
        let siblings = self
            .domains
            .iter()
            .filter(|(domain, (region, _))| {
                **domain != self.local.domain && *region == self.local.region
            })
            .map(|(domain, _)| *domain);
        let targets: Vec<u64> = match source {
            ImportOrigin::SameRegion => Vec::new(),
            ImportOrigin::OtherRegion => siblings.collect(),
            ImportOrigin::OriginOrStore => {
                siblings.chain(self.region_entry_domains(chunk)).collect()
            }
        };
        targets.into_iter().filter_map(|domain| self.importer(domain, chunk)).collect()
    }

    /// For each other region, the domain that imports `chunk` for the whole region.
    fn region_entry_domains(&self, chunk: ChunkIndex) -> impl Iterator<Item = u64> {
        let subject = self.subject(chunk);
        let mut heads: BTreeMap<u64, u64> = BTreeMap::new();
        for (domain, (region, _)) in &self.domains {
            let head = heads.entry(*region).or_insert(*domain);
            if score(subject, *domain) > score(subject, *head) {
                *head = *domain;
            }
        }
        heads.remove(&self.local.region);
        heads.into_values()
    }

    /// The boxes of this domain that this box exchanges notes with.
    ///
    /// The relation is symmetric: two boxes are neighbours if the score of the pair is below a
    /// threshold chosen so that each box has about `wanted` neighbours.
    pub fn neighbours(&self, wanted: usize) -> Vec<PeerKey> {
        let Some((_, boxes)) = self.domains.get(&self.local.domain) else { return Vec::new() };
        let others = boxes.len().saturating_sub(1);
        let own = self.local.key.0;
        let near = |other: &&u64| {
            let pair = score(own.min(**other), own.max(**other));
            others <= wanted || pair < (u64::MAX / others as u64).saturating_mul(wanted as u64)
        };
        boxes.iter().filter(|other| **other != own).filter(near).copied().map(PeerKey).collect()
    }
}

/// Origin of a chunk, relative to the domain that it has entered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ImportOrigin {
    /// The origin or the store.
    OriginOrStore,
    /// A box of another region.
    OtherRegion,
    /// A box of another domain in this region.
    SameRegion,
}
