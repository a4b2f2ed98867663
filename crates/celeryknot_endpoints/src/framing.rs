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
        // `Transfer-Encoding` takes precedence over a length; other codings are refused before.
        if head.headers.contains_key(TRANSFER_ENCODING) {
            return Self::Chunked;
        }
        match head.headers.contains_key(CONTENT_LENGTH) {
            true => Self::Length,
            false => Self::CloseDelimited,
        }
    }
}

/// Returns whether the body has only transfer codings that are applied: none, or `chunked` once
/// (RFC 9112, section 6.1).
///
/// # Examples
///
/// ```
/// use celeryknot_endpoints::framing::has_known_transfer_coding;
///
/// let mut headers = http::HeaderMap::new();
/// assert!(has_known_transfer_coding(&headers));
/// headers.insert("transfer-encoding", "gzip, chunked".parse().unwrap());
/// assert!(!has_known_transfer_coding(&headers));
/// ```
pub fn has_known_transfer_coding(headers: &HeaderMap) -> bool {
    let mut values = headers.get_all(TRANSFER_ENCODING).iter();
    let Some(first) = values.next() else {
        return true;
    };
    values.next().is_none()
        && first
            .as_bytes()
            .trim_ascii()
            .eq_ignore_ascii_case(b"chunked")
}
