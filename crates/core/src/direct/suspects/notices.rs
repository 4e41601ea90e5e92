//! Notices about suspects exchanged between entries.

use std::time::Duration;

use super::{LifeKey, ProgressAtEnd, RecordedEnd, Suspect, SuspectTable};
use crate::{direct::request_digest::RequestDigest, time::Moment};

/// Maximum number of suspect notices per datagram; each takes about twenty bytes.
pub const MAX_NOTICES: usize = 48;

/// Time for which a change is included in every datagram: a dozen of them, of which several may be
/// lost.
pub(in crate::direct) const ANNOUNCE_TIME: Duration = Duration::from_millis(1200);

/// Interval at which lasting state is announced again. An entry that has just started or was
/// partitioned must learn it within the three seconds after which it is expected to comply.
const REPEAT_INTERVAL_MS: u64 = 1000;

/// Part of each interval in which lasting state is announced: one and a half datagrams.
const REPEAT_WINDOW_MS: u64 = 150;

/// Time between two datagrams. Each one carries a different part of the notices if there are too
/// many for one.
const ROTATION_MS: u64 = 100;

/// Whether lasting state is announced at `now`.
pub(in crate::direct) fn is_repeat_due(now: Moment) -> bool {
    now.micros() / 1000 % REPEAT_INTERVAL_MS < REPEAT_WINDOW_MS
}

/// First notice of the datagram at `now` where `max` of them fit into each.
pub(in crate::direct) fn rotation(now: Moment, max: usize) -> usize {
    (now.micros() / 1000 / ROTATION_MS) as usize * max
}

/// A notice about one suspect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SuspectNotice {
    /// A server ended while running the request.
    Ended {
        /// Digest of the request.
        digest: RequestDigest,
        /// Life of the server that ended.
        life: LifeKey,
        /// How far the request had progressed there.
        run: ProgressAtEnd,
    },
    /// The request is refused.
    Refused {
        /// Digest of the request.
        digest: RequestDigest,
        /// Remaining quarantine in whole seconds, rounded down so that it does not grow as the
        /// notice is passed on.
        left: Duration,
    },
    /// The request ran to completion, or an operator ended its quarantine.
    Cleared {
        /// Digest of the request.
        digest: RequestDigest,
    },
}

impl SuspectNotice {
    /// Digest of the request.
    pub fn digest(self) -> RequestDigest {
        match self {
            Self::Ended { digest, .. }
            | Self::Refused { digest, .. }
            | Self::Cleared { digest } => digest,
        }
    }
}

impl SuspectTable {
    /// Notices to send to other entries at `now`: recent changes always, lasting state once a
    /// second. Sorted by priority; notices of equal priority rotate if they do not all fit.
    pub fn notices(&self, now: Moment) -> Vec<SuspectNotice> {
        let repeats = is_repeat_due(now);
        let is_fresh = |at: Moment| now.since(at) <= ANNOUNCE_TIME;
        let cleared = self.cleared.iter().filter(|(_, at)| is_fresh(**at));
        let cleared = cleared.map(|(digest, _)| {
            (NoticePriority::Cleared, SuspectNotice::Cleared { digest: *digest })
        });
        let mut notices: Vec<(NoticePriority, SuspectNotice)> = cleared.collect();
        for (digest, suspect) in &self.suspects {
            if is_fresh(suspect.updated) || (repeats && suspect.needs_repeating(now)) {
                suspect.push_notices(now, *digest, &mut notices);
            }
        }
        let turn = rotation(now, MAX_NOTICES).checked_rem(notices.len()).unwrap_or_default();
        notices.rotate_left(turn);
        notices.sort_by_key(|(priority, _)| *priority);
        notices.truncate(MAX_NOTICES);
        notices.into_iter().map(|(_, notice)| notice).collect()
    }
}

/// Order in which notices are sent, most important first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum NoticePriority {
    Refused,
    NearThreshold,
    Cleared,
    Suspected,
}

impl Suspect {
    fn push_notices(
        &self,
        now: Moment,
        digest: RequestDigest,
        notices: &mut Vec<(NoticePriority, SuspectNotice)>,
    ) {
        if let Some(until) = self.refused_until.filter(|until| *until > now) {
            let left = Duration::from_secs(until.since(now).as_secs());
            notices.push((NoticePriority::Refused, SuspectNotice::Refused { digest, left }));
            return;
        }
        let priority = if self.ends.len() > 1 {
            NoticePriority::NearThreshold
        } else {
            NoticePriority::Suspected
        };
        let ended = |(life, end): (&LifeKey, &RecordedEnd)| {
            (priority, SuspectNotice::Ended { digest, life: *life, run: end.run })
        };
        notices.extend(self.ends.iter().map(ended));
    }
}
