//! Quarantine of prompt parts under which servers end: which are refused, which are not, and how
//! entries agree.

use std::time::Duration;

use googletest::prelude::*;
use headlatch_core::{
    direct::{
        suspect_parts::{
            MAX_PART_NOTICES, MAX_QUARANTINED_PARTS, MAX_SUSPECT_PARTS, PART_QUARANTINE_TIME,
            PartChange, PartNotice, PartTable,
        },
        suspects::{LifeKey, ProgressAtEnd, SuspectTable},
    },
    time::Moment,
};
use headlatch_types::request::{PartKey, RequestDigest};

const HARMFUL: PartKey = PartKey(0xbad);
const FIRST: PartKey = PartKey(1);

fn at(millis: u64) -> Moment {
    Moment::from_micros(millis * 1000)
}

/// A table of an entry that has seen other requests answered.
fn table() -> PartTable {
    let mut table = PartTable::default();
    for number in 0..10 {
        sound(&mut table, 1, 0x5000 + number);
    }
    table
}

fn end(table: &mut PartTable, millis: u64, life: u32, parts: &[u64]) -> Vec<PartChange> {
    let parts: Vec<PartKey> = parts.iter().copied().map(PartKey).collect();
    table.record_server_end(at(millis), &parts, LifeKey(life))
}

fn sound(table: &mut PartTable, millis: u64, part: u64) {
    let _ = table.record_sound_answer(at(millis), &[PartKey(part)], at(millis));
}

fn refused(changes: &[PartChange]) -> Vec<u64> {
    let refused = changes.iter().filter_map(|change| match change {
        PartChange::Refused(verdict) => Some(verdict.part.0),
        PartChange::Released { .. } => None,
    });
    refused.collect()
}

fn send_notices(from: &PartTable, to: &mut PartTable, millis: u64) {
    let _ = to.apply(at(millis), &from.notices(at(millis)));
}

/// Ends servers under the harmful part until it is refused, from `millis` on.
fn refuse_harmful(table: &mut PartTable, millis: u64) {
    for number in 0..3 {
        end(table, millis + number * 150, number as u32, &[HARMFUL.0, 0x7000 + number]);
    }
}

#[gtest]
fn a_part_of_requests_that_differ_is_refused_after_three_ends() {
    let mut table = table();
    expect_that!(end(&mut table, 1000, 1, &[HARMFUL.0, 10]), is_empty());
    expect_that!(end(&mut table, 1150, 2, &[HARMFUL.0, 11]), is_empty());
    expect_that!(refused(&end(&mut table, 1300, 3, &[HARMFUL.0, 12])), eq(&vec![HARMFUL.0]));
    expect_that!(table.is_refused(at(1300), HARMFUL), eq(true));
    expect_that!(table.is_refused(at(1300), PartKey(12)), eq(false));
}

/// Each end has a dozen sound requests with other parts in progress, on every server at least one of them.
#[gtest]
fn a_part_in_every_request_is_not_refused_for_what_another_one_does() {
    let mut table = table();
    for number in 0..12 {
        let millis = 1000 + number * 100;
        end(&mut table, millis, number as u32, &[FIRST.0, HARMFUL.0, 0x7000 + number]);
        sound(&mut table, millis + 50, FIRST.0);
    }
    expect_that!(table.is_refused(at(2200), HARMFUL), eq(true));
    expect_that!(table.is_refused(at(2200), FIRST), eq(false));
}

#[gtest]
fn nothing_is_refused_before_sound_answers_give_a_contrast() {
    let mut table = PartTable::default();
    // Answers to requests without parts tell nothing.
    for _ in 0..10 {
        let _ = table.record_sound_answer(at(900), &[], at(900));
    }
    for number in 0..10 {
        end(&mut table, 1000 + number * 100, number as u32, &[FIRST.0, HARMFUL.0]);
    }
    expect_that!(table.refused(at(2000)), is_empty());
    for number in 0..10 {
        sound(&mut table, 2000, 0x5000 + number);
    }
    sound(&mut table, 2050, FIRST.0);
    expect_that!(refused(&end(&mut table, 2100, 20, &[FIRST.0, HARMFUL.0])), eq(&vec![HARMFUL.0]));
}

/// Servers that lose their power together, several times in a row.
#[gtest]
fn a_rare_part_is_not_refused_after_herds_of_ends() {
    let mut table = table();
    for herd in 0..8 {
        for server in 0..12 {
            let (millis, life) = (1000 + herd * 2000 + server * 3, herd * 100 + server);
            let parts = if server == 0 { vec![7, 0x7000 + life] } else { vec![0x7000 + life] };
            end(&mut table, millis, life as u32, &parts);
        }
        expect_that!(table.refused(at(1100 + herd * 2000)), is_empty(), "herd {herd}");
    }
}

#[gtest]
fn a_part_that_was_sound_before_is_refused_after_more_ends() {
    let mut table = table();
    sound(&mut table, 1000, HARMFUL.0);
    for number in 0..5 {
        end(&mut table, 3000 + number * 100, number as u32, &[HARMFUL.0]);
    }
    expect_that!(table.is_refused(at(3500), HARMFUL), eq(false));
    end(&mut table, 3500, 5, &[HARMFUL.0]);
    expect_that!(table.is_refused(at(3500), HARMFUL), eq(true));
}

#[gtest]
fn a_part_that_was_refused_wrongly_is_free_once_another_one_explains_its_ends() {
    let mut table = table();
    for life in 1..4 {
        end(&mut table, 1000 + u64::from(life) * 150, life, &[7]);
    }
    expect_that!(table.is_refused(at(1500), PartKey(7)), eq(true));
    // The entry that sent the harmful requests is heard later.
    let ended = |life| PartNotice::Ended {
        part: HARMFUL,
        life: LifeKey(life),
        age: Duration::from_millis(200),
    };
    for life in 1..8 {
        let _ = table.apply(at(1600 + u64::from(life)), &[ended(life)]);
    }
    expect_that!(table.is_refused(at(1700), HARMFUL), eq(true));
    expect_that!(table.is_refused(at(1700), PartKey(7)), eq(false));
    // Others that go on saying so are not believed, and hear of it.
    let stale = PartNotice::Refused { part: PartKey(7), left: Duration::from_secs(500) };
    expect_that!(table.apply(at(1800), &[stale]), is_empty());
    let told = PartNotice::Released { part: PartKey(7) };
    expect_that!(table.notices(at(1800)).contains(&told), eq(true));
}

/// A part of all requests may be held against ends that have another cause, while no sound answer is left.
#[gtest]
fn a_part_that_was_sound_before_is_tried_again_soon() {
    let mut table = table();
    sound(&mut table, 1000, FIRST.0);
    for number in 0..8 {
        end(&mut table, 3000 + number * 100, number as u32, &[FIRST.0]);
    }
    expect_that!(table.is_refused(at(3800), FIRST), eq(true));
    expect_that!(table.is_refused(at(9000), FIRST), eq(false));
    end(&mut table, 9100, 20, &[FIRST.0]);
    expect_that!(table.is_refused(at(9100), FIRST), eq(false));
    for number in 0..3 {
        end(&mut table, 9200 + number * 200, 21 + number as u32, &[FIRST.0]);
    }
    expect_that!(table.is_refused(at(18_000), FIRST), eq(true), "twice as long");
    expect_that!(table.is_refused(at(20_000), FIRST), eq(false));
    sound(&mut table, 20_500, FIRST.0);
    expect_that!(table.refused(at(20_500)), is_empty());
}

/// A request that was in progress at ends which a refused part explains.
#[gtest]
fn a_content_refused_on_explained_ends_alone_is_free_again() {
    let mut requests = SuspectTable::default();
    let (sound, harmful) = (RequestDigest(1), RequestDigest(2));
    for (millis, life) in [(1000, 1), (1300, 2)] {
        let (now, life) = (at(millis), LifeKey(life));
        let _ = requests.record_server_end(now, sound, life, ProgressAtEnd::Silent);
    }
    for (millis, life) in [(1000, 8), (1300, 9)] {
        let (now, life) = (at(millis), LifeKey(life));
        let _ = requests.record_server_end(now, harmful, life, ProgressAtEnd::Silent);
    }
    expect_that!(requests.is_refused(at(1400), sound), eq(true));
    let explained = [1, 2, 3].map(LifeKey).into_iter().collect();
    expect_that!(requests.remove_explained_ends(at(1400), &explained), eq(&vec![(sound, true)]));
    expect_that!(requests.is_refused(at(1400), sound), eq(false));
    expect_that!(requests.is_refused(at(1400), harmful), eq(true));
}

/// A refused part is tried again after ten minutes, and costs one server more if it still ends them.
#[gtest]
fn a_verdict_ends_by_itself_and_is_renewed_by_one_end() {
    let mut table = table();
    refuse_harmful(&mut table, 1000);
    let over = 1300 + PART_QUARANTINE_TIME.as_millis() as u64;
    expect_that!(table.is_refused(at(over - 1), HARMFUL), eq(true));
    expect_that!(table.is_refused(at(over), HARMFUL), eq(false));
    table.remove_expired(at(over));
    expect_that!(refused(&end(&mut table, over + 500, 50, &[HARMFUL.0])), eq(&vec![HARMFUL.0]));
    let again = over + 500 + PART_QUARANTINE_TIME.as_millis() as u64;
    sound(&mut table, again + 10, HARMFUL.0);
    expect_that!(end(&mut table, again + 5000, 60, &[HARMFUL.0]), is_empty());
}

/// An answer that was in progress when its part was refused shows that the verdict was wrong.
#[gtest]
fn a_sound_answer_in_progress_at_the_verdict_releases_the_part() {
    let (mut first, mut second) = (table(), table());
    refuse_harmful(&mut first, 1000);
    send_notices(&first, &mut second, 1350);
    expect_that!(second.is_refused(at(1400), HARMFUL), eq(true));
    let released = second.record_sound_answer(at(1900), &[HARMFUL], at(1290));
    expect_that!(released, eq(&vec![PartChange::Released { part: HARMFUL, seen: false }]));
    send_notices(&second, &mut first, 1950);
    expect_that!(first.is_refused(at(1960), HARMFUL), eq(false));
}

#[gtest]
fn ends_seen_by_different_entries_add_up_and_late_entries_learn_the_verdict() {
    let mut entries = [table(), table(), table()];
    for number in 0..3 {
        let millis = 1000 + number * 150;
        end(&mut entries[number as usize], millis, number as u32, &[HARMFUL.0, 0x7000 + number]);
        for from in 0..3 {
            let sender = entries[from].clone();
            entries.iter_mut().for_each(|to| send_notices(&sender, to, millis + 100));
        }
    }
    for entry in &entries {
        expect_that!(entry.is_refused(at(1500), HARMFUL), eq(true));
        expect_that!(entry.refused(at(1500)).len(), eq(1));
    }
    let mut late = PartTable::default();
    let learned = (0..).map(|tick| 60_030 + tick * 100).find(|millis| {
        send_notices(&entries[0], &mut late, *millis);
        late.is_refused(at(*millis), HARMFUL)
    });
    expect_that!(learned, some(le(61_030)));
}

/// An entry that hears of an end answers with what it has seen, which may be too old to count a moment later.
#[gtest]
fn a_forgotten_sound_answer_is_not_announced_as_a_new_one() {
    let mut table = table();
    sound(&mut table, 1000, HARMFUL.0);
    let ended = PartNotice::Ended { part: HARMFUL, life: LifeKey(1), age: Duration::ZERO };
    let _ = table.apply(at(60_500), &[ended]);
    let is_sound = |notice: &PartNotice| matches!(notice, PartNotice::Sound { .. });
    expect_that!(table.notices(at(60_600)).iter().any(is_sound), eq(true));
    expect_that!(table.notices(at(61_400)).iter().any(is_sound), eq(false));
}

#[gtest]
fn an_operator_lifts_a_quarantine_everywhere() {
    let (mut first, mut second) = (table(), table());
    refuse_harmful(&mut first, 1000);
    send_notices(&first, &mut second, 1350);
    let released = PartChange::Released { part: HARMFUL, seen: true };
    expect_that!(first.lift(at(1400), HARMFUL), eq(&vec![released]));
    expect_that!(first.lift(at(1400), HARMFUL), is_empty());
    for millis in (1450..3000).step_by(100) {
        send_notices(&first, &mut second, millis);
        send_notices(&second, &mut first, millis);
    }
    expect_that!(first.is_refused(at(3000), HARMFUL), eq(false));
    expect_that!(second.is_refused(at(3000), HARMFUL), eq(false));
}

/// A caller may end servers with ever new parts on purpose.
#[gtest]
fn a_flood_of_invented_parts_is_bounded_and_evicts_no_verdict() {
    let mut table = table();
    refuse_harmful(&mut table, 1000);
    for number in 0..200 {
        let parts: Vec<u64> = (0..64).map(|part| 0x10_0000 + number * 64 + part).collect();
        end(&mut table, 2000 + number * 10, 100 + number as u32, &parts);
    }
    expect_that!(table.len(), le(MAX_SUSPECT_PARTS));
    expect_that!(table.is_refused(at(5000), HARMFUL), eq(true));
    expect_that!(table.notices(at(4100)).len(), le(MAX_PART_NOTICES));
    let first = table.notices(at(4100))[0];
    expect_that!(first.part(), eq(HARMFUL), "{first:?}");
    for number in 0..400u64 {
        let left = Duration::from_secs(60);
        let _ = table.record_quarantine(at(6000 + number), PartKey(0x20_0000 + number), left);
    }
    expect_that!(table.refused(at(7000)).len(), le(MAX_QUARANTINED_PARTS));
    expect_that!(table.is_refused(at(7000), HARMFUL), eq(true));
}
