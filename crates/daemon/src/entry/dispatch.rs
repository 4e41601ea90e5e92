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
    attempt::{self, AnswerPart, AnswerStream, AttemptFailure, AttemptStart},
    directory::{EndpointDirectory, RequestTarget},
    gatekeeper::RequestGate,
};
use crate::node::NodeContext;

/// Attempts of one request.
const MOST_ATTEMPTS: u32 = 4;

/// Largest answer that is kept until it is whole.
const MOST_WHOLE_ANSWER: usize = 64 << 20;

/// When callers are told to come back if nothing can serve them.
pub const NOTHING_SERVES_RETRY: Duration = Duration::from_secs(1);

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
    NothingServes,
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
pub struct BegunAnswer {
    /// The answer.
    pub stream: AnswerStream,
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

impl BegunAnswer {
    /// The next part of the answer.
    pub async fn next(&mut self) -> Result<AnswerPart, AttemptFailure> {
        let part = self.stream.next().await;
        match &part {
            Ok(AnswerPart::End) => self.tracker.directory.picker().record_success(&self.tracker.id),
            Ok(AnswerPart::Data(_)) => {}
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
    gate: Arc<RequestGate>,
    budget: Mutex<RetryBudget>,
}

impl RequestDispatcher {
    /// A dispatcher that chooses from `directory` and tells `gate` how full endpoints are.
    pub fn new(
        node: Arc<NodeContext>,
        directory: Arc<EndpointDirectory>,
        gate: Arc<RequestGate>,
    ) -> Self {
        let budget = Mutex::new(RetryBudget::new(node.now()));
        Self { node, directory, gate, budget }
    }

    /// Tries endpoints until one begins to answer.
    pub async fn begin(&self, request: &DispatchRequest) -> Result<BegunAnswer, DispatchFailure> {
        let mut tries = TryLog::default();
        self.budget().deposit(self.node.now());
        loop {
            let failure = match self.try_once(request, &mut tries).await {
                Ok(begun) => return Ok(begun),
                Err(failure) => failure,
            };
            self.allow_retry(request, failure, &mut tries)?;
        }
    }

    /// Tries endpoints until one has answered in whole.
    pub async fn complete(
        &self,
        request: &DispatchRequest,
    ) -> Result<(Head, Bytes), DispatchFailure> {
        let mut tries = TryLog::default();
        self.budget().deposit(self.node.now());
        loop {
            let failure = match self.try_once(request, &mut tries).await {
                Ok(begun) => match collect(begun).await {
                    Ok(answer) => return Ok(answer),
                    Err(failure) => DispatchFailure::Failed(failure),
                },
                Err(failure) => failure,
            };
            self.allow_retry(request, failure, &mut tries)?;
        }
    }

    /// Lets a request be tried again after `failure`, or gives the failure to report.
    fn allow_retry(
        &self,
        request: &DispatchRequest,
        failure: DispatchFailure,
        tries: &mut TryLog,
    ) -> Result<(), DispatchFailure> {
        if !self.may_retry(request, &failure, tries) {
            return Err(tries.conclude(failure));
        }
        tries.note(&failure);
        log::debug!("dispatch: {} is tried again, {failure}", request.message.request_id);
        Ok(())
    }

    fn budget(&self) -> std::sync::MutexGuard<'_, RetryBudget> {
        self.budget.lock().unwrap_or_else(|broken| broken.into_inner())
    }

    fn may_retry(
        &self,
        request: &DispatchRequest,
        failure: &DispatchFailure,
        tries: &TryLog,
    ) -> bool {
        let settled = matches!(
            failure,
            DispatchFailure::NothingServes
                | DispatchFailure::KeyInProgress
                | DispatchFailure::KeySpent
        );
        if settled || tries.attempts >= MOST_ATTEMPTS || self.node.now() >= request.deadline {
            return false;
        }
        RetryPermit::after(failure.verdict(), request.repeatability).is_some()
            && self.budget().try_withdraw(self.node.now())
    }

    async fn try_once(
        &self,
        request: &DispatchRequest,
        tries: &mut TryLog,
    ) -> Result<BegunAnswer, DispatchFailure> {
        let candidates = self.directory.candidates(&request.target);
        let plain: Vec<Candidate> = candidates.iter().map(|(one, _)| one.clone()).collect();
        let id = self.choose(request, &plain, tries);
        let id = id.ok_or_else(|| tries.last.take().unwrap_or(DispatchFailure::NothingServes))?;
        let found = candidates.into_iter().find(|(one, _)| one.id == id);
        let (_, address) = found.ok_or(DispatchFailure::NothingServes)?;
        tries.attempts += 1;
        tries.tried.push(id.clone());
        let now = self.node.now();
        let message = ServeRequest {
            attempt: tries.attempts,
            box_id: id.to_string(),
            deadline_ms: request.deadline.since(now).as_millis() as u64,
            ..request.message.clone()
        };
        self.directory.picker().start_request(&id);
        let tracker =
            AttemptTracker { directory: self.directory.clone(), node: self.node.clone(), id };
        let started = attempt::begin(&self.node.channels, address, message).await;
        self.judge(started, tracker, tries)
    }

    /// A request with a key always goes to the same endpoint, whose agent remembers the key.
    fn choose(
        &self,
        request: &DispatchRequest,
        candidates: &[Candidate],
        tries: &TryLog,
    ) -> Option<BoxId> {
        let key = &request.message.once_key;
        if key.is_empty() {
            let now = self.node.now();
            return self.directory.picker().pick(now, candidates, &tries.tried, request.affinity);
        }
        let subject = headlatch_types::digest::key_of(key.as_bytes());
        let owner = winner(subject, candidates.iter().map(|one| one.id.key()))?;
        let owner = candidates.iter().find(|one| one.id.key() == owner)?;
        (!tries.tried.contains(&owner.id)).then(|| owner.id.clone())
    }

    fn judge(
        &self,
        started: AttemptStart,
        tracker: AttemptTracker,
        tries: &mut TryLog,
    ) -> Result<BegunAnswer, DispatchFailure> {
        let now = self.node.now();
        let failure = match started {
            AttemptStart::Answer(stream) => {
                self.gate.note_run();
                if let Some(load) = stream.load {
                    self.directory.picker().record_load(now, &tracker.id, load.in_progress);
                }
                return Ok(BegunAnswer { stream: *stream, tracker });
            }
            AttemptStart::Refused(cause, load) => {
                if cause == RefusalCause::Busy {
                    self.gate.note_busy(now);
                }
                if let Some(load) = load {
                    self.directory.picker().record_load(now, &tracker.id, load.in_progress);
                }
                self.node.metrics.count_refusal(cause.as_str_name());
                read_refusal(cause)
            }
            AttemptStart::Failed(failure) => {
                self.directory.picker().record_failure(now, &tracker.id);
                DispatchFailure::Failed(failure)
            }
        };
        tries.last = Some(failure.clone());
        Err(failure)
    }
}

/// What one request has been through.
#[derive(Debug, Default)]
struct TryLog {
    attempts: u32,
    tried: Vec<BoxId>,
    last: Option<DispatchFailure>,
    /// What the attempts so far came to, all together.
    verdict: Option<RunVerdict>,
}

impl TryLog {
    fn note(&mut self, failure: &DispatchFailure) {
        self.verdict = Some(failure.verdict().after(self.verdict));
    }

    /// The failure to report: one that did not run does not undo an earlier one that may have.
    fn conclude(&self, failure: DispatchFailure) -> DispatchFailure {
        let verdict = failure.verdict().after(self.verdict);
        if verdict == failure.verdict() {
            return failure;
        }
        let message = format!("an earlier attempt may have run, and then {failure}");
        DispatchFailure::Failed(AttemptFailure { verdict, message })
    }
}

fn read_refusal(cause: RefusalCause) -> DispatchFailure {
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

async fn collect(mut begun: BegunAnswer) -> Result<(Head, Bytes), AttemptFailure> {
    let mut body = BytesMut::new();
    loop {
        match begun.next().await? {
            AnswerPart::End => return Ok((begun.stream.head, body.freeze())),
            AnswerPart::Data(data) if body.len() + data.len() > MOST_WHOLE_ANSWER => {
                let message = "the answer is too long; ask for a stream".to_owned();
                return Err(AttemptFailure { verdict: RunVerdict::MayHaveRun, message });
            }
            AnswerPart::Data(data) => body.extend_from_slice(&data),
        }
    }
}
