//! What a run comes to.

use super::{
    MEAN_TOKENS, ORGANISATIONS, PREFILL_TIME, RoutingWorld, TOKEN_TIME, prefill_factor,
    token_factor,
};
use crate::routing::RoutingReport;

fn quantile(values: &mut [f64], part: f64) -> f64 {
    values.sort_by(f64::total_cmp);
    let at = ((values.len() as f64 * part) as usize).min(values.len().max(1) - 1);
    values.get(at).copied().unwrap_or(0.0)
}

impl RoutingWorld {
    pub(in crate::routing) fn report(&mut self) -> RoutingReport {
        let mut report = self.report.clone();
        report.lost = self.requests.iter().filter(|one| !one.done).count() as u64;
        report.p95_first_token_ms = quantile(&mut self.first_tokens, 0.95);
        report.p95_between_tokens_ms = quantile(&mut self.token_times, 0.95);
        let samples = self.imbalance.len().max(1) as f64;
        report.max_over_mean_load = self.imbalance.iter().sum::<f64>() / samples;
        report.smallest_share_ratio = self.smallest_share(report.whole);
        let token = TOKEN_TIME.as_secs_f64() * token_factor(1.0);
        let time = MEAN_TOKENS * token + PREFILL_TIME.as_secs_f64() * prefill_factor(1.0);
        report.whole_over_capacity = report.whole as f64 / (self.full_slots / time).max(1e-9);
        report.settled_seconds = self.settled();
        report
    }

    /// The worst ratio of what an organisation got to its part by max-min fairness.
    fn smallest_share(&self, whole: u64) -> f64 {
        let mut fair = vec![0.0; ORGANISATIONS];
        let mut open: Vec<usize> = (0..ORGANISATIONS).collect();
        let mut left = whole as f64;
        while !open.is_empty() {
            let part = left / open.len() as f64;
            let (small, large): (Vec<usize>, Vec<usize>) =
                open.iter().partition(|nth| self.offered_by[**nth] as f64 <= part);
            if small.is_empty() {
                large.iter().for_each(|nth| fair[*nth] = part);
                break;
            }
            for nth in small {
                fair[nth] = self.offered_by[nth] as f64;
                left -= fair[nth];
            }
            open = large;
        }
        let ratios = self.whole_by.iter().zip(fair).filter(|(_, fair)| *fair > 0.0);
        ratios.map(|(whole, fair)| *whole as f64 / fair).fold(f64::INFINITY, f64::min)
    }

    fn settled(&self) -> f64 {
        let Some(struck) = self.struck else { return 0.0 };
        let from = struck.seconds() as usize;
        let failing = |at: &usize| {
            let (came, failed) = self.failed_at[*at];
            f64::from(failed) > f64::from(came) * 0.01
        };
        let last = (from..self.options.seconds as usize).filter(failing).max();
        last.map_or(0.0, |last| (last + 1 - from) as f64)
    }
}
