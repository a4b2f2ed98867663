//! Parsers of an endpoint's bytes: any input ends without a panic, and split input reads the same.

#![allow(clippy::unwrap_used, reason = "a test may panic")]

use celeryknot_endpoints::sse::EVENT_SIZE_MAX_BYTES;
use celeryknot_endpoints::{LoadReport, SseEvent, SseParser};
use proptest::prelude::*;

fn events_of(bytes: &[u8], piece: usize) -> Vec<SseEvent> {
    let mut parser = SseParser::default();
    let mut events = Vec::new();
    for piece in bytes.chunks(piece.max(1)) {
        parser.push(piece).unwrap();
        events.extend(std::iter::from_fn(|| parser.next_event()));
    }
    events
}

fn token_event(index: usize, text: &str, end: &str) -> String {
    format!(
        "data: {{\"token_index\": {index}, \"choices\": [{{\"delta\": {{\"content\": \"{text}\"}}, \
         \"finish_reason\": null}}]}}{end}"
    )
}

proptest! {
    #[test]
    fn pieces_do_not_change_the_events(
        tokens in proptest::collection::vec("[a-z ]{0,12}", 0..12),
        crlf in any::<bool>(),
        piece in 1..50usize,
    ) {
        let end = if crlf { "\r\n\r\n" } else { "\n\n" };
        let mut stream: String = tokens
            .iter()
            .enumerate()
            .map(|(index, text)| token_event(index, text, end))
            .collect();
        stream.push_str(&format!("data: [DONE]{end}"));
        let events = events_of(stream.as_bytes(), piece);
        prop_assert_eq!(events.len(), tokens.len() + 1);
        prop_assert_eq!(events.last(), Some(&SseEvent::Done));
        for (index, event) in events[..tokens.len()].iter().enumerate() {
            let SseEvent::Data { token: Some(token), .. } = event else {
                return Err(TestCaseError::fail(format!("no token: {event:?}")));
            };
            prop_assert_eq!(token.token_index, index as u64);
        }
    }

    #[test]
    fn any_bytes_read_the_same_in_pieces(
        bytes in proptest::collection::vec(
            prop_oneof![Just(b'\n'), Just(b'\r'), any::<u8>()],
            0..300,
        ),
        piece in 1..20usize,
    ) {
        prop_assert_eq!(events_of(&bytes, bytes.len()), events_of(&bytes, piece));
    }

    #[test]
    fn any_load_is_read_or_refused(text in "[ -~]{0,80}") {
        let _ = text.parse::<LoadReport>();
    }
}

#[test]
fn an_event_that_does_not_end_is_refused_at_the_limit() {
    let mut parser = SseParser::default();
    let piece = vec![b'a'; 1 << 10];
    let pushed = (0..EVENT_SIZE_MAX_BYTES >> 9)
        .take_while(|_| parser.push(&piece).is_ok())
        .count();
    assert_eq!(pushed, EVENT_SIZE_MAX_BYTES >> 10);
}
