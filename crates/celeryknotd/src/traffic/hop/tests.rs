//! Tests what a peer is told about the end of a response.

use celeryknot_callers::response_end::UnverifiedEnd;
use celeryknot_core::{ErrorKind, header};
use http::{HeaderMap, Response};

use super::{ACCEPTS_UNVERIFIED_END, accepts_unverified_end, check_body_end, read_body_end};

#[test]
fn response_with_an_unverified_end_is_not_sent_to_a_peer_that_would_complete_it() {
    let (mut verified, ()) = Response::new(()).into_parts();
    let mut unverified = verified.clone();
    unverified.extensions.insert(UnverifiedEnd);
    let earlier_version = accepts_unverified_end(&HeaderMap::new());
    assert!(check_body_end(&verified, earlier_version).is_ok());
    let refusal = check_body_end(&unverified, earlier_version).unwrap_err();
    assert_eq!(refusal.kind, ErrorKind::AnswerIncomplete);

    let mut headers = HeaderMap::new();
    headers.insert(ACCEPTS_UNVERIFIED_END, "1".parse().unwrap());
    assert!(check_body_end(&unverified, accepts_unverified_end(&headers)).is_ok());

    let value = header::BODY_END_UNVERIFIED.parse().unwrap();
    verified.headers.insert(header::BODY_END, value);
    read_body_end(&mut verified);
    assert!(check_body_end(&verified, earlier_version).is_err());
}
