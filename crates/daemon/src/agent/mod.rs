//! The agent: a sidecar process that runs next to each endpoint.

pub mod admission;
pub mod chunk_cache;
mod chunk_fetch;
pub mod engine;
pub mod fetch;
pub mod loader;
pub mod notes;
pub mod registry;
pub mod serve;
pub mod swarm;
mod swarm_progress;
pub mod watch;
pub mod weights;

use std::{net::SocketAddr, sync::Arc, time::Duration};

use error_stack::{Report, ResultExt};
use headlatch_core::membership::{EndpointState, NodeKind};
use headlatch_http::{HttpLimits, HttpServer, StopHandle, StopSignal, pace::LinkPacer};
use headlatch_types::settings::{AgentSettings, LinkDuplex};
use headlatch_wire::{endpoint_server::EndpointServer, node_server::NodeServer};
use tokio::net::{TcpListener, UdpSocket};
use tokio_stream::wrappers::TcpListenerStream;
use volo_http::server::Router;

use crate::{
    error::DaemonError,
    node::{
        NodeContext,
        admin::{self, ReadyFlag},
        gossip,
        service::{MAX_MESSAGE_BYTES, NodeService, SwarmHost},
        sync,
    },
    platform::SharedStore,
    timer::SharedTimer,
    trace::SpanFactory,
};

use self::{
    admission::EndpointAdmission,
    chunk_cache::ChunkCache,
    engine::HttpEngine,
    fetch::HttpFetcher,
    loader::{LoaderState, WeightLoader},
    registry::SwarmRegistry,
    serve::EndpointService,
};

/// Time for which a leaving agent keeps listening, because entries that have not yet learned of the
/// leave may still have requests in flight.
const LEAVE_GRACE_PERIOD: Duration = Duration::from_secs(3);

/// Interval at which a draining agent checks whether requests are still in progress.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Binds one port for TCP and UDP.
pub async fn bind_control(
    address: SocketAddr,
) -> Result<(TcpListener, UdpSocket), Report<DaemonError>> {
    let failure = || DaemonError::Bind(address);
    let listener = TcpListener::bind(address).await.change_context_lazy(failure)?;
    let bound = listener.local_addr().change_context_lazy(failure)?;
    let socket = UdpSocket::bind(bound).await.change_context_lazy(failure)?;
    Ok((listener, socket))
}

/// A running agent.
#[derive(Debug)]
pub struct RunningAgent {
    /// State shared by the agent's components.
    pub node: Arc<NodeContext>,
    /// Admission control of the agent's endpoint.
    pub admission: Arc<EndpointAdmission>,
    /// Address of the admin listener, which answers health checks.
    pub admin: SocketAddr,
    stop: StopHandle,
    tasks: Vec<tokio::task::JoinHandle<()>>,
}

impl RunningAgent {
    /// Starts an agent.
    pub async fn start(
        settings: AgentSettings,
        timer: SharedTimer,
        store: SharedStore,
        spans: SpanFactory,
    ) -> Result<Self, Report<DaemonError>> {
        let (listener, socket) = bind_control(settings.node.control).await?;
        let bind_failure = || DaemonError::Bind(settings.node.admin);
        let control = listener.local_addr().change_context_lazy(bind_failure)?;
        let admin_server = HttpServer::bind(settings.node.admin, HttpLimits::admin())
            .await
            .change_context_lazy(bind_failure)?;
        let admin = admin_server.address().change_context_lazy(bind_failure)?;
        let kind = NodeKind::Agent;
        let node = NodeContext::new(settings.node.clone(), kind, control, timer, store, spans);
        let parts = AgentParts::new(settings, node, admin);
        let (stop, signal) = StopHandle::new();
        let tasks = parts.spawn(listener, socket, admin_server, &signal);
        log::info!("agent: {} listens on {control}", parts.node.settings.box_id);
        Ok(Self { node: parts.node, admission: parts.admission, admin, stop, tasks })
    }

    /// Leaves the fleet: refuses new requests, waits for requests in progress, and stops.
    pub async fn leave(self) {
        log::info!("agent: leaving");
        self.node.update_record(true, |record| record.leaving = true);
        // Entries learn of the leave with a delay; requests they send until then are refused with
        // the verdict "not run".
        self.admission.lock().leaving = true;
        tokio::time::sleep(LEAVE_GRACE_PERIOD).await;
        let drained = async {
            while self.admission.lock().in_progress > 0 {
                tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
            }
        };
        if tokio::time::timeout(self.node.settings.drain, drained).await.is_err() {
            log::error!("agent: requests were still in progress when the drain timed out");
        }
        self.stop.stop();
        for task in self.tasks {
            // Open connections may keep a task alive; the drain above already waited for requests.
            let _ = tokio::time::timeout(Duration::from_secs(1), task).await;
        }
    }

    /// Stops at once without draining, as in a crash of the box.
    pub fn kill(self) {
        self.stop.stop();
        self.tasks.iter().for_each(|task| task.abort());
    }
}

/// The components of an agent before they are spawned.
struct AgentParts {
    settings: AgentSettings,
    node: Arc<NodeContext>,
    admission: Arc<EndpointAdmission>,
    registry: Arc<SwarmRegistry>,
    chunk_cache: Arc<ChunkCache>,
    downlink: Arc<LinkPacer>,
    admin: SocketAddr,
}

impl AgentParts {
    fn new(settings: AgentSettings, node: Arc<NodeContext>, admin: SocketAddr) -> Self {
        let endpoint = settings.endpoint.clone();
        node.update_record(false, |record| {
            record.endpoint = Some(EndpointState {
                service: endpoint.service.clone(),
                slots: endpoint.slots,
                ..EndpointState::default()
            });
        });
        let admission =
            Arc::new(EndpointAdmission::new(endpoint, settings.node.box_id.to_string()));
        let chunk_cache = Arc::new(ChunkCache::new(settings.chunk_memory));
        let downlink = Arc::new(LinkPacer::new(settings.link.usable()));
        let uplink = match settings.link.duplex {
            LinkDuplex::Full => Arc::new(LinkPacer::new(settings.link.usable())),
            LinkDuplex::Shared => downlink.clone(),
        };
        let registry =
            Arc::new(SwarmRegistry::new(chunk_cache.clone(), uplink, node.metrics.clone()));
        Self { settings, node, admission, registry, chunk_cache, downlink, admin }
    }

    fn spawn(
        &self,
        listener: TcpListener,
        socket: UdpSocket,
        admin_server: HttpServer,
        signal: &StopSignal,
    ) -> Vec<tokio::task::JoinHandle<()>> {
        let ready = ReadyFlag::default();
        let router = admin::add_routes(Router::new(), &self.node, &ready);
        let router = weights::add_routes(router, &self.registry, &self.chunk_cache);
        let mut tasks = vec![
            tokio::spawn(gossip::run(self.node.clone(), socket, signal.clone())),
            tokio::spawn(sync::run(self.node.clone(), signal.clone())),
            tokio::spawn(admin_server.serve(router, signal.clone())),
            tokio::spawn(self.serve_control(listener, signal.clone())),
        ];
        let watcher = watch::EndpointWatcher::new(self.node.clone(), self.admission.clone(), ready);
        tasks.push(tokio::spawn(watcher.run(signal.clone())));
        if self.settings.endpoint.service.is_none() {
            tasks.push(tokio::spawn(self.loader().run(signal.clone())));
        }
        tasks
    }

    fn serve_control(
        &self,
        listener: TcpListener,
        mut signal: StopSignal,
    ) -> impl Future<Output = ()> + use<> {
        let host: Arc<dyn SwarmHost> = self.registry.clone();
        let node_service = NodeService::new(self.node.clone(), Some(host));
        let node_service =
            NodeServer::new(node_service).max_decoding_message_size(MAX_MESSAGE_BYTES);
        let endpoint = EndpointService::new(self.node.clone(), self.admission.clone());
        let endpoint = EndpointServer::new(endpoint).max_decoding_message_size(MAX_MESSAGE_BYTES);
        let incoming = TcpListenerStream::new(listener);
        let served = crate::node::service::server()
            .add_service(node_service)
            .add_service(endpoint)
            .serve_with_incoming_shutdown(incoming, async move { signal.stopped().await });
        async move {
            if let Err(error) = served.await {
                log::error!("agent: the control listener failed, {error}");
            }
        }
    }

    fn loader(&self) -> WeightLoader {
        WeightLoader {
            settings: self.settings.clone(),
            node: self.node.clone(),
            admission: self.admission.clone(),
            registry: self.registry.clone(),
            chunk_cache: self.chunk_cache.clone(),
            engine: Arc::new(HttpEngine::new(self.settings.endpoint.address)),
            fetcher: HttpFetcher::new(self.downlink.clone()),
            weights_url: format!("http://{}", self.admin),
            state: LoaderState::default(),
        }
    }
}
