//! The end of responses whose framing does not mark it.

use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use celeryknot_core::header::{BODY_END, BODY_END_UNVERIFIED};
use http::header::CONNECTION;
use http::{Extensions, HeaderName, HeaderValue, Response, Version};
use hyper::body::{Body, Frame, SizeHint};
use smol::net::TcpStream;
use socket2::SockRef;

/// Marks a response, as an extension, whose body may have been truncated before its end.
///
/// Callers of HTTP/1 get it close-delimited, as it was received. HTTP/2 has no such framing; its
/// callers get a header field that says so.
#[derive(Debug, Clone, Copy)]
pub struct UnverifiedEnd;

impl UnverifiedEnd {
    /// Returns whether the extensions of a response have the mark.
    ///
    /// # Examples
    ///
    /// ```
    /// use celeryknot_callers::response_end::UnverifiedEnd;
    ///
    /// let mut extensions = http::Extensions::new();
    /// assert!(!UnverifiedEnd::is_set(&extensions));
    /// extensions.insert(UnverifiedEnd);
    /// assert!(UnverifiedEnd::is_set(&extensions));
    /// ```
    pub fn is_set(extensions: &Extensions) -> bool {
        extensions.get::<Self>().is_some()
    }
}

/// Frames a response to a caller of HTTP/1.
///
/// The HTTP library delimits a body by the end of the connection only in responses of version 1.0.
pub(crate) fn frame_http1<B: Body>(
    mut response: Response<B>,
    stream: &TcpStream,
) -> Response<CallerBody<B>> {
    let is_unverified = UnverifiedEnd::is_set(response.extensions());
    if is_unverified {
        *response.version_mut() = Version::HTTP_10;
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    let has_length = !is_unverified && response.body().size_hint().exact().is_some();
    let is_close_delimited = response.version() == Version::HTTP_10 && !has_length;
    response.map(|body| CallerBody {
        body,
        is_unverified,
        reset_guard: is_close_delimited.then(|| ResetGuard::new(stream.clone())),
    })
}

/// Frames a response to a caller of HTTP/2.
pub(crate) fn frame_http2<B: Body>(mut response: Response<B>) -> Response<CallerBody<B>> {
    let is_unverified = UnverifiedEnd::is_set(response.extensions());
    if is_unverified {
        let unverified = HeaderValue::from_static(BODY_END_UNVERIFIED);
        let name = HeaderName::from_static(BODY_END);
        response.headers_mut().insert(name, unverified);
    }
    response.map(|body| CallerBody {
        body,
        is_unverified,
        reset_guard: None,
    })
}

/// The body of a response to a caller.
#[derive(Debug)]
pub(crate) struct CallerBody<B> {
    body: B,
    is_unverified: bool,
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
        // The HTTP library gives an empty body a length, and does not poll one that has ended.
        !self.is_unverified && self.reset_guard.is_none() && self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        match self.is_unverified {
            true => SizeHint::default(),
            false => self.body.size_hint(),
        }
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
