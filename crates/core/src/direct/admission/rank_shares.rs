//! Distributes the share of requests to shed over urgency ranks, the least urgent first.
//!
//! Handles load bursts of kinds that differ in urgency: those who can wait make room first, but no
//! rank is starved while others are served in full.

use std::time::Duration;

use super::urgency::{RANK_COUNT, UrgencyRank, UrgencyRanks};
use crate::time::Moment;

/// Largest share of its requests that a rank loses before more urgent ranks have lost as much.
pub const MAX_RANK_SHARE: f64 = 2.0 / 3.0;

/// Time constant of the observed prompt tokens by rank: shorter than a load burst, and long enough that an
/// entry with a dozen requests a second sees about 40 of them, from which ranks can be told apart.
const OBSERVED_TIME: Duration = Duration::from_secs(3);

/// Prompt tokens offered recently by rank, as sums that decay over [`OBSERVED_TIME`].
#[derive(Debug, Clone, Default, PartialEq)]
pub struct OfferedTokens {
    tokens: [f64; RANK_COUNT],
    updated: Moment,
}

impl OfferedTokens {
    /// Records a request with a prompt of `tokens`.
    pub fn record(&mut self, now: Moment, rank: UrgencyRank, tokens: u64) {
        let passed = now.since(self.updated).as_secs_f64() / OBSERVED_TIME.as_secs_f64();
        let kept = (-passed).exp();
        self.updated = self.updated.max(now);
        self.tokens.iter_mut().for_each(|sum| *sum *= kept);
        // A request without a prompt counts as a request all the same.
        self.tokens[rank.index()] += tokens.max(1) as f64;
    }

    /// The share of requests of `rank` to shed, from 0 to 1, so that `total` of all offered prompt
    /// tokens are shed. It is never larger than that of a less urgent rank.
    pub fn share_of(&self, rank: UrgencyRank, total: f64) -> f64 {
        let sum: f64 = self.tokens.iter().sum();
        if sum <= 0.0 || total >= MAX_RANK_SHARE {
            // All ranks have lost their largest share: what is left is taken evenly.
            return total;
        }
        let less_urgent: f64 = self.tokens[rank.index() + 1..].iter().sum();
        let rest = total - less_urgent / sum * MAX_RANK_SHARE;
        let own = self.tokens[rank.index()] / sum;
        // Without requests of this rank, a new one loses the most, or nothing if the others lose enough.
        if rest <= 0.0 { 0.0 } else { (rest / own).min(MAX_RANK_SHARE) }
    }

    /// The sums under a newer plan, whose ranks are `after` in place of `before`. Sums of urgencies that no
    /// longer exist are discarded; ranks of several urgencies are split evenly among them.
    pub fn with_ranks(&self, before: &UrgencyRanks, after: &UrgencyRanks) -> Self {
        let mut counts = [0.0; RANK_COUNT];
        before.levels().iter().for_each(|level| counts[before.rank(*level).index()] += 1.0);
        let mut tokens = [0.0; RANK_COUNT];
        let kept = before.levels().iter().filter(|level| after.levels().contains(level));
        for level in kept {
            let old = before.rank(*level).index();
            tokens[after.rank(*level).index()] += self.tokens[old] / counts[old];
        }
        Self { tokens, updated: self.updated }
    }
}
