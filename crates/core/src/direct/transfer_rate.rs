//! Estimates how long a version's missing pieces take to arrive, from the rate of recent arrivals.
//!
//! Measuring the rate covers bottlenecks that are not configured: an origin narrower than a box's
//! own link, a slow origin, or a link shared with requests.

use std::{collections::VecDeque, time::Duration};

use headlatch_types::traffic::WeightVersion;

use crate::time::Moment;

/// Time window over which the rate is measured.
const RATE_WINDOW: Duration = Duration::from_millis(1500);

/// Minimum number of pieces received in the window for the rate to be meaningful.
const MIN_PIECES: u32 = 8;

/// Duration of a transfer relative to its slowest link alone, in percent: pieces pass through
/// several boxes.
const RELAY_OVERHEAD_PERCENT: u32 = 120;

/// Time for the last pieces to spread and to be written to the stage.
const SPREAD_TIME: Duration = Duration::from_millis(500);

/// State of a transfer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TransferView {
    /// The version.
    pub version: WeightVersion,
    /// Number of pieces held.
    pub held: u32,
    /// Total number of pieces.
    pub pieces: u32,
    /// Time to send one piece over the narrowest known link.
    pub piece_time: Duration,
}

impl TransferView {
    fn missing(&self) -> u32 {
        self.pieces.saturating_sub(self.held)
    }
}

/// Measured rate of the current transfer.
#[derive(Debug, Clone, Default)]
pub struct TransferRate {
    version: Option<WeightVersion>,
    held: VecDeque<(Moment, u32)>,
}

impl TransferRate {
    /// Records how many pieces of a version are held.
    pub fn record(&mut self, now: Moment, version: WeightVersion, held: u32) {
        if self.version != Some(version) {
            self.version = Some(version);
            self.held.clear();
        }
        self.held.push_back((now, held));
        while self.held.get(1).is_some_and(|(at, _)| now.since(*at) >= RATE_WINDOW) {
            self.held.pop_front();
        }
    }

    /// Estimated time until the missing pieces have arrived.
    ///
    /// While nothing arrives, as in an outage, this is the time that the links would need from now
    /// on.
    pub fn time_left(&self, view: &TransferView) -> Duration {
        let missing = view.missing();
        if missing == 0 {
            return Duration::ZERO;
        }
        let predicted = view.piece_time * missing * RELAY_OVERHEAD_PERCENT / 100;
        let measured = self.piece_interval(view.version).map(|piece_time| piece_time * missing);
        measured.unwrap_or(predicted).max(view.piece_time * missing) + SPREAD_TIME
    }

    /// Recent average time between two pieces; `None` if too few have arrived.
    fn piece_interval(&self, version: WeightVersion) -> Option<Duration> {
        let (from, before) = self.held.front().filter(|_| self.version == Some(version))?;
        let (until, after) = self.held.back()?;
        let received = after.saturating_sub(*before);
        (received >= MIN_PIECES).then(|| until.since(*from) / received)
    }
}
