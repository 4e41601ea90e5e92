//! Rendezvous hashing: every box computes the same ranking of candidates without coordination.

/// Mixes two keys into a pseudorandom score that is the same on every box.
///
/// The mixing steps are those of SplitMix64 (Steele, Lea and Flood, 2014).
pub fn score(subject: u64, candidate: u64) -> u64 {
    let mut mixed = subject.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ candidate;
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

/// Returns the candidate with the highest score for `subject`.
pub fn winner(subject: u64, candidates: impl Iterator<Item = u64>) -> Option<u64> {
    candidates.max_by_key(|candidate| (score(subject, *candidate), *candidate))
}

/// Returns the candidates sorted by descending score for `subject`.
pub fn ranking(subject: u64, candidates: impl Iterator<Item = u64>) -> Vec<u64> {
    let mut ranked: Vec<u64> = candidates.collect();
    ranked.sort_by_key(|candidate| std::cmp::Reverse((score(subject, *candidate), *candidate)));
    ranked
}
