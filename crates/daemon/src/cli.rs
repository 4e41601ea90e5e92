//! The command line of `headlatchd`.

use std::path::PathBuf;

use clap::{Args, Parser, Subcommand};

/// Entries and agents of headlatch, which spreads weights to boxes and routes requests to them.
#[derive(Debug, Parser)]
#[command(name = "headlatchd", version)]
pub struct CommandLine {
    /// What to run
    #[command(subcommand)]
    pub command: DaemonCommand,
}

/// What to run.
#[derive(Debug, Subcommand)]
pub enum DaemonCommand {
    /// Take requests in from callers
    Entry(SettingsArgs),
    /// Look after the endpoint on this box
    Agent(SettingsArgs),
    /// Check settings and do nothing else
    Check(SettingsArgs),
}

/// Where settings are.
#[derive(Debug, Args)]
pub struct SettingsArgs {
    /// Settings file, in JSON
    #[arg(long, value_name = "FILE")]
    pub settings: PathBuf,
}
