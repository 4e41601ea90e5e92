//! Rate limits of servers, applied to the table.

use std::{
    collections::{BTreeSet, HashMap, HashSet},
    sync::Arc,
    time::Duration,
};

use headlatch_types::quantity::RequestRate;

use super::ServerTable;
use crate::{
    direct::{
        peers::DomainKey,
        rate_limits::{EntryKey, EntryPeer, LimitNotice, LimitShare},
        suspects::LifeKey,
    },
    time::Moment,
};

impl ServerTable {
    /// Records the rate limit, or its absence, in an answer to a request sent at `sent`; returns whether it
    /// changed.
    pub fn record_limit(
        &mut self,
        now: Moment,
        life: LifeKey,
        limit: Option<RequestRate>,
        sent: Moment,
    ) -> bool {
        self.limits.record(now, life, limit, sent)
    }

    /// Merges a rate limit learned from another entry; returns whether it changed.
    pub fn merge_limit(&mut self, now: Moment, notice: LimitNotice) -> bool {
        self.limits.merge(now, notice)
    }

    /// Returns the recently advertised rate limits to gossip.
    pub fn recent_limits(&self, now: Moment) -> Vec<LimitNotice> {
        self.limits.recent(now)
    }

    /// Returns the rate limit of a server.
    pub fn rate_limit(&self, life: LifeKey) -> Option<RequestRate> {
        self.limits.limit(life)
    }

    /// Returns the number of servers with a rate limit.
    pub fn rate_limits(&self) -> usize {
        self.limits.count()
    }

    /// Assigns this entry, `own`, its shares in all limits; `live` are the live entries including this one. To be
    /// called regularly, also while there are no limits.
    pub fn assign_limit_shares(&mut self, now: Moment, own: EntryKey, live: &[EntryPeer]) {
        self.set_own(own);
        let members = self.limit_members.update(now, live);
        if self.limits.is_empty() {
            return;
        }
        let mut candidates = CandidateLists::new(&members);
        let mut listed = HashSet::new();
        for state in self.servers.values() {
            listed.insert(state.life);
            let Some(limit) = self.limits.in_force(now, state.life) else { continue };
            let service = &state.record.service;
            let near = candidates.near(service, state.domain, || {
                let ids = self.services.get(service).into_iter().flatten();
                let servers = ids.filter_map(|id| self.servers.get(id));
                let usable = servers.filter(|server| !self.is_excluded(server));
                usable.map(|server| server.domain).collect()
            });
            let share = LimitShare::new(state.life, limit, own, near);
            self.limits.set_share(now, state.life, share);
        }
        self.limits.forget_old(now, |life| listed.contains(&life));
    }

    /// Takes a token for one request to a server, immediately before it is sent.
    pub fn try_acquire(&mut self, now: Moment, life: LifeKey) -> bool {
        self.limits.try_acquire(now, life)
    }

    /// Returns the time until a server of the service is available again, if rate limits or backoffs currently
    /// exclude all of them.
    pub fn retry_after(&self, now: Moment, service: &str) -> Option<Duration> {
        let ids = self.services.get(service)?;
        let usable = ids.iter().filter_map(|id| self.servers.get(id));
        let usable = usable.filter(|state| !self.is_excluded(state));
        let pause = |life| match self.limits.wait(now, life) {
            Some(Duration::ZERO) => Duration::ZERO,
            _ => self.limits.pause(now, life),
        };
        usable
            .map(|state| pause(state.life).max(state.backoff(now)))
            .min()
            .filter(|rest| !rest.is_zero())
    }
}

/// Entries that are candidates to hold the rate limits of each service's servers.
struct CandidateLists<'a> {
    entries: &'a [EntryPeer],
    domains: HashMap<Arc<str>, BTreeSet<DomainKey>>,
    lists: HashMap<(Arc<str>, DomainKey), Vec<EntryKey>>,
}

impl<'a> CandidateLists<'a> {
    fn new(entries: &'a [EntryPeer]) -> Self {
        Self { entries, domains: HashMap::new(), lists: HashMap::new() }
    }

    /// Returns the entries in the server's failure domain and in failure domains without a usable server of
    /// the service; all entries if there are none.
    fn near(
        &mut self,
        service: &Arc<str>,
        domain: DomainKey,
        domains_of: impl FnOnce() -> BTreeSet<DomainKey>,
    ) -> &[EntryKey] {
        let served = self.domains.entry(service.clone()).or_insert_with(domains_of);
        let entries = self.entries;
        self.lists.entry((service.clone(), domain)).or_insert_with(|| {
            let is_local =
                |entry: &&EntryPeer| entry.domain == domain || !served.contains(&entry.domain);
            let near: Vec<EntryKey> =
                entries.iter().filter(is_local).map(|entry| entry.key).collect();
            match near.is_empty() {
                true => entries.iter().map(|entry| entry.key).collect(),
                false => near,
            }
        })
    }
}
