//! `headlatchd`: the entry and agent daemons.

use std::process::ExitCode;

fn main() -> ExitCode {
    match headlatch_daemon::run::run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            eprintln!("Error: {failure}");
            failure.exit_code()
        }
    }
}
