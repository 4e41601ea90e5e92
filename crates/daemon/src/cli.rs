//! The command line of `headlatchd`.

use std::path::PathBuf;

use clap::{Args, Parser, Subcommand};

/// Entry and agent daemons of headlatch, which distributes model weights to boxes and routes
/// requests to them.
#[derive(Debug, Parser)]
#[command(name = "headlatchd", version)]
pub struct CommandLine {
    /// Command to run
    #[command(subcommand)]
    pub command: DaemonCommand,
}

/// Commands of `headlatchd`.
#[derive(Debug, Subcommand)]
pub enum DaemonCommand {
    /// Accept requests from callers and route them to endpoints
    Entry(SettingsArgs),
    /// Manage the endpoint on this box
    Agent(SettingsArgs),
    /// Validate a settings file and exit
    Check(SettingsArgs),
}

/// Arguments that locate the settings.
#[derive(Debug, Clone, Args)]
pub struct SettingsArgs {
    /// Settings file, in JSON
    #[arg(long, value_name = "FILE")]
    pub settings: PathBuf,
}
