//! Time limits for connections whose peer reads or sends too slowly.

use std::{
    future::Future,
    io,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
    time::Duration,
};

use headlatch_types::quantity::ByteRate;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    time::{Instant, Sleep, sleep_until},
};

use crate::progress::PeerProgress;

/// Limits on how slowly a peer may read and send.
#[derive(Debug, Clone, Copy)]
pub struct PeerLimits {
    /// Window over which a peer must read at the minimum rate while a write is pending.
    pub stall: Duration,
    /// Minimum rate of reading.
    pub min_read_rate: ByteRate,
    /// Time within which a request head must be complete, from its first byte.
    pub head_time: Duration,
}

/// The limit for which a connection was closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum PeerLimit {
    /// The peer read too slowly.
    #[error("write timed out: the peer reads too slowly")]
    ReadRate,
    /// A request head did not arrive in time.
    #[error("the request head was not received in time")]
    HeadTime,
}

impl PeerLimit {
    /// The limit that made a connection fail, if it was one of these.
    pub fn of(error: &hyper::Error) -> Option<Self> {
        let first = std::error::Error::source(error);
        let mut causes = std::iter::successors(first, |error| error.source());
        let io = causes.find_map(|error| error.downcast_ref::<io::Error>())?;
        io.get_ref()?.downcast_ref::<Self>().copied()
    }
}

/// A window in which a pending write has to advance.
#[derive(Debug)]
struct WriteWindow {
    end: Pin<Box<Sleep>>,
    written: u64,
}

/// A stream that fails once its peer reads or sends too slowly. Without it, a response that the peer does not read
/// would hold its buffers and its upstream connection indefinitely.
#[derive(Debug)]
pub struct StallGuard<S> {
    stream: S,
    limits: PeerLimits,
    progress: Arc<PeerProgress>,
    /// Set while a write is incomplete.
    window: Option<WriteWindow>,
    /// Set while a request head is incomplete, with the time of its first byte.
    head: Option<(Instant, Pin<Box<Sleep>>)>,
}

impl<S> StallGuard<S> {
    /// Guards `stream` and records its peer's progress in `progress`.
    pub fn new(stream: S, limits: PeerLimits, progress: Arc<PeerProgress>) -> Self {
        Self { stream, limits, progress, window: None, head: None }
    }

    /// Fails a write of `offered` bytes that is incomplete once the peer has read too little in a window.
    fn guard(
        &mut self,
        context: &mut Context<'_>,
        written: Poll<io::Result<usize>>,
        offered: usize,
    ) -> Poll<io::Result<usize>> {
        match &written {
            Poll::Ready(Ok(count)) => {
                self.progress.record_written(*count, *count == offered);
                match &mut self.window {
                    window if *count == offered => *window = None,
                    Some(window) => window.written += *count as u64,
                    None => {}
                }
                return written;
            }
            Poll::Ready(Err(_)) => return written,
            Poll::Pending => {}
        }
        let stall = self.limits.stall;
        self.progress.record_unread(Instant::now());
        let window = self.window.get_or_insert_with(|| WriteWindow {
            end: Box::pin(sleep_until(Instant::now() + stall)),
            written: 0,
        });
        while window.end.as_mut().poll(context).is_ready() {
            let due = self.limits.min_read_rate.bytes_per_second() as f64 * stall.as_secs_f64();
            if (window.written as f64) < due {
                return Poll::Ready(Err(io::Error::new(
                    io::ErrorKind::TimedOut,
                    PeerLimit::ReadRate,
                )));
            }
            window.written = 0;
            window.end.as_mut().reset(Instant::now() + stall);
        }
        Poll::Pending
    }

    /// Fails once a request head has been incomplete for too long.
    fn guard_head(&mut self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let Some(since) = self.progress.head_since() else {
            self.head = None;
            return Poll::Pending;
        };
        let end = since + self.limits.head_time;
        let (begun, timer) = self.head.get_or_insert_with(|| (since, Box::pin(sleep_until(end))));
        if *begun != since {
            *begun = since;
            timer.as_mut().reset(end);
        }
        match timer.as_mut().poll(context) {
            Poll::Pending => Poll::Pending,
            Poll::Ready(()) => {
                Poll::Ready(Err(io::Error::new(io::ErrorKind::TimedOut, PeerLimit::HeadTime)))
            }
        }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for StallGuard<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(context, buffer);
        let received = buffer.filled().len() - before;
        if received > 0 {
            self.progress.record_received(received);
        }
        match read {
            Poll::Pending => self.guard_head(context),
            Poll::Ready(_) => read,
        }
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for StallGuard<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.guard(context, written, bytes.len())
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let offered = parts.iter().map(|part| part.len()).sum();
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, parts);
        self.guard(context, written, offered)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        // A socket has nothing of its own to flush: whatever a write took is with the kernel.
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
