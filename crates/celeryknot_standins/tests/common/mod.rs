//! Helpers shared by the tests of the stand-ins.

#![allow(dead_code, reason = "each test file uses only some of the helpers")]

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use celeryknot_core::{DurationMs, RequestId, header};
use celeryknot_standins::caller::{CallTarget, Completed};
use celeryknot_standins::client::{Client, UnreadAnswer, call};
use celeryknot_standins::text::{AnswerText, Message, prompt_tokens};
use celeryknot_standins::wire::ChatRequest;
use celeryknot_standins::{Caller, CallerOptions, Outcome};
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use serde::Serialize;
use smol::Timer;

pub(crate) const TIMEOUT: Duration = Duration::from_secs(20);
const MODEL: &str = "wakai-8b";

/// A caller with a fixed target.
#[derive(Clone)]
pub(crate) struct TestCaller {
    caller: Caller,
    target: CallTarget,
}

impl TestCaller {
    pub(crate) fn with(address: SocketAddr) -> Self {
        Self::with_timeout(address, TIMEOUT)
    }

    pub(crate) fn with_timeout(address: SocketAddr, timeout: Duration) -> Self {
        let options = CallerOptions::default().timeout_ms(DurationMs::from(timeout));
        Self::new(address, options)
    }

    fn new(address: SocketAddr, options: CallerOptions) -> Self {
        Self {
            caller: Caller::new(options),
            target: CallTarget {
                address,
                prefix: String::new(),
                customer: "otaru".to_owned(),
            },
        }
    }

    pub(crate) fn with_urgency(&self, urgency: u8) -> Self {
        let options = CallerOptions::default().urgency(Some(urgency));
        Self::new(self.target.address, options)
    }

    pub(crate) async fn chat(&self, chat: &str, request: &ChatRequest) -> Outcome<Completed> {
        self.caller.chat(&self.target, chat, None, request).await
    }

    pub(crate) fn into_chat(
        self,
        chat: &str,
        request: ChatRequest,
    ) -> impl Future<Output = Outcome<Completed>> + Send + use<> {
        let chat = chat.to_owned();
        async move { self.chat(&chat, &request).await }
    }
}

/// Builds the request of a chat that has already had `turns` answers.
pub(crate) fn chat_request(words: usize, turns: usize) -> ChatRequest {
    let mut messages = vec![message("user", &"complaint ".repeat(words))];
    for turn in 0..turns {
        let answer = AnswerText::new(MODEL, &messages, None).text();
        messages.push(message("assistant", &answer));
        messages.push(message("user", &format!("go on {turn}")));
    }
    ChatRequest {
        model: MODEL.to_owned(),
        messages,
        stream: true,
        max_tokens: None,
    }
}

fn message(role: &str, content: &str) -> Message {
    Message {
        role: role.to_owned(),
        content: content.to_owned(),
    }
}

/// Returns the number of tokens of a request and its answer.
pub(crate) fn count_tokens_with_answer(request: &ChatRequest) -> u32 {
    let answer = AnswerText::new(MODEL, &request.messages, None);
    prompt_tokens(&request.messages).len() as u32 + 1 + answer.len
}

pub(crate) fn completed<T: std::fmt::Debug>(outcome: Outcome<T>) -> T {
    match outcome {
        Outcome::Completed(value) => value,
        Outcome::Refused(_)
        | Outcome::Truncated
        | Outcome::Aborted
        | Outcome::CrossDelivered
        | Outcome::Lost(_) => {
            panic!("the call was not completed: {outcome:?}")
        }
    }
}

pub(crate) async fn post<T: Serialize>(
    address: SocketAddr,
    path: &str,
    body: &T,
) -> (StatusCode, Bytes) {
    let body = serde_json::to_vec(body).expect("test bodies serialize to JSON");
    call(address, Method::POST, path, body, TIMEOUT)
        .await
        .expect("the stand-in responds")
}

/// Sends a chat request and checks the request id in the response head.
pub(crate) async fn send_chat(
    address: SocketAddr,
    request: &ChatRequest,
    id: RequestId,
    resume_from: Option<u32>,
) -> UnreadAnswer {
    let mut builder = Request::builder()
        .method(Method::POST)
        .uri("/v1/chat/completions")
        .header(header::REQUEST_ID, id.to_string());
    if let Some(index) = resume_from {
        builder = builder.header(header::RESUME_FROM, index);
    }
    let body = Full::new(Bytes::from(
        serde_json::to_vec(request).expect("a request serializes to JSON"),
    ));
    let unread = Client::default()
        .send(address, builder.body(body).expect("the headers are valid"))
        .await
        .expect("the stand-in responds");
    let echoed = unread.answer.headers().get(header::REQUEST_ID);
    assert_eq!(
        echoed.and_then(|id| id.to_str().ok()),
        Some(&*id.to_string())
    );
    unread
}

/// Reads a streamed response and returns its words.
pub(crate) async fn words(unread: UnreadAnswer) -> Vec<String> {
    let (answer, _, _sender) = unread.into_parts();
    let bytes = answer
        .into_body()
        .collect()
        .await
        .expect("the response is complete")
        .to_bytes();
    String::from_utf8(bytes.to_vec())
        .expect("events are text")
        .lines()
        .filter_map(|line| line.strip_prefix("data: "))
        .filter_map(|data| serde_json::from_str::<serde_json::Value>(data).ok())
        .map(|event| {
            let content = &event["choices"][0]["delta"]["content"];
            content.as_str().expect("an event has content").to_owned()
        })
        .collect()
}

/// Waits until the condition holds, and fails after [`TIMEOUT`].
pub(crate) async fn wait_until(condition: impl Fn() -> bool) {
    let deadline = Instant::now() + TIMEOUT;
    while !condition() {
        assert!(
            Instant::now() < deadline,
            "the condition does not hold after {TIMEOUT:?}"
        );
        Timer::after(Duration::from_millis(5)).await;
    }
}
