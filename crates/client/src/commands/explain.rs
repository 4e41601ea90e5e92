//! `headlatch explain`: the way of one request, from the decision logs of any number of processes.

use std::{
    fs,
    io::{Read, stdin},
    process::ExitCode,
};

use error_stack::Report;
use serde::Deserialize;
use serde_json::{Map, Value};

use crate::{cli::ExplainArgs, error::ClientError};

/// Fields that stand in every line and are told otherwise.
const COMMON: [&str; 6] = ["request", "route", "service", "plan", "held_ms", "attempt"];

/// A decision about the request.
#[derive(Debug, Clone, Deserialize)]
struct Decision {
    time_ms: u64,
    steady_us: u64,
    part: String,
    event: String,
    #[serde(flatten)]
    fields: Map<String, Value>,
}

/// Tells what became of a request.
pub fn run(args: &ExplainArgs) -> Result<ExitCode, Report<ClientError>> {
    let mut decisions = Vec::new();
    for path in &args.files {
        let name = path.display();
        let text = fs::read_to_string(path).map_err(|error| {
            let message = format!("{name}: cannot be read, {error}; check the path");
            Report::new(ClientError::Input(message))
        })?;
        decisions.extend(decisions_in(&text, &args.request));
    }
    if args.files.is_empty() {
        let mut text = String::new();
        stdin().read_to_string(&mut text).map_err(|error| {
            Report::new(ClientError::Input(format!("standard input cannot be read, {error}")))
        })?;
        decisions.extend(decisions_in(&text, &args.request));
    }
    if decisions.is_empty() {
        let message = format!(
            "no line tells of request {}; give the logs of the entry that it came to",
            args.request
        );
        return Err(Report::new(ClientError::Input(message)));
    }
    // One entry decides about a request, and its steady clock never jumps.
    decisions.sort_by_key(|decision| decision.steady_us);
    for decision in &decisions {
        match args.json {
            true => println!("{}", to_json(decision)),
            false => println!("{}", sentence(decision, &decisions[0])),
        }
    }
    Ok(ExitCode::SUCCESS)
}

/// The decisions about `request` in a log; whatever stands before the JSON of a line is left out.
fn decisions_in(text: &str, request: &str) -> Vec<Decision> {
    let lines = text.lines().filter(|line| line.contains(request));
    let objects = lines.filter_map(|line| line.find('{').map(|at| &line[at..]));
    let decisions = objects.filter_map(|object| serde_json::from_str::<Decision>(object).ok());
    decisions.filter(|one| one.fields.get("request") == Some(&Value::from(request))).collect()
}

fn to_json(decision: &Decision) -> Value {
    serde_json::json!({
        "time_ms": decision.time_ms, "part": decision.part, "event": decision.event,
        "fields": decision.fields,
    })
}

fn sentence(decision: &Decision, first: &Decision) -> String {
    let after = (decision.steady_us.saturating_sub(first.steady_us)) as f64 / 1e3;
    let text = |name: &str| decision.fields.get(name).map(plain).unwrap_or_default();
    let what = match decision.event.as_str() {
        "denied" => format!("denied with {} because of {}", text("status"), text("cause")),
        "queued" => "waits in the admission queue".to_owned(),
        "dequeued" => "leaves the admission queue for a server".to_owned(),
        "queue_left" => "the caller disconnected while the request waited".to_owned(),
        "server_chosen" => format!("sent, attempt {}", next_attempt(decision)),
        "attempt_failed" => "a sending failed".to_owned(),
        "server_failed" => "the server answered that it failed".to_owned(),
        "stream_stopped" => "the stream stopped".to_owned(),
        "server_ended" => "its server ended under it".to_owned(),
        "stream_continued" => "the stream goes on elsewhere".to_owned(),
        "stream_waits" => "the server is silent, and nobody else may be asked".to_owned(),
        "stream_cut" => "the caller's connection closed before the answer was whole".to_owned(),
        "given_up" => "given up".to_owned(),
        "answered" | "stream_ended" => "answered whole".to_owned(),
        other => other.to_owned(),
    };
    let service = match decision.fields.get("service") {
        Some(service) => {
            format!(" (service {}, plan {}{})", plain(service), text("plan"), rank(decision))
        }
        None => format!(" (plan {})", text("plan")),
    };
    let more = decision.fields.get("more").and_then(Value::as_object);
    let more = more.map(details).unwrap_or_default();
    format!("{after:>9.1} ms  {what}{service}{more}")
}

/// The urgency of the request, if its service distinguishes urgencies.
fn rank(decision: &Decision) -> String {
    let rank = decision.fields.get("urgency_rank").and_then(Value::as_u64);
    rank.map(|rank| format!(", urgency {rank}")).unwrap_or_default()
}

fn next_attempt(decision: &Decision) -> u64 {
    decision.fields.get("attempt").and_then(Value::as_u64).unwrap_or_default() + 1
}

fn details(more: &Map<String, Value>) -> String {
    let told = more.iter().filter(|(name, value)| !value.is_null() && !COMMON.contains(&&***name));
    let told: Vec<String> =
        told.map(|(name, value)| format!("{} {}", name.replace('_', " "), plain(value))).collect();
    if told.is_empty() { String::new() } else { format!(": {}", told.join(", ")) }
}

fn plain(value: &Value) -> String {
    value.as_str().map_or_else(|| value.to_string(), str::to_owned)
}
