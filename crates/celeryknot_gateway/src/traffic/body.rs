//! The body of a response to a caller.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use celeryknot_core::ErrorKind;
use celeryknot_core::timers::Sleep;
use celeryknot_endpoints::{AnswerBody, AnswerError, BodyFraming, ChannelBody};
use hyper::body::{Body, Frame, SizeHint};

use super::context::InFlightGuard;
use super::crash_watch::AnswerWatch;
use super::serve::{ANSWERED, RequestLog};
use crate::count_guard::CountGuard;

/// The source of a response body.
#[derive(Debug)]
pub(super) enum BodySource {
    /// Bytes in memory.
    Buffered(Option<Bytes>),
    /// The response of one endpoint.
    Endpoint {
        body: Box<AnswerBody>,
        /// Completes at the request's deadline.
        deadline: Pin<Box<Sleep>>,
        watch: Box<AnswerWatch>,
        /// Counts the request as in flight at the endpoint until the body is dropped.
        _guard: InFlightGuard,
    },
    /// The response to an attempt for another daemon.
    Hop {
        body: Box<AnswerBody>,
        /// Completes at the request's deadline.
        deadline: Pin<Box<Sleep>>,
        /// Counts an attempt for another daemon until the body is dropped.
        _count: CountGuard,
    },
    /// A task that resumes a broken stream at another endpoint.
    Resumable {
        body: ChannelBody,
        /// Forwarded events.
        events: u32,
        _task: smol::Task<()>,
    },
}

/// A response body; its request counts as in flight until the body is dropped.
#[derive(Debug)]
pub(crate) struct GatewayBody {
    source: BodySource,
    /// How the endpoint marked the end of the body; `None` for a response of this daemon.
    framing: Option<BodyFraming>,
    in_flight: Option<CountGuard>,
    request_log: Option<RequestLog>,
}

impl GatewayBody {
    pub(super) fn new(source: BodySource) -> Self {
        Self {
            source,
            framing: None,
            in_flight: None,
            request_log: None,
        }
    }

    pub(super) fn buffered(bytes: Bytes) -> Self {
        Self::new(BodySource::Buffered((!bytes.is_empty()).then_some(bytes)))
    }

    /// Sets how the endpoint marked the end of the body.
    pub(super) fn with_framing(mut self, framing: BodyFraming) -> Self {
        self.framing = Some(framing);
        self
    }

    pub(super) fn framing(&self) -> Option<BodyFraming> {
        self.framing
    }

    /// Holds the in-flight count and the log line until the body ends or the caller disconnects.
    pub(super) fn hold_until_end(mut self, in_flight: CountGuard, request_log: RequestLog) -> Self {
        self.in_flight = Some(in_flight);
        self.request_log = Some(request_log);
        if self.is_end_stream() {
            // The HTTP library does not poll an empty body.
            self.record_outcome(ANSWERED);
        }
        self
    }

    /// Holds the in-flight count until the body is dropped.
    pub(super) fn hold_in_flight(mut self, in_flight: CountGuard) -> Self {
        self.in_flight = Some(in_flight);
        self
    }

    /// Holds the in-flight count until a refusal is sent; writes the log line now.
    pub(super) fn hold_until_sent(self, in_flight: CountGuard, request_log: RequestLog) -> Self {
        drop(request_log);
        self.hold_in_flight(in_flight)
    }

    fn record_outcome(&mut self, outcome: &'static str) {
        let events = self.events();
        if let Some(request_log) = &mut self.request_log {
            request_log.set_outcome(outcome);
            request_log.set_events(events);
        }
    }

    /// Returns the number of events that the caller got; 0 if the body isn't an event stream.
    fn events(&self) -> u32 {
        match &self.source {
            BodySource::Endpoint { body, .. } => body.events(),
            BodySource::Resumable { events, .. } => *events,
            BodySource::Buffered(_) | BodySource::Hop { .. } => 0,
        }
    }
}

type FramePoll = Poll<Option<Result<Frame<Bytes>, AnswerError>>>;

/// Polls a body, which fails at the deadline; returns whether it did.
fn poll_until(
    body: &mut AnswerBody,
    deadline: &mut Pin<Box<Sleep>>,
    context: &mut Context<'_>,
) -> (FramePoll, bool) {
    let poll = Pin::new(body).poll_frame(context);
    if poll.is_pending() && deadline.as_mut().poll(context).is_ready() {
        let timed_out = AnswerError(ErrorKind::AnswerTimeout);
        return (Poll::Ready(Some(Err(timed_out))), true);
    }
    (poll, false)
}

impl Body for GatewayBody {
    type Data = Bytes;
    type Error = AnswerError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, AnswerError>>> {
        let poll = match &mut self.source {
            BodySource::Buffered(bytes) => {
                Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes))))
            }
            BodySource::Endpoint {
                body,
                deadline,
                watch,
                ..
            } => {
                let (poll, has_timed_out) = poll_until(body, deadline, context);
                if !has_timed_out {
                    watch.observe_poll(&poll, body.framing());
                }
                poll
            }
            BodySource::Hop { body, deadline, .. } => poll_until(body, deadline, context).0,
            BodySource::Resumable { body, events, .. } => {
                let poll = Pin::new(body).poll_frame(context);
                if matches!(poll, Poll::Ready(Some(Ok(_)))) {
                    *events = events.saturating_add(1);
                }
                poll
            }
        };
        match &poll {
            Poll::Ready(Some(Ok(_))) if self.is_end_stream() => self.record_outcome(ANSWERED),
            Poll::Ready(None) => self.record_outcome(ANSWERED),
            Poll::Ready(Some(Err(error))) => self.record_outcome(error.0.code()),
            Poll::Ready(Some(Ok(_))) | Poll::Pending => {}
        }
        poll
    }

    fn is_end_stream(&self) -> bool {
        match &self.source {
            BodySource::Buffered(bytes) => bytes.is_none(),
            BodySource::Endpoint { body, .. } | BodySource::Hop { body, .. } => {
                body.is_end_stream()
            }
            BodySource::Resumable { .. } => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.source {
            BodySource::Buffered(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            BodySource::Endpoint { body, .. } | BodySource::Hop { body, .. } => body.size_hint(),
            BodySource::Resumable { .. } => SizeHint::default(),
        }
    }
}
