//! The manifest of a version that is kept in pieces, as one box hands it to another.

use bytes::Bytes;

/// What the origin says of a version's pieces.
#[derive(Clone, PartialEq, ::prost::Message)]
pub struct PieceList {
    /// The version.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// Size of a piece.
    #[prost(uint32, tag = "2")]
    pub piece_bytes: u32,
    /// Layers of the model.
    #[prost(uint32, tag = "3")]
    pub layers: u32,
    /// Digests of all pieces, one after the other, 32 bytes each.
    #[prost(bytes = "bytes", tag = "4")]
    pub digests: Bytes,
}
