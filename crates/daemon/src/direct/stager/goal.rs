//! Chooses the version that one server loads next.

use std::time::Duration;

use headlatch_core::{
    direct::weight_deadline::{WantedVersion, dispatch_time},
    time::Moment,
};
use headlatch_outside::engine::{OrderAnswer, StageReport};
use headlatch_types::{id::ModelName, traffic::WeightVersion};

use super::{Stager, estimates::VersionCandidate};

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
    pub(super) fn goal(&mut self, report: &StageReport) -> Option<Goal> {
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
        &mut self,
        model: &ModelName,
        loaded: Option<WeightVersion>,
    ) -> Option<WantedVersion> {
        let now = self.state.node.now();
        let wanted = self.state.wanted(model);
        let accepted = self.order.filter(|order| order.answer == Some(OrderAnswer::Begun));
        let reached = loaded.max(accepted.map(|order| order.version));
        let time = self.state.settings.direct.weights_time;
        let missing = wanted.iter().filter(|target| reached.is_none_or(|at| target.version > at));
        let candidates: Vec<VersionCandidate> = missing
            .map(|target| {
                let due = now + dispatch_time(time) - target.elapsed;
                self.candidate(target.version, due)
            })
            .collect();
        let chosen = self.selection.choose(now, &candidates);
        let next = chosen.or_else(|| wanted.last().map(|target| target.version))?;
        wanted.into_iter().find(|target| target.version == next)
    }
}
