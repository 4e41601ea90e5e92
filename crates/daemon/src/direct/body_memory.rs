//! Limits the total memory of the bodies that an entry buffers.

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

/// Divisor of an entry's memory that gives the budget for request bodies; response bodies have a
/// budget of the same size. The rest is for connections, the plan and the list of servers.
pub const BODY_MEMORY_DIVISOR: u64 = 5;

/// Memory budget for bodies.
#[derive(Debug, Clone)]
pub struct BodyMemory {
    permits: Arc<Semaphore>,
    /// Total number of permits.
    total_permits: u32,
}

/// A body with its share of the memory budget, which is released when the last clone is dropped.
#[derive(Debug, Clone, Default)]
pub struct HeldBody {
    /// Content of the body.
    pub bytes: Bytes,
    _permit: Option<Arc<OwnedSemaphorePermit>>,
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
    /// into the budget is refused before any of it is read.
    pub async fn read_request<B>(
        &self,
        parts: &Parts,
        mut body: B,
        max_bytes: usize,
        deadline: Instant,
    ) -> Result<HeldBody, ErrorResponse>
    where
        B: Body<Data = Bytes> + Unpin,
    {
        let too_long = || ErrorResponse::denied(StatusCode::PAYLOAD_TOO_LARGE, "body_too_long");
        let announced = announced_length(parts);
        if announced > max_bytes {
            return Err(too_long());
        }
        let mut reserved = permits(announced);
        let mut held = self.try_reserve(reserved)?;
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
            let needed = permits(bytes.len()).max(reserved);
            held = merge(held, self.try_reserve(needed - reserved)?);
            reserved = needed;
        }
        Ok(HeldBody { bytes: bytes.freeze(), _permit: held.map(Arc::new) })
    }

    /// Waits for `bytes` of the budget, or for the whole budget if that is smaller.
    pub async fn reserve(&self, bytes: usize) -> Option<OwnedSemaphorePermit> {
        let wanted = permits(bytes).min(self.total_permits);
        self.permits.clone().acquire_many_owned(wanted).await.ok()
    }

    fn try_reserve(&self, permits: u32) -> Result<Option<OwnedSemaphorePermit>, ErrorResponse> {
        if permits == 0 {
            return Ok(None);
        }
        let taken = self.permits.clone().try_acquire_many_owned(permits);
        taken.map(Some).map_err(|_| ErrorResponse::refused("memory_full", FULL_RETRY_AFTER))
    }
}

fn merge(
    held: Option<OwnedSemaphorePermit>,
    further: Option<OwnedSemaphorePermit>,
) -> Option<OwnedSemaphorePermit> {
    match (held, further) {
        (Some(mut held), Some(further)) => {
            held.merge(further);
            Some(held)
        }
        (held, further) => held.or(further),
    }
}

fn announced_length(parts: &Parts) -> usize {
    let length = parts.headers.get(header::CONTENT_LENGTH);
    length.and_then(|value| value.to_str().ok()?.parse().ok()).unwrap_or(0)
}
