//! Gossip: everybody hears of everybody, of changes, and of silence.

use std::collections::BTreeMap;

use headlatch_core::{
    membership::{GossipPacket, NodeKind, NodeRecord, NodeTable, PACKET_BEATS, PACKET_RECORDS},
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

/// Tables that exchange packets once a second.
struct FakeNet {
    tables: BTreeMap<std::net::SocketAddr, NodeTable>,
    rng: SmallRng,
    second: u32,
}

impl FakeNet {
    fn new(count: usize) -> Self {
        let records: Vec<NodeRecord> = (0..count).map(record).collect();
        let seeds: Vec<_> = records.iter().take(3).map(|one| one.control).collect();
        let tables = records.into_iter().map(|own| {
            let control = own.control;
            let mut table = NodeTable::new(own);
            table.seed(seeds.clone());
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
            let (target, packet) = (table.target(now, &mut self.rng), table.packet(self.second));
            assert!(packet.records.len() <= PACKET_RECORDS && packet.beats.len() <= PACKET_BEATS);
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
        let mut answers = table.answers(&packet);
        let outcome = table.merge(now, packet);
        if !outcome.unknown.is_empty() {
            answers.push(table.ask(outcome.unknown));
        }
        answers.into_iter().for_each(|answer| self.deliver(now, to, from, answer));
    }

    fn now(&self) -> Moment {
        Moment::from_micros(u64::from(self.second) * 1_000_000)
    }
}

#[test]
fn everybody_hears_of_everybody_and_of_the_dead() {
    let mut net = FakeNet::new(60);
    (0..30).for_each(|_| net.step());
    for table in net.tables.values() {
        assert_eq!(table.living(net.now()).count(), 59, "{}", table.own().id);
    }
    let gone = record(7).control;
    net.tables.remove(&gone);
    (0..60).for_each(|_| net.step());
    for table in net.tables.values() {
        assert!(table.living(net.now()).all(|one| one.control != gone));
        assert_eq!(table.living(net.now()).count(), 58);
    }
}

#[test]
fn a_change_reaches_everybody_even_those_whom_its_news_missed() {
    let mut net = FakeNet::new(60);
    (0..30).for_each(|_| net.step());
    let changed = record(11);
    net.tables.get_mut(&changed.control).unwrap().update(|own| own.leaving = true);
    (0..30).for_each(|_| net.step());
    for table in net.tables.values().filter(|table| table.own().id != changed.id) {
        let seen = table.living(net.now()).find(|one| one.id == changed.id).expect("it lives");
        assert!(seen.leaving, "{} has not heard", table.own().id);
    }
}

#[test]
fn an_older_start_of_a_box_never_replaces_a_later_one() {
    let mut table = NodeTable::new(record(0));
    let later = NodeRecord { incarnation: 2, version: 1, ..record(1) };
    let older = NodeRecord { incarnation: 1, version: 9, leaving: true, ..record(1) };
    for one in [later, older] {
        table.merge(Moment::ZERO, GossipPacket { records: vec![one], ..GossipPacket::default() });
    }
    assert!(table.living(Moment::ZERO).all(|one| !one.leaving && one.incarnation == 2));
}
