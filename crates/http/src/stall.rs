//! Write timeout for connections whose peer has stopped reading.

use std::{
    future::Future,
    io,
    pin::Pin,
    task::{Context, Poll},
    time::Duration,
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    time::{Sleep, sleep},
};

/// A stream whose writes fail once the peer has read nothing for the timeout. Without it, a response that the
/// peer does not read would hold its buffers and its upstream connection indefinitely.
#[derive(Debug)]
pub struct StallGuard<S> {
    stream: S,
    timeout: Duration,
    /// Set while a write is pending.
    deadline: Option<Pin<Box<Sleep>>>,
}

impl<S> StallGuard<S> {
    /// Guards `stream`; a write may be pending for `timeout`.
    pub fn new(stream: S, timeout: Duration) -> Self {
        Self { stream, timeout, deadline: None }
    }

    /// Fails a pending write once the timeout has passed.
    fn guard<T>(
        &mut self,
        context: &mut Context<'_>,
        written: Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        if written.is_ready() {
            self.deadline = None;
            return written;
        }
        let timeout = self.timeout;
        let deadline = self.deadline.get_or_insert_with(|| Box::pin(sleep(timeout)));
        match deadline.as_mut().poll(context) {
            Poll::Pending => Poll::Pending,
            Poll::Ready(()) => {
                let message = format!(
                    "write timed out: the peer read nothing for {} ms",
                    timeout.as_millis()
                );
                Poll::Ready(Err(io::Error::new(io::ErrorKind::TimedOut, message)))
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
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for StallGuard<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.guard(context, written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, parts);
        self.guard(context, written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let flushed = Pin::new(&mut self.stream).poll_flush(context);
        self.guard(context, flushed)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
