//! Ranks of requests by the priorities of their organisation and route.

use googletest::prelude::*;
use headlatch_core::direct::admission::urgency::{ServiceUrgencies, UrgencyRank, UrgencyRanks};
use headlatch_types::traffic::{RequestUrgency, Route, RouteTarget, TrafficPlan};
use proptest::prelude::*;

#[path = "support/priorities.rs"]
mod priorities;

use priorities::{plan, route};

fn urgency(organisation: u8, route: u8) -> RequestUrgency {
    RequestUrgency { organisation, route }
}

/// Levels of the service `llm`, the most urgent first, as text.
fn levels(plan: &TrafficPlan) -> Vec<String> {
    UrgencyRanks::new(plan, "llm").levels().iter().map(ToString::to_string).collect()
}

/// Guards against ranks that ignore the organisation, or an organisation without a priority that counts as
/// the most urgent one.
#[gtest]
fn ranks_follow_the_organisation_before_the_route() {
    let plan = plan(&[2, 0], &[None, Some(1)]);
    expect_that!(levels(&plan), elements_are![eq("1.0"), eq("1.2"), eq("5.0"), eq("5.2")]);
    let ranks = UrgencyRanks::new(&plan, "llm");
    let urgencies = [urgency(1, 0), urgency(1, 2), urgency(5, 0), urgency(5, 2)];
    let values = urgencies.map(|urgency| ranks.rank(urgency).value());
    expect_that!(values, eq([0, 1, 2, 3]));
}

/// Guards against urgency for deployments that do not ask for it: no engines, a single priority of all routes
/// to the service, routes that send it nothing, or a service that the plan does not have.
#[gtest]
fn only_engines_with_routes_of_different_priority_distinguish_urgencies() {
    expect_that!(UrgencyRanks::new(&plan(&[0, 1], &[None]), "llm").is_active(), eq(true));
    let single = plan(&[1, 1], &[Some(0), Some(3), None]);
    expect_that!(UrgencyRanks::new(&single, "llm").is_active(), eq(false));
    let mut plain = plan(&[0, 1], &[None]);
    plain.services.values_mut().for_each(|service| service.engine = None);
    expect_that!(UrgencyRanks::new(&plain, "llm").is_active(), eq(false));
    let mut unused = plan(&[1], &[None]);
    let targets = vec![
        RouteTarget { service: "llm".into(), weight: 0 },
        RouteTarget { service: "other".into(), weight: 1 },
    ];
    unused.routes.push(Route { targets, ..route(0) });
    expect_that!(UrgencyRanks::new(&unused, "llm").is_active(), eq(false));
    for plan in [&single, &plain, &unused] {
        expect_that!(ServiceUrgencies::new(plan).iter().count(), eq(0));
        expect_that!(ServiceUrgencies::new(plan).rank("llm", urgency(5, 1)), none());
    }
    expect_that!(UrgencyRanks::new(&plan(&[0, 1], &[None]), "other").is_active(), eq(false));
}

/// Guards against callers without an organisation that fall outside the ranks.
#[gtest]
fn anonymous_callers_count_as_priority_five() {
    expect_that!(levels(&plan(&[0, 1], &[])), elements_are![eq("5.0"), eq("5.1")]);
    let mut anonymous = plan(&[0, 1], &[Some(7)]);
    anonymous.routes[0].anonymous = true;
    expect_that!(levels(&anonymous), elements_are![eq("5.0"), eq("7.0"), eq("7.1")]);
}

/// Guards against ranks beyond those that servers know.
#[gtest]
fn urgencies_past_the_tenth_share_the_last_rank() {
    let routes: Vec<u8> = (0..12).collect();
    let ranks = UrgencyRanks::new(&plan(&routes, &[None]), "llm");
    let values: Vec<u8> =
        routes.iter().map(|route| ranks.rank(urgency(5, *route)).value()).collect();
    expect_that!(values, eq(&vec![0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 9, 9]));
    expect_that!(ranks.rank(urgency(255, 255)), eq(UrgencyRank::MAX));
}

proptest! {
    /// Guards against a less urgent request that gets a more urgent rank, also where the plan does not know
    /// its urgency.
    #[test]
    fn less_urgent_requests_never_have_a_more_urgent_rank(
        routes in prop::collection::vec(0_u8..12, 1..6),
        organisations in prop::collection::vec(prop::option::of(0_u8..12), 0..6),
        first: (u8, u8),
        second: (u8, u8),
    ) {
        let ranks = UrgencyRanks::new(&plan(&routes, &organisations), "llm");
        let (first, second) = (urgency(first.0, first.1), urgency(second.0, second.1));
        let (first, second) = (first.min(second), first.max(second));
        prop_assert!(ranks.rank(first) <= ranks.rank(second));
    }
}
