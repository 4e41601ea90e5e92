//! Plans whose routes and organisations differ in priority.

use headlatch_types::traffic::{
    AllowedRegions, EngineCapacity, PlanVersion, Route, RouteKind, RouteTarget, ServicePlan,
    Tenant, TrafficPlan,
};

/// A route of `priority` to the service `llm`.
pub fn route(priority: u8) -> Route {
    Route {
        name: format!("route-{priority}").into(),
        host: "a.example".to_owned(),
        path_prefix: format!("/{priority}/"),
        kind: RouteKind::Stream,
        timeout_ms: 6000,
        objective_ms: 400,
        pause_objective_ms: 400,
        priority,
        targets: vec![RouteTarget { service: "llm".into(), weight: 1 }],
        max_attempts: 2,
        anonymous: false,
        resumable: true,
        allowed_regions: AllowedRegions::Anywhere,
    }
}

/// A plan with a route to the engines of `llm` for each of `routes`, and an organisation for each of
/// `organisations`, with these priorities.
pub fn plan(routes: &[u8], organisations: &[Option<u8>]) -> TrafficPlan {
    let tenants = organisations.iter().enumerate().map(|(nth, priority)| Tenant {
        name: format!("organisation-{nth}").into(),
        keys: vec![format!("key-{nth}")],
        priority: *priority,
        allowed_regions: Default::default(),
    });
    let engine = Some(EngineCapacity::default());
    TrafficPlan {
        version: PlanVersion(1),
        routes: routes.iter().map(|priority| route(*priority)).collect(),
        services: [("llm".to_owned(), ServicePlan { engine, ..ServicePlan::default() })].into(),
        tenants: tenants.collect(),
        ..TrafficPlan::default()
    }
}
