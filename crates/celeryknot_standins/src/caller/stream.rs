//! Reads a response of server-sent events and checks it token by token.

use std::time::Instant;

use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde::Deserialize;

use super::outcome::{Completed, Outcome};
use crate::text::AnswerText;
use crate::wire::Usage;

#[derive(Deserialize)]
#[serde(untagged)]
enum Event {
    Chunk(Chunk),
    Error(ErrorEvent),
}

/// The event that ends a response that could not be completed.
#[derive(Deserialize)]
struct ErrorEvent {
    #[serde(rename = "error")]
    _error: serde::de::IgnoredAny,
}

#[derive(Deserialize)]
struct Chunk {
    choices: Vec<Choice>,
    token_index: u32,
    usage: Option<Usage>,
}

#[derive(Deserialize)]
struct Choice {
    delta: Delta,
    finish_reason: Option<String>,
}

#[derive(Deserialize)]
struct Delta {
    content: String,
}

/// State of the response after an event.
enum StreamState {
    Streaming,
    Complete,
    CrossDelivered,
    Malformed,
    Failed,
}

#[derive(Default)]
struct Progress {
    next_index: u32,
    usage: Option<Usage>,
    is_finished: bool,
}

impl Progress {
    fn apply_event(&mut self, data: &str, expected: &AnswerText) -> StreamState {
        if data == "[DONE]" {
            let is_complete = self.is_finished && self.next_index == expected.len;
            return if is_complete {
                StreamState::Complete
            } else {
                StreamState::Malformed
            };
        }
        let Ok(event) = serde_json::from_str::<Event>(data) else {
            return StreamState::Malformed;
        };
        let chunk = match event {
            Event::Chunk(chunk) => chunk,
            Event::Error(_) => return StreamState::Failed,
        };
        let Some(choice) = chunk.choices.first() else {
            return StreamState::Malformed;
        };
        if chunk.token_index != self.next_index {
            return StreamState::Malformed;
        }
        if choice.delta.content.trim_end() != expected.word(chunk.token_index) {
            return StreamState::CrossDelivered;
        }
        self.next_index += 1;
        self.is_finished = choice.finish_reason.is_some();
        self.usage = chunk.usage.or(self.usage);
        StreamState::Streaming
    }
}

pub(super) async fn read(
    mut body: Incoming,
    expected: AnswerText,
    started: Instant,
) -> Outcome<Completed> {
    let mut progress = Progress::default();
    let mut buffer = String::new();
    let mut first_token = None;
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            return Outcome::Aborted;
        };
        let Ok(data) = frame.into_data() else {
            continue;
        };
        buffer.push_str(&String::from_utf8_lossy(&data));
        while let Some(end) = buffer.find("\n\n") {
            let event: String = buffer.drain(..end + 2).collect();
            let Some(data) = event.trim_end().strip_prefix("data: ") else {
                continue;
            };
            match progress.apply_event(data, &expected) {
                StreamState::Streaming => {
                    first_token.get_or_insert_with(|| started.elapsed());
                }
                StreamState::CrossDelivered => return Outcome::CrossDelivered,
                StreamState::Malformed => return Outcome::Truncated,
                StreamState::Failed => return Outcome::Aborted,
                StreamState::Complete => {
                    // Reads to the end of the body, so that the connection can be reused.
                    while let Some(Ok(_)) = body.frame().await {}
                    return Outcome::Completed(Completed {
                        usage: progress.usage.unwrap_or_default(),
                        first_token: first_token.unwrap_or_default(),
                        total: started.elapsed(),
                        affinity: None,
                    });
                }
            }
        }
    }
    Outcome::Truncated
}
