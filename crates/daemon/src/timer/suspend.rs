//! A clock that includes suspended time: the monotonic clock excludes it, but time passes on other
//! machines.

use std::{
    fmt::Debug,
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

use headlatch_core::time::Moment;
use nix::time::{ClockId, clock_gettime};
use tokio::time::Instant;

/// Minimum interval between queries of the suspended time. After a resume, facts are taken to be
/// younger than they are for up to this interval; querying on every call would cost two clock reads per call.
const QUERY_INTERVAL: Duration = Duration::from_millis(5);

/// Source of the time for which the machine was suspended.
pub trait SuspendSource: Send + Sync + Debug {
    /// Suspended time since the source was created.
    fn suspended(&self) -> Duration;
}

/// Suspended time from the kernel clocks: the lead of `CLOCK_BOOTTIME`, which includes suspension,
/// over `CLOCK_MONOTONIC`, which does not.
#[derive(Debug)]
pub struct KernelSuspendClock {
    lead_at_start: Duration,
}

impl Default for KernelSuspendClock {
    fn default() -> Self {
        Self { lead_at_start: boot_clock_lead() }
    }
}

impl SuspendSource for KernelSuspendClock {
    fn suspended(&self) -> Duration {
        boot_clock_lead().saturating_sub(self.lead_at_start)
    }
}

/// Lead of the boot-time clock over the monotonic clock; zero if the kernel does not support it.
fn boot_clock_lead() -> Duration {
    let read = |clock| clock_gettime(clock).map(Duration::from);
    let steady = read(ClockId::CLOCK_MONOTONIC);
    match (read(ClockId::CLOCK_BOOTTIME), steady) {
        (Ok(boot), Ok(steady)) => boot.saturating_sub(steady),
        _ => Duration::ZERO,
    }
}

/// A monotonic clock that includes suspended time.
#[derive(Debug)]
pub struct NodeClock {
    started: Instant,
    source: Box<dyn SuspendSource>,
    /// Monotonic time of the last query of the source, in microseconds since `started`.
    queried: AtomicU64,
    /// Suspended time at the last query, in microseconds.
    suspended: AtomicU64,
}

impl Default for NodeClock {
    fn default() -> Self {
        Self::new(Box::new(KernelSuspendClock::default()))
    }
}

impl NodeClock {
    /// Creates a clock that starts at zero now.
    pub fn new(source: Box<dyn SuspendSource>) -> Self {
        let [queried, suspended] = [0; 2].map(AtomicU64::new);
        Self { started: Instant::now(), source, queried, suspended }
    }

    /// Time since the clock was created, including suspended time.
    pub fn now(&self) -> Moment {
        let steady = self.started.elapsed();
        self.moment(steady)
    }

    /// The same for an instant of the monotonic clock.
    pub fn at(&self, steady: Instant) -> Moment {
        self.moment(steady.saturating_duration_since(self.started))
    }

    /// Suspended time since the clock was created.
    pub fn suspended(&self) -> Duration {
        let _ = self.now();
        Duration::from_micros(self.suspended.load(Ordering::Relaxed))
    }

    fn moment(&self, steady: Duration) -> Moment {
        let steady = steady.as_micros() as u64;
        let queried = self.queried.load(Ordering::Relaxed);
        if steady.saturating_sub(queried) >= QUERY_INTERVAL.as_micros() as u64 || queried == 0 {
            self.queried.store(steady.max(1), Ordering::Relaxed);
            // The maximum keeps the clock monotonic if the source reports a smaller value.
            self.suspended.fetch_max(self.source.suspended().as_micros() as u64, Ordering::Relaxed);
        }
        Moment::from_micros(steady + self.suspended.load(Ordering::Relaxed))
    }
}
