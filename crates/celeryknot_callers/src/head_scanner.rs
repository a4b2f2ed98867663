//! Looks at the bytes of an HTTP/1.1 connection for requests whose end two parsers could see at
//! two places.
//!
//! The HTTP library resolves such a request by the rules of RFC 9112 and drops the evidence, so
//! that a check of its parsed headers comes too late.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use celeryknot_core::timers::Sleep;
use celeryknot_core::{DurationMs, Timers};
use futures_lite::{AsyncRead, AsyncWrite};
use smol::net::TcpStream;

/// Bytes of a line that are kept; the fields that matter are shorter.
const LINE_KEPT_BYTES: usize = 256;

/// Marks a request whose framing can be read in two ways.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AmbiguousFraming;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Part {
    Head,
    Body {
        left_bytes: u64,
    },
    ChunkSize,
    ChunkData {
        left_bytes: u64,
    },
    Trailers,
    /// The framing can't be followed any further; the HTTP library ends the connection.
    Lost,
}

#[derive(Debug, Clone, Copy, Default)]
struct Head {
    has_lines: bool,
    lengths: u32,
    length_bytes: u64,
    codings: u32,
}

/// Follows the requests of one connection.
///
/// # Examples
///
/// ```
/// use celeryknot_callers::head_scanner::HeadScanner;
///
/// let mut scanner = HeadScanner::default();
/// scanner.scan(b"GET / HTTP/1.1\r\n\r\n");
/// scanner.scan(b"POST / HTTP/1.1\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n");
/// assert!(!scanner.take_is_ambiguous());
/// assert!(scanner.take_is_ambiguous());
/// ```
#[derive(Debug)]
pub struct HeadScanner {
    part: Part,
    head: Head,
    line: Vec<u8>,
    are_ambiguous: VecDeque<bool>,
}

impl Default for HeadScanner {
    fn default() -> Self {
        Self {
            part: Part::Head,
            head: Head::default(),
            line: Vec::new(),
            are_ambiguous: VecDeque::new(),
        }
    }
}

impl HeadScanner {
    /// Takes the next bytes of the connection.
    pub fn scan(&mut self, mut bytes: &[u8]) {
        while !bytes.is_empty() {
            bytes = match self.part {
                Part::Lost => return,
                Part::Body { left_bytes } => self.skip(bytes, left_bytes, Part::Head),
                Part::ChunkData { left_bytes } => self.skip(bytes, left_bytes, Part::ChunkSize),
                Part::Head | Part::ChunkSize | Part::Trailers => self.scan_line(bytes),
            };
        }
    }

    /// Tells whether the caller owes the rest of a head, or the next one.
    fn is_in_head(&self) -> bool {
        self.part == Part::Head
    }

    /// Tells whether no byte of the next head has come.
    fn is_between_requests(&self) -> bool {
        self.part == Part::Head && !self.head.has_lines && self.line.is_empty()
    }

    /// Tells of the next request, in their order, whether its framing is ambiguous.
    pub fn take_is_ambiguous(&mut self) -> bool {
        self.are_ambiguous.pop_front().unwrap_or(false)
    }

    fn skip<'b>(&mut self, bytes: &'b [u8], left_bytes: u64, next: Part) -> &'b [u8] {
        let skipped = left_bytes.min(bytes.len() as u64);
        let left_bytes = left_bytes - skipped;
        self.part = match (self.part, left_bytes) {
            (_, 0) => next,
            (Part::ChunkData { .. }, left_bytes) => Part::ChunkData { left_bytes },
            (_, left_bytes) => Part::Body { left_bytes },
        };
        &bytes[skipped as usize..]
    }

    fn scan_line<'b>(&mut self, bytes: &'b [u8]) -> &'b [u8] {
        let end = bytes.iter().position(|byte| *byte == b'\n');
        let (piece, rest) = match end {
            Some(end) => (&bytes[..end], &bytes[end + 1..]),
            None => (bytes, &bytes[bytes.len()..]),
        };
        let room = LINE_KEPT_BYTES.saturating_sub(self.line.len());
        self.line.extend_from_slice(&piece[..piece.len().min(room)]);
        if end.is_some() {
            let line = std::mem::take(&mut self.line);
            self.end_line(line.trim_ascii());
        }
        rest
    }

    fn end_line(&mut self, line: &[u8]) {
        match self.part {
            Part::Head if line.is_empty() => self.end_head(),
            Part::Head => self.note_field(line),
            Part::ChunkSize => self.part = chunk_of(line),
            Part::Trailers if line.is_empty() => self.part = Part::Head,
            Part::Trailers | Part::Body { .. } | Part::ChunkData { .. } | Part::Lost => {}
        }
    }

    fn note_field(&mut self, line: &[u8]) {
        self.head.has_lines = true;
        let Some(colon) = line.iter().position(|byte| *byte == b':') else {
            return;
        };
        let name = line[..colon].trim_ascii();
        if name.eq_ignore_ascii_case(b"content-length") {
            self.head.lengths += 1;
            self.head.length_bytes = number(line[colon + 1..].trim_ascii(), 10).unwrap_or(0);
        }
        if name.eq_ignore_ascii_case(b"transfer-encoding") {
            self.head.codings += 1;
        }
    }

    fn end_head(&mut self) {
        let head = std::mem::take(&mut self.head);
        if !head.has_lines {
            // Empty lines may stand before a request.
            return;
        }
        let is_ambiguous = head.lengths > 1 || head.codings > 1 || head.lengths + head.codings > 1;
        self.are_ambiguous.push_back(is_ambiguous);
        self.part = match (is_ambiguous, head.codings, head.length_bytes) {
            (true, _, _) => Part::Lost,
            (false, 0, 0) => Part::Head,
            (false, 0, left_bytes) => Part::Body { left_bytes },
            (false, _, _) => Part::ChunkSize,
        };
    }
}

/// Returns what follows the line with the size of a chunk.
fn chunk_of(line: &[u8]) -> Part {
    let size = line.split(|byte| *byte == b';').next().unwrap_or_default();
    match number(size.trim_ascii(), 16) {
        Some(0) => Part::Trailers,
        // The line end after the data belongs to the chunk.
        Some(size_bytes) => match size_bytes.checked_add(2) {
            Some(left_bytes) => Part::ChunkData { left_bytes },
            None => Part::Lost,
        },
        None => Part::Lost,
    }
}

fn number(digits: &[u8], radix: u32) -> Option<u64> {
    u64::from_str_radix(std::str::from_utf8(digits).ok()?, radix).ok()
}

/// A connection whose received bytes are scanned.
#[derive(Debug)]
pub(crate) struct ScannedStream {
    stream: TcpStream,
    scanner: Rc<RefCell<HeadScanner>>,
    head_timeout: HeadTimeout,
}

/// Ends a connection whose head does not come in time.
#[derive(Debug)]
pub(crate) struct HeadTimeout {
    timers: Timers,
    timeout_ms: DurationMs,
    idle_timeout_ms: DurationMs,
    sleep: Option<Sleep>,
    /// Requests that are being answered; meanwhile the caller owes nothing.
    answering: Rc<Cell<u32>>,
}

impl HeadTimeout {
    pub(crate) fn new(
        timers: Timers,
        timeout_ms: DurationMs,
        idle_timeout_ms: DurationMs,
        answering: Rc<Cell<u32>>,
    ) -> Self {
        Self {
            timers,
            timeout_ms,
            idle_timeout_ms,
            sleep: None,
            answering,
        }
    }

    fn poll(
        &mut self,
        context: &mut Context<'_>,
        is_in_head: bool,
        is_between_requests: bool,
    ) -> Poll<()> {
        if !is_in_head || self.answering.get() > 0 {
            self.sleep = None;
            return Poll::Pending;
        }
        let timeout_ms = match is_between_requests {
            true => self.idle_timeout_ms,
            false => self.timeout_ms,
        };
        let timers = &self.timers;
        let sleep = self.sleep.get_or_insert_with(|| timers.after(timeout_ms));
        Pin::new(sleep).poll(context)
    }
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
        }
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
        let (is_in_head, is_between) = {
            let scanner = this.scanner.borrow();
            (scanner.is_in_head(), scanner.is_between_requests())
        };
        let timeout = &mut this.head_timeout;
        if poll.is_pending() && timeout.poll(context, is_in_head, is_between).is_ready() {
            return Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
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
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        pieces: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, pieces)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_close(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(context)
    }
}
