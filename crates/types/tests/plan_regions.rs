//! Regions and names of organisations in a traffic plan.

use googletest::prelude::*;
use headlatch_types::traffic::{
    AllowedRegions, Route, RouteKind, RouteTarget, Tenant, TrafficPlan,
};

fn tenant(name: &str, allowed_regions: AllowedRegions) -> Tenant {
    Tenant { name: name.into(), keys: Vec::new(), priority: None, allowed_regions }
}

fn only(region: &str) -> AllowedRegions {
    AllowedRegions::Only([region.parse().expect("a name")].into())
}

fn route(service: &str, allowed_regions: AllowedRegions) -> Route {
    Route {
        name: service.into(),
        host: "h".to_owned(),
        path_prefix: "/a/".to_owned(),
        kind: RouteKind::Stream,
        timeout_ms: 1_000,
        objective_ms: 100,
        pause_objective_ms: 0,
        priority: 0,
        targets: vec![RouteTarget { service: service.into(), weight: 1 }],
        max_attempts: 1,
        anonymous: false,
        resumable: true,
        allowed_regions,
    }
}

fn plan(routes: Vec<Route>, tenants: Vec<Tenant>) -> TrafficPlan {
    TrafficPlan { routes, tenants, ..TrafficPlan::default() }
}

/// Guards against a lookup by name that finds the regions of another organisation.
#[gtest]
fn two_organisations_with_the_same_name_are_rejected() {
    let anywhere = AllowedRegions::Anywhere;
    let names = |names: [&str; 3]| names.map(|name| tenant(name, anywhere.clone())).to_vec();
    expect_that!(plan(Vec::new(), names(["a", "b", "c"])).check(), ok(eq(&())));
    let error = plan(Vec::new(), names(["a", "b", "a"])).check().expect_err("\"a\" is named twice");
    expect_that!(error.path, eq("tenants[2].name"));
    expect_that!(error.message, contains_substring("\"a\""));
}

/// Guards against planning to move streams to a region that their organisation does not allow.
#[gtest]
fn one_restricted_organisation_restricts_every_service() {
    let anywhere = AllowedRegions::Anywhere;
    let routes = vec![route("llm", anywhere.clone()), route("plain", anywhere.clone())];
    let free = plan(routes.clone(), vec![tenant("a", anywhere.clone())]);
    let restricted = plan(routes, vec![tenant("a", anywhere.clone()), tenant("b", only("r1"))]);
    for service in ["llm", "plain"] {
        expect_that!(free.restricts_regions(service), eq(false), "{service}");
        expect_that!(restricted.restricts_regions(service), eq(true), "{service}");
    }
}

/// A restricted route must not restrict the services of other routes.
#[gtest]
fn a_restricted_route_restricts_its_own_services_only() {
    let routes = vec![route("llm", only("r1")), route("plain", AllowedRegions::Anywhere)];
    let plan = plan(routes, vec![tenant("a", AllowedRegions::Anywhere)]);
    expect_that!(plan.restricts_regions("llm"), eq(true));
    expect_that!(plan.restricts_regions("plain"), eq(false));
}
