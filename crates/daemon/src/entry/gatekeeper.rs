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
const NO_TERMS: OrganisationQuota = OrganisationQuota { share: 1, max_in_progress: None };

#[derive(Debug)]
struct GateState {
    queue: FairQueue,
    limit: ConcurrencyLimit,
    terms: HashMap<OrganisationName, OrganisationQuota>,
    waiting: HashMap<RequestNumber, oneshot::Sender<Result<(), RefusalReason>>>,
    last: u64,
}

/// The queue in front of an entry's dispatcher.
#[derive(Debug)]
pub struct RequestGate {
    state: Mutex<GateState>,
}

/// Leave for one request to go on; its place is given to another when this is dropped.
#[derive(Debug)]
pub struct EntryPermit {
    gate: Arc<RequestGate>,
    organisation: OrganisationName,
}

impl RequestGate {
    /// A gate in front of `queue`, which lets as many requests run as `limit` says.
    pub fn new(queue: FairQueue, limit: ConcurrencyLimit) -> Arc<Self> {
        let state =
            GateState { queue, limit, terms: HashMap::new(), waiting: HashMap::new(), last: 0 };
        Arc::new(Self { state: Mutex::new(state) })
    }

    fn lock(&self) -> MutexGuard<'_, GateState> {
        self.state.lock().unwrap_or_else(|broken| broken.into_inner())
    }

    /// Requests that run and that wait.
    pub fn counts(&self) -> (u32, usize) {
        self.lock().queue.counts()
    }

    /// Changes the most requests that may run.
    pub fn set_most(&self, most_running: u32) {
        let mut state = self.lock();
        state.limit.set_max(most_running);
        state.resize();
    }

    /// An endpoint took a request.
    pub fn note_run(&self) {
        let mut state = self.lock();
        state.limit.record_accepted();
        state.resize();
    }

    /// An endpoint was full.
    pub fn note_busy(&self, now: Moment) {
        let mut state = self.lock();
        state.limit.record_busy(now);
        state.resize();
    }

    /// Refuses what has waited too long.
    pub fn expire(&self, now: Moment) {
        let mut state = self.lock();
        for number in state.queue.expire(now) {
            state.tell(number, Err(RefusalReason::QueueTimeout));
        }
    }

    /// Waits for a place.
    pub async fn enter(
        self: &Arc<Self>,
        now: Moment,
        organisation: &OrganisationName,
        terms: OrganisationQuota,
    ) -> Result<EntryPermit, RefusalReason> {
        let (number, told) = {
            let mut state = self.lock();
            state.last += 1;
            let number = RequestNumber(state.last);
            state.terms.insert(organisation.clone(), terms);
            match state.queue.admit(now, number, organisation, terms) {
                Admission::Run => return Ok(self.permit(organisation)),
                Admission::Refuse(reason) => return Err(reason),
                Admission::Wait => {}
            }
            let (sender, told) = oneshot::channel();
            state.waiting.insert(number, sender);
            (number, told)
        };
        let mut place = WaitingPlace { gate: self, organisation, number, settled: false };
        let answer = told.await;
        place.settled = true;
        drop(place);
        answer.unwrap_or(Err(RefusalReason::QueueTimeout)).map(|()| self.permit(organisation))
    }

    fn permit(self: &Arc<Self>, organisation: &OrganisationName) -> EntryPermit {
        EntryPermit { gate: self.clone(), organisation: organisation.clone() }
    }
}

impl GateState {
    fn resize(&mut self) {
        self.queue.resize(self.limit.get());
        self.release();
    }

    fn release(&mut self) {
        let terms = &self.terms;
        let released = self.queue.dequeue(|name| terms.get(name).copied().unwrap_or(NO_TERMS));
        for number in released {
            self.tell(number, Ok(()));
        }
    }

    fn tell(&mut self, number: RequestNumber, answer: Result<(), RefusalReason>) {
        if let Some(sender) = self.waiting.remove(&number) {
            // A caller that has gone away gives its place back by itself.
            let _ = sender.send(answer);
        }
    }
}

impl Drop for EntryPermit {
    fn drop(&mut self) {
        let mut state = self.gate.lock();
        state.queue.finish(&self.organisation);
        state.release();
    }
}

/// A place in the queue, given back if its caller goes away while it waits.
struct WaitingPlace<'a> {
    gate: &'a RequestGate,
    organisation: &'a OrganisationName,
    number: RequestNumber,
    settled: bool,
}

impl Drop for WaitingPlace<'_> {
    fn drop(&mut self) {
        if self.settled {
            return;
        }
        let mut state = self.gate.lock();
        if state.waiting.remove(&self.number).is_some() {
            state.queue.cancel(self.organisation, self.number);
        } else {
            // It was let in just as its caller went away.
            state.queue.finish(self.organisation);
            state.release();
        }
    }
}
