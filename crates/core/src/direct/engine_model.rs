//! Predicts when an engine returns the first token and the complete answer of a request.
//!
//! An engine prefills prompts between the decode steps of running requests. A prompt waits for the
//! prefill of those queued before it and, beyond the engine's slots, for running requests to
//! finish.

use std::time::Duration;

use headlatch_types::traffic::EngineCapacity;

/// Slowdown of prefill while other requests decode in between, relative to prefill alone.
const PREFILL_SLOWDOWN: f64 = 1.5;

/// Slowdown of decode while prompts are prefilled in between, relative to decode alone.
const DECODE_SLOWDOWN: f64 = 1.7;

/// Number of prompt tokens if neither the request nor the plan specifies it.
const DEFAULT_PROMPT_TOKENS: u64 = 800;

/// Number of answer tokens if neither the request nor the plan specifies it.
const DEFAULT_ANSWER_TOKENS: u64 = 100;

/// Known load of an engine.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct EngineLoad {
    /// Number of running and queued requests.
    pub in_flight: u32,
    /// Prompt tokens of requests that have not produced their first token.
    pub waiting_tokens: u64,
}

impl std::ops::Add for EngineLoad {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self {
            in_flight: self.in_flight + other.in_flight,
            waiting_tokens: self.waiting_tokens + other.waiting_tokens,
        }
    }
}

/// Work that a request causes on an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EngineWork {
    /// Number of prompt tokens.
    pub prompt: u64,
    /// Time in which its first token is wanted.
    pub objective: Duration,
}

impl EngineWork {
    /// Work of a request with `prompt` tokens, or with a usual prompt if that is `None`.
    pub fn new(figures: &EngineCapacity, prompt: Option<u64>, objective: Duration) -> Self {
        Self { prompt: prompt.unwrap_or(usual_prompt(figures)), objective }
    }
}

fn usual_prompt(figures: &EngineCapacity) -> u64 {
    match figures.usual_prompt {
        0 => DEFAULT_PROMPT_TOKENS,
        tokens => tokens,
    }
}

/// Seconds that an engine needs to prefill `tokens` while other requests decode.
fn prefill_time(figures: &EngineCapacity, tokens: u64) -> f64 {
    match figures.read_per_second > 0.0 {
        true => tokens as f64 / figures.read_per_second * PREFILL_SLOWDOWN,
        false => 0.0,
    }
}

/// Time that an engine needs to prefill a usual prompt while other requests decode.
pub fn usual_prefill_time(figures: &EngineCapacity) -> Duration {
    Duration::from_secs_f64(prefill_time(figures, usual_prompt(figures)))
}

/// Time until an engine with `load` returns the first token of `work`.
pub fn time_to_first_token(
    figures: &EngineCapacity,
    load: EngineLoad,
    work: EngineWork,
) -> Duration {
    let prefill_time = prefill_time(figures, load.waiting_tokens + work.prompt);
    let pass = figures.step_ms * f64::from(figures.stride.max(1)) / 1e3;
    let queued = (load.in_flight + 1).saturating_sub(figures.slots.max(1));
    let slot_wait = slot_time(figures) * f64::from(queued);
    Duration::from_secs_f64(prefill_time + pass + slot_wait)
}

/// Time until an engine has returned an answer of up to `tokens`, or of usual length if that is
/// `None`. `first` is the predicted time to the first token.
pub fn completion_time(figures: &EngineCapacity, first: Duration, tokens: Option<u64>) -> Duration {
    let tokens = tokens.unwrap_or(usual_answer(figures));
    first + Duration::from_secs_f64(tokens as f64 * figures.step_ms * DECODE_SLOWDOWN / 1e3)
}

fn usual_answer(figures: &EngineCapacity) -> u64 {
    match figures.usual_answer {
        0 => DEFAULT_ANSWER_TOKENS,
        tokens => tokens,
    }
}

/// Seconds until one slot of a full engine becomes free.
fn slot_time(figures: &EngineCapacity) -> f64 {
    let running = usual_answer(figures) as f64 * figures.step_ms * DECODE_SLOWDOWN / 1e3;
    running / f64::from(figures.slots.max(1))
}
