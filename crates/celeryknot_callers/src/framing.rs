//! Rejection of requests with ambiguous framing, which enables request smuggling.

use celeryknot_core::ErrorKind;
use http::header::{CONTENT_LENGTH, HOST, HeaderMap, TRANSFER_ENCODING};

/// Checks the header fields that determine the end of a message and its host.
///
/// # Errors
///
/// `MalformedRequest` for `Content-Length` together with `Transfer-Encoding`, for several or
/// invalid lengths, for a coding other than `chunked`, or for several hosts.
///
/// # Examples
///
/// ```
/// use celeryknot_callers::framing::check_framing;
///
/// let mut headers = http::HeaderMap::new();
/// headers.insert("content-length", "5".parse().unwrap());
/// assert!(check_framing(&headers).is_ok());
/// headers.append("content-length", "6".parse().unwrap());
/// assert!(check_framing(&headers).is_err());
/// ```
pub fn check_framing(headers: &HeaderMap) -> Result<(), ErrorKind> {
    let lengths = headers.get_all(CONTENT_LENGTH);
    let codings = headers.get_all(TRANSFER_ENCODING);
    let has_length = lengths.iter().next().is_some();
    let has_coding = codings.iter().next().is_some();
    if has_length && has_coding {
        return Err(ErrorKind::MalformedRequest);
    }
    if lengths.iter().count() > 1 || headers.get_all(HOST).iter().count() > 1 {
        return Err(ErrorKind::MalformedRequest);
    }
    let is_number = |value: &[u8]| !value.is_empty() && value.iter().all(u8::is_ascii_digit);
    if lengths.iter().any(|value| !is_number(value.as_bytes())) {
        return Err(ErrorKind::MalformedRequest);
    }
    let is_chunked = |value: &[u8]| value.eq_ignore_ascii_case(b"chunked");
    if codings.iter().any(|value| !is_chunked(value.as_bytes())) || codings.iter().count() > 1 {
        return Err(ErrorKind::MalformedRequest);
    }
    Ok(())
}
