//! The stand-ins, entries and agents of the demo, on loopback.

use std::{
    net::{Ipv4Addr, SocketAddr},
    sync::Arc,
    time::Duration,
};

use error_stack::{Report, ResultExt};
use headlatch_daemon::{
    agent::RunningAgent,
    entry::RunningEntry,
    platform::{HttpStore, SharedStore},
    timer::{SharedTimer, SystemTimer},
    trace::SpanFactory,
};
use headlatch_standins::{
    RunningStandIn,
    engine::{Engine, EngineTempo},
    plain::NoticeBoard,
    platform::{Member, Platform},
    weights::{OverLimit, WeightServer},
};
use headlatch_types::{
    quantity::{ByteRate, ByteSize},
    settings::{
        AgentSettings, CallerLimits, EndpointSettings, EntrySettings, LinkDuplex, LinkSettings,
        LogSettings, NodeSettings, ServiceUrl,
    },
};

use super::model::DemoModel;
use crate::{cli::DemoArgs, error::ClientError};

/// Failure domains, each in a region of its own.
pub const DOMAINS: [&str; 3] = ["north", "east", "south"];

/// Copies that the origin's link carries in the window.
pub const ORIGIN_COPIES: f64 = 4.0;

/// Copies that a box's link carries in the window, each way.
pub const BOX_COPIES: f64 = 2.0;

/// Copies that the store's link carries in the window.
const STORE_COPIES: f64 = 1.0;

/// Requests that the store answers at the same time.
const STORE_REQUESTS: u64 = 2;

/// The demo's processes.
pub struct DemoCluster {
    /// The platform, as nodes see it.
    pub store: SharedStore,
    /// Entries, one per domain.
    pub entries: Vec<RunningEntry>,
    /// Agents: one per engine, and the last beside the plain service.
    pub agents: Vec<RunningAgent>,
    /// The notice board.
    pub board: Arc<NoticeBoard>,
    platform_address: SocketAddr,
    origin: Arc<WeightServer>,
    weight_store: Arc<WeightServer>,
    _standins: Vec<RunningStandIn>,
}

/// Bytes that have left the origin and the store.
#[derive(Debug, Clone, Copy)]
pub struct DrawnBytes {
    /// From the origin.
    pub origin: u64,
    /// From the store.
    pub store: u64,
}

/// What every node of the demo is started with.
struct NodeKit {
    timer: SharedTimer,
    store: SharedStore,
    spans: SpanFactory,
    platform: SocketAddr,
}

impl NodeKit {
    fn node(&self, name: String, domain: &str) -> NodeSettings {
        NodeSettings {
            box_id: name.parse().expect("the demo's names are good"),
            domain: domain.parse().expect("the demo's names are good"),
            region: format!("region-{domain}").parse().expect("the demo's names are good"),
            control: any_port(),
            admin: any_port(),
            platform: ServiceUrl::at(self.platform),
            log: LogSettings::default(),
            traces: None,
            drain: Duration::from_secs(30),
        }
    }
}

fn any_port() -> SocketAddr {
    (Ipv4Addr::LOCALHOST, 0).into()
}

/// Rate of a link that carries `copies` copies of `size` in the window.
fn rate(size: ByteSize, copies: f64, window_seconds: u64) -> ByteRate {
    let rate = size.bytes() as f64 * copies / window_seconds as f64;
    ByteRate::from_bytes_per_second(rate as u64)
}

impl DemoCluster {
    /// Starts everything.
    pub async fn start(args: &DemoArgs, model: &DemoModel) -> Result<Self, Report<ClientError>> {
        let failure = || ClientError::Local("a stand-in could not be started".to_owned());
        let link = |copies| rate(model.size(), copies, args.window_seconds);
        let platform = Platform::new();
        let origin = WeightServer::new(link(ORIGIN_COPIES), OverLimit::Share);
        let weight_store = WeightServer::new(link(STORE_COPIES), OverLimit::Refuse(STORE_REQUESTS));
        model.offer(&origin);
        model.offer(&weight_store);
        let board = NoticeBoard::new();
        let mut standins = Vec::new();
        let routers = [platform.router(), origin.router(), weight_store.router(), board.router()];
        for router in routers {
            let started = RunningStandIn::start(any_port(), router).await;
            standins.push(started.change_context_lazy(failure)?);
        }
        let platform_address = standins[0].address();
        let store: SharedStore = Arc::new(HttpStore::new(ServiceUrl::at(platform_address)));
        let spans = SpanFactory::new("headlatch-demo", None)
            .change_context_lazy(|| ClientError::Local("traces cannot be set up".to_owned()))?;
        let kit = NodeKit {
            timer: Arc::new(SystemTimer::default()),
            store: store.clone(),
            spans,
            platform: platform_address,
        };
        let mut cluster = Self {
            store,
            entries: Vec::new(),
            agents: Vec::new(),
            board,
            platform_address,
            origin,
            weight_store,
            _standins: standins,
        };
        cluster.start_entries(args, &kit, &platform).await?;
        cluster.start_engines(args, model, &kit, &platform).await?;
        cluster.start_board(&kit, &platform).await?;
        Ok(cluster)
    }

    async fn start_entries(
        &mut self,
        args: &DemoArgs,
        kit: &NodeKit,
        platform: &Platform,
    ) -> Result<(), Report<ClientError>> {
        for (nth, domain) in DOMAINS.iter().enumerate() {
            let settings = EntrySettings {
                node: kit.node(format!("entry-{nth}"), domain),
                listen: if nth == 0 { args.listen } else { any_port() },
                limits: CallerLimits::default(),
            };
            let (timer, store) = (kit.timer.clone(), kit.store.clone());
            let entry = RunningEntry::start(settings, timer, store, kit.spans.clone()).await;
            let entry = entry
                .change_context(ClientError::Local("an entry could not be started".to_owned()))?;
            enlist(platform, &entry.node, "entry");
            self.entries.push(entry);
        }
        Ok(())
    }

    async fn start_engines(
        &mut self,
        args: &DemoArgs,
        model: &DemoModel,
        kit: &NodeKit,
        platform: &Platform,
    ) -> Result<(), Report<ClientError>> {
        for nth in 0..args.boxes {
            let engine = Engine::new(EngineTempo::default());
            let failure = || ClientError::Local("an engine could not be started".to_owned());
            let running = RunningStandIn::start(any_port(), engine.router()).await;
            let running = running.change_context_lazy(failure)?;
            let endpoint =
                EndpointSettings { address: running.address(), slots: 16, service: None };
            self._standins.push(running);
            let domain = DOMAINS[nth as usize % DOMAINS.len()];
            let node = kit.node(format!("box-{nth}"), domain);
            let mut settings = self.agent_settings(node, endpoint);
            settings.link.rate = rate(model.size(), BOX_COPIES, args.window_seconds);
            settings.origin_rate = rate(model.size(), ORIGIN_COPIES, args.window_seconds);
            self.start_agent(settings, kit, platform).await?;
        }
        Ok(())
    }

    async fn start_board(
        &mut self,
        kit: &NodeKit,
        platform: &Platform,
    ) -> Result<(), Report<ClientError>> {
        let address = self._standins[3].address();
        let service = Some("board".parse().expect("the demo's names are good"));
        let endpoint = EndpointSettings { address, slots: 16, service };
        let node = kit.node("board-0".to_owned(), DOMAINS[0]);
        let settings = self.agent_settings(node, endpoint);
        self.start_agent(settings, kit, platform).await
    }

    fn agent_settings(&self, node: NodeSettings, endpoint: EndpointSettings) -> AgentSettings {
        AgentSettings {
            node,
            endpoint,
            origin: Some(ServiceUrl::at(self._standins[1].address())),
            store: Some(ServiceUrl::at(self._standins[2].address())),
            link: LinkSettings { duplex: LinkDuplex::Full, ..LinkSettings::default() },
            origin_rate: ByteRate::from_bytes_per_second(1),
            chunk_memory: ByteSize::from_mib(16 << 10),
        }
    }

    async fn start_agent(
        &mut self,
        settings: AgentSettings,
        kit: &NodeKit,
        platform: &Platform,
    ) -> Result<(), Report<ClientError>> {
        let (timer, store) = (kit.timer.clone(), kit.store.clone());
        let agent = RunningAgent::start(settings, timer, store, kit.spans.clone()).await;
        let agent =
            agent.change_context(ClientError::Local("an agent could not be started".to_owned()))?;
        enlist(platform, &agent.node, "agent");
        self.agents.push(agent);
        Ok(())
    }

    /// Failure domains.
    pub fn domains(&self) -> usize {
        DOMAINS.len()
    }

    /// Base URL of the platform.
    pub fn platform_url(&self) -> String {
        format!("http://{}", self.platform_address)
    }

    /// Bytes drawn so far.
    pub fn drawn(&self) -> DrawnBytes {
        DrawnBytes { origin: self.origin.sent_bytes(), store: self.weight_store.sent_bytes() }
    }

    /// Stops everything.
    pub async fn stop(self) {
        self.entries.into_iter().for_each(RunningEntry::kill);
        self.agents.into_iter().for_each(RunningAgent::kill);
    }
}

fn enlist(platform: &Platform, node: &headlatch_daemon::node::NodeContext, kind: &str) {
    let record = node.table().own().clone();
    platform.put_member(Member {
        box_id: record.id.to_string(),
        domain: record.domain.to_string(),
        region: record.region.to_string(),
        kind: kind.to_owned(),
        control: record.control.to_string(),
        leaving: false,
    });
}
