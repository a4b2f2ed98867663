//! Response bodies that are forwarded to a caller or to another daemon.

use std::cell::Cell;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use bytes::Bytes;
use celeryknot_core::{DurationMs, ErrorKind, MonotonicMs, SizeBytes};
use celeryknot_endpoints::{AnswerBody, AnswerError, ChannelBody, IdleTimeout, RequestBody};
use celeryknot_gateway::clock::Clock;
use celeryknot_policy::admission::{FinishOutcome, FinishStatus};
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::client::conn::http2::SendRequest;

use super::failure::Failure;
use super::permit::Permit;
use super::shared::CountGuard;

/// Limits the responses that are buffered completely before their head is forwarded, so that a
/// broken one can be retried or refused with its error kind.
const BUFFERED_SIZE_MAX: SizeBytes = SizeBytes(64 << 10);

/// Source of the bytes of a response.
#[derive(Debug)]
pub(crate) enum AnswerSource {
    /// A buffer in memory.
    Buffered(Option<Bytes>),
    /// An endpoint that this daemon sent the request to.
    Endpoint(Box<EndpointBody<AnswerBody>>),
    /// An endpoint that this daemon owns, by way of a peer.
    Hop(Box<EndpointBody<PeerBody>>),
    /// The owner of the endpoint.
    Peer(Box<PeerBody>),
    /// A token stream that is resumed after a failure.
    Relay(Box<RelayBody>),
}

/// Response body that counts as in flight until it is dropped.
#[derive(Debug)]
pub(crate) struct DaemonBody {
    source: AnswerSource,
    in_flight: Option<CountGuard>,
}

impl DaemonBody {
    pub(crate) fn new(source: AnswerSource) -> Self {
        Self {
            source,
            in_flight: None,
        }
    }

    pub(crate) fn buffered(bytes: Bytes) -> Self {
        Self::new(AnswerSource::Buffered((!bytes.is_empty()).then_some(bytes)))
    }

    /// Returns whether the announced size is small enough to buffer the response completely.
    pub(crate) fn is_small(&self) -> bool {
        let announced_len = match &self.source {
            AnswerSource::Endpoint(body) => body.body.announced_len(),
            AnswerSource::Buffered(_)
            | AnswerSource::Hop(_)
            | AnswerSource::Peer(_)
            | AnswerSource::Relay(_) => self.size_hint().exact(),
        };
        announced_len.is_some_and(|size_bytes| size_bytes <= BUFFERED_SIZE_MAX.0)
    }

    pub(crate) fn with_in_flight(mut self, in_flight: CountGuard) -> Self {
        self.in_flight = Some(in_flight);
        self
    }
}

impl Body for DaemonBody {
    type Data = Bytes;
    type Error = AnswerError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, AnswerError>>> {
        match &mut self.source {
            AnswerSource::Buffered(bytes) => {
                Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes))))
            }
            AnswerSource::Endpoint(body) => Pin::new(body.as_mut()).poll_frame(context),
            AnswerSource::Hop(body) => Pin::new(body.as_mut()).poll_frame(context),
            AnswerSource::Peer(body) => Pin::new(body.as_mut()).poll_frame(context),
            AnswerSource::Relay(body) => body.poll_frame(context),
        }
    }

    fn is_end_stream(&self) -> bool {
        match &self.source {
            AnswerSource::Buffered(bytes) => bytes.is_none(),
            AnswerSource::Endpoint(body) => body.body.is_end_stream(),
            AnswerSource::Hop(body) => body.body.is_end_stream(),
            AnswerSource::Peer(body) => body.is_end_stream(),
            AnswerSource::Relay(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.source {
            AnswerSource::Buffered(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            AnswerSource::Endpoint(body) => body.body.size_hint(),
            AnswerSource::Hop(body) => body.body.size_hint(),
            AnswerSource::Peer(body) => body.size_hint(),
            AnswerSource::Relay(_) => SizeHint::default(),
        }
    }
}

/// Response body of an endpoint, with the request's permit if this daemon owns the endpoint.
#[derive(Debug)]
pub(crate) struct EndpointBody<B> {
    body: B,
    permit: Option<Permit>,
    clock: Clock,
    sent_at: MonotonicMs,
    complete_status: FinishStatus,
    first_byte_ms: Option<DurationMs>,
    frames: u32,
}

impl<B: Body> EndpointBody<B> {
    pub(crate) fn new(
        body: B,
        permit: Option<Permit>,
        clock: Clock,
        sent_at: MonotonicMs,
        complete_status: FinishStatus,
    ) -> Self {
        let mut endpoint_body = Self {
            body,
            permit,
            clock,
            sent_at,
            complete_status,
            first_byte_ms: None,
            frames: 0,
        };
        if endpoint_body.body.is_end_stream() {
            endpoint_body.set_complete_outcome();
        }
        endpoint_body
    }

    fn set_complete_outcome(&mut self) {
        let first_byte_ms = self
            .first_byte_ms
            .unwrap_or_else(|| self.clock.now() - self.sent_at);
        self.set_outcome(
            FinishOutcome::new(self.complete_status).with_answer(first_byte_ms, self.frames),
        );
    }

    fn set_outcome(&mut self, outcome: FinishOutcome) {
        if let Some(permit) = &mut self.permit {
            permit.set_outcome(outcome);
        }
    }
}

impl<B: Body<Data = Bytes, Error = AnswerError> + Unpin> Body for EndpointBody<B> {
    type Data = Bytes;
    type Error = AnswerError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, AnswerError>>> {
        let poll = Pin::new(&mut self.body).poll_frame(context);
        match &poll {
            Poll::Pending => {}
            Poll::Ready(Some(Ok(_))) => {
                self.frames += 1;
                if self.first_byte_ms.is_none() {
                    self.first_byte_ms = Some(self.clock.now() - self.sent_at);
                }
                if self.body.is_end_stream() {
                    self.set_complete_outcome();
                }
            }
            Poll::Ready(None) => self.set_complete_outcome(),
            Poll::Ready(Some(Err(error))) => {
                let outcome = FinishOutcome::new(Failure::from(error.0).finish_status());
                self.set_outcome(outcome);
            }
        }
        poll
    }
}

/// Time at which data was last received on a peer connection.
#[derive(Debug, Clone)]
pub(crate) struct LastReceived {
    at: Rc<Cell<MonotonicMs>>,
    /// When a connection to the peer last failed; shared by all connections to it.
    failed_at: Rc<Cell<MonotonicMs>>,
    clock: Clock,
}

impl LastReceived {
    /// Creates the time for a connection that has just been opened.
    pub(crate) fn new(clock: Clock, failed_at: Rc<Cell<MonotonicMs>>) -> Self {
        Self {
            at: Rc::new(Cell::new(clock.now())),
            failed_at,
            clock,
        }
    }

    pub(crate) fn refresh(&self) {
        self.at.set(self.clock.now());
    }

    /// Records that the connection failed, which forces a probe of each connection to the peer
    /// before its next use: they may have gone silent together.
    pub(crate) fn record_failure(&self) {
        self.failed_at.set(self.clock.now());
    }

    /// Returns whether data was received within this time, and no connection to the peer has
    /// failed since.
    pub(crate) fn is_recent(&self, within: DurationMs) -> bool {
        let at = self.at.get();
        at > self.failed_at.get() && self.clock.now() - at < within
    }
}

/// Response body that is received from the owner of the endpoint.
#[derive(Debug)]
pub(crate) struct PeerBody {
    incoming: Incoming,
    /// A connection without a sender counts as idle, and is not pinged, while it has one stream.
    _sender: SendRequest<RequestBody>,
    last_received: LastReceived,
    idle_timer: IdleTimeout,
    has_failed: bool,
}

impl PeerBody {
    pub(crate) fn new(
        incoming: Incoming,
        sender: SendRequest<RequestBody>,
        last_received: LastReceived,
        idle_timer: IdleTimeout,
    ) -> Self {
        Self {
            incoming,
            _sender: sender,
            last_received,
            idle_timer,
            has_failed: false,
        }
    }
}

impl Body for PeerBody {
    type Data = Bytes;
    type Error = AnswerError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, AnswerError>>> {
        if self.has_failed {
            return Poll::Ready(None);
        }
        let this = &mut *self;
        let result = match Pin::new(&mut this.incoming).poll_frame(context) {
            Poll::Pending => match this.idle_timer.poll(context) {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(()) => Err(AnswerError(ErrorKind::AnswerTimeout)),
            },
            Poll::Ready(None) => return Poll::Ready(None),
            Poll::Ready(Some(Err(_))) => Err(AnswerError(ErrorKind::AnswerIncomplete)),
            Poll::Ready(Some(Ok(frame))) => {
                this.last_received.refresh();
                Ok(frame)
            }
        };
        this.idle_timer.reset();
        if result.is_err() {
            this.has_failed = true;
            this.last_received.record_failure();
        }
        Poll::Ready(Some(result))
    }

    fn is_end_stream(&self) -> bool {
        self.incoming.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.incoming.size_hint()
    }
}

/// Body written by a task of this thread; dropping it cancels the task.
#[derive(Debug)]
pub(crate) struct RelayBody {
    body: ChannelBody,
    _task: smol::Task<()>,
}

impl RelayBody {
    pub(crate) fn new(body: ChannelBody, task: smol::Task<()>) -> Self {
        Self { body, _task: task }
    }

    fn poll_frame(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, AnswerError>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }
}

#[cfg(test)]
mod tests;
