//! Admission control in front of an endpoint.

use std::sync::{Mutex, MutexGuard};

use headlatch_core::{
    gate::WeightGate,
    keys::{IdempotencyKeys, KeyClaim},
    time::Moment,
};
use headlatch_types::{fleet::SetKey, settings::EndpointSettings};
use headlatch_wire::{RefusalCause, ServeRequest};

/// State of admission control. One lock covers the gate and the count of requests in progress, so
/// that no request can be admitted between closing the gate and reading the count.
#[derive(Debug, Default)]
pub struct AdmissionState {
    /// Gate that determines which weight set may be served; unused for a plain service.
    pub gate: WeightGate,
    /// Model names under which callers may request the served weights.
    pub model_names: Vec<String>,
    /// Number of requests in progress.
    pub in_progress: u32,
    /// Whether this box is leaving; new requests are then refused.
    pub leaving: bool,
    /// Whether the last health check of the endpoint succeeded.
    pub healthy: bool,
    /// Idempotency keys of requests that may run only once.
    pub keys: IdempotencyKeys,
}

/// Decides whether a request may run at this endpoint.
#[derive(Debug)]
pub struct EndpointAdmission {
    settings: EndpointSettings,
    box_id: String,
    state: Mutex<AdmissionState>,
}

/// Permit to run one request, which counts as in progress until the permit is dropped.
#[derive(Debug)]
pub struct RunPermit<'a> {
    admission: &'a EndpointAdmission,
    /// Weight set that serves the request; `None` for a plain service.
    pub set: Option<SetKey>,
    key: Option<String>,
}

impl EndpointAdmission {
    /// Admission control for the endpoint of box `box_id`.
    pub fn new(settings: EndpointSettings, box_id: String) -> Self {
        Self { settings, box_id, state: Mutex::default() }
    }

    /// Locks the admission state.
    pub fn lock(&self) -> MutexGuard<'_, AdmissionState> {
        self.state.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Settings of the endpoint.
    pub fn endpoint(&self) -> &EndpointSettings {
        &self.settings
    }

    /// Admits a request, or returns the cause of refusal; a refused request certainly did not run.
    pub fn admit(
        &self,
        now: Moment,
        request: &ServeRequest,
    ) -> Result<RunPermit<'_>, RefusalCause> {
        let mut state = self.lock();
        if request.box_id != self.box_id {
            return Err(RefusalCause::WrongBox);
        }
        if state.leaving {
            return Err(RefusalCause::Leaving);
        }
        if request.deadline_ms == 0 {
            return Err(RefusalCause::Late);
        }
        let set = self.check_target(&state, request)?;
        if state.in_progress >= self.settings.slots {
            return Err(RefusalCause::Busy);
        }
        let key = (!request.once_key.is_empty()).then(|| request.once_key.clone());
        if let Some(key) = &key {
            match state.keys.claim(now, key) {
                KeyClaim::Fresh => {}
                KeyClaim::InProgress => return Err(RefusalCause::KeyInProgress),
                KeyClaim::Spent => return Err(RefusalCause::KeySpent),
                KeyClaim::Full => return Err(RefusalCause::Busy),
            }
        }
        state.in_progress += 1;
        Ok(RunPermit { admission: self, set, key })
    }

    fn check_target(
        &self,
        state: &AdmissionState,
        request: &ServeRequest,
    ) -> Result<Option<SetKey>, RefusalCause> {
        match &self.settings.service {
            Some(service) if request.service == service.as_str() && state.healthy => Ok(None),
            Some(_) => Err(RefusalCause::NotServing),
            None => {
                let set = state.gate.serving().ok_or(RefusalCause::NotServing)?;
                let name_matches = state.model_names.contains(&request.model);
                let set_matches = request.set_key == 0 || request.set_key == set.0;
                if name_matches && set_matches {
                    Ok(Some(set))
                } else {
                    Err(RefusalCause::NotServing)
                }
            }
        }
    }
}

impl RunPermit<'_> {
    /// Ends the permit of a request that certainly did not run, so that its key may be used again.
    pub fn release_key(mut self) {
        if let Some(key) = self.key.take() {
            self.admission.lock().keys.release(&key);
        }
    }
}

impl Drop for RunPermit<'_> {
    fn drop(&mut self) {
        let mut state = self.admission.lock();
        state.in_progress = state.in_progress.saturating_sub(1);
        if let Some(key) = &self.key {
            state.keys.mark_spent(key);
        }
    }
}
