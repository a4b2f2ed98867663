//! Reads request bodies into memory, of which there is a bounded amount.

use bytes::Bytes;
use celeryknot_callers::body::read_body;
use celeryknot_core::{ErrorKind, SizeBytes};
use hyper::body::{Body, Incoming};

use super::context::ThreadContext;
use super::shared::BodyRoom;

/// Reads a body whole, within the size and the memory of the daemon.
///
/// # Errors
///
/// `QueueFull` while other bodies take all memory, or why the body could not be read.
pub(crate) async fn read_bounded(
    context: &ThreadContext,
    body: Incoming,
    size_max: SizeBytes,
) -> Result<(Bytes, BodyRoom), ErrorKind> {
    let announced = body.size_hint().upper().map_or(size_max, SizeBytes);
    if announced > size_max {
        return Err(ErrorKind::RequestTooLarge);
    }
    let used = &context.shared.body_bytes;
    let mut room = BodyRoom::take(used, announced).ok_or(ErrorKind::QueueFull)?;
    let silence_max = context.limits.body_timeout();
    let bytes = read_body(body, size_max, silence_max, &context.timers).await?;
    room.shrink_to(SizeBytes(bytes.len() as u64));
    Ok((bytes, room))
}
