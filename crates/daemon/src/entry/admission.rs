//! Admission control: runs requests by fair share and queues or refuses the rest.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard},
};

use headlatch_core::{
    admission::{
        Admission, ConcurrencyLimit, FairQueue, OrganisationQuota, RefusalReason, RequestNumber,
    },
    time::Moment,
};
use headlatch_types::id::OrganisationName;
use tokio::sync::oneshot;

/// Quota for an organisation that is no longer in the fleet file.
const DEFAULT_QUOTA: OrganisationQuota = OrganisationQuota { share: 1, max_in_progress: None };

#[derive(Debug)]
struct AdmissionState {
    queue: FairQueue,
    limit: ConcurrencyLimit,
    quotas: HashMap<OrganisationName, OrganisationQuota>,
    waiting: HashMap<RequestNumber, oneshot::Sender<Result<(), RefusalReason>>>,
    last_number: u64,
}

/// Admission queue in front of an entry's dispatcher.
#[derive(Debug)]
pub struct AdmissionController {
    state: Mutex<AdmissionState>,
}

/// Permission to run one request; dropping it releases the slot to the next queued request.
#[derive(Debug)]
pub struct AdmissionPermit {
    admission: Arc<AdmissionController>,
    organisation: OrganisationName,
}

impl AdmissionController {
    /// Creates a controller that queues in `queue` and runs up to `limit` requests concurrently.
    pub fn new(queue: FairQueue, limit: ConcurrencyLimit) -> Arc<Self> {
        let state = AdmissionState {
            queue,
            limit,
            quotas: HashMap::new(),
            waiting: HashMap::new(),
            last_number: 0,
        };
        Arc::new(Self { state: Mutex::new(state) })
    }

    fn lock(&self) -> MutexGuard<'_, AdmissionState> {
        self.state.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Number of running and of queued requests.
    pub fn counts(&self) -> (u32, usize) {
        self.lock().queue.counts()
    }

    /// Sets the maximum of the concurrency limit.
    pub fn set_max_running(&self, max_running: u32) {
        let mut state = self.lock();
        state.limit.set_max(max_running);
        state.resize();
    }

    /// Records that an endpoint accepted a request.
    pub fn record_accepted(&self) {
        let mut state = self.lock();
        state.limit.record_accepted();
        state.resize();
    }

    /// Records that an endpoint refused a request as busy.
    pub fn record_busy(&self, now: Moment) {
        let mut state = self.lock();
        state.limit.record_busy(now);
        state.resize();
    }

    /// Refuses requests that have exceeded the queue timeout.
    pub fn expire(&self, now: Moment) {
        let mut state = self.lock();
        for number in state.queue.expire(now) {
            state.resolve(number, Err(RefusalReason::QueueTimeout));
        }
    }

    /// Waits until the request may run, or returns why it is refused.
    pub async fn admit(
        self: &Arc<Self>,
        now: Moment,
        organisation: &OrganisationName,
        quota: OrganisationQuota,
    ) -> Result<AdmissionPermit, RefusalReason> {
        let (number, receiver) = {
            let mut state = self.lock();
            state.last_number += 1;
            let number = RequestNumber(state.last_number);
            state.quotas.insert(organisation.clone(), quota);
            match state.queue.admit(now, number, organisation, quota) {
                Admission::Run => return Ok(self.permit(organisation)),
                Admission::Refuse(reason) => return Err(reason),
                Admission::Wait => {}
            }
            let (sender, receiver) = oneshot::channel();
            state.waiting.insert(number, sender);
            (number, receiver)
        };
        let mut guard = QueueGuard { admission: self, organisation, number, done: false };
        let answer = receiver.await;
        guard.done = true;
        drop(guard);
        answer.unwrap_or(Err(RefusalReason::QueueTimeout)).map(|()| self.permit(organisation))
    }

    fn permit(self: &Arc<Self>, organisation: &OrganisationName) -> AdmissionPermit {
        AdmissionPermit { admission: self.clone(), organisation: organisation.clone() }
    }
}

impl AdmissionState {
    fn resize(&mut self) {
        self.queue.resize(self.limit.get());
        self.release();
    }

    fn release(&mut self) {
        let quotas = &self.quotas;
        let released =
            self.queue.dequeue(|name| quotas.get(name).copied().unwrap_or(DEFAULT_QUOTA));
        for number in released {
            self.resolve(number, Ok(()));
        }
    }

    fn resolve(&mut self, number: RequestNumber, answer: Result<(), RefusalReason>) {
        if let Some(sender) = self.waiting.remove(&number) {
            // If the receiver is gone, its `QueueGuard` releases the slot.
            let _ = sender.send(answer);
        }
    }
}

impl Drop for AdmissionPermit {
    fn drop(&mut self) {
        let mut state = self.admission.lock();
        state.queue.finish(&self.organisation);
        state.release();
    }
}

/// Removes a request from the queue if its future is dropped while waiting.
struct QueueGuard<'a> {
    admission: &'a AdmissionController,
    organisation: &'a OrganisationName,
    number: RequestNumber,
    done: bool,
}

impl Drop for QueueGuard<'_> {
    fn drop(&mut self) {
        if self.done {
            return;
        }
        let mut state = self.admission.lock();
        if state.waiting.remove(&self.number).is_some() {
            state.queue.cancel(self.organisation, self.number);
        } else {
            // The request was admitted at the same time as its caller disconnected.
            state.queue.finish(self.organisation);
            state.release();
        }
    }
}
