//! Command-line behaviour of `headlatchd`: exit status, messages, and reload on SIGHUP.

use std::{
    fs,
    process::{Command, Output},
};

use googletest::prelude::*;
use serde_json::{Value, json};

fn run(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_headlatchd"))
        .args(arguments)
        .output()
        .expect("headlatchd starts")
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
fn valid_settings_are_accepted() {
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
fn invalid_settings_give_one_line_and_exit_status_2(
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
fn a_missing_file_and_the_wrong_daemon_are_rejected() {
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

fn direct_settings() -> Value {
    json!({
        "box": "e1", "domain": "z1", "region": "r1",
        "control": "127.0.0.1:0", "admin": "127.0.0.1:0", "platform": "http://127.0.0.1:1",
        "drain_seconds": 1, "entry": { "listen": "127.0.0.1:0" },
        "direct": { "zones": { "z1": "r1" }, "seeds": ["10.0.0.1:8000"], "weights_ms": 8000 },
    })
}

#[rstest::rstest]
#[case("/direct/seeds", json!(["10.0.0.1"]), "direct.seeds[0]: \"10.0.0.1\" is not an address")]
#[case("/direct/zones", json!({ "z 1": "r1" }), "direct.zones.z 1: \"z 1\" is not a name")]
#[case("/direct/weights_ms", json!(0), "direct.weights_ms: 0 leaves no time")]
#[case("/direct/retry", json!({ "ratio": -1.0 }), "direct.retry.ratio: -1 is no amount")]
#[case("/direct/colour", json!(1), "direct.colour: unknown field `colour`")]
#[case("/entry", Value::Null, "entry: it is missing")]
fn invalid_direct_settings_name_the_field(
    #[case] at: &str,
    #[case] new: Value,
    #[case] says: &str,
) {
    let mut settings = direct_settings();
    assert_that!(check(&settings.to_string()).status.code(), some(eq(0)));
    let (parent, field) = at.rsplit_once('/').expect("a pointer has a slash");
    settings.pointer_mut(parent).expect("it is there")[field] = new;
    let output = check(&settings.to_string());
    assert_that!(output.status.code(), some(eq(2)));
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    assert_that!(text, contains_substring(says));
}

/// Reads log lines until one records `event`.
fn wait_for_event(lines: &mut impl Iterator<Item = std::io::Result<String>>, event: &str) {
    let wanted = format!("\"event\":\"{event}\"");
    let found = lines.by_ref().map_while(|line| line.ok()).any(|line| line.contains(&wanted));
    assert_that!(found, eq(true), "{event}");
}

#[test]
fn sighup_reloads_the_settings_without_a_restart() {
    use std::io::{BufRead, BufReader};
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("settings.json");
    fs::write(&path, direct_settings().to_string()).expect("a file");
    let mut daemon = Command::new(env!("CARGO_BIN_EXE_headlatchd"))
        .args(["entry", "--settings", path.to_str().expect("a plain path")])
        .stdout(std::process::Stdio::piped())
        .spawn()
        .expect("it starts");
    let mut lines = BufReader::new(daemon.stdout.take().expect("it is piped")).lines();
    let signal = |name: &str| {
        let command = format!("kill -{name} {}", daemon.id());
        let sent = Command::new("sh").args(["-c", &command]).status().expect("there is a shell");
        assert_that!(sent.success(), eq(true));
    };
    wait_for_event(&mut lines, "started");
    signal("HUP");
    wait_for_event(&mut lines, "reloaded");
    fs::write(&path, "{}").expect("a file");
    signal("HUP");
    wait_for_event(&mut lines, "reload_failed");
    signal("TERM");
    wait_for_event(&mut lines, "stopped");
    assert_that!(daemon.wait().expect("it ends").code(), some(eq(0)));
}
