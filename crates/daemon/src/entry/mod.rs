//! The entry: accepts requests from callers and routes each to an endpoint that can serve it.

pub mod admission;
pub mod answer;
pub mod attempt;
pub mod callers;
pub mod directory;
pub mod dispatch;
pub mod openai;
pub mod status;

use std::{net::SocketAddr, sync::Arc, time::Duration};

use error_stack::{Report, ResultExt};
use headlatch_core::membership::NodeKind;
use headlatch_http::{HttpLimits, HttpServer, StopHandle};
use headlatch_types::settings::EntrySettings;
use headlatch_wire::node_server::NodeServer;
use tokio_stream::wrappers::TcpListenerStream;
use volo_http::server::Router;

use crate::{
    agent::bind_control,
    error::DaemonError,
    node::{
        NodeContext,
        admin::{self, ReadyFlag},
        gossip, service, sync,
    },
    platform::SharedStore,
    timer::SharedTimer,
    trace::SpanFactory,
};

use self::{callers::CallerApi, directory::EndpointDirectory, status::StatusWriter};

/// Time to wait before shutdown so that the upstream load balancer sees the failed readiness check.
const READINESS_DELAY: Duration = Duration::from_secs(3);

/// A running entry.
#[derive(Debug)]
pub struct RunningEntry {
    /// State shared by all components of the daemon.
    pub node: Arc<NodeContext>,
    /// Address that accepts caller requests.
    pub listen: SocketAddr,
    /// Address of the admin listener: health checks, metrics and status.
    pub admin: SocketAddr,
    ready: ReadyFlag,
    /// Stops the caller listener.
    stop_callers: StopHandle,
    callers: tokio::task::JoinHandle<()>,
    /// Stops all other tasks.
    stop: StopHandle,
    tasks: Vec<tokio::task::JoinHandle<()>>,
}

impl RunningEntry {
    /// Starts an entry.
    pub async fn start(
        settings: EntrySettings,
        timer: SharedTimer,
        store: SharedStore,
        spans: SpanFactory,
    ) -> Result<Self, Report<DaemonError>> {
        let (listener, socket) = bind_control(settings.node.control).await?;
        let control_failure = || DaemonError::Bind(settings.node.control);
        let control = listener.local_addr().change_context_lazy(control_failure)?;
        let callers_server = bind_http(settings.listen, caller_limits(&settings)).await?;
        let admin_server = bind_http(settings.node.admin, HttpLimits::admin()).await?;
        let failure = || DaemonError::Bind(settings.listen);
        let listen = callers_server.address().change_context_lazy(failure)?;
        let admin = admin_server.address().change_context_lazy(failure)?;

        let kind = NodeKind::Entry;
        let node = NodeContext::new(settings.node.clone(), kind, control, timer, store, spans);
        let directory = Arc::new(EndpointDirectory::new(node.clone()));
        let api = CallerApi::new(node.clone(), directory.clone(), settings.limits.clone());
        let ready = ReadyFlag::default();
        let (stop, signal) = StopHandle::new();
        let (stop_callers, caller_signal) = StopHandle::new();
        let callers_router = admin::add_routes(api.router(), &node, &ready);
        let callers = tokio::spawn(callers_server.serve(callers_router, caller_signal));
        let writer = StatusWriter::new(node.clone());
        let admin_router = admin::add_routes(Router::new(), &node, &ready);
        let admin_router = writer.add_routes(admin_router);
        let control_service = NodeServer::new(service::NodeService::new(node.clone(), None))
            .max_decoding_message_size(service::MAX_MESSAGE_BYTES);
        let mut control_signal = signal.clone();
        let served = service::server()
            .add_service(control_service)
            .serve_with_incoming_shutdown(TcpListenerStream::new(listener), async move {
                control_signal.stopped().await
            });
        let tasks = vec![
            tokio::spawn(gossip::run(node.clone(), socket, signal.clone())),
            tokio::spawn(sync::run(node.clone(), signal.clone())),
            tokio::spawn(admin_server.serve(admin_router, signal.clone())),
            tokio::spawn(writer.run(signal.clone())),
            tokio::spawn(directory.run(ready.clone(), signal.clone())),
            tokio::spawn(api.run(signal)),
            tokio::spawn(async move {
                if let Err(error) = served.await {
                    log::error!("entry: control listener failed: {error}");
                }
            }),
        ];
        log::info!("entry: {} is accepting requests at {listen}", node.settings.box_id);
        Ok(Self { node, listen, admin, ready, stop_callers, callers, stop, tasks })
    }

    /// Shuts down gracefully: announces the departure, drains requests in progress and stops.
    pub async fn leave(self) {
        log::info!("entry: leaving");
        self.ready.set(false);
        self.node.update_record(true, |record| record.leaving = true);
        tokio::time::sleep(READINESS_DELAY).await;
        self.stop_callers.stop();
        // The server task ends when its requests have finished or the drain timeout expires.
        let _ = self.callers.await;
        self.stop.stop();
        for task in self.tasks {
            // These tasks hold no caller requests, so a short timeout is enough.
            let _ = tokio::time::timeout(Duration::from_secs(1), task).await;
        }
    }

    /// Stops immediately without draining, as in a crash of the box.
    pub fn kill(self) {
        self.stop_callers.stop();
        self.stop.stop();
        self.callers.abort();
        self.tasks.iter().for_each(|task| task.abort());
    }
}

async fn bind_http(
    address: SocketAddr,
    limits: HttpLimits,
) -> Result<HttpServer, Report<DaemonError>> {
    HttpServer::bind(address, limits).await.change_context_lazy(|| DaemonError::Bind(address))
}

fn caller_limits(settings: &EntrySettings) -> HttpLimits {
    HttpLimits {
        head: settings.limits.head,
        head_time: Duration::from_secs(settings.limits.head_seconds),
        connections: settings.limits.connections as usize,
        drain: settings.node.drain,
        ..HttpLimits::default()
    }
}
