//! Quarantine of requests under which servers end: which requests are refused, which are not, and
//! how entries agree.

use std::time::Duration;

use googletest::prelude::*;
use headlatch_core::{
    direct::suspects::{
        LifeKey, MAX_NOTICES, MAX_QUARANTINED, MAX_SUSPECTS, ProgressAtEnd, QUARANTINE_TIME,
        SuspectChange, SuspectNotice, SuspectTable,
    },
    time::Moment,
};
use headlatch_types::request::RequestDigest;
use rand::{Rng, SeedableRng, rngs::SmallRng};

const HARMFUL: RequestDigest = RequestDigest(1);

fn at(millis: u64) -> Moment {
    Moment::from_micros(millis * 1000)
}

fn end(table: &mut SuspectTable, millis: u64, digest: u64, life: u32, run: ProgressAtEnd) -> bool {
    let change = table.record_server_end(at(millis), RequestDigest(digest), LifeKey(life), run);
    matches!(change, SuspectChange::Refused { .. })
}

fn silent(table: &mut SuspectTable, millis: u64, digest: u64, life: u32) -> bool {
    end(table, millis, digest, life, ProgressAtEnd::Silent)
}

/// Delivers all notices of `from` to `to`.
fn send_notices(from: &SuspectTable, to: &mut SuspectTable, millis: u64) {
    for notice in from.notices(at(millis)) {
        let _ = to.apply(at(millis), notice);
    }
}

#[gtest]
fn a_request_without_output_is_refused_after_two_ends() {
    let mut table = SuspectTable::default();
    expect_that!(silent(&mut table, 0, 1, 1), eq(false));
    expect_that!(table.is_refused(at(1), HARMFUL), eq(false));
    expect_that!(silent(&mut table, 300, 1, 2), eq(true));
    expect_that!(table.record_arrival(at(400), HARMFUL), some(eq(QUARANTINE_TIME)));
    expect_that!(table.record_arrival(at(400), RequestDigest(2)), none());
}

#[gtest]
fn a_request_with_partial_output_is_refused_after_three_ends() {
    let mut table = SuspectTable::default();
    expect_that!(end(&mut table, 0, 1, 1, ProgressAtEnd::Begun), eq(false));
    expect_that!(silent(&mut table, 300, 1, 2), eq(false));
    expect_that!(end(&mut table, 600, 1, 3, ProgressAtEnd::Begun), eq(true));
}

/// Several entries may observe the same end and hear of it again from others.
#[gtest]
fn an_end_reported_twice_counts_once() {
    let mut table = SuspectTable::default();
    for millis in 0..50 {
        expect_that!(silent(&mut table, millis, 1, 1), eq(false));
    }
    let ended =
        SuspectNotice::Ended { digest: HARMFUL, life: LifeKey(1), run: ProgressAtEnd::Silent };
    expect_that!(table.apply(at(60), ended), eq(&SuspectChange::None));
    expect_that!(table.is_refused(at(60), HARMFUL), eq(false));
}

#[gtest]
fn a_completed_run_clears_a_suspect() {
    let mut table = SuspectTable::default();
    silent(&mut table, 0, 1, 1);
    expect_that!(table.record_completion(at(100), HARMFUL), eq(&SuspectChange::None));
    // After a completed run the request does not become a suspect again, however many servers end
    // at once.
    for life in 2..10 {
        expect_that!(silent(&mut table, 200, 1, life), eq(false));
    }
    // A minute later it is treated like any other request.
    silent(&mut table, 61_000, 1, 11);
    expect_that!(silent(&mut table, 61_300, 1, 12), eq(true));
}

#[gtest]
fn a_quarantine_expires_after_the_last_arrival() {
    let mut table = SuspectTable::default();
    silent(&mut table, 0, 1, 1);
    silent(&mut table, 300, 1, 2);
    let half = QUARANTINE_TIME.as_millis() as u64 / 2;
    expect_that!(table.record_arrival(at(half), HARMFUL), some(anything()));
    expect_that!(table.is_refused(at(half * 2 + 1000), HARMFUL), eq(true));
    expect_that!(table.record_arrival(at(half * 3 + 1000), HARMFUL), none());
    table.remove_expired(at(half * 3 + 1000));
    expect_that!(table.is_empty(), eq(true));
}

/// A caller may terminate servers with many different requests on purpose.
#[gtest]
fn a_flood_of_suspects_is_bounded_and_keeps_refused_requests() {
    let mut table = SuspectTable::default();
    silent(&mut table, 0, 1, 1);
    silent(&mut table, 300, 1, 2);
    for number in 0..20_000 {
        silent(&mut table, 301 + number / 10, 100 + number, number as u32);
    }
    expect_that!(table.len(), le(MAX_SUSPECTS));
    expect_that!(table.is_refused(at(3000), HARMFUL), eq(true));
    for number in 0..1_000 {
        silent(&mut table, 4000, 100_000 + number, 1);
        silent(&mut table, 4300 + number, 100_000 + number, 2);
    }
    expect_that!(table.refused(at(6000)).len(), le(MAX_QUARANTINED));
    expect_that!(table.is_refused(at(6000), RequestDigest(100_999)), eq(true), "the newest");
    expect_that!(table.notices(at(6000)).len(), le(MAX_NOTICES));
}

#[gtest]
fn ends_seen_by_different_entries_add_up() {
    let (mut first, mut second) = (SuspectTable::default(), SuspectTable::default());
    silent(&mut first, 0, 1, 1);
    send_notices(&first, &mut second, 100);
    silent(&mut second, 400, 1, 2);
    expect_that!(second.is_refused(at(400), HARMFUL), eq(true));
    send_notices(&second, &mut first, 500);
    expect_that!(first.is_refused(at(500), HARMFUL), eq(true));
}

/// An entry that starts late or was partitioned learns of a quarantine from any other entry within
/// 1.2 s.
#[gtest]
fn an_uninformed_entry_learns_refused_requests_within_a_second() {
    let (mut first, mut late) = (SuspectTable::default(), SuspectTable::default());
    silent(&mut first, 0, 1, 1);
    silent(&mut first, 300, 1, 2);
    let from = 60_030;
    let learned_at = (0..).map(|tick| from + tick * 100).find(|millis| {
        send_notices(&first, &mut late, *millis);
        late.is_refused(at(*millis), HARMFUL)
    });
    expect_that!(learned_at, some(le(from + 1000)));
    // Repeated notices do not prolong the quarantine.
    let left = |table: &SuspectTable, millis| table.refused(at(millis))[0].left;
    for millis in (61_000..90_000).step_by(100) {
        send_notices(&first, &mut late, millis);
        send_notices(&late, &mut first, millis);
    }
    expect_that!(left(&first, 90_000), le(QUARANTINE_TIME - Duration::from_millis(89_700)));
    expect_that!(left(&late, 90_000), le(QUARANTINE_TIME - Duration::from_millis(89_700)));
}

/// Failure domains that are partitioned count separately and merge their counts afterwards.
#[gtest]
fn counts_are_merged_after_a_partition() {
    let (mut here, mut there) = (SuspectTable::default(), SuspectTable::default());
    for (life, table) in [(1, &mut here), (2, &mut there)] {
        end(table, 0, 1, life, ProgressAtEnd::Begun);
        end(table, 100, 1, life + 10, ProgressAtEnd::Begun);
    }
    expect_that!(here.is_refused(at(6000), HARMFUL), eq(false));
    for millis in (6000..7100).step_by(100) {
        send_notices(&there, &mut here, millis);
        send_notices(&here, &mut there, millis);
    }
    expect_that!(here.is_refused(at(7100), HARMFUL), eq(true));
    expect_that!(there.is_refused(at(7100), HARMFUL), eq(true));
}

/// A request that many callers send is in progress on every server of its service. If several of
/// them are lost at once, all entries see ends under it at the same time.
#[gtest]
fn a_request_that_completed_at_one_entry_is_served_by_all() {
    let (mut informed, mut suspecting) = (SuspectTable::default(), SuspectTable::default());
    let _ = informed.record_completion(at(0), HARMFUL);
    for life in 1..4 {
        silent(&mut suspecting, 1000, 1, life);
    }
    expect_that!(suspecting.is_refused(at(1000), HARMFUL), eq(true));
    send_notices(&suspecting, &mut informed, 1100);
    expect_that!(informed.is_refused(at(1100), HARMFUL), eq(false));
    send_notices(&informed, &mut suspecting, 1200);
    expect_that!(suspecting.is_refused(at(1200), HARMFUL), eq(false));
    // Stale notices about it are ignored.
    let refused = SuspectNotice::Refused { digest: HARMFUL, left: QUARANTINE_TIME };
    expect_that!(suspecting.apply(at(1300), refused), eq(&SuspectChange::None));
}

#[gtest]
fn an_operator_can_lift_a_quarantine_and_counting_restarts() {
    let (mut first, mut second) = (SuspectTable::default(), SuspectTable::default());
    silent(&mut first, 0, 1, 1);
    silent(&mut first, 300, 1, 2);
    send_notices(&first, &mut second, 400);
    expect_that!(first.lift(at(1000), HARMFUL), eq(&SuspectChange::Cleared { was_refused: true }));
    send_notices(&first, &mut second, 1100);
    expect_that!(second.is_refused(at(1100), HARMFUL), eq(false));
    silent(&mut first, 2000, 1, 3);
    expect_that!(silent(&mut first, 2300, 1, 4), eq(true));
}

/// Servers lost together end so close to each other that a request may be retried from one to the
/// next.
#[gtest]
fn two_simultaneous_ends_do_not_suffice_but_three_do() {
    let mut table = SuspectTable::default();
    expect_that!(silent(&mut table, 0, 1, 1), eq(false));
    expect_that!(silent(&mut table, 100, 1, 2), eq(false));
    expect_that!(silent(&mut table, 150, 1, 3), eq(true));
}

/// Simulated entries whose requests run on servers that end under harmful requests.
struct Simulation {
    entries: Vec<SuspectTable>,
    rng: SmallRng,
    lives: u32,
    /// Number of server ends under harmful requests.
    harmful_ends: u32,
    /// Number of harmless requests refused, and number of all harmless requests.
    refused: u32,
    harmless: u32,
}

/// Harmless requests in progress on each server when it ends.
const HARMLESS_PER_SERVER: usize = 12;

impl Simulation {
    fn new(seed: u64, entries: usize) -> Self {
        let rng = SmallRng::seed_from_u64(seed);
        let entries = vec![SuspectTable::default(); entries];
        Self { entries, rng, lives: 0, harmful_ends: 0, refused: 0, harmless: 0 }
    }

    /// Ends a server: every request it had becomes a suspect at the entry that sent it.
    fn end_server(&mut self, now: Moment, requests: &[(usize, RequestDigest, ProgressAtEnd)]) {
        self.lives += 1;
        for (entry, digest, run) in requests {
            let _ = self.entries[*entry].record_server_end(now, *digest, LifeKey(self.lives), *run);
        }
    }

    /// Exchanges notices between all entries; each one is lost with a probability of one in ten.
    fn exchange_notices(&mut self, now: Moment) {
        for from in 0..self.entries.len() {
            for notice in self.entries[from].notices(now) {
                for to in 0..self.entries.len() {
                    if to != from && self.rng.random_bool(0.9) {
                        let _ = self.entries[to].apply(now, notice);
                    }
                }
            }
        }
    }

    /// Retries harmless requests at the same entry; those that are not refused run to completion.
    fn retry(&mut self, now: Moment, requests: &[(usize, RequestDigest, ProgressAtEnd)]) {
        for (entry, digest, _) in requests {
            self.harmless += 1;
            if self.entries[*entry].is_refused(now, *digest) {
                self.refused += 1;
            } else {
                let _ = self.entries[*entry].record_completion(now, *digest);
            }
        }
    }

    fn harmless_requests(&mut self) -> Vec<(usize, RequestDigest, ProgressAtEnd)> {
        let count = self.entries.len();
        let mut request = || {
            let run = self.run();
            (self.rng.random_range(0..count), RequestDigest(self.rng.random()), run)
        };
        (0..HARMLESS_PER_SERVER).map(|_| request()).collect()
    }

    /// Progress of a random request: one in five is still waiting for its first event.
    fn run(&mut self) -> ProgressAtEnd {
        if self.rng.random_bool(0.8) { ProgressAtEnd::Begun } else { ProgressAtEnd::Silent }
    }
}

/// A harmful request arrives twice a second at a random one of seven entries for forty seconds.
/// Each arrival ends up to two servers with a dozen harmless requests each; two in ten of the
/// harmless ones that are retried are on the second server too.
#[gtest]
fn a_harmful_request_ends_few_servers_and_few_harmless_ones_are_refused() {
    let (mut refused, mut harmless) = (0, 0);
    for seed in 0..20 {
        let mut simulation = Simulation::new(seed, 7);
        for tick in 0..400u64 {
            let now = at(tick * 100);
            simulation.exchange_notices(now);
            if tick % 5 != 0 {
                continue;
            }
            let entry = simulation.rng.random_range(0..7);
            let mut retried = Vec::new();
            for _ in 0..2 {
                if simulation.entries[entry].record_arrival(now, HARMFUL).is_some() {
                    break;
                }
                simulation.harmful_ends += 1;
                let mut requests = simulation.harmless_requests();
                requests.truncate(HARMLESS_PER_SERVER - retried.len());
                requests.append(&mut retried);
                requests.push((entry, HARMFUL, ProgressAtEnd::Silent));
                simulation.end_server(now, &requests);
                requests.pop();
                retried = requests.split_off(HARMLESS_PER_SERVER * 8 / 10);
                retried.iter_mut().for_each(|(_, _, run)| *run = simulation.run());
                simulation.retry(now, &requests);
            }
            simulation.retry(now, &retried);
        }
        expect_that!(simulation.harmful_ends, le(3), "seed {seed}");
        refused += simulation.refused;
        harmless += simulation.harmless;
    }
    // One in fifty of the requests that a harmful one affects.
    expect_that!(refused * 50, le(harmless), "of {harmless}");
    expect_that!(harmless, gt(400));
}

/// Servers crash or are killed in groups, repeatedly, without any harmful request.
#[gtest]
fn no_harmless_request_is_refused_after_correlated_server_ends() {
    for seed in 0..20 {
        let mut simulation = Simulation::new(seed, 7);
        for tick in 0..600u64 {
            let now = at(tick * 100);
            simulation.exchange_notices(now);
            if tick % 50 != 0 {
                continue;
            }
            // Seven of twelve servers end at once; their requests are retried on the others.
            let mut retried = Vec::new();
            for _ in 0..7 {
                let requests = simulation.harmless_requests();
                simulation.end_server(now, &requests);
                retried.extend(requests);
            }
            simulation.retry(now + Duration::from_millis(300), &retried);
        }
        expect_that!(simulation.refused, eq(0), "seed {seed}: of {}", simulation.harmless);
        expect_that!(simulation.harmless, gt(900));
    }
}
