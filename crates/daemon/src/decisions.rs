//! The decision log: one JSON object per line on standard output, bounded and non-blocking.
//!
//! Lines are appended to an in-memory buffer and written by a dedicated thread. A line is dropped
//! and counted if the buffer is full or the per-second limit is reached; the number of dropped
//! lines is reported in a separate `lines_left_out` line. Long texts are cut.

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

mod bounded_text;

/// Maximum number of buffered bytes before further lines are dropped.
const MAX_BUFFERED_BYTES: usize = 512 << 10;

/// Maximum number of lines accepted per second.
const MAX_LINES_PER_SECOND: u32 = 2_000;

/// Delay after the first buffered line before the writer flushes, so that lines are batched.
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

/// One log line as serialized.
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

/// Starts the process-wide log; lines logged earlier are discarded.
pub fn start() {
    let log = LOG.get_or_init(|| DecisionLog {
        buffer: Mutex::default(),
        writer: OnceLock::new(),
        dropped: AtomicU64::new(0),
        started: Instant::now(),
    });
    let spawned = std::thread::Builder::new().name("log".to_owned()).spawn(move || run_writer(log));
    if let Ok(handle) = spawned {
        // A repeated call keeps the first writer thread, which serves the same buffer.
        let _ = log.writer.set(handle.thread().clone());
    }
}

/// Number of lines dropped so far.
pub fn dropped() -> u64 {
    LOG.get().map_or(0, |log| log.dropped.load(Ordering::Relaxed))
}

/// Logs a decision at info level.
pub fn info(part: &str, event: &str, fields: impl Serialize) {
    write("info", part, event, fields);
}

/// Logs an event that may need operator attention at warn level.
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
        match bounded_text::write_json(&mut buffer.bytes, line) {
            Ok(()) => buffer.bytes.push(b'\n'),
            Err(_) => buffer.bytes.truncate(before),
        }
        drop(buffer);
        if was_empty && let Some(writer) = self.writer.get() {
            writer.unpark();
        }
    }

    fn drain(&self) -> (Vec<u8>, u64) {
        let mut buffer = self.lock();
        let unreported = std::mem::take(&mut buffer.unreported);
        (std::mem::take(&mut buffer.bytes), unreported)
    }
}

fn run_writer(log: &DecisionLog) {
    loop {
        let (mut bytes, unreported) = log.drain();
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
        // A failure to write to standard output cannot be reported anywhere else.
        let _ = std::io::stdout().write_all(&bytes);
    }
}

/// Writes all buffered lines; called before the process exits.
pub fn flush() {
    if let Some(log) = LOG.get() {
        let (bytes, _) = log.drain();
        let _ = std::io::stdout().write_all(&bytes);
    }
}
