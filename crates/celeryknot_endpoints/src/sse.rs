//! Server-sent events of a token stream.

use bytes::{Buf, Bytes, BytesMut};
use celeryknot_core::ErrorKind;
use serde::Deserialize;

/// Largest event.
pub const EVENT_SIZE_MAX_BYTES: usize = 64 << 10;

/// One event of a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SseEvent {
    /// `data: [DONE]`: the stream is whole.
    Done,
    /// Another event; `raw` is the event as it came, with its blank line.
    Data {
        /// The bytes to pass on.
        raw: Bytes,
        /// What the router reads of it; `None` for comments and unknown events.
        token: Option<TokenEvent>,
    },
}

/// What the router reads of an event that carries a token.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct TokenEvent {
    /// The index of the token in the answer.
    pub token_index: u64,
    /// Whether this is the last event before `[DONE]`.
    #[serde(default)]
    choices: Vec<Choice>,
    /// Tokens as the engine counts them; on the last event.
    pub usage: Option<Usage>,
}

impl TokenEvent {
    /// Tells whether the event says why the answer ended.
    pub fn is_last(&self) -> bool {
        self.choices
            .iter()
            .any(|choice| choice.finish_reason.is_some())
    }
}

#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
struct Choice {
    finish_reason: Option<String>,
}

/// Tokens of a chat completion.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Tokens of the answer.
    pub completion_tokens: u32,
    /// Tokens of the prompt that were found in the cache.
    #[serde(default)]
    pub cached_tokens: u32,
}

/// Splits the bytes of a stream into whole events; holds at most one unfinished event.
///
/// # Examples
///
/// ```
/// use celeryknot_endpoints::EventSplitter;
///
/// let mut splitter = EventSplitter::default();
/// splitter.push(b"id: 7\ndata: a\n\nid: 8\nda")?;
/// let event = splitter.next_event().unwrap();
/// assert_eq!(celeryknot_endpoints::sse::event_id(&event), Some("7"));
/// assert_eq!(splitter.next_event(), None);
/// assert!(splitter.has_rest());
/// # Ok::<(), celeryknot_core::ErrorKind>(())
/// ```
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    searched_bytes: usize,
}

impl EventSplitter {
    /// Takes the next bytes of the stream; events are to be taken out after each call.
    ///
    /// # Errors
    ///
    /// `AnswerTooLarge` when an event passes [`EVENT_SIZE_MAX_BYTES`].
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), ErrorKind> {
        self.buffer.extend_from_slice(bytes);
        let unfinished = &self.buffer[..];
        if unfinished.len() <= EVENT_SIZE_MAX_BYTES || event_len(unfinished, 0).is_some() {
            return Ok(());
        }
        Err(ErrorKind::AnswerTooLarge)
    }

    /// Takes the next whole event out, as it came, with its blank line.
    pub fn next_event(&mut self) -> Option<Bytes> {
        let Some(len) = event_len(&self.buffer, self.searched_bytes) else {
            self.searched_bytes = self.buffer.len().saturating_sub(3);
            return None;
        };
        self.searched_bytes = 0;
        Some(self.buffer.split_to(len).freeze())
    }

    /// Tells whether bytes of an unfinished event are held.
    pub fn has_rest(&self) -> bool {
        self.buffer.has_remaining()
    }
}

/// Returns the id of an event, if it has one.
pub fn event_id(event: &[u8]) -> Option<&str> {
    let line = event
        .split(|byte| *byte == b'\n')
        .find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(line.trim_ascii()).ok()
}

/// Splits the bytes of a stream into events that are read; holds at most one unfinished event.
///
/// # Examples
///
/// ```
/// use celeryknot_endpoints::{SseEvent, SseParser};
///
/// let mut parser = SseParser::default();
/// parser.push(b"data: [DO")?;
/// assert_eq!(parser.next_event(), None);
/// parser.push(b"NE]\n\n")?;
/// assert_eq!(parser.next_event(), Some(SseEvent::Done));
/// # Ok::<(), celeryknot_core::ErrorKind>(())
/// ```
#[derive(Debug, Default)]
pub struct SseParser(EventSplitter);

impl SseParser {
    /// Takes the next bytes of the stream; events are to be taken out after each call.
    ///
    /// # Errors
    ///
    /// `AnswerTooLarge` when an event passes [`EVENT_SIZE_MAX_BYTES`].
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), ErrorKind> {
        self.0.push(bytes)
    }

    /// Takes the next whole event out.
    pub fn next_event(&mut self) -> Option<SseEvent> {
        self.0.next_event().map(read_event)
    }

    /// Tells whether bytes of an unfinished event are held.
    pub fn has_rest(&self) -> bool {
        self.0.has_rest()
    }
}

/// Returns the length of the first event, its blank line included.
fn event_len(bytes: &[u8], from: usize) -> Option<usize> {
    (from..bytes.len()).find_map(|start| {
        let rest = &bytes[start..];
        if rest.starts_with(b"\n\n") {
            return Some(start + 2);
        }
        rest.starts_with(b"\r\n\r\n").then_some(start + 4)
    })
}

fn read_event(raw: Bytes) -> SseEvent {
    let data = raw
        .split(|byte| *byte == b'\n')
        .find_map(|line| line.strip_prefix(b"data:"))
        .map(<[u8]>::trim_ascii);
    if data == Some(b"[DONE]".as_slice()) {
        return SseEvent::Done;
    }
    let token = data.and_then(|json| serde_json::from_slice(json).ok());
    SseEvent::Data { raw, token }
}
