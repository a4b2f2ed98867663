//! The end of responses whose framing does not mark it.

use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http::{Response, Version};
use hyper::body::{Body, Frame, SizeHint};
use smol::net::TcpStream;
use socket2::SockRef;

/// Prepares a response to a caller of HTTP/1.
pub(crate) fn frame_http1<B: Body>(
    response: Response<B>,
    stream: &TcpStream,
) -> Response<CallerBody<B>> {
    let has_length = response.body().size_hint().exact().is_some();
    let is_close_delimited = response.version() == Version::HTTP_10 && !has_length;
    response.map(|body| CallerBody {
        body,
        reset_guard: is_close_delimited.then(|| ResetGuard::new(stream.clone())),
    })
}

/// The body of a response to a caller.
#[derive(Debug)]
pub(crate) struct CallerBody<B> {
    body: B,
    /// Present until the end of a close-delimited body.
    reset_guard: Option<ResetGuard>,
}

impl<B: Body<Data = Bytes> + Unpin> Body for CallerBody<B> {
    type Data = Bytes;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, B::Error>>> {
        let poll = Pin::new(&mut self.body).poll_frame(context);
        if matches!(poll, Poll::Ready(None))
            && let Some(reset_guard) = self.reset_guard.take()
        {
            reset_guard.release();
        }
        poll
    }

    fn is_end_stream(&self) -> bool {
        // The HTTP library does not poll a body that has ended.
        self.reset_guard.is_none() && self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// Makes a connection end with a reset while a close-delimited response is being sent.
///
/// Its caller would take any other end of the connection, even that of the process, for the end of
/// the response.
#[derive(Debug)]
struct ResetGuard {
    stream: TcpStream,
}

impl ResetGuard {
    fn new(stream: TcpStream) -> Self {
        set_linger(&stream, Some(Duration::ZERO));
        Self { stream }
    }

    /// Lets the connection end normally, as the response is complete.
    fn release(self) {
        set_linger(&self.stream, None);
    }
}

fn set_linger(stream: &TcpStream, linger: Option<Duration>) {
    if let Err(error) = SockRef::from(stream).set_linger(linger) {
        tracing::warn!(%error, "failed to set how a connection ends");
    }
}
