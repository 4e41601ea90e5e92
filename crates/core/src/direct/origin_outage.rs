//! Recognises outages of the origin of the weights.
//!
//! Handles an origin that goes down and returns while versions are being transferred. The time of
//! the return is unknown, so that estimates must not assume that pieces arrive from now on.

use std::time::Duration;

use headlatch_types::traffic::WeightVersion;

use crate::time::Moment;

/// Time without a new piece in the fleet after which the origin counts as down.
const SILENCE_LIMIT: Duration = Duration::from_secs(1);

/// The same if this box's own origin fetches fail. Notes of pieces that others had fetched before
/// take some tenths of a second.
const FAILURE_SILENCE_LIMIT: Duration = Duration::from_millis(300);

/// Consecutive failed origin fetches of this box that count as a sign of an outage. A single one may
/// have met a broken connection.
const FAILURE_LIMIT: u32 = 2;

/// An origin that sends a piece in more than a third of [`SILENCE_LIMIT`] may be silent for this
/// number of pieces.
const SILENT_PIECES: u32 = 3;

/// Time after the start of a transfer in which pieces that become known may have been fetched before.
const SETTLING_TIME: Duration = Duration::from_millis(500);

/// Time after which a second rise of the number of known pieces confirms that an outage has ended. A
/// single rise may come from notes of pieces that others had fetched before.
const CONFIRMATION_TIME: Duration = Duration::from_millis(100);

/// Whether the origin sends pieces.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum OriginState {
    /// It does, or nothing is known to the contrary.
    #[default]
    Reachable,
    /// It does not.
    Down,
}

/// What a box observes of the origin during a transfer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OriginSigns {
    /// The version that is being transferred.
    pub version: WeightVersion,
    /// Number of its pieces that this box or another one is known to hold.
    pub known: u32,
    /// Its total number of pieces.
    pub pieces: u32,
    /// Number of its pieces that this box has read from the origin.
    pub reads: u64,
    /// Number of this box's origin fetches that could not reach it, since the last one that could.
    pub failures: u32,
    /// Time in which the origin sends one piece at its configured rate.
    pub piece_time: Duration,
}

#[derive(Debug, Clone, Copy)]
struct WatchedTransfer {
    signs: OriginSigns,
    started: Moment,
    /// When a piece last arrived from the origin, or the transfer started.
    progressed: Moment,
    /// When the number of known pieces first rose during the present outage.
    rose: Option<Moment>,
}

/// Tracks whether the origin is down, from what one box observes.
#[derive(Debug, Clone, Copy, Default)]
pub struct OriginWatch {
    transfer: Option<WatchedTransfer>,
    state: OriginState,
}

impl OriginWatch {
    /// The present state.
    pub fn state(&self) -> OriginState {
        self.state
    }

    /// Records observations; `None` if nothing is being transferred, which ends a known outage since
    /// it can no longer be observed. Returns the new state if it has changed.
    pub fn record(&mut self, now: Moment, signs: Option<OriginSigns>) -> Option<OriginState> {
        let before = self.state;
        match signs {
            Some(signs) => self.observe(now, signs),
            None => *self = Self::default(),
        }
        (self.state != before).then_some(self.state)
    }

    fn observe(&mut self, now: Moment, signs: OriginSigns) {
        let new = WatchedTransfer { signs, started: now, progressed: now, rose: None };
        let same = self.transfer.filter(|last| last.signs.version == signs.version);
        let mut watched = same.unwrap_or(new);
        let settling = now.since(watched.started) < SETTLING_TIME;
        let arrived = signs.known > watched.signs.known && !settling;
        let read = signs.reads > watched.signs.reads;
        let confirmed = match self.state {
            OriginState::Reachable => arrived,
            OriginState::Down => {
                arrived && now.since(*watched.rose.get_or_insert(now)) >= CONFIRMATION_TIME
            }
        };
        if confirmed || read {
            watched.progressed = now;
            watched.rose = None;
            self.state = OriginState::Reachable;
        }
        // A version that is known completely needs nothing from the origin, so that silence says
        // nothing.
        if signs.known >= signs.pieces {
            watched.progressed = now;
        }
        watched.signs = signs;
        let failing = signs.failures >= FAILURE_LIMIT;
        let limit = if failing { FAILURE_SILENCE_LIMIT } else { SILENCE_LIMIT };
        if now.since(watched.progressed) >= limit.max(signs.piece_time * SILENT_PIECES) {
            self.state = OriginState::Down;
        }
        self.transfer = Some(watched);
    }
}
