//! Reads request bodies into a bounded amount of memory.

use bytes::Bytes;
use celeryknot_callers::body::read_body;
use celeryknot_core::{ErrorKind, SizeBytes};
use hyper::body::{Body, Incoming};

use super::context::ThreadContext;
use super::shared::BodyReservation;

/// Reads a complete body, within its size limit and the daemon's memory limit for bodies.
///
/// # Errors
///
/// `QueueFull` while other bodies use all of the memory, or the reason why reading failed.
pub(crate) async fn read_bounded(
    context: &ThreadContext,
    body: Incoming,
    size_max: SizeBytes,
) -> Result<(Bytes, BodyReservation), ErrorKind> {
    let announced = body.size_hint().upper().map_or(size_max, SizeBytes);
    if announced > size_max {
        return Err(ErrorKind::RequestTooLarge);
    }
    let used = &context.shared.body_memory_bytes;
    let mut reservation =
        BodyReservation::try_reserve(used, announced).ok_or(ErrorKind::QueueFull)?;
    let idle_timeout = context.limits.body_timeout();
    let bytes = read_body(body, size_max, idle_timeout, &context.timers).await?;
    reservation.shrink_to(SizeBytes(bytes.len() as u64));
    Ok((bytes, reservation))
}
