//! `headlatch status`: what runs where, and how far it is.

use std::{collections::BTreeMap, fmt::Write as _, process::ExitCode, time::Duration};

use error_stack::Report;
use headlatch_daemon::{platform::SharedStore, timer::unix_time};
use headlatch_types::{
    FleetPlan,
    fleet::SetKey,
    quantity::ConfigRevision,
    status::{DomainStatus, EndpointStatus, NodeStatus},
};
use serde::Serialize;

use super::{apply::read_status, open_platform, read_object};
use crate::{cli::StatusArgs, error::ClientError};

/// Pause between two looks.
const WATCH_PAUSE: Duration = Duration::from_secs(1);

/// A status older than this is shown as stale.
const STALE_MS: u64 = 30_000;

/// A node silent for longer than this is shown as stale.
const SILENT_MS: u64 = 10_000;

/// What is shown.
#[derive(Debug, Serialize)]
struct FleetStatus {
    /// Revision that the platform has.
    revision: ConfigRevision,
    /// Names of the sets, by key.
    sets: BTreeMap<String, String>,
    domains: Vec<DomainStatus>,
}

/// Shows the status once, or again and again.
pub async fn run(args: &StatusArgs) -> Result<ExitCode, Report<ClientError>> {
    let store = open_platform(&args.platform.platform);
    loop {
        let status = read(&store).await?;
        if args.json {
            let text = serde_json::to_string(&status).expect("status has only string keys");
            println!("{text}");
        } else {
            print!("{}", render(&status, unix_time().as_millis() as u64));
        }
        if !args.watch {
            return Ok(ExitCode::SUCCESS);
        }
        tokio::time::sleep(WATCH_PAUSE).await;
    }
}

async fn read(store: &SharedStore) -> Result<FleetStatus, Report<ClientError>> {
    let object = read_object(store).await?;
    let revision = object.as_ref().map(|(revision, _)| *revision).unwrap_or_default();
    let plan = object.and_then(|(_, object)| FleetPlan::parse(&object.fleet).ok());
    let models = plan.iter().flat_map(|plan| &plan.models);
    let sets = models
        .map(|model| (model.set_key().to_string(), format!("{}@{}", model.name, model.version)))
        .collect();
    Ok(FleetStatus { revision, sets, domains: read_status(store).await? })
}

fn render(status: &FleetStatus, now_ms: u64) -> String {
    let mut out = format!("revision {}\n", status.revision);
    if status.domains.is_empty() {
        out.push_str("no domain has reported yet\n");
    }
    for domain in &status.domains {
        let age = now_ms.saturating_sub(domain.written_ms);
        let stale =
            if age > STALE_MS { format!(", stale for {} s", age / 1000) } else { String::new() };
        let _ = writeln!(out, "{}{stale}", domain.domain);
        for node in &domain.nodes {
            let _ = writeln!(out, "  {}", render_node(status, node));
        }
    }
    out
}

fn render_node(status: &FleetStatus, node: &NodeStatus) -> String {
    let mut line = format!("{:<20} revision {:<4}", node.id.to_string(), node.revision);
    match &node.endpoint {
        None => line.push_str(" entry"),
        Some(endpoint) => line.push_str(&render_endpoint(status, endpoint)),
    }
    if node.leaving {
        line.push_str(", leaving");
    }
    if node.silent_ms > SILENT_MS {
        let _ = write!(line, ", stale for {} s", node.silent_ms / 1000);
    }
    line
}

fn render_endpoint(status: &FleetStatus, endpoint: &EndpointStatus) -> String {
    let name = |set: SetKey| {
        let key = set.to_string();
        status.sets.get(&key).cloned().unwrap_or_else(|| format!("earlier set {key}"))
    };
    let mut text = String::new();
    if let Some(service) = &endpoint.service {
        let _ = write!(text, " service {service}");
    }
    if let Some(set) = endpoint.serving {
        let _ = write!(text, " serving {}", name(set));
    }
    if let Some(set) = endpoint.fetching {
        let percent = f64::from(endpoint.fetched_permille) / 10.0;
        let rate = endpoint.fetch_rate as f64 / f64::from(1 << 20);
        let _ = write!(text, " fetching {} {percent:.1} % at {rate:.1} MiB/s", name(set));
    }
    if !endpoint.healthy {
        text.push_str(" endpoint does not answer");
    }
    let _ = write!(text, ", {}/{} in progress", endpoint.in_progress, endpoint.slots);
    text
}
