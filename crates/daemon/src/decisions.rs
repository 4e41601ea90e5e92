//! The decision log: one JSON object a line on standard output, bounded, never in the way.
//!
//! Lines go into a buffer in memory and a thread of their own writes them. A line that finds the
//! buffer full, or that comes after too many in one second, is counted and left out; how many were
//! left out is told in a line of its own.

use std::{
    io::Write,
    sync::{
        Mutex, MutexGuard, OnceLock,
        atomic::{AtomicU64, Ordering},
    },
    thread::Thread,
    time::{Duration, Instant},
};

use serde::Serialize;

use crate::timer::unix_time;

/// Most bytes that wait to be written.
const MAX_BUFFERED_BYTES: usize = 512 << 10;

/// Most lines in one second.
const MAX_LINES_PER_SECOND: u32 = 2_000;

/// Time that the writer lets lines gather.
const WRITE_DELAY: Duration = Duration::from_millis(100);

#[derive(Debug, Default)]
struct Buffer {
    bytes: Vec<u8>,
    second: u64,
    lines: u32,
    unreported: u64,
}

#[derive(Debug)]
struct DecisionLog {
    buffer: Mutex<Buffer>,
    writer: OnceLock<Thread>,
    dropped: AtomicU64,
    started: Instant,
}

static LOG: OnceLock<DecisionLog> = OnceLock::new();

/// One line.
#[derive(Debug, Serialize)]
struct Line<'a, T: Serialize> {
    time_ms: u64,
    steady_us: u64,
    level: &'a str,
    part: &'a str,
    event: &'a str,
    #[serde(flatten)]
    fields: T,
}

/// Starts the log for the whole process; lines before that are left out.
pub fn start() {
    let log = LOG.get_or_init(|| DecisionLog {
        buffer: Mutex::default(),
        writer: OnceLock::new(),
        dropped: AtomicU64::new(0),
        started: Instant::now(),
    });
    let spawned = std::thread::Builder::new().name("log".to_owned()).spawn(move || run_writer(log));
    if let Ok(handle) = spawned {
        // A second start keeps the first writer, which does as well.
        let _ = log.writer.set(handle.thread().clone());
    }
}

/// Lines left out so far.
pub fn dropped() -> u64 {
    LOG.get().map_or(0, |log| log.dropped.load(Ordering::Relaxed))
}

/// Writes down one decision.
pub fn info(part: &str, event: &str, fields: impl Serialize) {
    write("info", part, event, fields);
}

/// Writes down something that may need an operator.
pub fn warn(part: &str, event: &str, fields: impl Serialize) {
    write("warn", part, event, fields);
}

pub(crate) fn write(level: &str, part: &str, event: &str, fields: impl Serialize) {
    let Some(log) = LOG.get() else { return };
    let steady_us = log.started.elapsed().as_micros() as u64;
    let time_ms = unix_time().as_millis() as u64;
    log.add(steady_us, &Line { time_ms, steady_us, level, part, event, fields });
}

impl DecisionLog {
    fn lock(&self) -> MutexGuard<'_, Buffer> {
        self.buffer.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    fn add(&self, steady_us: u64, line: &impl Serialize) {
        let mut buffer = self.lock();
        let second = steady_us / 1_000_000;
        if buffer.second != second {
            buffer.second = second;
            buffer.lines = 0;
        }
        buffer.lines += 1;
        if buffer.lines > MAX_LINES_PER_SECOND || buffer.bytes.len() > MAX_BUFFERED_BYTES {
            buffer.unreported += 1;
            self.dropped.fetch_add(1, Ordering::Relaxed);
            return;
        }
        let was_empty = buffer.bytes.is_empty();
        let before = buffer.bytes.len();
        match serde_json::to_writer(&mut buffer.bytes, line) {
            Ok(()) => buffer.bytes.push(b'\n'),
            Err(_) => buffer.bytes.truncate(before),
        }
        drop(buffer);
        if was_empty && let Some(writer) = self.writer.get() {
            writer.unpark();
        }
    }

    fn take(&self) -> (Vec<u8>, u64) {
        let mut buffer = self.lock();
        let unreported = std::mem::take(&mut buffer.unreported);
        (std::mem::take(&mut buffer.bytes), unreported)
    }
}

fn run_writer(log: &DecisionLog) {
    loop {
        let (mut bytes, unreported) = log.take();
        if bytes.is_empty() {
            std::thread::park();
            std::thread::sleep(WRITE_DELAY);
            continue;
        }
        if unreported > 0 {
            let line = format!(
                "{{\"time_ms\":{},\"steady_us\":{},\"level\":\"warn\",\"part\":\"log\",\"event\":\"lines_left_out\",\"lines\":{unreported}}}\n",
                unix_time().as_millis(),
                log.started.elapsed().as_micros(),
            );
            bytes.extend_from_slice(line.as_bytes());
        }
        // Nobody is left to tell when standard output is gone.
        let _ = std::io::stdout().write_all(&bytes);
    }
}

/// Writes what waits, for the end of a process.
pub fn flush() {
    if let Some(log) = LOG.get() {
        let (bytes, _) = log.take();
        let _ = std::io::stdout().write_all(&bytes);
    }
}
