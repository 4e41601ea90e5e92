//! A model of an engine: when will the first token of a request come?
//!
//! An engine reads prompts between the steps of the requests that write. A prompt waits for those
//! that came before it, and beyond the engine's slots for others to end.

use std::time::Duration;

use headlatch_types::traffic::EngineFigures;

/// Longer reading of prompts while other requests write in between, relative to reading alone.
const PREFILL_SLOWDOWN: f64 = 1.5;

/// Longer writing of answers while prompts are read in between, relative to writing alone.
const DECODE_SLOWDOWN: f64 = 1.7;

/// Prompt tokens where neither the request nor the plan says.
const DEFAULT_PROMPT_TOKENS: u64 = 800;

/// Answer tokens where neither the request nor the plan says.
const DEFAULT_ANSWER_TOKENS: u64 = 100;

/// What an engine has to do, as far as is known.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct EngineLoad {
    /// Requests that it runs or that wait.
    pub in_flight: u32,
    /// Prompt tokens of requests whose first token has not come.
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

/// What a request asks of an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EngineWork {
    /// Tokens of its prompt.
    pub prompt: u64,
    /// Time in which its first token is wanted.
    pub objective: Duration,
}

impl EngineWork {
    /// The work of a request that tells its prompt, or of a usual one.
    pub fn new(figures: &EngineFigures, prompt: Option<u64>, objective: Duration) -> Self {
        Self { prompt: prompt.unwrap_or(usual_prompt(figures)), objective }
    }
}

fn usual_prompt(figures: &EngineFigures) -> u64 {
    match figures.usual_prompt {
        0 => DEFAULT_PROMPT_TOKENS,
        tokens => tokens,
    }
}

/// Time in which an engine reads a prompt of `tokens` while others write.
fn prefill_time(figures: &EngineFigures, tokens: u64) -> f64 {
    match figures.read_per_second > 0.0 {
        true => tokens as f64 / figures.read_per_second * PREFILL_SLOWDOWN,
        false => 0.0,
    }
}

/// Time in which an engine reads a usual prompt while others write.
pub fn usual_prefill_time(figures: &EngineFigures) -> Duration {
    Duration::from_secs_f64(prefill_time(figures, usual_prompt(figures)))
}

/// Time until the first token of `work` comes from an engine with `load`.
pub fn time_to_first_token(
    figures: &EngineFigures,
    load: EngineLoad,
    work: EngineWork,
) -> Duration {
    let prefill_time = prefill_time(figures, load.waiting_tokens + work.prompt);
    let pass = figures.step_ms * f64::from(figures.stride.max(1)) / 1e3;
    let queued = (load.in_flight + 1).saturating_sub(figures.slots.max(1));
    let slot_wait = slot_time(figures) * f64::from(queued);
    Duration::from_secs_f64(prefill_time + pass + slot_wait)
}

/// Time until a whole answer of up to `tokens` has come from an engine whose first token is predicted
/// after `first`; of a usual answer where `tokens` is not known.
pub fn completion_time(figures: &EngineFigures, first: Duration, tokens: Option<u64>) -> Duration {
    let tokens = tokens.unwrap_or(usual_answer(figures));
    first + Duration::from_secs_f64(tokens as f64 * figures.step_ms * DECODE_SLOWDOWN / 1e3)
}

fn usual_answer(figures: &EngineFigures) -> u64 {
    match figures.usual_answer {
        0 => DEFAULT_ANSWER_TOKENS,
        tokens => tokens,
    }
}

/// Time after which one of the slots of a full engine comes free, in seconds.
fn slot_time(figures: &EngineFigures) -> f64 {
    let running = usual_answer(figures) as f64 * figures.step_ms * DECODE_SLOWDOWN / 1e3;
    running / f64::from(figures.slots.max(1))
}
