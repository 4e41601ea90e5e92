//! The operators' command line of headlatch.

pub mod cli;
pub mod commands;
pub mod demo;
pub mod error;

use std::process::ExitCode;

use clap::Parser;
use error_stack::ResultExt;

use cli::{ClientCommand, CommandLine};
use error::{ClientError, Failure};

/// Reads the command line and does what it says.
pub fn run() -> Result<ExitCode, Failure> {
    let command = CommandLine::parse().command;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .change_context(ClientError::Local("the runtime cannot be started".to_owned()))?;
    Ok(runtime.block_on(run_command(command))?)
}

async fn run_command(command: ClientCommand) -> Result<ExitCode, error_stack::Report<ClientError>> {
    match command {
        ClientCommand::Validate(args) => commands::validate::run(&args),
        ClientCommand::Manifest(args) => commands::manifest::run(&args),
        ClientCommand::Diff(args) => commands::diff::run(&args).await,
        ClientCommand::Apply(args) => commands::apply::run(&args).await,
        ClientCommand::Status(args) => commands::status::run(&args).await,
        ClientCommand::Explain(args) => commands::explain::run(&args),
        ClientCommand::Shares(args) => commands::shares::run(&args),
        ClientCommand::Demo(args) => demo::run(&args).await,
    }
}
