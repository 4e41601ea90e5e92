//! Request rate of a cold server over all entries, in any second, in virtual time.

use std::{collections::BTreeSet, net::SocketAddr, time::Duration};

use googletest::prelude::*;
use headlatch_core::{
    direct::{
        peers::DomainKey,
        rate_limits::EntryPeer,
        server_table::{
            ChosenServer, ColdRates, Ineligible, ServerChoice, ServerOutcome, ServerQuery,
            ServerTable,
        },
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

/// Maximum request rate of a cold server, per second over all entries.
const COLD_RATE: f64 = 17.0;

/// Most requests that a cold server may get in any second: a rate of 17, an overage of 1.5 and a slack of 5.
const MAX_IN_A_SECOND: usize = 30;

/// Length of a cold period.
const COLD: Duration = Duration::from_millis(3000);

/// Uptime of entries at the start of a test, in milliseconds.
const UPTIME: u64 = 60_000;

const STEP: u64 = 10;
const SHARES_INTERVAL: u64 = 100;
const DOMAINS: usize = 3;
const FLEETS: [usize; 4] = [1, 7, 34, 546];

fn zone(number: usize) -> DomainId {
    format!("z{}", number % DOMAINS).parse().expect("a name")
}

fn record(name: &str, number: usize, cold: Duration) -> ServerRecord {
    ServerRecord {
        id: ServerId(name.into()),
        started_at: None,
        service: "s".into(),
        address: SocketAddr::from(([10, 9, 0, number as u8], 80)),
        zone: zone(number),
        slots: 64,
        draining: false,
        cold_ms: cold.as_millis() as u64,
        models: Vec::new(),
    }
}

fn revision(number: u64) -> StoreRevision {
    StoreRevision::from_wire(number)
}

/// One entry, with a clock that starts with its process.
struct Entry {
    table: ServerTable,
    started: i64,
    peer: EntryPeer,
}

impl Entry {
    fn start(number: usize, started: i64) -> Self {
        let address = SocketAddr::from(([10, 0, (number / 250) as u8, (number % 250) as u8], 7700));
        let peer = EntryPeer { key: address.into(), domain: DomainKey::from(&zone(number)) };
        let mut table = ServerTable::new(zone(number), Default::default());
        let rate = RequestRate::from_milli((COLD_RATE * 1000.0) as u64);
        table.set_cold_rates(Moment::ZERO, ColdRates([("s".into(), rate)].into()));
        Self { table, started, peer }
    }

    fn clock(&self, now: u64) -> Moment {
        Moment::ZERO + Duration::from_millis((now as i64 - self.started) as u64)
    }

    /// Selects the server `name` of the first failure domain, if it may be sent a request.
    fn choose(&self, now: u64) -> Option<ChosenServer> {
        let others: Vec<ServerId> = (1..DOMAINS).map(|number| warm(number).id).collect();
        let query = ServerQuery {
            service: "s",
            engine: None,
            regions: &AllowedRegions::Anywhere,
            min_version: None,
            tried: &others,
            random: now,
        };
        match self.table.choose(self.clock(now), &query) {
            ServerChoice::Server(server) => Some(server),
            _ => None,
        }
    }

    /// Sends a request to the server of the first failure domain if it may; returns whether it did.
    fn send(&mut self, now: u64) -> bool {
        let clock = self.clock(now);
        let Some(server) = self.choose(now) else { return false };
        if !self.table.try_acquire(clock, server.life) {
            return false;
        }
        self.table.begin(&server.id, 0);
        self.table.end(clock, &server.id, ServerOutcome::Answered);
        true
    }
}

/// The server of a failure domain that is never cold.
fn warm(number: usize) -> ServerRecord {
    record(&format!("warm{number}"), number, Duration::ZERO)
}

/// Entries before one server that returns cold in the first failure domain; the others have a warm one each.
struct Fleet {
    now: u64,
    entries: Vec<Entry>,
    sent: Vec<u64>,
}

impl Fleet {
    fn new(count: usize) -> Self {
        let entry = |number| {
            let mut entry = Entry::start(number, -(UPTIME as i64));
            let clock = entry.clock(0);
            (1..DOMAINS).for_each(|other| entry.table.set(clock, warm(other), revision(1)));
            entry
        };
        let mut fleet = Self { now: 0, entries: (0..count).map(entry).collect(), sent: Vec::new() };
        fleet.assign_shares(|_, _| true);
        fleet
    }

    /// Lets one entry read a record of the server.
    fn learn(&mut self, number: usize, cold: Duration, at: u64) {
        let entry = &mut self.entries[number];
        entry.table.set(entry.clock(self.now), record("cold", 0, cold), revision(at));
    }

    fn all_learn(&mut self, cold: Duration, at: u64) {
        (0..self.entries.len()).for_each(|number| self.learn(number, cold, at));
    }

    /// Divides the rates among the entries that each entry sees; every entry sees itself.
    fn assign_shares(&mut self, sees: impl Fn(usize, usize) -> bool) {
        let peers: Vec<EntryPeer> = self.entries.iter().map(|entry| entry.peer).collect();
        for (number, entry) in self.entries.iter_mut().enumerate() {
            let seen = peers.iter().enumerate();
            let seen = seen.filter(|(other, _)| *other == number || sees(number, *other));
            let seen: Vec<EntryPeer> = seen.map(|(_, peer)| *peer).collect();
            entry.table.set_entries(seen.len());
            entry.table.assign_limit_shares(entry.clock(self.now), entry.peer.key, &seen);
        }
    }

    /// Runs for `millis`; entries of which `has_callers` send whatever they may.
    fn run(
        &mut self,
        millis: u64,
        has_callers: impl Fn(usize, u64) -> bool,
        sees: impl Fn(u64, usize, usize) -> bool,
    ) {
        let until = self.now + millis;
        while self.now < until {
            if self.now.is_multiple_of(SHARES_INTERVAL) {
                let now = self.now;
                self.assign_shares(|one, other| sees(now, one, other));
            }
            for number in 0..self.entries.len() {
                while has_callers(number, self.now) && self.entries[number].send(self.now) {
                    self.sent.push(self.now);
                    if self.sent.len() > 100_000 {
                        panic!("an entry sends without any limit");
                    }
                }
            }
            self.now += STEP;
        }
    }

    /// Most requests in any second, sliding.
    fn worst_second(&self) -> usize {
        let last = |first: &u64| self.sent.partition_point(|at| *at < first + 1000);
        let counts = self.sent.iter().enumerate().map(|(index, first)| last(first) - index);
        counts.max().unwrap_or(0)
    }

    /// Requests sent from `from` to `until`, as a part of those that the cold rate allows.
    fn used(&self, from: u64, until: u64) -> f64 {
        let sent = self.sent.iter().filter(|at| (from..until).contains(*at)).count();
        sent as f64 / (COLD_RATE * (until - from) as f64 / 1000.0)
    }
}

fn everybody(_: u64, _: usize, _: usize) -> bool {
    true
}

#[gtest]
fn cold_server_is_not_flooded_when_it_is_first_used_late() {
    for count in FLEETS {
        for first_use in [500, 1500, 2200] {
            let mut fleet = Fleet::new(count);
            fleet.all_learn(COLD, 2);
            // Its weights are not loaded yet, or its failure domain is evacuated.
            fleet.run(first_use, |_, _| false, everybody);
            fleet.run(2980 - first_use, |_, _| true, everybody);
            let case = format!("{count} entries, first use after {first_use} ms");
            expect_that!(fleet.worst_second(), le(MAX_IN_A_SECOND), "{case}");
        }
    }
}

#[gtest]
fn cold_server_is_not_flooded_by_entries_that_learn_of_it_one_by_one() {
    for (count, seed) in FLEETS.into_iter().zip(1..) {
        let mut random = SmallRng::seed_from_u64(seed);
        let learns: Vec<u64> = (0..count).map(|_| random.random_range(0..150) * STEP).collect();
        let mut fleet = Fleet::new(count);
        for now in (0..1500).step_by(STEP as usize) {
            let left = COLD - Duration::from_millis(now);
            let due = (0..count).filter(|number| learns[*number] == now);
            due.for_each(|number| fleet.learn(number, left, 2));
            fleet.run(STEP, |number, now| learns[number] <= now, everybody);
        }
        fleet.run(1400, |_, _| true, everybody);
        expect_that!(fleet.worst_second(), le(MAX_IN_A_SECOND), "{count} entries");
    }
}

#[gtest]
fn second_cold_period_of_a_server_inherits_nothing_from_the_first() {
    for count in FLEETS {
        let mut fleet = Fleet::new(count);
        fleet.all_learn(COLD, 2);
        fleet.run(2900, |_, _| true, everybody);
        // No entry reads that it is warm; few requests come while it is.
        fleet.run(100, |_, _| false, everybody);
        fleet.run(5000, |_, _| false, everybody);
        fleet.all_learn(COLD, 3);
        let begun = fleet.now;
        fleet.sent.clear();
        fleet.run(2900, |_, _| true, everybody);
        expect_that!(fleet.worst_second(), le(MAX_IN_A_SECOND), "{count} entries");
        if [7, 34].contains(&count) {
            expect_that!(fleet.used(begun, begun + 2900), ge(0.75), "{count} entries");
        }
    }
}

#[gtest]
fn entries_that_restart_together_do_not_flood_a_cold_server() {
    for count in FLEETS {
        let mut fleet = Fleet::new(count);
        fleet.all_learn(COLD * 3, 2);
        fleet.run(1000, |_, _| true, everybody);
        let killed = fleet.now;
        for (number, entry) in fleet.entries.iter_mut().enumerate() {
            *entry = Entry::start(number, killed as i64);
            let clock = entry.clock(killed);
            (1..DOMAINS).for_each(|other| entry.table.set(clock, warm(other), revision(1)));
        }
        fleet.all_learn(COLD * 3 - Duration::from_secs(1), 2);
        // Half a second passes before they have found each other.
        fleet.run(5000, |_, _| true, |now, _, _| now >= killed + 500);
        expect_that!(fleet.worst_second(), le(MAX_IN_A_SECOND), "{count} entries");
        if [7, 34].contains(&count) {
            expect_that!(fleet.used(killed + 2500, killed + 5000), ge(0.75), "{count} entries");
        }
    }
}

#[gtest]
fn failure_domains_that_are_cut_off_do_not_each_use_the_whole_cold_rate() {
    for count in FLEETS {
        let mut fleet = Fleet::new(count);
        let same_domain = |_: u64, one: usize, other: usize| one % DOMAINS == other % DOMAINS;
        fleet.run(2000, |_, _| false, same_domain);
        fleet.all_learn(COLD, 2);
        fleet.run(2900, |_, _| true, same_domain);
        expect_that!(fleet.worst_second(), le(MAX_IN_A_SECOND), "{count} entries");
        if [7, 34].contains(&count) {
            expect_that!(fleet.used(2000, 4900), ge(0.75), "{count} entries");
        }
    }
}

#[gtest]
fn isolated_entry_does_not_use_the_whole_cold_rate() {
    for count in [7, 34, 546] {
        let mut fleet = Fleet::new(count);
        let sees = |_: u64, one: usize, other: usize| one != 0 && other != 0;
        fleet.run(2000, |_, _| false, sees);
        fleet.all_learn(COLD, 2);
        fleet.run(2900, |_, _| true, sees);
        expect_that!(fleet.worst_second(), le(MAX_IN_A_SECOND), "{count} entries");
    }
}

#[gtest]
fn cold_rate_is_used_while_callers_wait() {
    for count in [7, 34] {
        let mut fleet = Fleet::new(count);
        fleet.all_learn(COLD, 2);
        fleet.run(2900, |_, _| true, everybody);
        expect_that!(fleet.used(0, 2900), ge(0.75), "{count} entries");
    }
}

/// Callers of the first failure domain, in which all servers have just returned.
#[gtest]
fn cold_rates_of_a_returning_failure_domain_are_used() {
    for count in [7, 34] {
        let mut fleet = Fleet::new(count);
        for entry in &mut fleet.entries {
            let clock = entry.clock(0);
            for number in 0..15 {
                let address = SocketAddr::from(([10, 9, 1, number], 80));
                let cold = record(&format!("cold{number}"), 0, COLD);
                entry.table.set(clock, ServerRecord { address, ..cold }, revision(2));
            }
        }
        let mut random = SmallRng::seed_from_u64(1);
        let near: Vec<usize> = (0..count).step_by(DOMAINS).collect();
        let callers = 220.0 / near.len() as f64 * STEP as f64 / 1000.0;
        let (mut asked, mut sent) = (0, 0);
        while fleet.now < 2900 {
            if fleet.now.is_multiple_of(SHARES_INTERVAL) {
                fleet.assign_shares(|_, _| true);
            }
            for number in &near {
                let comes =
                    callers.floor() as usize + usize::from(random.random_bool(callers.fract()));
                asked += comes;
                sent += (0..comes).filter(|_| fleet.entries[*number].send(fleet.now)).count();
            }
            fleet.now += STEP;
        }
        expect_that!(f64::from(sent as u32) / f64::from(asked as u32), ge(0.75), "{count} entries");
    }
}

#[gtest]
fn unchanged_record_that_is_read_again_does_not_extend_a_cold_period() {
    let mut fleet = Fleet::new(1);
    fleet.all_learn(COLD, 2);
    for _ in 0..3 {
        fleet.run(1000, |_, _| false, everybody);
        fleet.all_learn(COLD, 2);
    }
    let entry = &mut fleet.entries[0];
    let sent = (0..100).filter(|_| entry.send(fleet.now)).count();
    expect_that!(sent, eq(100));
}

/// The server's record is on its way: the store turns the entries away, others tell them of the order.
#[gtest]
fn server_of_a_returning_failure_domain_is_not_flooded_before_its_cold_record_comes() {
    for count in FLEETS {
        let mut fleet = Fleet::new(count);
        fleet.all_learn(Duration::ZERO, 2);
        let first = DomainKey::from(&zone(0));
        for entry in &mut fleet.entries {
            let clock = entry.clock(0);
            entry.table.set_evacuated_domains(clock, [first].into());
        }
        fleet.run(5000, |_, _| true, everybody);
        expect_that!(fleet.sent, is_empty());
        let now = fleet.now;
        for entry in &mut fleet.entries {
            let clock = entry.clock(now);
            entry.table.set_evacuated_domains(clock, BTreeSet::new());
        }
        fleet.run(1200, |_, _| true, everybody);
        fleet.all_learn(COLD, 3);
        fleet.run(2900, |_, _| true, everybody);
        expect_that!(fleet.worst_second(), le(MAX_IN_A_SECOND), "{count} entries");
    }
}

/// Attempts of one entry in a second at a server that answers each at once that it is another one.
#[gtest]
fn server_at_the_address_of_an_earlier_one_is_not_flooded_with_requests_for_that_one() {
    let mut fleet = Fleet::new(1);
    fleet.all_learn(Duration::ZERO, 2);
    let mut tries = 0;
    for now in (0..1000).step_by(STEP as usize) {
        let entry = &mut fleet.entries[0];
        let Some(server) = entry.choose(now) else { continue };
        let clock = entry.clock(now);
        entry.table.begin(&server.id, 0);
        entry.table.end(clock, &server.id, ServerOutcome::Misdirected);
        tries += 1;
    }
    expect_that!(tries, eq(1));
    // A newer record shows that the server is there.
    fleet.now = 1000;
    fleet.all_learn(Duration::ZERO, 3);
    expect_that!(fleet.entries[0].choose(1000), some(anything()));
}

#[gtest]
fn server_whose_address_a_newer_record_has_is_not_chosen() {
    let mut fleet = Fleet::new(1);
    fleet.all_learn(Duration::ZERO, 2);
    let entry = &mut fleet.entries[0];
    let clock = entry.clock(0);
    let earlier = entry.choose(0).expect("the server is warm");
    entry.table.set(clock, record("newer", 0, Duration::ZERO), revision(3));
    // The connection to the earlier one was being opened.
    expect_that!(entry.table.check_eligibility(clock, &earlier), err(eq(Ineligible::Gone)));
    expect_that!(entry.choose(0).map(|server| server.id.to_string()), some(eq("newer")));
    let query_newer_only = |entry: &Entry| {
        (0..64).filter_map(|now| entry.choose(now)).all(|server| &*server.id.0 == "newer")
    };
    expect_that!(query_newer_only(entry), eq(true));
}

/// Remaining cold time of the server as entry `number` knows it.
fn remaining(fleet: &Fleet, number: usize) -> Duration {
    let entry = &fleet.entries[number];
    let server = entry.table.cold_view_of(entry.clock(fleet.now), &ServerId("cold".into()));
    server.map_or(Duration::ZERO, |cold| cold.remaining)
}

#[gtest]
fn own_word_of_a_server_goes_before_records_and_reaches_other_entries() {
    let mut fleet = Fleet::new(2);
    fleet.all_learn(Duration::ZERO, 2);
    let server = fleet.entries[0].choose(0).expect("the server is warm");
    let say = |fleet: &mut Fleet, cold: Duration| {
        let entry = &mut fleet.entries[0];
        entry.table.record_cold(entry.clock(fleet.now), &server, cold);
    };
    let tell = |fleet: &mut Fleet| {
        let [from, to] = [0, 1].map(|number| fleet.entries[number].clock(fleet.now));
        let notices = fleet.entries[0].table.recent_cold(from);
        fleet.entries[1].table.merge_cold(to, &notices);
        let back = fleet.entries[1].table.recent_cold(to);
        fleet.entries[0].table.merge_cold(from, &back);
        notices.len()
    };
    say(&mut fleet, COLD);
    expect_that!(tell(&mut fleet), eq(1));
    expect_that!([0, 1].map(|number| remaining(&fleet, number)), eq([COLD, COLD]));
    // A record that is older than the word takes nothing back; notices that go round extend nothing.
    fleet.now = 400;
    fleet.all_learn(Duration::ZERO, 3);
    tell(&mut fleet);
    let rest = COLD - Duration::from_millis(400);
    expect_that!([0, 1].map(|number| remaining(&fleet, number)), eq([rest, rest]));
    // An announcement is told for a second, unless the end moves.
    fleet.now = 1100;
    say(&mut fleet, Duration::from_millis(1900));
    expect_that!(tell(&mut fleet), eq(0));
    say(&mut fleet, COLD);
    expect_that!(tell(&mut fleet), eq(1));
    // The server knows best that it is warm; a record may say later that it is cold again.
    say(&mut fleet, Duration::ZERO);
    expect_that!(remaining(&fleet, 0), eq(Duration::ZERO));
    fleet.learn(0, COLD, 4);
    expect_that!(remaining(&fleet, 0), eq(COLD));
    // A value without sense does not limit the server for good.
    say(&mut fleet, Duration::from_millis(u64::MAX));
    expect_that!(remaining(&fleet, 0), le(Duration::from_secs(600)));
}

/// Tries of all entries, which begin within 1.2 s as after failed connections, at a server that is gone.
fn misdirected_tries(count: usize) -> Fleet {
    let mut random = SmallRng::seed_from_u64(count as u64);
    let begin: Vec<u64> = (0..count).map(|_| random.random_range(0..120) * STEP).collect();
    let mut fleet = Fleet::new(count);
    fleet.all_learn(Duration::ZERO, 2);
    for now in (0..4000).step_by(STEP as usize) {
        let begun = fleet.entries.iter_mut().zip(&begin).filter(|(_, begin)| **begin <= now);
        for (entry, _) in begun {
            let Some(server) = entry.choose(now) else { continue };
            let clock = entry.clock(now);
            entry.table.begin(&server.id, 0);
            entry.table.end(clock, &server.id, ServerOutcome::Misdirected);
            fleet.sent.push(now);
        }
        if now.is_multiple_of(100) {
            let recent = |entry: &Entry| entry.table.recent_misdirected(entry.clock(now));
            let recent = fleet.entries.iter().flat_map(recent);
            let notices: Vec<_> = recent.min_by_key(|notice| notice.age).into_iter().collect();
            for entry in &mut fleet.entries {
                let _ = entry.table.merge_misdirected(entry.clock(now), &notices);
            }
        }
    }
    fleet
}

#[gtest]
fn entries_that_learn_from_each_other_do_not_flood_the_server_at_the_address_of_an_earlier_one() {
    // The last one stands for the entries of one of three failure domains, of 546.
    for count in [1, 7, 34, 182] {
        let fleet = misdirected_tries(count);
        expect_that!(fleet.worst_second(), le(MAX_IN_A_SECOND), "{count} entries");
    }
}
