//! Transfers of a version that is skipped and resumed, on one box.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use bytes::Bytes;
use googletest::prelude::*;
use headlatch_core::{
    burst::{
        DrawMode, FetchFailure, PeerKey, PeerLocation, SwarmEvent, SwarmSettings, SwarmTimings,
    },
    membership::NodeKind,
};
use headlatch_daemon::{
    agent::{
        chunk_cache::ChunkCache,
        fetch::ChunkReader,
        notes::{NoteSender, UndeliveredCallback},
        swarm::{self, DriverInput, SwarmContext, SwarmHandle},
    },
    direct::weights::burst_manifest,
    node::NodeContext,
    platform::HttpStore,
    timer::SystemTimer,
    trace::SpanFactory,
};
use headlatch_http::pace::LinkPacer;
use headlatch_outside::{
    OutsideFuture,
    engine::{PieceDigest, PieceManifest},
};
use headlatch_types::{
    ChunkIndex, Digest, Manifest,
    quantity::{ByteRate, ByteSize},
    settings::DaemonSettings,
    traffic::WeightVersion,
};
use headlatch_wire::SwarmNotes;

const PIECES: u32 = 24;

/// Generous upper bound for a transfer that nothing blocks.
const TIMEOUT: Duration = Duration::from_secs(20);

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("mutex is not poisoned")
}

fn piece(version: u64, number: u32) -> Bytes {
    Bytes::from(format!("piece {number:04} of version {version:04}").into_bytes())
}

fn manifest(version: u64) -> Arc<Manifest> {
    let digest = |number| PieceDigest(*Digest::sha256(&piece(version, number)).as_bytes());
    Arc::new(burst_manifest(&PieceManifest {
        model: "m".parse().expect("valid model name"),
        version: WeightVersion(version),
        piece_bytes: piece(version, 0).len() as u32,
        layers: 4,
        digests: (0..PIECES).map(digest).collect(),
    }))
}

/// An origin that sends a limited number of pieces and then cannot be reached.
#[derive(Debug)]
struct TestOrigin {
    version: u64,
    left: Mutex<u32>,
    corrupt: Mutex<BTreeSet<u32>>,
    /// How often each piece was sent.
    sent: Mutex<BTreeMap<u32, u32>>,
}

impl TestOrigin {
    fn new(version: u64, left: u32) -> Arc<Self> {
        let (corrupt, sent) = (Mutex::default(), Mutex::default());
        Arc::new(Self { version, left: Mutex::new(left), corrupt, sent })
    }
}

impl ChunkReader for TestOrigin {
    fn read<'a>(
        &'a self,
        _manifest: &'a Manifest,
        chunk: ChunkIndex,
    ) -> OutsideFuture<'a, std::result::Result<Bytes, FetchFailure>> {
        let mut left = lock(&self.left);
        if *left == 0 {
            return Box::pin(async { Err(FetchFailure::Unreachable) });
        }
        *left -= 1;
        if lock(&self.corrupt).remove(&chunk.0) {
            return Box::pin(async { Ok(Bytes::from_static(b"spoilt")) });
        }
        *lock(&self.sent).entry(chunk.0).or_default() += 1;
        let data = piece(self.version, chunk.0);
        Box::pin(async move { Ok(data) })
    }
}

#[derive(Debug)]
struct NoPeers;

impl NoteSender for NoPeers {
    fn send(&self, _to: SocketAddr, _notes: SwarmNotes, _lost: UndeliveredCallback) {}
}

struct TestBox {
    node: Arc<NodeContext>,
    cache: Arc<ChunkCache>,
}

impl TestBox {
    fn new() -> Self {
        let text = serde_json::json!({
            "box": "a1", "domain": "z1", "region": "r1", "control": "127.0.0.1:0",
            "admin": "127.0.0.1:0", "platform": "http://127.0.0.1:1",
            "agent": { "endpoint":
                { "kind": "engine", "address": "127.0.0.1:1", "service": "llm" } },
            "direct": { "zones": { "z1": "r1" } }
        });
        let settings = match DaemonSettings::parse(&text.to_string()) {
            Ok(DaemonSettings::DirectAgent(settings)) => settings.node.clone(),
            other => panic!("expected settings of a direct agent, got {other:?}"),
        };
        let spans = SpanFactory::new("test", None).expect("no traces are exported");
        let store = Arc::new(HttpStore::new(settings.platform.clone()));
        let (control, timer) = (settings.control, Arc::new(SystemTimer::default()));
        let node = NodeContext::new(settings, NodeKind::Agent, control, timer, store, spans);
        Self { node, cache: Arc::new(ChunkCache::new(ByteSize::from_mib(1))) }
    }

    fn start(&self, origin: &Arc<TestOrigin>) -> SwarmHandle {
        let rate = ByteRate::from_bytes_per_second(10_000_000);
        let context = SwarmContext {
            node: self.node.clone(),
            chunk_cache: self.cache.clone(),
            downlink: Arc::new(LinkPacer::new(rate)),
            note_sender: Arc::new(NoPeers),
            origin: Some(origin.clone()),
            store: None,
        };
        let piece_time = Duration::from_millis(1);
        let mut settings = SwarmSettings::new(PIECES, piece_time, piece_time);
        settings.draw_mode = DrawMode::Assigned;
        settings.timings = SwarmTimings::short_burst();
        let own = PeerLocation { key: PeerKey(1), domain: 1, region: 1 };
        let manifest = manifest(origin.version);
        let text = (Bytes::new(), manifest);
        let swarm = swarm::start(context, "m".to_owned(), text, settings, own);
        let address = "127.0.0.1:1".parse().expect("valid address");
        swarm.try_send(DriverInput::Peers(vec![(own, address)]));
        swarm
    }
}

async fn wait_until(condition: impl Fn() -> bool) -> bool {
    let reached = async {
        while !condition() {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    tokio::time::timeout(TIMEOUT, reached).await.is_ok()
}

/// Guards against fetching again what had arrived before the version was skipped.
#[gtest]
#[tokio::test]
async fn a_version_that_is_skipped_and_resumed_keeps_its_pieces() {
    let machine = TestBox::new();
    let origin = TestOrigin::new(2, 10);
    let first = machine.start(&origin);
    expect_that!(wait_until(|| first.held() == 10 && first.origin_failures() >= 2).await, eq(true));
    expect_that!(first.known(), eq(10));
    expect_that!(first.origin_reads(), eq(10));
    first.try_send(DriverInput::Event(SwarmEvent::Superseded));
    let newer = TestOrigin::new(3, 100);
    let other = machine.start(&newer);
    expect_that!(wait_until(|| other.is_complete()).await, eq(true));
    *lock(&origin.left) = 100;
    tokio::time::sleep(Duration::from_millis(300)).await;
    expect_that!(first.held(), eq(10), "a skipped version is not fetched further");
    drop(first);
    let resumed = machine.start(&origin);
    expect_that!(resumed.held(), eq(10));
    expect_that!(wait_until(|| resumed.is_complete()).await, eq(true));
    expect_that!(lock(&origin.sent).len(), eq(PIECES as usize));
    expect_that!(lock(&origin.sent).values().max(), some(eq(&1)));
}

/// Guards against a corrupted piece that counts as held when its version is resumed.
#[gtest]
#[tokio::test]
async fn corrupted_pieces_of_a_resumed_version_are_fetched_again() {
    let machine = TestBox::new();
    let origin = TestOrigin::new(2, 12);
    lock(&origin.corrupt).extend([0, 3, 7, 20]);
    let first = machine.start(&origin);
    let all_stored =
        || *lock(&origin.left) == 0 && first.held() as usize == lock(&origin.sent).len();
    expect_that!(wait_until(all_stored).await, eq(true));
    drop(first);
    *lock(&origin.left) = 100;
    let resumed = machine.start(&origin);
    expect_that!(wait_until(|| resumed.is_complete()).await, eq(true));
    let sent: u32 = lock(&origin.sent).values().sum();
    expect_that!(sent, eq(PIECES));
    let held = (0..PIECES).filter(|number| {
        let digest = Digest::sha256(&piece(2, *number));
        machine.cache.get(&digest).is_some()
    });
    expect_that!(held.count(), eq(PIECES as usize));
}
