//! Positions in the history of a store that may come back from an older copy.

use googletest::prelude::*;
use headlatch_types::store::{StoreEra, StoreRevision};

fn position(era: u16, number: u64) -> StoreRevision {
    StoreRevision::new(StoreEra::new(era), number).expect("revision in range")
}

#[gtest]
fn later_era_is_newer_than_any_revision_of_an_earlier_one() {
    expect_that!(position(0, 7), lt(position(0, 8)));
    expect_that!(position(0, StoreRevision::MAX_NUMBER), lt(position(1, 0)));
    expect_that!(position(1, 5), lt(position(2, 4)));
    expect_that!(StoreEra::new(3).start(), eq(position(3, 0)));
}

/// Processes of an earlier release send and compare bare revisions.
#[gtest]
fn revision_of_the_first_era_is_a_bare_number_on_the_wire() {
    expect_that!(position(0, 97).to_wire(), eq(97));
    expect_that!(position(1, 4).to_wire(), gt(97));
    for revision in [position(0, 97), position(1, 4), position(u16::MAX, 9)] {
        expect_that!(StoreRevision::from_wire(revision.to_wire()), eq(revision));
    }
    let (era, number) = (position(2, 9).era(), position(2, 9).number());
    expect_that!((era, number), eq((StoreEra::new(2), 9)));
}

#[gtest]
fn revision_beyond_the_range_is_rejected_with_its_limit() {
    let error = StoreRevision::new(StoreEra::new(1), u64::MAX).expect_err("out of range");
    expect_that!(error.to_string(), eq("revision 18446744073709551615 exceeds 281474976710655"));
    expect_that!("7".parse::<StoreEra>().ok(), some(eq(StoreEra::new(7))));
    for text in ["", "-1", "65536", "soon", "1, 2"] {
        expect_that!(text.parse::<StoreEra>(), err(anything()), "{text:?}");
    }
}
