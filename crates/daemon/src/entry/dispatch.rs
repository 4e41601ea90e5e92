//! Attempts until a request has an answer, or must not be tried again.

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use bytes::{Bytes, BytesMut};
use headlatch_core::{hash::winner, retry::RetryBudget, routing::Candidate, time::Moment};
use headlatch_types::{
    RunVerdict,
    id::BoxId,
    verdict::{Repeatability, RetryPermit},
};
use headlatch_wire::{Head, RefusalCause, ServeRequest};

use super::{
    admission::AdmissionController,
    attempt::{self, AttemptFailure, AttemptStart, ResponsePart, ResponseStream},
    directory::{EndpointDirectory, RequestTarget},
};
use crate::node::NodeContext;

/// Attempts of one request.
const MAX_ATTEMPTS: u32 = 4;

/// Largest answer that is kept until it is whole.
const MAX_BUFFERED_RESPONSE: usize = 64 << 20;

/// When callers are told to come back if nothing can serve them.
pub const NOT_SERVING_RETRY_AFTER: Duration = Duration::from_secs(1);

/// A request on its way to an endpoint.
#[derive(Debug, Clone)]
pub struct DispatchRequest {
    /// What it is for.
    pub target: RequestTarget,
    /// Whether it may be repeated.
    pub repeatability: Repeatability,
    /// The message, without what differs between attempts.
    pub message: ServeRequest,
    /// Hash of the prompt's beginning.
    pub affinity: Option<u64>,
    /// When the caller's time is over.
    pub deadline: Moment,
}

/// Why a request has no answer.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum DispatchFailure {
    /// No endpoint serves what it is for; it did not run.
    #[error("no endpoint serves this at the moment")]
    NotServing,
    /// Every endpoint is busy; it did not run.
    #[error("every endpoint is busy")]
    Busy,
    /// A request with the same key is in progress.
    #[error("a request with the same key is in progress")]
    KeyInProgress,
    /// A request with the same key has run, or may have run.
    #[error("a request with the same key has run, or may have run")]
    KeySpent,
    /// It failed, and must not or cannot be tried again.
    #[error("{0}")]
    Failed(AttemptFailure),
}

impl DispatchFailure {
    /// Whether this request may have run.
    pub fn verdict(&self) -> RunVerdict {
        match self {
            Self::Failed(failure) => failure.verdict,
            _ => RunVerdict::NotRun,
        }
    }
}

/// An answer on its way, with the endpoint it comes from.
#[derive(Debug)]
pub struct ActiveResponse {
    /// The answer.
    pub stream: ResponseStream,
    tracker: AttemptTracker,
}

/// Counts an attempt at its endpoint until it ends.
#[derive(Debug)]
struct AttemptTracker {
    directory: Arc<EndpointDirectory>,
    node: Arc<NodeContext>,
    id: BoxId,
}

impl Drop for AttemptTracker {
    fn drop(&mut self) {
        self.directory.picker().finish_request(&self.id);
    }
}

impl ActiveResponse {
    /// The next part of the answer.
    pub async fn next(&mut self) -> Result<ResponsePart, AttemptFailure> {
        let part = self.stream.next().await;
        match &part {
            Ok(ResponsePart::End) => {
                self.tracker.directory.picker().record_success(&self.tracker.id)
            }
            Ok(ResponsePart::Data(_)) => {}
            Err(_) => {
                let now = self.tracker.node.now();
                self.tracker.directory.picker().record_failure(now, &self.tracker.id);
            }
        }
        part
    }
}

/// Sends requests to endpoints.
#[derive(Debug)]
pub struct RequestDispatcher {
    node: Arc<NodeContext>,
    directory: Arc<EndpointDirectory>,
    admission: Arc<AdmissionController>,
    budget: Mutex<RetryBudget>,
}

impl RequestDispatcher {
    /// A dispatcher that chooses from `directory` and tells `gate` how full endpoints are.
    pub fn new(
        node: Arc<NodeContext>,
        directory: Arc<EndpointDirectory>,
        admission: Arc<AdmissionController>,
    ) -> Self {
        let budget = Mutex::new(RetryBudget::new(node.now()));
        Self { node, directory, admission, budget }
    }

    /// Tries endpoints until one begins to answer.
    pub async fn begin(
        &self,
        request: &DispatchRequest,
    ) -> Result<ActiveResponse, DispatchFailure> {
        let mut history = AttemptHistory::default();
        self.budget().deposit(self.node.now());
        loop {
            let failure = match self.attempt_once(request, &mut history).await {
                Ok(response) => return Ok(response),
                Err(failure) => failure,
            };
            self.allow_retry(request, failure, &mut history)?;
        }
    }

    /// Tries endpoints until one has answered in whole.
    pub async fn complete(
        &self,
        request: &DispatchRequest,
    ) -> Result<(Head, Bytes), DispatchFailure> {
        let mut history = AttemptHistory::default();
        self.budget().deposit(self.node.now());
        loop {
            let failure = match self.attempt_once(request, &mut history).await {
                Ok(response) => match collect(response).await {
                    Ok(answer) => return Ok(answer),
                    Err(failure) => DispatchFailure::Failed(failure),
                },
                Err(failure) => failure,
            };
            self.allow_retry(request, failure, &mut history)?;
        }
    }

    /// Lets a request be tried again after `failure`, or gives the failure to report.
    fn allow_retry(
        &self,
        request: &DispatchRequest,
        failure: DispatchFailure,
        history: &mut AttemptHistory,
    ) -> Result<(), DispatchFailure> {
        if !self.may_retry(request, &failure, history) {
            return Err(history.final_failure(failure));
        }
        history.record(&failure);
        log::debug!("dispatch: {} is tried again, {failure}", request.message.request_id);
        Ok(())
    }

    fn budget(&self) -> std::sync::MutexGuard<'_, RetryBudget> {
        self.budget.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    fn may_retry(
        &self,
        request: &DispatchRequest,
        failure: &DispatchFailure,
        history: &AttemptHistory,
    ) -> bool {
        let terminal = matches!(
            failure,
            DispatchFailure::NotServing
                | DispatchFailure::KeyInProgress
                | DispatchFailure::KeySpent
        );
        if terminal || history.attempts >= MAX_ATTEMPTS || self.node.now() >= request.deadline {
            return false;
        }
        RetryPermit::after(failure.verdict(), request.repeatability).is_some()
            && self.budget().try_withdraw(self.node.now())
    }

    async fn attempt_once(
        &self,
        request: &DispatchRequest,
        history: &mut AttemptHistory,
    ) -> Result<ActiveResponse, DispatchFailure> {
        let candidates = self.directory.candidates(&request.target);
        let endpoints: Vec<Candidate> = candidates.iter().map(|(one, _)| one.clone()).collect();
        let id = self.choose(request, &endpoints, history);
        let id = id.ok_or_else(|| history.last.take().unwrap_or(DispatchFailure::NotServing))?;
        let found = candidates.into_iter().find(|(one, _)| one.id == id);
        let (_, address) = found.ok_or(DispatchFailure::NotServing)?;
        history.attempts += 1;
        history.tried.push(id.clone());
        let now = self.node.now();
        let message = ServeRequest {
            attempt: history.attempts,
            box_id: id.to_string(),
            deadline_ms: request.deadline.since(now).as_millis() as u64,
            ..request.message.clone()
        };
        self.directory.picker().start_request(&id);
        let tracker =
            AttemptTracker { directory: self.directory.clone(), node: self.node.clone(), id };
        let started = attempt::begin(&self.node.channels, address, message).await;
        self.handle_start(started, tracker, history)
    }

    /// A request with a key always goes to the same endpoint, whose agent remembers the key.
    fn choose(
        &self,
        request: &DispatchRequest,
        candidates: &[Candidate],
        history: &AttemptHistory,
    ) -> Option<BoxId> {
        let key = &request.message.once_key;
        if key.is_empty() {
            let now = self.node.now();
            return self.directory.picker().pick(now, candidates, &history.tried, request.affinity);
        }
        let subject = headlatch_types::digest::key_of(key.as_bytes());
        let owner = winner(subject, candidates.iter().map(|one| one.id.key()))?;
        let owner = candidates.iter().find(|one| one.id.key() == owner)?;
        (!history.tried.contains(&owner.id)).then(|| owner.id.clone())
    }

    fn handle_start(
        &self,
        started: AttemptStart,
        tracker: AttemptTracker,
        history: &mut AttemptHistory,
    ) -> Result<ActiveResponse, DispatchFailure> {
        let now = self.node.now();
        let failure = match started {
            AttemptStart::Response(stream) => {
                self.admission.record_accepted();
                if let Some(load) = stream.load {
                    self.directory.picker().record_load(now, &tracker.id, load.in_progress);
                }
                return Ok(ActiveResponse { stream: *stream, tracker });
            }
            AttemptStart::Refused(cause, load) => {
                if cause == RefusalCause::Busy {
                    self.admission.record_busy(now);
                }
                if let Some(load) = load {
                    self.directory.picker().record_load(now, &tracker.id, load.in_progress);
                }
                self.node.metrics.count_refusal(cause.as_str_name());
                refusal_failure(cause)
            }
            AttemptStart::Failed(failure) => {
                self.directory.picker().record_failure(now, &tracker.id);
                DispatchFailure::Failed(failure)
            }
        };
        history.last = Some(failure.clone());
        Err(failure)
    }
}

/// What one request has been through.
#[derive(Debug, Default)]
struct AttemptHistory {
    attempts: u32,
    tried: Vec<BoxId>,
    last: Option<DispatchFailure>,
    /// What the attempts so far came to, all together.
    verdict: Option<RunVerdict>,
}

impl AttemptHistory {
    fn record(&mut self, failure: &DispatchFailure) {
        self.verdict = Some(failure.verdict().after(self.verdict));
    }

    /// The failure to report: one that did not run does not undo an earlier one that may have.
    fn final_failure(&self, failure: DispatchFailure) -> DispatchFailure {
        let verdict = failure.verdict().after(self.verdict);
        if verdict == failure.verdict() {
            return failure;
        }
        let message = format!("an earlier attempt may have run, and then {failure}");
        DispatchFailure::Failed(AttemptFailure { verdict, message })
    }
}

fn refusal_failure(cause: RefusalCause) -> DispatchFailure {
    match cause {
        RefusalCause::Busy => DispatchFailure::Busy,
        RefusalCause::KeyInProgress => DispatchFailure::KeyInProgress,
        RefusalCause::KeySpent => DispatchFailure::KeySpent,
        other => DispatchFailure::Failed(AttemptFailure {
            verdict: RunVerdict::NotRun,
            message: format!("the endpoint refused: {}", other.as_str_name()),
        }),
    }
}

async fn collect(mut response: ActiveResponse) -> Result<(Head, Bytes), AttemptFailure> {
    let mut body = BytesMut::new();
    loop {
        match response.next().await? {
            ResponsePart::End => return Ok((response.stream.head, body.freeze())),
            ResponsePart::Data(data) if body.len() + data.len() > MAX_BUFFERED_RESPONSE => {
                let message = "the answer is too long; ask for a stream".to_owned();
                return Err(AttemptFailure { verdict: RunVerdict::MayHaveRun, message });
            }
            ResponsePart::Data(data) => body.extend_from_slice(&data),
        }
    }
}
