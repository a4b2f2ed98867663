//! The body of an answer on its way to a caller.

use std::pin::Pin;
use std::task::{Context, Poll};

use async_channel::Receiver;
use bytes::Bytes;
use celeryknot_core::ErrorKind;
use celeryknot_core::timers::Sleep;
use celeryknot_endpoints::{AnswerBody, AnswerError};
use futures_lite::Stream;
use hyper::body::{Body, Frame, SizeHint};

use super::context::Started;
use super::serve::RequestEnd;
use crate::counted::Counted;

/// Where the bytes come from.
#[derive(Debug)]
pub(super) enum Source {
    /// Memory.
    Whole(Option<Bytes>),
    /// An endpoint.
    Endpoint {
        body: Box<AnswerBody>,
        /// Done when the final answer is due.
        overdue: Pin<Box<Sleep>>,
        /// Counts the request as there until the body is dropped.
        _started: Started,
    },
    /// A task that goes on at another endpoint where one breaks.
    Relay {
        pieces: Pin<Box<Receiver<Result<Bytes, AnswerError>>>>,
        _task: smol::Task<()>,
    },
}

/// The body of an answer, counted as in flight until it is dropped.
#[derive(Debug)]
pub(crate) struct GatewayBody {
    source: Source,
    in_flight: Option<Counted>,
    end: Option<RequestEnd>,
}

impl GatewayBody {
    pub(super) fn new(source: Source) -> Self {
        Self {
            source,
            in_flight: None,
            end: None,
        }
    }

    pub(super) fn whole(bytes: Bytes) -> Self {
        Self::new(Source::Whole((!bytes.is_empty()).then_some(bytes)))
    }

    /// Attaches what is to happen when the last byte has been taken, or the caller has left.
    pub(super) fn until(mut self, in_flight: Counted, end: RequestEnd) -> Self {
        self.in_flight = Some(in_flight);
        self.end = Some(end);
        self
    }

    /// Attaches what is to happen when a refusal has been taken.
    pub(super) fn until_sent(mut self, in_flight: Counted, end: RequestEnd) -> Self {
        self.in_flight = Some(in_flight);
        drop(end);
        self
    }

    fn note_end(&mut self, outcome: &'static str) {
        if let Some(end) = &mut self.end {
            end.set_outcome(outcome);
        }
    }
}

impl Body for GatewayBody {
    type Data = Bytes;
    type Error = AnswerError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, AnswerError>>> {
        let poll = match &mut self.source {
            Source::Whole(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Source::Endpoint { body, overdue, .. } => {
                match Pin::new(body.as_mut()).poll_frame(context) {
                    Poll::Pending if overdue.as_mut().poll(context).is_ready() => {
                        Poll::Ready(Some(Err(AnswerError(ErrorKind::AnswerTimeout))))
                    }
                    poll @ (Poll::Ready(_) | Poll::Pending) => poll,
                }
            }
            Source::Relay { pieces, .. } => pieces
                .as_mut()
                .poll_next(context)
                .map(|next| next.map(|piece| piece.map(Frame::data))),
        };
        match &poll {
            Poll::Ready(Some(Ok(_))) if self.is_end_stream() => self.note_end("answered"),
            Poll::Ready(None) => self.note_end("answered"),
            Poll::Ready(Some(Err(error))) => self.note_end(error.0.code()),
            Poll::Ready(Some(Ok(_))) | Poll::Pending => {}
        }
        poll
    }

    fn is_end_stream(&self) -> bool {
        match &self.source {
            Source::Whole(bytes) => bytes.is_none(),
            Source::Endpoint { body, .. } => body.is_end_stream(),
            Source::Relay { .. } => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.source {
            Source::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            Source::Endpoint { body, .. } => body.size_hint(),
            Source::Relay { .. } => SizeHint::default(),
        }
    }
}
