//! Looks up the route and the organisation of a request.

use std::{collections::HashMap, sync::Arc};

use headlatch_types::traffic::{AllowedRegions, Route, RouteTarget, Tenant, TrafficPlan};

use super::admission::urgency::ServiceUrgencies;

/// A traffic plan with indexes by host, path, key and route name.
#[derive(Debug, Clone, Default)]
pub struct RouteTable {
    plan: Arc<TrafficPlan>,
    /// Route indexes by host, longest path prefix first.
    hosts: HashMap<String, Vec<usize>>,
    organisations: HashMap<String, usize>,
    names: HashMap<Arc<str>, usize>,
    organisation_names: HashMap<Arc<str>, usize>,
    urgencies: ServiceUrgencies,
}

/// Why a request is rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Denial {
    /// No route matches the host and path.
    NoRoute,
    /// No organisation has the API key.
    UnknownKey,
}

impl RouteTable {
    /// Indexes a plan.
    pub fn new(plan: Arc<TrafficPlan>) -> Self {
        let mut hosts: HashMap<String, Vec<usize>> = HashMap::new();
        for (index, route) in plan.routes.iter().enumerate() {
            hosts.entry(route.host.to_ascii_lowercase()).or_default().push(index);
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|index| std::cmp::Reverse(plan.routes[*index].path_prefix.len()));
        }
        let keys = plan.tenants.iter().enumerate();
        let organisations = keys
            .flat_map(|(index, organisation)| {
                organisation.keys.iter().map(move |key| (key.clone(), index))
            })
            .collect();
        let named = plan.routes.iter().enumerate();
        let names = named.map(|(index, route)| (route.name.clone(), index)).collect();
        let named_tenants = plan.tenants.iter().enumerate();
        let organisation_names =
            named_tenants.map(|(index, organisation)| (organisation.name.clone(), index)).collect();
        let urgencies = ServiceUrgencies::new(&plan);
        Self { plan, hosts, organisations, names, organisation_names, urgencies }
    }

    /// The indexed plan.
    pub fn plan(&self) -> &Arc<TrafficPlan> {
        &self.plan
    }

    /// The services of the plan that distinguish urgencies.
    pub fn urgencies(&self) -> &ServiceUrgencies {
        &self.urgencies
    }

    /// Finds the route of the host with the longest prefix of the path.
    pub fn route(&self, host: &str, path: &str) -> Result<&Route, Denial> {
        let host = host.to_ascii_lowercase();
        let without_port = host.split_once(':').map(|(name, _)| name);
        let routes = self.hosts.get(&host).or_else(|| self.hosts.get(without_port?));
        let found = routes
            .into_iter()
            .flatten()
            .map(|index| &self.plan.routes[*index])
            .find(|route| path.starts_with(&route.path_prefix));
        found.ok_or(Denial::NoRoute)
    }

    /// Finds a route by name.
    pub fn route_named(&self, name: &str) -> Option<&Route> {
        self.names.get(name).map(|index| &self.plan.routes[*index])
    }

    /// Regions whose endpoints may run a request of an organisation on a route that was admitted for the regions
    /// `admitted`, maybe by an older plan; `organisation` is `None` for anonymous requests.
    ///
    /// If this plan lacks the organisation, the route's regions still apply, within those of `admitted`. If it
    /// lacks the route, `admitted` applies.
    pub fn allowed_regions(
        &self,
        route: &str,
        organisation: Option<&str>,
        admitted: &AllowedRegions,
    ) -> AllowedRegions {
        let Some(route) = self.route_named(route) else { return admitted.clone() };
        let Some(name) = organisation else { return route.allowed_regions.clone() };
        let index = self.organisation_names.get(name);
        let tenant = index.map(|index| &self.plan.tenants[*index].allowed_regions);
        route.allowed_regions.intersection(tenant.unwrap_or(admitted))
    }

    /// Finds the organisation of a request by its API key. Returns none if the plan has no organisations, or
    /// if the key is missing or unknown and the route allows anonymous requests.
    pub fn organisation(
        &self,
        route: &Route,
        key: Option<&str>,
    ) -> Result<Option<&Tenant>, Denial> {
        if self.plan.tenants.is_empty() {
            return Ok(None);
        }
        let organisation =
            key.and_then(|key| self.organisations.get(key)).map(|at| &self.plan.tenants[*at]);
        if organisation.is_none() && !route.anonymous {
            return Err(Denial::UnknownKey);
        }
        Ok(organisation)
    }
}

/// Picks the target service of a request with a probability proportional to its weight; `draw` is random.
pub fn pick_target(route: &Route, draw: u64) -> Option<&RouteTarget> {
    let total: u64 = route.targets.iter().map(|target| u64::from(target.weight)).sum();
    let mut rest = draw.checked_rem(total)?;
    route.targets.iter().find(|target| {
        let weight = u64::from(target.weight);
        let chosen = rest < weight;
        rest = rest.saturating_sub(weight);
        chosen
    })
}
