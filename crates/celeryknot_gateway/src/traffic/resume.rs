//! Event stream responses; a broken stream resumes at another endpoint if the route permits.

use bytes::Bytes;
use celeryknot_core::{DurationMs, EndpointName, ErrorKind};
use celeryknot_endpoints::sse::{self, StreamPosition};
use celeryknot_endpoints::{AnswerError, BodyFraming, BodyWriter, EventSplitter, channel_body};
use celeryknot_policy::direct::AttemptFailure;
use futures_lite::future;
use http::Response;
use http_body_util::BodyExt;

use super::body::{BodySource, GatewayBody};
use super::forward::{Forward, PlacedAttempt, forward_stream, strip_response_headers};
use super::send::EndpointResponse;
use crate::platform_protocol::PlatformProtocol;

/// Events queued for a slow caller.
const EVENT_QUEUE_LEN_MAX: usize = 8;

/// Multiple of the route's pause objective after which another endpoint may take over a stream.
const SILENCE_MULTIPLE: u64 = 3;

/// Shortest silence after which another endpoint may take over a stream.
const SILENCE_MIN: DurationMs = DurationMs(800);

/// Builds the response for a stream whose head has arrived.
pub(super) fn build_stream_response<P: PlatformProtocol>(
    forward: Forward,
    endpoint_response: EndpointResponse,
) -> Response<GatewayBody> {
    if !forward.call.route.kind.is_repeatable() {
        return forward_stream::<P>(&forward, endpoint_response);
    }
    let head = endpoint_response.head.clone();
    let framing = endpoint_response.body.framing();
    let (writer, body) = channel_body(EVENT_QUEUE_LEN_MAX);
    let executor = forward.gateway.executor.clone();
    let relay = StreamRelay {
        forward,
        writer,
        framing,
        is_event_stream: sse::is_event_stream(&head.headers),
        position: StreamPosition::default(),
        events: 0,
    };
    let source = BodySource::Resumable {
        body,
        events: 0,
        _task: executor.spawn(relay.run::<P>(endpoint_response)),
    };
    let body = GatewayBody::new(source).with_framing(framing);
    let mut response = Response::from_parts(head, body);
    strip_response_headers::<P>(&mut response);
    response
}

/// Forwards complete events, from one endpoint after the other.
struct StreamRelay {
    forward: Forward,
    writer: BodyWriter,
    /// How the first endpoint marks the end, which decides the framing to the caller.
    framing: BodyFraming,
    /// Whether the first endpoint's response is declared as a stream of events.
    is_event_stream: bool,
    /// Where the stream can be resumed after the forwarded events.
    position: StreamPosition,
    events: u64,
}

/// How the whole stream ended.
enum RelayEnd {
    Complete,
    CallerDisconnected,
    Failed(ErrorKind),
}

/// How the stream of one endpoint ended.
enum StreamEnd {
    Complete,
    CallerDisconnected,
    Failed(AttemptFailure),
    /// The endpoint was silent, and its attempt is canceled in favor of this one.
    Replaced(Box<PlacedAttempt>),
}

/// The next part of an endpoint's stream.
enum NextPart {
    Data(Bytes),
    End,
    Failed(AttemptFailure),
    Replaced(Box<PlacedAttempt>),
}

impl StreamRelay {
    async fn run<P: PlatformProtocol>(mut self, first: EndpointResponse) {
        let remaining_ms = self.forward.remaining_ms();
        let timers = self.forward.gateway.timers.clone();
        let writer = self.writer.clone();
        let relay = async { self.run_streams::<P>(first).await };
        let on_deadline = async {
            timers.after(remaining_ms).await;
            RelayEnd::Failed(ErrorKind::AnswerTimeout)
        };
        let sent = match future::or(relay, on_deadline).await {
            RelayEnd::Complete => writer.finish().await,
            RelayEnd::Failed(kind) => writer.fail(AnswerError(kind)).await,
            RelayEnd::CallerDisconnected => return,
        };
        if sent.is_err() {
            let request_id = self.forward.call.head.request_id.as_str();
            tracing::debug!(
                request_id,
                "the caller disconnected before the end of its stream"
            );
        }
    }

    /// Runs until the stream is complete or can't be resumed.
    async fn run_streams<P: PlatformProtocol>(&mut self, first: EndpointResponse) -> RelayEnd {
        let mut endpoint_response = first;
        loop {
            let end = self.forward_events(&mut endpoint_response).await;
            let placed = match end {
                StreamEnd::Complete => {
                    endpoint_response.guard.observe_success();
                    let framing = endpoint_response.body.framing();
                    endpoint_response.watch.observe_end(framing);
                    return self.verify_end(framing);
                }
                StreamEnd::CallerDisconnected => return RelayEnd::CallerDisconnected,
                StreamEnd::Failed(failure) => {
                    endpoint_response.guard.observe_failure(failure);
                    if failure == AttemptFailure::Broken {
                        let crashed = endpoint_response.watch.check_break();
                        self.forward.may_crash_endpoints = crashed.await;
                    }
                    self.log_break(endpoint_response.guard.endpoint(), failure);
                    drop(endpoint_response);
                    if !self.can_resume() {
                        return RelayEnd::Failed(ErrorKind::AnswerIncomplete);
                    }
                    match self.forward.place_retry(failure) {
                        Ok(placed) => placed,
                        Err(refusal) => return RelayEnd::Failed(refusal.kind),
                    }
                }
                StreamEnd::Replaced(next) => {
                    let silent = endpoint_response.guard.endpoint();
                    self.log_break(silent, AttemptFailure::Unanswered);
                    endpoint_response.watch.observe_given_up();
                    // Cancels the silent attempt before the next one is sent.
                    drop(endpoint_response);
                    *next
                }
            };
            let resumed = self.forward.resume_stream::<P>(
                placed,
                self.position.last_event_id(),
                self.is_event_stream,
            );
            match resumed.await {
                Ok(next) => {
                    self.forward.gateway.shared.metrics.resumes.inc();
                    endpoint_response = next;
                }
                Err(refusal) => return RelayEnd::Failed(refusal.kind),
            }
        }
    }

    /// Fails a stream that may be truncated but that the caller would take for complete.
    fn verify_end(&self, framing: BodyFraming) -> RelayEnd {
        let is_unverified = framing == BodyFraming::CloseDelimited;
        let can_tell_caller = self.framing == BodyFraming::CloseDelimited;
        match is_unverified && !can_tell_caller {
            true => RelayEnd::Failed(ErrorKind::AnswerIncomplete),
            false => RelayEnd::Complete,
        }
    }

    /// Returns whether another endpoint can go on after the last forwarded event.
    ///
    /// Otherwise, it could only start over.
    fn can_resume(&self) -> bool {
        self.position != StreamPosition::Unknown
    }

    fn log_break(&self, endpoint: &EndpointName, failure: AttemptFailure) {
        tracing::info!(
            request_id = self.forward.call.head.request_id,
            %endpoint,
            %failure,
            events = self.events,
            last_event_id = self.position.last_event_id().map(tracing::field::display),
            can_resume = self.can_resume(),
            "stream broke"
        );
    }

    async fn forward_events(&mut self, endpoint_response: &mut EndpointResponse) -> StreamEnd {
        let mut splitter = EventSplitter::default();
        loop {
            let frame = match self.next_part(endpoint_response).await {
                NextPart::Data(bytes) => bytes,
                NextPart::End if splitter.has_partial_event() => {
                    return StreamEnd::Failed(AttemptFailure::Broken);
                }
                NextPart::End => return self.forward_rest(splitter).await,
                NextPart::Failed(failure) => return StreamEnd::Failed(failure),
                NextPart::Replaced(next) => return StreamEnd::Replaced(next),
            };
            if splitter.push(&frame).is_err() {
                return StreamEnd::Failed(AttemptFailure::Broken);
            }
            while let Some(event) = splitter.next_event() {
                self.position.advance(&event);
                self.events += 1;
                let endpoint = endpoint_response.guard.endpoint();
                self.forward
                    .bind_version(endpoint, &endpoint_response.version);
                endpoint_response.watch.observe_event();
                if self.writer.send(event).await.is_err() {
                    return StreamEnd::CallerDisconnected;
                }
            }
        }
    }

    /// Forwards the blank lines after the last event of a complete stream.
    async fn forward_rest(&self, mut splitter: EventSplitter) -> StreamEnd {
        let rest = splitter.take_rest();
        if rest.is_empty() || self.writer.send(rest).await.is_ok() {
            return StreamEnd::Complete;
        }
        StreamEnd::CallerDisconnected
    }

    async fn next_part(&mut self, endpoint_response: &mut EndpointResponse) -> NextPart {
        let (silence_ms, can_resume) = (self.silence_ms(), self.can_resume());
        let EndpointResponse { body, guard, .. } = endpoint_response;
        let part = async {
            loop {
                let data = match body.frame().await {
                    None => return NextPart::End,
                    Some(Err(_)) => return NextPart::Failed(AttemptFailure::Broken),
                    Some(Ok(frame)) => frame.into_data(),
                };
                if let Ok(data) = data {
                    return NextPart::Data(data);
                }
            }
        };
        let forward = &mut self.forward;
        let replaced = async {
            forward.gateway.timers.after(silence_ms).await;
            guard.observe_silence();
            if !can_resume {
                future::pending::<()>().await;
            }
            let next = forward.replace_silent_attempt(guard.endpoint(), silence_ms);
            NextPart::Replaced(Box::new(next.await))
        };
        future::or(part, replaced).await
    }

    /// Returns the silence after which another endpoint may take over.
    fn silence_ms(&self) -> DurationMs {
        let objective_ms = self.forward.call.route.pause_objective_ms;
        let silence_ms = objective_ms.map_or(0, |objective_ms| objective_ms.0 * SILENCE_MULTIPLE);
        DurationMs(silence_ms).max(SILENCE_MIN)
    }
}
