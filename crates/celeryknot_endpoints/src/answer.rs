//! An endpoint's response body, checked for size, idle time and completeness.

use std::error::Error;
use std::future::poll_fn;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use celeryknot_core::{ErrorKind, SizeBytes};
use http::{Method, Response, response};
use hyper::body::{Body, Frame, Incoming, SizeHint};

use crate::connection::{ConnectionPool, EndpointConnection};
use crate::framing::BodyFraming;
use crate::idle_timeout::IdleTimeout;
use crate::sse::{EventBoundary, is_event_stream};

/// Frames after which other tasks of the thread run.
///
/// The HTTP library takes frames for as long as there are any and its caller reads them.
const FRAMES_PER_YIELD: u32 = 64;

/// The reason why a response failed after its head.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AnswerError(pub ErrorKind);

impl std::fmt::Display for AnswerError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "the response body failed: {}", self.0)
    }
}

impl Error for AnswerError {}

/// The pool entry that a connection returns to after its response.
#[derive(Debug)]
pub struct PoolEntry {
    /// The thread's pool of idle connections.
    pub connections: ConnectionPool,
    /// The endpoint's address.
    pub address: SocketAddr,
}

/// A response body and what its head says about it.
#[derive(Debug)]
pub struct ReceivedBody {
    /// The body's bytes.
    pub incoming: Incoming,
    /// How the end of the body is marked.
    pub framing: BodyFraming,
    /// Whether the body is a stream of events, which must not end inside an event.
    pub is_event_stream: bool,
    /// The connection on which it arrives.
    pub connection: EndpointConnection,
}

impl ReceivedBody {
    /// Splits the response to a request with `method` into its head and its body.
    pub fn split(
        method: &Method,
        response: Response<Incoming>,
        connection: EndpointConnection,
    ) -> (response::Parts, Self) {
        let (head, incoming) = response.into_parts();
        let framing = BodyFraming::of(method, &head);
        let body = Self {
            incoming,
            framing,
            is_event_stream: is_event_stream(&head.headers),
            connection,
        };
        (head, body)
    }
}

/// The body of a response.
///
/// An event stream that ends inside an event fails, whatever its framing says. The end of a
/// close-delimited body is reported as its end, though the body may have been truncated.
///
/// Dropping it before its end closes the connection, which cancels the request at the endpoint.
#[derive(Debug)]
pub struct AnswerBody {
    incoming: Incoming,
    framing: BodyFraming,
    /// The position in the events of an event stream.
    event_boundary: Option<EventBoundary>,
    connection: Option<EndpointConnection>,
    pool_entry: Option<PoolEntry>,
    remaining_bytes: u64,
    idle_timeout: IdleTimeout,
    has_ended: bool,
    /// Whether the framing of the body can't be read.
    is_malformed: bool,
    /// What [`Self::check_beginning`] has read.
    first: Option<Result<Frame<Bytes>, AnswerError>>,
    frames_until_yield: u32,
}

impl AnswerBody {
    /// Creates the body of a response that has arrived.
    pub fn new(
        received: ReceivedBody,
        pool_entry: Option<PoolEntry>,
        size_max: SizeBytes,
        idle_timeout: IdleTimeout,
    ) -> Self {
        let ReceivedBody {
            incoming,
            framing,
            is_event_stream,
            connection,
        } = received;
        Self {
            incoming,
            framing,
            event_boundary: is_event_stream.then(EventBoundary::default),
            connection: Some(connection),
            pool_entry,
            remaining_bytes: size_max.0,
            idle_timeout,
            has_ended: false,
            is_malformed: false,
            first: None,
            frames_until_yield: FRAMES_PER_YIELD,
        }
    }

    /// Reads what has arrived of a chunked body, so that one whose framing can't be read from its
    /// first byte is known before its head is forwarded.
    ///
    /// # Errors
    ///
    /// `AnswerIncomplete` if the framing can't be read.
    pub async fn check_beginning(&mut self) -> Result<(), AnswerError> {
        if self.framing != BodyFraming::Chunked {
            return Ok(());
        }
        let first = poll_fn(|context| match Pin::new(&mut *self).poll_frame(context) {
            Poll::Pending => Poll::Ready(None),
            Poll::Ready(first) => Poll::Ready(first),
        });
        self.first = first.await;
        match self.is_malformed {
            true => Err(AnswerError(ErrorKind::AnswerIncomplete)),
            false => Ok(()),
        }
    }

    /// Returns how the endpoint marks the end of the body.
    pub fn framing(&self) -> BodyFraming {
        self.framing
    }

    /// Returns the number of complete events so far; 0 if the body isn't an event stream.
    pub fn events(&self) -> u32 {
        self.event_boundary
            .as_ref()
            .map_or(0, EventBoundary::events)
    }

    /// Returns the announced length of the body, if there is one.
    pub fn announced_len(&self) -> Option<u64> {
        self.incoming.size_hint().exact()
    }

    fn is_inside_event(&self) -> bool {
        self.event_boundary
            .as_ref()
            .is_some_and(EventBoundary::is_inside_event)
    }

    fn poll_incoming(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let mut poll = Pin::new(&mut self.incoming).poll_frame(context);
        let Some(connection) = &mut self.connection else {
            return poll;
        };
        if poll.is_pending() {
            connection.poll_io(context);
            poll = Pin::new(&mut self.incoming).poll_frame(context);
        }
        if poll.is_ready() {
            connection.start_part();
        }
        poll
    }

    fn check_frame(&mut self, frame: &Frame<Bytes>) -> Result<(), AnswerError> {
        let len = frame.data_ref().map_or(0, |data| data.len() as u64);
        if let (Some(boundary), Some(data)) = (&mut self.event_boundary, frame.data_ref()) {
            boundary.push(data);
        }
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
        if let Some(first) = self.first.take() {
            return Poll::Ready(Some(first));
        }
        if self.has_ended {
            return Poll::Ready(None);
        }
        let this = &mut *self;
        if this.frames_until_yield == 0 {
            this.frames_until_yield = FRAMES_PER_YIELD;
            context.waker().wake_by_ref();
            return Poll::Pending;
        }
        this.frames_until_yield -= 1;
        let result = match this.poll_incoming(context) {
            Poll::Pending => match this.idle_timeout.poll(context) {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(()) => Err(AnswerError(ErrorKind::AnswerTimeout)),
            },
            Poll::Ready(None) if this.is_inside_event() => {
                Err(AnswerError(ErrorKind::AnswerIncomplete))
            }
            Poll::Ready(None) => {
                this.finish(context);
                return Poll::Ready(None);
            }
            Poll::Ready(Some(Err(error))) => {
                this.is_malformed = is_malformed(&error);
                Err(AnswerError(ErrorKind::AnswerIncomplete))
            }
            Poll::Ready(Some(Ok(frame))) => this.check_frame(&frame).map(|()| frame),
        };
        this.idle_timeout.reset();
        if result.is_ok() && this.incoming.is_end_stream() && !this.is_inside_event() {
            // Consumers do not poll a body of known length again after its last byte.
            this.finish(context);
        }
        Poll::Ready(Some(result.map_err(|error| this.fail(error))))
    }

    fn is_end_stream(&self) -> bool {
        // The last poll returns the connection to the pool, so it must not be skipped.
        self.has_ended && self.first.is_none()
    }

    fn size_hint(&self) -> SizeHint {
        match self.event_boundary {
            // With its length, the last byte would complete the response before its end is checked.
            Some(_) => SizeHint::default(),
            None => self.incoming.size_hint(),
        }
    }
}

/// Returns whether the bytes of a body don't follow its framing, as opposed to their end.
fn is_malformed(error: &hyper::Error) -> bool {
    let cause = error.source().and_then(|it| it.downcast_ref::<io::Error>());
    cause.is_some_and(|it| {
        matches!(
            it.kind(),
            io::ErrorKind::InvalidInput | io::ErrorKind::InvalidData
        )
    })
}
