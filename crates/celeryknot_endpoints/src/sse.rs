//! Parsing of token streams sent as server-sent events.

use std::fmt;
use std::str::FromStr;

use bytes::{Bytes, BytesMut};
use celeryknot_core::ErrorKind;
use http::HeaderMap;
use http::header::CONTENT_TYPE;
use serde::Deserialize;

/// Largest accepted event.
pub const EVENT_SIZE_MAX_BYTES: usize = 64 << 10;

/// Longest event id with which a stream is resumed; endpoints limit the size of a request's head.
const EVENT_ID_LEN_MAX_BYTES: usize = 1 << 10;

/// One event of a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SseEvent {
    /// `data: [DONE]`: the stream is complete.
    Done,
    /// Any other event.
    Data {
        /// The bytes of the event as received, including its blank line; forwarded unchanged.
        raw: Bytes,
        /// The parsed event; `None` for comments and unknown events.
        token: Option<TokenEvent>,
    },
}

/// The fields of a token event that the router uses.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct TokenEvent {
    /// The index of the token in the response.
    pub token_index: u64,
    /// The choices; one has a `finish_reason` in the last event before `[DONE]`.
    #[serde(default)]
    choices: Vec<Choice>,
    /// The engine's token counts, present on the last event.
    pub usage: Option<Usage>,
}

impl TokenEvent {
    /// Returns whether the event carries a finish reason.
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

/// Token counts of a chat completion.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Tokens of the response.
    pub completion_tokens: u32,
    /// Tokens of the prompt that were in the engine's prefix cache.
    #[serde(default)]
    pub cached_tokens: u32,
}

/// Splits a byte stream into complete events, buffering at most one partial event.
///
/// # Examples
///
/// ```
/// use celeryknot_endpoints::EventSplitter;
///
/// let mut splitter = EventSplitter::default();
/// splitter.push(b"id: 7\ndata: a\n\nid: 8\nda")?;
/// assert_eq!(splitter.next_event().unwrap(), "id: 7\ndata: a\n\n");
/// assert_eq!(splitter.next_event(), None);
/// assert!(splitter.has_partial_event());
/// # Ok::<(), celeryknot_core::ErrorKind>(())
/// ```
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    scanned_bytes: usize,
    scanner: EventScanner,
    /// Length of the first event, once its end has been found.
    event_len: Option<usize>,
}

impl EventSplitter {
    /// Appends the next bytes of the stream; drain [`Self::next_event`] after each call.
    ///
    /// # Errors
    ///
    /// `AnswerTooLarge` if an event exceeds [`EVENT_SIZE_MAX_BYTES`].
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), ErrorKind> {
        self.buffer.extend_from_slice(bytes);
        if self.find_event().is_none() && self.buffer.len() > EVENT_SIZE_MAX_BYTES {
            return Err(ErrorKind::AnswerTooLarge);
        }
        Ok(())
    }

    /// Removes and returns the next complete event as received, including its blank line and blank
    /// lines before it.
    pub fn next_event(&mut self) -> Option<Bytes> {
        let len = self.find_event()?;
        self.event_len = None;
        self.scanned_bytes -= len;
        Some(self.buffer.split_to(len).freeze())
    }

    /// Returns whether the buffer holds part of an event.
    pub fn has_partial_event(&self) -> bool {
        self.scanner.is_inside_event()
    }

    /// Removes and returns the blank lines after the last event, or its incomplete successor.
    pub fn take_rest(&mut self) -> Bytes {
        std::mem::take(self).buffer.freeze()
    }

    fn find_event(&mut self) -> Option<usize> {
        while self.event_len.is_none() {
            let byte = *self.buffer.get(self.scanned_bytes)?;
            self.event_len = match self.scanner.advance(byte) {
                EventEnd::No => None,
                EventEnd::Before => Some(self.scanned_bytes),
                EventEnd::After => Some(self.scanned_bytes + 1),
            };
            self.scanned_bytes += 1;
        }
        self.event_len
    }
}

/// Counts the events of a stream, and tracks whether its bytes so far end inside one.
///
/// # Examples
///
/// ```
/// use celeryknot_endpoints::sse::EventBoundary;
///
/// let mut boundary = EventBoundary::default();
/// boundary.push(b"id: 7\ndata: a\n");
/// assert!(boundary.is_inside_event());
/// boundary.push(b"\n");
/// assert!(!boundary.is_inside_event());
/// assert_eq!(boundary.events(), 1);
/// ```
#[derive(Debug, Clone, Default)]
pub struct EventBoundary {
    scanner: EventScanner,
    events: u32,
}

impl EventBoundary {
    /// Appends the next bytes of the stream.
    pub fn push(&mut self, bytes: &[u8]) {
        for byte in bytes {
            if self.scanner.advance(*byte) != EventEnd::No {
                self.events = self.events.saturating_add(1);
            }
        }
    }

    /// Returns the number of complete events.
    pub fn events(&self) -> u32 {
        self.events
    }

    /// Returns whether the stream would end inside an event if it ended here.
    pub fn is_inside_event(&self) -> bool {
        self.scanner.is_inside_event()
    }
}

/// Finds the ends of events: blank lines, where each line ends by CR, LF or CR LF.
///
/// It reads byte by byte, so that the result doesn't depend on how a stream is split into reads.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum EventScanner {
    /// Before the first line of an event; blank lines belong to no event.
    #[default]
    BetweenEvents,
    /// Inside a line.
    InLine,
    /// After the carriage return that ends a line, to which a line feed may belong.
    AfterCarriageReturn,
    /// After the line feed that ends a line.
    AfterLineFeed,
    /// After the carriage return of a blank line, to which a line feed may belong.
    ///
    /// The end of the event is known with the next byte only, as a stream whose lines end by CR LF
    /// and that is cut here isn't whole.
    AfterBlankCarriageReturn,
}

/// Where an event ends, relative to the byte just read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum EventEnd {
    No,
    Before,
    After,
}

impl EventScanner {
    fn advance(&mut self, byte: u8) -> EventEnd {
        let (next, end) = match (*self, byte) {
            (Self::BetweenEvents, b'\r' | b'\n') => (Self::BetweenEvents, EventEnd::No),
            (Self::InLine, b'\r') => (Self::AfterCarriageReturn, EventEnd::No),
            (Self::InLine | Self::AfterCarriageReturn, b'\n') => {
                (Self::AfterLineFeed, EventEnd::No)
            }
            // Nothing may follow for a time where lines end by carriage returns alone.
            (Self::AfterCarriageReturn, b'\r') => (Self::BetweenEvents, EventEnd::After),
            (Self::AfterLineFeed, b'\r') => (Self::AfterBlankCarriageReturn, EventEnd::No),
            (Self::AfterLineFeed | Self::AfterBlankCarriageReturn, b'\n') => {
                (Self::BetweenEvents, EventEnd::After)
            }
            (Self::AfterBlankCarriageReturn, b'\r') => (Self::BetweenEvents, EventEnd::Before),
            (Self::AfterBlankCarriageReturn, _) => (Self::InLine, EventEnd::Before),
            (
                Self::BetweenEvents
                | Self::InLine
                | Self::AfterCarriageReturn
                | Self::AfterLineFeed,
                _,
            ) => (Self::InLine, EventEnd::No),
        };
        *self = next;
        end
    }

    fn is_inside_event(self) -> bool {
        self != Self::BetweenEvents
    }
}

/// The id of an event, as a request to resume its stream can hold it.
///
/// # Examples
///
/// ```
/// use celeryknot_endpoints::EventId;
///
/// let id: EventId = "7".parse()?;
/// assert_eq!(id.to_string(), "7");
/// assert!("7\u{1}".parse::<EventId>().is_err());
/// # Ok::<(), celeryknot_endpoints::sse::EventIdError>(())
/// ```
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EventId(String);

impl EventId {
    /// Returns the id as text of visible ASCII characters and inner spaces.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for EventId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl FromStr for EventId {
    type Err = EventIdError;

    fn from_str(text: &str) -> Result<Self, EventIdError> {
        // Recipients of a header field remove spaces around its value.
        let is_visible = text.bytes().all(|byte| (b' '..=b'~').contains(&byte));
        let is_kept = !text.is_empty() && text.trim() == text;
        match is_visible && is_kept && text.len() <= EVENT_ID_LEN_MAX_BYTES {
            true => Ok(Self(text.to_owned())),
            false => Err(EventIdError),
        }
    }
}

/// The error returned for an id that a header field can't hold unchanged.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EventIdError;

impl fmt::Display for EventIdError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "not an event id of 1 to {EVENT_ID_LEN_MAX_BYTES} visible ASCII characters"
        )
    }
}

impl std::error::Error for EventIdError {}

/// Where a stream can be resumed, after the events so far.
///
/// # Examples
///
/// ```
/// use celeryknot_endpoints::sse::StreamPosition;
///
/// let mut position = StreamPosition::default();
/// position.advance(b"id: 7\ndata: a\n\n");
/// assert_eq!(position, StreamPosition::After("7".parse()?));
/// position.advance(b"data: b\n\n");
/// assert_eq!(position, StreamPosition::Unknown);
/// # Ok::<(), celeryknot_endpoints::sse::EventIdError>(())
/// ```
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub enum StreamPosition {
    /// No event so far.
    #[default]
    Beginning,
    /// After the last event, which is the only one with this id in a row.
    After(EventId),
    /// No request can name the last event.
    Unknown,
}

impl StreamPosition {
    /// Moves past the next event.
    pub fn advance(&mut self, event: &[u8]) {
        let id = fields(event, b"id").next_back();
        let has_data = fields(event, b"data").next().is_some();
        match id {
            Some(id) => *self = self.after_id(id),
            None if has_data => *self = Self::Unknown,
            // Without data, it may be sent twice.
            None => {}
        }
    }

    fn after_id(&self, id: &[u8]) -> Self {
        let id = std::str::from_utf8(id).ok().and_then(|id| id.parse().ok());
        match (id, self) {
            (Some(id), Self::After(last)) if id == *last => Self::Unknown,
            (Some(id), _) => Self::After(id),
            (None, _) => Self::Unknown,
        }
    }

    /// Returns the last event's id, if the stream can be resumed after it.
    pub fn last_event_id(&self) -> Option<&EventId> {
        match self {
            Self::After(id) => Some(id),
            Self::Beginning | Self::Unknown => None,
        }
    }
}

/// Returns whether the headers of a response announce a stream of events.
///
/// # Examples
///
/// ```
/// use celeryknot_endpoints::sse::is_event_stream;
///
/// let mut headers = http::HeaderMap::new();
/// assert!(!is_event_stream(&headers));
/// headers.insert("content-type", "Text/Event-Stream; charset=utf-8".parse().unwrap());
/// assert!(is_event_stream(&headers));
/// ```
pub fn is_event_stream(headers: &HeaderMap) -> bool {
    headers.get(CONTENT_TYPE).is_some_and(|value| {
        let mut parts = value.as_bytes().split(|byte| *byte == b';');
        let media_type = parts.next().unwrap_or_default();
        media_type
            .trim_ascii()
            .eq_ignore_ascii_case(b"text/event-stream")
    })
}

/// Returns the values of an event's fields with a name, in order.
fn fields<'a>(event: &'a [u8], name: &[u8]) -> impl DoubleEndedIterator<Item = &'a [u8]> {
    let lines = event.split(|byte| matches!(byte, b'\r' | b'\n'));
    lines.filter_map(move |line| {
        let value = line.strip_prefix(name)?;
        match value.strip_prefix(b":") {
            Some(value) => Some(value.strip_prefix(b" ").unwrap_or(value)),
            None => value.is_empty().then_some(value),
        }
    })
}

/// Parses a byte stream into events, buffering at most one partial event.
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
    /// Appends the next bytes of the stream; drain [`Self::next_event`] after each call.
    ///
    /// # Errors
    ///
    /// `AnswerTooLarge` if an event exceeds [`EVENT_SIZE_MAX_BYTES`].
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), ErrorKind> {
        self.0.push(bytes)
    }

    /// Removes and returns the next complete event.
    pub fn next_event(&mut self) -> Option<SseEvent> {
        self.0.next_event().map(parse_event)
    }

    /// Returns whether the buffer holds part of an event.
    pub fn has_partial_event(&self) -> bool {
        self.0.has_partial_event()
    }
}

fn parse_event(raw: Bytes) -> SseEvent {
    let data = fields(&raw, b"data").next().map(<[u8]>::trim_ascii);
    if data == Some(b"[DONE]".as_slice()) {
        return SseEvent::Done;
    }
    let token = data.and_then(|json| serde_json::from_slice(json).ok());
    SseEvent::Data { raw, token }
}
