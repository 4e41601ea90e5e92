//! The entries among which limits are divided.

use std::{collections::HashMap, time::Duration};

use super::{EntryKey, EntryPeer};
use crate::{direct::peers::DomainKey, time::Moment};

/// Time for which an entry that has fallen silent keeps its shares: it may be cut off and go on sending.
const SILENT_SHARE_TIME: Duration = Duration::from_secs(10);

/// The same for an entry that is silent together with half of all entries or more: then this process may be the
/// one that is cut off.
const MINORITY_SHARE_TIME: Duration = Duration::from_secs(60);

/// Entries that are alive or were so recently.
#[derive(Debug, Clone, Default)]
pub struct LimitMembers {
    entries: HashMap<EntryKey, (DomainKey, Moment)>,
}

impl LimitMembers {
    /// Records which entries are alive, including this one, and returns those that have shares.
    pub fn update(&mut self, now: Moment, live: &[EntryPeer]) -> Vec<EntryPeer> {
        self.entries.extend(live.iter().map(|peer| (peer.key, (peer.domain, now))));
        let is_majority = live.len() * 2 > self.entries.len();
        let kept = if is_majority { SILENT_SHARE_TIME } else { MINORITY_SHARE_TIME };
        self.entries.retain(|_, (_, seen)| now.since(*seen) <= kept);
        let peers =
            self.entries.iter().map(|(key, (domain, _))| EntryPeer { key: *key, domain: *domain });
        peers.collect()
    }
}
