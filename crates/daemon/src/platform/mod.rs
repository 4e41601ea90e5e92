//! Client interface to the platform's object store and member list.

mod http;

use std::{future::Future, net::SocketAddr, pin::Pin, sync::Arc, time::Duration};

use headlatch_types::{
    InputError,
    id::{BoxId, DomainId, RegionId},
};
use serde::{Deserialize, Serialize};

pub use http::HttpStore;

/// Value and version of an object.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ObjectValue {
    /// Version; increases with every write.
    pub version: u64,
    /// The value.
    pub text: String,
}

/// Precondition of a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteCondition {
    /// Only if the object does not exist.
    Absent,
    /// Only if the object has this version.
    Version(u64),
    /// Unconditionally.
    Always,
}

/// Outcome of a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The write took effect and created this version.
    Written(u64),
    /// The write did not take effect: the precondition failed.
    Conflict,
    /// It is unknown whether the write took effect; a read can tell.
    Unknown,
}

/// A failed call to the platform.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("the platform does not answer: {0}")]
pub struct StoreError(pub String);

/// An entry of the platform's member list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedMember {
    /// Box id.
    #[serde(rename = "box")]
    pub id: BoxId,
    /// Failure domain.
    pub domain: DomainId,
    /// Region.
    pub region: RegionId,
    /// Control address.
    pub control: SocketAddr,
    /// Whether the platform is about to reclaim the box.
    #[serde(default)]
    pub leaving: bool,
}

/// Rows of a list, each read by itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedRows<T> {
    /// The rows that could be read.
    pub rows: Vec<T>,
    /// Why the others could not be read, each with its position as path.
    pub unreadable: Vec<InputError>,
}

/// Boxed future returned by [`ObjectStore`] methods.
pub type StoreFuture<'a, T> = Pin<Box<dyn Future<Output = T> + Send + 'a>>;

/// The platform's object API.
pub trait ObjectStore: Send + Sync + std::fmt::Debug {
    /// Reads an object.
    fn read<'a>(&'a self, key: &'a str)
    -> StoreFuture<'a, Result<Option<ObjectValue>, StoreError>>;
    /// Waits up to `wait` for the object to have a version above `after`.
    fn watch<'a>(
        &'a self,
        key: &'a str,
        after: u64,
        wait: Duration,
    ) -> StoreFuture<'a, Result<Option<ObjectValue>, StoreError>>;
    /// Writes an object.
    fn write<'a>(
        &'a self,
        key: &'a str,
        condition: WriteCondition,
        text: String,
    ) -> StoreFuture<'a, Result<WriteOutcome, StoreError>>;
    /// Lists the objects whose keys start with `prefix`.
    fn list<'a>(
        &'a self,
        prefix: &'a str,
    ) -> StoreFuture<'a, Result<ListedRows<(String, ObjectValue)>, StoreError>>;
    /// Reads the member list.
    fn members(&self) -> StoreFuture<'_, Result<ListedRows<ListedMember>, StoreError>>;
}

/// An object store shared by the components of a process.
pub type SharedStore = Arc<dyn ObjectStore>;
