//! `Retry-After` of requests that are refused for lack of room.
//!
//! Handles load bursts of several seconds: a caller that returns before the burst ends is refused again and
//! does not return a second time, and callers that return at the same moment are a burst of their own.

use std::{collections::HashMap, sync::Arc, time::Duration};

use crate::time::Moment;

/// Minimum time, unless the caller's remaining time is too short for it.
const MIN_TIME: Duration = Duration::from_millis(700);

/// Maximum time, unless servers asked for more.
const MAX_TIME: Duration = Duration::from_secs(2);

/// Divisor of a caller's remaining time that gives the longest `Retry-After` that callers honour.
const REMAINING_DIVISOR: u32 = 3;

/// Time without a request that found no room after which an overload has ended.
const OVERLOAD_END_TIME: Duration = Duration::from_secs(1);

/// Unit of the time in a response, in microseconds: `Retry-After` has two decimals.
const UNIT_MICROS: u64 = 10_000;

/// Bounds of one caller's `Retry-After`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReturnBounds {
    /// Time left until the caller's deadline.
    pub remaining: Duration,
    /// Minimum time that servers asked for; takes precedence over all maxima.
    pub asked: Duration,
}

/// Time for which a service has been overloaded.
#[derive(Debug, Clone, Copy)]
struct Overload {
    since: Moment,
    last: Moment,
}

/// Observes the overloads of each service and sets the times after which refused callers return.
#[derive(Debug, Default)]
pub struct ReturnTime {
    services: HashMap<Arc<str>, Overload>,
}

impl ReturnTime {
    /// Records that a request to `service` found no room.
    pub fn record_overload(&mut self, now: Moment, service: &Arc<str>) {
        if !self.services.contains_key(service) {
            self.services.retain(|_, overload| now.since(overload.last) < OVERLOAD_END_TIME);
        }
        let begun = Overload { since: now, last: now };
        let overload = self.services.entry(service.clone()).or_insert(begun);
        if now.since(overload.last) >= OVERLOAD_END_TIME {
            overload.since = now;
        }
        overload.last = overload.last.max(now);
    }

    /// Time for which `service` has been overloaded; zero if it is not.
    pub fn overloaded_for(&self, now: Moment, service: &str) -> Duration {
        let current = self.services.get(service);
        let current = current.filter(|overload| now.since(overload.last) < OVERLOAD_END_TIME);
        current.map_or(Duration::ZERO, |overload| now.since(overload.since))
    }

    /// `Retry-After` of a refused request to `service`, in units of 10 ms. An overload is expected to last as
    /// long again as it has lasted, so callers are spread over that time; `draw`, from 0 to 1, places this
    /// one.
    pub fn time(&self, now: Moment, service: &str, bounds: ReturnBounds, draw: f64) -> Duration {
        let most = MAX_TIME.min(bounds.remaining / REMAINING_DIVISOR);
        // The end of the interval is bounded, not the result: otherwise many callers would return at the
        // bound together.
        let latest = (self.overloaded_for(now, service) + MIN_TIME).min(most);
        // Callers with little time left are spread as well: a third of it may be below the minimum.
        let earliest = if latest < MIN_TIME { latest / 2 } else { MIN_TIME };
        let time = earliest + (latest - earliest).mul_f64(draw.clamp(0.0, 1.0));
        round_down(time).max(round_up(bounds.asked))
    }
}

fn round_down(time: Duration) -> Duration {
    let micros = time.as_micros() as u64;
    Duration::from_micros(micros - micros % UNIT_MICROS)
}

fn round_up(time: Duration) -> Duration {
    let micros = u64::try_from(time.as_micros()).unwrap_or(u64::MAX - UNIT_MICROS);
    Duration::from_micros(micros.div_ceil(UNIT_MICROS).saturating_mul(UNIT_MICROS))
}
