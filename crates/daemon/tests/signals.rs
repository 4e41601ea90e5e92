//! Signals that stop a daemon or reload its settings, in any order and at any time of its life.

use std::{
    fs::{self, File},
    io::{BufRead, BufReader, Write},
    path::PathBuf,
    process::{Child, Command, ExitStatus, Stdio},
    sync::mpsc::{Receiver, channel},
    thread,
    time::{Duration, Instant},
};

use googletest::prelude::*;
use nix::{
    sys::signal::{Signal, kill},
    unistd::Pid,
};
use rstest::rstest;
use serde_json::{Value, json};
use tempfile::TempDir;

/// Grace period of the daemons under test.
const GRACE: Duration = Duration::from_secs(2);

/// Time after the grace period in which a busy machine must end a process.
const EXIT_SLACK: Duration = Duration::from_secs(3);

const EVENT_TIMEOUT: Duration = Duration::from_secs(10);

#[derive(Debug, Clone, Copy)]
enum Kind {
    Entry,
    Agent,
    DirectEntry,
    DirectAgent,
}

impl Kind {
    fn verb(self) -> &'static str {
        match self {
            Self::Entry | Self::DirectEntry => "entry",
            Self::Agent | Self::DirectAgent => "agent",
        }
    }

    fn settings(self) -> Value {
        let mut settings = json!({
            "box": "b1", "domain": "z1", "region": "r1",
            "control": "127.0.0.1:0", "admin": "127.0.0.1:0", "platform": "http://127.0.0.1:1",
            "drain_seconds": GRACE.as_secs(),
        });
        if matches!(self, Self::DirectEntry | Self::DirectAgent) {
            settings["direct"] =
                json!({ "zones": { "z1": "r1" }, "seeds": ["127.0.0.1:9"], "weights_ms": 8000 });
        }
        let engine = json!({ "kind": "engine", "address": "127.0.0.1:1", "service": "s" });
        match self {
            Self::Entry | Self::DirectEntry => {
                settings["entry"] = json!({ "listen": "127.0.0.1:0" })
            }
            Self::DirectAgent => {
                settings["agent"] = json!({ "endpoint": engine, "link": { "rate": "8Mbit/s" } })
            }
            Self::Agent => {
                settings["agent"] = json!({
                    "endpoint": { "kind": "engine", "address": "127.0.0.1:1" },
                    "origin": "http://127.0.0.1:1",
                })
            }
        }
        settings
    }
}

/// A daemon with a settings file of its own; killed when dropped.
struct Daemon {
    folder: TempDir,
    process: Child,
    lines: Receiver<String>,
}

impl Daemon {
    /// Starts a daemon that finds its settings.
    fn start(kind: Kind) -> Self {
        let folder = tempfile::tempdir().expect("a folder");
        fs::write(settings_path(&folder), kind.settings().to_string()).expect("a file");
        Self::start_in(kind, folder)
    }

    /// Starts a daemon that waits for its settings until [`Daemon::write_settings`].
    fn start_waiting(kind: Kind) -> Self {
        let folder = tempfile::tempdir().expect("a folder");
        make_pipe(&folder);
        Self::start_in(kind, folder)
    }

    fn start_in(kind: Kind, folder: TempDir) -> Self {
        let mut process = Command::new(env!("CARGO_BIN_EXE_headlatchd"))
            .arg(kind.verb())
            .arg("--settings")
            .arg(settings_path(&folder))
            .stdout(Stdio::piped())
            .spawn()
            .expect("headlatchd starts");
        let stdout = BufReader::new(process.stdout.take().expect("it is piped"));
        let (sender, lines) = channel();
        thread::spawn(move || {
            // The receiver is gone once the test has ended.
            stdout.lines().map_while(|line| line.ok()).try_for_each(|line| sender.send(line))
        });
        Self { folder, process, lines }
    }

    /// Opens the pipe in place of the settings file; returns once the daemon reads from it.
    fn wait_until_read(&self) -> File {
        File::options().write(true).open(settings_path(&self.folder)).expect("the daemon reads")
    }

    fn signal(&self, signal: Signal) {
        kill(Pid::from_raw(self.process.id() as i32), signal).expect("the process exists");
    }

    fn wait_for_event(&self, event: &str) {
        let wanted = format!("\"event\":\"{event}\"");
        let until = Instant::now() + EVENT_TIMEOUT;
        loop {
            let rest = until.saturating_duration_since(Instant::now());
            let line = self.lines.recv_timeout(rest);
            let line = line.unwrap_or_else(|error| panic!("no line of {event}: {error}"));
            if line.contains(&wanted) {
                return;
            }
        }
    }

    /// The exit status, if the process ends in time.
    fn exit_status(&mut self) -> Option<ExitStatus> {
        let until = Instant::now() + GRACE + EXIT_SLACK;
        while Instant::now() < until {
            if let Some(status) = self.process.try_wait().expect("it is a child") {
                return Some(status);
            }
            thread::sleep(Duration::from_millis(10));
        }
        None
    }

    fn assert_clean_exit(&mut self) {
        let status = self.exit_status();
        assert_that!(status.map(|status| status.code()), some(some(eq(0))), "{status:?}");
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        // It has ended already unless the test fails.
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

fn settings_path(folder: &TempDir) -> PathBuf {
    folder.path().join("settings.json")
}

/// Puts a named pipe in the place of the settings file: whoever reads it waits for a writer.
fn make_pipe(folder: &TempDir) {
    let made = Command::new("mkfifo").arg(settings_path(folder)).status().expect("mkfifo runs");
    assert_that!(made.success(), eq(true));
}

/// A stop that arrives together with a reload was lost, and the process was killed with requests in
/// progress.
#[rstest]
#[case::entry_reload_first(Kind::DirectEntry, &[Signal::SIGHUP, Signal::SIGTERM])]
#[case::entry_interrupt(Kind::DirectEntry, &[Signal::SIGHUP, Signal::SIGINT])]
#[case::entry_between(Kind::DirectEntry, &[Signal::SIGHUP, Signal::SIGTERM, Signal::SIGHUP])]
#[case::agent_reload_first(Kind::DirectAgent, &[Signal::SIGHUP, Signal::SIGTERM])]
#[case::agent_interrupt(Kind::DirectAgent, &[Signal::SIGHUP, Signal::SIGINT])]
#[case::agent_between(Kind::DirectAgent, &[Signal::SIGHUP, Signal::SIGTERM, Signal::SIGHUP])]
fn stop_that_arrives_with_a_reload_is_not_lost(#[case] kind: Kind, #[case] signals: &[Signal]) {
    let mut daemons: Vec<Daemon> = (0..6).map(|_| Daemon::start(kind)).collect();
    for daemon in &daemons {
        daemon.wait_for_event("started");
        signals.iter().for_each(|signal| daemon.signal(*signal));
    }
    daemons.iter_mut().for_each(Daemon::assert_clean_exit);
}

/// A stop was lost behind a series of reloads as well.
#[rstest]
#[case(Kind::DirectEntry)]
#[case(Kind::DirectAgent)]
fn stop_behind_a_series_of_reloads_is_not_lost(#[case] kind: Kind) {
    let mut daemons: Vec<Daemon> = (0..4).map(|_| Daemon::start(kind)).collect();
    for (number, daemon) in daemons.iter().enumerate() {
        daemon.wait_for_event("started");
        for _ in 0..20 {
            daemon.signal(Signal::SIGHUP);
            thread::sleep(Duration::from_micros(200 * number as u64));
        }
        daemon.signal(Signal::SIGTERM);
    }
    daemons.iter_mut().for_each(Daemon::assert_clean_exit);
}

/// A reload that arrived before the handlers ended the process by its default action.
#[rstest]
#[case(Kind::DirectEntry)]
#[case(Kind::DirectAgent)]
#[case(Kind::Entry)]
#[case(Kind::Agent)]
fn reload_during_the_start_does_not_end_the_process(#[case] kind: Kind) {
    let mut daemon = Daemon::start_waiting(kind);
    let mut pipe = daemon.wait_until_read();
    daemon.signal(Signal::SIGHUP);
    let path = settings_path(&daemon.folder);
    fs::remove_file(&path).expect("it exists");
    fs::write(path, kind.settings().to_string()).expect("a file");
    write!(pipe, "{}", kind.settings()).expect("the daemon reads");
    drop(pipe);
    match kind {
        Kind::DirectEntry | Kind::DirectAgent => daemon.wait_for_event("reloaded"),
        // These have no decision log.
        Kind::Entry | Kind::Agent => thread::sleep(Duration::from_millis(500)),
    }
    daemon.signal(Signal::SIGTERM);
    daemon.assert_clean_exit();
}

/// Settings that can't be read at the start must not keep a process from ending.
#[rstest]
#[case(Kind::DirectEntry)]
#[case(Kind::Agent)]
fn stop_during_the_start_ends_the_process(#[case] kind: Kind) {
    let mut daemon = Daemon::start_waiting(kind);
    let _pipe = daemon.wait_until_read();
    daemon.signal(Signal::SIGHUP);
    daemon.signal(Signal::SIGTERM);
    assert_that!(daemon.exit_status(), some(anything()));
}

/// A reload whose file could not be read at once delayed a stop.
#[rstest]
#[case(Kind::DirectEntry)]
#[case(Kind::DirectAgent)]
fn reload_that_hangs_does_not_delay_a_stop(#[case] kind: Kind) {
    let mut daemon = Daemon::start(kind);
    daemon.wait_for_event("started");
    fs::remove_file(settings_path(&daemon.folder)).expect("it exists");
    make_pipe(&daemon.folder);
    daemon.signal(Signal::SIGHUP);
    let _pipe = daemon.wait_until_read();
    daemon.signal(Signal::SIGTERM);
    daemon.assert_clean_exit();
}
