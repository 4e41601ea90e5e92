//! The pace of a server, from its report to the predictions of an entry. Guards against a pace that is
//! published late, that outlives its report, or that has an effect where the setting is off.

mod support;

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use googletest::prelude::*;
use headlatch_core::direct::peers::{DomainKey, PeerKind, PeerNotice, ServerNotice};
use headlatch_daemon::{
    direct::{
        agent::{AgentDependencies, DirectAgent},
        entry::DirectEntry,
        notices::{MAX_DATAGRAM_BYTES, decode, encode},
    },
    timer::SystemTimer,
};
use headlatch_outside::{
    OutsideFuture,
    engine::{
        EngineStage, OrderAnswer, PieceManifest, PieceOrigin, StageFailure, StageReport,
        StartOrder, VersionRequest,
    },
    facts::{Fact, FactTopic},
};
use headlatch_types::{
    id::ModelName, pace::ServerPace, settings::DaemonSettings, traffic::WeightVersion,
};
use support::{TestHeaders, TestStore, plan, record, settings};
use tokio::{net::UdpSocket, time::Instant};

/// An engine that reports a pace in hundredths: 0 for none, and no report at [`SILENT`].
#[derive(Debug, Default)]
struct PacedEngine(AtomicU32);

/// The engine does not answer.
const SILENT: u32 = u32::MAX;

impl PacedEngine {
    fn set(&self, hundredths: u32) {
        self.0.store(hundredths, Ordering::Relaxed);
    }
}

impl EngineStage for PacedEngine {
    fn report(&self) -> OutsideFuture<'_, std::result::Result<StageReport, StageFailure>> {
        let hundredths = self.0.load(Ordering::Relaxed);
        Box::pin(async move {
            if hundredths == SILENT {
                std::future::pending::<()>().await;
            }
            let pace = ServerPace::from_hundredths(hundredths).ok();
            Ok(StageReport { pace, ..StageReport::default() })
        })
    }

    fn put<'a>(
        &'a self,
        _model: &'a ModelName,
        _piece: u32,
        _data: Bytes,
    ) -> OutsideFuture<'a, std::result::Result<(), StageFailure>> {
        Box::pin(async { Err(StageFailure::Busy) })
    }

    fn get<'a>(
        &'a self,
        _model: &'a ModelName,
        _piece: u32,
    ) -> OutsideFuture<'a, std::result::Result<Bytes, StageFailure>> {
        Box::pin(async { Err(StageFailure::Absent) })
    }

    fn start(
        &self,
        _order: StartOrder,
    ) -> OutsideFuture<'_, std::result::Result<OrderAnswer, StageFailure>> {
        Box::pin(async { Err(StageFailure::Busy) })
    }
}

/// An origin that has nothing.
#[derive(Debug)]
struct EmptyOrigin;

impl PieceOrigin for EmptyOrigin {
    fn manifest<'a>(
        &'a self,
        _origin: SocketAddr,
        _model: &'a ModelName,
        _version: VersionRequest,
    ) -> OutsideFuture<'a, std::result::Result<PieceManifest, StageFailure>> {
        Box::pin(async { Err(StageFailure::Absent) })
    }

    fn piece<'a>(
        &'a self,
        _origin: SocketAddr,
        _model: &'a ModelName,
        _version: WeightVersion,
        _number: u32,
    ) -> OutsideFuture<'a, std::result::Result<Bytes, StageFailure>> {
        Box::pin(async { Err(StageFailure::Absent) })
    }
}

/// Starts an agent of `engine` with a seed address.
async fn agent(engine: &Arc<PacedEngine>, server_pace: bool, seed: SocketAddr) -> DirectAgent {
    let text = serde_json::json!({
        "box": "a1", "domain": "z1", "region": "r1", "control": "127.0.0.1:0",
        "admin": "127.0.0.1:0", "platform": "http://127.0.0.1:1",
        "agent": { "endpoint": { "kind": "engine", "address": "127.0.0.1:1", "service": "s" } },
        "direct": { "zones": { "z1": "r1" }, "server_pace": server_pace }
    });
    let mut settings = match DaemonSettings::parse(&text.to_string()) {
        Ok(DaemonSettings::DirectAgent(settings)) => *settings,
        other => panic!("expected settings of a direct agent, got {other:?}"),
    };
    settings.direct.seeds = vec![seed];
    let outside = AgentDependencies {
        store: Arc::new(TestStore::default()),
        engine: engine.clone(),
        origin: Arc::new(EmptyOrigin),
    };
    DirectAgent::start(settings, Arc::new(SystemTimer::default()), outside)
        .await
        .expect("agent starts")
}

/// A peer of an agent that receives its notices.
struct NoticeListener {
    socket: UdpSocket,
    sequence: u64,
}

impl NoticeListener {
    async fn new() -> Self {
        let socket = UdpSocket::bind("127.0.0.1:0").await.expect("bind to a free port");
        Self { socket, sequence: 0 }
    }

    fn address(&self) -> SocketAddr {
        self.socket.local_addr().expect("socket is bound")
    }

    /// Returns the pace in the agent's next notice.
    async fn next(&mut self) -> Option<ServerPace> {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        let (length, from) = self.socket.recv_from(&mut buffer).await.expect("receive a notice");
        let notice = decode(&buffer[..length]).expect("valid notice");
        self.sequence += 1;
        let own = PeerNotice::empty(self.address(), PeerKind::Entry, DomainKey(1));
        let own = PeerNotice { sequence: self.sequence, ..own };
        self.socket.send_to(&encode(&own), from).await.expect("send a notice");
        notice.server.and_then(|server| server.pace)
    }

    /// Returns the time until the agent publishes `pace`.
    async fn time_until(&mut self, pace: Option<ServerPace>) -> Duration {
        let begun = Instant::now();
        while self.next().await != pace {
            assert!(begun.elapsed() < Duration::from_secs(10), "{pace:?} is not published");
        }
        begun.elapsed()
    }
}

fn pace(hundredths: u32) -> Option<ServerPace> {
    ServerPace::from_hundredths(hundredths).ok()
}

#[gtest]
#[tokio::test]
async fn agent_publishes_pace_and_withdraws_it_when_the_server_falls_silent() {
    let mut listener = NoticeListener::new().await;
    let engine = Arc::new(PacedEngine::default());
    let agent = agent(&engine, true, listener.address()).await;
    listener.time_until(None).await;
    engine.set(500);
    expect_that!(listener.time_until(pace(500)).await, lt(Duration::from_millis(900)));
    engine.set(100);
    expect_that!(listener.time_until(None).await, lt(Duration::from_millis(900)));
    engine.set(250);
    listener.time_until(pace(250)).await;
    engine.set(SILENT);
    let withdrawn = listener.time_until(None).await;
    expect_that!(
        withdrawn,
        all!(gt(Duration::from_millis(1_500)), lt(Duration::from_millis(3_500)))
    );
    agent.leave();
}

#[gtest]
#[tokio::test]
async fn agent_publishes_no_pace_with_the_setting_off() {
    let mut listener = NoticeListener::new().await;
    let engine = Arc::new(PacedEngine::default());
    engine.set(500);
    let agent = agent(&engine, false, listener.address()).await;
    let begun = Instant::now();
    while begun.elapsed() < Duration::from_millis(1_500) {
        expect_that!(listener.next().await, none());
    }
    agent.leave();
}

fn server_notice(address: SocketAddr, pace: Option<ServerPace>) -> ServerNotice {
    ServerNotice {
        address,
        whole: None,
        changing: false,
        staged: None,
        sharing: None,
        zone: "z1".parse().expect("a name"),
        service: "s".to_owned(),
        pace,
    }
}

/// A pace of a newer version's wider range must not make the notice of an agent unreadable.
#[gtest]
fn pace_survives_a_notice_and_an_invalid_one_counts_as_none() {
    let address: SocketAddr = "10.0.0.1:80".parse().expect("an address");
    for pace in [None, pace(250), pace(10_000)] {
        let notice = PeerNotice {
            server: Some(server_notice(address, pace)),
            ..PeerNotice::empty(address, PeerKind::Agent, DomainKey(1))
        };
        expect_that!(decode(&encode(&notice)), some(eq(&notice)));
    }
    let message = headlatch_wire::PeerNotice {
        from: vec![10, 0, 0, 1, 0, 80],
        server: Some(headlatch_wire::NoticeServer {
            address: vec![10, 0, 0, 1, 0, 80],
            zone: "z1".to_owned(),
            pace: 99_999,
            ..Default::default()
        }),
        ..Default::default()
    };
    let notice = decode(&prost::Message::encode_to_vec(&message)).expect("a readable notice");
    expect_that!(notice.server.expect("a server").pace, none());
}

/// Returns an entry's gauge of slow servers after an agent has published a pace of 5.
async fn slow_servers(server_pace: bool) -> String {
    let store = Arc::new(TestStore::default());
    store.set(FactTopic::Plan, "main", Fact::Plan(Box::new(plan(1))));
    let address: SocketAddr = "127.0.0.1:1".parse().expect("an address");
    store.set(FactTopic::Servers, "one", Fact::Server(record("one", address, "z1")));
    let mut settings = settings();
    settings.direct.server_pace = server_pace;
    let entry =
        DirectEntry::start(settings, store, Arc::new(TestHeaders)).await.expect("it starts");
    while !entry.state.is_ready() {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    entry.state.servers().set_notice(address, Some(server_notice(address, pace(500))));
    entry.state.refresh_loads();
    let text = entry.state.metrics.text();
    let line = text.lines().find(|line| line.starts_with("headlatch_slow_servers "));
    line.unwrap_or_default().to_owned()
}

#[gtest]
#[tokio::test]
async fn entry_counts_slow_servers_only_with_the_setting_on() {
    expect_that!(slow_servers(true).await, eq("headlatch_slow_servers 1"));
    expect_that!(slow_servers(false).await, eq("headlatch_slow_servers 0"));
}
