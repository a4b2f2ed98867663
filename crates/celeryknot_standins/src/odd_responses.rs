//! Heads and bodies of responses that are unusual or malformed, for the tests of both data planes.

/// Values of `Content-Type`, and whether they announce a stream of events.
pub const EVENT_STREAM_TYPES: [(&str, bool); 5] = [
    ("text/event-stream", true),
    ("Text/Event-Stream", true),
    ("TEXT/EVENT-STREAM ; charset=utf-8", true),
    ("text/event-streams", false),
    ("text/event-stream+json", false),
];

/// Values of `Transfer-Encoding`, and whether a router applies all of them.
pub const TRANSFER_CODINGS: [(&str, bool); 8] = [
    ("chunked", true),
    ("Chunked", true),
    ("gzip, chunked", false),
    ("xchunked", false),
    ("chunked, identity", false),
    ("chunked, chunked", false),
    ("identity", false),
    ("chunked\r\ntransfer-encoding: gzip", false),
];

/// Returns chunked bodies that can't be read from their first byte on, with a name each.
///
/// # Examples
///
/// ```
/// use celeryknot_standins::odd_responses::malformed_chunks;
///
/// let bodies = malformed_chunks("whole");
/// assert_eq!(bodies[0].1, "5\nwhole\r\n0\r\n\r\n");
/// ```
pub fn malformed_chunks(body: &str) -> [(&'static str, String); 4] {
    let len = body.len();
    let rest = format!("\r\n{body}\r\n0\r\n\r\n");
    [
        (
            "bare LF after the size",
            format!("{len:x}\n{body}\r\n0\r\n\r\n"),
        ),
        (
            "extension of 200 KB",
            format!("{len:x};{}{rest}", "x".repeat(200_000)),
        ),
        ("size that isn't a number", format!("xy{rest}")),
        ("size beyond 64 bits", format!("{}{rest}", "f".repeat(20))),
    ]
}
