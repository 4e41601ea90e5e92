//! The distribution of the share to shed over urgency ranks.

use std::time::Duration;

use googletest::prelude::*;
use headlatch_core::{
    direct::admission::{
        rank_shares::{MAX_RANK_SHARE, OfferedTokens},
        urgency::{UrgencyRank, UrgencyRanks},
    },
    time::Moment,
};
use proptest::prelude::*;

#[path = "support/priorities.rs"]
mod priorities;

use priorities::plan;

const NOW: Moment = Moment::ZERO;

fn rank(index: usize) -> UrgencyRank {
    UrgencyRank::new(index)
}

/// Tokens offered by each rank, all at once.
fn offered(tokens: &[u64]) -> OfferedTokens {
    let mut offered = OfferedTokens::default();
    for (index, tokens) in tokens.iter().enumerate().filter(|(_, tokens)| **tokens > 0) {
        offered.record(NOW, rank(index), *tokens);
    }
    offered
}

/// Shares of the ranks 0, 1 and 2 in thousandths.
fn shares(offered: &OfferedTokens, total: f64) -> [u32; 3] {
    [0, 1, 2].map(|index| (offered.share_of(rank(index), total) * 1000.0).round() as u32)
}

/// Guards against urgent requests that are shed while less urgent ones could still make room.
#[gtest]
fn less_urgent_ranks_are_shed_first_up_to_two_thirds() {
    let offered = offered(&[300, 200, 500]);
    expect_that!(shares(&offered, 0.0), eq([0, 0, 0]));
    expect_that!(shares(&offered, 0.25), eq([0, 0, 500]));
    expect_that!(shares(&offered, 0.4), eq([0, 333, 667]));
    expect_that!(shares(&offered, 0.6), eq([444, 667, 667]));
    expect_that!(shares(&offered, 0.8), eq([800, 800, 800]));
    expect_that!(shares(&offered, 1.0), eq([1000, 1000, 1000]));
}

/// Guards against a division by zero, or a starved rank, where a rank or all ranks have not been observed.
#[gtest]
fn ranks_without_requests_are_no_obstacle() {
    expect_that!(shares(&OfferedTokens::default(), 0.3), eq([300, 300, 300]));
    expect_that!(shares(&offered(&[0, 100, 0]), 0.3), eq([0, 300, 667]));
    expect_that!(shares(&offered(&[0, 0, 100]), 0.3), eq([0, 0, 300]));
    // Requests without a prompt are shed like others.
    let mut offered = OfferedTokens::default();
    offered.record(NOW, rank(1), 0);
    expect_that!(shares(&offered, 0.3), eq([0, 300, 667]));
}

/// Guards against a distribution that follows the load of long ago, or clocks that stand still.
#[gtest]
fn old_tokens_are_forgotten_within_seconds() {
    let mut offered = offered(&[0, 0, 1_000]);
    let later = NOW + Duration::from_secs(20);
    offered.record(later, rank(0), 1_000);
    expect_that!(shares(&offered, 0.5)[0], ge(495));
    offered.record(NOW, rank(0), 1_000);
    expect_that!(shares(&offered, 0.5)[0], ge(495));
}

/// Guards against tokens of a rank that no longer exists, which nobody could be shed for, and against loss of
/// what is known of the ranks that stay.
#[gtest]
fn a_newer_plan_discards_ranks_that_no_longer_exist() {
    let before = UrgencyRanks::new(&plan(&[0, 1, 2], &[None]), "llm");
    // Route priority 0 is gone; 1 and 2 are the ranks 0 and 1 now.
    let after = UrgencyRanks::new(&plan(&[1, 2, 3], &[None]), "llm");
    let moved = offered(&[300, 200, 500]).with_ranks(&before, &after);
    expect_that!(moved, eq(&offered(&[200, 500])));
    expect_that!(moved.with_ranks(&after, &after), eq(&moved));
    // With a further organisation, the levels of those that stay move.
    let wider = UrgencyRanks::new(&plan(&[1, 2, 3], &[Some(0), None]), "llm");
    expect_that!(moved.with_ranks(&after, &wider), eq(&offered(&[0, 0, 0, 200, 500])));
}

/// Guards against lost or doubled tokens where more than ten urgencies share the last rank.
#[gtest]
fn urgencies_that_share_a_rank_share_its_tokens() {
    let routes: Vec<u8> = (0..12).collect();
    let before = UrgencyRanks::new(&plan(&routes, &[None]), "llm");
    let tokens = [10, 10, 10, 10, 10, 10, 10, 10, 10, 300];
    let observed = offered(&tokens);
    expect_that!(observed.with_ranks(&before, &before), eq(&observed));
    let after = UrgencyRanks::new(&plan(&[9, 10], &[None]), "llm");
    expect_that!(observed.with_ranks(&before, &after), eq(&offered(&[100, 100])));
}

proptest! {
    /// Guards against shedding more or less in total than asked, a less urgent rank that is spared before a
    /// more urgent one, and a rank that loses more than two thirds while others have not.
    #[test]
    fn the_total_is_kept_and_urgency_is_respected(
        tokens in prop::collection::vec(0_u64..100_000, 10),
        total in 0.0_f64..=1.0,
    ) {
        let sum: u64 = tokens.iter().sum();
        prop_assume!(sum > 0);
        let offered = offered(&tokens);
        let shares: Vec<f64> =
            (0..10).map(|index| offered.share_of(rank(index), total)).collect();
        let shed: f64 =
            tokens.iter().zip(&shares).map(|(tokens, share)| *tokens as f64 * share).sum();
        prop_assert!((shed / sum as f64 - total).abs() < 1e-9, "{shares:?}");
        prop_assert!(shares.windows(2).all(|pair| pair[0] <= pair[1] + 1e-9), "{shares:?}");
        prop_assert!(shares.iter().all(|share| *share <= MAX_RANK_SHARE.max(total)), "{shares:?}");
    }
}
