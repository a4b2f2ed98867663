//! Reads an answer that comes as server-sent events, and checks it token by token.

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

/// The event that ends an answer which could not be completed.
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

/// What one event does to the answer.
enum Step {
    More,
    Done,
    Wrong,
    Broken,
    Failed,
}

#[derive(Default)]
struct Progress {
    next_index: u32,
    usage: Option<Usage>,
    is_finished: bool,
}

impl Progress {
    fn take(&mut self, data: &str, expected: &AnswerText) -> Step {
        if data == "[DONE]" {
            let is_whole = self.is_finished && self.next_index == expected.len;
            return if is_whole { Step::Done } else { Step::Broken };
        }
        let Ok(event) = serde_json::from_str::<Event>(data) else {
            return Step::Broken;
        };
        let chunk = match event {
            Event::Chunk(chunk) => chunk,
            Event::Error(_) => return Step::Failed,
        };
        let Some(choice) = chunk.choices.first() else {
            return Step::Broken;
        };
        if chunk.token_index != self.next_index {
            return Step::Broken;
        }
        if choice.delta.content.trim_end() != expected.word(chunk.token_index) {
            return Step::Wrong;
        }
        self.next_index += 1;
        self.is_finished = choice.finish_reason.is_some();
        self.usage = chunk.usage.or(self.usage);
        Step::More
    }
}

pub(super) async fn read(
    mut body: Incoming,
    expected: AnswerText,
    started: Instant,
) -> Outcome<Completed> {
    let mut progress = Progress::default();
    let mut text = String::new();
    let mut first_token = None;
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            return Outcome::Aborted;
        };
        let Ok(data) = frame.into_data() else {
            continue;
        };
        text.push_str(&String::from_utf8_lossy(&data));
        while let Some(end) = text.find("\n\n") {
            let event: String = text.drain(..end + 2).collect();
            let Some(data) = event.trim_end().strip_prefix("data: ") else {
                continue;
            };
            match progress.take(data, &expected) {
                Step::More => {
                    first_token.get_or_insert_with(|| started.elapsed());
                }
                Step::Wrong => return Outcome::CrossDelivered,
                Step::Broken => return Outcome::Truncated,
                Step::Failed => return Outcome::Aborted,
                Step::Done => {
                    // The end of the body frees the connection for the next call.
                    while let Some(Ok(_)) = body.frame().await {}
                    return Outcome::Completed(Completed {
                        usage: progress.usage.unwrap_or_default(),
                        first_token: first_token.unwrap_or_default(),
                        whole: started.elapsed(),
                        affinity: None,
                    });
                }
            }
        }
    }
    Outcome::Truncated
}
