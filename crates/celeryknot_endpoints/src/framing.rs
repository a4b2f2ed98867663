//! How an endpoint's response marks the end of its body.

use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use http::{HeaderMap, Method, StatusCode, response};
use strum::{Display, IntoStaticStr};

/// How a response marks the end of its body (RFC 9112, section 6.3).
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum BodyFraming {
    /// The request's method or the status allows no body.
    NoBody,
    /// `Content-Length` gives the length.
    Length,
    /// The last chunk marks the end.
    Chunked,
    /// The end of the connection ends the body, which may have been truncated.
    CloseDelimited,
}

impl BodyFraming {
    /// Returns the framing of the response to a request with `method`.
    ///
    /// # Examples
    ///
    /// ```
    /// use celeryknot_endpoints::BodyFraming;
    /// use http::{Method, Response};
    ///
    /// let (head, ()) = Response::new(()).into_parts();
    /// assert_eq!(BodyFraming::of(&Method::GET, &head), BodyFraming::CloseDelimited);
    /// assert_eq!(BodyFraming::of(&Method::HEAD, &head), BodyFraming::NoBody);
    /// ```
    pub fn of(method: &Method, head: &response::Parts) -> Self {
        let has_no_body = *method == Method::HEAD
            || matches!(
                head.status,
                StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED
            );
        if has_no_body {
            return Self::NoBody;
        }
        // `Transfer-Encoding` takes precedence over a length.
        if head.headers.contains_key(TRANSFER_ENCODING) {
            return match is_chunked_last(&head.headers) {
                true => Self::Chunked,
                false => Self::CloseDelimited,
            };
        }
        match head.headers.contains_key(CONTENT_LENGTH) {
            true => Self::Length,
            false => Self::CloseDelimited,
        }
    }
}

/// Returns whether `chunked` is the last transfer coding.
fn is_chunked_last(headers: &HeaderMap) -> bool {
    let last = headers.get_all(TRANSFER_ENCODING).iter().next_back();
    last.and_then(|value| value.to_str().ok()?.rsplit(',').next())
        .is_some_and(|coding| coding.trim().eq_ignore_ascii_case("chunked"))
}
