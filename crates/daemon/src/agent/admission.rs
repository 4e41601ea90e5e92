//! The last gate before an endpoint: what may run here now.

use std::sync::{Mutex, MutexGuard};

use headlatch_core::{
    gate::WeightGate,
    keys::{IdempotencyKeys, KeyClaim},
    time::Moment,
};
use headlatch_types::{fleet::SetKey, settings::EndpointSettings};
use headlatch_wire::{RefusalCause, ServeRequest};

/// What a desk knows, under one lock, so that closing the gate and counting requests in progress
/// cannot pass each other.
#[derive(Debug, Default)]
pub struct AdmissionState {
    /// The gate; not used for a plain service.
    pub gate: WeightGate,
    /// Names under which callers may ask for what serves here.
    pub names: Vec<String>,
    /// Requests in progress.
    pub in_progress: u32,
    /// Whether this box is about to leave.
    pub leaving: bool,
    /// Whether the endpoint answers.
    pub healthy: bool,
    /// Keys of requests that may run once.
    pub keys: IdempotencyKeys,
}

/// Decides for each request whether it may run at this endpoint.
#[derive(Debug)]
pub struct EndpointAdmission {
    settings: EndpointSettings,
    box_id: String,
    state: Mutex<AdmissionState>,
}

/// Leave to run one request; it counts as in progress until this is dropped.
#[derive(Debug)]
pub struct RunPermit<'a> {
    admission: &'a EndpointAdmission,
    /// The weights that will answer; none for a plain service.
    pub set: Option<SetKey>,
    key: Option<String>,
}

impl EndpointAdmission {
    /// A desk for the endpoint of box `box_id`.
    pub fn new(settings: EndpointSettings, box_id: String) -> Self {
        Self { settings, box_id, state: Mutex::default() }
    }

    /// What the desk knows.
    pub fn lock(&self) -> MutexGuard<'_, AdmissionState> {
        self.state.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// The endpoint.
    pub fn endpoint(&self) -> &EndpointSettings {
        &self.settings
    }

    /// Lets a request run, or says why it certainly does not.
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
                let named = state.names.contains(&request.model);
                let fits = request.set_key == 0 || request.set_key == set.0;
                if named && fits { Ok(Some(set)) } else { Err(RefusalCause::NotServing) }
            }
        }
    }
}

impl RunPermit<'_> {
    /// The request certainly did not run after all: its key may be used again.
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
