//! Conversion of raw input to checked types: which input is rejected, and which field the error names.

use googletest::prelude::*;
use headlatch_types::{
    Digest, FleetPlan, Manifest, RunVerdict,
    manifest::ManifestBuilder,
    quantity::{ByteRate, ByteSize},
    settings::{DaemonSettings, ServiceUrl},
    verdict::{Repeatability, RetryPermit},
};
use proptest::prelude::*;
use serde_json::{Value, json};

fn valid_fleet() -> Value {
    let digest = Digest::of(b"weights").to_string();
    json!({
        "models": [{
            "name": "llama-8b", "version": "3", "manifest": digest,
            "adapters": [{ "name": "court-nl", "version": "1", "manifest": digest }],
            "replicas": { "ghent": 4 }, "keep_serving": { "ghent": 3 },
        }],
        "services": [{
            "name": "rolls", "prefix": "/rolls",
            "not_repeatable": [{ "method": "POST", "path": "/notices" }],
            "repeatable": [{ "method": "POST", "path": "/search" }],
        }],
        "organisations": [{ "name": "registry", "share": 3 }],
        "burst": { "prefer": "origin-bytes" },
    })
}

fn valid_settings() -> Value {
    json!({
        "box": "entry-1", "domain": "ghent", "region": "flanders",
        "control": "127.0.0.1:7100", "admin": "127.0.0.1:7101",
        "platform": "http://127.0.0.1:7000",
        "entry": { "listen": "127.0.0.1:8080" },
    })
}

/// The JSON text of the value with the field at `pointer` replaced, or removed if `new` is null.
fn with_field(mut value: Value, pointer: &str, new: Value) -> String {
    let (parent, field) = pointer.rsplit_once('/').expect("a pointer has a slash");
    let parent = value.pointer_mut(parent).and_then(Value::as_object_mut).expect("an object");
    match new {
        Value::Null => parent.remove(field),
        new => parent.insert(field.to_owned(), new),
    };
    value.to_string()
}

#[rstest::rstest]
#[case("/models/0/replicas/ghent", json!(0), "models[0].replicas.ghent: 0 is not a replica count")]
#[case("/models/0/keep_serving/ghent", json!(4), "models[0].keep_serving.ghent: 4 must keep")]
#[case("/models/0/manifest", json!("abc"), "models[0].manifest: \"abc\" is not a digest")]
#[case("/models/0/name", json!("a b"), "models[0].name: \"a b\" is not a name")]
#[case("/models/0/location", json!("../up"), "models[0].location: \"../up\" is not a folder")]
#[case("/models/0/colour", json!(1), "models[0].colour: unknown field `colour`")]
#[case("/services/0/prefix", json!("/v1"), "services[0].prefix: \"/v1\" cannot be a prefix")]
#[case("/organisations/0/share", json!(0), "organisations[0].share: 0 is not a share")]
#[case("/burst/prefer", json!("speed"), "burst.prefer: unknown variant `speed`")]
fn fleet_errors_name_the_field(#[case] at: &str, #[case] new: Value, #[case] begins: &str) {
    let error = FleetPlan::parse(&with_field(valid_fleet(), at, new)).expect_err("it is wrong");
    assert_that!(error.to_string(), starts_with(begins));
}

#[rstest::rstest]
#[case("/box", json!(""), "box: \"\" is not a name")]
#[case("/control", json!("localhost:1"), "control: \"localhost:1\" is not an address")]
#[case("/platform", json!("https://x"), "platform: \"https://x\" is not a URL by IP number")]
#[case("/entry/limits", json!({ "body": "4MB" }), "entry.limits.body: \"4MB\" is not a size")]
#[case("/entry/limits", json!({ "requests": 0 }), "entry.limits.requests: 0 would refuse")]
#[case("/entry", Value::Null, "neither entry nor agent is given")]
#[case("/colour", json!(1), "colour: unknown field `colour`")]
fn settings_errors_name_the_field(#[case] at: &str, #[case] new: Value, #[case] begins: &str) {
    let error =
        DaemonSettings::parse(&with_field(valid_settings(), at, new)).expect_err("it is wrong");
    assert_that!(error.to_string(), starts_with(begins));
}

#[test]
fn valid_input_is_accepted() {
    assert_that!(FleetPlan::parse(&valid_fleet().to_string()), ok(anything()));
    assert_that!(DaemonSettings::parse(&valid_settings().to_string()), ok(anything()));
}

#[test]
fn set_key_depends_on_versions_manifests_and_adapters() {
    let plan = |fleet: String| FleetPlan::parse(&fleet).expect("it is good").models[0].set_key();
    let first = plan(valid_fleet().to_string());
    let other = json!(Digest::of(b"other").to_string());
    assert_that!(plan(with_field(valid_fleet(), "/models/0/version", json!("4"))), not(eq(first)));
    assert_that!(plan(with_field(valid_fleet(), "/models/0/manifest", other)), not(eq(first)));
    assert_that!(plan(with_field(valid_fleet(), "/models/0/adapters", json!([]))), not(eq(first)));
    assert_that!(plan(with_field(valid_fleet(), "/models/0/replicas/ghent", json!(9))), eq(first));
}

#[test]
fn only_calls_known_to_be_harmless_are_repeatable() {
    let plan = FleetPlan::parse(&valid_fleet().to_string()).expect("it is good");
    let call = |method, path| plan.services[0].repeatability(method, path);
    assert_that!(call("POST", "/notices"), eq(Repeatability::Once));
    assert_that!(call("POST", "/other"), eq(Repeatability::Once));
    assert_that!(call("POST", "/search"), eq(Repeatability::Repeatable));
    assert_that!(call("GET", "/notices"), eq(Repeatability::Repeatable));
}

#[rstest::rstest]
#[case(RunVerdict::NotRun, Repeatability::Once, true)]
#[case(RunVerdict::NotRun, Repeatability::Repeatable, true)]
#[case(RunVerdict::MayHaveRun, Repeatability::Once, false)]
#[case(RunVerdict::MayHaveRun, Repeatability::Repeatable, true)]
#[case(RunVerdict::Ran, Repeatability::Repeatable, false)]
fn a_retry_needs_a_certain_verdict_or_a_harmless_call(
    #[case] verdict: RunVerdict,
    #[case] repeatability: Repeatability,
    #[case] allowed: bool,
) {
    assert_that!(RetryPermit::after(verdict, repeatability).is_some(), eq(allowed));
}

#[rstest::rstest]
#[case(RunVerdict::NotRun, None, RunVerdict::NotRun)]
#[case(RunVerdict::NotRun, Some(RunVerdict::NotRun), RunVerdict::NotRun)]
#[case(RunVerdict::NotRun, Some(RunVerdict::MayHaveRun), RunVerdict::MayHaveRun)]
#[case(RunVerdict::MayHaveRun, Some(RunVerdict::NotRun), RunVerdict::MayHaveRun)]
#[case(RunVerdict::Ran, Some(RunVerdict::MayHaveRun), RunVerdict::Ran)]
fn a_refusal_does_not_undo_an_earlier_attempt(
    #[case] last: RunVerdict,
    #[case] earlier: Option<RunVerdict>,
    #[case] together: RunVerdict,
) {
    assert_that!(last.after(earlier), eq(together));
}

#[rstest::rstest]
#[case("../escape")]
#[case("/absolute")]
#[case("a//b")]
#[case("")]
fn a_manifest_path_stays_below_its_folder(#[case] path: &str) {
    let text = json!({ "chunk_bytes": 4, "files": [{ "path": path, "bytes": 0, "chunks": [] }] });
    assert_that!(Manifest::parse(text.to_string().as_bytes()), err(anything()));
}

proptest! {
    #[test]
    fn sizes_and_rates_round_trip(bytes in 1u64..1 << 50) {
        let size = ByteSize::from_bytes(bytes);
        prop_assert_eq!(size.to_string().parse::<ByteSize>().unwrap(), size);
        let rate = ByteRate::from_bytes_per_second(bytes);
        prop_assert_eq!(rate.to_string().parse::<ByteRate>().unwrap(), rate);
    }

    #[test]
    fn parsers_do_not_panic(text in ".{0,200}", bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let _ = FleetPlan::parse(&text);
        let _ = DaemonSettings::parse(&text);
        let _ = Manifest::parse(&bytes);
        let _ = text.parse::<ServiceUrl>();
        let _ = text.parse::<Digest>();
    }

    #[test]
    fn chunks_cover_every_byte_once(sizes in prop::collection::vec(0usize..50, 0..8), chunk in 1u64..20) {
        let mut builder = ManifestBuilder::new(ByteSize::from_bytes(chunk));
        for (nth, size) in sizes.iter().enumerate() {
            builder.add(&format!("file-{nth}"), &vec![nth as u8; *size]);
        }
        let text = builder.finish();
        let manifest = Manifest::verify(&text, Digest::of(&text)).unwrap();
        let covered: u64 = manifest.chunks().iter().map(|place| place.length).sum();
        prop_assert_eq!(covered, sizes.iter().sum::<usize>() as u64);
        for pair in manifest.chunks().windows(2).filter(|pair| pair[0].file == pair[1].file) {
            prop_assert_eq!(pair[0].offset + pair[0].length, pair[1].offset);
        }
    }
}

fn direct_settings(field: &str, value: Value) -> String {
    let mut settings = valid_settings();
    settings["direct"] = json!({ "zones": { "ghent": "flanders" } });
    settings["direct"][field] = value;
    settings.to_string()
}

#[rstest::rstest]
#[case("memory", json!("31MiB"), "direct.memory: 31MiB is too little memory; give 32MiB or more")]
#[case("descriptors", json!(127), "direct.descriptors: 127 are too few descriptors; give 128 or more")]
#[case("min_read_rate", json!("0KiB/s"), "\"0KiB/s\" is not a rate")]
#[case("yield_rate", json!("1KiB/s"), "direct.yield_rate: 1KiB/s is less than direct.min_read_rate")]
#[case("max_event", json!("1KiB"), "direct.max_event: 1KiB is not between 4KiB and")]
#[case("max_event", json!("13MiB"), "direct.max_event: 13MiB is not between 4KiB and")]
fn limits_on_callers_out_of_range_are_rejected(
    #[case] field: &str,
    #[case] value: Value,
    #[case] message: &str,
) {
    let parsed = DaemonSettings::parse(&direct_settings(field, value));
    let error = parsed.expect_err("it is out of range").to_string();
    assert!(error.contains(message), "{error}");
}

#[test]
fn limits_on_callers_within_range_are_accepted() {
    let values = [
        ("memory", json!("32MiB")),
        ("descriptors", json!(128)),
        ("min_read_rate", json!("1B/s")),
        ("yield_rate", json!("2KiB/s")),
        ("max_event", json!("4KiB")),
    ];
    for (field, value) in values {
        let parsed = DaemonSettings::parse(&direct_settings(field, value));
        assert!(parsed.is_ok(), "{field}: {parsed:?}");
    }
}
