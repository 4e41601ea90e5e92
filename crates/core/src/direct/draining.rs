//! When a server that is to change its weights has been emptied far enough.
//!
//! A request that waits at a server whose machine stops for a while begins when the machine wakes,
//! on weights that may have become too old by then. Nothing may wait there when an order is given:
//! entries confirm that they send nothing more, and how many of their requests have not begun.
//!
//! An order cuts what runs. Only the entries know which streams could go on elsewhere: they have
//! attempts left, and other servers have room. For the others the order waits.

use std::time::Duration;

use super::peers::DrainReport;

/// Time in which requests that run may end before a change cuts them.
const RUNNING_TIME: Duration = Duration::from_millis(800);

/// The same for the first server of all: capacity is whole, and the sooner it has changed, the more
/// time the others have.
const FIRST_RUNNING_TIME: Duration = Duration::from_millis(200);

/// Time after which a change goes on whatever is not known: an entry that has been silent for so
/// long counts as gone.
const LONGEST_DRAIN: Duration = Duration::from_millis(1700);

/// Time after which streams that nobody could go on with are cut all the same: a usual answer has come
/// to its end by then, and the server serves nothing new meanwhile.
const LONGEST_KEPT: Duration = Duration::from_millis(1500);

/// Requests that are not waited for.
const FEW_REQUESTS: u32 = 1;

/// What is known of a server that is being emptied.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DrainView {
    /// Time since entries were first told.
    pub waited: Duration,
    /// No other server has changed yet or changes now.
    pub is_first: bool,
    /// Requests that wait and that run at the server, if it says so.
    pub requests: Option<QueueReport>,
    /// What entries say.
    pub entries: DrainReport,
}

/// Requests at a server.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct QueueReport {
    /// Those that have not begun.
    pub queued: u32,
    /// Those that run.
    pub active: u32,
}

/// Whether the change may begin.
pub fn may_change(view: &DrainView) -> bool {
    let runs = view.requests.is_none_or(|requests| requests.active > 0);
    if runs && view.entries.unresumable > 0 && view.waited < LONGEST_KEPT {
        return false;
    }
    if view.waited >= LONGEST_DRAIN {
        return true;
    }
    let Some(requests) = view.requests else { return false };
    let is_sent_nothing = view.entries.unconfirmed == 0 && view.entries.waiting == 0;
    let running_time = if view.is_first { FIRST_RUNNING_TIME } else { RUNNING_TIME };
    let is_short = requests.active <= FEW_REQUESTS || view.waited >= running_time;
    is_sent_nothing && requests.queued == 0 && is_short
}
