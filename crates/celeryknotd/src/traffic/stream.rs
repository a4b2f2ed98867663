//! Relays a token stream to the caller, and resumes it at another endpoint after a failure.

use std::sync::Arc;

use bytes::Bytes;
use celeryknot_core::{DurationMs, EndpointName, ErrorKind, Refusal};
use celeryknot_endpoints::{
    AnswerError, BodyWriter, SseEvent, SseParser, TokenEvent, channel_body, sse,
};
use celeryknot_policy::attempt::AttemptIndex;
use celeryknot_policy::direct::crash_suspects::BEGINNING_EVENTS_MAX;
use celeryknot_policy::stream::{StreamCursor, TokenAction};
use http_body_util::BodyExt;

use super::body::{AnswerSource, DaemonBody, RelayBody};
use super::context::ThreadContext;
use super::dispatch::{Dispatch, PlacedAnswer};
use super::shared::Shared;

/// Limits the chunks buffered for the caller before reading from the endpoint stops.
const BUFFERED_CHUNKS_MAX: usize = 4;

/// Limits the resumptions of one stream.
const RESUMES_MAX: u32 = 4;

/// Delay that lets the connection write the last event before the body is aborted.
const ABORT_DELAY: DurationMs = DurationMs(50);

/// Returns a body that relays the first response's stream and its resumptions.
pub(crate) fn relay(
    context: &ThreadContext,
    dispatch: Dispatch,
    placed: PlacedAnswer,
) -> DaemonBody {
    let (writer, body) = channel_body(BUFFERED_CHUNKS_MAX);
    let relay = Relay {
        dispatch,
        cursor: StreamCursor::new(),
        last_token: None,
        endpoint: placed.endpoint.clone(),
        events: 0,
        writer,
        shared: Arc::clone(&context.shared),
    };
    let task = context.executor.spawn(relay.run(placed));
    DaemonBody::new(AnswerSource::Relay(Box::new(RelayBody::new(body, task))))
}

/// Reason why the relay of one response ended.
enum RelayEnd {
    /// The stream is complete.
    Complete,
    /// The response broke.
    Broken(ErrorKind),
    /// The caller disconnected.
    CallerGone,
}

struct Relay {
    dispatch: Dispatch,
    cursor: StreamCursor,
    last_token: Option<TokenEvent>,
    /// The endpoint of the current answer, and the events received from it.
    endpoint: EndpointName,
    events: u32,
    writer: BodyWriter,
    shared: Arc<Shared>,
}

impl Relay {
    async fn run(mut self, first: PlacedAnswer) {
        let mut placed = first;
        loop {
            let attempt = placed.attempt;
            self.endpoint = placed.endpoint;
            self.events = 0;
            let mut end = self.relay_answer(placed.answer.body).await;
            if matches!(end, RelayEnd::Broken(_)) && self.has_last_token() {
                // Only the `[DONE]` marker is missing.
                end = self.finish().await;
            }
            let kind = match end {
                RelayEnd::Complete => return self.record_complete(attempt),
                RelayEnd::CallerGone => return,
                RelayEnd::Broken(kind) => kind,
            };
            let is_at_beginning = self.events <= BEGINNING_EVENTS_MAX;
            let may_resume = self
                .dispatch
                .record_broken_answer(attempt, &self.endpoint, kind, is_at_beginning)
                .await;
            if let Err(refusal) = may_resume {
                return self.abort(refusal).await;
            }
            placed = match self.resume(kind).await {
                Ok(placed) => placed,
                Err(refusal) => return self.abort(refusal).await,
            };
        }
    }

    fn has_last_token(&self) -> bool {
        self.last_token.as_ref().is_some_and(TokenEvent::is_last)
    }

    fn record_complete(&mut self, attempt: AttemptIndex) {
        self.dispatch.record_complete(attempt);
        if self.events <= BEGINNING_EVENTS_MAX {
            self.dispatch.record_sound_answer(&self.endpoint);
        }
        if let Some(usage) = self.last_token.as_ref().and_then(|token| token.usage) {
            self.dispatch.record_chat_usage(&self.endpoint, usage);
        }
    }

    async fn resume(&mut self, kind: ErrorKind) -> Result<PlacedAnswer, Refusal> {
        let index = self.cursor.resume(RESUMES_MAX).ok_or(Refusal::new(kind))?;
        self.shared.metrics.traffic.resumes.inc();
        let placed = self.dispatch.next_answer(Some(index)).await?;
        if is_stream(&placed.answer.head) {
            return Ok(placed);
        }
        Err(Refusal::new(ErrorKind::AnswerIncomplete))
    }

    async fn relay_answer(&mut self, mut body: DaemonBody) -> RelayEnd {
        let mut parser = SseParser::default();
        while let Some(frame) = body.frame().await {
            let frame = match frame {
                Ok(frame) => frame,
                Err(error) => return RelayEnd::Broken(error.0),
            };
            let Ok(data) = frame.into_data() else {
                continue;
            };
            if let Err(kind) = parser.push(&data) {
                return RelayEnd::Broken(kind);
            }
            while let Some(event) = parser.next_event() {
                if let Some(end) = self.handle_event(event).await {
                    return end;
                }
            }
        }
        // Without `[DONE]` the stream is incomplete, even if the body ended cleanly.
        RelayEnd::Broken(ErrorKind::AnswerIncomplete)
    }

    async fn handle_event(&mut self, event: SseEvent) -> Option<RelayEnd> {
        let (raw, token) = match event {
            SseEvent::Done => return Some(self.finish().await),
            SseEvent::Data { raw, token } => (raw, token),
        };
        self.events = self.events.saturating_add(1);
        if self.events == BEGINNING_EVENTS_MAX + 1 {
            self.dispatch.record_sound_answer(&self.endpoint);
        }
        if let Some(token) = token {
            match self.cursor.accept(token.token_index) {
                TokenAction::Pass => self.last_token = Some(token),
                TokenAction::Duplicate | TokenAction::AfterEnd => return None,
                TokenAction::Gap => return Some(RelayEnd::Broken(ErrorKind::AnswerIncomplete)),
            }
        }
        match self.writer.send(raw).await {
            Ok(()) => None,
            Err(_) => Some(RelayEnd::CallerGone),
        }
    }

    /// Ends the stream if its last token was relayed and the engine's token count matches.
    async fn finish(&mut self) -> RelayEnd {
        let usage = self.last_token.as_ref().and_then(|token| token.usage);
        let count = usage.map(|usage| u64::from(usage.completion_tokens));
        if !self.has_last_token() || !self.cursor.finish(count) {
            return RelayEnd::Broken(ErrorKind::AnswerIncomplete);
        }
        let done = Bytes::from_static(b"data: [DONE]\n\n");
        if self.writer.send(done).await.is_err() || self.writer.finish().await.is_err() {
            return RelayEnd::CallerGone;
        }
        RelayEnd::Complete
    }

    /// Ends the stream with an error, so that the caller can't mistake it for complete.
    async fn abort(self, refusal: Refusal) {
        let code = ErrorKind::AnswerIncomplete.code();
        let execution = ErrorKind::AnswerIncomplete.answer().execution;
        let event = format!(
            "data: {{\"error\": {{\"code\": \"{code}\", \"execution\": \"{execution}\"}}}}\n\n"
        );
        // A caller that disconnected needs no error.
        let _ = self.writer.send(Bytes::from(event)).await;
        // An abort discards data that the connection has not written yet.
        smol::Timer::after(ABORT_DELAY.as_std()).await;
        let _ = self.writer.fail(AnswerError(refusal.kind)).await;
    }
}

/// Returns whether a response is an event stream.
pub(crate) fn is_stream(head: &http::response::Parts) -> bool {
    head.status == http::StatusCode::OK && sse::is_event_stream(&head.headers)
}
