//! Routing, retry budgets, weight deadlines, event splitting and server selection in an entry.

use std::{collections::HashMap, sync::Arc, time::Duration};

use googletest::prelude::*;
use headlatch_core::{
    direct::{
        engine_model::{EngineLoad, EngineWork, time_to_first_token},
        event_split::EventSplitter,
        leaving::LeavingNotice,
        peers::{DomainKey, NEAR_PEER_TIMEOUT, PeerKind, PeerTable, ServerNotice},
        retry_share::{EntryStart, RetryBudget, RetryShare},
        route_table::{Denial, RouteTable, pick_target},
        server_table::{
            EngineQuery, FirstTokenBound, ServerChoice, ServerOutcome, ServerQuery, ServerTable,
            server_key,
        },
        weight_deadline::WeightDeadlines,
    },
    time::Moment,
};
use headlatch_types::{
    store::StoreRevision,
    traffic::{
        AllowedRegions, EngineCapacity, PlanVersion, Route, RouteKind, RouteTarget, ServerId,
        ServerRecord, Tenant, TrafficPlan, WeightVersion,
    },
};

#[path = "support/entry.rs"]
mod entry;

use entry::{at, millis, model, notice, server, table};

fn route(name: &str, prefix: &str) -> Route {
    Route {
        name: name.into(),
        host: "a.example".to_owned(),
        path_prefix: prefix.to_owned(),
        kind: RouteKind::Stream,
        timeout_ms: 6000,
        objective_ms: 400,
        pause_objective_ms: 400,
        priority: 1,
        targets: vec![RouteTarget { service: "llm".into(), weight: 1 }],
        max_attempts: 2,
        anonymous: false,
        resumable: true,
        allowed_regions: AllowedRegions::Anywhere,
    }
}

fn plan(routes: Vec<Route>) -> TrafficPlan {
    let tenant = Tenant {
        name: "t".into(),
        keys: vec!["k".to_owned()],
        priority: None,
        allowed_regions: AllowedRegions::Anywhere,
    };
    TrafficPlan { version: PlanVersion(1), routes, tenants: vec![tenant], ..TrafficPlan::default() }
}

#[gtest]
fn longest_path_prefix_of_host_wins() {
    let table =
        RouteTable::new(Arc::new(plan(vec![route("short", "/a/"), route("long", "/a/b/")])));
    expect_that!(table.route("A.example:80", "/a/b/c").map(|one| &*one.name), ok(eq("long")));
    expect_that!(table.route("a.example", "/a/x").map(|one| &*one.name), ok(eq("short")));
    expect_that!(table.route("a.example", "/b/"), err(eq(Denial::NoRoute)));
    expect_that!(table.route("b.example", "/a/"), err(eq(Denial::NoRoute)));
}

#[gtest]
fn unknown_api_key_is_denied() {
    let table = RouteTable::new(Arc::new(plan(vec![route("one", "/a/")])));
    let one = table.route("a.example", "/a/").expect("it is there").clone();
    expect_that!(table.organisation(&one, Some("k")).map(|one| one.is_some()), ok(eq(true)));
    expect_that!(table.organisation(&one, Some("x")), err(eq(Denial::UnknownKey)));
    expect_that!(table.organisation(&one, None), err(eq(Denial::UnknownKey)));
    let open = Route { anonymous: true, ..one };
    expect_that!(table.organisation(&open, None).map(|one| one.is_none()), ok(eq(true)));
}

/// A newer plan may drop an organisation or a route whose requests are in progress. Guards against ignoring what
/// the newer plan still says of the route, and against allowing regions that the admitting plan did not.
#[gtest]
fn regions_of_admitted_requests_follow_what_the_plan_still_has() {
    let only = |names: &[&str]| {
        AllowedRegions::Only(names.iter().map(|name| name.parse().expect("valid name")).collect())
    };
    let mut plan =
        plan(vec![Route { allowed_regions: only(&["r1", "r2", "r3"]), ..route("one", "/a/") }]);
    plan.tenants[0].allowed_regions = only(&["r1", "r4"]);
    let table = RouteTable::new(Arc::new(plan));
    let admitted = only(&["r2", "r4"]);
    let regions = |route, organisation| table.allowed_regions(route, organisation, &admitted);
    expect_that!(regions("one", Some("t")), eq(&only(&["r1"])));
    expect_that!(regions("one", None), eq(&only(&["r1", "r2", "r3"])));
    expect_that!(regions("one", Some("dropped")), eq(&only(&["r2"])));
    expect_that!(regions("dropped", Some("t")), eq(&admitted));
    let unrestricted = AllowedRegions::Anywhere;
    expect_that!(
        table.allowed_regions("one", Some("dropped"), &unrestricted),
        eq(&only(&["r1", "r2", "r3"]))
    );
}

#[gtest]
fn targets_are_picked_by_weight() {
    let mut one = route("one", "/a/");
    one.targets = vec![
        RouteTarget { service: "a".into(), weight: 90 },
        RouteTarget { service: "b".into(), weight: 10 },
        RouteTarget { service: "c".into(), weight: 0 },
    ];
    let mut counts: HashMap<String, u32> = HashMap::new();
    for draw in 0..1000 {
        let target = pick_target(&one, draw).expect("there is weight");
        *counts.entry(target.service.to_string()).or_default() += 1;
    }
    expect_that!(counts.get("a"), some(eq(&900)));
    expect_that!(counts.get("b"), some(eq(&100)));
    expect_that!(counts.get("c"), none());
}

#[gtest]
fn retries_stay_within_share_of_entry() {
    let budget = RetryBudget { ratio: 0.2, slack: 100.0, window: Duration::from_secs(10) };
    let mut share = RetryShare::new(budget, EntryStart::FirstStart);
    (0..100).for_each(|_| share.record_request(at(4_000), "llm"));
    let taken = (0..1000).filter(|_| share.try_take(at(4_001), "llm", 10)).count();
    // (0.2 x 100 + 100 / 10) x 85 in 100.
    expect_that!(taken, eq(25));
    expect_that!(share.try_take(at(24_000), "llm", 10), eq(true));
}

#[gtest]
fn membership_changes_do_not_enlarge_retry_shares() {
    let budget = RetryBudget { ratio: 0.2, slack: 100.0, window: Duration::from_secs(10) };
    let mut share = RetryShare::new(budget, EntryStart::FirstStart);
    // Just after the start no other entries are known, so the slack belongs to everyone.
    let count = |share: &mut RetryShare, now, entries| {
        (0..1000).filter(|_| share.try_take(at(now), "llm", entries)).count()
    };
    expect_that!(count(&mut share, 1_000, 1), eq(2));
    let mut share = RetryShare::new(budget, EntryStart::FirstStart);
    expect_that!(count(&mut share, 4_000, 10), eq(8));
    // Nine of ten entries are unreachable: the share stays unchanged until the window has passed.
    expect_that!(count(&mut share, 9_000, 1), eq(0));
    expect_that!(count(&mut share, 14_500, 1), eq(85));
}

#[gtest]
fn a_version_that_others_have_known_for_longer_is_due_as_soon_as_theirs() {
    let time = millis(8_000);
    let mut weights = WeightDeadlines::default();
    // Just after the start the first listing does not tell when the version was set.
    weights.learn(at(100), &model(), WeightVersion(2));
    expect_that!(weights.min_version(at(2_000), &model(), time), none());
    let changed = weights.learn_with_age(at(1_000), &model(), WeightVersion(2), millis(5_500));
    expect_that!(changed, eq(false));
    expect_that!(weights.min_version(at(2_000), &model(), time), some(eq(WeightVersion(2))));
    let left = weights.work_time(at(2_000), &model(), WeightVersion(1), time);
    expect_that!(left, some(eq(millis(1_100))));
    // A peer that has known the version for less time changes nothing; a newer version is a change.
    weights.learn_with_age(at(2_000), &model(), WeightVersion(2), millis(10));
    expect_that!(weights.min_version(at(2_000), &model(), time), some(eq(WeightVersion(2))));
    expect_that!(
        weights.learn_with_age(at(2_000), &model(), WeightVersion(3), millis(0)),
        eq(true)
    );
}

#[gtest]
fn splitter_returns_only_complete_events() {
    let mut splitter = EventSplitter::default();
    expect_that!(splitter.push(b"id: 1\ndata: a"), is_empty());
    let events = splitter.push(b"\n\nid: 2\ndata: b\n\nid: 3\nda");
    let ids: Vec<_> = events.iter().map(|event| event.id).collect();
    expect_that!(ids, eq(&vec![Some(1), Some(2)]));
    expect_that!(events[0].bytes, eq(b"id: 1\ndata: a\n\n"));
    expect_that!(splitter.rest(), eq(b"id: 3\nda"));
    splitter.clear();
    expect_that!(splitter.push(b"id: 3\ndata: c\n\n").len(), eq(1));
}

#[gtest]
fn splitter_output_is_independent_of_chunk_boundaries() {
    let text = b"weight-versions: 2\nid: 7\ndata: x\n\nid: 8\r\ndata: y\r\n\r\n: note\n\n";
    let whole = EventSplitter::default().push(text);
    for cut in 0..text.len() {
        let mut splitter = EventSplitter::default();
        let mut events = splitter.push(&text[..cut]);
        events.extend(splitter.push(&text[cut..]));
        expect_that!(events, eq(&whole), "cut at {cut}");
    }
}

#[gtest]
fn old_weights_are_excluded_before_their_deadline() {
    let mut weights = WeightDeadlines::default();
    let time = Duration::from_secs(8);
    expect_that!(weights.learn(at(0), &model(), WeightVersion(2)), eq(true));
    expect_that!(weights.learn(at(10), &model(), WeightVersion(2)), eq(false));
    expect_that!(weights.learn(at(2000), &model(), WeightVersion(3)), eq(true));
    expect_that!(weights.min_version(at(6399), &model(), time), none());
    expect_that!(weights.min_version(at(6400), &model(), time), some(eq(WeightVersion(2))));
    expect_that!(weights.min_version(at(8399), &model(), time), some(eq(WeightVersion(2))));
    expect_that!(weights.min_version(at(8400), &model(), time), some(eq(WeightVersion(3))));
    let longer = Duration::from_millis(13_400);
    expect_that!(weights.min_version(at(11_799), &model(), longer), none());
    expect_that!(weights.min_version(at(11_800), &model(), longer), some(eq(WeightVersion(2))));
}

#[gtest]
fn a_server_with_old_weights_is_given_no_longer_than_they_may_be_used() {
    let mut weights = WeightDeadlines::default();
    let time = Duration::from_secs(8);
    let left = |weights: &WeightDeadlines, now, version| {
        weights.work_time(at(now), &model(), WeightVersion(version), time)
    };
    expect_that!(left(&weights, 0, 1), none());
    weights.learn(at(1000), &model(), WeightVersion(2));
    expect_that!(left(&weights, 5000, 1), some(eq(millis(3600))));
    expect_that!(left(&weights, 20_000, 1), some(eq(Duration::ZERO)));
    expect_that!(left(&weights, 5000, 2), none());
}

fn figures() -> EngineCapacity {
    EngineCapacity {
        slots: 16,
        step_ms: 9.0,
        stride: 5,
        read_per_second: 20_000.0,
        layers: 16,
        usual_prompt: 1000,
        usual_answer: 100,
        ..EngineCapacity::default()
    }
}

fn work(prompt: u64) -> EngineWork {
    EngineWork::new(&figures(), Some(prompt), millis(400))
}

#[gtest]
fn queued_prompts_delay_first_token() {
    let idle = time_to_first_token(&figures(), EngineLoad::default(), work(1000));
    let behind = EngineLoad { in_flight: 4, waiting_tokens: 4000 };
    let full = EngineLoad { in_flight: 18, waiting_tokens: 0 };
    expect_that!(idle, lt(millis(150)));
    expect_that!(time_to_first_token(&figures(), behind, work(1000)), gt(idle + millis(200)));
    expect_that!(time_to_first_token(&figures(), full, work(1000)), gt(idle + millis(200)));
}

fn choose(table: &ServerTable, now: Moment, least: Option<u64>, tried: &[ServerId]) -> String {
    choose_for(table, now, work(500), FirstTokenBound::Usual, least, tried)
}

fn choose_for(
    table: &ServerTable,
    now: Moment,
    work: EngineWork,
    bound: FirstTokenBound,
    least: Option<u64>,
    tried: &[ServerId],
) -> String {
    let figures = figures();
    let engine = EngineQuery { figures: &figures, work, continues: false, bound };
    let query = ServerQuery {
        service: "llm",
        engine: Some(engine),
        regions: &AllowedRegions::Anywhere,
        min_version: least.map(WeightVersion),
        tried,
        random: 5,
    };
    match table.choose(now, &query) {
        ServerChoice::Server(server) => server.id.to_string(),
        ServerChoice::Full(_) => "full".to_owned(),
        ServerChoice::Unavailable => "unavailable".to_owned(),
    }
}

#[gtest]
fn local_failure_domain_is_preferred_until_loaded() {
    let mut table = table(&[server("near", "z1", 1), server("far", "z2", 1)]);
    expect_that!(choose(&table, at(0), None, &[]), eq("near"));
    let near = ServerId("near".into());
    (0..8).for_each(|_| table.begin(&near, 300));
    expect_that!(choose(&table, at(0), None, &[]), eq("far"));
    (0..8).for_each(|_| table.finish_prefill(&near, 300));
    (0..8).for_each(|_| table.end(at(1), &near, ServerOutcome::Answered));
    expect_that!(choose(&table, at(1), None, &[]), eq("near"));
}

/// Guards against waiting requests that wait on for the cheapest server although another would be in time.
#[gtest]
fn a_server_that_would_be_late_for_a_waiting_request_is_excluded() {
    let mut table = table(&[server("near", "z1", 1), server("far", "z2", 1)]);
    table.begin(&ServerId("near".into()), 1000);
    let choose_within = |time, bound| {
        let work = EngineWork { objective: millis(time), ..work(500) };
        choose_for(&table, at(0), work, bound, None, &[])
    };
    expect_that!(choose_within(400, FirstTokenBound::Objective), eq("near"));
    expect_that!(choose_within(150, FirstTokenBound::Objective), eq("far"));
    // Even the idle server needs 82 ms.
    expect_that!(choose_within(80, FirstTokenBound::Objective), eq("full"));
    expect_that!(choose_within(80, FirstTokenBound::Usual), eq("far"));
}

#[gtest]
fn load_of_other_entries_counts() {
    let mut table = table(&[server("near", "z1", 1)]);
    let load = EngineLoad { in_flight: 18, waiting_tokens: 0 };
    table.set_other_loads(HashMap::from([(server_key(&ServerId("near".into())), load)]));
    expect_that!(choose(&table, at(0), None, &[]), eq("full"));
}

#[gtest]
fn server_below_min_version_is_excluded() {
    let table = table(&[server("old", "z1", 1), server("new", "z2", 2)]);
    expect_that!(choose(&table, at(0), Some(2), &[]), eq("new"));
    expect_that!(choose(&table, at(0), Some(3), &[]), eq("unavailable"));
}

#[gtest]
fn server_with_missing_layers_is_excluded() {
    let mut part = server("part", "z1", 1);
    part.models[0].layers[0].until = 15;
    expect_that!(choose(&table(&[part]), at(0), None, &[]), eq("unavailable"));
}

#[gtest]
fn draining_or_tried_server_is_excluded() {
    let mut leaving = server("a", "z1", 1);
    leaving.draining = true;
    let table = table(&[leaving, server("b", "z2", 1)]);
    expect_that!(choose(&table, at(0), None, &[]), eq("b"));
    expect_that!(choose(&table, at(0), None, &[ServerId("b".into())]), eq("unavailable"));
}

#[gtest]
fn agent_notice_overrides_stored_record() {
    let record = server("a", "z1", 1);
    let mut table = table(std::slice::from_ref(&record));
    let notice = |whole: Option<u64>, changing| ServerNotice {
        address: record.address,
        whole: whole.map(WeightVersion),
        changing,
        staged: None,
        sharing: None,
        zone: record.zone.clone(),
        service: "llm".to_owned(),
        pace: None,
    };
    table.set_notice(record.address, Some(notice(Some(1), true)));
    expect_that!(choose(&table, at(0), None, &[]), eq("unavailable"));
    table.set_notice(record.address, Some(notice(Some(2), false)));
    expect_that!(choose(&table, at(0), Some(2), &[]), eq("a"));
    table.set_notice(record.address, Some(notice(None, false)));
    expect_that!(choose(&table, at(0), None, &[]), eq("unavailable"));
}

#[gtest]
fn lost_server_is_probed_with_one_request() {
    let mut table = table(&[server("a", "z1", 1)]);
    let id = ServerId("a".into());
    table.begin(&id, 0);
    table.end(at(0), &id, ServerOutcome::Lost);
    expect_that!(choose(&table, at(100), None, &[]), eq("unavailable"));
    expect_that!(choose(&table, at(400), None, &[]), eq("a"));
    table.begin(&id, 0);
    expect_that!(choose(&table, at(400), None, &[]), eq("unavailable"));
    table.end(at(500), &id, ServerOutcome::Answered);
    expect_that!(choose(&table, at(500), None, &[]), eq("a"));
}

#[gtest]
fn refusal_starts_short_backoff() {
    let mut table = table(&[server("a", "z1", 1)]);
    let id = ServerId("a".into());
    table.begin(&id, 0);
    table.end(at(0), &id, ServerOutcome::Refused);
    expect_that!(choose(&table, at(10), None, &[]), eq("full"));
    expect_that!(choose(&table, at(200), None, &[]), eq("a"));
}

#[gtest]
fn server_reported_leaving_is_excluded_until_it_returns() {
    let mut table = table(&[server("a", "z1", 1)]);
    let leaving_notice = |revision, returned| LeavingNotice {
        server: server_key(&ServerId("a".into())),
        revision: StoreRevision::from_wire(revision),
        returned,
    };
    expect_that!(table.merge_leaving(at(0), leaving_notice(5, false)), eq(true));
    expect_that!(choose(&table, at(10), None, &[]), eq("unavailable"));
    table.merge_leaving(at(20), leaving_notice(7, true));
    expect_that!(choose(&table, at(30), None, &[]), eq("a"));
    // A draining record applies for as long as it is stored, even after gossip state has expired.
    let draining = ServerRecord { draining: true, ..server("a", "z1", 1) };
    table.set(at(40), draining, StoreRevision::from_wire(9));
    table.remove(at(100_000), &ServerId("other".into()), StoreRevision::from_wire(10));
    expect_that!(choose(&table, at(100_000), None, &[]), eq("unavailable"));
}

#[gtest]
fn stale_notices_are_ignored_and_silent_peers_expire() {
    let mut peers = PeerTable::new("10.0.0.1:7".parse().expect("an address"), DomainKey(1));
    expect_that!(peers.receive(at(0), notice("10.0.0.2:7", 1, 5, 3)).joined, eq(true));
    peers.receive(at(1), notice("10.0.0.2:7", 1, 4, 9));
    expect_that!(peers.loads().get(&7).map(|load| load.in_flight), some(eq(3)));
    // A restarted peer starts a new sequence.
    peers.receive(at(2), notice("10.0.0.2:7", 2, 1, 1));
    expect_that!(peers.loads().get(&7).map(|load| load.in_flight), some(eq(1)));
    expect_that!(peers.entries(PeerKind::Entry), eq(2));
    let gone = peers.expire(at(2) + NEAR_PEER_TIMEOUT + millis(1));
    expect_that!(gone.len(), eq(1));
    expect_that!(peers.loads().is_empty(), eq(true));
    expect_that!(peers.candidates().count(), eq(1));
}

#[gtest]
fn peer_ignores_its_own_address() {
    let mut peers = PeerTable::new("10.0.0.1:7".parse().expect("an address"), DomainKey(1));
    peers.add_candidate(at(0), "10.0.0.1:7".parse().expect("an address"));
    peers.receive(at(0), notice("10.0.0.1:7", 1, 1, 1));
    expect_that!(peers.candidates().count(), eq(0));
    expect_that!(peers.living().count(), eq(0));
}
