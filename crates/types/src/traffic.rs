//! Routed traffic: which service answers which path, who may ask, and which servers there are.
//!
//! These are the checked forms. An adapter builds them from whatever an outside system says; the
//! rest of headlatch never sees the raw form.

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

/// Version of a traffic plan; plans in force only ever go up.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct PlanVersion(pub u64);

impl std::fmt::Display for PlanVersion {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// Version of a model's weights; wanted versions only ever go up.
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
    /// Its answer is a stream of events; repeatable only where the route says so.
    Stream,
}

/// A service that a route sends to, and its share of the route's requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteTarget {
    /// Name of the service.
    pub service: Arc<str>,
    /// Its share, relative to the route's other targets.
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
    /// What its paths begin with; ends with a slash.
    pub path_prefix: String,
    /// Whether its requests may be repeated.
    pub kind: RouteKind,
    /// Longest time a request is held, in milliseconds.
    pub timeout_ms: u64,
    /// Time in which an answer is wanted, for streams the first event, in milliseconds.
    pub objective_ms: u64,
    /// Longest pause wanted between events of a stream, in milliseconds; 0 for no wish.
    pub pause_objective_ms: u64,
    /// Rank; 0 is the most urgent.
    pub priority: u8,
    /// Services that answer it.
    pub targets: Vec<RouteTarget>,
    /// Most servers that one request is sent to.
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

    /// Longest time a request is held.
    pub fn timeout(&self) -> Duration {
        Duration::from_millis(self.timeout_ms)
    }

    /// Time in which an answer is wanted.
    pub fn objective(&self) -> Duration {
        Duration::from_millis(self.objective_ms)
    }
}

/// Callers that share keys and limits.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tenant {
    /// Its name, which servers are told.
    pub name: Arc<str>,
    /// Keys that its callers show.
    pub keys: Vec<String>,
    /// Rank, which goes before a route's.
    pub priority: Option<u8>,
}

/// What a service's model engines can do, as far as it is known.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct EngineCapacity {
    /// Requests that run at the same time.
    pub slots: u32,
    /// Tokens that fit into memory.
    pub memory_tokens: u64,
    /// Time of one step, in milliseconds.
    pub step_ms: f64,
    /// Steps played before prompts are read again.
    pub stride: u32,
    /// Prompt tokens read in a second.
    pub read_per_second: f64,
    /// Layers of its model; 0 if it is not said.
    pub layers: u32,
    /// Tokens of a usual prompt.
    pub usual_prompt: u64,
    /// Tokens of a usual answer.
    pub usual_answer: u64,
    /// Models that they run.
    pub models: Vec<ModelName>,
    /// Time a whole model takes to become ready once it is staged, in milliseconds.
    pub warm_ms: u64,
}

/// Where weights come from.
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
    /// Connections that one of its servers accepts from all callers together; 0 if it is not said.
    pub max_connections: u32,
    /// Requests a second that one of its servers is sent at most while it is cold; 0 for no bound.
    #[serde(default)]
    pub cold_per_second: f64,
    /// Its model engines, if it has any.
    pub engine: Option<EngineCapacity>,
    /// It hands out weights from here, if it does.
    pub origin: Option<OriginPlan>,
}

/// What callers may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClientLimits {
    /// Largest head of a request, in bytes.
    pub head_bytes: usize,
    /// Largest body of a request, in bytes.
    pub body_bytes: usize,
    /// Time a caller has to send its head, in milliseconds.
    pub head_ms: u64,
    /// Time a connection may rest, in milliseconds.
    pub idle_ms: u64,
}

impl Default for ClientLimits {
    fn default() -> Self {
        Self { head_bytes: 16 << 10, body_bytes: 4 << 20, head_ms: 5_000, idle_ms: 30_000 }
    }
}

/// Everything that decides where a request may go.
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
    /// Checks what the parts say of each other.
    pub fn check(&self) -> Result<(), InputError> {
        for (index, route) in self.routes.iter().enumerate() {
            check_route(&format!("routes[{index}]"), route)?;
        }
        Ok(())
    }

    /// Whether every request to a service may be cut and run again, or continued elsewhere.
    pub fn may_interrupt(&self, service: &str) -> bool {
        let sends = |route: &Route| route.targets.iter().any(|one| &*one.service == service);
        self.routes.iter().filter(|route| sends(route)).all(Route::repeatable)
    }

    /// Whether some of the requests to a service may run in some regions only.
    pub fn restricts_regions(&self, service: &str) -> bool {
        let sends = |route: &Route| route.targets.iter().any(|one| &*one.service == service);
        let mut restricted =
            self.routes.iter().filter(|route| route.allowed_regions != AllowedRegions::Anywhere);
        restricted.any(sends)
    }

    /// What agents need of the plan: engines, the origin, and for each service one of the routes that
    /// keep its requests from being cut. Whole plans of a megabyte, read by every agent of a region
    /// after a loss of power, fill its link for half a minute.
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

    /// The first service that hands out weights.
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
        let message = "no service has a weight above 0; name a service that answers";
        return Err(InputError::new(format!("{path}.targets"), message));
    }
    if route.max_attempts == 0 {
        let message = "0 attempts would answer nothing; give 1 or more";
        return Err(InputError::new(format!("{path}.max_attempts"), message));
    }
    Ok(())
}

/// One start of a server; a server that is started again has another.
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
    /// Version that it answers with.
    pub version: WeightVersion,
    /// Its layers; none listed if the server does not say.
    pub layers: Vec<HeldLayers>,
}

impl HeldModel {
    /// The version of which every one of `layers` layers is held, if there is one.
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

/// When a server was started, as it says itself, in Unix milliseconds: it may start again under the id
/// that it had.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct StartTime(pub u64);

/// One server as it is listed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerRecord {
    /// Its id.
    pub id: ServerId,
    /// This start of it, if it tells that; else it has another id after each start.
    #[serde(default, rename = "born")]
    pub started_at: Option<StartTime>,
    /// The service it belongs to.
    pub service: Arc<str>,
    /// Where it answers.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: DomainId,
    /// Requests that it runs at the same time.
    pub slots: u32,
    /// Whether it is about to leave.
    pub draining: bool,
    /// Time for which it was still cold from its start when this was told, in milliseconds.
    #[serde(default)]
    pub cold_ms: u64,
    /// Models that it holds; none listed for a plain service.
    pub models: Vec<HeldModel>,
}

/// The version of a model's weights that is wanted everywhere.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetWeights {
    /// The model.
    pub model: ModelName,
    /// The version.
    pub version: WeightVersion,
}
