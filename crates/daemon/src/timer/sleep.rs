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
const ASK_PAUSE: Duration = Duration::from_millis(5);

/// Tells for how long the machine has been suspended.
pub trait SleepSource: Send + Sync + Debug {
    /// Time for which it has been suspended since the source began.
    fn slept(&self) -> Duration;
}

/// The kernel's clocks: the one that counts suspended time goes ahead of the one that does not.
#[derive(Debug)]
pub struct KernelSleep {
    ahead_at_start: Duration,
}

impl Default for KernelSleep {
    fn default() -> Self {
        Self { ahead_at_start: ahead() }
    }
}

impl SleepSource for KernelSleep {
    fn slept(&self) -> Duration {
        ahead().saturating_sub(self.ahead_at_start)
    }
}

/// How far the clock that counts suspended time is ahead; nothing where the kernel has none.
fn ahead() -> Duration {
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
    begun: Instant,
    source: Box<dyn SleepSource>,
    /// Microseconds from its beginning to when the source was asked last, by the steady clock.
    asked: AtomicU64,
    /// Microseconds of suspension that it told then.
    slept: AtomicU64,
}

impl Default for NodeClock {
    fn default() -> Self {
        Self::new(Box::new(KernelSleep::default()))
    }
}

impl NodeClock {
    /// A clock that begins now.
    pub fn new(source: Box<dyn SleepSource>) -> Self {
        let [asked, slept] = [0; 2].map(AtomicU64::new);
        Self { begun: Instant::now(), source, asked, slept }
    }

    /// The time since it began.
    pub fn now(&self) -> Moment {
        let steady = self.begun.elapsed();
        self.moment(steady)
    }

    /// The same at a moment of the steady clock.
    pub fn at(&self, steady: Instant) -> Moment {
        self.moment(steady.saturating_duration_since(self.begun))
    }

    /// Time for which the machine was suspended since the clock began.
    pub fn slept(&self) -> Duration {
        let _ = self.now();
        Duration::from_micros(self.slept.load(Ordering::Relaxed))
    }

    fn moment(&self, steady: Duration) -> Moment {
        let steady = steady.as_micros() as u64;
        let asked = self.asked.load(Ordering::Relaxed);
        if steady.saturating_sub(asked) >= ASK_PAUSE.as_micros() as u64 || asked == 0 {
            self.asked.store(steady.max(1), Ordering::Relaxed);
            // Never back: what was once counted stays counted.
            self.slept.fetch_max(self.source.slept().as_micros() as u64, Ordering::Relaxed);
        }
        Moment::from_micros(steady + self.slept.load(Ordering::Relaxed))
    }
}
