//! Event stream responses; a broken stream resumes at another endpoint if the route permits.

use async_channel::Sender;
use bytes::Bytes;
use celeryknot_core::{DurationMs, ErrorKind};
use celeryknot_endpoints::{AnswerError, EventSplitter, sse};
use celeryknot_policy::direct::AttemptFailure;
use futures_lite::future;
use http::Response;
use http_body_util::BodyExt;

use super::body::{BodySource, GatewayBody};
use super::forward::{Forward, forward_stream, strip_response_headers};
use super::send::EndpointResponse;
use crate::platform_protocol::PlatformProtocol;

/// Events queued for a slow caller.
const EVENT_QUEUE_LEN_MAX: usize = 8;

/// Multiple of the route's pause objective after which a silent stream times out.
const STREAM_TIMEOUT_MULTIPLE: u64 = 3;

/// Shortest silence after which a stream times out and resumes at another endpoint.
const STREAM_TIMEOUT_MIN: DurationMs = DurationMs(800);

/// Builds the response for a stream whose head has arrived.
pub(super) fn build_stream_response<P: PlatformProtocol>(
    forward: Forward,
    endpoint_response: EndpointResponse,
) -> Response<GatewayBody> {
    if !forward.call.route.kind.is_repeatable() {
        return forward_stream::<P>(&forward, endpoint_response);
    }
    let head = endpoint_response.head.clone();
    let (chunks, received) = async_channel::bounded(EVENT_QUEUE_LEN_MAX);
    let executor = forward.gateway.executor.clone();
    let relay = StreamRelay {
        forward,
        chunks,
        last_event_id: None,
        events: 0,
    };
    let source = BodySource::Resumable {
        chunks: Box::pin(received),
        _task: executor.spawn(relay.run::<P>(endpoint_response)),
    };
    let mut response = Response::from_parts(head, GatewayBody::new(source));
    strip_response_headers::<P>(&mut response);
    response
}

/// Forwards complete events, from one endpoint after the other.
struct StreamRelay {
    forward: Forward,
    chunks: Sender<Result<Bytes, AnswerError>>,
    /// The id of the last forwarded event.
    last_event_id: Option<String>,
    events: u64,
}

/// How the stream of one endpoint ended.
enum StreamEnd {
    Complete,
    CallerDisconnected,
    Failed(AttemptFailure),
}

impl StreamRelay {
    async fn run<P: PlatformProtocol>(mut self, first: EndpointResponse) {
        let remaining_ms = self.forward.remaining_ms();
        let timers = self.forward.gateway.timers.clone();
        let chunks = self.chunks.clone();
        let relay = async { self.run_streams::<P>(first).await };
        let on_deadline = async {
            timers.after(remaining_ms).await;
            Some(ErrorKind::AnswerTimeout)
        };
        if let Some(kind) = future::or(relay, on_deadline).await {
            // Fails only if the caller has disconnected; no error needs to be reported then.
            drop(chunks.send(Err(AnswerError(kind))).await);
        }
    }

    /// Runs until the stream is complete, or returns why it can't be resumed.
    async fn run_streams<P: PlatformProtocol>(
        &mut self,
        first: EndpointResponse,
    ) -> Option<ErrorKind> {
        let mut endpoint_response = first;
        loop {
            let failure = match self.forward_events(&mut endpoint_response).await {
                StreamEnd::Complete => {
                    endpoint_response.guard.observe_success();
                    return None;
                }
                StreamEnd::CallerDisconnected => return None,
                StreamEnd::Failed(failure) => failure,
            };
            endpoint_response.guard.observe_failure(failure);
            drop(endpoint_response);
            tracing::info!(
                request_id = self.forward.call.head.request_id,
                %failure,
                events = self.events,
                last_event_id = self.last_event_id,
                "stream broke"
            );
            let last_event_id = self.last_event_id.clone();
            if self.events > 0 && last_event_id.is_none() {
                // Without an event id, another endpoint could only start over.
                return Some(ErrorKind::AnswerIncomplete);
            }
            let placed = match self.forward.place_retry(failure) {
                Ok(placed) => placed,
                Err(refusal) => return Some(refusal.kind),
            };
            let resumed = self
                .forward
                .resume_stream::<P>(placed, last_event_id.as_deref());
            match resumed.await {
                Ok(next) => {
                    self.forward.gateway.shared.metrics.resumes.inc();
                    endpoint_response = next;
                }
                Err(refusal) => return Some(refusal.kind),
            }
        }
    }

    async fn forward_events(&mut self, endpoint_response: &mut EndpointResponse) -> StreamEnd {
        let mut splitter = EventSplitter::default();
        loop {
            let frame = match self.next_frame(endpoint_response).await {
                Ok(Some(bytes)) => bytes,
                Ok(None) if splitter.has_partial_event() => {
                    return StreamEnd::Failed(AttemptFailure::Broken);
                }
                Ok(None) => return StreamEnd::Complete,
                Err(failure) => return StreamEnd::Failed(failure),
            };
            if splitter.push(&frame).is_err() {
                return StreamEnd::Failed(AttemptFailure::Broken);
            }
            while let Some(event) = splitter.next_event() {
                if let Some(id) = sse::event_id(&event) {
                    self.last_event_id = Some(id.to_owned());
                }
                self.events += 1;
                if self.chunks.send(Ok(event)).await.is_err() {
                    return StreamEnd::CallerDisconnected;
                }
            }
        }
    }

    async fn next_frame(
        &self,
        endpoint_response: &mut EndpointResponse,
    ) -> Result<Option<Bytes>, AttemptFailure> {
        let frame = async {
            loop {
                let Some(frame) = endpoint_response.body.frame().await else {
                    return Ok(None);
                };
                let frame = frame.map_err(|_| AttemptFailure::Broken)?;
                if let Ok(data) = frame.into_data() {
                    return Ok(Some(data));
                }
            }
        };
        let silence = async {
            self.forward
                .gateway
                .timers
                .after(self.stream_timeout())
                .await;
            Err(AttemptFailure::Unanswered)
        };
        future::or(frame, silence).await
    }

    fn stream_timeout(&self) -> DurationMs {
        let objective_ms = self.forward.call.route.pause_objective_ms;
        let timeout_ms =
            objective_ms.map_or(0, |objective_ms| objective_ms.0 * STREAM_TIMEOUT_MULTIPLE);
        DurationMs(timeout_ms).max(STREAM_TIMEOUT_MIN)
    }
}
