//! `headlatch apply`.

use std::{process::ExitCode, time::Duration};

use error_stack::Report;
use headlatch_core::{
    apply::{ApplyEvent, ApplyOutcome, ApplyStep, FleetApply},
    config::{FLEET_KEY, FleetObject},
};
use headlatch_daemon::platform::{SharedStore, WriteCondition, WriteOutcome};
use headlatch_types::{
    id::ApplyId,
    quantity::ConfigRevision,
    reading::from_json,
    status::{DomainStatus, STATUS_PREFIX},
};
use tokio::time::Instant;

use super::{open_platform, platform_error, read_fleet};
use crate::{cli::ApplyArgs, error::ClientError};

/// Pause between calls that failed.
const FAILURE_PAUSE: Duration = Duration::from_millis(500);

/// Pause between looks at how far a revision is.
const WAIT_PAUSE: Duration = Duration::from_millis(250);

/// A node that has been silent for this long is not waited for.
const SILENT_MS: u64 = 10_000;

/// Applies a fleet file.
pub async fn run(args: &ApplyArgs) -> Result<ExitCode, Report<ClientError>> {
    let (text, _) = read_fleet(&args.file.file)?;
    let store = open_platform(&args.platform.platform);
    let id = args.resume.clone().unwrap_or_else(new_id);
    let object = FleetObject { apply_id: id.to_string(), fleet: text };
    let revision = match apply(&store, &object, &id, args.on).await {
        ApplyOutcome::Applied(revision) => revision,
        outcome => return Err(explain(&outcome, &id)),
    };
    println!("revision {revision} is accepted");
    match args.wait {
        None => Ok(ExitCode::SUCCESS),
        Some(seconds) => wait(&store, revision, Duration::from_secs(seconds)).await,
    }
}

fn new_id() -> ApplyId {
    let id = format!("{:016x}", rand::random::<u64>());
    id.parse().expect("hexadecimal digits make a name")
}

/// Carries one apply out.
pub async fn apply(
    store: &SharedStore,
    object: &FleetObject,
    id: &ApplyId,
    on: Option<ConfigRevision>,
) -> ApplyOutcome {
    let text = serde_json::to_string(object).expect("a fleet object has only string keys");
    let mut apply = FleetApply::new(id.clone(), on);
    let mut step = apply.start();
    loop {
        let event = match step {
            ApplyStep::Done(outcome) => return outcome,
            ApplyStep::Read => read(store).await,
            ApplyStep::Write(revision) => write(store, revision, text.clone()).await,
        };
        if matches!(event, ApplyEvent::Failed | ApplyEvent::WriteUnknown) {
            tokio::time::sleep(FAILURE_PAUSE).await;
        }
        step = apply.handle(event);
    }
}

async fn read(store: &SharedStore) -> ApplyEvent {
    match store.read(FLEET_KEY).await {
        Err(_) => ApplyEvent::Failed,
        Ok(None) => ApplyEvent::Read(None),
        Ok(Some(value)) => {
            let writer = from_json::<FleetObject>(&value.text)
                .ok()
                .and_then(|object| object.apply_id.parse().ok())
                .unwrap_or_else(|| "unreadable".parse().expect("a plain word is a name"));
            ApplyEvent::Read(Some((ConfigRevision::new(value.version), writer)))
        }
    }
}

async fn write(store: &SharedStore, on: ConfigRevision, text: String) -> ApplyEvent {
    let condition = match on.number() {
        0 => WriteCondition::Absent,
        version => WriteCondition::Version(version),
    };
    match store.write(FLEET_KEY, condition, text).await {
        Ok(WriteOutcome::Written(version)) => ApplyEvent::Written(ConfigRevision::new(version)),
        Ok(WriteOutcome::Conflict) => ApplyEvent::WriteConflict,
        Ok(WriteOutcome::Unknown) => ApplyEvent::WriteUnknown,
        Err(_) => ApplyEvent::Failed,
    }
}

fn explain(outcome: &ApplyOutcome, id: &ApplyId) -> Report<ClientError> {
    let error = match outcome {
        ApplyOutcome::Conflict { expected, found } => ClientError::Conflict(format!(
            "nothing was applied: the file is based on revision {expected}, but {found} is in \
             force; look at it with `headlatch diff`, then apply again"
        )),
        ApplyOutcome::NotApplied => ClientError::Platform(
            "nothing was applied: the platform does not answer; apply again once it is back"
                .to_owned(),
        ),
        _ => ClientError::Platform(format!(
            "nobody can tell whether the file was applied: the platform's answer was lost; find \
             out with `headlatch apply --resume {id}` and the same file"
        )),
    };
    Report::new(error)
}

/// Waits until a revision is in force on every node that is heard of.
async fn wait(
    store: &SharedStore,
    revision: ConfigRevision,
    time: Duration,
) -> Result<ExitCode, Report<ClientError>> {
    let deadline = Instant::now() + time;
    loop {
        let behind = behind(store, revision).await?;
        if behind.as_ref().is_some_and(Vec::is_empty) {
            println!("revision {revision} is in force everywhere");
            return Ok(ExitCode::SUCCESS);
        }
        if Instant::now() >= deadline {
            let behind = behind.unwrap_or_default();
            println!("revision {revision} is not yet seen in force at: {}", behind.join(", "));
            return Ok(ExitCode::FAILURE);
        }
        tokio::time::sleep(WAIT_PAUSE).await;
    }
}

/// The nodes that are not known to have a revision in force; none if nobody reports at all.
async fn behind(
    store: &SharedStore,
    revision: ConfigRevision,
) -> Result<Option<Vec<String>>, Report<ClientError>> {
    let domains = read_status(store).await?;
    if domains.is_empty() {
        return Ok(None);
    }
    let nodes = domains
        .iter()
        .flat_map(|domain| domain.nodes.iter().map(move |node| (&domain.domain, node)));
    let late = nodes.filter(|(_, node)| node.revision < revision && node.silent_ms < SILENT_MS);
    Ok(Some(late.map(|(domain, node)| format!("{domain}/{}", node.id)).collect()))
}

/// The status of every domain.
pub async fn read_status(store: &SharedStore) -> Result<Vec<DomainStatus>, Report<ClientError>> {
    let listed = store.list(STATUS_PREFIX).await.map_err(|error| platform_error(&error))?;
    Ok(listed.rows.iter().filter_map(|(_, value)| from_json(&value.text).ok()).collect())
}
