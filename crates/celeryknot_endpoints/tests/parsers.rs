//! Property tests of the parsers of endpoint responses: no input causes a panic, and chunk
//! boundaries do not change the result.

#![allow(clippy::unwrap_used, reason = "a test may panic")]

use celeryknot_endpoints::sse::EVENT_SIZE_MAX_BYTES;
use celeryknot_endpoints::{EventBoundary, EventSplitter, LoadReport, SseEvent, SseParser};
use proptest::prelude::*;

fn parse_in_chunks(bytes: &[u8], chunk_len: usize) -> Vec<SseEvent> {
    let mut parser = SseParser::default();
    let mut events = Vec::new();
    for chunk in bytes.chunks(chunk_len.max(1)) {
        parser.push(chunk).unwrap();
        events.extend(std::iter::from_fn(|| parser.next_event()));
    }
    events
}

fn token_event(index: usize, text: &str, terminator: &str) -> String {
    format!(
        "data: {{\"token_index\": {index}, \"choices\": [{{\"delta\": {{\"content\": \"{text}\"}}, \
         \"finish_reason\": null}}]}}{terminator}"
    )
}

proptest! {
    #[test]
    fn chunk_boundaries_do_not_change_the_events(
        tokens in proptest::collection::vec("[a-z ]{0,12}", 0..12),
        is_crlf in any::<bool>(),
        chunk_len in 1..50usize,
    ) {
        let terminator = if is_crlf { "\r\n\r\n" } else { "\n\n" };
        let mut stream: String = tokens
            .iter()
            .enumerate()
            .map(|(index, text)| token_event(index, text, terminator))
            .collect();
        stream.push_str(&format!("data: [DONE]{terminator}"));
        let events = parse_in_chunks(stream.as_bytes(), chunk_len);
        prop_assert_eq!(events.len(), tokens.len() + 1);
        prop_assert_eq!(events.last(), Some(&SseEvent::Done));
        for (index, event) in events[..tokens.len()].iter().enumerate() {
            let SseEvent::Data { token: Some(token), .. } = event else {
                return Err(TestCaseError::fail(format!("expected a token event: {event:?}")));
            };
            prop_assert_eq!(token.token_index, index as u64);
        }
    }

    #[test]
    fn arbitrary_bytes_parse_the_same_in_chunks(
        bytes in proptest::collection::vec(
            prop_oneof![Just(b'\n'), Just(b'\r'), any::<u8>()],
            0..300,
        ),
        chunk_len in 1..20usize,
    ) {
        prop_assert_eq!(parse_in_chunks(&bytes, bytes.len()), parse_in_chunks(&bytes, chunk_len));
    }

    #[test]
    fn arbitrary_load_report_does_not_panic(text in "[ -~]{0,80}") {
        let _ = text.parse::<LoadReport>();
    }
}

#[test]
fn unterminated_event_is_rejected_at_the_size_limit() {
    let mut parser = SseParser::default();
    let chunk = vec![b'a'; 1 << 10];
    let accepted_chunks = (0..EVENT_SIZE_MAX_BYTES >> 9)
        .take_while(|_| parser.push(&chunk).is_ok())
        .count();
    assert_eq!(accepted_chunks, EVENT_SIZE_MAX_BYTES >> 10);
}

/// Streams of events in each of the line ends, and whether they end inside an event.
const EVENT_STREAMS: [(&str, bool); 10] = [
    ("", false),
    ("data: a\n\n", false),
    ("data: a\r\n\r\n", false),
    ("data: a\r\r", false),
    ("data: a\n\ndata: b\n\n", false),
    ("d", true),
    ("data: a\n", true),
    ("data: a\r\n\r", true),
    ("data: a\r", true),
    ("data: a\n\nid: 1\n", true),
];

#[test]
fn stream_that_ends_inside_an_event_is_noticed_wherever_it_is_split() {
    for (text, is_inside_event) in EVENT_STREAMS {
        for at in 0..=text.len() {
            let (first, rest) = text.as_bytes().split_at(at);
            let mut boundary = EventBoundary::default();
            let mut splitter = EventSplitter::default();
            for part in [first, rest] {
                boundary.push(part);
                splitter.push(part).unwrap();
                while splitter.next_event().is_some() {}
            }
            assert_eq!(boundary.is_inside_event(), is_inside_event, "{text:?} {at}");
            assert_eq!(
                splitter.has_partial_event(),
                is_inside_event,
                "{text:?} {at}"
            );
        }
    }
}
