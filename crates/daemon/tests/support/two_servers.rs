//! An entry in front of two servers of one service.

use std::{sync::Arc, time::Duration};

use headlatch_daemon::direct::entry::DirectEntry;
use headlatch_outside::facts::{Fact, FactTopic};
use headlatch_types::traffic::{Route, RouteKind, TrafficPlan};

use super::{TestHeaders, TestStore, plan, record, route, server::TestServer, settings};

/// The plan of all tests, with streams that can't be resumed at `/live/`.
pub fn plan_with_live_streams() -> TrafficPlan {
    let mut plan = plan(5);
    plan.routes.push(Route { resumable: false, ..route("live", RouteKind::Stream) });
    plan
}

/// Starts an entry whose plan is `plan` and whose grace period is `grace`. The first server is asked first: the other one
/// is in another failure domain.
pub async fn start_entry(
    plan: TrafficPlan,
    servers: [&TestServer; 2],
    grace: Duration,
) -> DirectEntry {
    let store = Arc::new(TestStore::default());
    store.set(FactTopic::Plan, "main", Fact::Plan(Box::new(plan)));
    for (name, server, zone) in [("i1", servers[0], "z1"), ("i2", servers[1], "z2")] {
        let record = record(name, server.address, zone);
        store.set(FactTopic::Servers, name, Fact::Server(record));
    }
    let mut settings = settings();
    settings.node.drain = grace;
    let entry = DirectEntry::start(settings, store, Arc::new(TestHeaders)).await;
    let entry = entry.expect("entry starts");
    while !entry.state.is_ready() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    entry
}
