//! Reading of request bodies with limits on size and idle time.

use bytes::{Bytes, BytesMut};
use celeryknot_core::{DurationMs, ErrorKind, SizeBytes, Timers};
use futures_lite::future;
use http_body_util::BodyExt;
use hyper::body::Body;

/// Largest buffer that is allocated before any byte has arrived.
const INITIAL_BUFFER_MAX_BYTES: u64 = 64 << 10;

/// Reads a complete body into memory.
///
/// # Errors
///
/// `RequestTooLarge` as soon as the announced or received size exceeds the limit, `RequestTimeout`
/// if no data arrives for `idle_timeout`, `MalformedRequest` if the connection fails or the framing
/// is invalid.
///
/// # Examples
///
/// ```
/// use celeryknot_callers::body::read_body;
/// use celeryknot_core::{DurationMs, ErrorKind, SizeBytes, Timers};
/// use http_body_util::Full;
///
/// let body = Full::new(bytes::Bytes::from("12345"));
/// let read = smol::block_on(read_body(body, SizeBytes(4), DurationMs(100), &Timers::default()));
/// assert_eq!(read, Err(ErrorKind::RequestTooLarge));
/// ```
pub async fn read_body<B>(
    mut body: B,
    size_max: SizeBytes,
    idle_timeout: DurationMs,
    timers: &Timers,
) -> Result<Bytes, ErrorKind>
where
    B: Body<Data = Bytes> + Unpin,
{
    let announced_bytes = body.size_hint().lower();
    if announced_bytes > size_max.0 {
        return Err(ErrorKind::RequestTooLarge);
    }
    let initial_buffer_bytes = announced_bytes.min(INITIAL_BUFFER_MAX_BYTES) as usize;
    let mut buffer = BytesMut::with_capacity(initial_buffer_bytes);
    while let Some(frame) = next_frame(&mut body, idle_timeout, timers).await? {
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if (buffer.len() + data.len()) as u64 > size_max.0 {
            return Err(ErrorKind::RequestTooLarge);
        }
        buffer.extend_from_slice(&data);
    }
    Ok(buffer.freeze())
}

async fn next_frame<B>(
    body: &mut B,
    idle_timeout: DurationMs,
    timers: &Timers,
) -> Result<Option<hyper::body::Frame<Bytes>>, ErrorKind>
where
    B: Body<Data = Bytes> + Unpin,
{
    let receive = async {
        body.frame()
            .await
            .transpose()
            .map_err(|_| ErrorKind::MalformedRequest)
    };
    let timed_out = async {
        timers.after(idle_timeout).await;
        Err(ErrorKind::RequestTimeout)
    };
    future::or(receive, timed_out).await
}
