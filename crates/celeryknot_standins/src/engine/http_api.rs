//! An engine's HTTP interface.

use std::sync::Arc;
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use celeryknot_core::{ChatKey, RequestId, header};
use futures_lite::future;
use http::request::Parts;
use http::{HeaderMap, HeaderValue, Request, Response, StatusCode};
use hyper::body::Incoming;
use smol::Timer;

use super::job::Job;
use super::state::EngineState;
use super::{EngineShared, RESTART_DELAY};
use crate::client::fetch_json;
use crate::executor::spawn;
use crate::server::{Aborted, Answer, AnswerBody, BodyChunk, Handler};
use crate::server::{empty, into_answer, json, json_bytes, query_number, read_json};
use crate::text::{AnswerText, Token, prompt_tokens};
use crate::wire::{CacheEvents, ChatRequest, EndpointMode, FencedOrder, FencingAnswer, KvExport};

const URGENCY_DEFAULT: u8 = 3;
const EVENTS_WAIT_MAX_MS: u64 = 30_000;
const EVENTS_POLL_INTERVAL: Duration = Duration::from_millis(50);
const KV_SOURCE_TIMEOUT: Duration = Duration::from_secs(1);
/// Delay from the first event of an answer to the crash that it causes.
const CRASH_DELAY: Duration = Duration::from_millis(5);
const TOKEN_HEX_LEN: usize = 8;

pub(super) struct EngineApi {
    shared: Arc<EngineShared>,
}

impl EngineApi {
    pub(super) fn new(shared: Arc<EngineShared>) -> Self {
        Self { shared }
    }

    async fn route(&self, request: Request<Incoming>) -> Result<Answer, StatusCode> {
        let (head, body) = request.into_parts();
        let path = head.uri.path().to_owned();
        match (head.method.as_str(), path.as_str()) {
            ("GET", "/v1/load") => Ok(json(StatusCode::OK, &self.shared.state().delayed_load())),
            ("GET", "/v1/cache-events") => Ok(self.cache_events(head.uri.query()).await),
            ("POST", "/v1/orders") => Ok(self.accept_order(read_json(body).await?)),
            ("POST", "/stand-in/mode") => {
                let mode: EndpointMode = read_json(body).await?;
                self.shared.state().set_mode(mode);
                self.shared.wake();
                Ok(empty(StatusCode::NO_CONTENT))
            }
            ("GET", "/stand-in/seen") => Ok(json(
                StatusCode::OK,
                &self.shared.state().counters.snapshot(),
            )),
            ("POST", _) if path.starts_with("/v1/streams/") => self.cancel(&path),
            ("GET", _) if path.starts_with("/v1/kv/") => self.export_kv(parse_chat_key(&path)?),
            ("PUT", _) if path.starts_with("/v1/kv/") => {
                let tokens = decode_kv(&read_json(body).await?)?;
                self.shared.state().store(parse_chat_key(&path)?, tokens);
                Ok(empty(StatusCode::NO_CONTENT))
            }
            _ => Err(StatusCode::NOT_FOUND),
        }
    }

    async fn cache_events(&self, query: Option<&str>) -> Answer {
        let after = query_number(query, "after").unwrap_or(0);
        let wait_ms = query_number(query, "wait_ms").unwrap_or(0);
        let end = Instant::now() + Duration::from_millis(wait_ms.min(EVENTS_WAIT_MAX_MS));
        loop {
            let events = self.shared.state().events_after(after);
            if !events.is_empty() || Instant::now() >= end {
                return json(StatusCode::OK, &CacheEvents { events });
            }
            Timer::at(end.min(Instant::now() + EVENTS_POLL_INTERVAL)).await;
        }
    }

    fn accept_order(&self, order: FencedOrder) -> Answer {
        let result = self.shared.state().accept_order(order);
        self.shared.wake();
        match result {
            Ok(()) => empty(StatusCode::ACCEPTED),
            Err(fencing) => json(StatusCode::CONFLICT, &FencingAnswer { fencing }),
        }
    }

    fn cancel(&self, path: &str) -> Result<Answer, StatusCode> {
        let id = path
            .strip_prefix("/v1/streams/")
            .and_then(|rest| rest.strip_suffix("/cancel"))
            .ok_or(StatusCode::NOT_FOUND)?;
        let request_id = id.parse().map_err(|_| StatusCode::BAD_REQUEST)?;
        self.shared.state().cancel(request_id);
        Ok(empty(StatusCode::NO_CONTENT))
    }

    fn export_kv(&self, chat: ChatKey) -> Result<Answer, StatusCode> {
        let state = self.shared.state();
        let tokens = state.cached(chat).ok_or(StatusCode::NOT_FOUND)?;
        Ok(json(StatusCode::OK, &encode_kv(tokens)))
    }

    async fn complete_chat(&self, head: Parts, body: Incoming) -> Result<Answer, Aborted> {
        let chat_request: ChatRequest = match read_json(body).await {
            Ok(chat_request) => chat_request,
            Err(status) => return Ok(empty(status)),
        };
        self.import_kv(&head.headers).await;
        let (chunks, mut chunk_receiver) = Job::channel();
        let is_stream = chat_request.stream;
        let (is_crashing, crash_event_count) = {
            let state = self.shared.state();
            let is_crashing = state.crashes_on(&chat_request.messages);
            (is_crashing, state.crash_event_count)
        };
        if is_crashing {
            let event_count = if is_stream { crash_event_count } else { 0 };
            chunk_receiver = crash_after(chunk_receiver, event_count, Arc::clone(&self.shared));
        }
        let (request_id, refusal) = self.enqueue(&head.headers, chat_request, chunks);
        let answer_headers = answer_headers(&self.shared.state(), request_id);
        if let Some(status) = refusal {
            let mut answer = empty(status);
            answer.headers_mut().extend(answer_headers);
            return Ok(answer);
        }
        self.shared.wake();
        let mut answer = if is_stream && is_crashing && crash_event_count == 0 {
            // Nothing is sent before the engine has crashed.
            let _ = chunk_receiver.recv().await;
            return Err(Aborted);
        } else if is_stream {
            stream_answer(chunk_receiver)
        } else {
            let Ok(BodyChunk::Last(body)) = chunk_receiver.recv().await else {
                return Err(Aborted);
            };
            json_bytes(StatusCode::OK, body)
        };
        answer.headers_mut().extend(answer_headers);
        Ok(answer)
    }

    /// Queues a request and returns its response id, with an error status on refusal.
    fn enqueue(
        &self,
        headers: &HeaderMap,
        request: ChatRequest,
        chunks: Sender<BodyChunk>,
    ) -> (RequestId, Option<StatusCode>) {
        let mut state = self.shared.state();
        let request_id = header_value(headers, header::REQUEST_ID).unwrap_or_default();
        if let Some(status) = refusal_status(&mut state, &request) {
            return (request_id, Some(status));
        }
        let Some(job) = new_job(&mut state, headers, request, chunks) else {
            return (request_id, Some(StatusCode::BAD_REQUEST));
        };
        let request_id = job.request_id;
        state.enqueue(job);
        (request_id, None)
    }

    /// Imports the chat's KV cache from the engine in the header, unless that fails or times out.
    async fn import_kv(&self, headers: &HeaderMap) {
        let (Some(source), Some(chat)) = (
            header_value(headers, header::KV_SOURCE),
            header_value::<ChatKey>(headers, header::CHAT),
        ) else {
            return;
        };
        let path = format!("/v1/kv/{chat}");
        let fetched: Option<KvExport> = fetch_json(source, &path, KV_SOURCE_TIMEOUT).await.ok();
        let Some(tokens) = fetched.and_then(|kv| decode_kv(&kv).ok()) else {
            return;
        };
        let import_ms = self.shared.state().options.kv_import_ms;
        Timer::after(import_ms.as_std()).await;
        let mut state = self.shared.state();
        if state.cached_len(chat) < tokens.len() {
            state.store(chat, tokens);
        }
    }
}

impl Handler for EngineApi {
    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Result<Answer, Aborted> {
        let path = request.uri().path();
        if !path.starts_with("/stand-in/") && self.shared.state().is_silent() {
            return future::pending().await;
        }
        if path == "/v1/chat/completions" {
            let (head, body) = request.into_parts();
            return self.complete_chat(head, body).await;
        }
        into_answer(self.route(request).await)
    }
}

/// Returns the error status of a request that the engine refuses.
fn refusal_status(state: &mut EngineState, request: &ChatRequest) -> Option<StatusCode> {
    if request.model != state.options.model {
        return Some(StatusCode::NOT_FOUND);
    }
    let fail_percent = state.mode().fail_percent;
    if state.rejects_overload() || state.hits_fault(fail_percent) {
        return Some(StatusCode::INTERNAL_SERVER_ERROR);
    }
    None
}

fn new_job(
    state: &mut EngineState,
    headers: &HeaderMap,
    request: ChatRequest,
    chunks: Sender<BodyChunk>,
) -> Option<Job> {
    let mode = state.mode();
    let is_crossed = state.hits_fault(mode.cross_percent);
    let is_truncated = state.hits_fault(mode.truncate_percent);
    let mut answer = AnswerText::new(&request.model, &request.messages, request.max_tokens);
    let mut request_id: RequestId = header_value(headers, header::REQUEST_ID).unwrap_or_default();
    if is_crossed {
        answer = EngineState::foreign_answer(answer);
        request_id = RequestId(!request_id.0);
    }
    let resume_from: u32 = header_value(headers, header::RESUME_FROM).unwrap_or(0);
    if resume_from >= answer.len {
        return None;
    }
    Some(Job {
        request_id,
        chat: header_value(headers, header::CHAT),
        urgency: urgency(headers),
        prompt: prompt_tokens(&request.messages),
        model: request.model,
        is_stream: request.stream,
        resume_from,
        next_index: resume_from,
        cached_tokens: 0,
        prefill_remaining: f64::MAX,
        arrived_cold: false,
        truncate_at: is_truncated.then_some(resume_from + (answer.len - resume_from) / 2),
        answer,
        chunks,
    })
}

/// Crashes the engine once it has sent a number of events, or has the first one if that is 0.
fn crash_after(
    chunks: Receiver<BodyChunk>,
    event_count: usize,
    shared: Arc<EngineShared>,
) -> Receiver<BodyChunk> {
    let (sender, receiver) = Job::channel();
    spawn(async move {
        for _ in 0..event_count.max(1) {
            let Ok(BodyChunk::Part(bytes) | BodyChunk::Last(bytes)) = chunks.recv().await else {
                return;
            };
            if event_count > 0 {
                // The router may have disconnected; the engine crashes all the same.
                let _ = sender.send(BodyChunk::Part(bytes)).await;
            }
        }
        if event_count > 0 {
            Timer::after(CRASH_DELAY).await;
        }
        shared.crash();
        // Keeps the answer open until the server has closed its connection.
        Timer::after(RESTART_DELAY).await;
    })
    .detach();
    receiver
}

fn stream_answer(chunks: Receiver<BodyChunk>) -> Answer {
    let mut answer = Response::new(AnswerBody::chunks(chunks));
    answer.headers_mut().insert(
        http::header::CONTENT_TYPE,
        HeaderValue::from_static("text/event-stream"),
    );
    answer
}

fn answer_headers(state: &EngineState, request_id: RequestId) -> HeaderMap {
    let mut headers = HeaderMap::new();
    let request_id = (header::REQUEST_ID, request_id.to_string());
    for (name, text) in state.load().headers().chain([request_id]) {
        let value = HeaderValue::try_from(text).expect("request ids and loads are visible ASCII");
        headers.insert(name, value);
    }
    headers
}

fn urgency(headers: &HeaderMap) -> u8 {
    headers
        .get(header::PRIORITY)
        .and_then(|value| value.to_str().ok())
        .and_then(|text| {
            text.split(',')
                .find_map(|part| part.trim().strip_prefix("u="))
        })
        .and_then(|digits| digits.parse().ok())
        .unwrap_or(URGENCY_DEFAULT)
}

fn header_value<T: std::str::FromStr>(headers: &HeaderMap, name: &str) -> Option<T> {
    headers.get(name)?.to_str().ok()?.parse().ok()
}

fn parse_chat_key(path: &str) -> Result<ChatKey, StatusCode> {
    path.trim_start_matches("/v1/kv/")
        .parse()
        .map_err(|_| StatusCode::BAD_REQUEST)
}

fn encode_kv(tokens: &[Token]) -> KvExport {
    KvExport {
        tokens: tokens.len() as u32,
        blob: tokens.iter().map(|token| format!("{token:08x}")).collect(),
    }
}

fn decode_kv(kv: &KvExport) -> Result<Vec<Token>, StatusCode> {
    if !kv.blob.is_ascii() || kv.blob.len() != kv.tokens as usize * TOKEN_HEX_LEN {
        return Err(StatusCode::BAD_REQUEST);
    }
    (0..kv.blob.len())
        .step_by(TOKEN_HEX_LEN)
        .map(|start| Token::from_str_radix(&kv.blob[start..start + TOKEN_HEX_LEN], 16))
        .collect::<Result<_, _>>()
        .map_err(|_| StatusCode::BAD_REQUEST)
}
