//! Simulates processes that exchange notices through relays, in virtual time: the number of datagrams
//! that each sends and receives, and how fast changes propagate.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    time::Duration,
};

use googletest::prelude::*;
use headlatch_core::{
    direct::{
        peers::{DomainKey, DrainNotice, PeerKind, PeerNotice, PeerTable, ServerNotice},
        relays::{NearRelays, RELAYS},
        suspects::{LifeKey, ProgressAtEnd, SuspectTable},
    },
    time::Moment,
};
use headlatch_daemon::direct::{
    datagram::Datagram,
    notices::{NoticeBody, NoticeWriter, OutgoingDatagram},
    relay_mail::{BundleWriter, RelayView},
};
use headlatch_types::{request::RequestDigest, traffic::WeightVersion};
use rand::{Rng, SeedableRng, rngs::SmallRng};

const DOMAINS: u8 = 5;
const MESH_LIMIT: usize = 40;
const TICK: Duration = Duration::from_millis(100);

/// Fraction of the datagrams that are lost.
const LOSS: f64 = 0.01;

/// Link fault of a process that keeps sending keep-alive notices.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum LinkCut {
    #[default]
    None,
    /// The process receives nothing.
    NoReceive,
    /// Other failure domains do not receive its datagrams.
    NoSendFar,
    /// The process receives nothing, and only its own failure domain receives its datagrams: it acts
    /// like a paused process, but its own failure domain considers it alive.
    NoReceiveNoSendFar,
}

struct Process {
    address: SocketAddr,
    kind: PeerKind,
    domain: DomainKey,
    peers: PeerTable,
    writer: NoticeWriter,
    bundles: BundleWriter,
    relays: NearRelays,
    server: Option<ServerNotice>,
    /// Servers known to be about to change, if it is an entry.
    drains: Vec<DrainNotice>,
    /// Requests during which servers terminated, if it is an entry.
    suspects: SuspectTable,
    alive: bool,
    /// Link fault of this process.
    cut: LinkCut,
    sent: usize,
    received: usize,
    bytes: usize,
}

/// Processes in virtual time; datagrams are delivered instantly within a tick.
struct Simulation {
    now: Moment,
    rng: SmallRng,
    processes: Vec<Process>,
    index: HashMap<SocketAddr, usize>,
}

fn address(domain: u8, last: u8) -> SocketAddr {
    SocketAddr::from(([10, domain, 0, last], 7700))
}

/// Creates a process that starts at `now` and knows two seed addresses.
fn process(now: Moment, domain: u8, last: u8, kind: PeerKind) -> Process {
    let at = address(domain, last);
    let key = DomainKey(domain.into());
    let mut peers = PeerTable::new(at, key);
    peers.set_mesh_limit(MESH_LIMIT);
    peers.add_candidate(now, address(1, 1));
    peers.add_candidate(now, address(2, 1));
    let server = ServerNotice {
        address: SocketAddr::new(at.ip(), 80),
        whole: Some(WeightVersion(1)),
        changing: false,
        staged: None,
        sharing: None,
        zone: format!("z{domain}").parse().expect("a name"),
        service: "s".to_owned(),
        pace: None,
    };
    Process {
        address: at,
        kind,
        domain: key,
        peers,
        writer: NoticeWriter::with_incarnation(
            at,
            kind,
            key,
            u64::from(domain) * 256 + u64::from(last),
        ),
        bundles: BundleWriter::new(key),
        relays: NearRelays::default(),
        server: (kind == PeerKind::Agent).then_some(server),
        drains: Vec::new(),
        suspects: SuspectTable::default(),
        alive: true,
        cut: LinkCut::None,
        sent: 0,
        received: 0,
        bytes: 0,
    }
}

impl Process {
    fn tick(&mut self, now: Moment) -> Vec<OutgoingDatagram> {
        self.peers.expire(now);
        self.relays.expire(now);
        let body = NoticeBody {
            server: self.server.clone(),
            drains: self.drains.clone(),
            suspects: self.suspects.notices(now),
            repeated: self.server.as_ref().is_some_and(|server| server.changing),
            ..NoticeBody::default()
        };
        let relays = self.relays.usable(now);
        let rank = self.bundles.rank(now, self.peers.relay_rank());
        let rank = rank.filter(|_| self.kind == PeerKind::Entry);
        let mut datagrams = Vec::new();
        if let Some(rank) = rank {
            let own = self.writer.facts(body.clone());
            let drains = self.drains.clone();
            let view = RelayView { now, rank, peers: &self.peers, own, drains: &drains };
            datagrams.extend(self.bundles.urgent(&view));
            datagrams.extend(self.bundles.periodic(&view));
        }
        match relays.is_empty() && rank.is_none() {
            true => datagrams.extend(self.writer.tick(&self.peers, body)),
            false => datagrams.extend(self.writer.tick_to_relays(&self.peers, body, &relays)),
        }
        datagrams
    }

    /// Applies a datagram; returns an advertisement of peers for a newly discovered sender.
    fn receive(&mut self, now: Moment, bytes: &[u8]) -> Option<OutgoingDatagram> {
        self.received += 1;
        self.bytes += bytes.len();
        match Datagram::decode(bytes)? {
            Datagram::Notice(notice) => {
                let (from, domain) = (notice.from, notice.domain);
                self.apply_suspects(now, &notice);
                let joined = self.peers.receive(now, *notice).joined;
                self.update_drains();
                let names = self.peers.peers_to_advertise_in(domain, 0);
                let is_entry = self.kind == PeerKind::Entry;
                (joined && is_entry).then(|| {
                    let bytes = self.writer.write(NoticeBody::default(), names);
                    OutgoingDatagram { bytes, targets: vec![from] }
                })
            }
            Datagram::Bundle(mut bundle) => {
                self.bundles.receive(now, self.address, &mut bundle);
                if bundle.domain == self.domain {
                    self.relays.record_message(now, bundle.from, bundle.age_of(self.address));
                }
                for roster in &bundle.rosters {
                    self.peers.apply_roster(now, roster);
                }
                for sum in bundle.drains {
                    self.peers.apply_drain_sum(now, bundle.domain, sum);
                }
                for relayed in bundle.notices {
                    self.apply_suspects(now, &relayed.notice);
                    self.peers.apply_relayed(now, relayed.notice, relayed.age);
                }
                self.update_drains();
                None
            }
            Datagram::Notes(_) => None,
        }
    }

    fn apply_suspects(&mut self, now: Moment, notice: &PeerNotice) {
        for suspect in &notice.suspects {
            let _ = self.suspects.apply(now, *suspect);
        }
    }

    fn update_drains(&mut self) {
        if self.kind == PeerKind::Entry {
            let servers = self.peers.living().filter_map(|peer| peer.notice.server.as_ref());
            let changing = servers.filter(|server| server.changing);
            self.drains = changing
                .map(|server| DrainNotice { server: server.address, waiting: 0, unresumable: 0 })
                .collect();
        }
    }
}

impl Simulation {
    /// Creates `size` processes, half of them entries, that start at the same time.
    fn new(size: u8, seed: u64) -> Self {
        let kind = |last: u8| if last % 2 == 1 { PeerKind::Entry } else { PeerKind::Agent };
        let each = size / DOMAINS;
        let places = (1..=DOMAINS).flat_map(|domain| (1..=each).map(move |last| (domain, last)));
        let processes: Vec<Process> =
            places.map(|(domain, last)| process(Moment::ZERO, domain, last, kind(last))).collect();
        let index =
            processes.iter().enumerate().map(|(nth, process)| (process.address, nth)).collect();
        Self {
            now: Moment::ZERO + Duration::from_secs(1),
            rng: SmallRng::seed_from_u64(seed),
            processes,
            index,
        }
    }

    fn run(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.now = self.now + TICK;
            for nth in 0..self.processes.len() {
                if self.processes[nth].alive {
                    let datagrams = self.processes[nth].tick(self.now);
                    self.deliver(nth, datagrams);
                }
            }
        }
    }

    fn deliver(&mut self, from: usize, datagrams: Vec<OutgoingDatagram>) {
        for datagram in datagrams {
            for target in &datagram.targets {
                self.processes[from].sent += 1;
                self.processes[from].bytes += datagram.bytes.len();
                let Some(to) = self.index.get(target).copied() else { continue };
                if !self.processes[to].alive || self.rng.random::<f64>() < LOSS {
                    continue;
                }
                if self.is_cut(from, to) {
                    continue;
                }
                if let Some(answer) = self.processes[to].receive(self.now, &datagram.bytes) {
                    self.deliver(to, vec![answer]);
                }
            }
        }
    }

    fn is_cut(&self, from: usize, to: usize) -> bool {
        let (from, to) = (&self.processes[from], &self.processes[to]);
        let cannot_receive = matches!(to.cut, LinkCut::NoReceive | LinkCut::NoReceiveNoSendFar);
        let cannot_send = matches!(from.cut, LinkCut::NoSendFar | LinkCut::NoReceiveNoSendFar);
        cannot_receive || (cannot_send && from.domain != to.domain)
    }

    /// Applies a link fault to the first `count` entries of failure domain 2, whether relays or not.
    fn cut_entries(&mut self, count: usize, cut: LinkCut) {
        for last in (1..).step_by(2).take(count) {
            let nth = self.index[&address(2, last)];
            self.processes[nth].cut = cut;
        }
    }

    /// Counts the entries that relay because other failure domains use them as relays, beyond the two
    /// regular relays of each failure domain.
    fn relays_on_request(&self) -> usize {
        let entries = self.processes.iter().filter(|process| process.kind == PeerKind::Entry);
        let by_address = |process: &&Process| process.peers.relay_rank().is_none();
        entries
            .filter(by_address)
            .filter(|process| process.bundles.rank(self.now, None).is_some())
            .count()
    }

    /// Applies a link fault to the first `count` relays of failure domain 2.
    fn cut_relays(&mut self, count: usize, cut: LinkCut) {
        let relays = self.relays().into_iter();
        let second: Vec<usize> =
            relays.filter(|nth| self.processes[*nth].domain.0 == 2).take(count).collect();
        second.into_iter().for_each(|nth| self.processes[nth].cut = cut);
    }

    /// Returns the minimum number of peers known to a living process without a link fault.
    fn min_known_peers_uncut(&self) -> usize {
        let whole =
            self.processes.iter().filter(|process| process.alive && process.cut == LinkCut::None);
        whole.map(|process| process.peers.living().count()).min().unwrap_or(0)
    }

    /// Changes a server in failure domain 2, and counts the agents of other failure domains that know
    /// of it after `time`.
    fn agents_that_learn_of_a_change(&mut self, time: Duration) -> usize {
        let nth = self.index[&address(2, 10)];
        let server = self.processes[nth].server.as_mut().expect("an agent has a server");
        server.whole = Some(WeightVersion(2));
        let place = server.address;
        self.run(time);
        let hears = |process: &&Process| {
            let told = process.peers.living().filter_map(|peer| peer.notice.server.as_ref());
            let mut told = told.filter(|server| server.address == place);
            told.any(|server| server.whole == Some(WeightVersion(2)))
        };
        self.agents().filter(|process| process.domain.0 != 2).filter(hears).count()
    }

    fn reset_counts(&mut self) {
        for process in &mut self.processes {
            (process.sent, process.received, process.bytes) = (0, 0, 0);
        }
    }

    fn agents(&self) -> impl Iterator<Item = &Process> {
        self.processes.iter().filter(|process| process.kind == PeerKind::Agent && process.alive)
    }

    /// Returns the entries that are relays by address.
    fn relays(&self) -> Vec<usize> {
        let living = self.processes.iter().enumerate().filter(|(_, process)| process.alive);
        let entries = living.filter(|(_, process)| process.kind == PeerKind::Entry);
        entries
            .filter(|(_, process)| process.peers.relay_rank().is_some())
            .map(|(nth, _)| nth)
            .collect()
    }

    /// Returns the minimum number of peers known to a living process.
    fn min_known_peers(&self) -> usize {
        let known = self.processes.iter().filter(|process| process.alive);
        known.map(|process| process.peers.living().count()).min().unwrap_or(0)
    }

    /// Counts the agents that know the server of every other agent.
    fn agents_that_know_all(&self) -> usize {
        let all = self.agents().count();
        let told = |process: &Process| {
            let servers = process.peers.living().filter_map(|peer| peer.notice.server.as_ref());
            servers.count() + 1
        };
        self.agents().filter(|process| told(process) >= all).count()
    }
}

/// Maximum over all agents of the datagrams per second sent and received after discovery.
fn agent_datagrams(size: u8) -> f64 {
    let mut simulation = Simulation::new(size, 7);
    simulation.run(Duration::from_secs(6));
    simulation.reset_counts();
    simulation.run(Duration::from_secs(5));
    simulation.agents().map(|process| process.sent + process.received).max().unwrap_or(0) as f64
        / 5.0
}

#[gtest]
fn what_an_agent_sends_and_hears_does_not_grow_with_the_number_of_processes() {
    let figures: BTreeMap<u8, f64> =
        [60, 120, 240].into_iter().map(|size| (size, agent_datagrams(size))).collect();
    // Ten datagrams per second from each of two relays, and four of its own.
    for (size, figure) in &figures {
        expect_that!(*figure, lt(40.0), "{size} processes");
    }
    expect_that!(figures[&240], lt(figures[&60] * 1.5 + 2.0));
}

#[gtest]
fn all_know_all_within_seconds_of_a_common_start() {
    let mut simulation = Simulation::new(200, 3);
    simulation.run(Duration::from_secs(4));
    expect_that!(simulation.min_known_peers(), eq(199));
    expect_that!(simulation.agents_that_know_all(), eq(100));
    expect_that!(simulation.relays().len(), eq(RELAYS * usize::from(DOMAINS)));
}

#[gtest]
fn members_go_on_when_all_relays_of_a_domain_die_at_once() {
    let mut simulation = Simulation::new(200, 4);
    simulation.run(Duration::from_secs(5));
    let dead: Vec<usize> = simulation
        .relays()
        .into_iter()
        .filter(|nth| simulation.processes[*nth].domain.0 == 2)
        .collect();
    expect_that!(dead.len(), eq(RELAYS));
    dead.iter().for_each(|nth| simulation.processes[*nth].alive = false);
    // No living process may be considered dead, and other entries must take over as relays.
    for _ in 0..60 {
        simulation.run(TICK);
        expect_that!(simulation.min_known_peers(), ge(197));
    }
    expect_that!(simulation.relays().len(), eq(RELAYS * usize::from(DOMAINS)));
    expect_that!(simulation.min_known_peers(), eq(197));
}

#[gtest]
fn an_agent_hears_that_every_entry_sends_its_server_nothing() {
    let mut simulation = Simulation::new(200, 5);
    simulation.run(Duration::from_secs(5));
    let nth = simulation.index[&address(3, 10)];
    let server = simulation.processes[nth].server.as_mut().expect("an agent has a server");
    server.changing = true;
    let address = server.address;
    let before = simulation.processes[nth].peers.drain_report(address);
    expect_that!(before.unconfirmed, eq(100));
    simulation.run(Duration::from_millis(600));
    expect_that!(simulation.processes[nth].peers.drain_report(address).unconfirmed, eq(0));
}

#[gtest]
fn a_process_that_joins_later_knows_all_agents_within_a_second() {
    let mut simulation = Simulation::new(200, 6);
    let late = simulation.index[&address(4, 20)];
    simulation.processes[late].alive = false;
    simulation.run(Duration::from_secs(7));
    simulation.processes[late] = process(simulation.now, 4, 20, PeerKind::Agent);
    simulation.run(Duration::from_secs(1));
    let known = simulation.processes[late].peers.living();
    let servers = known.filter(|peer| peer.notice.server.is_some()).count();
    expect_that!(servers, eq(99));
}

/// Guards against a relay with a one-way link fault, which still appears alive to its members: no other
/// process may be considered dead because of it, and server changes of its failure domain must reach
/// the others.
fn expect_others_unharmed(count: usize, cut: LinkCut) {
    let mut simulation = Simulation::new(200, 8);
    simulation.run(Duration::from_secs(6));
    simulation.cut_relays(count, cut);
    for tick in 0..100 {
        simulation.run(TICK);
        // The faulty processes themselves may be considered dead elsewhere.
        let known = simulation.min_known_peers_uncut();
        expect_that!(known, ge(199 - count), "{count} {cut:?}, tick {tick}");
    }
    expect_that!(
        simulation.agents_that_learn_of_a_change(Duration::from_millis(2500)),
        eq(80),
        "{count} {cut:?}"
    );
}

#[gtest]
fn others_go_on_beside_one_relay_that_hears_nothing() {
    expect_others_unharmed(1, LinkCut::NoReceive);
}

#[gtest]
fn others_go_on_beside_two_relays_that_hear_nothing() {
    expect_others_unharmed(2, LinkCut::NoReceive);
}

#[gtest]
fn others_go_on_beside_one_relay_that_other_domains_do_not_hear() {
    expect_others_unharmed(1, LinkCut::NoSendFar);
}

#[gtest]
fn others_go_on_beside_two_relays_that_other_domains_do_not_hear() {
    expect_others_unharmed(2, LinkCut::NoSendFar);
}

/// Expects that for `ticks` no process without a link fault loses a peer, other than the `cut` faulty
/// entries.
fn expect_known(simulation: &mut Simulation, cut: usize, ticks: usize, what: &str) {
    for tick in 0..ticks {
        simulation.run(TICK);
        expect_that!(simulation.min_known_peers_uncut(), ge(199 - cut), "{what}, tick {tick}");
    }
}

#[gtest]
fn others_go_on_beside_relays_that_are_as_good_as_paused() {
    for (seed, count) in [(9, 1), (10, 2)] {
        let mut simulation = Simulation::new(200, seed);
        simulation.run(Duration::from_secs(6));
        simulation.cut_entries(count, LinkCut::NoReceiveNoSendFar);
        expect_known(&mut simulation, count, 100, &format!("{count}"));
        let told = simulation.agents_that_learn_of_a_change(Duration::from_millis(2500));
        expect_that!(told, eq(80), "{count}");
    }
}

#[gtest]
fn others_go_on_beside_three_entries_that_are_cut_one_way() {
    for cut in [LinkCut::NoReceive, LinkCut::NoSendFar] {
        let mut simulation = Simulation::new(200, 11);
        simulation.run(Duration::from_secs(6));
        simulation.cut_entries(3, cut);
        expect_known(&mut simulation, 3, 100, &format!("{cut:?}"));
    }
}

#[gtest]
fn others_go_on_while_both_directions_are_cut_in_turn() {
    let mut simulation = Simulation::new(200, 12);
    simulation.run(Duration::from_secs(6));
    for cut in [LinkCut::NoReceive, LinkCut::NoSendFar, LinkCut::NoReceive] {
        simulation.cut_relays(2, cut);
        expect_known(&mut simulation, 2, 60, &format!("{cut:?}"));
    }
}

#[gtest]
fn entries_relay_beyond_two_only_while_others_ask_them() {
    for seed in 13..=15 {
        let mut simulation = Simulation::new(200, seed);
        for _ in 0..80 {
            simulation.run(TICK);
            expect_that!(simulation.relays_on_request(), eq(0), "seed {seed}, {}", simulation.now);
        }
        simulation.cut_entries(2, LinkCut::NoSendFar);
        simulation.run(Duration::from_secs(6));
        expect_that!(simulation.relays_on_request(), eq(2), "seed {seed}");
        simulation.cut_entries(2, LinkCut::None);
        simulation.run(Duration::from_secs(5));
        expect_that!(simulation.relays_on_request(), eq(0), "seed {seed}");
    }
}

/// Two servers terminate during the same request, each observed by an entry of a different failure
/// domain. Through the relays, all entries must refuse the request well within the limit of 3 s, and so
/// must an entry that starts later.
#[gtest]
fn all_entries_refuse_what_servers_ended_under_in_two_failure_domains() {
    for seed in 1..=4 {
        let mut simulation = Simulation::new(100, seed);
        simulation.run(Duration::from_secs(10));
        let digest = RequestDigest(77);
        for (domain, life) in [(2, 1), (4, 2)] {
            let nth = simulation.index[&address(domain, 9)];
            let (now, life) = (simulation.now, LifeKey(life));
            let suspects = &mut simulation.processes[nth].suspects;
            let _ = suspects.record_server_end(now, digest, life, ProgressAtEnd::Silent);
            simulation.run(Duration::from_millis(400));
        }
        simulation.run(Duration::from_millis(800));
        let refuses = |simulation: &Simulation, process: &Process| {
            process.suspects.is_refused(simulation.now, digest)
        };
        let entries = simulation.processes.iter().filter(|process| process.kind == PeerKind::Entry);
        let missing = entries.filter(|process| !refuses(&simulation, process)).count();
        expect_that!(missing, eq(0), "seed {seed}");
        // Long after the last change has been sent.
        simulation.run(Duration::from_secs(20));
        let late = simulation.index[&address(3, 9)];
        simulation.processes[late] = process(simulation.now, 3, 9, PeerKind::Entry);
        simulation.run(Duration::from_millis(2500));
        expect_that!(refuses(&simulation, &simulation.processes[late]), eq(true), "seed {seed}");
    }
}
