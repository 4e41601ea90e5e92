//! Gossip membership: all nodes learn of all nodes, of updates and of failures.

use std::collections::BTreeMap;

use headlatch_core::{
    membership::{
        GossipPacket, MAX_PACKET_HEARTBEATS, MAX_PACKET_RECORDS, NodeKind, NodeRecord, NodeTable,
    },
    time::Moment,
};
use headlatch_types::quantity::ConfigRevision;
use rand::{SeedableRng, rngs::SmallRng};

fn record(nth: usize) -> NodeRecord {
    NodeRecord {
        id: format!("node-{nth}").parse().unwrap(),
        domain: format!("domain-{}", nth % 3).parse().unwrap(),
        region: "region".parse().unwrap(),
        kind: NodeKind::Agent,
        control: format!("10.0.0.1:{}", 1000 + nth).parse().unwrap(),
        incarnation: 1,
        version: 1,
        beat: 0,
        revision: ConfigRevision::default(),
        leaving: false,
        endpoint: None,
    }
}

/// Node tables that exchange packets once per simulated second.
struct SimulatedNetwork {
    tables: BTreeMap<std::net::SocketAddr, NodeTable>,
    rng: SmallRng,
    second: u32,
}

impl SimulatedNetwork {
    fn new(count: usize) -> Self {
        let records: Vec<NodeRecord> = (0..count).map(record).collect();
        let seeds: Vec<_> = records.iter().take(3).map(|one| one.control).collect();
        let tables = records.into_iter().map(|own| {
            let control = own.control;
            let mut table = NodeTable::new(own);
            table.set_seeds(seeds.clone());
            (control, table)
        });
        Self { tables: tables.collect(), rng: SmallRng::seed_from_u64(1), second: 0 }
    }

    fn step(&mut self) {
        self.second += 1;
        let now = Moment::from_micros(u64::from(self.second) * 1_000_000);
        let addresses: Vec<_> = self.tables.keys().copied().collect();
        for from in addresses {
            let table = self.tables.get_mut(&from).unwrap();
            let (target, packet) =
                (table.choose_target(now, &mut self.rng), table.next_packet(self.second));
            assert!(
                packet.records.len() <= MAX_PACKET_RECORDS
                    && packet.beats.len() <= MAX_PACKET_HEARTBEATS
            );
            if let Some(target) = target {
                self.deliver(now, from, target, packet);
            }
        }
    }

    fn deliver(
        &mut self,
        now: Moment,
        from: std::net::SocketAddr,
        to: std::net::SocketAddr,
        packet: GossipPacket,
    ) {
        let Some(table) = self.tables.get_mut(&to) else { return };
        let mut replies = table.replies(&packet);
        let outcome = table.merge(now, packet);
        if !outcome.missing_records.is_empty() {
            replies.push(table.request_records(outcome.missing_records));
        }
        replies.into_iter().for_each(|reply| self.deliver(now, to, from, reply));
    }

    fn now(&self) -> Moment {
        Moment::from_micros(u64::from(self.second) * 1_000_000)
    }
}

#[test]
fn all_nodes_learn_of_joins_and_failures() {
    let mut network = SimulatedNetwork::new(60);
    (0..30).for_each(|_| network.step());
    for table in network.tables.values() {
        assert_eq!(table.alive_nodes(network.now()).count(), 59, "{}", table.own().id);
    }
    let removed = record(7).control;
    network.tables.remove(&removed);
    (0..60).for_each(|_| network.step());
    for table in network.tables.values() {
        assert!(table.alive_nodes(network.now()).all(|one| one.control != removed));
        assert_eq!(table.alive_nodes(network.now()).count(), 58);
    }
}

#[test]
fn updates_reach_all_nodes() {
    let mut network = SimulatedNetwork::new(60);
    (0..30).for_each(|_| network.step());
    let changed = record(11);
    network.tables.get_mut(&changed.control).unwrap().update(|own| own.leaving = true);
    (0..30).for_each(|_| network.step());
    for table in network.tables.values().filter(|table| table.own().id != changed.id) {
        let seen = table
            .alive_nodes(network.now())
            .find(|one| one.id == changed.id)
            .expect("node is alive");
        assert!(seen.leaving, "{} did not receive the update", table.own().id);
    }
}

#[test]
fn older_incarnation_never_replaces_newer() {
    let mut table = NodeTable::new(record(0));
    let later = NodeRecord { incarnation: 2, version: 1, ..record(1) };
    let older = NodeRecord { incarnation: 1, version: 9, leaving: true, ..record(1) };
    for one in [later, older] {
        table.merge(Moment::ZERO, GossipPacket { records: vec![one], ..GossipPacket::default() });
    }
    assert!(table.alive_nodes(Moment::ZERO).all(|one| !one.leaving && one.incarnation == 2));
}
