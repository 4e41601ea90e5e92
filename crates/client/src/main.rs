//! `headlatch`: the operators' command line.

use std::process::ExitCode;

fn main() -> ExitCode {
    match headlatch::run() {
        Ok(code) => code,
        Err(failure) => {
            eprintln!("Error: {failure}");
            failure.exit_code()
        }
    }
}
