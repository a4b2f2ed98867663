//! The body of a request to an endpoint.

use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};

/// A request body held in memory, so that an idempotent call can be retried.
#[derive(Debug, Clone, Default)]
pub struct RequestBody(Option<Bytes>);

impl RequestBody {
    /// Creates a body from bytes.
    pub fn new(bytes: Bytes) -> Self {
        Self((!bytes.is_empty()).then_some(bytes))
    }
}

impl Body for RequestBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        Poll::Ready(self.0.take().map(|bytes| Ok(Frame::data(bytes))))
    }

    fn is_end_stream(&self) -> bool {
        self.0.is_none()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.0.as_ref().map_or(0, |bytes| bytes.len() as u64))
    }
}
