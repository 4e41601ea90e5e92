//! How long a version's missing pieces take to come, from the pace at which pieces have come lately.
//!
//! Answers the load of a burst whose bottleneck nobody told: an origin narrower than a box's own link, one
//! that is slow, or a link that is shared with requests.

use std::{collections::VecDeque, time::Duration};

use headlatch_types::traffic::WeightVersion;

use crate::time::Moment;

/// Time over which the pace is taken.
const RATE_WINDOW: Duration = Duration::from_millis(1500);

/// Pieces that must have come in that time for the pace to say anything.
const MIN_PIECES: u32 = 8;

/// Part by which a transfer takes longer than its slowest link alone would, in percent: pieces pass several
/// boxes.
const RELAY_OVERHEAD_PERCENT: u32 = 120;

/// Time for the last pieces to spread and to be laid into the stage.
const SPREAD_TIME: Duration = Duration::from_millis(500);

/// What is told of a transfer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TransferView {
    /// The version.
    pub version: WeightVersion,
    /// Pieces that are here.
    pub held: u32,
    /// Pieces in all.
    pub pieces: u32,
    /// Time that one piece takes over the narrowest link known.
    pub piece_time: Duration,
}

impl TransferView {
    fn missing(&self) -> u32 {
        self.pieces.saturating_sub(self.held)
    }
}

/// The pace of the transfer that is under way.
#[derive(Debug, Clone, Default)]
pub struct TransferRate {
    version: Option<WeightVersion>,
    held: VecDeque<(Moment, u32)>,
}

impl TransferRate {
    /// Takes in how many pieces of a version are here.
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

    /// Time until the missing pieces are here.
    ///
    /// While nothing comes, as in an outage, it is what the links would take from now on.
    pub fn time_left(&self, view: &TransferView) -> Duration {
        let missing = view.missing();
        if missing == 0 {
            return Duration::ZERO;
        }
        let predicted = view.piece_time * missing * RELAY_OVERHEAD_PERCENT / 100;
        let measured = self.piece_interval(view.version).map(|piece_time| piece_time * missing);
        measured.unwrap_or(predicted).max(view.piece_time * missing) + SPREAD_TIME
    }

    /// Time between two pieces lately; none where too few have come.
    fn piece_interval(&self, version: WeightVersion) -> Option<Duration> {
        let (from, before) = self.held.front().filter(|_| self.version == Some(version))?;
        let (until, after) = self.held.back()?;
        let received = after.saturating_sub(*before);
        (received >= MIN_PIECES).then(|| until.since(*from) / received)
    }
}
