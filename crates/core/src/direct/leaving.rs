//! Gossip about servers that are leaving: draining or deregistered.
//!
//! A leaving server must get no new requests after two or three seconds, even from an entry whose watch on
//! the store is stalled. Each entry therefore gossips for a while which servers are leaving as of which store
//! revision. A newer record of a ready server overrides this and is gossiped as well, since a server whose
//! record expired may return.
//!
//! A store that comes back from an older copy lists servers as they were before they left. What was known is
//! therefore carried over into the new era of the store: it holds against everything in the copy, and against
//! late notices from entries that are still in the earlier era.

use headlatch_types::store::{StoreEra, StoreRevision};
use std::{collections::BTreeMap, time::Duration};

use super::suspects::LifeKey;
use crate::time::Moment;

/// Time for which a leaving server is gossiped: long enough to reach a failure domain after a short network
/// partition, and well above the time in which a leaving server may still get requests.
const GOSSIP_TIME: Duration = Duration::from_secs(5);

/// Time for which the state of a deregistered server is kept: longer than the lifetime of a watch.
const RETENTION: Duration = Duration::from_secs(60);

/// Time for which a server whose leaving was carried over stays excluded although the store lists it as ready. A
/// server that has ended misses three heartbeats by then, and its record expires.
const CARRIED_HOLD: Duration = Duration::from_secs(5);

/// Maximum number of servers in one notice; each takes about 12 bytes.
pub const MAX_LEAVING_NOTICES: usize = 64;

/// Notice that a server is leaving, or that a leaving server has returned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeavingNotice {
    /// Server key.
    pub server: u32,
    /// Store revision of the change.
    pub revision: StoreRevision,
    /// Whether the server is ready again after it was leaving or deregistered.
    pub returned: bool,
}

/// Latest store revisions at which a server was ready and leaving.
#[derive(Debug, Clone, Copy, Default)]
struct ServerMarks {
    ready: StoreRevision,
    /// Latest revision at which it was ready in the eras before that of `ready`.
    ready_in_earlier_era: StoreRevision,
    leaving: Option<StoreRevision>,
    /// Set if `leaving` was carried over into a newer era of the store.
    carried: Option<CarriedOver>,
    /// Time at which this entry learned of the latest change between ready and leaving.
    learned_at: Moment,
}

/// How a state got into an era of the store in which it was not reported.
#[derive(Debug, Clone, Copy)]
struct CarriedOver {
    /// When.
    at: Moment,
    /// Revision of the earlier era at which the server was leaving, which other entries need.
    from: StoreRevision,
}

impl ServerMarks {
    /// Returns whether the server is leaving. Equal revisions mean that it was deregistered: a store without
    /// revisions for deletions reports that of the last change of the object.
    fn is_leaving(&self) -> bool {
        self.leaving.is_some_and(|leaving| leaving >= self.ready)
    }

    fn set_ready(&mut self, revision: StoreRevision) {
        if revision.era() > self.ready.era() {
            self.ready_in_earlier_era = self.ready;
        }
        self.ready = self.ready.max(revision);
    }

    /// Latest revision at which it was ready before `era`.
    fn ready_before(&self, era: StoreEra) -> StoreRevision {
        match self.ready.era() < era {
            true => self.ready,
            false => self.ready_in_earlier_era,
        }
    }

    /// Carries the word of `from`, of an earlier era, over into the era that begins at `start`.
    fn carry_over(&mut self, now: Moment, from: StoreRevision, start: StoreRevision) {
        if self.leaving.is_none_or(|leaving| leaving < start) {
            self.leaving = Some(start);
            self.carried = Some(CarriedOver { at: now, from });
        }
    }
}

/// State of servers that are or were leaving.
#[derive(Debug, Clone, Default)]
pub struct LeavingServers {
    servers: BTreeMap<u32, ServerMarks>,
    /// First position known in the newest era of the store. Records up to it may come from the older copy that
    /// the era began with.
    era_start: StoreRevision,
}

impl LeavingServers {
    /// Records that a server was ready as of `revision`; returns whether it was leaving before.
    pub fn record_ready(&mut self, now: Moment, server: u32, revision: StoreRevision) -> bool {
        let marks = self.servers.entry(server).or_default();
        let before = marks.is_leaving();
        marks.set_ready(revision);
        let changed = before && !marks.is_leaving();
        if changed {
            marks.learned_at = now;
        }
        changed
    }

    /// Merges a notice from another entry; returns whether the state of the server changed.
    pub fn merge(&mut self, now: Moment, notice: LeavingNotice) -> bool {
        match notice.returned {
            true => self.record_ready(now, notice.server, notice.revision),
            false => self.record_leaving(now, notice.server, notice.revision),
        }
    }

    /// Records that a server was leaving or deregistered as of `revision`; returns whether its state changed.
    pub fn record_leaving(&mut self, now: Moment, server: u32, revision: StoreRevision) -> bool {
        let marks = self.servers.entry(server).or_default();
        let before = marks.is_leaving();
        match revision.era() < self.era_start.era() {
            true if revision < marks.ready_before(self.era_start.era()) => {}
            true => marks.carry_over(now, revision, self.era_start),
            false => {
                marks.leaving = marks.leaving.max(Some(revision));
                // Not carried over any more if it is newer.
                marks.carried = marks.carried.filter(|_| revision <= self.era_start);
            }
        }
        let changed = marks.is_leaving() && !before;
        if changed {
            marks.learned_at = now;
        }
        changed
    }

    /// Carries the known state over into the era of the store that begins at `start`, the first position known in
    /// it.
    pub fn begin_era(&mut self, now: Moment, start: StoreRevision) {
        self.era_start = start;
        for marks in self.servers.values_mut().filter(|marks| marks.is_leaving()) {
            let left_before = marks.leaving.filter(|at| at.era() < start.era());
            if let Some(from) = left_before {
                marks.carry_over(now, from, start);
            }
        }
    }

    /// Lets servers return whose leaving was carried over, if the store still lists them as ready after the hold
    /// time.
    pub fn release_carried(&mut self, now: Moment) {
        let era = self.era_start.era();
        for marks in self.servers.values_mut() {
            let is_due = marks.carried.is_some_and(|one| now.since(one.at) > CARRIED_HOLD);
            if is_due && marks.ready.era() == era {
                (marks.leaving, marks.carried) = (None, None);
            }
        }
    }

    /// Returns whether a server is leaving.
    pub fn is_leaving(&self, server: u32) -> bool {
        self.servers.get(&server).is_some_and(ServerMarks::is_leaving)
    }

    /// Returns the servers that have recently left or returned, to gossip, newest first.
    pub fn recent(&self, now: Moment) -> Vec<LeavingNotice> {
        let fresh =
            self.servers.iter().filter(|(_, marks)| now.since(marks.learned_at) <= GOSSIP_TIME);
        let notice = |(server, marks): (&u32, &ServerMarks)| {
            let (leaving, returned) = (marks.leaving?, !marks.is_leaving());
            let left = marks.carried.map_or(leaving, |carried| carried.from);
            let revision = if returned { marks.ready } else { left };
            Some(LeavingNotice { server: *server, revision, returned })
        };
        let mut leaving: Vec<LeavingNotice> = fresh.filter_map(notice).collect();
        leaving.sort_by_key(|notice| std::cmp::Reverse(notice.revision));
        leaving.truncate(MAX_LEAVING_NOTICES);
        leaving
    }

    /// Removes servers that have been leaving for longer than the retention time.
    pub fn forget_old(&mut self, now: Moment) {
        self.servers
            .retain(|_, marks| !marks.is_leaving() || now.since(marks.learned_at) <= RETENTION);
    }
}

/// Server processes that have announced draining in a response. The announcement holds for the lifetime of the
/// process regardless of its record, since the store may not have been updated.
#[derive(Debug, Clone, Default)]
pub struct DrainingLives {
    lives: BTreeMap<LifeKey, DrainingLife>,
}

#[derive(Debug, Clone, Copy)]
struct DrainingLife {
    /// Time at which this entry learned of the announcement.
    learned_at: Moment,
    /// Time at which the server process was last known to be listed.
    listed: Moment,
}

impl DrainingLives {
    /// Adds a server process; returns whether it is new.
    pub fn note(&mut self, now: Moment, life: LifeKey) -> bool {
        let is_new = !self.lives.contains_key(&life);
        self.lives.entry(life).or_insert(DrainingLife { learned_at: now, listed: now });
        is_new
    }

    /// Returns whether there are no draining server processes.
    pub fn is_empty(&self) -> bool {
        self.lives.is_empty()
    }

    /// Returns whether a server process has announced draining.
    pub fn contains(&self, life: LifeKey) -> bool {
        self.lives.contains_key(&life)
    }

    /// Returns the server processes to gossip, newest first.
    pub fn recent(&self, now: Moment) -> Vec<LifeKey> {
        let fresh = self.lives.iter().filter(|(_, life)| now.since(life.learned_at) <= GOSSIP_TIME);
        let mut fresh: Vec<(Moment, LifeKey)> =
            fresh.map(|(key, life)| (life.learned_at, *key)).collect();
        fresh.sort_by_key(|(learned_at, key)| (std::cmp::Reverse(*learned_at), *key));
        fresh.into_iter().take(MAX_LEAVING_NOTICES).map(|(_, key)| key).collect()
    }

    /// Removes server processes that have not been listed for longer than the retention time.
    pub fn forget_old(&mut self, now: Moment, is_listed: impl Fn(LifeKey) -> bool) {
        self.lives.retain(|key, life| {
            if is_listed(*key) {
                life.listed = now;
            }
            now.since(life.listed) <= RETENTION
        });
    }
}
