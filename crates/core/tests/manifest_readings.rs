//! Which manifest several readings confirm, when some of them are spoilt.

use googletest::prelude::*;
use headlatch_core::direct::manifest_readings::{ManifestReadings, check_against_plan};
use headlatch_outside::engine::{PieceDigest, PieceManifest, VersionRequest};
use headlatch_types::traffic::{EngineCapacity, WeightVersion};
use proptest::prelude::*;

const PIECES: usize = 8;

fn manifest() -> PieceManifest {
    PieceManifest {
        model: "m".parse().expect("a name"),
        version: WeightVersion(2),
        piece_bytes: 32,
        layers: 4,
        digests: (0..PIECES as u8).map(|number| PieceDigest([number; 32])).collect(),
    }
}

fn with_wrong_digest(at: usize, wrong: u8) -> PieceManifest {
    let mut manifest = manifest();
    manifest.digests[at] = PieceDigest([wrong; 32]);
    manifest
}

#[gtest]
#[test]
fn two_readings_that_agree_confirm_a_manifest() {
    let mut readings = ManifestReadings::default();
    expect_that!(readings.add(manifest()), none());
    expect_that!(readings.add(manifest()), some(eq(&manifest())));
}

/// Each reading alone is wrong, and a reader that waits for two equal ones would wait for ever.
#[gtest]
#[test]
fn readings_that_are_wrong_in_different_places_confirm_the_rest() {
    let mut readings = ManifestReadings::default();
    expect_that!(readings.add(with_wrong_digest(1, 100)), none());
    expect_that!(readings.add(with_wrong_digest(5, 101)), none());
    expect_that!(readings.disputed(), elements_are![eq(&1), eq(&5)]);
    expect_that!(readings.add(with_wrong_digest(7, 102)), some(eq(&manifest())));
}

/// A manifest with half of the digests must not count as the beginning of a whole one.
#[gtest]
#[test]
fn a_shorter_reading_confirms_nothing() {
    let mut short = manifest();
    short.digests.truncate(PIECES / 2);
    let mut readings = ManifestReadings::default();
    expect_that!(readings.add(short.clone()), none());
    expect_that!(readings.add(manifest()), none());
    expect_that!(readings.disputed().len(), eq(PIECES / 2));
    expect_that!(readings.add(manifest()), some(eq(&manifest())));
}

#[gtest]
#[test]
fn readings_of_another_version_do_not_count() {
    let newer = PieceManifest { version: WeightVersion(3), ..manifest() };
    let mut readings = ManifestReadings::default();
    expect_that!(readings.add(manifest()), none());
    expect_that!(readings.add(newer.clone()), none());
    expect_that!(readings.add(newer.clone()), some(eq(&newer)));
}

/// A version that the store names again after it has fallen back was requested by its number for ever.
#[gtest]
#[test]
fn the_first_reading_of_the_newest_version_known_is_of_the_newest_at_the_origin() {
    let (mut readings, model) = (ManifestReadings::default(), manifest().model);
    let next = |readings: &ManifestReadings, version, is_newest| {
        readings.next_request(&model, WeightVersion(version), is_newest)
    };
    expect_that!(next(&readings, 2, true), eq(VersionRequest::Newest));
    expect_that!(next(&readings, 2, false), eq(VersionRequest::Exactly(WeightVersion(2))));
    let newer = PieceManifest { version: WeightVersion(9), ..manifest() };
    expect_that!(readings.add(newer), none());
    // What was read is confirmed by its number, whether or not it is what was asked for.
    expect_that!(next(&readings, 2, true), eq(VersionRequest::Exactly(WeightVersion(9))));
    expect_that!(next(&readings, 10, true), eq(VersionRequest::Newest));
    readings.clear();
    expect_that!(next(&readings, 2, true), eq(VersionRequest::Newest));
}

#[gtest]
#[test]
fn figures_that_the_plan_lacks_are_not_checked() {
    let engine = EngineCapacity { pieces: PIECES as u32 + 1, ..EngineCapacity::default() };
    let error = check_against_plan(&manifest(), &engine).expect_err("it has a digest less");
    expect_that!(error.to_string(), eq("the manifest gives 8 digests where the plan has 9"));
    expect_that!(check_against_plan(&manifest(), &EngineCapacity::default()), ok(eq(&())));
}

proptest! {
    /// Readings with wrong digests of their own, in any order, never confirm a wrong manifest.
    #[test]
    fn differing_errors_confirm_no_wrong_manifest(
        places in prop::collection::vec(prop::option::of(0..PIECES), 1..20),
    ) {
        let mut readings = ManifestReadings::default();
        for (wrong, place) in (100..).zip(places) {
            let reading = place.map_or_else(manifest, |at| with_wrong_digest(at, wrong));
            if let Some(confirmed) = readings.add(reading) {
                prop_assert_eq!(confirmed, manifest());
            }
        }
    }
}
