//! Serving gate of one engine.
//!
//! An engine serves a set of weights only if every part is verified, the set was loaded by an order
//! with a fencing token, and the engine has confirmed that order.

use std::collections::BTreeSet;

use headlatch_types::{Digest, fleet::SetKey, quantity::FencingToken};

/// Set of weights that a box is assigned to serve.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetSet {
    /// Key of the set.
    pub key: SetKey,
    /// Manifest digests of all parts.
    pub parts: BTreeSet<Digest>,
}

/// Order to load a set, identified by its fencing token.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct LoadOrder {
    set: SetKey,
    token: FencingToken,
}

/// State reported by an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EngineReport {
    /// Highest token among the orders that the engine accepted.
    pub token: FencingToken,
    /// Set that is loaded, if any.
    pub loaded: Option<SetKey>,
    /// Whether a load is in progress.
    pub loading: bool,
}

/// Next step of a gate.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GateStep {
    /// Wait for parts, a confirmation or a new target.
    Wait,
    /// Every part is verified: stop serving the old set when the rollover allows it, then issue the
    /// load order.
    Ready(SetKey),
    /// The engine serves the target.
    Serving(SetKey),
}

/// Decides whether an engine may serve, and which set.
#[derive(Debug, Clone, Default)]
pub struct WeightGate {
    target: Option<TargetSet>,
    verified: BTreeSet<Digest>,
    pending_order: Option<LoadOrder>,
    /// Confirmed order whose set is being served.
    serving: Option<LoadOrder>,
    highest_token: FencingToken,
}

impl WeightGate {
    /// Creates a gate that serves nothing.
    pub fn closed() -> Self {
        Self::default()
    }

    /// Sets the target. The current set continues to be served until [`Self::stop_serving`].
    pub fn set_target(&mut self, target: Option<TargetSet>) {
        if self.target != target {
            self.target = target;
            self.pending_order = None;
        }
    }

    /// Returns the target.
    pub fn target(&self) -> Option<&TargetSet> {
        self.target.as_ref()
    }

    /// Records that every chunk of a manifest is present and verified.
    pub fn mark_verified(&mut self, manifest: Digest) {
        self.verified.insert(manifest);
    }

    /// Records that a chunk of a manifest is no longer present.
    pub fn clear_verified(&mut self, manifest: Digest) {
        self.verified.remove(&manifest);
    }

    /// Returns the set that requests may run against, if any.
    pub fn serving(&self) -> Option<SetKey> {
        self.serving.map(|order| order.set)
    }

    /// Returns the next step.
    pub fn next_step(&self) -> GateStep {
        let Some(target) = &self.target else { return GateStep::Wait };
        if self.serving() == Some(target.key) {
            return GateStep::Serving(target.key);
        }
        let complete = target.parts.is_subset(&self.verified);
        if complete && self.pending_order.is_none() {
            GateStep::Ready(target.key)
        } else {
            GateStep::Wait
        }
    }

    /// Takes the current set out of service. Requests in progress may still finish.
    pub fn stop_serving(&mut self) {
        self.serving = None;
    }

    /// Issues the load order for the target if it is fully verified and nothing is being served.
    ///
    /// The token is one higher than any that this agent or the engine has seen. If another agent
    /// issues an order in the meantime, this token is too low and an engine that checks tokens
    /// rejects it.
    pub fn issue_order(&mut self, report: EngineReport) -> Option<(SetKey, FencingToken)> {
        let GateStep::Ready(set) = self.next_step() else { return None };
        if self.serving.is_some() {
            return None;
        }
        let last = self.highest_token.number().max(report.token.number());
        let token = FencingToken::new(last + 1);
        self.highest_token = token;
        self.pending_order = Some(LoadOrder { set, token });
        Some((set, token))
    }

    /// Discards the pending order after the engine rejected it or may not have received it, so that
    /// a new one can be issued.
    pub fn cancel_order(&mut self) {
        self.pending_order = None;
    }

    /// Handles a report of the engine. Serving starts when the engine confirms the pending order,
    /// and stops as soon as the engine reports another token or set.
    pub fn handle_report(&mut self, report: EngineReport) {
        self.highest_token = self.highest_token.max(report.token);
        let confirms = |order: &LoadOrder| {
            !report.loading && report.token == order.token && report.loaded == Some(order.set)
        };
        if self.serving.is_some_and(|order| !confirms(&order)) {
            self.serving = None;
        }
        let Some(order) = self.pending_order else { return };
        if confirms(&order) {
            self.serving = Some(order);
            self.pending_order = None;
        } else if report.token != order.token || (!report.loading && report.loaded.is_none()) {
            self.pending_order = None;
        }
    }

    /// Stops serving because the engine does not answer and its state is unknown.
    pub fn handle_engine_loss(&mut self) {
        self.serving = None;
        self.pending_order = None;
    }
}
