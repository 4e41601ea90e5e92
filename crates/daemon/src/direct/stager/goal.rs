//! Chooses the version that one server loads next.

use std::time::Duration;

use headlatch_core::{
    direct::{
        staging::{VersionChoice, next_version},
        transfer_rate::TransferView,
        weight_deadline::{WantedVersion, dispatch_time},
    },
    time::Moment,
};
use headlatch_outside::engine::{OrderAnswer, StageReport};
use headlatch_types::{
    id::ModelName,
    quantity::{ByteRate, ByteSize},
    traffic::WeightVersion,
};

use super::Stager;

/// Assumed size of a copy before the first manifest has been read.
const DEFAULT_COPY_SIZE: ByteSize = ByteSize::from_mib(2);

/// Assumed number of pieces in a copy before the first manifest has been read.
const DEFAULT_PIECE_COUNT: u32 = 96;

/// Target version if neither a peer, the store nor the server names one.
const DEFAULT_VERSION: WeightVersion = WeightVersion(1);

/// Target state of the server.
#[derive(Debug, Clone)]
pub(super) struct Goal {
    pub(super) model: ModelName,
    pub(super) version: WeightVersion,
    /// Time since the version became the target.
    pub(super) elapsed: Duration,
    pub(super) loaded: Option<WeightVersion>,
}

impl Stager {
    /// Returns the target state, or `None` while neither the server nor the plan names a model.
    pub(super) fn goal(&self, report: &StageReport) -> Option<Goal> {
        let held = report.models.first();
        let model =
            held.map(|held| held.model.clone()).or_else(|| self.plan.model(self.service()))?;
        let layers = self.layers();
        let loaded = held.and_then(|held| held.whole_version(layers));
        // The server may report a newer version than any known target.
        let named = held.map_or(DEFAULT_VERSION, |held| held.version);
        let running = self.state.node.now().since(Moment::ZERO);
        let fallback = WantedVersion { version: named, elapsed: running };
        let WantedVersion { version, elapsed } =
            self.next_version(&model, loaded).unwrap_or(fallback);
        Some(Goal { model, version, elapsed, loaded })
    }

    /// Returns the version to load next, or `None` if no target version is known.
    fn next_version(
        &self,
        model: &ModelName,
        loaded: Option<WeightVersion>,
    ) -> Option<WantedVersion> {
        let now = self.state.node.now();
        let wanted = self.state.wanted(model);
        let accepted = self.order.filter(|order| order.answer == Some(OrderAnswer::Begun));
        let reached = loaded.max(accepted.map(|order| order.version));
        let time = self.state.settings.direct.weights_time;
        let missing = wanted.iter().filter(|target| reached.is_none_or(|at| target.version > at));
        let choices: Vec<VersionChoice> = missing
            .map(|target| VersionChoice {
                version: target.version,
                due: now + dispatch_time(time) - target.elapsed,
                transfer: self.transfer_time(target.version),
            })
            .collect();
        let next = next_version(now, &choices);
        let next = next.or_else(|| wanted.last().map(|target| target.version))?;
        wanted.into_iter().find(|target| target.version == next)
    }

    /// Estimates the time until all missing pieces of a version have arrived, from the recent
    /// transfer rate.
    fn transfer_time(&self, version: WeightVersion) -> Duration {
        let transfers = self.transfer.iter().chain(&self.next_transfer);
        let transfer = transfers.clone().find(|transfer| transfer.pieces.version == version);
        let latest = transfers.last();
        let copy = latest.map_or(DEFAULT_COPY_SIZE, |transfer| transfer.manifest.total());
        let pieces = latest
            .map_or(DEFAULT_PIECE_COUNT, |transfer| transfer.pieces.digests.len().max(1) as u32);
        let origin = self.plan.origin().map(|origin| origin.bytes_per_second.max(1));
        let origin = origin.map(|rate| ByteRate::from_bytes_per_second(rate).time_for(copy));
        let link = self.state.settings.link.rate.time_for(copy);
        self.rate.time_left(&TransferView {
            version,
            held: transfer.map_or(0, |transfer| transfer.swarm.held() as u32),
            pieces,
            piece_time: link.max(origin.unwrap_or_default()) / pieces,
        })
    }

    /// Updates the transfer rate from the progress of the current transfer.
    pub(super) fn record_progress(&mut self) {
        let Some(transfer) = &self.transfer else { return };
        let now = self.state.node.now();
        self.rate.record(now, transfer.pieces.version, transfer.swarm.held() as u32);
    }
}
