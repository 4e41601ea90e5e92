//! `headlatch demo`: everything in one process over loopback, measured.

mod bound;
mod cluster;
mod model;
mod report;
mod traffic;
mod waiting;

use std::{process::ExitCode, sync::Arc, time::Duration};

use error_stack::{Report, ResultExt};
use headlatch_core::{apply::ApplyOutcome, config::FleetObject};
use headlatch_daemon::logging;
use headlatch_types::settings::LogSettings;
use indicatif::{ProgressBar, ProgressDrawTarget, ProgressStyle};
use tokio::time::Instant;

use crate::{cli::DemoArgs, commands, error::ClientError};

use self::{
    cluster::DemoCluster,
    model::DemoModel,
    report::DemoReport,
    traffic::{TrafficCounts, TrafficLoad},
};

/// Longest time for any phase; the demo is meant to take well under a minute.
const PHASE_TIME: Duration = Duration::from_secs(300);

/// Traffic runs for this long before the second version and after it.
const TRAFFIC_TIME: Duration = Duration::from_secs(2);

/// Runs the demo.
pub async fn run(args: &DemoArgs) -> Result<ExitCode, Report<ClientError>> {
    check(args)?;
    if args.logs {
        let failure = || ClientError::Local("logs cannot be set up".to_owned());
        logging::start(&LogSettings::default()).change_context_lazy(failure)?;
    }
    let quiet = args.json;
    let say = |text: &str| {
        if !quiet {
            eprintln!("{text}");
        }
    };
    let model = DemoModel::new(args)?;
    let cluster = DemoCluster::start(args, &model).await?;
    say(&format!(
        "started {} boxes in {} failure domains, {} entries, the origin, the store and the platform",
        args.boxes,
        cluster.domains(),
        cluster.entries.len()
    ));
    waiting::until_known(&cluster, PHASE_TIME).await?;

    let begun = apply(&cluster, &model.fleet_file(args, 1)).await?;
    let seconds = follow(&cluster, &model, 1, begun, quiet).await?;
    let first = cluster.drawn();
    say(&format!("version 1 serves on {} boxes after {seconds:.1} s", args.boxes));

    let load = Arc::new(TrafficLoad::new(&cluster));
    let traffic = TrafficLoad::start(load.clone());
    tokio::time::sleep(TRAFFIC_TIME).await;
    let begun = apply(&cluster, &model.fleet_file(args, 2)).await?;
    let second_seconds = follow(&cluster, &model, 2, begun, quiet).await?;
    say(&format!("version 2 took over on {} boxes after {second_seconds:.1} s", args.boxes));
    tokio::time::sleep(TRAFFIC_TIME).await;
    let counts: TrafficCounts = traffic.stop().await;

    let report = DemoReport::new(args, &model, &cluster, (seconds, second_seconds), first, &counts);
    if args.json {
        println!("{}", serde_json::to_string(&report).expect("a report has only string keys"));
    } else {
        println!("{report}");
    }
    if args.hold {
        hold(&cluster).await;
    }
    cluster.stop().await;
    let good = report.is_good();
    Ok(if good { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

fn check(args: &DemoArgs) -> Result<(), Report<ClientError>> {
    let wrong = |message: &str| Err(Report::new(ClientError::Input(message.to_owned())));
    if args.boxes == 0 {
        return wrong("--boxes 0 would serve nobody; give 1 or more");
    }
    if args.chunk.bytes() == 0 || args.size.bytes() == 0 {
        return wrong("--size and --chunk must be at least 1B");
    }
    if args.window_seconds == 0 {
        return wrong("--window-seconds must be at least 1");
    }
    Ok(())
}

/// Applies a fleet file and returns when it was accepted.
async fn apply(cluster: &DemoCluster, fleet: &str) -> Result<Instant, Report<ClientError>> {
    let id = format!("demo-{:08x}", rand::random::<u32>());
    let object = FleetObject { apply_id: id.clone(), fleet: fleet.to_owned() };
    let id = id.parse().expect("hexadecimal digits make a name");
    match commands::apply::apply(&cluster.store, &object, &id, None).await {
        ApplyOutcome::Applied(_) => Ok(Instant::now()),
        other => Err(Report::new(ClientError::Local(format!("the apply came to {other:?}")))),
    }
}

/// Shows progress until every box serves `version`; returns the seconds since `begun`.
async fn follow(
    cluster: &DemoCluster,
    model: &DemoModel,
    version: u32,
    begun: Instant,
    quiet: bool,
) -> Result<f64, Report<ClientError>> {
    let target = if quiet { ProgressDrawTarget::hidden() } else { ProgressDrawTarget::stderr() };
    let style = ProgressStyle::with_template("{msg} {wide_bar} {percent} %");
    let bar = ProgressBar::with_draw_target(Some(1000), target);
    bar.set_style(style.unwrap_or_else(|_| ProgressStyle::default_bar()));
    let set = model.set_key(version);
    let outcome = waiting::until_serving(cluster, set, PHASE_TIME, |seen| {
        bar.set_message(format!("version {version}: {}/{} serve", seen.serving, seen.boxes));
        bar.set_position(seen.permille.into());
    });
    let done = outcome.await;
    bar.finish_and_clear();
    done.map(|at| (at - begun).as_secs_f64())
}

async fn hold(cluster: &DemoCluster) {
    let entry = &cluster.entries[0];
    eprintln!("holding: entry at http://{}, interrupt to stop", entry.listen);
    eprintln!("  status: http://{}/status", entry.admin);
    eprintln!("  platform: {}", cluster.platform_url());
    // Without signals there is nothing to wait for, and the demo ends.
    let _ = tokio::signal::ctrl_c().await;
}
