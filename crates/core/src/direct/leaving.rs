//! Servers that are leaving, as entries tell each other.
//!
//! A server that leaves must get no new work after two or three seconds, also from an entry whose
//! watch of servers is silent. So each entry tells for a while which servers it has heard to be
//! leaving, and as of which revision of the store; a newer record of a server that is ready lifts
//! that, and is told as well: a server whose record lapsed may be back.

use std::{collections::BTreeMap, time::Duration};

use super::{fact_age::ChangeMark, suspects::LifeKey};
use crate::time::Moment;

/// Time for which a leaving server is told: longer than a failure domain that is out of reach for a
/// moment needs to hear it, and several times as long as a server may still get work.
const GOSSIP_TIME: Duration = Duration::from_secs(5);

/// Time after which nothing is remembered of a server that is gone: longer than a watch lasts.
const RETENTION: Duration = Duration::from_secs(60);

/// Servers that are told in one notice at most; each takes a dozen bytes.
pub const MAX_LEAVING_NOTICES: usize = 64;

/// Word that a server is leaving, or that one which was leaving is back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeavingNotice {
    /// Key of the server.
    pub server: u32,
    /// Revision of the store at which it was so.
    pub revision: ChangeMark,
    /// It was leaving or gone before, and is ready again.
    pub returned: bool,
}

#[derive(Debug, Clone, Copy, Default)]
struct ServerMarks {
    ready: ChangeMark,
    leaving: Option<ChangeMark>,
    learned_at: Moment,
}

impl ServerMarks {
    /// A store that tells no revision for what is gone tells that of its last change, so that equal
    /// revisions mean that it is gone.
    fn is_leaving(&self) -> bool {
        self.leaving.is_some_and(|leaving| leaving >= self.ready)
    }
}

/// What is known of servers that leave.
#[derive(Debug, Clone, Default)]
pub struct LeavingServers {
    servers: BTreeMap<u32, ServerMarks>,
}

impl LeavingServers {
    /// A server was ready as of `revision`; tells whether it was leaving before.
    pub fn record_ready(&mut self, now: Moment, server: u32, revision: ChangeMark) -> bool {
        let marks = self.servers.entry(server).or_default();
        let before = marks.is_leaving();
        marks.ready = marks.ready.max(revision);
        let changed = before && !marks.is_leaving();
        if changed {
            marks.learned_at = now;
        }
        changed
    }

    /// Takes in what another entry has heard; tells whether that is news.
    pub fn merge(&mut self, now: Moment, notice: LeavingNotice) -> bool {
        match notice.returned {
            true => self.record_ready(now, notice.server, notice.revision),
            false => self.record_leaving(now, notice.server, notice.revision),
        }
    }

    /// A server was leaving or gone as of `revision`; tells whether that is news.
    pub fn record_leaving(&mut self, now: Moment, server: u32, revision: ChangeMark) -> bool {
        let marks = self.servers.entry(server).or_default();
        let before = marks.is_leaving();
        marks.leaving = marks.leaving.max(Some(revision));
        let changed = marks.is_leaving() && !before;
        if changed {
            marks.learned_at = now;
        }
        changed
    }

    /// Whether a server is leaving.
    pub fn is_leaving(&self, server: u32) -> bool {
        self.servers.get(&server).is_some_and(ServerMarks::is_leaving)
    }

    /// Servers that were heard to be leaving, or back, a short time ago, for others; the newest
    /// first.
    pub fn recent(&self, now: Moment) -> Vec<LeavingNotice> {
        let fresh =
            self.servers.iter().filter(|(_, marks)| now.since(marks.learned_at) <= GOSSIP_TIME);
        let notice = |(server, marks): (&u32, &ServerMarks)| {
            let (leaving, returned) = (marks.leaving?, !marks.is_leaving());
            let revision = if returned { marks.ready } else { leaving };
            Some(LeavingNotice { server: *server, revision, returned })
        };
        let mut leaving: Vec<LeavingNotice> = fresh.filter_map(notice).collect();
        leaving.sort_by_key(|notice| std::cmp::Reverse(notice.revision));
        leaving.truncate(MAX_LEAVING_NOTICES);
        leaving
    }

    /// Forgets servers that have been leaving for long.
    pub fn forget_old(&mut self, now: Moment) {
        self.servers
            .retain(|_, marks| !marks.is_leaving() || now.since(marks.learned_at) <= RETENTION);
    }
}

/// Servers that have announced in their answers that they drain. This holds for the rest of a server's life,
/// whatever its record says: the store may not have been told.
#[derive(Debug, Clone, Default)]
pub struct DrainingLives {
    lives: BTreeMap<LifeKey, DrainingLife>,
}

#[derive(Debug, Clone, Copy)]
struct DrainingLife {
    /// When this entry learnt of it.
    learned_at: Moment,
    /// When it was last known to be listed.
    listed: Moment,
}

impl DrainingLives {
    /// Adds a server; returns whether it is new.
    pub fn note(&mut self, now: Moment, life: LifeKey) -> bool {
        let is_new = !self.lives.contains_key(&life);
        self.lives.entry(life).or_insert(DrainingLife { learned_at: now, listed: now });
        is_new
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.lives.is_empty()
    }

    /// Whether a server drains.
    pub fn contains(&self, life: LifeKey) -> bool {
        self.lives.contains_key(&life)
    }

    /// Servers to gossip, the newest first.
    pub fn recent(&self, now: Moment) -> Vec<LifeKey> {
        let fresh = self.lives.iter().filter(|(_, life)| now.since(life.learned_at) <= GOSSIP_TIME);
        let mut fresh: Vec<(Moment, LifeKey)> =
            fresh.map(|(key, life)| (life.learned_at, *key)).collect();
        fresh.sort_by_key(|(learned_at, key)| (std::cmp::Reverse(*learned_at), *key));
        fresh.into_iter().take(MAX_LEAVING_NOTICES).map(|(_, key)| key).collect()
    }

    /// Forgets servers that have not been listed for some time.
    pub fn forget_old(&mut self, now: Moment, is_listed: impl Fn(LifeKey) -> bool) {
        self.lives.retain(|key, life| {
            if is_listed(*key) {
                life.listed = now;
            }
            now.since(life.listed) <= RETENTION
        });
    }
}
