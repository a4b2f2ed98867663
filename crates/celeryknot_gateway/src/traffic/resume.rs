//! Answers that are streams of events; one that breaks goes on at another endpoint, if it may.

use async_channel::Sender;
use bytes::Bytes;
use celeryknot_core::{DurationMs, ErrorKind};
use celeryknot_endpoints::{AnswerError, EventSplitter, sse};
use celeryknot_policy::direct::SendFailure;
use futures_lite::future;
use http::Response;
use http_body_util::BodyExt;

use super::body::{GatewayBody, Source};
use super::forward::{Forward, keep_answer, pass_stream};
use super::send::Answered;
use crate::boundary::Boundary;

/// Events that wait for a caller who reads slowly.
const EVENTS_LEN_MAX: usize = 8;

/// Multiple of the longest pause that is on time after which a silent stream is given up.
const SILENT_PAUSES: u64 = 3;

/// Shortest silence after which a stream is given up for another endpoint.
const SILENT_MIN: DurationMs = DurationMs(800);

/// Builds the answer of a stream whose head has come.
pub(super) fn stream_answer<B: Boundary>(
    forward: Forward,
    answered: Answered,
) -> Response<GatewayBody> {
    if !forward.call.route.kind.is_repeatable() {
        return pass_stream::<B>(&forward, answered);
    }
    let head = answered.head.clone();
    let (pieces, received) = async_channel::bounded(EVENTS_LEN_MAX);
    let executor = forward.gateway.executor.clone();
    let relay = Relay {
        forward,
        pieces,
        last_event_id: None,
        events: 0,
    };
    let source = Source::Relay {
        pieces: Box::pin(received),
        _task: executor.spawn(relay.run::<B>(answered)),
    };
    let mut response = Response::from_parts(head, GatewayBody::new(source));
    keep_answer::<B>(&mut response);
    response
}

/// Passes whole events on, from one endpoint after the other.
struct Relay {
    forward: Forward,
    pieces: Sender<Result<Bytes, AnswerError>>,
    /// The id of the last event that was passed on.
    last_event_id: Option<String>,
    events: u64,
}

/// How the stream of one endpoint ended.
enum StreamEnd {
    Whole,
    CallerLeft,
    Failed(SendFailure),
}

impl Relay {
    async fn run<B: Boundary>(mut self, first: Answered) {
        let left_ms = self.forward.left_ms();
        let timers = self.forward.gateway.timers.clone();
        let pieces = self.pieces.clone();
        let relay = async { self.run_streams::<B>(first).await };
        let is_overdue = async {
            timers.after(left_ms).await;
            Some(ErrorKind::AnswerTimeout)
        };
        if let Some(kind) = future::or(relay, is_overdue).await {
            // A caller that has left needs no word of the failure.
            drop(pieces.send(Err(AnswerError(kind))).await);
        }
    }

    /// Runs until the stream is whole or can't go on; returns why it can't.
    async fn run_streams<B: Boundary>(&mut self, first: Answered) -> Option<ErrorKind> {
        let mut answered = first;
        loop {
            let failure = match self.pass_events(&mut answered).await {
                StreamEnd::Whole => {
                    answered.started.observe_success();
                    return None;
                }
                StreamEnd::CallerLeft => return None,
                StreamEnd::Failed(failure) => failure,
            };
            answered.started.observe_failure(failure);
            drop(answered);
            tracing::info!(
                request_id = self.forward.call.head.request_id,
                %failure,
                events = self.events,
                last_event_id = self.last_event_id,
                "stream broke"
            );
            let last_event_id = self.last_event_id.clone();
            if self.events > 0 && last_event_id.is_none() {
                // Another endpoint could only start over.
                return Some(ErrorKind::AnswerIncomplete);
            }
            match self.forward.go_on::<B>(failure, last_event_id).await {
                Ok(next) => {
                    self.forward.gateway.shared.metrics.resumes.inc();
                    answered = next;
                }
                Err(refusal) => return Some(refusal.kind),
            }
        }
    }

    async fn pass_events(&mut self, answered: &mut Answered) -> StreamEnd {
        let mut splitter = EventSplitter::default();
        loop {
            let frame = match self.next_frame(answered).await {
                Ok(Some(bytes)) => bytes,
                Ok(None) if splitter.has_rest() => return StreamEnd::Failed(SendFailure::Broken),
                Ok(None) => return StreamEnd::Whole,
                Err(failure) => return StreamEnd::Failed(failure),
            };
            if splitter.push(&frame).is_err() {
                return StreamEnd::Failed(SendFailure::Broken);
            }
            while let Some(event) = splitter.next_event() {
                if let Some(id) = sse::event_id(&event) {
                    self.last_event_id = Some(id.to_owned());
                }
                self.events += 1;
                if self.pieces.send(Ok(event)).await.is_err() {
                    return StreamEnd::CallerLeft;
                }
            }
        }
    }

    async fn next_frame(&self, answered: &mut Answered) -> Result<Option<Bytes>, SendFailure> {
        let frame = async {
            loop {
                let Some(frame) = answered.body.frame().await else {
                    return Ok(None);
                };
                let frame = frame.map_err(|_| SendFailure::Broken)?;
                if let Ok(data) = frame.into_data() {
                    return Ok(Some(data));
                }
            }
        };
        let silence = async {
            self.forward.gateway.timers.after(self.silence_max()).await;
            Err(SendFailure::Unanswered)
        };
        future::or(frame, silence).await
    }

    fn silence_max(&self) -> DurationMs {
        let pause_ms = self.forward.call.route.pause_objective_ms;
        let silent_ms = pause_ms.map_or(0, |pause_ms| pause_ms.0 * SILENT_PAUSES);
        DurationMs(silent_ms).max(SILENT_MIN)
    }
}
