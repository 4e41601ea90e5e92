//! Lets requests in by fair shares, and makes the others wait or refuses them.

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

/// Share of an organisation that the fleet file no longer names.
const DEFAULT_QUOTA: OrganisationQuota = OrganisationQuota { share: 1, max_in_progress: None };

#[derive(Debug)]
struct AdmissionState {
    queue: FairQueue,
    limit: ConcurrencyLimit,
    quotas: HashMap<OrganisationName, OrganisationQuota>,
    waiting: HashMap<RequestNumber, oneshot::Sender<Result<(), RefusalReason>>>,
    last_number: u64,
}

/// The queue in front of an entry's dispatcher.
#[derive(Debug)]
pub struct AdmissionController {
    state: Mutex<AdmissionState>,
}

/// Leave for one request to go on; its place is given to another when this is dropped.
#[derive(Debug)]
pub struct AdmissionPermit {
    admission: Arc<AdmissionController>,
    organisation: OrganisationName,
}

impl AdmissionController {
    /// A gate in front of `queue`, which lets as many requests run as `limit` says.
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

    /// Requests that run and that wait.
    pub fn counts(&self) -> (u32, usize) {
        self.lock().queue.counts()
    }

    /// Changes the most requests that may run.
    pub fn set_max_running(&self, max_running: u32) {
        let mut state = self.lock();
        state.limit.set_max(max_running);
        state.resize();
    }

    /// An endpoint took a request.
    pub fn record_accepted(&self) {
        let mut state = self.lock();
        state.limit.record_accepted();
        state.resize();
    }

    /// An endpoint was full.
    pub fn record_busy(&self, now: Moment) {
        let mut state = self.lock();
        state.limit.record_busy(now);
        state.resize();
    }

    /// Refuses what has waited too long.
    pub fn expire(&self, now: Moment) {
        let mut state = self.lock();
        for number in state.queue.expire(now) {
            state.resolve(number, Err(RefusalReason::QueueTimeout));
        }
    }

    /// Waits for a place.
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
            // A caller that has gone away gives its place back by itself.
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

/// A place in the queue, given back if its caller goes away while it waits.
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
            // It was let in just as its caller went away.
            state.queue.finish(self.organisation);
            state.release();
        }
    }
}
