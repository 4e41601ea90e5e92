//! Limits the total memory of the bodies that an entry holds.

use std::{sync::Arc, time::Duration};

use bytes::{Bytes, BytesMut};
use headlatch_types::quantity::ByteSize;
use http::{StatusCode, header, request::Parts};
use http_body::Body;
use http_body_util::BodyExt;
use tokio::{
    sync::{OwnedSemaphorePermit, Semaphore},
    time::Instant,
};

use super::answer::ErrorResponse;

/// Bytes per semaphore permit.
const PERMIT_BYTES: usize = 1 << 10;

/// `Retry-After` when the memory for bodies is used up.
const FULL_RETRY_AFTER: Duration = Duration::from_millis(700);

/// Time that a connection which is being closed takes to release what it holds.
const RELEASE_TIME: Duration = Duration::from_millis(20);

/// Refusal cause: the memory for bodies is used up.
pub(super) const MEMORY_FULL: &str = "memory_full";

/// Memory budget for bodies.
#[derive(Debug, Clone)]
pub struct BodyMemory {
    permits: Arc<Semaphore>,
    /// Total number of permits.
    total_permits: u32,
}

/// A share of the budget, which is released when this is dropped.
#[derive(Debug)]
pub struct MemoryShare {
    permit: OwnedSemaphorePermit,
}

/// A body with its share of the memory budget, which is released when the last clone is dropped.
#[derive(Debug, Clone, Default)]
pub struct HeldBody {
    /// Content of the body.
    pub bytes: Bytes,
    _share: Option<Arc<MemoryShare>>,
}

impl HeldBody {
    /// A body that holds `share`.
    pub fn new(bytes: Bytes, share: Option<Arc<MemoryShare>>) -> Self {
        Self { bytes, _share: share }
    }
}

impl AsRef<[u8]> for HeldBody {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

fn permits(bytes: usize) -> u32 {
    bytes.div_ceil(PERMIT_BYTES).min(u32::MAX as usize) as u32
}

impl BodyMemory {
    /// Creates a budget of `size` for all bodies together.
    pub fn new(size: ByteSize) -> Self {
        let total_permits = u32::try_from(size.bytes() / PERMIT_BYTES as u64).unwrap_or(u32::MAX);
        let permits = (total_permits as usize).min(Semaphore::MAX_PERMITS);
        Self { permits: Arc::new(Semaphore::new(permits)), total_permits }
    }

    /// Reads a request body of at most `max_bytes`. A body with a declared length that does not fit
    /// into the budget is refused before any of it is read, unless others can `give_way`.
    pub async fn read_request<B>(
        &self,
        parts: &Parts,
        mut body: B,
        max_bytes: usize,
        deadline: Instant,
        give_way: impl Fn() -> bool,
    ) -> Result<HeldBody, ErrorResponse>
    where
        B: Body<Data = Bytes> + Unpin,
    {
        let full = || ErrorResponse::refused(MEMORY_FULL, FULL_RETRY_AFTER);
        let too_long = || ErrorResponse::denied(StatusCode::PAYLOAD_TOO_LARGE, "body_too_long");
        let announced = announced_length(parts);
        if announced > max_bytes {
            return Err(too_long());
        }
        let mut share = None;
        if announced > 0 {
            share = Some(self.reserve(announced, &give_way).await.ok_or_else(full)?);
        }
        let mut bytes = BytesMut::with_capacity(announced);
        loop {
            let frame = tokio::time::timeout_at(deadline, body.frame()).await;
            let late = |_| ErrorResponse::denied(StatusCode::REQUEST_TIMEOUT, "body_too_slow");
            let Some(frame) = frame.map_err(late)? else { break };
            let broken = |_| ErrorResponse::denied(StatusCode::BAD_REQUEST, "body_broken");
            let Ok(data) = frame.map_err(broken)?.into_data() else { continue };
            if bytes.len() + data.len() > max_bytes {
                return Err(too_long());
            }
            bytes.extend_from_slice(&data);
            let reserved = share.as_ref().map_or(0, MemoryShare::bytes).max(announced);
            if bytes.len() > reserved {
                let more = self.reserve(bytes.len() - reserved, &give_way).await;
                MemoryShare::merge(&mut share, more.ok_or_else(full)?);
            }
        }
        Ok(HeldBody::new(bytes.freeze(), share.map(Arc::new)))
    }

    /// Reserves `bytes` of the budget, or the whole budget if that is smaller. While there is not enough, one after
    /// the other `give_way`s; `None` once nobody does any more.
    pub async fn reserve(&self, bytes: usize, give_way: impl Fn() -> bool) -> Option<MemoryShare> {
        let wanted = permits(bytes).min(self.total_permits);
        loop {
            if let Ok(permit) = self.permits.clone().try_acquire_many_owned(wanted) {
                return Some(MemoryShare { permit });
            }
            if !give_way() {
                return None;
            }
            let released = self.permits.clone().acquire_many_owned(wanted);
            if let Ok(Ok(permit)) = tokio::time::timeout(RELEASE_TIME, released).await {
                return Some(MemoryShare { permit });
            }
        }
    }

    /// Reserves `bytes` that are not necessary: leaves half of the budget to others.
    pub fn try_reserve_spare(&self, bytes: usize) -> Option<MemoryShare> {
        let wanted = permits(bytes);
        let left = self.permits.available_permits().checked_sub(wanted as usize)?;
        if left < self.total_permits as usize / 2 {
            return None;
        }
        let permit = self.permits.clone().try_acquire_many_owned(wanted).ok()?;
        Some(MemoryShare { permit })
    }
}

impl MemoryShare {
    /// Size of the share.
    pub fn bytes(&self) -> usize {
        self.permit.num_permits() * PERMIT_BYTES
    }

    /// Adds `more` to a share.
    pub fn merge(share: &mut Option<Self>, more: Self) {
        match share {
            Some(share) => share.permit.merge(more.permit),
            None => *share = Some(more),
        }
    }
}

fn announced_length(parts: &Parts) -> usize {
    let length = parts.headers.get(header::CONTENT_LENGTH);
    length.and_then(|value| value.to_str().ok()?.parse().ok()).unwrap_or(0)
}
