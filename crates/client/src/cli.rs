//! The command line of `headlatch`.

use std::{net::SocketAddr, path::PathBuf};

use clap::{Args, Parser, Subcommand, ValueEnum};
use headlatch_types::{
    fleet::BurstPreference,
    id::ApplyId,
    quantity::{ByteSize, ConfigRevision},
    settings::ServiceUrl,
};

/// Put a model onto many boxes at once, and see how far it is.
#[derive(Debug, Parser)]
#[command(name = "headlatch", version)]
pub struct CommandLine {
    /// What to do
    #[command(subcommand)]
    pub command: ClientCommand,
}

/// What to do.
#[derive(Debug, Subcommand)]
pub enum ClientCommand {
    /// Check a fleet file and do nothing else
    Validate(FileArgs),
    /// Show what a fleet file would change
    Diff(DiffArgs),
    /// Put a fleet file in force, as a whole
    Apply(ApplyArgs),
    /// Show what runs where, and how far it is
    Status(StatusArgs),
    /// Write the manifest of a folder of weights
    Manifest(ManifestArgs),
    /// Tell the way of one request from decision logs
    Explain(ExplainArgs),
    /// Tell which part of the requests was served, by route and size, from decision logs
    Shares(SharesArgs),
    /// Run everything in one process on this machine and measure it
    Demo(DemoArgs),
}

/// A fleet file.
#[derive(Debug, Clone, Args)]
pub struct FileArgs {
    /// Fleet file, in JSON
    #[arg(value_name = "FILE")]
    pub file: PathBuf,
}

/// Where the platform is.
#[derive(Debug, Clone, Args)]
pub struct PlatformArgs {
    /// Base URL of the platform's object API
    #[arg(long, value_name = "URL", env = "HEADLATCH_PLATFORM")]
    pub platform: ServiceUrl,
}

/// Options of `diff`.
#[derive(Debug, Clone, Args)]
pub struct DiffArgs {
    /// The file
    #[command(flatten)]
    pub file: FileArgs,
    /// The platform
    #[command(flatten)]
    pub platform: PlatformArgs,
}

/// Options of `apply`.
#[derive(Debug, Clone, Args)]
pub struct ApplyArgs {
    /// The file
    #[command(flatten)]
    pub file: FileArgs,
    /// The platform
    #[command(flatten)]
    pub platform: PlatformArgs,
    /// Revision the file is based on, as `diff` and `status` show it; the one in force if left out
    #[arg(long, value_name = "REVISION")]
    pub on: Option<ConfigRevision>,
    /// Id of an earlier attempt whose outcome was not known, to go on with it
    #[arg(long, value_name = "ID")]
    pub resume: Option<ApplyId>,
    /// Wait until it is in force everywhere, for at most this many seconds
    #[arg(long, value_name = "SECONDS", num_args = 0..=1, default_missing_value = "30")]
    pub wait: Option<u64>,
}

/// Options of `status`.
#[derive(Debug, Clone, Args)]
pub struct StatusArgs {
    /// The platform
    #[command(flatten)]
    pub platform: PlatformArgs,
    /// Show it again every second
    #[arg(long)]
    pub watch: bool,
    /// Print JSON, one document a line
    #[arg(long)]
    pub json: bool,
}

/// Options of `manifest`.
#[derive(Debug, Clone, Args)]
pub struct ManifestArgs {
    /// Folder with the files of one version
    #[arg(value_name = "DIR")]
    pub folder: PathBuf,
    /// Size of a chunk
    #[arg(long, default_value = "4MiB")]
    pub chunk: ByteSize,
}

/// Options of `explain`.
#[derive(Debug, Clone, Args)]
pub struct ExplainArgs {
    /// Id of the request
    #[arg(value_name = "REQUEST-ID")]
    pub request: String,
    /// Logs of any number of processes; standard input if none is given
    #[arg(value_name = "FILE")]
    pub files: Vec<PathBuf>,
    /// Print JSON, one decision a line
    #[arg(long)]
    pub json: bool,
}

/// What counts as the size of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum SizeMeasure {
    /// Bytes of its body
    Body,
    /// Tokens of its prompt, where it tells them
    Prompt,
    /// Most tokens of its answer, where it tells them
    Answer,
}

/// Options of `shares`.
#[derive(Debug, Clone, Args)]
pub struct SharesArgs {
    /// Logs of any number of entries; standard input if none is given
    #[arg(value_name = "FILE")]
    pub files: Vec<PathBuf>,
    /// What counts as the size
    #[arg(long, value_name = "MEASURE", default_value = "body")]
    pub by: SizeMeasure,
    /// Print JSON, one route a line
    #[arg(long)]
    pub json: bool,
}

/// Options of `demo`.
#[derive(Debug, Clone, Args)]
pub struct DemoArgs {
    /// Boxes with an engine
    #[arg(long, default_value_t = 24)]
    pub boxes: u32,
    /// Serve the files of this folder as the model, instead of bytes made up from a seed
    #[arg(long, value_name = "DIR")]
    pub weights: Option<PathBuf>,
    /// Size of the made-up model
    #[arg(long, default_value = "64MiB")]
    pub size: ByteSize,
    /// Size of a chunk
    #[arg(long, default_value = "256KiB")]
    pub chunk: ByteSize,
    /// Time in which the origin's link carries four copies and each box's two, in seconds
    #[arg(long, default_value_t = 16)]
    pub window_seconds: u64,
    /// What to spare: time or origin-bytes
    #[arg(long, default_value_t = BurstPreference::Time)]
    pub prefer: BurstPreference,
    /// Address of the first entry
    #[arg(long, default_value = "127.0.0.1:0")]
    pub listen: SocketAddr,
    /// Keep running until interrupted
    #[arg(long)]
    pub hold: bool,
    /// Print one line of JSON
    #[arg(long)]
    pub json: bool,
    /// Write logs to standard error
    #[arg(long)]
    pub logs: bool,
}
