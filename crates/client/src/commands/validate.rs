//! `headlatch validate`.

use std::process::ExitCode;

use error_stack::Report;

use super::read_fleet;
use crate::{cli::FileArgs, error::ClientError};

/// Checks a fleet file.
pub fn run(args: &FileArgs) -> Result<ExitCode, Report<ClientError>> {
    let (_, plan) = read_fleet(&args.file)?;
    println!(
        "{}: good, with {} models, {} services and {} organisations",
        args.file.display(),
        plan.models.len(),
        plan.services.len(),
        plan.organisations.len()
    );
    Ok(ExitCode::SUCCESS)
}
