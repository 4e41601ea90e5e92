//! Time for which the machine was suspended: the steady clock does not count it, other machines do.

use std::{
    fmt::Debug,
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

use headlatch_core::time::Moment;
use nix::time::{ClockId, clock_gettime};
use tokio::time::Instant;

/// Least time after which the machine is asked again for how long it was suspended. Facts may be taken
/// for that much younger than they are; to ask each time costs two readings of clocks a call.
const QUERY_INTERVAL: Duration = Duration::from_millis(5);

/// Tells for how long the machine has been suspended.
pub trait SuspendSource: Send + Sync + Debug {
    /// Time for which it has been suspended since the source began.
    fn suspended(&self) -> Duration;
}

/// The kernel's clocks: the one that counts suspended time goes ahead of the one that does not.
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

/// How far the clock that counts suspended time is ahead; nothing where the kernel has none.
fn boot_clock_lead() -> Duration {
    let read = |clock| clock_gettime(clock).map(Duration::from);
    let steady = read(ClockId::CLOCK_MONOTONIC);
    match (read(ClockId::CLOCK_BOOTTIME), steady) {
        (Ok(boot), Ok(steady)) => boot.saturating_sub(steady),
        _ => Duration::ZERO,
    }
}

/// A clock that counts suspended time as well.
#[derive(Debug)]
pub struct NodeClock {
    started: Instant,
    source: Box<dyn SuspendSource>,
    /// Microseconds from its beginning to when the source was asked last, by the steady clock.
    queried: AtomicU64,
    /// Microseconds of suspension that it told then.
    suspended: AtomicU64,
}

impl Default for NodeClock {
    fn default() -> Self {
        Self::new(Box::new(KernelSuspendClock::default()))
    }
}

impl NodeClock {
    /// A clock that begins now.
    pub fn new(source: Box<dyn SuspendSource>) -> Self {
        let [queried, suspended] = [0; 2].map(AtomicU64::new);
        Self { started: Instant::now(), source, queried, suspended }
    }

    /// The time since it began.
    pub fn now(&self) -> Moment {
        let steady = self.started.elapsed();
        self.moment(steady)
    }

    /// The same at a moment of the steady clock.
    pub fn at(&self, steady: Instant) -> Moment {
        self.moment(steady.saturating_duration_since(self.started))
    }

    /// Time for which the machine was suspended since the clock began.
    pub fn suspended(&self) -> Duration {
        let _ = self.now();
        Duration::from_micros(self.suspended.load(Ordering::Relaxed))
    }

    fn moment(&self, steady: Duration) -> Moment {
        let steady = steady.as_micros() as u64;
        let queried = self.queried.load(Ordering::Relaxed);
        if steady.saturating_sub(queried) >= QUERY_INTERVAL.as_micros() as u64 || queried == 0 {
            self.queried.store(steady.max(1), Ordering::Relaxed);
            // Never back: what was once counted stays counted.
            self.suspended.fetch_max(self.source.suspended().as_micros() as u64, Ordering::Relaxed);
        }
        Moment::from_micros(steady + self.suspended.load(Ordering::Relaxed))
    }
}
