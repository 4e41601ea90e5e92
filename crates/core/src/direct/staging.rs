//! What an agent does next to bring its server to the wanted weights.
//!
//! Pieces are laid into the server's stage as they come, read back before they are used, and taken
//! by one fenced order once all of them are right. Servers take turns, so that capacity stays up.

use std::time::Duration;

use headlatch_outside::engine::{OrderAnswer, OrderSequence, StageReport};
use headlatch_types::traffic::{BirthTime, WeightVersion};

use super::weight_deadline::dispatch_time;
use crate::time::Moment;

/// Time after which an order without an effect is given again.
const ORDER_TIMEOUT: Duration = Duration::from_secs(2);

/// Time for which pieces that were read back count as right: they may rot.
const CHECK_VALIDITY: Duration = Duration::from_millis(1500);

/// Time that one server takes to be emptied and to change.
const TURN_TIME: Duration = Duration::from_millis(1100);

/// What is known of the stage.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct StageState {
    /// The version whose pieces are laid there.
    pub version: Option<WeightVersion>,
    /// Which pieces are thought to lie there.
    pub placed: Vec<bool>,
    /// When all of them were last read back and found right.
    pub checked: Option<Moment>,
    /// Whether it has been looked at since the version was first wanted.
    pub surveyed: bool,
}

/// An order that was given.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GivenOrder {
    /// For which version.
    pub version: WeightVersion,
    /// When.
    pub given: Moment,
    /// What came back, if anything.
    pub answer: Option<OrderAnswer>,
    /// The sequence that it expected.
    pub expected: OrderSequence,
}

/// The life of the server that the last report was of.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EngineLife {
    last: Option<(Option<BirthTime>, OrderSequence)>,
}

impl EngineLife {
    /// Takes in a report; tells whether the server has started anew since the one before. Where it does
    /// not tell when it was started, its count of orders may show it: that starts anew as well.
    pub fn has_restarted(&mut self, report: &StageReport) -> bool {
        let last = self.last.replace((report.born, report.sequence));
        last.is_some_and(|(born, sequence)| born != report.born || report.sequence < sequence)
    }
}

/// What is known when a step is decided.
#[derive(Debug, Clone, Copy)]
pub struct StageView<'a> {
    /// The time.
    pub now: Moment,
    /// The version that is wanted.
    pub wanted: WeightVersion,
    /// Layers of the model.
    pub layers: u32,
    /// The server's last report.
    pub report: &'a StageReport,
    /// The version that the server holds whole.
    pub whole: Option<WeightVersion>,
    /// The stage.
    pub stage: &'a StageState,
    /// Pieces that are here and verified.
    pub held: &'a [bool],
    /// The last order.
    pub order: Option<GivenOrder>,
    /// Whether it is this server's turn to change.
    pub turn: bool,
}

/// What is to be done next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StageStep {
    /// Nothing.
    Wait,
    /// The server holds what is wanted.
    Done,
    /// Look which pieces lie in the stage already.
    Survey,
    /// Lay this piece into the stage.
    Place(u32),
    /// Read all pieces back.
    Check,
    /// Order the server to start with what lies there.
    Order(OrderSequence),
}

/// Decides the next step.
pub fn next_step(view: &StageView<'_>) -> StageStep {
    if view.whole.is_some_and(|whole| whole >= view.wanted) {
        return StageStep::Done;
    }
    // While an order is under way the stage is left alone, unless the engine has taken what lay
    // there already and another version is next.
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

/// An order without an effect so far: it may have been taken, or may be yet.
fn order_is_pending(view: &StageView<'_>) -> bool {
    let Some(order) = view.order else { return false };
    let begun = matches!(order.answer, None | Some(OrderAnswer::Begun | OrderAnswer::Holds));
    begun
        && order.version == view.wanted
        && view.report.sequence <= order.expected
        && view.now.since(order.given) < ORDER_TIMEOUT
}

/// What another agent tells, as far as turns go.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TurnView {
    /// Its place in the order of turns.
    pub rank: u32,
    /// It holds the wanted version.
    pub done: bool,
    /// It could change, as all pieces lie in its stage.
    pub ready: bool,
    /// It is changing or being emptied for that.
    pub changing: bool,
}

/// Whether a server of `rank` may change now; `serves` tells whether it serves anything, `since`
/// is the time since the version was learnt, `time` the time in which all must have changed.
///
/// As few change at the same time as the time allows until older weights are sent nothing more, so that
/// capacity stays up: whoever waits longer stands idle before its turn as well as in it.
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

/// A version that is wanted and that the server does not hold, with what it would take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct VersionChoice {
    /// The version.
    pub version: WeightVersion,
    /// When older weights are sent nothing more.
    pub due: Moment,
    /// Time until its missing pieces are here.
    pub transfer: Duration,
}

/// Time by which a transfer that has not begun may take longer than expected: a version is passed
/// over for a newer one only if that comes in time all the same.
const SKIP_MARGIN: Duration = Duration::from_millis(1500);

/// Part of the capacity that may be away at once while servers take turns, in percent: a fleet sized for
/// its peak has about as much to spare.
const SPARE_PERCENT: u32 = 25;

/// What a change costs whose pieces are here at `here`, as time in which nothing is served, where older
/// weights are sent nothing more from `due` on.
///
/// Every server is away for its turn. With time enough, turns use spare capacity alone; the less there is,
/// the more are away at once, and past `due` all stand idle.
fn change_cost(here: Moment, due: Moment) -> Duration {
    let covered = due.since(here) * SPARE_PERCENT / 100;
    TURN_TIME.saturating_sub(covered) + here.since(due)
}

/// The version to bring in next, of those that are wanted, oldest first.
///
/// Answers the load of versions named close together. The newest would do for all of them, but where it
/// comes too late for an older one, servers would have to stop from then on. The older one goes first if
/// both changes together cost less.
pub fn next_version(now: Moment, wanted: &[VersionChoice]) -> Option<WeightVersion> {
    let (newest, older) = wanted.split_last()?;
    let first_due = older.iter().map(|one| one.due).fold(newest.due, Moment::min);
    let skipping = change_cost(now + newest.transfer + SKIP_MARGIN, first_due);
    let with_older = |one: &VersionChoice| {
        let here = now + one.transfer;
        change_cost(here, one.due) + change_cost(here + newest.transfer, newest.due)
    };
    let best = older.iter().min_by_key(|one| with_older(one));
    let older_first = best.filter(|one| with_older(one) < skipping);
    Some(older_first.map_or(newest.version, |one| one.version))
}
