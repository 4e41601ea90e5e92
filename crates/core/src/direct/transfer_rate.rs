//! Estimates how long a version's missing pieces take to arrive.
//!
//! Handles origins narrower than a box's own link, slow origins and links shared with requests, by
//! measuring the rate of recent arrivals, and outages of the origin, in which no rate can be
//! measured and only what is needed after its return can be compared.

use std::{collections::VecDeque, time::Duration};

use headlatch_types::traffic::WeightVersion;

use super::origin_outage::OriginState;
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
    /// Number of pieces held by this box.
    pub held: u32,
    /// Number of pieces that this box or another one is known to hold.
    pub known: u32,
    /// Total number of pieces.
    pub pieces: u32,
    /// Time in which the origin sends one piece.
    pub origin_piece_time: Duration,
    /// Time in which this box's link transfers one piece.
    pub link_piece_time: Duration,
}

impl TransferView {
    fn missing(&self) -> u32 {
        self.pieces.saturating_sub(self.held)
    }

    /// Number of pieces that no box is known to hold.
    fn unknown(&self) -> u32 {
        self.pieces.saturating_sub(self.known.max(self.held))
    }

    /// Time to send one piece over the narrower of the two links.
    fn piece_time(&self) -> Duration {
        self.origin_piece_time.max(self.link_piece_time)
    }
}

/// What an estimate is based on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EstimateBasis {
    /// No piece is missing.
    Complete,
    /// The configured rates of the links.
    LinkRates,
    /// The rate at which pieces have been arriving.
    ArrivalRate,
    /// What is needed once the origin has returned from an outage.
    AfterOutage,
}

/// Estimated time until the missing pieces of a version have arrived, with its parts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TransferEstimate {
    /// What the estimate is based on.
    pub basis: EstimateBasis,
    /// Time for which the origin's link is needed.
    pub origin: Duration,
    /// Time for which this box's own link is needed.
    pub link: Duration,
    /// Time for the last pieces to spread.
    pub spread: Duration,
    /// The estimate. In an outage of the origin, it counts from the origin's return.
    pub total: Duration,
}

impl TransferEstimate {
    const COMPLETE: Self = Self {
        basis: EstimateBasis::Complete,
        origin: Duration::ZERO,
        link: Duration::ZERO,
        spread: Duration::ZERO,
        total: Duration::ZERO,
    };
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

    /// Discards the measurement. An outage within the window would count as a slow origin: after the
    /// return, a version seemed to need three times as long as it did.
    pub fn restart(&mut self) {
        self.held.clear();
    }

    /// Estimates the time until the missing pieces have arrived.
    pub fn estimate(&self, view: &TransferView, origin: OriginState) -> TransferEstimate {
        match (view.missing(), origin) {
            (0, _) => TransferEstimate::COMPLETE,
            (_, OriginState::Reachable) => self.estimate_from_rates(view),
            (_, OriginState::Down) => estimate_after_outage(view),
        }
    }

    fn estimate_from_rates(&self, view: &TransferView) -> TransferEstimate {
        let missing = view.missing();
        let (origin, link) = (view.origin_piece_time * missing, view.link_piece_time * missing);
        let narrowest = view.piece_time() * missing;
        let (basis, time) = match self.piece_interval(view.version) {
            Some(interval) => (EstimateBasis::ArrivalRate, interval * missing),
            None => (EstimateBasis::LinkRates, narrowest * RELAY_OVERHEAD_PERCENT / 100),
        };
        let total = time.max(narrowest) + SPREAD_TIME;
        TransferEstimate { basis, origin, link, spread: SPREAD_TIME, total }
    }

    /// Recent average time between two pieces; `None` if too few have arrived. Measured until the
    /// last arrival: until a standstill is known as an outage, it would count as a slow origin.
    fn piece_interval(&self, version: WeightVersion) -> Option<Duration> {
        let (from, before) = self.held.front().filter(|_| self.version == Some(version))?;
        let (_, last) = self.held.back()?;
        let (until, after) = self.held.iter().find(|(_, held)| held == last)?;
        let received = after.saturating_sub(*before);
        (received >= MIN_PIECES).then(|| until.since(*from) / received)
    }
}

/// The time needed once the origin has returned. Only pieces that no box holds need the origin, so a
/// version that the other boxes hold completely does not wait for it.
fn estimate_after_outage(view: &TransferView) -> TransferEstimate {
    let origin = view.origin_piece_time * view.unknown();
    let link = view.link_piece_time * view.missing();
    let total = origin + link + SPREAD_TIME;
    let basis = EstimateBasis::AfterOutage;
    TransferEstimate { basis, origin, link, spread: SPREAD_TIME, total }
}
