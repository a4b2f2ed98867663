//! An endpoint's response body, checked for size, idle time and completeness.

use std::net::SocketAddr;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use celeryknot_core::{ErrorKind, SizeBytes};
use hyper::body::{Body, Frame, Incoming, SizeHint};

use crate::connection::{ConnectionPool, EndpointConnection};
use crate::framing::BodyFraming;
use crate::idle_timeout::IdleTimeout;

/// The reason why a response failed after its head.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AnswerError(pub ErrorKind);

impl std::fmt::Display for AnswerError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "the response body failed: {}", self.0)
    }
}

impl std::error::Error for AnswerError {}

/// The pool entry that a connection returns to after its response.
#[derive(Debug)]
pub struct PoolEntry {
    /// The thread's pool of idle connections.
    pub connections: ConnectionPool,
    /// The endpoint's address.
    pub address: SocketAddr,
}

/// The body of a response.
///
/// Dropping it before its end closes the connection, which cancels the request at the endpoint.
#[derive(Debug)]
pub struct AnswerBody {
    incoming: Incoming,
    framing: BodyFraming,
    connection: Option<EndpointConnection>,
    pool_entry: Option<PoolEntry>,
    remaining_bytes: u64,
    idle_timeout: IdleTimeout,
    has_ended: bool,
}

impl AnswerBody {
    /// Creates the body of a response that arrives on `connection`.
    pub fn new(
        incoming: Incoming,
        framing: BodyFraming,
        connection: EndpointConnection,
        pool_entry: Option<PoolEntry>,
        size_max: SizeBytes,
        idle_timeout: IdleTimeout,
    ) -> Self {
        Self {
            incoming,
            framing,
            connection: Some(connection),
            pool_entry,
            remaining_bytes: size_max.0,
            idle_timeout,
            has_ended: false,
        }
    }

    /// Returns how the endpoint marks the end of the body.
    pub fn framing(&self) -> BodyFraming {
        self.framing
    }

    fn poll_incoming(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let poll = Pin::new(&mut self.incoming).poll_frame(context);
        let Some(connection) = &mut self.connection else {
            return poll;
        };
        if poll.is_pending() {
            connection.poll_io(context);
            return Pin::new(&mut self.incoming).poll_frame(context);
        }
        poll
    }

    fn deduct_size(&mut self, frame: &Frame<Bytes>) -> Result<(), AnswerError> {
        let len = frame.data_ref().map_or(0, |data| data.len() as u64);
        match self.remaining_bytes.checked_sub(len) {
            Some(remaining_bytes) => {
                self.remaining_bytes = remaining_bytes;
                Ok(())
            }
            None => Err(AnswerError(ErrorKind::AnswerTooLarge)),
        }
    }

    fn finish(&mut self, context: &mut Context<'_>) {
        self.has_ended = true;
        let (Some(mut connection), Some(pool_entry)) =
            (self.connection.take(), self.pool_entry.take())
        else {
            return;
        };
        if !connection.sender().is_ready() {
            connection.poll_io(context);
        }
        if connection.is_open() && connection.sender().is_ready() {
            pool_entry.connections.put(pool_entry.address, connection);
        }
    }

    fn fail(&mut self, error: AnswerError) -> AnswerError {
        self.has_ended = true;
        self.connection = None;
        error
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = AnswerError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, AnswerError>>> {
        if self.has_ended {
            return Poll::Ready(None);
        }
        let this = &mut *self;
        let result = match this.poll_incoming(context) {
            Poll::Pending => match this.idle_timeout.poll(context) {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(()) => Err(AnswerError(ErrorKind::AnswerTimeout)),
            },
            Poll::Ready(None) => {
                this.finish(context);
                return Poll::Ready(None);
            }
            Poll::Ready(Some(Err(_))) => Err(AnswerError(ErrorKind::AnswerIncomplete)),
            Poll::Ready(Some(Ok(frame))) => this.deduct_size(&frame).map(|()| frame),
        };
        this.idle_timeout.reset();
        if result.is_ok() && this.incoming.is_end_stream() {
            // Consumers do not poll a body of known length again after its last byte.
            this.finish(context);
        }
        Poll::Ready(Some(result.map_err(|error| this.fail(error))))
    }

    fn is_end_stream(&self) -> bool {
        // The last poll returns the connection to the pool, so it must not be skipped.
        self.has_ended
    }

    fn size_hint(&self) -> SizeHint {
        self.incoming.size_hint()
    }
}
