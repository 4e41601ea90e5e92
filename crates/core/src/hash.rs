//! Rendezvous hashing: every box ranks the same candidates in the same order by itself.

/// Mixes two keys into a score that looks random and is the same everywhere.
///
/// The mixing steps are those of SplitMix64 (Steele, Lea and Flood, 2014).
pub fn score(subject: u64, candidate: u64) -> u64 {
    let mut mixed = subject.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ candidate;
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

/// The candidate with the highest score for `subject`.
pub fn winner(subject: u64, candidates: impl Iterator<Item = u64>) -> Option<u64> {
    candidates.max_by_key(|candidate| (score(subject, *candidate), *candidate))
}

/// The candidates from the highest score for `subject` to the lowest.
pub fn ranking(subject: u64, candidates: impl Iterator<Item = u64>) -> Vec<u64> {
    let mut ranked: Vec<u64> = candidates.collect();
    ranked.sort_by_key(|candidate| std::cmp::Reverse((score(subject, *candidate), *candidate)));
    ranked
}
