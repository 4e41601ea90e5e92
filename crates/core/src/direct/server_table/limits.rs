//! Limits that servers name, as far as the table decides by them.

use std::{
    collections::{BTreeSet, HashMap, HashSet},
    sync::Arc,
    time::Duration,
};

use headlatch_types::quantity::RequestRate;

use super::ServerTable;
use crate::{
    direct::{
        named_limits::{EntryKey, EntryPeer, LimitNotice, LimitShare},
        peers::DomainKey,
        suspects::LifeKey,
    },
    time::Moment,
};

impl ServerTable {
    /// Takes in that a server names `limit`, or none, in an answer to what was sent at `sent`; tells whether
    /// that is news.
    pub fn hear_limit(
        &mut self,
        now: Moment,
        life: LifeKey,
        limit: Option<RequestRate>,
        sent: Moment,
    ) -> bool {
        self.limits.hear(now, life, limit, sent)
    }

    /// Another entry has heard what limit a server names; tells whether that is news.
    pub fn hear_told_limit(&mut self, now: Moment, notice: LimitNotice) -> bool {
        self.limits.hear_told(now, notice)
    }

    /// Limits that were named a short time ago, for other entries.
    pub fn recent_limits(&self, now: Moment) -> Vec<LimitNotice> {
        self.limits.recent(now)
    }

    /// The limit that a server names.
    pub fn named_limit(&self, life: LifeKey) -> Option<RequestRate> {
        self.limits.limit(life)
    }

    /// Servers that name a limit.
    pub fn named_limits(&self) -> usize {
        self.limits.count()
    }

    /// Whether any server has named a limit, so that [`Self::share_limits`] is due.
    pub fn has_limits(&self) -> bool {
        !self.limits.is_empty()
    }

    /// Divides the limits among `entries`, those that live, this entry `own` among them.
    pub fn share_limits(&mut self, now: Moment, own: EntryKey, entries: &[EntryPeer]) {
        let mut candidates = CandidateLists::new(entries);
        let mut listed = HashSet::new();
        for state in self.servers.values() {
            listed.insert(state.life);
            let Some(limit) = self.limits.limit(state.life) else { continue };
            let service = &state.record.service;
            let near = candidates.near(service, state.domain, || {
                let ids = self.services.get(service).into_iter().flatten();
                let servers = ids.filter_map(|id| self.servers.get(id));
                let usable = servers.filter(|server| !self.takes_nothing(server));
                usable.map(|server| server.domain).collect()
            });
            let share = LimitShare::new(state.life, limit, own, near);
            self.limits.set_share(now, state.life, share);
        }
        self.limits.forget_old(now, |life| listed.contains(&life));
    }

    /// Takes one request out of this entry's share of a server's limit, right before it is sent; false if
    /// that allows none.
    pub fn take_allowance(&mut self, now: Moment, life: LifeKey) -> bool {
        self.limits.take_one(now, life)
    }

    /// Time after which one of the servers of a service takes a request again at some entry, where their
    /// own words keep this one from all of them.
    pub fn rest_of_service(&self, now: Moment, service: &str) -> Option<Duration> {
        let ids = self.services.get(service)?;
        let usable = ids.iter().filter_map(|id| self.servers.get(id));
        let usable = usable.filter(|state| !self.takes_nothing(state));
        let pause = |life| match self.limits.wait(now, life) {
            Some(Duration::ZERO) => Duration::ZERO,
            _ => self.limits.pause(life),
        };
        usable
            .map(|state| pause(state.life).max(state.rest(now)))
            .min()
            .filter(|rest| !rest.is_zero())
    }
}

/// Entries that may hold limits of a service's servers.
struct CandidateLists<'a> {
    entries: &'a [EntryPeer],
    domains: HashMap<Arc<str>, BTreeSet<DomainKey>>,
    lists: HashMap<(Arc<str>, DomainKey), Vec<EntryKey>>,
}

impl<'a> CandidateLists<'a> {
    fn new(entries: &'a [EntryPeer]) -> Self {
        Self { entries, domains: HashMap::new(), lists: HashMap::new() }
    }

    /// Entries of the server's own failure domain, and of those where the service has no server: the
    /// others have nearer ones. All entries if there are none of these.
    fn near(
        &mut self,
        service: &Arc<str>,
        domain: DomainKey,
        domains_of: impl FnOnce() -> BTreeSet<DomainKey>,
    ) -> &[EntryKey] {
        let served = self.domains.entry(service.clone()).or_insert_with(domains_of);
        let entries = self.entries;
        self.lists.entry((service.clone(), domain)).or_insert_with(|| {
            let is_near =
                |entry: &&EntryPeer| entry.domain == domain || !served.contains(&entry.domain);
            let near: Vec<EntryKey> =
                entries.iter().filter(is_near).map(|entry| entry.key).collect();
            match near.is_empty() {
                true => entries.iter().map(|entry| entry.key).collect(),
                false => near,
            }
        })
    }
}
