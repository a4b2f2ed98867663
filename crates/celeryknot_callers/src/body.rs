//! Reads request bodies within a size and a time.

use bytes::{Bytes, BytesMut};
use celeryknot_core::{DurationMs, ErrorKind, SizeBytes, Timers};
use futures_lite::future;
use http_body_util::BodyExt;
use hyper::body::Body;

/// Largest buffer that is set aside before any byte has arrived.
const BUFFER_START_MAX_BYTES: u64 = 64 << 10;

/// Reads a whole body into memory.
///
/// # Errors
///
/// `RequestTooLarge` as soon as the announced or received size passes the
/// limit, `RequestTimeout` after a silence, `MalformedRequest` when the
/// connection or the framing breaks.
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
    silence_max: DurationMs,
    timers: &Timers,
) -> Result<Bytes, ErrorKind>
where
    B: Body<Data = Bytes> + Unpin,
{
    let announced_bytes = body.size_hint().lower();
    if announced_bytes > size_max.0 {
        return Err(ErrorKind::RequestTooLarge);
    }
    let start_bytes = announced_bytes.min(BUFFER_START_MAX_BYTES) as usize;
    let mut whole = BytesMut::with_capacity(start_bytes);
    while let Some(frame) = next_frame(&mut body, silence_max, timers).await? {
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if (whole.len() + data.len()) as u64 > size_max.0 {
            return Err(ErrorKind::RequestTooLarge);
        }
        whole.extend_from_slice(&data);
    }
    Ok(whole.freeze())
}

async fn next_frame<B>(
    body: &mut B,
    silence_max: DurationMs,
    timers: &Timers,
) -> Result<Option<hyper::body::Frame<Bytes>>, ErrorKind>
where
    B: Body<Data = Bytes> + Unpin,
{
    let arrives = async {
        body.frame()
            .await
            .transpose()
            .map_err(|_| ErrorKind::MalformedRequest)
    };
    let is_late = async {
        timers.after(silence_max).await;
        Err(ErrorKind::RequestTimeout)
    };
    future::or(arrives, is_late).await
}
