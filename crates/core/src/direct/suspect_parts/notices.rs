//! Notices about prompt parts exchanged between entries.

use std::time::Duration;

use headlatch_types::request::PartKey;

use super::PartTable;
use crate::{
    direct::suspects::{ANNOUNCE_TIME, LifeKey, is_repeat_due, rotation},
    time::Moment,
};

/// Maximum number of part notices per datagram.
pub const MAX_PART_NOTICES: usize = 32;

/// A notice about one prompt part.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PartNotice {
    /// A server ended while a request with the part was in progress on it.
    Ended {
        /// The part.
        part: PartKey,
        /// Life of the server that ended.
        life: LifeKey,
        /// Time since it ended.
        age: Duration,
    },
    /// Requests with the part are refused.
    Refused {
        /// The part.
        part: PartKey,
        /// Remaining quarantine in whole seconds, rounded down so that it does not grow as the
        /// notice is passed on.
        left: Duration,
    },
    /// The ends under the part are explained by another one.
    Released {
        /// The part.
        part: PartKey,
    },
    /// A server wrote on the part and lived on, or an operator ended its quarantine.
    Sound {
        /// The part.
        part: PartKey,
        /// Time since the server began to write.
        age: Duration,
    },
}

impl PartNotice {
    /// The part.
    pub fn part(self) -> PartKey {
        match self {
            Self::Ended { part, .. }
            | Self::Refused { part, .. }
            | Self::Released { part }
            | Self::Sound { part, .. } => part,
        }
    }

    /// The notice without its times, which change from moment to moment.
    pub fn without_times(self) -> Self {
        let (age, left) = (Duration::ZERO, Duration::ZERO);
        match self {
            Self::Ended { part, life, .. } => Self::Ended { part, life, age },
            Self::Refused { part, .. } => Self::Refused { part, left },
            Self::Released { part } => Self::Released { part },
            Self::Sound { part, .. } => Self::Sound { part, age },
        }
    }
}

/// Order in which notices are sent, most important first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum NoticePriority {
    Refused,
    NearRefusal,
    Cleared,
    Suspected,
}

impl PartTable {
    /// Notices to send to other entries at `now`: recent changes always, refused parts once a
    /// second. Sorted by priority; notices of equal priority rotate if they do not all fit.
    pub fn notices(&self, now: Moment) -> Vec<PartNotice> {
        let is_fresh = |since: Moment| now.since(since) <= ANNOUNCE_TIME;
        let mut notices = self.refusals(now);
        let sound = self.announced_sound.iter().filter(|(_, since)| is_fresh(**since));
        notices.extend(sound.filter_map(|(part, _)| {
            let age = now.since(self.sound.last(now, *part)?);
            Some((NoticePriority::Cleared, PartNotice::Sound { part: *part, age }))
        }));
        let released = self.released.iter().filter(|(_, since)| is_fresh(**since));
        let released = released.map(|(part, _)| PartNotice::Released { part: *part });
        notices.extend(released.map(|notice| (NoticePriority::Cleared, notice)));
        // Ends under refused parts as well: others may hold them against other parts.
        for (part, suspect) in self.suspects.iter().filter(|(_, one)| is_fresh(one.updated)) {
            let priority = match suspect.ends.len() {
                1 => NoticePriority::Suspected,
                _ => NoticePriority::NearRefusal,
            };
            let known = suspect.ends.iter().copied();
            let known = known.filter_map(|life| Some((life, self.end_times.at(life)?)));
            notices.extend(known.filter(|(_, at)| is_fresh(*at)).map(|(life, at)| {
                (priority, PartNotice::Ended { part: *part, life, age: now.since(at) })
            }));
        }
        let turn = rotation(now, MAX_PART_NOTICES).checked_rem(notices.len()).unwrap_or_default();
        notices.rotate_left(turn);
        notices.sort_by_key(|(priority, _)| *priority);
        notices.truncate(MAX_PART_NOTICES);
        notices.into_iter().map(|(_, notice)| notice).collect()
    }

    fn refusals(&self, now: Moment) -> Vec<(NoticePriority, PartNotice)> {
        let due = |since: Moment| is_repeat_due(now) || now.since(since) <= ANNOUNCE_TIME;
        let refused = self.quarantined.iter().filter(|(_, one)| one.until > now && due(one.since));
        let notice = |(part, left): (&PartKey, Duration)| {
            let left = Duration::from_secs(left.as_secs());
            (NoticePriority::Refused, PartNotice::Refused { part: *part, left })
        };
        refused.map(|(part, one)| notice((part, one.until.since(now)))).collect()
    }
}
