//! What entries and agents have in common: identity, membership, configuration, control listener.

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

/// What the parts of one daemon share.
#[derive(Debug)]
pub struct NodeContext {
    /// Settings that entries and agents share.
    pub settings: NodeSettings,
    /// Time.
    pub timer: SharedTimer,
    /// The platform.
    pub store: SharedStore,
    /// Metrics.
    pub metrics: NodeMetrics,
    /// Traces.
    pub spans: SpanFactory,
    /// Connections to other nodes.
    pub channels: ChannelCache,
    table: Mutex<NodeTable>,
    holder: Mutex<ConfigHolder>,
    config: watch::Sender<Arc<FleetConfig>>,
    /// Wakes the gossip loop when there is news of its own.
    pub(crate) urgent_gossip: Notify,
}

impl NodeContext {
    /// The context of a node that other nodes reach at `control`.
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

    /// The time.
    pub fn now(&self) -> Moment {
        self.timer.now()
    }

    /// The membership table.
    pub fn table(&self) -> MutexGuard<'_, NodeTable> {
        self.table.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// The configuration in force here.
    pub fn config(&self) -> Arc<FleetConfig> {
        self.config.borrow().clone()
    }

    /// Tells of every change of the configuration in force.
    pub fn watch_config(&self) -> watch::Receiver<Arc<FleetConfig>> {
        self.config.subscribe()
    }

    /// Changes this node's own record and lets others know soon if `urgent`.
    pub fn update_record(&self, urgent: bool, change: impl FnOnce(&mut NodeRecord)) {
        self.table().update(change);
        if urgent {
            self.urgent_gossip.notify_one();
        }
    }

    /// Takes over a configuration if it is newer than the one in force.
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
                log::error!("config: revision {revision} cannot be read and is left out, {error}");
            }
        }
    }
}
