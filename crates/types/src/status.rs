//! Status of a failure domain, as written to the platform for operators.

use serde::{Deserialize, Serialize};

use crate::{
    fleet::SetKey,
    id::{BoxId, DomainId, ServiceName},
    quantity::ConfigRevision,
};

/// Prefix of the status objects' keys in the platform.
pub const STATUS_PREFIX: &str = "status/";

/// Status of one failure domain, as one of its entries sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DomainStatus {
    /// The failure domain.
    pub domain: DomainId,
    /// The entry that wrote this.
    pub writer: BoxId,
    /// When it was written, in Unix milliseconds.
    pub written_ms: u64,
    /// Every node of the domain.
    pub nodes: Vec<NodeStatus>,
}

/// Status of one node.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeStatus {
    /// Its box.
    #[serde(rename = "box")]
    pub id: BoxId,
    /// Revision in force there.
    pub revision: ConfigRevision,
    /// Whether it is draining.
    pub leaving: bool,
    /// Milliseconds since its last sign of life at the time of writing.
    pub silent_ms: u64,
    /// Status of its endpoint; none for an entry.
    pub endpoint: Option<EndpointStatus>,
}

/// Status of one endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointStatus {
    /// The plain service it serves; none for an engine.
    pub service: Option<ServiceName>,
    /// The weight set in use.
    pub serving: Option<SetKey>,
    /// The weight set that is being fetched.
    pub fetching: Option<SetKey>,
    /// Verified part of the fetched set, in thousandths.
    pub fetched_permille: u32,
    /// Rate of the transfer, in bytes a second.
    pub fetch_rate: u64,
    /// Requests in progress.
    pub in_progress: u32,
    /// Largest number of concurrent requests.
    pub slots: u32,
    /// Whether it responds to health checks.
    pub healthy: bool,
}
