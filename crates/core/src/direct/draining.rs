//! Decides when a server has drained far enough to change its weights.
//!
//! If the box of a server is suspended for a while, a request queued there starts when the box resumes, on
//! weights that may be too old by then. The queue must therefore be empty when the change is ordered: entries
//! confirm that they send no more requests, and report how many of theirs have not started.
//!
//! The change aborts running requests. Only the entries know which streams can be resumed on other servers,
//! because retries are left and other servers have capacity. The change waits for the other streams.

use std::time::Duration;

use super::peers::DrainReport;

/// Time that running requests get to complete before the change aborts them.
const COMPLETION_TIME: Duration = Duration::from_millis(800);

/// The same for the first server to change: the service still has its full capacity, and an early change
/// leaves more time for the other servers.
const FIRST_COMPLETION_TIME: Duration = Duration::from_millis(200);

/// Time after which the change proceeds despite missing confirmations: an entry that has been silent for this
/// long is considered gone.
const MAX_DRAIN_TIME: Duration = Duration::from_millis(1700);

/// Time after which streams that cannot be resumed elsewhere are aborted as well: a typical response is
/// complete by then, and the server takes no new requests in the meantime.
const MAX_UNMOVABLE_TIME: Duration = Duration::from_millis(1500);

/// Maximum number of running requests that are aborted without waiting for them to complete.
const MAX_CUT_REQUESTS: u32 = 1;

/// State of a server that is draining for a weight change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DrainView {
    /// Time since the entries were first notified.
    pub waited: Duration,
    /// Whether no other server has changed its weights yet or is changing them now.
    pub is_first: bool,
    /// Requests queued and running at the server, if it reports them.
    pub requests: Option<QueueReport>,
    /// Combined report of the entries.
    pub entries: DrainReport,
}

/// Number of requests at a server.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct QueueReport {
    /// Requests that have not started.
    pub queued: u32,
    /// Running requests.
    pub active: u32,
}

/// Returns whether the weight change may start.
pub fn may_change(view: &DrainView) -> bool {
    let runs = view.requests.is_none_or(|requests| requests.active > 0);
    if runs && view.entries.unresumable > 0 && view.waited < MAX_UNMOVABLE_TIME {
        return false;
    }
    if view.waited >= MAX_DRAIN_TIME {
        return true;
    }
    let Some(requests) = view.requests else { return false };
    let is_sent_nothing = view.entries.unconfirmed == 0 && view.entries.waiting == 0;
    let completion_time = if view.is_first { FIRST_COMPLETION_TIME } else { COMPLETION_TIME };
    let may_cut = requests.active <= MAX_CUT_REQUESTS || view.waited >= completion_time;
    is_sent_nothing && requests.queued == 0 && may_cut
}
