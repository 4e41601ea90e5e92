//! Urgency of requests relative to the other requests of their service.
//!
//! Handles more requests than engines can run, of kinds that differ in urgency: admission compares
//! ranks, which are worked out once per plan.

use std::{
    collections::{BTreeSet, HashMap},
    fmt,
    sync::Arc,
};

use headlatch_types::traffic::{RequestUrgency, Route, TrafficPlan};
use serde::Serialize;

/// Number of ranks.
pub(super) const RANK_COUNT: usize = 10;

/// Rank of a request among the urgencies of its service; 0 is the most urgent.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
pub struct UrgencyRank(u8);

impl UrgencyRank {
    /// The least urgent rank.
    pub const MAX: Self = Self(RANK_COUNT as u8 - 1);

    /// The rank at `index`; all indices past [`Self::MAX`] share that rank.
    pub fn new(index: usize) -> Self {
        u8::try_from(index).map_or(Self::MAX, |rank| Self(rank).min(Self::MAX))
    }

    /// The rank as a number from 0 to 9.
    pub fn value(self) -> u8 {
        self.0
    }

    /// The rank as an index into arrays by rank.
    pub(super) fn index(self) -> usize {
        usize::from(self.0)
    }
}

impl fmt::Display for UrgencyRank {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.0)
    }
}

/// Ranks of the urgencies that requests of one service can have under a plan.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct UrgencyRanks {
    /// Distinct urgencies, the most urgent first.
    levels: Vec<RequestUrgency>,
    is_active: bool,
}

impl UrgencyRanks {
    /// Ranks of the requests of `service` under `plan`.
    pub fn new(plan: &TrafficPlan, service: &str) -> Self {
        let sends = |route: &&Route| {
            route.targets.iter().any(|target| &*target.service == service && target.weight > 0)
        };
        let routes: Vec<&Route> = plan.routes.iter().filter(sends).collect();
        let mut levels = BTreeSet::new();
        for route in &routes {
            levels.extend(plan.tenants.iter().map(|one| RequestUrgency::new(Some(one), route)));
            if plan.tenants.is_empty() || route.anonymous {
                levels.insert(RequestUrgency::new(None, route));
            }
        }
        let has_engines = plan.services.get(service).is_some_and(|one| one.engine.is_some());
        let differs = routes.windows(2).any(|pair| pair[0].priority != pair[1].priority);
        Self { levels: levels.into_iter().collect(), is_active: has_engines && differs }
    }

    /// The rank of a request; one whose urgency the plan does not know gets that of the next less urgent.
    pub fn rank(&self, urgency: RequestUrgency) -> UrgencyRank {
        UrgencyRank::new(self.levels.partition_point(|level| *level < urgency))
    }

    /// Whether the service distinguishes urgencies: it has engines, and routes to it differ in priority.
    /// Services with a single priority are treated as if there were no priorities.
    pub fn is_active(&self) -> bool {
        self.is_active
    }

    /// The distinct urgencies, the most urgent first.
    pub fn levels(&self) -> &[RequestUrgency] {
        &self.levels
    }

    /// The least urgent rank that requests of the service have.
    pub(super) fn least(&self) -> UrgencyRank {
        UrgencyRank::new(self.levels.len().saturating_sub(1))
    }
}

/// The services of one plan that distinguish urgencies, with their ranks.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ServiceUrgencies {
    services: HashMap<Arc<str>, UrgencyRanks>,
}

impl ServiceUrgencies {
    /// Ranks of the services of `plan`.
    pub fn new(plan: &TrafficPlan) -> Self {
        let with_engines = plan.services.iter().filter(|(_, service)| service.engine.is_some());
        let ranks = with_engines.map(|(name, _)| (name.as_str(), UrgencyRanks::new(plan, name)));
        let active = ranks.filter(|(_, ranks)| ranks.is_active());
        Self { services: active.map(|(name, ranks)| (name.into(), ranks)).collect() }
    }

    /// The rank of a request to `service`; `None` if the service does not distinguish urgencies.
    pub fn rank(&self, service: &str, urgency: RequestUrgency) -> Option<UrgencyRank> {
        Some(self.ranks(service)?.rank(urgency))
    }

    /// The ranks of `service`; `None` if it does not distinguish urgencies.
    pub fn ranks(&self, service: &str) -> Option<&UrgencyRanks> {
        self.services.get(service)
    }

    /// All services that distinguish urgencies.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &UrgencyRanks)> {
        self.services.iter().map(|(name, ranks)| (&**name, ranks))
    }
}
