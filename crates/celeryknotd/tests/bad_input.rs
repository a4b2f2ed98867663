//! Malformed and oversized requests are refused with the right status and code.

#![allow(clippy::unwrap_used, reason = "a test may panic")]

mod fleet;
mod raw;

use celeryknot_core::{DurationMs, SizeBytes};
use celeryknot_settings::ServiceSettings;
use fleet::{TestFleet, TestOptions, plain_settings};

struct Case {
    name: &'static str,
    request: &'static str,
    status: u16,
    code: &'static str,
}

const CASES: &[Case] = &[
    Case {
        name: "no customer",
        request: "GET /case-svc/records/7 HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n",
        status: 401,
        code: "missing-customer",
    },
    Case {
        name: "unknown customer",
        request: "GET /case-svc/records/7 HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\
                  celeryknot-customer: nobody\r\n\r\n",
        status: 403,
        code: "unknown-customer",
    },
    Case {
        name: "two customers",
        request: "GET /case-svc/records/7 HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\
                  celeryknot-customer: otaru\r\nceleryknot-customer: nobody\r\n\r\n",
        status: 400,
        code: "malformed-request",
    },
    Case {
        name: "unknown service",
        request: "GET /nothing/records/7 HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\
                  celeryknot-customer: otaru\r\n\r\n",
        status: 404,
        code: "unknown-service",
    },
    Case {
        name: "missing chat",
        request: "POST /wakai-llm/v1/chat/completions HTTP/1.1\r\nhost: x\r\n\
                  connection: close\r\nceleryknot-customer: otaru\r\ncontent-length: 2\r\n\r\n{}",
        status: 400,
        code: "missing-chat",
    },
    Case {
        name: "chat that is not visible ASCII",
        request: "POST /wakai-llm/v1/chat/completions HTTP/1.1\r\nhost: x\r\n\
                  connection: close\r\nceleryknot-customer: otaru\r\nceleryknot-chat: a b\r\n\
                  content-length: 2\r\n\r\n{}",
        status: 400,
        code: "malformed-request",
    },
    Case {
        name: "chat completion that is not JSON",
        request: "POST /wakai-llm/v1/chat/completions HTTP/1.1\r\nhost: x\r\n\
                  connection: close\r\nceleryknot-customer: otaru\r\nceleryknot-chat: a\r\n\
                  content-length: 2\r\n\r\n{]",
        status: 400,
        code: "malformed-request",
    },
    Case {
        name: "unknown model",
        request: "POST /wakai-llm/v1/chat/completions HTTP/1.1\r\nhost: x\r\n\
                  connection: close\r\nceleryknot-customer: otaru\r\nceleryknot-chat: a\r\n\
                  content-length: 36\r\n\r\n{\"model\": \"other\", \"messages\": [{}]}",
        status: 404,
        code: "unknown-model",
    },
    Case {
        name: "wrong method of a model service",
        request: "GET /wakai-llm/v1/chat/completions HTTP/1.1\r\nhost: x\r\n\
                  connection: close\r\nceleryknot-customer: otaru\r\n\r\n",
        status: 405,
        code: "method-not-allowed",
    },
    Case {
        name: "deadline that has passed",
        request: "GET /case-svc/records/7 HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\
                  celeryknot-customer: otaru\r\nceleryknot-deadline-ms: 0\r\n\r\n",
        status: 408,
        code: "deadline-past",
    },
    Case {
        name: "deadline that is not a number",
        request: "GET /case-svc/records/7 HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\
                  celeryknot-customer: otaru\r\nceleryknot-deadline-ms: soon\r\n\r\n",
        status: 400,
        code: "malformed-request",
    },
    Case {
        name: "content length above the limit",
        request: "POST /case-svc/bookings HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\
                  celeryknot-customer: otaru\r\ncontent-length: 99999\r\n\r\n",
        status: 413,
        code: "request-too-large",
    },
    Case {
        name: "incomplete body",
        request: "POST /case-svc/bookings HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\
                  celeryknot-customer: otaru\r\ncontent-length: 20\r\n\r\n{",
        status: 408,
        code: "request-timeout",
    },
    Case {
        name: "incomplete header block",
        request: "GET /case-svc/records/7 HTTP/1.1\r\nhost: x\r\n",
        status: 408,
        code: "request-timeout",
    },
    Case {
        name: "two content lengths",
        request: "POST /case-svc/bookings HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\
                  celeryknot-customer: otaru\r\ncontent-length: 2\r\ncontent-length: 3\r\n\r\n{} ",
        status: 400,
        code: "",
    },
    Case {
        name: "content length before chunked encoding",
        request: "POST /case-svc/bookings HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\
                  celeryknot-customer: otaru\r\ncontent-length: 4\r\n\
                  transfer-encoding: chunked\r\n\r\n0\r\n\r\n",
        status: 400,
        code: "malformed-request",
    },
    Case {
        name: "chunked encoding before content length",
        request: "POST /case-svc/bookings HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\
                  celeryknot-customer: otaru\r\ntransfer-encoding: chunked\r\n\
                  content-length: 4\r\n\r\n0\r\n\r\n",
        status: 400,
        code: "malformed-request",
    },
    Case {
        name: "space before the colon of a header",
        request: "GET /case-svc/records/7 HTTP/1.1\r\nhost : x\r\nconnection: close\r\n\r\n",
        status: 400,
        code: "",
    },
    Case {
        name: "path traversal out of the prefix",
        request: "GET /case-svc/records/%2e%2e/secret HTTP/1.1\r\nhost: x\r\n\
                  connection: close\r\nceleryknot-customer: otaru\r\n\r\n",
        status: 400,
        code: "malformed-request",
    },
    Case {
        name: "too many tickets",
        request: "POST /-/tickets?service=case-svc&count=101 HTTP/1.1\r\nhost: x\r\n\
                  connection: close\r\nceleryknot-customer: otaru\r\ncontent-length: 0\r\n\r\n",
        status: 400,
        code: "malformed-request",
    },
    Case {
        name: "forged ticket",
        request: "POST /case-svc/bookings HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\
                  celeryknot-customer: otaru\r\ncontent-length: 2\r\n\
                  idempotency-key: t1~daemon-0~0000000000000064~0~otaru~case-svc~\
                  00000000000000000000000000000000\r\n\r\n{}",
        status: 422,
        code: "ticket-invalid",
    },
    Case {
        name: "idempotency key that is not a ticket",
        request: "POST /case-svc/bookings HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\
                  celeryknot-customer: otaru\r\ncontent-length: 2\r\n\
                  idempotency-key: my-own-key\r\n\r\n{}",
        status: 428,
        code: "ticket-required",
    },
    Case {
        name: "no endpoint",
        request: "GET /case-svc/records/7 HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\
                  celeryknot-customer: otaru\r\n\r\n",
        status: 503,
        code: "no-endpoint",
    },
];

fn start() -> TestFleet {
    let options = TestOptions {
        plain: ServiceSettings {
            request_size_max_bytes: SizeBytes(1000),
            ..plain_settings()
        },
        settings: |mut settings| {
            settings.header_timeout_ms = DurationMs(300);
            settings.body_timeout_ms = DurationMs(300);
            settings
        },
        ..TestOptions::default()
    };
    TestFleet::start(options, &[])
}

#[test]
fn bad_input_is_refused_with_its_code() {
    let fleet = start();
    for case in CASES {
        let response = raw::exchange(fleet.callers_address(0), case.request.as_bytes());
        assert_eq!(
            raw::status_of(&response),
            case.status,
            "{}: {response}",
            case.name
        );
        let code = format!("\"code\":\"{}\"", case.code);
        assert!(
            case.code.is_empty() || response.contains(&code),
            "{}: {response}",
            case.name
        );
    }
}

#[test]
fn oversized_headers_and_body_are_refused() {
    let fleet = start();
    let mut oversized_headers = "GET /case-svc/records/7 HTTP/1.1\r\nhost: x\r\n".to_owned();
    oversized_headers.push_str(&format!("x-filler: {}\r\n", "a".repeat(200_000)));
    let response = raw::exchange(fleet.callers_address(0), oversized_headers.as_bytes());
    assert_eq!(raw::status_of(&response), 431, "{response}");
    let chunk = format!("{:x}\r\n{}\r\n", 500, "a".repeat(500));
    let oversized_body = format!(
        "POST /case-svc/bookings HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\
         celeryknot-customer: otaru\r\ntransfer-encoding: chunked\r\n\r\n{}",
        chunk.repeat(100)
    );
    let response = raw::exchange(fleet.callers_address(0), oversized_body.as_bytes());
    assert_eq!(raw::status_of(&response), 413, "{response}");
}
