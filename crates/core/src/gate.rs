//! The gate of one engine: nothing is served unless the whole set is verified, loaded by a
//! fenced order and confirmed by the engine.

use std::collections::BTreeSet;

use headlatch_types::{Digest, fleet::SetKey, quantity::FencingToken};

/// A set of weights that a box is to serve.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetSet {
    /// Its key.
    pub key: SetKey,
    /// Manifests of all its parts.
    pub parts: BTreeSet<Digest>,
}

/// An order that has been given and not been confirmed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct LoadOrder {
    set: SetKey,
    token: FencingToken,
}

/// What an engine says of itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EngineReport {
    /// Highest token of an order that it took.
    pub token: FencingToken,
    /// The set that is loaded, if one is.
    pub loaded: Option<SetKey>,
    /// Whether a load is in progress.
    pub loading: bool,
}

/// What the gate asks for next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GateStep {
    /// Nothing to do but wait.
    Wait,
    /// Every part is verified: stop serving the old set once its turn comes, then order.
    Ready(SetKey),
    /// The engine serves what is wanted.
    Serving(SetKey),
}

/// Decides whether an engine may serve, and which set.
#[derive(Debug, Clone, Default)]
pub struct WeightGate {
    target: Option<TargetSet>,
    verified: BTreeSet<Digest>,
    pending_order: Option<LoadOrder>,
    /// The set that serves, with the token of the order that loaded it.
    serving: Option<LoadOrder>,
    highest_token: FencingToken,
}

impl WeightGate {
    /// A gate that lets nothing through.
    pub fn closed() -> Self {
        Self::default()
    }

    /// Sets what is to be served; what serves now goes on until its turn to change comes.
    pub fn set_target(&mut self, target: Option<TargetSet>) {
        if self.target != target {
            self.target = target;
            self.pending_order = None;
        }
    }

    /// What is to be served.
    pub fn target(&self) -> Option<&TargetSet> {
        self.target.as_ref()
    }

    /// Every chunk of a manifest is here and verified.
    pub fn mark_verified(&mut self, manifest: Digest) {
        self.verified.insert(manifest);
    }

    /// Some chunk of a manifest is no longer here.
    pub fn clear_verified(&mut self, manifest: Digest) {
        self.verified.remove(&manifest);
    }

    /// The set that requests may be run against, if any.
    pub fn serving(&self) -> Option<SetKey> {
        self.serving.map(|order| order.set)
    }

    /// What is due next.
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

    /// Takes the old set out of service; requests in progress may still end.
    pub fn stop_serving(&mut self) {
        self.serving = None;
    }

    /// Makes the order for the wanted set, if it is whole and nothing serves.
    ///
    /// The token is one more than any that this agent or the engine has seen. An order of another
    /// giver in the meantime makes it too low, and an engine that checks refuses it.
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

    /// The engine refused the order, or it may not have come: a new one may be made.
    pub fn cancel_order(&mut self) {
        self.pending_order = None;
    }

    /// Takes in what the engine says. The gate opens if the engine confirms the very order that
    /// was given, and closes as soon as the engine names another token or set.
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

    /// The engine does not answer: nothing is known, so nothing is served.
    pub fn handle_engine_loss(&mut self) {
        self.serving = None;
        self.pending_order = None;
    }
}
