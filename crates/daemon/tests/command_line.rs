//! `headlatchd` as a user meets it.

use std::{
    fs,
    process::{Command, Output},
};

use googletest::prelude::*;
use serde_json::{Value, json};

fn run(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_headlatchd")).args(arguments).output().expect("it starts")
}

fn check(settings: &str) -> Output {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("settings.json");
    fs::write(&path, settings).expect("a file");
    run(&["check", "--settings", path.to_str().expect("a plain path")])
}

fn settings() -> Value {
    json!({
        "box": "box-1", "domain": "ghent", "region": "flanders",
        "control": "127.0.0.1:7100", "admin": "127.0.0.1:7101",
        "platform": "http://127.0.0.1:7000",
        "agent": {
            "endpoint": { "kind": "engine", "address": "127.0.0.1:8000" },
            "origin": "http://127.0.0.1:7001",
        },
    })
}

#[test]
fn good_settings_are_said_to_be_good() {
    let output = check(&settings().to_string());
    assert_that!(output.status.code(), some(eq(0)));
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    assert_that!(
        text,
        contains_substring("settings of agent box-1 beside 127.0.0.1:8000 are good")
    );
}

#[rstest::rstest]
#[case("/agent/colour", json!(1), "agent.colour: unknown field `colour`")]
#[case("/agent/link", json!({ "rate": "10MB" }), "agent.link.rate: \"10MB\" is not a rate")]
#[case("/admin", json!("here"), "admin: \"here\" is not an address")]
#[case("/agent/origin", Value::Null, "agent.origin: an engine needs an origin")]
fn bad_settings_give_one_line_and_status_two(
    #[case] at: &str,
    #[case] new: Value,
    #[case] says: &str,
) {
    let mut settings = settings();
    let (parent, field) = at.rsplit_once('/').expect("a pointer has a slash");
    settings.pointer_mut(parent).expect("it is there")[field] = new;
    let output = check(&settings.to_string());
    assert_that!(output.status.code(), some(eq(2)));
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    assert_that!(text.lines().count(), eq(1));
    assert_that!(text, contains_substring(says));
}

#[test]
fn a_missing_file_and_the_wrong_daemon_are_told() {
    let output = run(&["check", "--settings", "no-such-file.json"]);
    assert_that!(output.status.code(), some(eq(2)));
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    assert_that!(text, contains_substring("no-such-file.json: cannot be read"));
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("settings.json");
    fs::write(&path, settings().to_string()).expect("a file");
    let output = run(&["entry", "--settings", path.to_str().expect("a plain path")]);
    assert_that!(output.status.code(), some(eq(2)));
}
