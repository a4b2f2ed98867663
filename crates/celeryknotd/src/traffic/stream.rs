//! Relays a token stream to the caller, and resumes it at another endpoint after a failure.

use std::sync::Arc;

use async_channel::Sender;
use bytes::Bytes;
use celeryknot_core::{DurationMs, EndpointName, ErrorKind, Refusal};
use celeryknot_endpoints::{AnswerError, SseEvent, SseParser, TokenEvent};
use celeryknot_policy::attempt::AttemptIndex;
use celeryknot_policy::stream::{StreamCursor, TokenVerdict};
use http_body_util::BodyExt;

use super::body::{AnswerSource, DaemonBody, RelayBody};
use super::context::ThreadContext;
use super::dispatch::{Dispatch, Placed};
use super::shared::Shared;

/// Limits the chunks that wait for the caller; at the limit the endpoint is no longer read.
const PIECES_MAX: usize = 4;

/// Limits the resumptions of one stream.
const RESUMES_MAX: u32 = 4;

/// Delay that lets the connection write the last event before the body is aborted.
const ABORT_PAUSE: DurationMs = DurationMs(50);

/// Returns a body that relays the stream of the first response and of those that resume it.
pub(crate) fn relay(context: &ThreadContext, dispatch: Dispatch, placed: Placed) -> DaemonBody {
    let (pieces, received) = async_channel::bounded(PIECES_MAX);
    let relay = Relay {
        dispatch,
        cursor: StreamCursor::new(),
        last: None,
        pieces,
        shared: Arc::clone(&context.shared),
    };
    let task = context.executor.spawn(relay.run(placed));
    DaemonBody::new(AnswerSource::Relay(Box::new(RelayBody::new(
        received, task,
    ))))
}

/// Reason why the relay of one response ended.
enum SourceEnd {
    /// The stream is complete.
    Whole,
    /// The response broke.
    Broken(ErrorKind),
    /// The caller disconnected.
    CallerGone,
}

struct Relay {
    dispatch: Dispatch,
    cursor: StreamCursor,
    last: Option<TokenEvent>,
    pieces: Sender<Result<Bytes, AnswerError>>,
    shared: Arc<Shared>,
}

impl Relay {
    async fn run(mut self, first: Placed) {
        let mut placed = first;
        loop {
            let endpoint = placed.endpoint.clone();
            let attempt = placed.attempt;
            let mut end = self.pass_on(placed.answered.body).await;
            if matches!(end, SourceEnd::Broken(_)) && self.has_last_token() {
                // Only the `[DONE]` marker is missing.
                end = self.finish().await;
            }
            let kind = match end {
                SourceEnd::Whole => return self.remember(attempt, &endpoint),
                SourceEnd::CallerGone => return,
                SourceEnd::Broken(kind) => kind,
            };
            if let Err(refusal) = self.dispatch.note_broken(attempt, &endpoint, kind) {
                return self.abort(refusal).await;
            }
            placed = match self.resume(kind).await {
                Ok(placed) => placed,
                Err(refusal) => return self.abort(refusal).await,
            };
        }
    }

    fn has_last_token(&self) -> bool {
        self.last.as_ref().is_some_and(TokenEvent::is_last)
    }

    fn remember(&mut self, attempt: AttemptIndex, endpoint: &EndpointName) {
        self.dispatch.note_whole(attempt);
        if let Some(usage) = self.last.as_ref().and_then(|token| token.usage) {
            self.dispatch.remember(endpoint, usage);
        }
    }

    async fn resume(&mut self, kind: ErrorKind) -> Result<Placed, Refusal> {
        let index = self.cursor.resume(RESUMES_MAX).ok_or(Refusal::new(kind))?;
        self.shared.metrics.traffic.resumes.inc();
        let placed = self.dispatch.next_answer(Some(index)).await?;
        if is_stream(&placed.answered.head) {
            return Ok(placed);
        }
        Err(Refusal::new(ErrorKind::AnswerIncomplete))
    }

    async fn pass_on(&mut self, mut body: DaemonBody) -> SourceEnd {
        let mut parser = SseParser::default();
        while let Some(frame) = body.frame().await {
            let frame = match frame {
                Ok(frame) => frame,
                Err(error) => return SourceEnd::Broken(error.0),
            };
            let Ok(data) = frame.into_data() else {
                continue;
            };
            if let Err(kind) = parser.push(&data) {
                return SourceEnd::Broken(kind);
            }
            while let Some(event) = parser.next_event() {
                if let Some(end) = self.take(event).await {
                    return end;
                }
            }
        }
        // Without `[DONE]` the stream is incomplete, even if the body ended cleanly.
        SourceEnd::Broken(ErrorKind::AnswerIncomplete)
    }

    async fn take(&mut self, event: SseEvent) -> Option<SourceEnd> {
        let (raw, token) = match event {
            SseEvent::Done => return Some(self.finish().await),
            SseEvent::Data { raw, token } => (raw, token),
        };
        if let Some(token) = token {
            match self.cursor.accept(token.token_index) {
                TokenVerdict::Pass => self.last = Some(token),
                TokenVerdict::Duplicate | TokenVerdict::AfterEnd => return None,
                TokenVerdict::Gap => return Some(SourceEnd::Broken(ErrorKind::AnswerIncomplete)),
            }
        }
        match self.pieces.send(Ok(raw)).await {
            Ok(()) => None,
            Err(_) => Some(SourceEnd::CallerGone),
        }
    }

    /// Ends the stream if its last token was relayed and the engine's token count matches.
    async fn finish(&mut self) -> SourceEnd {
        let usage = self.last.as_ref().and_then(|token| token.usage);
        let count = usage.map(|usage| u64::from(usage.completion_tokens));
        if !self.has_last_token() || !self.cursor.finish(count) {
            return SourceEnd::Broken(ErrorKind::AnswerIncomplete);
        }
        let done = Bytes::from_static(b"data: [DONE]\n\n");
        match self.pieces.send(Ok(done)).await {
            Ok(()) => SourceEnd::Whole,
            Err(_) => SourceEnd::CallerGone,
        }
    }

    /// Ends the stream with an error, so that the caller can't mistake it for complete.
    async fn abort(self, refusal: Refusal) {
        let code = ErrorKind::AnswerIncomplete.code();
        let execution = ErrorKind::AnswerIncomplete.answer().execution;
        let event = format!(
            "data: {{\"error\": {{\"code\": \"{code}\", \"execution\": \"{execution}\"}}}}\n\n"
        );
        // A caller that disconnected needs no error.
        let _ = self.pieces.send(Ok(Bytes::from(event))).await;
        // An abort discards data that the connection has not written yet.
        smol::Timer::after(ABORT_PAUSE.as_std()).await;
        let _ = self.pieces.send(Err(AnswerError(refusal.kind))).await;
    }
}

/// Returns whether a response is an event stream.
pub(crate) fn is_stream(head: &http::response::Parts) -> bool {
    head.status == http::StatusCode::OK
        && head
            .headers
            .get(http::header::CONTENT_TYPE)
            .is_some_and(|value| value.as_bytes().starts_with(b"text/event-stream"))
}
