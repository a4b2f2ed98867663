//! Parsers of a caller's bytes: any input ends without a panic, and split input reads the same.

#![allow(clippy::unwrap_used, reason = "a test may panic")]

use celeryknot_callers::head_scanner::HeadScanner;
use celeryknot_callers::request::keep_end_to_end;
use celeryknot_callers::{CallerRequest, ChatCompletion, Target};
use http::{HeaderMap, HeaderName, HeaderValue, Request};
use proptest::prelude::*;

/// One request with its framing.
#[derive(Debug, Clone)]
struct Framed {
    bytes: Vec<u8>,
    is_ambiguous: bool,
}

fn framed() -> impl Strategy<Value = Framed> {
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
        Framed {
            bytes,
            is_ambiguous,
        }
    })
}

proptest! {
    #[test]
    fn ambiguous_requests_are_told_whatever_the_pieces(
        requests in proptest::collection::vec(framed(), 1..6),
        piece in 1..30usize,
    ) {
        // A connection ends with its first ambiguous request.
        let count = requests
            .iter()
            .position(|request| request.is_ambiguous)
            .map_or(requests.len(), |at| at + 1);
        let bytes: Vec<u8> = requests[..count]
            .iter()
            .flat_map(|request| request.bytes.clone())
            .collect();
        let mut scanner = HeadScanner::default();
        for piece in bytes.chunks(piece) {
            scanner.scan(piece);
        }
        for request in &requests[..count] {
            prop_assert_eq!(scanner.take_is_ambiguous(), request.is_ambiguous);
        }
    }

    #[test]
    fn any_bytes_end_without_a_panic(bytes in proptest::collection::vec(any::<u8>(), 0..400)) {
        let mut scanner = HeadScanner::default();
        scanner.scan(&bytes);
        let _ = scanner.take_is_ambiguous();
        let _ = ChatCompletion::parse(&bytes);
    }

    #[test]
    fn any_head_is_read_or_refused(
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
        if let Ok(read) = CallerRequest::parse(&parts) {
            prop_assert!(read.urgency <= 7);
            prop_assert!(read.chat.is_none_or(|chat| (1..=128).contains(&chat.len())));
            if let Target::Service { path_and_query, .. } = read.target {
                prop_assert!(path_and_query.starts_with('/'));
                prop_assert!(!path_and_query.split('/').any(|segment| segment == ".."));
            }
        }
    }

    #[test]
    fn no_field_in_the_routers_name_is_passed_on(suffix in "[a-z-]{1,20}", value in "[ -~]{0,20}") {
        let mut headers = HeaderMap::new();
        let name: HeaderName = format!("celeryknot-{suffix}").parse().unwrap();
        headers.insert(name, HeaderValue::from_str(&value).unwrap());
        headers.insert("accept", HeaderValue::from_static("*/*"));
        keep_end_to_end(&mut headers);
        prop_assert_eq!(headers.len(), 1);
    }
}
