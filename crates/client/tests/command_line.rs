//! `headlatch` as a user meets it.

use std::{
    fs,
    path::Path,
    process::{Command, Output},
};

use googletest::prelude::*;
use serde_json::Value;

fn run(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_headlatch")).args(arguments).output().expect("it starts")
}

fn plain(path: &Path) -> &str {
    path.to_str().expect("a plain path")
}

/// A folder with files of any kind: empty, tiny, not a multiple of a chunk, in a folder below.
fn weights() -> tempfile::TempDir {
    let folder = tempfile::tempdir().expect("a folder");
    fs::create_dir(folder.path().join("below")).expect("a folder");
    let files: [(&str, usize); 4] =
        [("empty.bin", 0), ("one byte.txt", 1), ("odd.bin", 100_001), ("below/even.bin", 131_072)];
    for (name, size) in files {
        let data: Vec<u8> = (0..size).map(|at| (at * 31 % 251) as u8).collect();
        fs::write(folder.path().join(name), data).expect("a file");
    }
    folder
}

#[test]
fn a_manifest_is_the_same_every_time_and_leaves_itself_out() {
    let folder = weights();
    let first = run(&["manifest", plain(folder.path()), "--chunk", "64KiB"]);
    let second = run(&["manifest", plain(folder.path()), "--chunk", "64KiB"]);
    assert_that!(first.status.code(), some(eq(0)));
    assert_that!(&first.stdout, eq(&second.stdout));
    let text = String::from_utf8_lossy(&first.stdout).into_owned();
    assert_that!(text, contains_substring("files   4"));
    assert_that!(text, contains_substring("chunks  5"));
}

#[test]
fn a_bad_fleet_file_is_refused_with_its_place() {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("fleet.json");
    fs::write(
        &path,
        r#"{ "models": [{ "name": "m", "version": "1", "manifest": "x", "replicas": {} }] }"#,
    )
    .expect("a file");
    let output = run(&["validate", plain(&path)]);
    assert_that!(output.status.code(), some(eq(2)));
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    assert_that!(text.lines().count(), eq(1));
    assert_that!(text, contains_substring("models[0].manifest: \"x\" is not a digest"));
}

#[test]
fn a_platform_that_is_away_is_told() {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("fleet.json");
    fs::write(&path, "{}").expect("a file");
    // Port 1 has no listener.
    let output = run(&["diff", plain(&path), "--platform", "http://127.0.0.1:1"]);
    assert_that!(output.status.code(), some(eq(1)));
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    assert_that!(text, contains_substring("the platform does not answer"));
}

#[test]
fn the_demo_spreads_a_folder_of_real_files() {
    let folder = weights();
    let output = run(&[
        "demo",
        "--boxes",
        "4",
        "--weights",
        plain(folder.path()),
        "--chunk",
        "16KiB",
        "--window-seconds",
        "4",
        "--json",
    ]);
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    assert_that!(output.status.code(), some(eq(0)), "{text}");
    let report: Value = serde_json::from_str(&text).expect("a line of JSON");
    let requests = &report["requests"];
    assert_that!(requests["whole"].as_u64(), some(gt(0)));
    for never in ["cut_off", "crossed", "mixed", "doubled", "lost"] {
        assert_that!(requests[never].as_u64(), some(eq(0)), "{never}: {text}");
    }
}

#[test]
fn explain_tells_the_way_of_one_request_in_order() {
    let folder = tempfile::tempdir().expect("a folder");
    let log = folder.path().join("entry.log");
    let line = |steady: u64, event: &str, request: &str, more: Value| {
        serde_json::json!({
            "time_ms": 5, "steady_us": steady, "level": "info", "part": "routing", "event": event,
            "request": request, "service": "llm", "plan": 7, "attempt": 0, "more": more,
        })
    };
    let lines = [
        line(9000, "given_up", "r1", serde_json::json!({ "cause": "servers_full" })).to_string(),
        line(2000, "given_up", "r11", serde_json::json!({ "cause": "deadline" })).to_string(),
        format!("  1.2 front-1 {}", line(1000, "server_chosen", "r1", Value::Null)),
        "not a line of ours r1".to_owned(),
    ];
    fs::write(&log, lines.join("\n")).expect("a file");
    let told = run(&["explain", "r1", plain(&log)]);
    let text = String::from_utf8_lossy(&told.stdout).into_owned();
    let lines: Vec<&str> = text.lines().collect();
    assert_that!(lines.len(), eq(2));
    assert_that!(lines[0], contains_substring("0.0 ms  sent, attempt 1 (service llm, plan 7)"));
    assert_that!(lines[1], contains_substring("8.0 ms  given up"));
    assert_that!(lines[1], contains_substring("cause servers_full"));
    let unknown = run(&["explain", "r2", plain(&log)]);
    assert_that!(unknown.status.code(), some(eq(2)));
}

/// Guards against an urgency that is not told, or that is told for services without any.
#[test]
fn explain_tells_the_urgency_of_services_that_have_one() {
    let folder = tempfile::tempdir().expect("a folder");
    let log = folder.path().join("entry.log");
    let line = |steady: u64, rank: Value| {
        serde_json::json!({
            "time_ms": 5, "steady_us": steady, "part": "routing", "event": "given_up",
            "request": "r1", "service": "llm", "plan": 7, "urgency_rank": rank,
        })
    };
    let lines = [line(1000, 2.into()).to_string(), line(2000, Value::Null).to_string()];
    fs::write(&log, lines.join("\n")).expect("a file");
    let told = run(&["explain", "r1", plain(&log)]);
    let text = String::from_utf8_lossy(&told.stdout).into_owned();
    let lines: Vec<&str> = text.lines().collect();
    assert_that!(lines[0], contains_substring("given up (service llm, plan 7, urgency 2)"));
    assert_that!(lines[1], contains_substring("given up (service llm, plan 7)"));
}

/// Guards against lines of the admission queue that are shown without their inputs or out of order.
#[test]
fn explain_shows_how_a_request_waited() {
    let folder = tempfile::tempdir().expect("a folder");
    let log = folder.path().join("entry.log");
    let line = |steady: u64, event: &str, request: &str, more: Value| {
        serde_json::json!({
            "time_ms": 5, "steady_us": steady, "level": "info", "part": "routing", "event": event,
            "request": request, "service": "llm", "plan": 7, "attempt": 0, "more": more,
        })
        .to_string()
    };
    let queued = serde_json::json!({ "position": 3, "predicted_wait_ms": 120, "rank": 2 });
    let refused = serde_json::json!({ "cause": "queue_late", "retry_after_ms": 900 });
    let lines = [
        line(1000, "queued", "r1", queued.clone()),
        line(91_000, "dequeued", "r1", serde_json::json!({ "waited_ms": 90 })),
        line(91_100, "server_chosen", "r1", Value::Null),
        line(1000, "queued", "r2", queued),
        line(301_000, "given_up", "r2", refused),
        line(5000, "queue_left", "r3", serde_json::json!({ "waited_ms": 4 })),
    ];
    fs::write(&log, lines.join("\n")).expect("a file");
    let explain = |request: &str| {
        let output = run(&["explain", request, plain(&log)]);
        String::from_utf8_lossy(&output.stdout).lines().map(str::to_owned).collect::<Vec<_>>()
    };
    let served = explain("r1");
    let queued = "waits in the admission queue (service llm, plan 7): \
                  position 3, predicted wait ms 120, rank 2";
    assert_that!(served[0], contains_substring(queued));
    assert_that!(served[1], contains_substring("90.0 ms  leaves the admission queue for a server"));
    assert_that!(served[1], contains_substring("waited ms 90"));
    assert_that!(served[2], contains_substring("sent, attempt 1"));
    let refused = explain("r2");
    assert_that!(refused[1], contains_substring("given up"));
    assert_that!(refused[1], contains_substring("cause queue_late, retry after ms 900"));
    assert_that!(explain("r3")[0], contains_substring("the caller disconnected"));
}

#[test]
fn shares_are_told_by_route_and_size() {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("entry.log");
    let line = |index: u64, event: &str, more: &str| {
        format!(
            "front {{\"part\":\"routing\",\"event\":\"{event}\",\"request\":\"r{index}\",\"route\":\"drafts\",\
             \"body_bytes\":{},\"prompt_tokens\":null,\"more\":{more}}}\n",
            index * 10
        )
    };
    // Of a hundred the eighty smallest are served, two of them late.
    let lines: String = (0..100)
        .map(|index| match index < 80 {
            true => {
                let first = if index < 2 { 500 } else { 90 };
                let more = format!("{{\"first_event_ms\":{first},\"objective_ms\":400}}");
                line(index, "server_chosen", "{}") + &line(index, "stream_ended", &more)
            }
            false => line(index, "given_up", "{\"cause\":\"servers_full\"}"),
        })
        .collect();
    fs::write(&path, lines).expect("a file");
    let output = run(&["shares", plain(&path), "--json"]);
    assert_that!(output.status.code(), some(eq(0)));
    let told: Value = serde_json::from_slice(&output.stdout).expect("one line of JSON");
    expect_count(&told["all"], 100, 80, 2);
    expect_count(&told["sizes"]["lower_half"], 50, 50, 2);
    expect_count(&told["sizes"]["upper_half"], 20, 20, 0);
    expect_count(&told["sizes"]["next_fifth"], 20, 10, 0);
    expect_count(&told["sizes"]["largest_tenth"], 10, 0, 0);
    let table = String::from_utf8_lossy(&run(&["shares", plain(&path)]).stdout).into_owned();
    assert_that!(table, contains_substring("0.500 (0.62)"));
}

fn expect_count(told: &Value, requests: u64, served: u64, late: u64) {
    let numbers = ["requests", "served", "late"].map(|name| told[name].as_u64());
    assert_that!(numbers, eq([Some(requests), Some(served), Some(late)]));
}

#[test]
fn logs_that_tell_no_sizes_are_refused() {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("empty.log");
    fs::write(&path, "no line of JSON\n").expect("a file");
    let output = run(&["shares", plain(&path)]);
    assert_that!(output.status.code(), some(eq(2)));
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    assert_that!(text, contains_substring("no line tells of a request with its size"));
}
