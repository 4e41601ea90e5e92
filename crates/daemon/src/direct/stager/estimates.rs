//! Estimates the transfers of the wanted versions, and logs the choice between them.

use std::time::Duration;

use headlatch_core::{
    direct::{
        origin_outage::{OriginSigns, OriginState, OriginWatch},
        transfer_rate::{TransferEstimate, TransferRate, TransferView},
        version_choice::{VersionChoice, VersionChooser, completion_cost},
    },
    time::Moment,
};
use headlatch_types::{
    quantity::{ByteRate, ByteSize},
    traffic::WeightVersion,
};
use serde_json::{Value, json};

use super::{
    super::{transfer::VersionTransfer, transfer_peers},
    Stager,
};
use crate::decisions;

/// Assumed size of a copy before the first manifest has been read.
const DEFAULT_COPY_SIZE: ByteSize = ByteSize::from_mib(2);

/// Assumed number of pieces in a copy before the first manifest has been read.
const DEFAULT_PIECE_COUNT: u32 = 96;

/// Minimum time between two log records of the choice.
const CHOICE_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// State of the choice between wanted versions.
#[derive(Debug, Default)]
pub(super) struct VersionSelection {
    rate: TransferRate,
    origin: OriginWatch,
    /// When the present outage of the origin was recognised.
    down_since: Option<Moment>,
    chooser: VersionChooser,
    /// The choice logged last.
    logged: Option<WeightVersion>,
    next_log: Moment,
}

/// A wanted version with the inputs to the choice.
#[derive(Debug, Clone, Copy)]
pub(super) struct VersionCandidate {
    view: TransferView,
    estimate: TransferEstimate,
    due: Moment,
}

impl VersionCandidate {
    /// The candidate as the decision takes it.
    pub(super) fn choice(&self) -> VersionChoice {
        VersionChoice { version: self.view.version, due: self.due, transfer: self.estimate.total }
    }

    fn fields(&self, now: Moment, wanted: &[VersionChoice]) -> Value {
        let due_in = match self.due > now {
            true => self.due.since(now).as_millis() as i64,
            false => -(now.since(self.due).as_millis() as i64),
        };
        let view = &self.view;
        let mut fields = estimate_fields(&self.estimate);
        fields["version"] = json!(view.version);
        fields["held"] = json!(view.held);
        fields["known"] = json!(view.known);
        fields["pieces"] = json!(view.pieces);
        fields["due_in_ms"] = json!(due_in);
        let cost = completion_cost(now, wanted, view.version).unwrap_or_default();
        fields["cost_ms"] = json!(cost.as_millis() as u64);
        fields
    }
}

fn estimate_fields(estimate: &TransferEstimate) -> Value {
    let millis = |time: Duration| time.as_millis() as u64;
    json!({
        "estimate_ms": millis(estimate.total), "origin_ms": millis(estimate.origin),
        "link_ms": millis(estimate.link), "spread_ms": millis(estimate.spread),
        "basis": format!("{:?}", estimate.basis),
    })
}

impl VersionSelection {
    /// What is known of the origin.
    pub(super) fn origin_state(&self) -> OriginState {
        self.origin.state()
    }

    /// Chooses the version to complete first; `None` if there are no candidates.
    pub(super) fn choose(
        &mut self,
        now: Moment,
        candidates: &[VersionCandidate],
    ) -> Option<WeightVersion> {
        let wanted: Vec<VersionChoice> = candidates.iter().map(VersionCandidate::choice).collect();
        let chosen = self.chooser.choose(now, &wanted);
        self.log_choice(now, chosen, (candidates, &wanted));
        chosen
    }

    /// Logs the choice if it differs from the one logged last. A choice that changes again within
    /// [`CHOICE_LOG_INTERVAL`] is logged after it if it still stands.
    fn log_choice(
        &mut self,
        now: Moment,
        chosen: Option<WeightVersion>,
        (candidates, wanted): (&[VersionCandidate], &[VersionChoice]),
    ) {
        if chosen == self.logged || now < self.next_log {
            return;
        }
        let before = std::mem::replace(&mut self.logged, chosen);
        let Some(version) = chosen else { return };
        self.next_log = now + CHOICE_LOG_INTERVAL;
        let candidates: Vec<Value> = candidates.iter().map(|one| one.fields(now, wanted)).collect();
        let fields = json!({
            "version": version, "before": before, "candidates": candidates,
            "origin": format!("{:?}", self.origin.state()),
        });
        decisions::info("weights", "version_chosen", fields);
    }

    /// Updates what is known of the origin. The rate measured before an outage begins or ends does
    /// not apply after it.
    fn watch_origin(&mut self, now: Moment, signs: Option<OriginSigns>) {
        let Some(state) = self.origin.record(now, signs) else { return };
        self.rate.restart();
        let since = self.down_since.take();
        let lasted = since.map(|since| now.since(since).as_millis() as u64);
        if state == OriginState::Down {
            self.down_since = Some(now);
        }
        match (state, signs) {
            (OriginState::Down, Some(signs)) => {
                let fields = json!({
                    "version": signs.version, "known": signs.known, "pieces": signs.pieces,
                    "failures": signs.failures,
                });
                decisions::warn("weights", "origin_down", fields);
            }
            (OriginState::Reachable, Some(signs)) => {
                let fields = json!({ "version": signs.version, "lasted_ms": lasted });
                decisions::info("weights", "origin_back", fields);
            }
            (_, None) => {
                decisions::info("weights", "origin_not_needed", json!({ "lasted_ms": lasted }));
            }
        }
    }
}

impl Stager {
    /// Updates the measured rate, and compares transfers that have completed with their estimates.
    pub(super) fn record_progress(&mut self) {
        let now = self.state.node.now();
        let signs = self.origin_signs();
        self.selection.watch_origin(now, signs);
        if let Some(transfer) = &self.transfer {
            let held = transfer.swarm.held() as u32;
            self.selection.rate.record(now, transfer.pieces.version, held);
        }
        for transfer in self.transfer.iter_mut().chain(&mut self.next_transfer) {
            log_completion(now, transfer);
        }
    }

    /// A wanted version with its estimate; older weights stop receiving requests at `due`.
    pub(super) fn candidate(&self, version: WeightVersion, due: Moment) -> VersionCandidate {
        let view = self.transfer_view(version);
        let estimate = self.estimate(&view);
        VersionCandidate { view, estimate, due }
    }

    /// The estimate for a transfer that starts now; `None` if all its pieces are held.
    pub(super) fn initial_estimate(&self, transfer: &VersionTransfer) -> Option<TransferEstimate> {
        let view = self.view_of(transfer.pieces.version, Some(transfer));
        let is_complete = view.held >= view.pieces;
        let estimate = || self.estimate(&view);
        (!is_complete).then(estimate)
    }

    fn estimate(&self, view: &TransferView) -> TransferEstimate {
        self.selection.rate.estimate(view, self.selection.origin.state())
    }

    /// What this box observes of the origin; `None` while no transfer is in progress.
    fn origin_signs(&self) -> Option<OriginSigns> {
        let mut transfers = self.transfer.iter().chain(&self.next_transfer);
        let is_open =
            |transfer: &&VersionTransfer| transfer.swarm.held() < u64::from(transfer.piece_count());
        let transfer = transfers.find(is_open)?;
        let view = self.view_of(transfer.pieces.version, Some(transfer));
        Some(OriginSigns {
            version: view.version,
            known: view.known,
            pieces: view.pieces,
            reads: transfer.swarm.origin_reads(),
            failures: transfer.swarm.origin_failures(),
            piece_time: view.origin_piece_time,
        })
    }

    fn transfer_view(&self, version: WeightVersion) -> TransferView {
        let mut transfers = self.transfer.iter().chain(&self.next_transfer).chain(&self.skipped);
        let transfer = transfers.find(|transfer| transfer.pieces.version == version);
        self.view_of(version, transfer)
    }

    /// The state of a version's transfer. One that has not started is assumed to be as large as the
    /// latest one, and all its pieces are known if another agent has the version completely.
    fn view_of(&self, version: WeightVersion, transfer: Option<&VersionTransfer>) -> TransferView {
        let latest = self.next_transfer.as_ref().or(self.transfer.as_ref());
        let sample = transfer.or(latest);
        let copy = sample.map_or(DEFAULT_COPY_SIZE, |transfer| transfer.manifest.total());
        let pieces = sample.map_or(DEFAULT_PIECE_COUNT, |one| one.piece_count().max(1));
        let origin = self.plan.origin().map(|origin| origin.bytes_per_second.max(1));
        let origin = origin.map(|rate| ByteRate::from_bytes_per_second(rate).time_for(copy));
        TransferView {
            version,
            held: transfer.map_or(0, |transfer| transfer.swarm.held() as u32),
            known: match transfer {
                Some(transfer) => transfer.swarm.known(),
                None if transfer_peers::is_held_by_peer(&self.state, version) => pieces,
                None => 0,
            },
            pieces,
            origin_piece_time: origin.unwrap_or_default() / pieces,
            link_piece_time: self.state.settings.link.rate.time_for(copy) / pieces,
        }
    }
}

fn log_completion(now: Moment, transfer: &mut VersionTransfer) {
    if transfer.swarm.held() < u64::from(transfer.piece_count()) {
        return;
    }
    let Some(estimate) = transfer.estimated.take() else { return };
    let mut fields = estimate_fields(&estimate);
    fields["version"] = json!(transfer.pieces.version);
    fields["took_ms"] = json!(now.since(transfer.started).as_millis() as u64);
    decisions::info("weights", "transfer_estimated", fields);
}
