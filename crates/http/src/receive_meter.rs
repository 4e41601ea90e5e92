//! Bounds what a peer may send that is neither a response nor part of one.
//!
//! An HTTP parser reads interim responses and leading zeros of a chunk size without end and keeps none of them, so that
//! a limit on memory does not stop them.

use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    task::{Context, Poll},
};

use bytes::Bytes;
use headlatch_types::quantity::ByteSize;
use http_body::{Body, Frame, SizeHint};
use hyper::body::Incoming;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Bytes received beyond the read buffer before a response head is complete, or that are no part of a body.
const FRAMING_BYTES: u64 = 64 << 10;

/// Read buffers full of a body that may be on their way to whoever reads it.
const BUFFERS_AHEAD: u64 = 4;

/// Bytes of framing that each piece of a body may have beyond that: the size of a chunk with its extensions.
const FRAMING_BYTES_PER_PIECE: u64 = 256;

/// A peer sent more bytes than belong to its response.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the peer sent {0} and no response")]
pub struct ReceiveExcess(ByteSize);

/// Counts the bytes received on a connection, and how many may be before the next part of a response is read.
#[derive(Debug)]
pub struct ReceiveMeter {
    received: AtomicU64,
    allowed: AtomicU64,
    /// Bytes that may be received ahead of what has been read of a response.
    ahead: u64,
}

impl ReceiveMeter {
    /// A meter of a connection with a read buffer of this size.
    pub fn new(read_buffer: ByteSize) -> Self {
        let ahead = BUFFERS_AHEAD * read_buffer.bytes() + FRAMING_BYTES;
        Self { received: AtomicU64::new(0), allowed: AtomicU64::new(ahead), ahead }
    }

    /// Begins a response, or its body.
    pub fn begin_part(&self) {
        let received = self.received.load(Ordering::Relaxed);
        self.allowed.store(received + self.ahead, Ordering::Relaxed);
    }

    /// Records that a piece of a body has been read.
    fn record_piece(&self, bytes: usize) {
        self.allowed.fetch_add(bytes as u64 + FRAMING_BYTES_PER_PIECE, Ordering::Relaxed);
    }

    fn record_received(&self, bytes: usize) -> Result<(), ReceiveExcess> {
        let received = self.received.fetch_add(bytes as u64, Ordering::Relaxed) + bytes as u64;
        match received <= self.allowed.load(Ordering::Relaxed) {
            true => Ok(()),
            false => Err(ReceiveExcess(ByteSize::from_bytes(self.ahead))),
        }
    }
}

/// A stream that fails once its peer has sent more than its meter allows.
#[derive(Debug)]
pub struct MeteredStream<S> {
    stream: S,
    meter: Arc<ReceiveMeter>,
}

impl<S> MeteredStream<S> {
    /// Counts what is received on `stream`.
    pub fn new(stream: S, meter: Arc<ReceiveMeter>) -> Self {
        Self { stream, meter }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for MeteredStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(context, buffer);
        if let Poll::Ready(Ok(())) = read {
            let received = buffer.filled().len() - before;
            self.meter.record_received(received).map_err(io::Error::other)?;
        }
        read
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for MeteredStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}

/// Body of a response, whose pieces count as received.
#[derive(Debug)]
pub struct ResponseBody {
    body: Incoming,
    meter: Arc<ReceiveMeter>,
}

impl ResponseBody {
    pub(crate) fn new(body: Incoming, meter: Arc<ReceiveMeter>) -> Self {
        Self { body, meter }
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let frame = Pin::new(&mut self.body).poll_frame(context);
        if let Poll::Ready(Some(Ok(frame))) = &frame
            && let Some(data) = frame.data_ref()
        {
            self.meter.record_piece(data.len());
        }
        frame
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
