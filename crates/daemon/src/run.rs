//! Top-level commands of `headlatchd`.

use std::{fs, path::Path, sync::Arc};

use clap::Parser;
use error_stack::{Report, ResultExt};
use headlatch_http::Connections;
use headlatch_platform::{PlatformEngine, PlatformHeaders, PlatformOrigin, PlatformStore};
use headlatch_types::{
    direct_settings::{DirectAgentSettings, DirectEntrySettings},
    settings::{DaemonSettings, NodeSettings},
};
use serde_json::json;

use crate::{
    agent::RunningAgent,
    cli::{CommandLine, DaemonCommand, SettingsArgs},
    decisions,
    direct::{
        agent::{AgentDependencies, DirectAgent},
        entry::DirectEntry,
    },
    entry::RunningEntry,
    error::{DaemonError, Failure},
    logging,
    platform::{HttpStore, SharedStore},
    signals::{PendingReloads, ProcessSignal, SignalReceiver, StopSource},
    supervisor,
    timer::{SharedTimer, SystemTimer},
    trace::SpanFactory,
};

/// Parses the command line and runs the command.
pub fn run() -> Result<(), Failure> {
    let command = CommandLine::parse().command;
    let (args, requested) = match &command {
        DaemonCommand::Entry(args) => (args, Some(DaemonKind::Entry)),
        DaemonCommand::Agent(args) => (args, Some(DaemonKind::Agent)),
        DaemonCommand::Check(args) => (args, None),
    };
    let pending = requested.map(|_| PendingReloads::block()).transpose()?;
    let settings = read_settings(args)?;
    match requested.zip(pending) {
        None => {
            println!("{}: {}", args.settings.display(), describe(&settings));
            Ok(())
        }
        Some((requested, pending)) => {
            check_kind(&args.settings, requested, &settings)?;
            Ok(run_daemon(settings, args, pending)?)
        }
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum DaemonKind {
    Entry,
    Agent,
}

fn read_settings(args: &SettingsArgs) -> Result<DaemonSettings, Report<DaemonError>> {
    let name = args.settings.display();
    let failure = |message: String| Report::new(DaemonError::Settings(message));
    let text = fs::read_to_string(&args.settings)
        .map_err(|error| failure(format!("{name}: cannot be read, {error}; check --settings")))?;
    DaemonSettings::parse(&text).map_err(|error| failure(format!("{name}: {error}")))
}

fn check_kind(
    path: &Path,
    requested: DaemonKind,
    settings: &DaemonSettings,
) -> Result<(), Report<DaemonError>> {
    let message = match (requested, settings) {
        (DaemonKind::Entry, DaemonSettings::Entry(_) | DaemonSettings::DirectEntry(_))
        | (DaemonKind::Agent, DaemonSettings::Agent(_) | DaemonSettings::DirectAgent(_)) => {
            return Ok(());
        }
        (DaemonKind::Entry, _) => "these are an agent's settings; run headlatchd agent with them",
        (DaemonKind::Agent, _) => "these are an entry's settings; run headlatchd entry with them",
    };
    Err(Report::new(DaemonError::Settings(format!("{}: {message}", path.display()))))
}

fn describe(settings: &DaemonSettings) -> String {
    match settings {
        DaemonSettings::Entry(entry) => {
            format!("settings of entry {} at {} are good", entry.node.box_id, entry.listen)
        }
        DaemonSettings::Agent(agent) => {
            let endpoint = &agent.endpoint;
            format!("settings of agent {} beside {} are good", agent.node.box_id, endpoint.address)
        }
        DaemonSettings::DirectEntry(entry) => {
            format!("settings of direct entry {} at {} are good", entry.node.box_id, entry.listen)
        }
        DaemonSettings::DirectAgent(agent) => {
            let (node, server) = (&agent.node.box_id, agent.server);
            format!("settings of direct agent {node} beside {server} are good")
        }
    }
}

fn run_daemon(
    settings: DaemonSettings,
    args: &SettingsArgs,
    pending: PendingReloads,
) -> Result<(), Report<DaemonError>> {
    let (node, direct) = match &settings {
        DaemonSettings::Entry(entry) => (&entry.node, false),
        DaemonSettings::Agent(agent) => (&agent.node, false),
        DaemonSettings::DirectEntry(entry) => (&entry.node, true),
        DaemonSettings::DirectAgent(agent) => (&agent.node, true),
    };
    logging::start(&node.log)?;
    supervisor::log_panics();
    // Direct daemons run on a single small core, where cross-thread wake-ups are pure overhead.
    let mut builder = match direct {
        true => tokio::runtime::Builder::new_current_thread(),
        false => tokio::runtime::Builder::new_multi_thread(),
    };
    let failure = || DaemonError::Telemetry("the runtime");
    let runtime = builder.enable_all().build().change_context_lazy(failure)?;
    let served = runtime.block_on(async {
        let signals = SignalReceiver::subscribe(pending)?;
        let reloads = ReloadLoop { signals, args: args.clone() };
        serve(settings, reloads).await
    });
    // A reload that still reads the settings must not delay the exit.
    runtime.shutdown_background();
    decisions::flush();
    served
}

async fn serve(
    settings: DaemonSettings,
    mut reloads: ReloadLoop,
) -> Result<(), Report<DaemonError>> {
    let timer: SharedTimer = Arc::new(SystemTimer::default());
    match settings {
        DaemonSettings::Entry(settings) => {
            let (store, spans) = store_and_spans(&settings.node, "headlatch-entry")?;
            let entry = RunningEntry::start(*settings, timer, store, spans.clone()).await?;
            reloads.run_until_stop(|_| {}).await;
            entry.leave().await;
            spans.flush();
        }
        DaemonSettings::Agent(settings) => {
            let (store, spans) = store_and_spans(&settings.node, "headlatch-agent")?;
            let agent = RunningAgent::start(*settings, timer, store, spans.clone()).await?;
            reloads.run_until_stop(|_| {}).await;
            agent.leave().await;
            spans.flush();
        }
        DaemonSettings::DirectEntry(settings) => serve_direct_entry(*settings, reloads).await?,
        DaemonSettings::DirectAgent(settings) => {
            serve_direct_agent(*settings, timer, reloads).await?;
        }
    }
    Ok(())
}

async fn serve_direct_entry(
    settings: DirectEntrySettings,
    mut reloads: ReloadLoop,
) -> Result<(), Report<DaemonError>> {
    decisions::start();
    let connections = Arc::new(Connections::default());
    let store = Arc::new(PlatformStore::new(settings.node.platform.address(), connections));
    let headers = Arc::new(PlatformHeaders);
    let entry =
        DirectEntry::start_with_quarantines(settings, store.clone(), headers, store).await?;
    let state = entry.state.clone();
    let apply = |settings| {
        if let DaemonSettings::DirectEntry(settings) = settings {
            state.set_retry_settings(settings.direct.retry);
        }
    };
    reloads.run_until_stop(apply).await;
    entry.leave().await;
    Ok(())
}

async fn serve_direct_agent(
    settings: DirectAgentSettings,
    timer: SharedTimer,
    mut reloads: ReloadLoop,
) -> Result<(), Report<DaemonError>> {
    decisions::start();
    let connections = Arc::new(Connections::default());
    let address = settings.node.platform.address();
    let outside = AgentDependencies {
        store: Arc::new(PlatformStore::new(address, connections.clone())),
        engine: Arc::new(PlatformEngine::new(settings.server, connections.clone())),
        origin: Arc::new(PlatformOrigin::new(connections)),
    };
    let agent = DirectAgent::start(settings, timer, outside).await?;
    reloads.run_until_stop(|_| {}).await;
    agent.leave();
    Ok(())
}

fn store_and_spans(
    node: &NodeSettings,
    name: &str,
) -> Result<(SharedStore, SpanFactory), Report<DaemonError>> {
    let store: SharedStore = Arc::new(HttpStore::new(node.platform.clone()));
    Ok((store, SpanFactory::new(name, node.traces.as_ref())?))
}

/// Reloads the settings on SIGHUP until the daemon has to stop.
#[derive(Debug)]
struct ReloadLoop {
    signals: SignalReceiver,
    args: SettingsArgs,
}

impl ReloadLoop {
    /// Waits for a termination signal; on SIGHUP, re-reads and validates the settings and passes them
    /// to `apply`.
    ///
    /// Invalid settings are logged and ignored. Listen addresses and the identity of the process do
    /// not change until the next start.
    async fn run_until_stop(&mut self, apply: impl Fn(DaemonSettings)) {
        loop {
            let signal = self.signals.next().await;
            record_signal(signal);
            if let ProcessSignal::Stop(_) = signal {
                return;
            }
            match self.reload().await {
                Ok(settings) => {
                    decisions::info("life", "reloaded", json!({}));
                    apply(settings);
                }
                Err(ReloadEnd::Failed(error)) => {
                    let fields = json!({ "error": format!("{error:#}") });
                    decisions::warn("life", "reload_failed", fields);
                }
                Err(ReloadEnd::Stopped(source)) => {
                    record_signal(ProcessSignal::Stop(source));
                    return;
                }
            }
        }
    }

    /// Reads the settings beside the daemon's tasks, since the file may be on a slow file system.
    async fn reload(&mut self) -> Result<DaemonSettings, ReloadEnd> {
        let args = self.args.clone();
        let reading = tokio::task::spawn_blocking(move || read_settings(&args));
        tokio::select! {
            biased;
            source = self.signals.stopped() => Err(ReloadEnd::Stopped(source)),
            read = reading => {
                let failure = DaemonError::Telemetry("the reading of the settings");
                read.change_context(failure).flatten().map_err(ReloadEnd::Failed)
            }
        }
    }
}

/// Why a reload did not lead to settings.
#[derive(Debug)]
enum ReloadEnd {
    Failed(Report<DaemonError>),
    Stopped(StopSource),
}

fn record_signal(signal: ProcessSignal) {
    log::info!("received {signal}");
    decisions::info("life", "signal_received", json!({ "signal": signal.to_string() }));
}
