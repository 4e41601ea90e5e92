//! Admission of new requests while engines are busy: which are refused, and in which order the others are
//! sent on.

pub mod fair_share;
pub mod rank_shares;
pub mod shedding;
pub mod urgency;
