//! A scanner that finds requests with ambiguous framing in the bytes of an HTTP/1.1 connection: two
//! parsers could disagree on where such a request ends.
//!
//! The HTTP library resolves the ambiguity by the rules of RFC 9112 and drops the conflicting
//! headers, so the parsed headers no longer show it.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use celeryknot_core::Timers;
use celeryknot_core::timers::Sleep;
use futures_lite::{AsyncRead, AsyncWrite};
use smol::net::TcpStream;

use crate::limits::ConnectionTimeouts;

/// Limit on the bytes buffered of a line; the relevant header fields are shorter.
const LINE_BUFFER_MAX_BYTES: usize = 256;

/// A request extension that marks ambiguous framing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AmbiguousFraming;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum MessagePart {
    Head,
    Body {
        remaining_bytes: u64,
    },
    ChunkSize,
    ChunkData {
        remaining_bytes: u64,
    },
    Trailers,
    /// The framing can't be parsed any further; the HTTP library closes the connection.
    Unparsable,
}

#[derive(Debug, Clone, Copy, Default)]
struct HeadFraming {
    has_lines: bool,
    content_lengths: u32,
    content_length_bytes: u64,
    transfer_encodings: u32,
}

/// Tracks the framing of the requests of one connection.
///
/// # Examples
///
/// ```
/// use celeryknot_callers::head_scanner::HeadScanner;
///
/// let mut scanner = HeadScanner::default();
/// scanner.scan(b"GET / HTTP/1.1\r\n\r\n");
/// scanner.scan(b"POST / HTTP/1.1\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n");
/// assert!(!scanner.pop_is_ambiguous());
/// assert!(scanner.pop_is_ambiguous());
/// ```
#[derive(Debug)]
pub struct HeadScanner {
    part: MessagePart,
    framing: HeadFraming,
    line: Vec<u8>,
    ambiguity_queue: VecDeque<bool>,
}

impl Default for HeadScanner {
    fn default() -> Self {
        Self {
            part: MessagePart::Head,
            framing: HeadFraming::default(),
            line: Vec::new(),
            ambiguity_queue: VecDeque::new(),
        }
    }
}

impl HeadScanner {
    /// Scans the next bytes of the connection.
    pub fn scan(&mut self, mut bytes: &[u8]) {
        while !bytes.is_empty() {
            bytes = match self.part {
                MessagePart::Unparsable => return,
                MessagePart::Body { remaining_bytes } => {
                    self.skip(bytes, remaining_bytes, MessagePart::Head)
                }
                MessagePart::ChunkData { remaining_bytes } => {
                    self.skip(bytes, remaining_bytes, MessagePart::ChunkSize)
                }
                MessagePart::Head | MessagePart::ChunkSize | MessagePart::Trailers => {
                    self.scan_until_newline(bytes)
                }
            };
        }
    }

    /// Returns whether the next bytes belong to a request head, started or not.
    fn is_in_head(&self) -> bool {
        self.part == MessagePart::Head
    }

    /// Returns whether no byte of the next head has arrived.
    fn is_between_requests(&self) -> bool {
        self.part == MessagePart::Head && !self.framing.has_lines && self.line.is_empty()
    }

    /// Removes the oldest scanned request and returns whether its framing is ambiguous.
    pub fn pop_is_ambiguous(&mut self) -> bool {
        self.ambiguity_queue.pop_front().unwrap_or(false)
    }

    fn skip<'b>(&mut self, bytes: &'b [u8], remaining_bytes: u64, next: MessagePart) -> &'b [u8] {
        let skipped = remaining_bytes.min(bytes.len() as u64);
        let remaining_bytes = remaining_bytes - skipped;
        self.part = match (self.part, remaining_bytes) {
            (_, 0) => next,
            (MessagePart::ChunkData { .. }, remaining_bytes) => {
                MessagePart::ChunkData { remaining_bytes }
            }
            (_, remaining_bytes) => MessagePart::Body { remaining_bytes },
        };
        &bytes[skipped as usize..]
    }

    fn scan_until_newline<'b>(&mut self, bytes: &'b [u8]) -> &'b [u8] {
        let end = bytes.iter().position(|byte| *byte == b'\n');
        let (piece, rest) = match end {
            Some(end) => (&bytes[..end], &bytes[end + 1..]),
            None => (bytes, &bytes[bytes.len()..]),
        };
        let capacity = LINE_BUFFER_MAX_BYTES.saturating_sub(self.line.len());
        self.line
            .extend_from_slice(&piece[..piece.len().min(capacity)]);
        if end.is_some() {
            let line = std::mem::take(&mut self.line);
            self.process_line(line.trim_ascii());
        }
        rest
    }

    fn process_line(&mut self, line: &[u8]) {
        match self.part {
            MessagePart::Head if line.is_empty() => self.finish_head(),
            MessagePart::Head => self.record_field(line),
            MessagePart::ChunkSize => self.part = parse_chunk_size(line),
            MessagePart::Trailers if line.is_empty() => self.part = MessagePart::Head,
            MessagePart::Trailers
            | MessagePart::Body { .. }
            | MessagePart::ChunkData { .. }
            | MessagePart::Unparsable => {}
        }
    }

    fn record_field(&mut self, line: &[u8]) {
        self.framing.has_lines = true;
        let Some(colon) = line.iter().position(|byte| *byte == b':') else {
            return;
        };
        let name = line[..colon].trim_ascii();
        if name.eq_ignore_ascii_case(b"content-length") {
            self.framing.content_lengths += 1;
            self.framing.content_length_bytes =
                parse_number(line[colon + 1..].trim_ascii(), 10).unwrap_or(0);
        }
        if name.eq_ignore_ascii_case(b"transfer-encoding") {
            self.framing.transfer_encodings += 1;
        }
    }

    fn finish_head(&mut self) {
        let framing = std::mem::take(&mut self.framing);
        if !framing.has_lines {
            // Empty lines may precede a request (RFC 9112).
            return;
        }
        let is_ambiguous = framing.content_lengths > 1
            || framing.transfer_encodings > 1
            || framing.content_lengths + framing.transfer_encodings > 1;
        self.ambiguity_queue.push_back(is_ambiguous);
        self.part = match (
            is_ambiguous,
            framing.transfer_encodings,
            framing.content_length_bytes,
        ) {
            (true, _, _) => MessagePart::Unparsable,
            (false, 0, 0) => MessagePart::Head,
            (false, 0, remaining_bytes) => MessagePart::Body { remaining_bytes },
            (false, _, _) => MessagePart::ChunkSize,
        };
    }
}

/// Parses a chunk size line and returns the part that follows it.
fn parse_chunk_size(line: &[u8]) -> MessagePart {
    let size = line.split(|byte| *byte == b';').next().unwrap_or_default();
    match parse_number(size.trim_ascii(), 16) {
        Some(0) => MessagePart::Trailers,
        // The CRLF after the data belongs to the chunk.
        Some(size_bytes) => match size_bytes.checked_add(2) {
            Some(remaining_bytes) => MessagePart::ChunkData { remaining_bytes },
            None => MessagePart::Unparsable,
        },
        None => MessagePart::Unparsable,
    }
}

fn parse_number(digits: &[u8], radix: u32) -> Option<u64> {
    u64::from_str_radix(std::str::from_utf8(digits).ok()?, radix).ok()
}

/// A connection that scans the bytes it receives and enforces the head timeout.
#[derive(Debug)]
pub(crate) struct ScannedStream {
    stream: TcpStream,
    scanner: Rc<RefCell<HeadScanner>>,
    head_timeout: HeadTimeout,
    /// Runs while the caller takes no bytes of a response.
    write_timeout: Option<Sleep>,
}

/// The timeout for the head of the next request.
#[derive(Debug)]
pub(crate) struct HeadTimeout {
    timers: Timers,
    timeouts: ConnectionTimeouts,
    sleep: Option<Sleep>,
    /// The requests whose responses are not complete; the timeout is off while there are any.
    in_flight: Rc<Cell<u32>>,
}

impl HeadTimeout {
    pub(crate) fn new(
        timers: Timers,
        timeouts: ConnectionTimeouts,
        in_flight: Rc<Cell<u32>>,
    ) -> Self {
        Self {
            timers,
            timeouts,
            sleep: None,
            in_flight,
        }
    }

    fn poll(
        &mut self,
        context: &mut Context<'_>,
        is_in_head: bool,
        is_between_requests: bool,
    ) -> Poll<()> {
        if !is_in_head || self.in_flight.get() > 0 {
            self.sleep = None;
            return Poll::Pending;
        }
        let (timers, timeouts) = (&self.timers, &self.timeouts);
        let sleep = self.sleep.get_or_insert_with(|| {
            timers.after(match is_between_requests {
                true => timeouts.idle_timeout(),
                false => timeouts.header_timeout(),
            })
        });
        Pin::new(sleep).poll(context)
    }
}

/// The HTTP library reports both as a failed write, so that the reason says whether a response was cut.
const NO_REQUEST: &str = "no request arrived in time; no response was in progress";
const NOTHING_READ: &str = "the caller read nothing in time; a response was in progress";

fn timed_out(reason: &'static str) -> io::Error {
    io::Error::new(io::ErrorKind::TimedOut, reason)
}

impl ScannedStream {
    pub(crate) fn new(
        stream: TcpStream,
        scanner: Rc<RefCell<HeadScanner>>,
        head_timeout: HeadTimeout,
    ) -> Self {
        Self {
            stream,
            scanner,
            head_timeout,
            write_timeout: None,
        }
    }

    fn poll_head_timeout(&mut self, context: &mut Context<'_>) -> Poll<()> {
        let (is_in_head, is_between_requests) = {
            let scanner = self.scanner.borrow();
            (scanner.is_in_head(), scanner.is_between_requests())
        };
        self.head_timeout
            .poll(context, is_in_head, is_between_requests)
    }

    /// Restarts the timeouts when bytes were written; fails a write that was blocked for too long.
    fn limit_write(
        &mut self,
        context: &mut Context<'_>,
        poll: Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        if poll.is_ready() {
            self.head_timeout.sleep = None;
            self.write_timeout = None;
            return poll;
        }
        let HeadTimeout {
            timers, timeouts, ..
        } = &self.head_timeout;
        let timeout = self
            .write_timeout
            .get_or_insert_with(|| timers.after(timeouts.idle_timeout()));
        Pin::new(timeout)
            .poll(context)
            .map(|()| Err(timed_out(NOTHING_READ)))
    }
}

impl AsyncRead for ScannedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let this = &mut *self;
        let poll = Pin::new(&mut this.stream).poll_read(context, buffer);
        if let Poll::Ready(Ok(len)) = &poll {
            let mut scanner = this.scanner.borrow_mut();
            let was_in_head = scanner.is_in_head() && !scanner.is_between_requests();
            scanner.scan(&buffer[..*len]);
            if !(was_in_head && scanner.is_in_head()) {
                this.head_timeout.sleep = None;
            }
            return poll;
        }
        if poll.is_pending() && this.poll_head_timeout(context).is_ready() {
            return Poll::Ready(Err(timed_out(NO_REQUEST)));
        }
        poll
    }
}

impl AsyncWrite for ScannedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let poll = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.limit_write(context, poll)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let poll = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.limit_write(context, poll)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let poll = Pin::new(&mut self.stream).poll_flush(context);
        // After the end of a response, the HTTP library waits for the next request without another
        // read, so the timeout starts here.
        if poll.is_ready() && self.poll_head_timeout(context).is_ready() {
            return Poll::Ready(Err(timed_out(NO_REQUEST)));
        }
        poll
    }

    fn poll_close(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(context)
    }
}
