//! How much slower a server is than configured, by its own report.
//!
//! Load pattern: servers of uneven speed. Some servers are several times slower than configured for
//! seconds, others pause for some hundred milliseconds; predictions from the configured figures would
//! keep sending them an even share of the requests.
//!
//! Response times are not used: single late responses, and delays common to all servers, marked even
//! servers as slow, and the agent beside a server knows its pace sooner.

use headlatch_types::{pace::ServerPace, traffic::ServerId};

mod publisher;

pub use publisher::PacePublisher;

/// Factor up to which a server counts as being as fast as configured: in a fleet of even servers,
/// responses differ by that much.
const EVEN_FACTOR: f64 = 1.25;

/// Largest factor that is applied to predictions.
const MAX_FACTOR: f64 = 10.0;

/// A server that has become slow or has recovered.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SpeedChange {
    /// The server.
    pub server: ServerId,
    /// Its current factor; [`ServerPace::NOMINAL`] if it has recovered.
    pub factor: ServerPace,
}

/// The factor by which predictions for a server with this pace are multiplied; `None` if it is as fast
/// as configured.
pub fn slow_factor(pace: ServerPace) -> Option<ServerPace> {
    let factor = ServerPace::try_from(pace.factor().min(MAX_FACTOR)).ok()?;
    (factor.factor() > EVEN_FACTOR).then_some(factor)
}
