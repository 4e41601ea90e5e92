//! Admission of new requests while engines are busy: which are refused, and in which order the others are
//! sent on.

pub mod caller;
pub mod drain_rate;
pub mod fair_share;
pub mod queue;
pub mod rank_shares;
pub mod return_time;
pub mod shedding;
pub mod urgency;
