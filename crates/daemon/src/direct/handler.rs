//! Admits requests: matches the route, authenticates the tenant, reads the body and selects the
//! service.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use headlatch_core::direct::{
    admission::urgency::UrgencyRank,
    engine_model::EngineWork,
    request_digest::{RequestContent, RequestIdentity},
    route_table::{Denial, RouteTable, pick_target},
    server_table::{EngineQuery, FirstTokenBound},
    size_class::SizeClass,
    time_limit::{LimitedTime, TimeLimit},
};
use headlatch_outside::headers::RequestMetadata;
use headlatch_types::{
    quantity::ByteSize,
    traffic::{AllowedRegions, EngineCapacity, RequestUrgency, Route, RouteKind},
};
use http::{
    HeaderMap, HeaderValue, Method, Request, Response, StatusCode, Uri, header, request::Parts,
};
use hyper::body::Incoming;
use rand::Rng;
use serde_json::json;
use tokio::time::Instant;

use super::{
    answer::{AnswerBody, ErrorResponse, hold_until_written},
    body_memory::{HeldBody, MemoryShare},
    callers::{CallerConnection, CallerNeed, RequestGuard},
    exchange,
    state::EntryState,
};
use crate::decisions;

/// `Retry-After` while no plan is known.
const NO_PLAN_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Maximum wait for a newer plan when the current one does not allow a request and another entry
/// has a newer one. A plan from a nearby entry arrives within 0.1 s, and the caller must still have
/// time to try another entry.
const NEWER_PLAN_WAIT: Duration = Duration::from_millis(300);

/// Denial cause: no route matches the request.
pub(super) const NO_ROUTE: &str = "no_route";

/// Denial cause: the API key is missing or belongs to no organisation.
pub(super) const UNKNOWN_KEY: &str = "unknown_key";

/// Deadline of a request when neither the caller nor the route sets one.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(30);

/// A request that has been admitted, with everything needed to send it.
#[derive(Debug, Clone)]
pub struct AdmittedRequest {
    /// Request id from the caller.
    pub id: String,
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// Headers from the caller.
    pub headers: HeaderMap,
    /// Request body.
    pub body: HeldBody,
    /// Whether the caller declared a body, even an empty one.
    pub declares_body: bool,
    /// Matched route.
    pub route: Route,
    /// Service that the request goes to.
    pub service: Arc<str>,
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// Tenant that the key belongs to.
    pub tenant: Option<String>,
    /// Regions in which it may run, by the plan that admitted it.
    pub allowed_regions: AllowedRegions,
    /// Performance figures of the engine; `None` for services without engines.
    pub engine: Option<EngineCapacity>,
    /// When the request arrived.
    pub arrived: Instant,
    /// When the request times out, not counting later suspensions of the machine.
    pub deadline: Instant,
    /// Total time that the machine had been suspended when the request arrived.
    pub suspended_before: Duration,
    /// Which limit determined the deadline.
    pub limit: TimeLimit,
    /// Version of the plan that admitted the request.
    pub plan: u64,
    /// Values read from the request headers.
    pub facts: RequestMetadata,
    /// What identifies the same content, and the same parts of prompts, in other requests.
    pub identity: RequestIdentity,
    /// Size class of the body among recent requests of the route.
    pub size: SizeClass,
    /// Urgency among the requests of the service; `None` if the service does not distinguish urgencies.
    pub urgency: Option<UrgencyRank>,
}

/// Keeps a request in the count of requests in progress.
#[derive(Debug)]
struct InProgressGuard {
    state: Arc<EntryState>,
    _request: RequestGuard,
}

impl InProgressGuard {
    fn new(state: Arc<EntryState>, caller: Arc<CallerConnection>) -> Self {
        state.in_progress.fetch_add(1, Ordering::Relaxed);
        Self { state, _request: RequestGuard::new(caller) }
    }
}

impl Drop for InProgressGuard {
    fn drop(&mut self) {
        self.state.in_progress.fetch_sub(1, Ordering::Relaxed);
    }
}

/// What an answer holds until its last byte has been written to the caller's connection.
#[derive(Debug)]
struct AnswerHold {
    _in_progress: InProgressGuard,
    _window: Option<Arc<MemoryShare>>,
}

/// Handles one request of `caller`.
pub async fn handle(
    state: Arc<EntryState>,
    caller: Arc<CallerConnection>,
    request: Request<Incoming>,
) -> Response<AnswerBody> {
    let in_progress = InProgressGuard::new(state.clone(), caller.clone());
    let facts = state.headers.read_request(request.headers());
    let id = facts.id.clone().unwrap_or_default();
    state.metrics.count_unread_parts(facts.shared_parts.unread);
    let admitted = admit(&state, caller, request, facts).await;
    let answered = match admitted {
        Ok(plan) => exchange::run(&state, plan).await,
        Err(given_up) => {
            let (status, cause) = (given_up.status.as_u16(), given_up.cause);
            let age = state.plan.age();
            let fields = json!({
                "request": id, "status": status, "cause": cause,
                "plan": state.plan_version(), "newest_told": age.newest_told().0,
                "plan_age_ms": age.age(state.now()).map(|age| age.as_millis() as u64),
            });
            decisions::info("admission", "denied", fields);
            Err(given_up)
        }
    };
    let mut response = answered.unwrap_or_else(|given_up| {
        state.metrics.count_request(given_up.verdict);
        state.metrics.count_refusal(given_up.cause);
        let mut response = given_up.response();
        state.headers.write_id(response.headers_mut(), &id);
        response
    });
    if state.is_stopping() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    let window = response.extensions_mut().remove::<Arc<MemoryShare>>();
    let hold = Arc::new(AnswerHold { _in_progress: in_progress, _window: window });
    response.map(|body| hold_until_written(body, hold))
}

async fn admit(
    state: &Arc<EntryState>,
    caller: Arc<CallerConnection>,
    request: Request<Incoming>,
    facts: RequestMetadata,
) -> Result<AdmittedRequest, ErrorResponse> {
    let arrived = Instant::now();
    let (parts, body) = request.into_parts();
    let (routes, found) = find_target(state, &parts, facts.key.as_deref()).await?;
    let RouteMatch { route, tenant, allowed_regions, urgency } = found;
    let declares_body = parts.headers.contains_key(header::CONTENT_LENGTH)
        || parts.headers.contains_key(header::TRANSFER_ENCODING);
    let limits = routes.plan().limits;
    let timeout = if route.timeout_ms == 0 { DEFAULT_DEADLINE } else { route.timeout() };
    let own = facts.deadline.map(|time| LimitedTime::new(time, TimeLimit::Caller));
    let held = LimitedTime::new(timeout, TimeLimit::Route).shorter(own);
    let deadline = arrived + held.time;
    let give_way = || state.callers.give_way(CallerNeed::RequestMemory);
    caller.progress.begin_body(arrived);
    let memory = &state.request_memory;
    let read = memory.read_request(&parts, body, limits.body_bytes, deadline, give_way).await;
    caller.progress.end_body();
    let body = read?;
    let target = pick_target(&route, rand::rng().random());
    let service = target.map(|target| target.service.clone());
    let service =
        service.ok_or_else(|| ErrorResponse::refused("no_service", NO_PLAN_RETRY_AFTER))?;
    let urgency = routes.urgencies().rank(&service, urgency);
    let engine = routes.plan().services.get(&*service).and_then(|service| service.engine.clone());
    let identity = identity_of(&parts, &facts, tenant.as_deref(), &body.bytes);
    let size = state.sizes().record(&route.name, ByteSize::from_bytes(body.bytes.len() as u64));
    let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
    let uri =
        path.parse().map_err(|_| ErrorResponse::denied(StatusCode::BAD_REQUEST, "bad_path"))?;
    caller.set_service(&service);
    Ok(AdmittedRequest {
        id: facts.id.clone().unwrap_or_default(),
        method: parts.method,
        uri,
        headers: parts.headers,
        body,
        declares_body,
        repeatable: route.repeatable(),
        route,
        service,
        tenant,
        allowed_regions,
        engine,
        arrived,
        deadline,
        suspended_before: state.suspended_time(),
        limit: held.limit,
        plan: routes.plan().version.0,
        facts,
        identity,
        size,
        urgency,
    })
}

/// Route, tenant and urgency of a request.
#[derive(Debug, Clone)]
struct RouteMatch {
    route: Route,
    tenant: Option<String>,
    allowed_regions: AllowedRegions,
    urgency: RequestUrgency,
}

/// Finds the route and tenant of a request, and the route table that they were found in.
///
/// A request that the current plan does not allow may be allowed by a newer one. If another entry
/// is known to have a newer plan, this waits for that plan, and if the plan does not arrive the
/// request is refused rather than denied: callers do not retry after a denial, but after a refusal
/// they try another entry.
async fn find_target(
    state: &EntryState,
    parts: &Parts,
    key: Option<&str>,
) -> Result<(Arc<RouteTable>, RouteMatch), ErrorResponse> {
    let current =
        || state.routes().ok_or_else(|| ErrorResponse::refused("no_plan_yet", NO_PLAN_RETRY_AFTER));
    let routes = current()?;
    let denied = match match_route(&routes, parts, key) {
        Ok(found) => return Ok((routes, found)),
        Err(denied) => denied,
    };
    if !state.plan.is_behind(state.now()) {
        return Err(denied);
    }
    let version = routes.plan().version;
    if !state.plan.newer_than(version, NEWER_PLAN_WAIT).await {
        return Err(ErrorResponse::refused("plan_behind", NO_PLAN_RETRY_AFTER));
    }
    let routes = current()?;
    let found = match_route(&routes, parts, key)?;
    Ok((routes, found))
}

fn match_route(
    routes: &RouteTable,
    parts: &Parts,
    key: Option<&str>,
) -> Result<RouteMatch, ErrorResponse> {
    let route = find_route(routes, &parts.headers, &parts.uri)?;
    let tenant = routes.organisation(route, key);
    let tenant =
        tenant.map_err(|_| ErrorResponse::denied(StatusCode::UNAUTHORIZED, UNKNOWN_KEY))?;
    let allowed_regions = match tenant {
        Some(tenant) => route.allowed_regions.intersection(&tenant.allowed_regions),
        None => route.allowed_regions.clone(),
    };
    Ok(RouteMatch {
        urgency: RequestUrgency::new(tenant, route),
        route: route.clone(),
        allowed_regions,
        tenant: tenant.map(|tenant| tenant.name.to_string()),
    })
}

/// Checks a request that has waited against the current plan, which may be newer than the one that admitted
/// it; returns the cause if it would be denied now.
pub(super) fn check_still_admitted(
    state: &EntryState,
    request: &AdmittedRequest,
) -> Result<(), &'static str> {
    let routes = state.routes().filter(|routes| routes.plan().version.0 != request.plan);
    let Some(routes) = routes else { return Ok(()) };
    let route = routes.route_named(&request.route.name).ok_or(NO_ROUTE)?;
    let organisation = routes.organisation(route, request.facts.key.as_deref());
    organisation.map(|_| ()).map_err(|_| UNKNOWN_KEY)
}

/// The rank of a request under the plan in force; `None` if that plan lacks its route or does not distinguish
/// urgencies of its service.
pub(super) fn rank_in_force(state: &EntryState, request: &AdmittedRequest) -> Option<UrgencyRank> {
    let routes = state.routes()?;
    let route = routes.route_named(&request.route.name)?;
    let organisation = routes.organisation(route, request.facts.key.as_deref()).ok()?;
    routes.urgencies().rank(&request.service, RequestUrgency::new(organisation, route))
}

fn host_of<'a>(headers: &'a HeaderMap, uri: &'a Uri) -> &'a str {
    let host = headers.get(header::HOST).and_then(|value| value.to_str().ok());
    host.or_else(|| uri.host()).unwrap_or_default()
}

fn identity_of(
    parts: &Parts,
    facts: &RequestMetadata,
    caller: Option<&str>,
    body: &[u8],
) -> RequestIdentity {
    let content = RequestContent {
        caller,
        method: parts.method.as_str(),
        host: host_of(&parts.headers, &parts.uri),
        path: parts.uri.path(),
        query: parts.uri.query(),
        body,
    };
    RequestIdentity::new(&content, facts.model.as_deref(), &facts.shared_parts.parts)
}

fn find_route<'a>(
    routes: &'a RouteTable,
    headers: &HeaderMap,
    uri: &Uri,
) -> Result<&'a Route, ErrorResponse> {
    routes.route(host_of(headers, uri), uri.path()).map_err(|denial| match denial {
        Denial::NoRoute => ErrorResponse::denied(StatusCode::NOT_FOUND, NO_ROUTE),
        Denial::UnknownKey => ErrorResponse::denied(StatusCode::UNAUTHORIZED, UNKNOWN_KEY),
    })
}

impl AdmittedRequest {
    /// Engine work of the request; `None` for services without engines.
    pub fn engine_work(&self) -> Option<EngineWork> {
        let figures = self.engine.as_ref()?;
        Some(EngineWork::new(figures, self.facts.prompt_tokens, self.route.objective()))
    }

    /// What a server is selected for; `None` for services without engines. With `objective_left`, only servers
    /// that are predicted to return the first token within that time are selected.
    pub fn engine_query(
        &self,
        continues: bool,
        objective_left: Option<Duration>,
    ) -> Option<EngineQuery<'_>> {
        let (figures, work) = self.engine.as_ref().zip(self.engine_work())?;
        let usual = EngineQuery { figures, work, continues, bound: FirstTokenBound::Usual };
        Some(objective_left.map_or(usual, |objective| EngineQuery {
            work: EngineWork { objective, ..work },
            bound: FirstTokenBound::Objective,
            ..usual
        }))
    }

    /// Time left until the deadline as the caller counts it, including suspensions of the machine.
    pub fn time_left(&self, state: &EntryState) -> Duration {
        let left = self.deadline.saturating_duration_since(Instant::now());
        left.saturating_sub(state.suspended_time().saturating_sub(self.suspended_before))
    }

    /// Whether the response is a stream.
    pub fn is_stream(&self) -> bool {
        self.route.kind == RouteKind::Stream
    }
}
