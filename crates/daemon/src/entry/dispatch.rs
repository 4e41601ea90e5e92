//! Dispatches a request to endpoints, retrying until it is answered or must not be retried.

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

/// Maximum number of attempts per request.
const MAX_ATTEMPTS: u32 = 4;

/// Maximum size in bytes of a response that is buffered before it is sent to the caller.
const MAX_BUFFERED_RESPONSE: usize = 64 << 20;

/// `Retry-After` value for requests that no endpoint can serve.
pub const NOT_SERVING_RETRY_AFTER: Duration = Duration::from_secs(1);

/// A request to be dispatched.
#[derive(Debug, Clone)]
pub struct DispatchRequest {
    /// The model or service requested.
    pub target: RequestTarget,
    /// Whether the request may be sent more than once.
    pub repeatability: Repeatability,
    /// The message, without the fields that are set per attempt.
    pub message: ServeRequest,
    /// Hash of the prompt's prefix, for cache affinity.
    pub affinity: Option<u64>,
    /// Time after which the request is no longer retried.
    pub deadline: Moment,
}

/// Why a request could not be answered.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum DispatchFailure {
    /// No endpoint serves the target; the request did not run.
    #[error("no endpoint serves this at the moment")]
    NotServing,
    /// Every endpoint is busy; the request did not run.
    #[error("every endpoint is busy")]
    Busy,
    /// A request with the same idempotency key is in progress.
    #[error("a request with the same key is in progress")]
    KeyInProgress,
    /// A request with the same idempotency key has run, or may have run.
    #[error("a request with the same key has run, or may have run")]
    KeySpent,
    /// The last attempt failed and the request must not or cannot be retried.
    #[error("{0}")]
    Failed(AttemptFailure),
}

impl DispatchFailure {
    /// Whether the request ran, may have run, or did not run.
    pub fn verdict(&self) -> RunVerdict {
        match self {
            Self::Failed(failure) => failure.verdict,
            _ => RunVerdict::NotRun,
        }
    }
}

/// A response in progress, with the endpoint that sends it.
#[derive(Debug)]
pub struct ActiveResponse {
    /// The response stream.
    pub stream: ResponseStream,
    tracker: AttemptTracker,
}

/// Counts an attempt as in progress at its endpoint until dropped.
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
    /// Reads the next part of the response and records success or failure of the endpoint.
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

/// Dispatches requests to endpoints within a retry budget.
#[derive(Debug)]
pub struct RequestDispatcher {
    node: Arc<NodeContext>,
    directory: Arc<EndpointDirectory>,
    admission: Arc<AdmissionController>,
    budget: Mutex<RetryBudget>,
}

impl RequestDispatcher {
    /// Creates a dispatcher that picks from `directory` and reports endpoint load to `admission`.
    pub fn new(
        node: Arc<NodeContext>,
        directory: Arc<EndpointDirectory>,
        admission: Arc<AdmissionController>,
    ) -> Self {
        let budget = Mutex::new(RetryBudget::new(node.now()));
        Self { node, directory, admission, budget }
    }

    /// Attempts the request until an endpoint starts to respond.
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

    /// Attempts the request until an endpoint has sent a complete response.
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

    /// Permits a retry after `failure`, or returns the failure to report to the caller.
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
        log::debug!("dispatch: retrying {}: {failure}", request.message.request_id);
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

    /// Picks an endpoint. A request with an idempotency key always goes to the endpoint that owns
    /// the key by rendezvous hashing, since only that endpoint's agent stores the key.
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

/// The attempts made so far for one request.
#[derive(Debug, Default)]
struct AttemptHistory {
    attempts: u32,
    tried: Vec<BoxId>,
    last: Option<DispatchFailure>,
    /// Combined verdict of all attempts so far.
    verdict: Option<RunVerdict>,
}

impl AttemptHistory {
    fn record(&mut self, failure: &DispatchFailure) {
        self.verdict = Some(failure.verdict().after(self.verdict));
    }

    /// The failure to report: a last attempt that did not run does not cancel an earlier one that
    /// may have run.
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
                let message = "the response exceeds the buffer limit; request a stream".to_owned();
                return Err(AttemptFailure { verdict: RunVerdict::MayHaveRun, message });
            }
            ResponsePart::Data(data) => body.extend_from_slice(&data),
        }
    }
}
