//! Property tests of the parsers of caller requests: no input causes a panic, and chunk boundaries
//! do not change the result.

#![allow(clippy::unwrap_used, reason = "a test may panic")]

use celeryknot_callers::head_scanner::HeadScanner;
use celeryknot_callers::request::retain_end_to_end_headers;
use celeryknot_callers::{CallerRequest, ChatCompletion, Target};
use http::{HeaderMap, HeaderName, HeaderValue, Request};
use proptest::prelude::*;

/// A request, and whether its framing is ambiguous.
#[derive(Debug, Clone)]
struct FramedRequest {
    bytes: Vec<u8>,
    is_ambiguous: bool,
}

fn framed_request() -> impl Strategy<Value = FramedRequest> {
    let body = proptest::collection::vec(any::<u8>(), 0..40);
    let kind = 0..5u8;
    (kind, body).prop_map(|(kind, body)| {
        let mut bytes = b"POST /case-svc/bookings HTTP/1.1\r\nHost: x\r\n".to_vec();
        let length = body.len();
        let is_ambiguous = kind >= 3;
        let fields = match kind {
            0 => "\r\n".to_owned(),
            1 => format!("Content-Length: {length}\r\n\r\n"),
            2 => "TRANSFER-ENCODING: chunked\r\n\r\n".to_owned(),
            3 => format!("content-length: {length}\r\ntransfer-encoding: chunked\r\n\r\n"),
            _ => format!("content-length: {length}\r\nContent-Length: {length}\r\n\r\n"),
        };
        bytes.extend_from_slice(fields.as_bytes());
        match kind {
            0 => {}
            2 if length > 0 => {
                bytes.extend_from_slice(format!("{length:x};note=1\r\n").as_bytes());
                bytes.extend_from_slice(&body);
                bytes.extend_from_slice(b"\r\n0\r\nTrailer: 1\r\n\r\n");
            }
            2 => bytes.extend_from_slice(b"0\r\n\r\n"),
            _ => bytes.extend_from_slice(&body),
        }
        FramedRequest {
            bytes,
            is_ambiguous,
        }
    })
}

proptest! {
    #[test]
    fn ambiguous_requests_are_detected_in_any_chunks(
        requests in proptest::collection::vec(framed_request(), 1..6),
        chunk_len in 1..30usize,
    ) {
        // The scanner stops after the first ambiguous request of a connection.
        let count = requests
            .iter()
            .position(|request| request.is_ambiguous)
            .map_or(requests.len(), |index| index + 1);
        let bytes: Vec<u8> = requests[..count]
            .iter()
            .flat_map(|request| request.bytes.clone())
            .collect();
        let mut scanner = HeadScanner::default();
        for chunk in bytes.chunks(chunk_len) {
            scanner.scan(chunk);
        }
        for request in &requests[..count] {
            prop_assert_eq!(scanner.pop_is_ambiguous(), request.is_ambiguous);
        }
    }

    #[test]
    fn arbitrary_bytes_do_not_panic(bytes in proptest::collection::vec(any::<u8>(), 0..400)) {
        let mut scanner = HeadScanner::default();
        scanner.scan(&bytes);
        let _ = scanner.pop_is_ambiguous();
        let _ = ChatCompletion::parse(&bytes);
    }

    #[test]
    fn arbitrary_head_parses_to_valid_values_or_fails(
        path in "/[a-z0-9/.%?=&-]{0,60}",
        names in proptest::collection::vec("(celeryknot-(customer|chat|deadline-ms)|priority|idempotency-key)", 0..6),
        values in proptest::collection::vec("[ -~]{0,140}", 6),
    ) {
        let Ok(request) = Request::get(path.as_str()).body(()) else {
            return Ok(());
        };
        let (mut parts, ()) = request.into_parts();
        for (name, value) in names.iter().zip(&values) {
            let name: HeaderName = name.parse().unwrap();
            parts.headers.append(name, HeaderValue::from_str(value).unwrap());
        }
        if let Ok(parsed) = CallerRequest::parse(&parts) {
            prop_assert!(parsed.urgency <= 7);
            prop_assert!(parsed.chat.is_none_or(|chat| (1..=128).contains(&chat.len())));
            if let Target::Service { path_and_query, .. } = parsed.target {
                prop_assert!(path_and_query.starts_with('/'));
                prop_assert!(!path_and_query.split('/').any(|segment| segment == ".."));
            }
        }
    }

    #[test]
    fn callers_router_fields_are_removed(suffix in "[a-z-]{1,20}", value in "[ -~]{0,20}") {
        let mut headers = HeaderMap::new();
        let name: HeaderName = format!("celeryknot-{suffix}").parse().unwrap();
        headers.insert(name, HeaderValue::from_str(&value).unwrap());
        headers.insert("accept", HeaderValue::from_static("*/*"));
        retain_end_to_end_headers(&mut headers);
        prop_assert_eq!(headers.len(), 1);
    }
}
