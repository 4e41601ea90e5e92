//! Decides an agent's next step for moving its server to the wanted weights.
//!
//! Pieces are written to the server's stage as they arrive and read back before use. Once all of
//! them are verified, one fenced order makes the engine load them. Servers change in turns so that
//! serving capacity is kept.

use std::time::Duration;

use headlatch_outside::engine::{OrderAnswer, OrderSequence, StageReport};
use headlatch_types::traffic::{StartTime, WeightVersion};

use super::weight_deadline::dispatch_time;
use crate::time::Moment;

/// Time after which an order that had no effect is issued again.
const ORDER_TIMEOUT: Duration = Duration::from_secs(2);

/// Time for which a successful read-back of the stage stays valid, since staged pieces may be
/// corrupted later.
const CHECK_VALIDITY: Duration = Duration::from_millis(1500);

/// Time that one server needs to drain and to load new weights.
pub(super) const TURN_TIME: Duration = Duration::from_millis(1100);

/// Known state of a server's stage.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct StageState {
    /// The version whose pieces are staged.
    pub version: Option<WeightVersion>,
    /// Which pieces are believed to be staged.
    pub placed: Vec<bool>,
    /// When all pieces were last read back and verified.
    pub checked: Option<Moment>,
    /// Whether the stage has been inspected since the version was first wanted.
    pub surveyed: bool,
}

/// An order that was issued.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GivenOrder {
    /// Version to load.
    pub version: WeightVersion,
    /// When it was issued.
    pub given: Moment,
    /// The engine's answer, if one was received.
    pub answer: Option<OrderAnswer>,
    /// The order sequence that the engine was expected to have.
    pub expected: OrderSequence,
}

/// Identity of the server process behind the last report.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EngineLife {
    last: Option<(Option<StartTime>, OrderSequence)>,
}

impl EngineLife {
    /// Records a report and returns whether the server has restarted since the previous one. If the
    /// server does not report its start time, a restart is recognised by its order count, which
    /// then starts anew.
    pub fn has_restarted(&mut self, report: &StageReport) -> bool {
        let last = self.last.replace((report.started_at, report.sequence));
        last.is_some_and(|(born, sequence)| born != report.started_at || report.sequence < sequence)
    }
}

/// Input to the decision on the next step.
#[derive(Debug, Clone, Copy)]
pub struct StageView<'a> {
    /// Current time.
    pub now: Moment,
    /// The wanted version.
    pub wanted: WeightVersion,
    /// Number of layers of the model.
    pub layers: u32,
    /// The server's last report.
    pub report: &'a StageReport,
    /// The version that the server holds completely.
    pub whole: Option<WeightVersion>,
    /// State of the stage.
    pub stage: &'a StageState,
    /// Which pieces are held locally and verified.
    pub held: &'a [bool],
    /// The last order issued.
    pub order: Option<GivenOrder>,
    /// Whether it is this server's turn to change.
    pub turn: bool,
}

/// The next step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StageStep {
    /// Do nothing.
    Wait,
    /// The server holds the wanted version.
    Done,
    /// Inspect which pieces are already staged.
    Survey,
    /// Write this piece to the stage.
    Place(u32),
    /// Read all pieces back.
    Check,
    /// Order the engine to load the staged pieces.
    Order(OrderSequence),
}

/// Decides the next step.
pub fn next_step(view: &StageView<'_>) -> StageStep {
    if view.whole.is_some_and(|whole| whole >= view.wanted) {
        return StageStep::Done;
    }
    // Leave the stage alone while an order is in progress, unless the engine has already read the
    // staged pieces and another version is next.
    let open = order_is_pending(view);
    let taken = view.order.is_some_and(|order| {
        order.answer == Some(OrderAnswer::Begun) && order.version != view.wanted
    });
    if open || (view.report.busy && !taken) {
        return StageStep::Wait;
    }
    if !view.stage.surveyed || view.stage.version != Some(view.wanted) {
        return StageStep::Survey;
    }
    let placed = |piece: usize| view.stage.placed.get(piece).copied().unwrap_or_default();
    let missing = (0..view.held.len()).find(|piece| view.held[*piece] && !placed(*piece));
    if let Some(piece) = missing {
        return StageStep::Place(piece as u32);
    }
    let all_placed = !view.held.is_empty() && (0..view.held.len()).all(placed);
    if !all_placed || !view.turn || view.report.busy {
        return StageStep::Wait;
    }
    let checked = view.stage.checked.is_some_and(|at| view.now.since(at) < CHECK_VALIDITY);
    if checked { StageStep::Order(view.report.sequence) } else { StageStep::Check }
}

/// Whether an order has had no visible effect yet but may have been accepted or may still be.
fn order_is_pending(view: &StageView<'_>) -> bool {
    let Some(order) = view.order else { return false };
    let begun = matches!(order.answer, None | Some(OrderAnswer::Begun | OrderAnswer::Holds));
    begun
        && order.version == view.wanted
        && view.report.sequence <= order.expected
        && view.now.since(order.given) < ORDER_TIMEOUT
}

/// Another agent's state, as far as it matters for turns.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TurnView {
    /// Its position in the order of turns.
    pub rank: u32,
    /// It holds the wanted version.
    pub done: bool,
    /// It could change: all pieces are staged.
    pub ready: bool,
    /// It is changing, or draining in order to change.
    pub changing: bool,
}

/// Whether the server of this `rank` may change now. `serves` tells whether it serves anything,
/// `since` is the time since the version was learned, `time` the time within which all servers must
/// have changed.
///
/// To keep capacity up, as few servers change at once as still lets all finish before older weights
/// stop receiving requests: a server that is late is idle while it waits for its turn as well as
/// during it.
pub fn has_turn(
    rank: u32,
    serves: bool,
    since: Duration,
    time: Duration,
    others: &[TurnView],
) -> bool {
    let latest = dispatch_time(time);
    if !serves || since >= latest {
        return true;
    }
    let undone = others.iter().filter(|other| !other.done);
    let turns = TURN_TIME * (undone.clone().count() as u32 + 1);
    let at_once = turns.as_micros().div_ceil((latest - since).as_micros().max(1)) as usize;
    let is_before = |other: &&TurnView| other.changing || (other.ready && other.rank < rank);
    undone.filter(is_before).count() < at_once
}
