//! The spread bench: how fast a configuration is in force everywhere, and what gossip costs.
//!
//! Real tables and holders exchange packets over a fake network in virtual time; the bytes are
//! those of the encoded packets.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use clap::{Args, ValueEnum};
use headlatch_core::{
    config::{ConfigHolder, FleetObject},
    hash::ranking,
    membership::{GOSSIP_INTERVAL, GossipPacket, NodeKind, NodeRecord, NodeTable, URGENT_FANOUT},
    time::Moment,
};
use headlatch_daemon::node::codec;
use headlatch_types::quantity::ConfigRevision;
use prost::Message;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use serde::Serialize;

use crate::queue::EventQueue;

/// Nodes of a domain that watch the platform, as the daemons do.
const WATCHERS: usize = 2;

/// Changes of configuration a day in the plan.
const CHANGES_A_DAY: f64 = 370.0;

/// Seconds of a day.
const DAY_SECONDS: f64 = 86_400.0;

/// One way between nodes.
const LATENCY: Duration = Duration::from_millis(2);

/// Bytes of headers below a datagram.
const DATAGRAM_HEAD: u64 = 28;

/// Calls of one watcher a second: a watch of 20 s, a list of members every 5 s.
const WATCHER_READS: f64 = 1.0 / 20.0 + 1.0 / 5.0;

/// Writes of status of one domain a second, at most.
const DOMAIN_WRITES: f64 = 1.0;

/// Time before the first apply, in which nodes come to know each other.
const SETTLE: Duration = Duration::from_secs(60);

/// Time between applies.
const APPLY_PAUSE: Duration = Duration::from_secs(20);

/// A fault of the spread bench.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum SpreadFault {
    /// One datagram in ten is lost
    Loss,
    /// The watchers of one domain are asleep during every apply
    Watchers,
    /// One domain is cut off for the first half of the applies
    Cut,
    /// Watches return a value one revision old now and then
    StaleReads,
}

/// Options of the spread bench.
#[derive(Debug, Clone, Args)]
pub struct SpreadOptions {
    /// Entries
    #[arg(long, default_value_t = 400)]
    pub entries: usize,
    /// Agents
    #[arg(long, default_value_t = 720)]
    pub agents: usize,
    /// Failure domains
    #[arg(long, default_value_t = 6)]
    pub domains: usize,
    /// Configurations applied
    #[arg(long, default_value_t = 20)]
    pub applies: u32,
    /// Size of a fleet file, in bytes
    #[arg(long, default_value_t = 20_000)]
    pub fleet_bytes: usize,
    /// Faults, separated by commas
    #[arg(long, value_delimiter = ',', value_enum)]
    pub faults: Vec<SpreadFault>,
    /// Seed of every random choice
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Print one line of JSON
    #[arg(long)]
    pub json: bool,
}

/// Figures of one run.
#[derive(Debug, Clone, Serialize)]
pub struct SpreadReport {
    /// Entries and agents.
    pub nodes: usize,
    /// Median time from acceptance until a revision is in force at a node, in seconds.
    pub p50_seconds: f64,
    /// The same for 99 in 100.
    pub p99_seconds: f64,
    /// The longest such time.
    pub max_seconds: f64,
    /// Nodes that missed a revision altogether before the next came.
    pub missed: u64,
    /// Times that a node went back to an earlier revision.
    pub reverted: u64,
    /// Calls to read or watch, in all, a second.
    pub platform_reads_per_second: f64,
    /// Calls to write, in all, a second, at most.
    pub platform_writes_per_second: f64,
    /// Bytes a node sends and receives a second, mean, with membership, load and configuration.
    pub control_bytes_per_node_second: f64,
    /// Of these, the bytes of gossip of the node with most.
    pub gossip_bytes_most: f64,
    /// Of these, the bytes of configurations at the plan's 370 changes a day.
    pub config_bytes_per_node_second: f64,
    /// Part of all pairs of nodes of one domain that know each other alive, at the end.
    pub known_alive: f64,
    /// Time the run took, in seconds.
    pub wall_seconds: f64,
}

#[derive(Debug)]
enum SpreadEvent {
    Tick(usize),
    Packet { to: usize, from: usize, packet: GossipPacket },
    Fetch { by: usize, from: usize },
    Apply,
    Watch { node: usize, revision: u64 },
}

struct SpreadWorld {
    options: SpreadOptions,
    queue: EventQueue<SpreadEvent>,
    rng: SmallRng,
    tables: Vec<NodeTable>,
    holders: Vec<ConfigHolder>,
    domains: Vec<usize>,
    index: HashMap<SocketAddr, usize>,
    bytes: Vec<u64>,
    config_bytes: u64,
    accepted: Moment,
    revision: u64,
    times: Vec<f64>,
    missed: u64,
    reverted: u64,
}

/// Runs the bench.
pub fn run(options: &SpreadOptions) -> SpreadReport {
    let begun = std::time::Instant::now();
    let mut world = SpreadWorld::new(options);
    let end = Moment::ZERO + SETTLE + APPLY_PAUSE * options.applies;
    while let Some((now, event)) = world.queue.pop() {
        if now >= end {
            break;
        }
        world.step(now, event);
    }
    world.report(end, begun.elapsed().as_secs_f64())
}

impl SpreadWorld {
    fn new(options: &SpreadOptions) -> Self {
        let count = options.entries + options.agents;
        let mut world = Self {
            options: options.clone(),
            queue: EventQueue::default(),
            rng: SmallRng::seed_from_u64(options.seed),
            tables: Vec::new(),
            holders: vec![ConfigHolder::default(); count],
            domains: (0..count).map(|nth| nth % options.domains).collect(),
            index: HashMap::new(),
            bytes: vec![0; count],
            config_bytes: 0,
            accepted: Moment::ZERO,
            revision: 0,
            times: Vec::new(),
            missed: 0,
            reverted: 0,
        };
        let addresses: Vec<SocketAddr> = (0..count).map(address).collect();
        for nth in 0..count {
            let mut table = NodeTable::new(world.record(nth));
            table.set_seeds(addresses.clone());
            world.index.insert(addresses[nth], nth);
            world.tables.push(table);
            let spread = GOSSIP_INTERVAL.mul_f64(world.rng.random::<f64>());
            world.queue.after(spread, SpreadEvent::Tick(nth));
        }
        for apply in 0..options.applies {
            let at = Moment::ZERO + SETTLE + APPLY_PAUSE * apply;
            world.queue.at(at, SpreadEvent::Apply);
        }
        world
    }

    fn record(&self, nth: usize) -> NodeRecord {
        let kind = if nth < self.options.entries { NodeKind::Entry } else { NodeKind::Agent };
        let domain = self.domains[nth];
        let endpoint =
            (kind == NodeKind::Agent).then(|| headlatch_core::membership::EndpointState {
                serving: Some(headlatch_types::fleet::SetKey(nth as u64)),
                slots: 50,
                healthy: true,
                ..Default::default()
            });
        NodeRecord {
            id: format!("node-{nth}").parse().expect("it is a name"),
            domain: format!("domain-{domain}").parse().expect("it is a name"),
            region: format!("region-{}", domain / 2).parse().expect("it is a name"),
            kind,
            control: address(nth),
            incarnation: 1_700_000_000_000_000,
            version: 1_700_000_000_000,
            beat: 0,
            revision: ConfigRevision::default(),
            leaving: false,
            endpoint,
        }
    }

    fn has(&self, fault: SpreadFault) -> bool {
        self.options.faults.contains(&fault)
    }

    fn is_cut(&self, now: Moment, one: usize, other: usize) -> bool {
        let half = SETTLE + APPLY_PAUSE * (self.options.applies / 2);
        let apart = self.domains[one] != self.domains[other];
        let last = self.options.domains - 1;
        let touched = self.domains[one] == last || self.domains[other] == last;
        self.has(SpreadFault::Cut) && apart && touched && now < Moment::ZERO + half
    }

    fn step(&mut self, now: Moment, event: SpreadEvent) {
        match event {
            SpreadEvent::Tick(nth) => {
                self.tables[nth].expire(now);
                self.gossip(now, nth, 1);
                self.queue.after(GOSSIP_INTERVAL, SpreadEvent::Tick(nth));
            }
            SpreadEvent::Packet { to, from, packet } => self.receive(now, to, from, packet),
            SpreadEvent::Fetch { by, from } => self.fetch(now, by, from),
            SpreadEvent::Apply => self.apply(now),
            SpreadEvent::Watch { node, revision } => self.offer(now, node, revision),
        }
    }

    fn gossip(&mut self, now: Moment, nth: usize, packets: usize) {
        for _ in 0..packets {
            let target = self.tables[nth].choose_target(now, &mut self.rng);
            // Clocks differ by some seconds.
            let beat = now.seconds() as u32 + (nth % 5) as u32;
            let packet = self.tables[nth].next_packet(beat);
            let to = target.and_then(|target| self.index.get(&target).copied());
            if let Some(to) = to {
                self.send(now, nth, to, packet);
            }
        }
    }

    fn send(&mut self, now: Moment, from: usize, to: usize, packet: GossipPacket) {
        let bytes = codec::encode_packet(&packet).encoded_len() as u64 + DATAGRAM_HEAD;
        self.bytes[from] += bytes;
        let lost = self.has(SpreadFault::Loss) && self.rng.random_range(0..10) == 0;
        if lost || self.is_cut(now, from, to) {
            return;
        }
        self.bytes[to] += bytes;
        self.queue.after(LATENCY, SpreadEvent::Packet { to, from, packet });
    }

    fn receive(&mut self, now: Moment, to: usize, from: usize, packet: GossipPacket) {
        let mut answers = self.tables[to].replies(&packet);
        let outcome = self.tables[to].merge(now, packet);
        if !outcome.missing_records.is_empty() {
            answers.push(self.tables[to].request_records(outcome.missing_records));
        }
        for answer in answers {
            self.send(now, to, from, answer);
        }
        if let Some((_, address)) = outcome.newest_config {
            let from = self.index[&address];
            self.queue.after(LATENCY * 2, SpreadEvent::Fetch { by: to, from });
        }
        if outcome.urgent {
            self.gossip(now, to, URGENT_FANOUT);
        }
    }

    fn fetch(&mut self, now: Moment, by: usize, from: usize) {
        let revision = self.holders[from].revision();
        if revision <= self.holders[by].revision() || self.is_cut(now, by, from) {
            return;
        }
        let bytes = self.options.fleet_bytes as u64 + 200;
        self.config_bytes += 2 * bytes;
        self.offer(now, by, revision.number());
    }

    /// The platform accepts a revision; the watchers of each domain hear of it.
    fn apply(&mut self, now: Moment) {
        let behind = self.holders.iter().filter(|one| one.revision().number() < self.revision);
        self.missed += behind.count() as u64;
        self.revision += 1;
        self.accepted = now;
        for domain in 0..self.options.domains {
            let asleep = self.has(SpreadFault::Watchers) && domain == 0;
            let cut = self.has(SpreadFault::Cut)
                && domain == self.options.domains - 1
                && now < Moment::ZERO + SETTLE + APPLY_PAUSE * (self.options.applies / 2);
            if asleep || cut {
                continue;
            }
            for node in self.watchers(domain) {
                let stale = self.has(SpreadFault::StaleReads) && self.rng.random_range(0..2) == 0;
                let revision = self.revision - u64::from(stale);
                self.queue.after(LATENCY * 2, SpreadEvent::Watch { node, revision });
                if stale {
                    // The next watch, which begins at once, brings the new one.
                    let later = Duration::from_millis(500);
                    let revision = self.revision;
                    self.queue.after(later, SpreadEvent::Watch { node, revision });
                }
            }
        }
    }

    fn watchers(&self, domain: usize) -> Vec<usize> {
        let entries = (0..self.options.entries).filter(|nth| self.domains[*nth] == domain);
        let keys: HashMap<u64, usize> =
            entries.map(|nth| (self.tables[nth].own().id.key(), nth)).collect();
        let own = self
            .tables
            .iter()
            .find(|table| self.domains[self.index[&table.own().control]] == domain);
        let subject = own.map_or(0, |table| table.own().domain.key());
        let ranked = ranking(subject, keys.keys().copied());
        ranked.into_iter().take(WATCHERS).map(|key| keys[&key]).collect()
    }

    fn offer(&mut self, now: Moment, nth: usize, revision: u64) {
        let before = self.holders[nth].revision();
        let object = FleetObject { apply_id: "bench".to_owned(), fleet: "{}".to_owned() };
        let text = serde_json::to_string(&object).expect("it has only string keys");
        self.holders[nth].offer(ConfigRevision::new(revision), &text);
        let after = self.holders[nth].revision();
        self.reverted += u64::from(after < before);
        if after <= before {
            return;
        }
        if after.number() == self.revision {
            self.times.push(now.since(self.accepted).as_secs_f64());
        }
        self.tables[nth].update(|own| own.revision = after);
        self.gossip(now, nth, URGENT_FANOUT);
    }

    fn report(mut self, end: Moment, wall: f64) -> SpreadReport {
        let behind = self.holders.iter().filter(|one| one.revision().number() < self.revision);
        self.missed += behind.count() as u64;
        self.times.sort_by(f64::total_cmp);
        let quantile = |part: f64| {
            let at = ((self.times.len() as f64 * part) as usize).min(self.times.len().max(1) - 1);
            self.times.get(at).copied().unwrap_or(0.0)
        };
        let nodes = self.tables.len();
        let seconds = end.seconds();
        let alive: usize = self
            .tables
            .iter()
            .map(|table| {
                table.alive_nodes(end).filter(|one| one.domain == table.own().domain).count()
            })
            .sum();
        let pairs: usize = (0..nodes)
            .map(|nth| {
                self.domains.iter().filter(|domain| **domain == self.domains[nth]).count() - 1
            })
            .sum();
        let watchers = (self.options.domains * WATCHERS) as f64;
        let gossip = self.bytes.iter().sum::<u64>() as f64 / nodes as f64 / seconds;
        let per_apply =
            self.config_bytes as f64 / nodes as f64 / f64::from(self.options.applies.max(1));
        let config = per_apply * CHANGES_A_DAY / DAY_SECONDS;
        SpreadReport {
            nodes,
            p50_seconds: quantile(0.5),
            p99_seconds: quantile(0.99),
            max_seconds: quantile(1.0),
            missed: self.missed,
            reverted: self.reverted,
            platform_reads_per_second: watchers * WATCHER_READS,
            platform_writes_per_second: self.options.domains as f64 * DOMAIN_WRITES,
            control_bytes_per_node_second: gossip + config,
            config_bytes_per_node_second: config,
            gossip_bytes_most: self.bytes.iter().max().copied().unwrap_or(0) as f64 / seconds,
            known_alive: alive as f64 / pairs.max(1) as f64,
            wall_seconds: wall,
        }
    }
}

fn address(nth: usize) -> SocketAddr {
    format!("10.{}.{}.{}:7100", nth >> 16, (nth >> 8) & 255, nth & 255).parse().expect("an address")
}
