//! Stand-ins and cases of the review. `review-standins CASE FOLDER` runs a case.

use std::{env, path::Path, process::ExitCode};

mod cut_answer;
mod http;
mod model;
mod rig;
mod server;
mod sha256;
mod spoilt_manifest;
mod stop_and_reload;
mod store;

/// How a case ended.
pub enum Outcome {
    Held,
    Broken,
    NotRun(String),
}

fn main() -> ExitCode {
    let args: Vec<String> = env::args().skip(1).collect();
    let trouble = env::var("TROUBLE").map_or(true, |text| text != "0");
    let outcome = match args.first().map(String::as_str) {
        Some("server") => {
            server::run(&args[1..]);
            return ExitCode::SUCCESS;
        }
        Some("stop-and-reload") => stop_and_reload::run(Path::new(&args[1]), trouble),
        Some("cut-answer") => cut_answer::run(Path::new(&args[1]), trouble),
        Some("spoilt-manifest") => spoilt_manifest::run(Path::new(&args[1]), trouble),
        _ => Outcome::NotRun("review-standins CASE FOLDER".to_owned()),
    };
    match outcome {
        Outcome::Held => {
            println!("the rule held");
            ExitCode::SUCCESS
        }
        Outcome::Broken => {
            println!("the rule was broken");
            ExitCode::from(1)
        }
        Outcome::NotRun(why) => {
            println!("the case could not run: {why}");
            ExitCode::from(2)
        }
    }
}
