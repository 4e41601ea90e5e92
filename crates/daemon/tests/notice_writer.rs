//! Recipients of notices: the traffic of a process must not grow with the square of the number of
//! processes.

use std::{net::SocketAddr, time::Duration};

use googletest::prelude::*;
use headlatch_core::{
    direct::{
        engine_model::EngineLoad,
        leaving::{LeavingNotice, MAX_LEAVING_NOTICES},
        peers::{
            DomainKey, LoadNotice, MAX_ADVERTISED_PEERS, PeerKind, PeerNotice, PeerTable,
            WantedNotice,
        },
        rate_limits::{LimitNotice, MAX_LIMIT_NOTICES},
        server_table::{ColdNotice, MAX_COLD_NOTICES, MAX_MISDIRECTED_NOTICES, MisdirectedNotice},
        suspect_parts::PartNotice,
        suspects::{LifeKey, MAX_NOTICES, ProgressAtEnd, SuspectNotice},
    },
    time::Moment,
};
use headlatch_daemon::direct::notices::{
    MAX_DATAGRAM_BYTES, NoticeBody, NoticeWriter, decode, encode,
};
use headlatch_types::{
    quantity::RequestRate,
    request::{PartKey, RequestDigest},
    store::StoreRevision,
    traffic::WeightVersion,
};

const NEAR: DomainKey = DomainKey(1);
const FAR: DomainKey = DomainKey(2);

fn address(domain: DomainKey, last: u8) -> SocketAddr {
    SocketAddr::from(([10, domain.0 as u8, 0, last], 7700))
}

fn living(kind: PeerKind, domain: DomainKey, last: u8) -> PeerNotice {
    PeerNotice::empty(address(domain, last), kind, domain)
}

/// Creates a peer table of ten entries in the own failure domain, including the owner, and thirty in
/// another one.
fn peers() -> PeerTable {
    let mut peers = PeerTable::new(address(NEAR, 1), NEAR);
    let near = (2..=10).map(|last| living(PeerKind::Entry, NEAR, last));
    let far = (1..=30).map(|last| living(PeerKind::Entry, FAR, last));
    near.chain(far).for_each(|notice| {
        peers.receive(Moment::ZERO + Duration::from_millis(1), notice);
    });
    peers
}

fn body(in_flight: u32) -> NoticeBody {
    let load = LoadNotice { server: 7, load: EngineLoad { in_flight, waiting_tokens: 5 } };
    NoticeBody { loads: vec![load], ..NoticeBody::default() }
}

#[gtest]
fn loads_go_to_the_own_domain_at_once_and_to_others_periodically() {
    let peers = peers();
    let mut writer = NoticeWriter::new(address(NEAR, 1), PeerKind::Entry, NEAR);
    let (mut near, mut far, mut bytes) = (0, 0, 0);
    for tick in 1..=100 {
        for datagram in writer.tick(&peers, body(tick)) {
            bytes += datagram.bytes.len() * datagram.targets.len();
            let to_near =
                datagram.targets.iter().filter(|to| to.ip() < address(FAR, 0).ip()).count();
            near += to_near;
            far += datagram.targets.len() - to_near;
        }
    }
    // In 10 s: nine peers ten times a second, thirty every 1.5 s, and a few advertisements.
    expect_that!(near, all![ge(900), le(950)]);
    expect_that!(far, all![ge(180), le(240)]);
    expect_that!(bytes, lt(70_000));
}

#[gtest]
fn one_entry_reports_the_loads_of_its_domain() {
    let peers = peers();
    let mut writer = NoticeWriter::new(address(NEAR, 1), PeerKind::Entry, NEAR);
    let mut told = 0;
    // In the first ticks it may know no other entry of its failure domain.
    for tick in 1..=4 {
        let sum = LoadNotice { server: 9, load: EngineLoad::default() };
        let body = NoticeBody { domain_loads: Some(vec![sum]), ..body(tick) };
        let datagrams = writer.tick(&peers, body);
        let notices = datagrams.iter().filter_map(|datagram| decode(&datagram.bytes));
        expect_that!(notices.filter(|notice| notice.domain_loads.is_some()).count(), eq(0));
    }
    for tick in 5..=24 {
        let sum = LoadNotice { server: 9, load: EngineLoad::default() };
        let body = NoticeBody { domain_loads: Some(vec![sum]), ..body(tick) };
        let datagrams = writer.tick(&peers, body);
        let sums = datagrams.iter().filter(|datagram| {
            decode(&datagram.bytes).is_some_and(|notice| notice.domain_loads.is_some())
        });
        for datagram in sums {
            expect_that!(datagram.targets.len(), eq(30));
            told += 1;
        }
    }
    expect_that!(told, eq(20));
}

/// Returns the recipients of a tick's notices.
fn recipients(writer: &mut NoticeWriter, peers: &PeerTable, body: &NoticeBody) -> Vec<SocketAddr> {
    writer.tick(peers, body.clone()).into_iter().flat_map(|datagram| datagram.targets).collect()
}

#[gtest]
fn a_new_plan_is_told_to_near_entries_at_the_next_tick() {
    let peers = peers();
    let near: Vec<SocketAddr> = (2..=10).map(|last| address(NEAR, last)).collect();
    let mut writer = NoticeWriter::new(address(NEAR, 1), PeerKind::Entry, NEAR);
    let mut body = body(3);
    for plan in 1..=20 {
        body.plan = plan;
        let told = recipients(&mut writer, &peers, &body);
        expect_that!(near.iter().all(|entry| told.contains(entry)), eq(true), "plan {plan}");
    }
}

#[gtest]
fn a_notice_reads_as_it_was_written() {
    let notice = PeerNotice {
        plan: 12,
        servers: StoreRevision::from_wire(1 << 40),
        leaving: [false, true]
            .map(|returned| LeavingNotice {
                server: 7,
                revision: StoreRevision::from_wire(9),
                returned,
            })
            .to_vec(),
        reads_store: true,
        peers: vec![address(NEAR, 4), "[::1]:9".parse().expect("an address")],
        loads: body(3).loads,
        wanted: vec![WantedNotice {
            model: "m0".parse().expect("a name"),
            version: WeightVersion(3),
            age: Duration::from_millis(1234),
        }],
        domain_loads: Some(Vec::new()),
        ..living(PeerKind::Entry, FAR, 3)
    };
    expect_that!(decode(&encode(&notice)), some(eq(&notice)));
    let suspecting = PeerNotice { suspects: suspects(), ..notice.clone() };
    expect_that!(decode(&encode(&suspecting)), some(eq(&suspecting)));
    let part = PartKey(u64::MAX - 7);
    let parts = vec![
        PartNotice::Ended { part, life: LifeKey(0xfeed), age: Duration::from_millis(99) },
        PartNotice::Refused { part, left: Duration::from_secs(599) },
        PartNotice::Released { part },
        PartNotice::Sound { part, age: Duration::from_millis(1234) },
    ];
    let judging = PeerNotice { suspect_parts: parts, ..notice.clone() };
    expect_that!(decode(&encode(&judging)), some(eq(&judging)));
    let limit = |limit| LimitNotice { life: LifeKey(7), limit, age: Duration::from_millis(1234) };
    let limits = vec![limit(None), limit(Some(RequestRate::from_milli(1200)))];
    let draining_lives = vec![LifeKey(7), LifeKey(u32::MAX)];
    let cold = vec![ColdNotice { life: LifeKey(9), remaining: Duration::from_millis(2984) }];
    let misdirected = vec![MisdirectedNotice { life: LifeKey(11), age: Duration::from_millis(7) }];
    let limiting = PeerNotice { limits, draining_lives, cold, misdirected, ..notice.clone() };
    expect_that!(decode(&encode(&limiting)), some(eq(&limiting)));
    let full = PeerNotice { peers: vec![address(NEAR, 4); MAX_ADVERTISED_PEERS], ..notice };
    expect_that!(encode(&full).len(), lt(700));
    let notice_of_leaving = LeavingNotice {
        server: u32::MAX,
        revision: StoreRevision::from_wire(1 << 40),
        returned: false,
    };
    let leaving = PeerNotice { leaving: vec![notice_of_leaving; MAX_LEAVING_NOTICES], ..full };
    expect_that!(encode(&leaving).len(), lt(MAX_DATAGRAM_BYTES / 4));
    let limit = limit(Some(RequestRate::from_milli(u64::MAX)));
    let limits = PeerNotice { limits: vec![limit; MAX_LIMIT_NOTICES], ..leaving };
    expect_that!(encode(&limits).len(), lt(MAX_DATAGRAM_BYTES / 2));
    let cold = ColdNotice { life: LifeKey(u32::MAX), remaining: Duration::from_secs(600) };
    let cold = PeerNotice { cold: vec![cold; MAX_COLD_NOTICES], ..limits };
    let misdirected = MisdirectedNotice { life: LifeKey(u32::MAX), age: Duration::from_secs(1) };
    let misdirected =
        PeerNotice { misdirected: vec![misdirected; MAX_MISDIRECTED_NOTICES], ..cold };
    expect_that!(encode(&misdirected).len(), lt(MAX_DATAGRAM_BYTES / 2));
    expect_that!(decode(b"no notice"), none());
}

/// Returns a notice of each kind about requests during which servers terminated.
fn suspects() -> Vec<SuspectNotice> {
    let digest = RequestDigest(u64::MAX - 5);
    let ended = [ProgressAtEnd::Silent, ProgressAtEnd::Begun].map(|run| SuspectNotice::Ended {
        digest,
        life: LifeKey(0xfeed),
        run,
    });
    let left = Duration::from_secs(599);
    let others = [SuspectNotice::Refused { digest, left }, SuspectNotice::Cleared { digest }];
    [ended, others].concat()
}

/// When many servers fail at once, every entry reports the requests of all of them in one notice.
#[gtest]
fn many_suspects_fit_into_a_notice() {
    let suspects = suspects().into_iter().cycle().take(MAX_NOTICES).collect();
    let notice = PeerNotice { suspects, ..living(PeerKind::Entry, FAR, 3) };
    expect_that!(encode(&notice).len(), lt(MAX_DATAGRAM_BYTES / 6));
}

/// Returns 64 leaving servers, the most that a notice holds; every full notice includes them.
fn leaving() -> Vec<LeavingNotice> {
    let notice =
        |server| LeavingNotice { server, revision: StoreRevision::from_wire(9), returned: false };
    (0..MAX_LEAVING_NOTICES as u32).map(notice).collect()
}

/// After a power failure of hundreds of processes, each process knows hundreds of candidate addresses
/// and dozens of servers that are gone.
#[gtest]
fn candidate_addresses_are_pinged_in_rotation_with_few_bytes() {
    let mut peers = PeerTable::new(address(NEAR, 1), NEAR);
    for domain in [NEAR, FAR] {
        (2..=200).for_each(|last| peers.add_candidate(Moment::ZERO, address(domain, last)));
    }
    let count = peers.candidates().count();
    let mut writer = NoticeWriter::new(address(NEAR, 1), PeerKind::Entry, NEAR);
    let (mut tried, mut bytes) = (std::collections::BTreeSet::new(), 0);
    for _ in 0..20 {
        let body = NoticeBody { leaving: leaving(), ..body(1) };
        for datagram in writer.tick(&peers, body) {
            bytes += datagram.bytes.len() * datagram.targets.len();
            tried.extend(datagram.targets);
        }
    }
    expect_that!(tried.len(), eq(count), "all are pinged within two seconds");
    expect_that!(bytes, lt(60_000), "total size of the pings");
}

/// Leaving servers are reported to other failure domains at once and then periodically, not with each
/// load report.
#[gtest]
fn sums_of_a_domain_do_not_repeat_which_servers_leave_each_time() {
    let peers = peers();
    let mut writer = NoticeWriter::new(address(NEAR, 1), PeerKind::Entry, NEAR);
    let mut told = Vec::new();
    for tick in 1..=100 {
        let leaving = if tick < 30 { Vec::new() } else { leaving() };
        let sum = LoadNotice { server: 9, load: EngineLoad::default() };
        let body = NoticeBody { domain_loads: Some(vec![sum]), leaving, ..body(1) };
        let datagrams = writer.tick(&peers, body);
        let notices = datagrams.iter().filter_map(|datagram| decode(&datagram.bytes));
        let sums = notices.filter(|notice| notice.domain_loads.is_some());
        if sums.into_iter().any(|notice| !notice.leaving.is_empty()) {
            told.push(tick);
        }
    }
    expect_that!(told.first(), some(eq(&30)), "first report");
    expect_that!(told.len(), all![ge(14), le(16)], "reports every half second");
}

/// An entry that has just started may know no other entry and so rank itself first in its failure
/// domain.
#[gtest]
fn an_entry_that_has_just_started_does_not_report_for_its_domain() {
    let peers = peers();
    let mut writer = NoticeWriter::new(address(NEAR, 1), PeerKind::Entry, NEAR);
    let mut reports = |_| {
        let sum = LoadNotice { server: 9, load: EngineLoad::default() };
        let body = NoticeBody { domain_loads: Some(vec![sum]), ..body(1) };
        let datagrams = writer.tick(&peers, body);
        let mut notices = datagrams.iter().filter_map(|datagram| decode(&datagram.bytes));
        notices.any(|notice| notice.domain_loads.is_some())
    };
    let reported: Vec<bool> = (1..=8).map(&mut reports).collect();
    expect_that!(reported, eq(&vec![false, false, false, false, true, true, true, true]));
}

/// Beyond the mesh limit, rosters of the relays replace advertisements from every entry to new peers.
#[gtest]
fn beyond_the_mesh_limit_only_relays_advertise_peers() {
    let relay = peers();
    let mut member = PeerTable::new(address(NEAR, 200), NEAR);
    let near = (2..=10).map(|last| living(PeerKind::Entry, NEAR, last));
    let far = (1..=30).map(|last| living(PeerKind::Entry, FAR, last));
    near.chain(far).for_each(|notice| {
        member.receive(Moment::ZERO + Duration::from_millis(1), notice);
    });
    for mut table in [relay, member] {
        table.set_mesh_limit(100);
        expect_that!(table.peers_to_advertise_in(FAR, 0).len(), eq(39), "all, below the limit");
        table.set_mesh_limit(20);
        let advertises = table.relay_rank().is_some();
        expect_that!(table.peers_to_advertise_in(FAR, 0).is_empty(), eq(!advertises));
    }
}
