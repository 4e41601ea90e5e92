//! `headlatch diff`: what a fleet file would change.

use std::{collections::BTreeSet, process::ExitCode};

use error_stack::Report;
use headlatch_types::FleetPlan;
use serde_json::{Map, Value};

use super::{open_platform, read_fleet, read_object};
use crate::{cli::DiffArgs, error::ClientError};

/// Shows what a file would change of what is in force.
pub async fn run(args: &DiffArgs) -> Result<ExitCode, Report<ClientError>> {
    let (text, _) = read_fleet(&args.file.file)?;
    let store = open_platform(&args.platform.platform);
    let found = read_object(&store).await?;
    let (revision, old) = match found {
        Some((revision, object)) => (revision, object.fleet),
        None => (Default::default(), "{}".to_owned()),
    };
    let lines = compare(&old, &text);
    println!("on revision {revision}:");
    if lines.is_empty() {
        println!("  no change");
    }
    lines.iter().for_each(|line| println!("  {line}"));
    Ok(ExitCode::SUCCESS)
}

/// Differences between two fleet files, a line each.
///
/// Lists of named things are compared by name, so that another order is no difference.
pub fn compare(old: &str, new: &str) -> Vec<String> {
    let read = |text: &str| {
        // Both have been checked; defaults are left out of a file at its writer's will.
        let valid = FleetPlan::parse(text).is_ok();
        let value: Value = serde_json::from_str(text).unwrap_or(Value::Null);
        if valid { value } else { Value::Null }
    };
    let mut lines = Vec::new();
    compare_values("", &read(old), &read(new), &mut lines);
    lines
}

fn compare_values(path: &str, old: &Value, new: &Value, lines: &mut Vec<String>) {
    match (old, new) {
        (old, new) if old == new => {}
        (Value::Object(old), Value::Object(new)) => compare_maps(path, old, new, lines),
        (Value::Array(_) | Value::Null, Value::Array(_)) | (Value::Array(_), Value::Null) => {
            compare_maps(path, &by_name(old), &by_name(new), lines);
        }
        (Value::Null, new) => lines.push(format!("+ {path} = {new}")),
        (old, Value::Null) => lines.push(format!("- {path} = {old}")),
        (old, new) => lines.push(format!("~ {path}: {old} -> {new}")),
    }
}

fn compare_maps(
    path: &str,
    old: &Map<String, Value>,
    new: &Map<String, Value>,
    lines: &mut Vec<String>,
) {
    let keys: BTreeSet<&String> = old.keys().chain(new.keys()).collect();
    for key in keys {
        let below = if path.is_empty() { key.clone() } else { format!("{path}.{key}") };
        let none = Value::Null;
        let (old, new) = (old.get(key).unwrap_or(&none), new.get(key).unwrap_or(&none));
        compare_values(&below, old, new, lines);
    }
}

fn by_name(list: &Value) -> Map<String, Value> {
    let items = list.as_array().into_iter().flatten().enumerate();
    let keyed = items.map(|(at, item)| {
        let name = item.get("name").and_then(Value::as_str);
        (name.map_or_else(|| at.to_string(), str::to_owned), item.clone())
    });
    keyed.collect()
}
