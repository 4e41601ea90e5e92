//! State and services shared by entries and agents: identity, membership, configuration and the
//! control listener.

pub mod admin;
pub mod channels;
pub mod codec;
pub mod gossip;
pub mod service;
pub mod sync;

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
};

use headlatch_core::{
    config::{ConfigHolder, FleetConfig, OfferOutcome},
    membership::{NodeKind, NodeRecord, NodeTable},
    time::Moment,
};
use headlatch_types::{quantity::ConfigRevision, settings::NodeSettings};
use tokio::sync::{Notify, watch};

use crate::{
    metrics::NodeMetrics,
    platform::SharedStore,
    timer::{SharedTimer, unix_time},
    trace::SpanFactory,
};

use self::channels::ChannelCache;

/// State shared by the components of one daemon.
#[derive(Debug)]
pub struct NodeContext {
    /// Settings common to entries and agents.
    pub settings: NodeSettings,
    /// Timer service.
    pub timer: SharedTimer,
    /// Client of the platform's object store.
    pub store: SharedStore,
    /// Metrics of this node.
    pub metrics: NodeMetrics,
    /// Span factory for traces.
    pub spans: SpanFactory,
    /// Connections to other nodes.
    pub channels: ChannelCache,
    table: Mutex<NodeTable>,
    holder: Mutex<ConfigHolder>,
    config: watch::Sender<Arc<FleetConfig>>,
    /// Wakes the gossip loop to send an urgent update immediately.
    pub(crate) urgent_gossip: Notify,
}

impl NodeContext {
    /// Creates the context of a node whose control address is `control`.
    pub fn new(
        settings: NodeSettings,
        kind: NodeKind,
        control: SocketAddr,
        timer: SharedTimer,
        store: SharedStore,
        spans: SpanFactory,
    ) -> Arc<Self> {
        let started = unix_time().as_micros() as u64;
        let own = NodeRecord {
            id: settings.box_id.clone(),
            domain: settings.domain.clone(),
            region: settings.region.clone(),
            kind,
            control,
            incarnation: started,
            version: started / 1000,
            beat: 0,
            revision: ConfigRevision::default(),
            leaving: false,
            endpoint: None,
        };
        Arc::new(Self {
            settings,
            timer,
            store,
            metrics: NodeMetrics::default(),
            spans,
            channels: ChannelCache::default(),
            table: Mutex::new(NodeTable::new(own)),
            holder: Mutex::default(),
            config: watch::channel(Arc::default()).0,
            urgent_gossip: Notify::new(),
        })
    }

    /// The current time of the timer service.
    pub fn now(&self) -> Moment {
        self.timer.now()
    }

    /// Locks the membership table.
    pub fn table(&self) -> MutexGuard<'_, NodeTable> {
        self.table.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// The active configuration of this node.
    pub fn config(&self) -> Arc<FleetConfig> {
        self.config.borrow().clone()
    }

    /// Subscribes to changes of the active configuration.
    pub fn watch_config(&self) -> watch::Receiver<Arc<FleetConfig>> {
        self.config.subscribe()
    }

    /// Updates this node's own record; gossips it immediately if `urgent`.
    pub fn update_record(&self, urgent: bool, change: impl FnOnce(&mut NodeRecord)) {
        self.table().update(change);
        if urgent {
            self.urgent_gossip.notify_one();
        }
    }

    /// Activates a configuration if it is newer than the active one.
    pub fn offer_config(&self, revision: ConfigRevision, text: &str) {
        let mut holder = self.holder.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        match holder.offer(revision, text) {
            OfferOutcome::Taken => {
                self.config.send_replace(holder.current());
                drop(holder);
                log::info!("config: revision {revision} is in force");
                self.metrics.set_revision(revision.number());
                self.update_record(true, |record| record.revision = revision);
            }
            OfferOutcome::Stale => {}
            OfferOutcome::Unreadable(error) => {
                log::error!("config: revision {revision} is invalid and was ignored: {error}");
            }
        }
    }
}
