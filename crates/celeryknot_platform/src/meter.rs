//! Byte counters of sockets.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll};

use celeryknot_core::SizeBytes;
use futures_lite::{AsyncRead, AsyncWrite};

/// Counts the bytes of all sockets that share the meter.
#[derive(Debug, Default)]
pub struct ByteMeter {
    sent: AtomicU64,
    received: AtomicU64,
}

impl ByteMeter {
    /// Returns the bytes written so far.
    pub fn sent(&self) -> SizeBytes {
        SizeBytes(self.sent.load(Ordering::Relaxed))
    }

    /// Returns the bytes read so far.
    pub fn received(&self) -> SizeBytes {
        SizeBytes(self.received.load(Ordering::Relaxed))
    }
}

/// A stream that counts its bytes in a [`ByteMeter`].
#[derive(Debug)]
pub struct MeteredStream<S> {
    stream: S,
    meter: Arc<ByteMeter>,
}

impl<S> MeteredStream<S> {
    /// Wraps a stream.
    pub fn new(stream: S, meter: Arc<ByteMeter>) -> Self {
        Self { stream, meter }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for MeteredStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_read(context, buffer);
        if let Poll::Ready(Ok(len)) = result {
            self.meter.received.fetch_add(len as u64, Ordering::Relaxed);
        }
        result
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for MeteredStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(context, buffer);
        if let Poll::Ready(Ok(len)) = result {
            self.meter.sent.fetch_add(len as u64, Ordering::Relaxed);
        }
        result
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_close(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(context)
    }
}
