//! An endpoint on raw sockets, which sends any bytes in place of a response.

use std::borrow::Cow;
use std::collections::VecDeque;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

use socket2::SockRef;
use strum::{Display, EnumIter};

use crate::LOOPBACK;

/// Delay before a reset, which discards bytes that the peer has not received.
const RESET_DELAY: Duration = Duration::from_millis(50);

/// Pause between two parts of a reply.
const SPLIT_PAUSE: Duration = Duration::from_millis(2);

/// A complete response to another request.
const SECOND_RESPONSE: &str = "HTTP/1.1 200 OK\r\nattempt-id: ffffffffffffffff\r\n\
    celeryknot-request-id: ffffffffffffffff\r\ninstance-signature: s\r\n\
    content-length: 6\r\n\r\nsecond";

/// Events that are repeated without end.
const ENDLESS_DATA: &str = "data: 0123456789012345678901234567890123456789012345678901234567\n\n";
const ENDLESS_CHUNK: &str =
    "40\r\ndata: 0123456789012345678901234567890123456789012345678901234\n\n\n\r\n";

/// Header fields that can carry the id of a request.
const ID_HEADERS: [&str; 2] = ["celeryknot-request-id", "attempt-id"];

/// What follows the bytes of a reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReplyEnd {
    /// The connection is closed.
    Close,
    /// The connection is reset.
    Reset,
    /// Nothing, until the peer closes the connection.
    Silence,
    /// The connection stays open for the next request.
    KeepOpen,
    /// These bytes again and again, until the peer closes the connection.
    Repeat(&'static str),
}

/// How a reply marks the end of its body.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub enum ReplyFraming {
    /// `Content-Length`, HTTP/1.1.
    Length,
    /// `Content-Length`, HTTP/1.0 with a kept connection.
    LengthHttp10,
    /// Chunks.
    Chunked,
    /// Neither, HTTP/1.1.
    Close,
    /// Neither, HTTP/1.0.
    CloseHttp10,
}

/// How the body of a reply ends; positions are in bytes of the body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyEnding {
    /// Complete.
    Whole,
    /// Marked as complete at this position.
    MarkedAt(usize),
    /// The connection is closed here, before the end that the framing announces.
    ClosedAt(usize),
    /// The connection is closed here, inside a chunk.
    ClosedInChunkAt(usize),
    /// The connection is reset here.
    ResetAt(usize),
    /// Nothing more is sent from here on.
    SilentAt(usize),
    /// Data without end follows from here on.
    EndlessAt(usize),
    /// Further bytes follow the complete response.
    ExtraBytes,
    /// The response to another request follows the complete response.
    SecondResponse,
}

/// The reply to one request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RawReply {
    /// The bytes to send, with `{id}` in place of the request's id.
    pub text: Cow<'static, str>,
    /// What follows them.
    pub end: ReplyEnd,
    /// Where to pause between two writes, in bytes.
    pub split_at: Option<usize>,
}

impl RawReply {
    /// Creates a reply of fixed bytes.
    pub const fn new(text: &'static str, end: ReplyEnd) -> Self {
        Self {
            text: Cow::Borrowed(text),
            end,
            split_at: None,
        }
    }

    /// Creates a response with the given framing, header fields (each with its line end) and body.
    ///
    /// # Examples
    ///
    /// ```
    /// use celeryknot_standins::raw_endpoint::{BodyEnding, RawReply, ReplyFraming};
    ///
    /// let reply = RawReply::framed(ReplyFraming::Length, "", "whole", BodyEnding::ClosedAt(2));
    /// assert_eq!(reply.text, "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwh");
    /// ```
    pub fn framed(framing: ReplyFraming, fields: &str, body: &str, ending: BodyEnding) -> Self {
        let sent = &body[..ending.sent_len(body)];
        let is_marked = ending.is_marked();
        let length = match is_marked {
            true => sent.len(),
            false if matches!(ending, BodyEnding::EndlessAt(_)) => usize::MAX / 2,
            false => body.len(),
        };
        let (version, framing_field) = match framing {
            ReplyFraming::Length => ("1.1", format!("content-length: {length}\r\n")),
            ReplyFraming::LengthHttp10 => (
                "1.0",
                format!("connection: keep-alive\r\ncontent-length: {length}\r\n"),
            ),
            ReplyFraming::Chunked => ("1.1", "transfer-encoding: chunked\r\n".to_owned()),
            ReplyFraming::Close => ("1.1", String::new()),
            ReplyFraming::CloseHttp10 => ("1.0", String::new()),
        };
        let body_text = match framing {
            ReplyFraming::Chunked => chunks(sent, body.len(), ending),
            ReplyFraming::Length
            | ReplyFraming::LengthHttp10
            | ReplyFraming::Close
            | ReplyFraming::CloseHttp10 => sent.to_owned(),
        };
        let after = match () {
            () if ending == BodyEnding::ExtraBytes => "surplus",
            () if ending == BodyEnding::SecondResponse => SECOND_RESPONSE,
            () => "",
        };
        Self {
            text: Cow::Owned(format!(
                "HTTP/{version} 200 OK\r\n{fields}{framing_field}\r\n{body_text}{after}"
            )),
            end: reply_end(framing, ending),
            split_at: None,
        }
    }
}

impl BodyEnding {
    /// Returns how many bytes of the body are sent.
    fn sent_len(self, body: &str) -> usize {
        match self {
            Self::Whole | Self::ExtraBytes | Self::SecondResponse => body.len(),
            Self::MarkedAt(at)
            | Self::ClosedAt(at)
            | Self::ClosedInChunkAt(at)
            | Self::ResetAt(at)
            | Self::SilentAt(at)
            | Self::EndlessAt(at) => at,
        }
    }

    /// Returns whether the framing marks the sent part as complete.
    fn is_marked(self) -> bool {
        match self {
            Self::Whole | Self::MarkedAt(_) | Self::ExtraBytes | Self::SecondResponse => true,
            Self::ClosedAt(_)
            | Self::ClosedInChunkAt(_)
            | Self::ResetAt(_)
            | Self::SilentAt(_)
            | Self::EndlessAt(_) => false,
        }
    }
}

/// Encodes the sent part of a body as one chunk, with the last chunk if it is marked as complete.
fn chunks(sent: &str, announced_len: usize, ending: BodyEnding) -> String {
    if matches!(ending, BodyEnding::ClosedInChunkAt(_)) {
        return format!("{announced_len:x}\r\n{sent}");
    }
    let last_chunk = match ending.is_marked() {
        true => "0\r\n\r\n",
        false => "",
    };
    match sent.len() {
        0 => last_chunk.to_owned(),
        len => format!("{len:x}\r\n{sent}\r\n{last_chunk}"),
    }
}

fn reply_end(framing: ReplyFraming, ending: BodyEnding) -> ReplyEnd {
    let is_close_delimited = matches!(framing, ReplyFraming::Close | ReplyFraming::CloseHttp10);
    match ending {
        BodyEnding::Whole
        | BodyEnding::MarkedAt(_)
        | BodyEnding::ExtraBytes
        | BodyEnding::SecondResponse
            if !is_close_delimited =>
        {
            ReplyEnd::KeepOpen
        }
        BodyEnding::ResetAt(_) => ReplyEnd::Reset,
        BodyEnding::SilentAt(_) => ReplyEnd::Silence,
        BodyEnding::EndlessAt(_) if framing == ReplyFraming::Chunked => {
            ReplyEnd::Repeat(ENDLESS_CHUNK)
        }
        BodyEnding::EndlessAt(_) => ReplyEnd::Repeat(ENDLESS_DATA),
        BodyEnding::Whole
        | BodyEnding::MarkedAt(_)
        | BodyEnding::ClosedAt(_)
        | BodyEnding::ClosedInChunkAt(_)
        | BodyEnding::ExtraBytes
        | BodyEnding::SecondResponse => ReplyEnd::Close,
    }
}

#[derive(Debug, Default)]
struct Counters {
    requests: AtomicU32,
    repeated_bytes: AtomicU64,
}

/// The replies of one or several endpoints, in order; the last one is repeated.
#[derive(Debug, Clone)]
pub struct Replies(Arc<Mutex<VecDeque<RawReply>>>);

impl Replies {
    /// Creates a list of a single reply.
    pub fn new(reply: RawReply) -> Self {
        Self(Arc::new(Mutex::new([reply].into())))
    }

    /// Replaces the replies to requests that arrive from now on.
    pub fn set(&self, replies: impl IntoIterator<Item = RawReply>) {
        *self.lock() = replies.into_iter().collect();
    }

    fn next(&self) -> Option<RawReply> {
        let mut replies = self.lock();
        match replies.len() {
            0 | 1 => replies.front().cloned(),
            _ => replies.pop_front(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, VecDeque<RawReply>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// An endpoint that sends the same reply to every request except load polls.
///
/// # Examples
///
/// ```
/// use celeryknot_standins::raw_endpoint::{RawEndpoint, RawReply, ReplyEnd};
///
/// let endpoint = RawEndpoint::start(RawReply::new("HTTP/1.1 200 OK\r\n\r\n", ReplyEnd::Close))?;
/// assert_eq!(endpoint.request_count(), 0);
/// # Ok::<(), std::io::Error>(())
/// ```
#[derive(Debug)]
pub struct RawEndpoint {
    /// The address at which it accepts requests.
    pub address: SocketAddr,
    counters: Arc<Counters>,
}

impl RawEndpoint {
    /// Starts an endpoint on a free loopback port.
    ///
    /// # Errors
    ///
    /// No port is available.
    pub fn start(reply: RawReply) -> io::Result<Self> {
        Self::start_with(Replies::new(reply))
    }

    /// Starts an endpoint that takes its replies from a list, which others may share.
    ///
    /// # Errors
    ///
    /// No port is available.
    pub fn start_with(replies: Replies) -> io::Result<Self> {
        let listener = TcpListener::bind(LOOPBACK)?;
        let endpoint = Self {
            address: listener.local_addr()?,
            counters: Arc::default(),
        };
        let counters = Arc::clone(&endpoint.counters);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (replies, counters) = (replies.clone(), Arc::clone(&counters));
                thread::spawn(move || {
                    // The daemon may close the connection at any time.
                    let _ = serve(stream, &replies, &counters);
                });
            }
        });
        Ok(endpoint)
    }

    /// Returns the number of requests received, without load polls.
    pub fn request_count(&self) -> u32 {
        self.counters.requests.load(Ordering::SeqCst)
    }

    /// Returns the number of bytes that were repeated on all connections.
    pub fn repeated_bytes(&self) -> u64 {
        self.counters.repeated_bytes.load(Ordering::SeqCst)
    }
}

fn serve(mut stream: TcpStream, replies: &Replies, counters: &Counters) -> io::Result<()> {
    stream.set_nodelay(true)?;
    while let Some(head) = read_request(&mut stream)? {
        if head.starts_with("GET /v1/load") {
            let body = r#"{"in_flight": 0, "queued": 0, "cold": false, "bound": 64}"#;
            let length = body.len();
            return write!(
                stream,
                "HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{body}"
            );
        }
        counters.requests.fetch_add(1, Ordering::SeqCst);
        let Some(reply) = replies.next() else {
            return Ok(());
        };
        let id = ID_HEADERS.iter().find_map(|name| header(&head, name));
        let text = reply.text.replace("{id}", &id.unwrap_or_default());
        let split_at = reply.split_at.unwrap_or(0).min(text.len());
        let (first, rest) = text.as_bytes().split_at(split_at);
        if !first.is_empty() {
            stream.write_all(first)?;
            thread::sleep(SPLIT_PAUSE);
        }
        stream.write_all(rest)?;
        match reply.end {
            ReplyEnd::KeepOpen => continue,
            ReplyEnd::Close => {}
            ReplyEnd::Reset => {
                thread::sleep(RESET_DELAY);
                // Closing a socket with a linger time of zero resets the connection.
                SockRef::from(&stream).set_linger(Some(Duration::ZERO))?;
            }
            ReplyEnd::Silence => {
                let mut rest = [0; 64];
                while stream.read(&mut rest)? > 0 {}
            }
            ReplyEnd::Repeat(bytes) => loop {
                stream.write_all(bytes.as_bytes())?;
                let len = bytes.len() as u64;
                counters.repeated_bytes.fetch_add(len, Ordering::SeqCst);
            },
        }
        return Ok(());
    }
    Ok(())
}

/// Reads a request with its body; returns its head, or `None` at the end of the connection.
fn read_request(stream: &mut TcpStream) -> io::Result<Option<String>> {
    let mut bytes = Vec::new();
    let mut byte = [0];
    while !bytes.ends_with(b"\r\n\r\n") {
        if stream.read(&mut byte)? == 0 {
            return Ok(None);
        }
        bytes.push(byte[0]);
    }
    let head = String::from_utf8_lossy(&bytes).into_owned();
    let length = header(&head, "content-length").and_then(|text| text.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    stream.read_exact(&mut body)?;
    Ok(Some(head))
}

fn header(head: &str, name: &str) -> Option<String> {
    head.lines().find_map(|line| {
        let (header_name, value) = line.split_once(':')?;
        header_name
            .eq_ignore_ascii_case(name)
            .then(|| value.trim().to_owned())
    })
}
