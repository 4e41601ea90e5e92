//! The platform's object API and membership list, as headlatch uses them.

mod http;

use std::{future::Future, net::SocketAddr, pin::Pin, sync::Arc, time::Duration};

use headlatch_types::id::{BoxId, DomainId, RegionId};
use serde::{Deserialize, Serialize};

pub use http::HttpStore;

/// An object's value and version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ObjectValue {
    /// Version, which rises with every write.
    pub version: u64,
    /// The value.
    pub text: String,
}

/// When a write is to be carried out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteCondition {
    /// Only if there is no such object.
    Absent,
    /// Only if the object has this version.
    Version(u64),
    /// In any case.
    Always,
}

/// What is known of a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteOutcome {
    /// It took effect and gave the object this version.
    Written(u64),
    /// It did not take effect: the condition did not hold.
    Conflict,
    /// Nobody can tell; a read will.
    Unknown,
}

/// A call that the platform did not answer.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("the platform does not answer: {0}")]
pub struct StoreError(pub String);

/// One box as the platform lists it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedMember {
    /// Its id.
    #[serde(rename = "box")]
    pub id: BoxId,
    /// Its failure domain.
    pub domain: DomainId,
    /// Its region.
    pub region: RegionId,
    /// Where other nodes reach it.
    pub control: SocketAddr,
    /// Whether the platform is about to take it back.
    #[serde(default)]
    pub leaving: bool,
}

/// A future that a trait object returns.
pub type StoreFuture<'a, T> = Pin<Box<dyn Future<Output = T> + Send + 'a>>;

/// The platform's object API.
pub trait ObjectStore: Send + Sync + std::fmt::Debug {
    /// Reads an object.
    fn read<'a>(&'a self, key: &'a str)
    -> StoreFuture<'a, Result<Option<ObjectValue>, StoreError>>;
    /// Waits until an object has a version above `after`, for at most `wait`.
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
    /// Lists objects whose keys begin with `prefix`.
    fn list<'a>(
        &'a self,
        prefix: &'a str,
    ) -> StoreFuture<'a, Result<Vec<(String, ObjectValue)>, StoreError>>;
    /// Reads the membership list.
    fn members(&self) -> StoreFuture<'_, Result<Vec<ListedMember>, StoreError>>;
}

/// The object API shared by the parts of a process.
pub type SharedStore = Arc<dyn ObjectStore>;
