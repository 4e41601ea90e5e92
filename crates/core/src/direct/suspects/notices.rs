//! What entries tell each other of suspects.

use std::time::Duration;

use super::{LifeKey, ProgressAtEnd, RecordedEnd, Suspect, SuspectTable};
use crate::{direct::request_digest::RequestDigest, time::Moment};

/// Words told in one notice at most; each takes some twenty bytes.
pub const MAX_NOTICES: usize = 48;

/// Time for which what is new is told in every notice: a dozen of them, of which several may be lost.
const ANNOUNCE_TIME: Duration = Duration::from_millis(1200);

/// How often what lasts is told again: whoever has started, or was cut off, must know it before the
/// three seconds are over after which it is held to it.
const REPEAT_INTERVAL_MS: u64 = 1000;

/// Part of that time in which it is told: one notice and a half.
const REPEAT_WINDOW_MS: u64 = 150;

/// Time between two notices, in which another part is told where there is too much for one.
const ROTATION_MS: u64 = 100;

/// What an entry tells of one suspect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SuspectNotice {
    /// A server has ended while it had the request.
    Ended {
        /// The request.
        digest: RequestDigest,
        /// The life of the server that ended.
        life: LifeKey,
        /// How far the request had come there.
        run: ProgressAtEnd,
    },
    /// The request is refused.
    Refused {
        /// The request.
        digest: RequestDigest,
        /// For how long, in whole seconds, so that it does not grow as it is told on.
        left: Duration,
    },
    /// The request has run to its end, or an operator wants it to be served.
    Cleared {
        /// The request.
        digest: RequestDigest,
    },
}

impl SuspectNotice {
    /// The request.
    pub fn digest(self) -> RequestDigest {
        match self {
            Self::Ended { digest, .. }
            | Self::Refused { digest, .. }
            | Self::Cleared { digest } => digest,
        }
    }
}

impl SuspectTable {
    /// What other entries are to be told now: what is new always, what lasts once a second. What
    /// matters most comes first; of the rest others are told by turns where there is too much.
    pub fn notices(&self, now: Moment) -> Vec<SuspectNotice> {
        let millis = now.micros() / 1000;
        let repeats = millis % REPEAT_INTERVAL_MS < REPEAT_WINDOW_MS;
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
        let turn = (millis / ROTATION_MS) as usize * MAX_NOTICES;
        let turn = turn.checked_rem(notices.len()).unwrap_or_default();
        notices.rotate_left(turn);
        notices.sort_by_key(|(priority, _)| *priority);
        notices.truncate(MAX_NOTICES);
        notices.into_iter().map(|(_, notice)| notice).collect()
    }
}

/// What others are to hear first.
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
