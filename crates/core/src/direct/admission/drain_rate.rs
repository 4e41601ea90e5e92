//! Rate at which an entry sends prompt tokens to engines, from which the wait in its admission queue is
//! predicted.

use std::{collections::VecDeque, ops::Add, time::Duration};

use crate::time::Moment;

/// Time constant of the moving average.
const AVERAGING_TIME: Duration = Duration::from_secs(1);

/// Time within which [`MIN_SENT`] prompts must have been sent for the rate to be known.
const RECENT_TIME: Duration = Duration::from_secs(1);

/// Minimum number of recent prompts: the interval between two of them varies too much to predict a wait.
const MIN_SENT: usize = 4;

/// A number of prompt tokens.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct PromptTokens(pub u64);

impl Add for PromptTokens {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }
}

/// Prompt tokens per second.
#[derive(Debug, Clone, Copy, Default, PartialEq, PartialOrd)]
pub struct TokenRate(f64);

impl TokenRate {
    /// The rate in tokens per second.
    pub fn per_second(self) -> f64 {
        self.0
    }

    /// Time in which `tokens` are sent at this rate; `None` if the rate is zero and there are any.
    pub fn time_for(self, tokens: PromptTokens) -> Option<Duration> {
        if tokens.0 == 0 {
            return Some(Duration::ZERO);
        }
        let seconds = (self.0 > 0.0).then(|| tokens.0 as f64 / self.0)?;
        Some(Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX))
    }
}

/// Moving average of the prompt tokens sent per second while requests were waiting.
///
/// What is sent while no request waits shows how many requests arrived, not what engines can take, so only
/// time with waiting requests counts.
#[derive(Debug, Clone, Default)]
pub struct DrainRate {
    /// Prompt tokens sent while requests waited, decaying with the time in which requests wait.
    tokens: f64,
    /// Seconds in which requests waited, decaying in the same way.
    waited: f64,
    /// Until when `tokens` and `waited` are accounted for; `None` while no request waits.
    waiting_since: Option<Moment>,
    /// Times of the latest sends while requests waited.
    sent: VecDeque<Moment>,
}

impl DrainRate {
    /// Records that requests begin to wait.
    pub fn begin_waiting(&mut self, now: Moment) {
        if self.waiting_since.is_some() {
            return;
        }
        if !self.is_recent(now) {
            *self = Self::default();
        }
        self.waiting_since = Some(now);
    }

    /// Records that no request waits any more.
    pub fn end_waiting(&mut self, now: Moment) {
        (self.tokens, self.waited) = self.sums(now);
        self.waiting_since = None;
    }

    /// Records that a prompt of `tokens` is sent; has no effect while no request waits.
    pub fn record_sent(&mut self, now: Moment, tokens: PromptTokens) {
        if self.waiting_since.is_none() {
            return;
        }
        (self.tokens, self.waited) = self.sums(now);
        self.tokens += tokens.0 as f64;
        self.waiting_since = self.waiting_since.max(Some(now));
        if self.sent.len() == MIN_SENT {
            self.sent.pop_front();
        }
        self.sent.push_back(now);
    }

    /// The current rate; zero while it is unknown.
    pub fn rate(&self, now: Moment) -> TokenRate {
        let oldest = self.sent.front().filter(|_| self.sent.len() == MIN_SENT);
        if oldest.is_none_or(|oldest| now.since(*oldest) > RECENT_TIME) {
            return TokenRate::default();
        }
        let (tokens, waited) = self.sums(now);
        if waited > 0.0 { TokenRate(tokens / waited) } else { TokenRate::default() }
    }

    /// Whether a prompt has been sent within the time that counts for the rate.
    pub fn is_recent(&self, now: Moment) -> bool {
        self.sent.back().is_some_and(|last| now.since(*last) <= RECENT_TIME)
    }

    /// Decayed sums of the tokens sent and of the seconds in which requests waited.
    fn sums(&self, now: Moment) -> (f64, f64) {
        let averaging = AVERAGING_TIME.as_secs_f64();
        let passed = self.waiting_since.map_or(0.0, |since| now.since(since).as_secs_f64());
        let kept = (-passed / averaging).exp();
        (self.tokens * kept, self.waited * kept + averaging * (1.0 - kept))
    }
}
