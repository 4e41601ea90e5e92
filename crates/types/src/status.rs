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
    /// When it was written, in milliseconds since 1970.
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
    /// Whether it is about to leave.
    pub leaving: bool,
    /// Milliseconds since it was last heard of, when this was written.
    pub silent_ms: u64,
    /// What its endpoint does; none for an entry.
    pub endpoint: Option<EndpointStatus>,
}

/// Status of one endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointStatus {
    /// The plain service it serves; none for an engine.
    pub service: Option<ServiceName>,
    /// The set that serves.
    pub serving: Option<SetKey>,
    /// The set that is being brought in.
    pub fetching: Option<SetKey>,
    /// Part of it that is verified, in thousandths.
    pub fetched_permille: u32,
    /// Rate of the transfer, in bytes a second.
    pub fetch_rate: u64,
    /// Requests in progress.
    pub in_progress: u32,
    /// Requests it can run at the same time.
    pub slots: u32,
    /// Whether it answers.
    pub healthy: bool,
}
