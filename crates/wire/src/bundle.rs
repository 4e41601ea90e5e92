//! What a relay of a failure domain tells in one datagram.

use super::notice::PeerNotice;

/// The living members of one failure domain, column by column.
#[derive(Clone, PartialEq, ::prost::Message)]
pub struct BundleRoster {
    /// Key of the failure domain.
    #[prost(fixed32, tag = "1")]
    pub domain: u32,
    /// Addresses one after the other: the bytes of an IPv4 number, then the port.
    #[prost(bytes = "vec", tag = "2")]
    pub addresses: Vec<u8>,
    /// For each member, the time since it was heard, in hundredths of a second, times two; one more
    /// for an agent.
    #[prost(uint32, repeated, tag = "3")]
    pub ages: Vec<u32>,
}

/// A notice that is handed on.
#[derive(Clone, PartialEq, ::prost::Message)]
pub struct BundleNotice {
    /// The notice.
    #[prost(message, optional, tag = "1")]
    pub notice: Option<PeerNotice>,
    /// Time since its sender was heard, in milliseconds.
    #[prost(uint32, tag = "2")]
    pub age_ms: u32,
}

/// What the entries of a failure domain say of a server that is about to change.
#[derive(Clone, PartialEq, ::prost::Message)]
pub struct BundleDrain {
    /// Its address.
    #[prost(bytes = "vec", tag = "1")]
    pub server: Vec<u8>,
    /// Entries that have not confirmed that they send it nothing more.
    #[prost(uint32, tag = "2")]
    pub unconfirmed: u32,
    /// Requests that have not begun there.
    #[prost(uint32, tag = "3")]
    pub waiting: u32,
    /// Streams that nobody could go on with if they were cut now.
    #[prost(uint32, tag = "4")]
    pub kept: u32,
}

/// What a relay tells.
#[derive(Clone, PartialEq, ::prost::Message)]
pub struct PeerBundle {
    /// Where the relay hears notices.
    #[prost(bytes = "vec", tag = "1")]
    pub from: Vec<u8>,
    /// Key of its failure domain.
    #[prost(fixed32, tag = "2")]
    pub domain: u32,
    /// Who lives.
    #[prost(message, repeated, tag = "3")]
    pub rosters: Vec<BundleRoster>,
    /// Notices that are handed on.
    #[prost(message, repeated, tag = "4")]
    pub notices: Vec<BundleNotice>,
    /// What entries say of servers that are about to change.
    #[prost(message, repeated, tag = "5")]
    pub drains: Vec<BundleDrain>,
    /// Relays of other failure domains that it hears itself; the domain is not said.
    #[prost(message, optional, tag = "6")]
    pub hears: Option<BundleRoster>,
}
