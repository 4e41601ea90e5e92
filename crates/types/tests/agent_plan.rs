//! The part of a plan that agents receive.

use googletest::prelude::*;
use headlatch_types::traffic::{
    AllowedRegions, OriginPlan, PlanVersion, Route, RouteKind, RouteTarget, ServicePlan, Tenant,
    TrafficPlan,
};

fn route(name: &str, kind: RouteKind, service: &str) -> Route {
    Route {
        name: name.into(),
        host: "h".to_owned(),
        path_prefix: format!("/{name}/"),
        kind,
        timeout_ms: 1_000,
        objective_ms: 100,
        pause_objective_ms: 0,
        priority: 0,
        targets: vec![RouteTarget { service: service.into(), weight: 1 }],
        max_attempts: 1,
        anonymous: false,
        resumable: true,
        allowed_regions: AllowedRegions::Anywhere,
    }
}

fn plan(kind: RouteKind) -> TrafficPlan {
    let origin = OriginPlan {
        address: "10.0.0.1:80".parse().expect("an address"),
        bytes_per_second: 900_000,
        max_connections: 48,
    };
    let weights = ServicePlan { origin: Some(origin), ..ServicePlan::default() };
    let services = [("weights", weights), ("plain", ServicePlan::default())];
    let tenant = Tenant {
        name: "t".into(),
        keys: vec!["k".into()],
        priority: None,
        allowed_regions: AllowedRegions::Anywhere,
    };
    TrafficPlan {
        version: PlanVersion(7),
        routes: (0..1_000).map(|nth| route(&format!("r{nth}"), kind, "weights")).collect(),
        services: services.into_iter().map(|(name, plan)| (name.to_owned(), plan)).collect(),
        tenants: vec![tenant],
        ..TrafficPlan::default()
    }
}

/// Guards against sending whole plans to agents: 1 MB for each of dozens of agents saturates the link of a
/// region for half a minute.
#[gtest]
fn agents_get_a_reduced_plan_with_the_same_origin_and_interruption_rules() {
    for kind in [RouteKind::Stream, RouteKind::Once] {
        let plan = plan(kind);
        let handed = plan.for_agents();
        expect_that!(handed.version, eq(plan.version));
        expect_that!(handed.origin(), eq(plan.origin()));
        expect_that!(handed.may_interrupt("weights"), eq(plan.may_interrupt("weights")));
        expect_that!(handed.routes.len(), le(1));
        expect_that!(handed.tenants.len(), eq(0));
        expect_that!(handed.services.contains_key("plain"), eq(false));
        expect_that!(handed.check().is_ok(), eq(true));
    }
}
