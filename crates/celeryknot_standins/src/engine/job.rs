//! One request inside an engine, and the encoding of its response.

use async_channel::{Receiver, Sender};
use bytes::Bytes;
use celeryknot_core::{ChatKey, RequestId};
use serde_json::json;

use crate::server::BodyChunk;
use crate::text::{AnswerText, Token};
use crate::wire::Usage;

#[derive(Debug)]
pub(super) struct Job {
    pub(super) request_id: RequestId,
    pub(super) chat: Option<ChatKey>,
    pub(super) urgency: u8,
    pub(super) model: String,
    pub(super) prompt: Vec<Token>,
    pub(super) answer: AnswerText,
    pub(super) is_stream: bool,
    /// The index of the first token to send.
    pub(super) resume_from: u32,
    /// The index of the next token to send.
    pub(super) next_index: u32,
    /// Prompt tokens found in the cache; set when the job joins the batch.
    pub(super) cached_tokens: usize,
    /// Prompt tokens that have not been prefilled yet.
    pub(super) prefill_remaining: f64,
    /// Whether the job arrived in cold start.
    pub(super) arrived_cold: bool,
    /// The token index at which a fault truncates the response.
    pub(super) truncate_at: Option<u32>,
    pub(super) chunks: Sender<BodyChunk>,
}

/// State of a job after a step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Progress {
    Running,
    Done,
    Failed,
}

impl Job {
    pub(super) fn channel() -> (Sender<BodyChunk>, Receiver<BodyChunk>) {
        async_channel::unbounded()
    }

    /// Returns whether the caller has disconnected or the request is cancelled.
    pub(super) fn is_abandoned(&self) -> bool {
        self.chunks.is_closed()
    }

    /// Sends the next token, or the complete answer with the last one.
    pub(super) fn emit_token(&mut self) -> Progress {
        if self.truncate_at == Some(self.next_index) {
            self.fail();
            return Progress::Failed;
        }
        let index = self.next_index;
        self.next_index += 1;
        let is_last = self.next_index >= self.answer.len;
        match (self.is_stream, is_last) {
            (true, false) => self.send(BodyChunk::Part(self.event(index, is_last))),
            (true, true) => self.send(BodyChunk::Last(self.event(index, is_last))),
            (false, true) => self.send(BodyChunk::Last(self.complete_answer())),
            (false, false) => {}
        }
        if is_last {
            return Progress::Done;
        }
        Progress::Running
    }

    pub(super) fn fail(&self) {
        self.send(BodyChunk::Aborted);
    }

    /// Returns the tokens to cache: the prompt and the emitted part of the answer.
    pub(super) fn tokens_with_answer(&self) -> Vec<Token> {
        let mut tokens = self.prompt.clone();
        tokens.push(crate::text::word_token("assistant"));
        tokens.extend(
            (0..self.next_index).map(|index| crate::text::word_token(&self.answer.word(index))),
        );
        tokens
    }

    fn send(&self, chunk: BodyChunk) {
        // The next step drops jobs whose caller has disconnected.
        let _ = self.chunks.try_send(chunk);
    }

    fn usage(&self) -> Usage {
        Usage {
            prompt_tokens: self.prompt.len() as u32,
            completion_tokens: self.next_index,
            cached_tokens: self.cached_tokens as u32,
        }
    }

    fn event(&self, index: u32, is_last: bool) -> Bytes {
        let content = self.answer.word(index) + " ";
        let finish_reason = is_last.then(|| self.answer.finish_reason());
        let mut event = json!({
            "id": self.request_id.to_string(),
            "object": "chat.completion.chunk",
            "model": self.model,
            "choices": [{"index": 0, "delta": {"content": content}, "finish_reason": finish_reason}],
            "token_index": index,
        });
        if is_last {
            event["usage"] = json!(self.usage());
        }
        let end = if is_last { "data: [DONE]\n\n" } else { "" };
        Bytes::from(format!("data: {event}\n\n{end}"))
    }

    fn complete_answer(&self) -> Bytes {
        let text: String = (self.resume_from..self.answer.len)
            .map(|index| self.answer.word(index) + " ")
            .collect();
        let answer = json!({
            "id": self.request_id.to_string(),
            "object": "chat.completion",
            "model": self.model,
            "choices": [{
                "index": 0,
                "message": {"role": "assistant", "content": text},
                "finish_reason": self.answer.finish_reason(),
            }],
            "usage": self.usage(),
        });
        Bytes::from(answer.to_string())
    }
}
