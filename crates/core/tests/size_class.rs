//! Classes of request sizes within their kind.

use std::sync::Arc;

use googletest::prelude::*;
use headlatch_core::direct::size_class::{SizeClass, SizeRanks};
use headlatch_types::quantity::ByteSize;

#[gtest]
fn sizes_are_ranked_within_their_own_kind() {
    let mut ranks = SizeRanks::default();
    let (short, long): (Arc<str>, Arc<str>) = ("short".into(), "long".into());
    for size in 1..=100 {
        let _ = ranks.record(&short, ByteSize::from_bytes(size));
        let _ = ranks.record(&long, ByteSize::from_bytes(size * 1000));
    }
    let mut class = |kind, size| ranks.record(kind, ByteSize::from_bytes(size));
    expect_that!(class(&short, 95), eq(SizeClass::LargestTenth));
    expect_that!(class(&short, 80), eq(SizeClass::NextFifth));
    expect_that!(class(&short, 60), eq(SizeClass::UpperHalf));
    expect_that!(class(&short, 20), eq(SizeClass::LowerHalf));
    expect_that!(class(&long, 95), eq(SizeClass::LowerHalf));
    expect_that!(class(&long, 95_000), eq(SizeClass::LargestTenth));
}

#[gtest]
fn requests_of_equal_size_are_never_large() {
    let mut ranks = SizeRanks::default();
    let kind: Arc<str> = "empty".into();
    let classes: Vec<SizeClass> =
        (0..100).map(|_| ranks.record(&kind, ByteSize::from_bytes(0))).collect();
    expect_that!(&classes[50..], each(not(eq(&SizeClass::LargestTenth))));
    expect_that!(&classes[50..], each(not(eq(&SizeClass::NextFifth))));
}

#[gtest]
fn ranks_follow_changing_sizes() {
    let mut ranks = SizeRanks::default();
    let kind: Arc<str> = "drafts".into();
    (0..300).for_each(|_| _ = ranks.record(&kind, ByteSize::from_bytes(100)));
    (1..=300).for_each(|size| _ = ranks.record(&kind, ByteSize::from_bytes(size * 1000)));
    expect_that!(ranks.record(&kind, ByteSize::from_bytes(60_000)), eq(SizeClass::LowerHalf));
    expect_that!(ranks.record(&kind, ByteSize::from_bytes(299_000)), eq(SizeClass::LargestTenth));
}
