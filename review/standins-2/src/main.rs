//! Stand-ins and cases of the second review.
//!
//! `review-rig-2 CASE DAEMON RECORD`: plays a case; exits with 1 if the rule was broken, with 0 if it held, and with 2
//! if the case could not be played. TROUBLE=0 leaves the disruption out.

mod foreign;
mod grey;
mod http;
mod lapsed;
mod reborn;
mod rig;
mod server;
mod squeezed;
mod store;

use std::path::PathBuf;

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let code = match arguments.split_first() {
        Some((first, rest)) if first == "server" => server::run(rest),
        Some((case, [daemon, record])) => play(case, daemon, record),
        _ => 2,
    };
    std::process::exit(code);
}

fn play(case: &str, daemon: &str, record: &str) -> i32 {
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let folder = std::env::temp_dir().join(format!("review-rig-2-{}", std::process::id()));
    if std::fs::create_dir_all(&folder).is_err() {
        return 2;
    }
    let Ok(record) = rig::Record::create(&PathBuf::from(record)) else { return 2 };
    let setup =
        rig::Setup { daemon: PathBuf::from(daemon), record, trouble, folder: folder.clone() };
    setup.record.note(format!("case {case}, trouble {trouble}"));
    let broken = match case {
        "foreign" => foreign::play(&setup),
        "grey" => grey::play(&setup),
        "reborn" => reborn::play(&setup),
        "lapsed" => lapsed::play(&setup),
        "squeezed" => squeezed::play(&setup),
        _ => None,
    };
    let (code, text) = match broken {
        Some(true) => (1, "the rule was broken"),
        Some(false) => (0, "the rule held"),
        None => (2, "the case could not be played"),
    };
    setup.record.note(text);
    if std::env::var("KEEP").is_err() {
        let _ = std::fs::remove_dir_all(&folder);
    }
    code
}
