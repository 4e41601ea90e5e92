//! Distributed rate limiting: the limit of a server holds over all entries, whatever their number.

use std::{net::SocketAddr, time::Duration};

use googletest::prelude::*;
use headlatch_core::{
    direct::{
        peers::DomainKey,
        rate_limits::{EntryKey, EntryPeer, LimitMembers, LimitNotice, LimitShare, RateLimits},
        server_table::{ServerChoice, ServerQuery, ServerTable},
        suspects::LifeKey,
    },
    time::Moment,
};
use headlatch_types::{
    id::DomainId,
    quantity::RequestRate,
    store::StoreRevision,
    traffic::{AllowedRegions, ServerId, ServerRecord},
};
use rand::{Rng, SeedableRng, rngs::SmallRng};

const STEP: Duration = Duration::from_millis(20);
const GOSSIP_INTERVAL: Duration = Duration::from_millis(500);
const WINDOW: Duration = Duration::from_secs(4);

fn rate(text: &str) -> RequestRate {
    text.parse().expect("a rate")
}

fn domain(number: usize) -> DomainId {
    format!("z{number}").parse().expect("a name")
}

fn address(number: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (number / 250) as u8, (number % 250) as u8], 7700))
}

fn record(number: usize, zone: DomainId) -> ServerRecord {
    ServerRecord {
        id: ServerId(format!("i{number}").into()),
        started_at: None,
        service: "s".into(),
        address: address(number),
        zone,
        slots: 16,
        draining: false,
        cold_ms: 0,
        models: Vec::new(),
    }
}

/// Entries that share one rate-limited server in the first failure domain.
struct Fleet {
    now: Moment,
    tables: Vec<ServerTable>,
    peers: Vec<EntryPeer>,
    /// Entries missing from the membership view of each entry.
    unknown: Vec<Vec<EntryKey>>,
    life: LifeKey,
    random: SmallRng,
    sent: Vec<Moment>,
}

impl Fleet {
    /// Creates entries in `domains` failure domains; the first `served` of these have one server each.
    fn new(entries: usize, domains: usize, served: usize, seed: u64) -> Self {
        let zone = |number: usize| domain(number % domains);
        let peer = |number| EntryPeer {
            key: address(number).into(),
            domain: DomainKey::from(&zone(number)),
        };
        let table = |number| {
            let mut table = ServerTable::new(zone(number), Default::default());
            let records = (0..served).map(|server| record(server, zone(server)));
            records.for_each(|record| table.set(Moment::ZERO, record, StoreRevision::from_wire(1)));
            table
        };
        let tables: Vec<ServerTable> = (0..entries).map(table).collect();
        let query = ServerQuery {
            service: "s",
            engine: None,
            regions: &AllowedRegions::Anywhere,
            min_version: None,
            tried: &[],
            random: 1,
        };
        let ServerChoice::Server(server) = tables[0].choose(Moment::ZERO, &query) else {
            panic!("a server is free")
        };
        Self {
            now: Moment::ZERO + Duration::from_secs(1),
            tables,
            peers: (0..entries).map(peer).collect(),
            unknown: vec![Vec::new(); entries],
            life: server.life,
            random: SmallRng::seed_from_u64(seed),
            sent: Vec::new(),
        }
    }

    /// Advertises the limit to all entries.
    fn advertise(&mut self, limit: RequestRate) {
        for table in &mut self.tables {
            table.record_limit(self.now, self.life, Some(limit), self.now);
        }
        self.assign_shares();
    }

    fn assign_shares(&mut self) {
        for (number, table) in self.tables.iter_mut().enumerate() {
            let known = self.peers.iter().filter(|peer| !self.unknown[number].contains(&peer.key));
            let known: Vec<EntryPeer> = known.copied().collect();
            table.assign_limit_shares(self.now, self.peers[number].key, &known);
        }
    }

    /// Sends requests to each entry for `time`, `per_second` on average, except to entries that are `idle`.
    fn run(&mut self, time: Duration, per_second: f64, idle: impl Fn(usize) -> bool) {
        let until = self.now + time;
        while self.now < until {
            self.now = self.now + STEP;
            if self.now.micros().is_multiple_of(GOSSIP_INTERVAL.as_micros() as u64) {
                self.gossip();
            }
            for number in 0..self.tables.len() {
                let comes = self.random.random_bool(per_second * STEP.as_secs_f64());
                if comes && !idle(number) && self.tables[number].try_acquire(self.now, self.life) {
                    self.sent.push(self.now);
                    let limit = self.tables[number].rate_limit(self.life);
                    self.tables[number].record_limit(self.now, self.life, limit, self.now);
                }
            }
        }
    }

    /// Gossips the most recent limit to all entries.
    fn gossip(&mut self) {
        let notices = self.tables.iter().flat_map(|table| table.recent_limits(self.now));
        let Some(newest) = notices.min_by_key(|notice| notice.age) else { return };
        for table in &mut self.tables {
            table.merge_limit(self.now, newest);
        }
    }

    /// Returns the entries that may send a request within `time`.
    fn holders(&mut self, time: Duration) -> Vec<usize> {
        let until = self.now + time;
        let mut holders = Vec::new();
        while self.now < until {
            self.now = self.now + STEP;
            let (now, life) = (self.now, self.life);
            let sends = |number: &usize| self.tables[*number].try_acquire(now, life);
            let found: Vec<usize> = (0..self.peers.len()).filter(sends).collect();
            holders.extend(found);
        }
        holders.sort_unstable();
        holders.dedup();
        holders
    }

    fn max_in_window(&self) -> usize {
        let within = |first: Moment| {
            self.sent.iter().filter(|at| **at >= first && **at < first + WINDOW).count()
        };
        self.sent.iter().map(|first| within(*first)).max().unwrap_or(0)
    }
}

/// Maximum number of requests from all entries within [`WINDOW`].
fn allowed(limit: RequestRate) -> usize {
    (limit.per_second() * 1.5 * WINDOW.as_secs_f64()) as usize + 5
}

const SIZES: [(usize, usize); 3] = [(7, 3), (100, 3), (546, 6)];
const LIMITS: [&str; 5] = ["0.3", "1", "1.2", "2", "12"];

#[gtest]
fn limit_holds_and_is_used_for_any_number_of_entries() {
    for (entries, domains) in SIZES {
        for limit in LIMITS.map(rate) {
            for seed in 0..3 {
                let mut fleet = Fleet::new(entries, domains, domains, seed);
                fleet.advertise(limit);
                fleet.run(Duration::from_secs(60), 10.0, |_| false);
                let case = format!("{entries} entries, {limit} a second, seed {seed}");
                expect_that!(fleet.max_in_window(), le(allowed(limit)), "{case}");
                let used = fleet.sent.len() as f64 / 60.0 / limit.per_second();
                expect_that!(used, ge(0.8), "{case}");
            }
        }
    }
}

#[gtest]
fn a_burst_after_idle_time_stays_within_the_limit() {
    for (entries, domains) in SIZES {
        for limit in LIMITS.map(rate) {
            let mut fleet = Fleet::new(entries, domains, domains, 7);
            fleet.advertise(limit);
            fleet.run(Duration::from_secs(600), 0.0, |_| true);
            fleet.run(Duration::from_secs(12), 20.0, |_| false);
            let case = format!("{entries} entries, {limit} a second");
            expect_that!(fleet.max_in_window(), le(allowed(limit)), "{case}");
        }
    }
}

#[gtest]
fn entries_with_different_membership_keep_the_limit() {
    for (entries, domains) in SIZES {
        for limit in LIMITS.map(rate) {
            for seed in 0..3 {
                let mut fleet = Fleet::new(entries, domains, domains, seed);
                let mut random = SmallRng::seed_from_u64(seed);
                for number in 0..entries {
                    let others = fleet.peers.iter().map(|peer| peer.key);
                    let others = others.filter(|key| *key != fleet.peers[number].key);
                    let unknown = others.filter(|_| random.random_bool(0.1)).collect();
                    fleet.unknown[number] = unknown;
                }
                fleet.advertise(limit);
                fleet.run(Duration::from_secs(40), 10.0, |_| false);
                let case = format!("{entries} entries, {limit} a second, seed {seed}");
                expect_that!(fleet.max_in_window(), le(allowed(limit)), "{case}");
            }
        }
    }
}

#[gtest]
fn standbys_use_a_server_whose_holders_are_idle() {
    let limit = rate("2");
    let mut fleet = Fleet::new(40, 1, 1, 3);
    fleet.advertise(limit);
    let holders = fleet.holders(Duration::from_secs(4));
    expect_that!(holders.len(), eq(2));
    fleet.run(Duration::from_secs(120), 10.0, |number| holders.contains(&number));
    expect_that!(fleet.sent.len(), ge(10));
    expect_that!(fleet.max_in_window(), le(allowed(limit)));
}

#[gtest]
fn failure_domains_without_server_share_remote_limits() {
    let mut fleet = Fleet::new(9, 3, 1, 5);
    fleet.advertise(rate("12"));
    fleet.run(Duration::from_secs(10), 10.0, |number| number.is_multiple_of(3));
    let far = fleet.sent.len() as f64 / 10.0 / 12.0;
    expect_that!(far, ge(0.5));
    let mut fleet = Fleet::new(9, 3, 3, 5);
    fleet.advertise(rate("12"));
    fleet.run(Duration::from_secs(4), 10.0, |number| number.is_multiple_of(3));
    expect_that!(fleet.sent, is_empty());
}

fn at(millis: u64) -> Moment {
    Moment::ZERO + Duration::from_millis(millis)
}

#[gtest]
fn limit_ends_with_newer_response_gossip_or_process() {
    let (life, limit) = (LifeKey(7), rate("2"));
    let mut limits = RateLimits::default();
    expect_that!(limits.record(at(5), life, None, at(1)), eq(false));
    expect_that!(limits.is_empty(), eq(true));
    expect_that!(limits.record(at(10), life, Some(limit), at(8)), eq(true));
    expect_that!(limits.record(at(20), life, Some(limit), at(18)), eq(false));
    expect_that!(limits.wait(at(20), life), none());
    // A response to an earlier request may have started before the limit was advertised.
    expect_that!(limits.record(at(30), life, None, at(9)), eq(false));
    expect_that!(limits.limit(life), some(eq(limit)));
    expect_that!(limits.record(at(40), life, None, at(35)), eq(true));
    expect_that!(limits.wait(at(40), life), some(eq(Duration::ZERO)));
    let notice = |age| LimitNotice { life, limit: Some(limit), age: Duration::from_millis(age) };
    expect_that!(limits.merge(at(60), notice(30)), eq(false));
    expect_that!(limits.merge(at(70), notice(5)), eq(true));
    limits.forget(life);
    expect_that!(limits.wait(at(80), life), some(eq(Duration::ZERO)));
}

#[gtest]
fn limits_are_gossiped_with_their_age_for_a_short_time() {
    let (life, limit) = (LifeKey(7), rate("2"));
    let mut limits = RateLimits::default();
    limits.record(at(1000), life, Some(limit), at(1000));
    let age = Duration::from_millis(700);
    expect_that!(limits.recent(at(1700)), eq(&vec![LimitNotice { life, limit: Some(limit), age }]));
    expect_that!(limits.recent(at(7000)), is_empty());
    // An entry that has just started does not know the age.
    let mut young = RateLimits::default();
    let notice = LimitNotice { life, limit: Some(limit), age: Duration::from_secs(3) };
    expect_that!(young.merge(at(500), notice), eq(true));
    expect_that!(young.recent(at(600)), is_empty());
    expect_that!(young.limit(life), some(eq(limit)));
}

/// Entries that restart together each know only themselves for a moment.
#[gtest]
fn entry_that_has_just_started_does_not_take_a_whole_limit() {
    let (life, limit) = (LifeKey(7), rate("12"));
    let mut limits = RateLimits::default();
    limits.record(at(100), life, Some(limit), at(100));
    let alone = limits.in_force(at(100), life).expect("a limit is in force");
    limits.set_share(at(100), life, LimitShare::new(life, alone, EntryKey(1), &[EntryKey(1)]));
    expect_that!(limits.try_acquire(at(1900), life), eq(false));
    expect_that!(limits.try_acquire(at(2000), life), eq(true));
}

#[gtest]
fn silent_entries_keep_their_shares_while_they_may_be_cut_off() {
    let peers: Vec<EntryPeer> = (0..5)
        .map(|number| EntryPeer {
            key: address(number).into(),
            domain: DomainKey::from(&domain(0)),
        })
        .collect();
    let mut members = LimitMembers::default();
    expect_that!(members.update(at(0), &peers).len(), eq(5));
    let (majority, minority) = (&peers[..4], &peers[..1]);
    expect_that!(members.clone().update(at(10_000), majority).len(), eq(5));
    expect_that!(members.clone().update(at(10_001), majority).len(), eq(4));
    // The others may go on without this entry.
    expect_that!(members.update(at(59_999), minority).len(), eq(5));
    expect_that!(members.update(at(60_001), minority).len(), eq(1));
}
