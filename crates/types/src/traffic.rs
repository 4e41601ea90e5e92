//! Routed traffic: routes, services, tenants and servers.
//!
//! An adapter converts the data of an external system to these checked types; the rest of headlatch does
//! not use the external format.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use serde::{Deserialize, Serialize};

use crate::{
    id::{DomainId, ModelName, RegionId},
    reading::InputError,
};

mod health_path;
mod urgency;

pub use health_path::{HealthPath, HealthPathError};
pub use urgency::{RequestUrgency, UrgencyError};

/// Version of a traffic plan; the version in force never decreases.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct PlanVersion(pub u64);

impl std::fmt::Display for PlanVersion {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// Version of a model's weights; the target version never decreases.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct WeightVersion(pub u64);

impl std::fmt::Display for WeightVersion {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// Whether a request may be run more than once.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RouteKind {
    /// It may run any number of times.
    Repeatable,
    /// It runs at most once.
    #[default]
    Once,
    /// The response is a stream of events; it is repeatable only if the route is resumable.
    Stream,
}

/// A service that a route sends to, and its share of the route's requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteTarget {
    /// Name of the service.
    pub service: Arc<str>,
    /// Weight relative to the route's other targets.
    pub weight: u32,
}

/// The regions whose endpoints may run a route's requests.
#[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum AllowedRegions {
    /// Any endpoint may.
    #[default]
    Anywhere,
    /// Only endpoints in these regions may; with none named, no endpoint may.
    Only(BTreeSet<RegionId>),
}

impl AllowedRegions {
    /// Whether an endpoint in `region` may run the requests. Where regions are named, an endpoint whose
    /// region is not known may not.
    pub fn allows(&self, region: Option<&RegionId>) -> bool {
        match self {
            Self::Anywhere => true,
            Self::Only(regions) => region.is_some_and(|region| regions.contains(region)),
        }
    }

    /// The regions that both allow. Without a region in common, no endpoint may run the requests.
    pub fn intersection(&self, other: &Self) -> Self {
        match (self, other) {
            (Self::Anywhere, regions) | (regions, Self::Anywhere) => regions.clone(),
            (Self::Only(one), Self::Only(another)) => {
                Self::Only(one.intersection(another).cloned().collect())
            }
        }
    }
}

impl std::fmt::Display for AllowedRegions {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Anywhere => f.write_str("anywhere"),
            Self::Only(regions) => {
                let names: Vec<&str> = regions.iter().map(RegionId::as_str).collect();
                f.write_str(&names.join(","))
            }
        }
    }
}

/// One route.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Its name.
    pub name: Arc<str>,
    /// Value of the request's `Host` header.
    pub host: String,
    /// Prefix of its paths; ends with a slash.
    pub path_prefix: String,
    /// Whether its requests may be repeated.
    pub kind: RouteKind,
    /// Request timeout, in milliseconds.
    pub timeout_ms: u64,
    /// Latency objective for the response, for streams for the first event, in milliseconds.
    pub objective_ms: u64,
    /// Objective for the longest pause between events of a stream, in milliseconds; 0 for none.
    pub pause_objective_ms: u64,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Services that handle its requests.
    pub targets: Vec<RouteTarget>,
    /// Largest number of attempts per request.
    pub max_attempts: u32,
    /// Whether requests need no key.
    pub anonymous: bool,
    /// Whether a stream may be continued on another server.
    pub resumable: bool,
    /// Regions whose endpoints may run its requests.
    pub allowed_regions: AllowedRegions,
}

impl Route {
    /// Whether its requests may be sent again after they may have run.
    pub fn repeatable(&self) -> bool {
        match self.kind {
            RouteKind::Repeatable => true,
            RouteKind::Once => false,
            RouteKind::Stream => self.resumable,
        }
    }

    /// Request timeout.
    pub fn timeout(&self) -> Duration {
        Duration::from_millis(self.timeout_ms)
    }

    /// Latency objective.
    pub fn objective(&self) -> Duration {
        Duration::from_millis(self.objective_ms)
    }
}

/// Callers that share keys and limits.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tenant {
    /// Name, which is sent to servers.
    pub name: Arc<str>,
    /// API keys of its callers.
    pub keys: Vec<String>,
    /// Priority, which overrides that of the route.
    pub priority: Option<u8>,
    /// Regions whose endpoints may run its requests; the route must allow them as well. Required in plans from
    /// other entries: a missing list must not be read as unrestricted.
    pub allowed_regions: AllowedRegions,
}

/// Capacity of a service's model engines, as far as it is known.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct EngineCapacity {
    /// Largest number of concurrent requests.
    pub slots: u32,
    /// Capacity of the KV cache, in tokens.
    pub memory_tokens: u64,
    /// Time of one step, in milliseconds.
    pub step_ms: f64,
    /// Decode steps run between two prefill phases.
    pub stride: u32,
    /// Prompt tokens processed a second.
    pub read_per_second: f64,
    /// Layers of its model; 0 if unknown.
    pub layers: u32,
    /// Pieces of its model's weights; 0 if unknown.
    #[serde(default)]
    pub pieces: u32,
    /// Size of a piece, in bytes; 0 if unknown.
    #[serde(default)]
    pub piece_bytes: u32,
    /// Tokens of a typical prompt.
    pub usual_prompt: u64,
    /// Tokens of a typical completion.
    pub usual_answer: u64,
    /// Models that the engines run.
    pub models: Vec<ModelName>,
    /// Warm-up time of a model after staging, in milliseconds.
    pub warm_ms: u64,
}

/// An origin of weights.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct OriginPlan {
    /// Its address.
    pub address: SocketAddr,
    /// Bytes a second that it sends.
    pub bytes_per_second: u64,
    /// Connections that it accepts.
    pub max_connections: u32,
}

/// One service.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ServicePlan {
    /// Connections that one of its servers accepts from all callers together; 0 if unknown.
    pub max_connections: u32,
    /// Largest rate of requests a second to one of its servers while it is cold; 0 for no limit.
    #[serde(default)]
    pub cold_per_second: f64,
    /// Path of its servers' health check, if they have one.
    #[serde(default)]
    pub health_path: Option<HealthPath>,
    /// Its model engines, if it has any.
    pub engine: Option<EngineCapacity>,
    /// The weight origin that it provides, if any.
    pub origin: Option<OriginPlan>,
}

/// Limits on requests of callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClientLimits {
    /// Largest head of a request, in bytes.
    pub head_bytes: usize,
    /// Largest body of a request, in bytes.
    pub body_bytes: usize,
    /// Timeout for receiving the head of a request, in milliseconds.
    pub head_ms: u64,
    /// Idle timeout of a connection, in milliseconds.
    pub idle_ms: u64,
}

impl Default for ClientLimits {
    fn default() -> Self {
        Self { head_bytes: 16 << 10, body_bytes: 4 << 20, head_ms: 5_000, idle_ms: 30_000 }
    }
}

/// The routing configuration: routes, services, limits and tenants.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct TrafficPlan {
    /// Its version.
    pub version: PlanVersion,
    /// Routes.
    pub routes: Vec<Route>,
    /// Services by name.
    pub services: BTreeMap<String, ServicePlan>,
    /// Limits on callers.
    pub limits: ClientLimits,
    /// Tenants; none if requests need no key.
    pub tenants: Vec<Tenant>,
}

impl TrafficPlan {
    /// Checks the routes and the names of tenants.
    pub fn check(&self) -> Result<(), InputError> {
        for (index, route) in self.routes.iter().enumerate() {
            check_route(&format!("routes[{index}]"), route)?;
        }
        // The regions of a request in progress are looked up by the tenant's name.
        let mut names = BTreeSet::new();
        for (index, tenant) in self.tenants.iter().enumerate() {
            if !names.insert(&tenant.name) {
                let message = format!("\"{}\" names an earlier tenant; rename one", tenant.name);
                return Err(InputError::new(format!("tenants[{index}].name"), message));
            }
        }
        Ok(())
    }

    /// Whether every request to a service may be interrupted, because it can be repeated or resumed on another
    /// server.
    pub fn may_interrupt(&self, service: &str) -> bool {
        let sends = |route: &Route| route.targets.iter().any(|one| &*one.service == service);
        self.routes.iter().filter(|route| sends(route)).all(Route::repeatable)
    }

    /// Whether some requests to a service are restricted to some regions, by their route or organisation.
    ///
    /// Organisations are not bound to services, so one restricted organisation makes every service count as
    /// restricted. This is safe: a restricted service only plans to move fewer streams during a drain.
    pub fn restricts_regions(&self, service: &str) -> bool {
        let is_restricted = |regions: &AllowedRegions| *regions != AllowedRegions::Anywhere;
        let sends = |route: &Route| route.targets.iter().any(|one| &*one.service == service);
        self.tenants.iter().any(|tenant| is_restricted(&tenant.allowed_regions))
            || self.routes.iter().any(|route| is_restricted(&route.allowed_regions) && sends(route))
    }

    /// The part of the plan that agents need: services with engines or an origin and, for each of them, one
    /// route whose requests must not be interrupted. Whole plans of 1 MB, read by every agent of a region
    /// after a power failure, saturate the region's link for half a minute.
    pub fn for_agents(&self) -> Self {
        let used = |service: &ServicePlan| service.engine.is_some() || service.origin.is_some();
        let services = self.services.iter().filter(|(_, service)| used(service));
        let services: BTreeMap<String, ServicePlan> =
            services.map(|(name, service)| (name.clone(), service.clone())).collect();
        let once = self.routes.iter().filter(|route| !route.repeatable());
        let sends = |route: &&Route, name: &str| {
            route.targets.iter().any(|target| &*target.service == name)
        };
        let routes =
            services.keys().filter_map(|name| once.clone().find(|route| sends(route, name)));
        Self {
            version: self.version,
            routes: routes.cloned().collect(),
            limits: self.limits,
            tenants: Vec::new(),
            services,
        }
    }

    /// The origin of the first service that has one.
    pub fn origin(&self) -> Option<&OriginPlan> {
        self.services.values().find_map(|service| service.origin.as_ref())
    }
}

fn check_route(path: &str, route: &Route) -> Result<(), InputError> {
    if !route.path_prefix.starts_with('/') || !route.path_prefix.ends_with('/') {
        let message =
            format!("\"{}\" does not begin and end with a slash; write /name/", route.path_prefix);
        return Err(InputError::new(format!("{path}.path_prefix"), message));
    }
    if route.targets.iter().all(|target| target.weight == 0) {
        let message = "no service has a weight above 0; give at least one service a weight";
        return Err(InputError::new(format!("{path}.targets"), message));
    }
    if route.max_attempts == 0 {
        let message = "0 attempts would fail every request; give 1 or more";
        return Err(InputError::new(format!("{path}.max_attempts"), message));
    }
    Ok(())
}

/// Id of a server. Where servers do not report a start time, a restarted server has a new id.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ServerId(pub Arc<str>);

impl std::fmt::Display for ServerId {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.0)
    }
}

/// Layers of a model that a server holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldLayers {
    /// First layer.
    pub from: u32,
    /// Layer after the last.
    pub until: u32,
    /// Version of the weights.
    pub version: WeightVersion,
}

/// What a server holds of a model.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldModel {
    /// The model.
    pub model: ModelName,
    /// Version used for responses.
    pub version: WeightVersion,
    /// Layers held; empty if the server does not report them.
    pub layers: Vec<HeldLayers>,
}

impl HeldModel {
    /// The version in use, if the server holds all `layers` layers of it. If `layers` is 0, the number
    /// of layers is unknown and not checked.
    pub fn whole_version(&self, layers: u32) -> Option<WeightVersion> {
        if layers == 0 {
            return Some(self.version);
        }
        let mut until = 0;
        let mut parts: Vec<_> =
            self.layers.iter().filter(|part| part.version == self.version).collect();
        parts.sort_by_key(|part| part.from);
        for part in parts {
            if part.from <= until {
                until = until.max(part.until);
            }
        }
        (until >= layers).then_some(self.version)
    }
}

/// Start time that a server reports, in Unix milliseconds. It distinguishes restarts under the same id.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct StartTime(pub u64);

/// One server as it is listed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerRecord {
    /// Its id.
    pub id: ServerId,
    /// Start time, if the server reports it; otherwise it has a new id after each start.
    #[serde(default, rename = "born")]
    pub started_at: Option<StartTime>,
    /// The service it belongs to.
    pub service: Arc<str>,
    /// Address on which it serves requests.
    pub address: SocketAddr,
    /// Failure domain.
    pub zone: DomainId,
    /// Largest number of concurrent requests.
    pub slots: u32,
    /// Whether it is draining.
    pub draining: bool,
    /// Remaining time of its cold phase at the time of the report, in milliseconds.
    #[serde(default)]
    pub cold_ms: u64,
    /// Models that it holds; empty for a plain service.
    pub models: Vec<HeldModel>,
}

/// Target version of a model's weights.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetWeights {
    /// The model.
    pub model: ModelName,
    /// The version.
    pub version: WeightVersion,
}
