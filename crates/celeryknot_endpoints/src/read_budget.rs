//! Limits on the bytes that are read from a connection.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use smol::io::{AsyncRead, AsyncWrite};
use smol::net::TcpStream;

/// Bytes that one poll of a connection may read before other tasks run.
const READ_BYTES_PER_POLL: usize = 256 << 10;

/// Bytes that may be read between two parts of a response, its head or the data of its body.
///
/// Many times the size of a head and of the library's buffer.
const READ_BYTES_PER_PART: usize = 1 << 20;

/// The bytes that are left of each limit.
#[derive(Debug)]
struct BytesLeft {
    in_poll: Cell<usize>,
    in_part: Cell<usize>,
}

/// The bytes that may still be read from a connection.
#[derive(Debug, Clone)]
pub(crate) struct ReadBudget(Rc<BytesLeft>);

impl ReadBudget {
    pub(crate) fn new() -> Self {
        Self(Rc::new(BytesLeft {
            in_poll: Cell::new(READ_BYTES_PER_POLL),
            in_part: Cell::new(READ_BYTES_PER_PART),
        }))
    }

    /// Starts a poll.
    pub(crate) fn start_poll(&self) {
        self.0.in_poll.set(READ_BYTES_PER_POLL);
    }

    /// Starts the next part of a response.
    pub(crate) fn start_part(&self) {
        self.0.in_part.set(READ_BYTES_PER_PART);
    }

    fn deduct(&self, len: usize) {
        for left in [&self.0.in_poll, &self.0.in_part] {
            left.set(left.get().saturating_sub(len));
        }
    }
}

/// A connection whose reads are limited by a [`ReadBudget`].
///
/// The HTTP library reads for as long as bytes arrive that complete neither a head nor data, such as
/// informational responses or the leading zeros of a chunk's size: without limits, an endpoint that
/// sends them without end would keep the thread in one poll.
#[derive(Debug)]
pub(crate) struct BudgetedStream {
    stream: TcpStream,
    budget: ReadBudget,
}

impl BudgetedStream {
    pub(crate) fn new(stream: TcpStream, budget: ReadBudget) -> Self {
        Self { stream, budget }
    }
}

impl AsyncRead for BudgetedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        if self.budget.0.in_part.get() == 0 {
            let reason = "too many bytes without a response head or data";
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, reason)));
        }
        if self.budget.0.in_poll.get() == 0 {
            context.waker().wake_by_ref();
            return Poll::Pending;
        }
        let poll = Pin::new(&mut self.stream).poll_read(context, buffer);
        if let Poll::Ready(Ok(len)) = &poll {
            self.budget.deduct(*len);
        }
        poll
    }
}

impl AsyncWrite for BudgetedStream {
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

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_close(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(context)
    }
}
