//! Endpoints that refuse requests, or whose responses are truncated, mismatched, too large or
//! missing.

#![allow(clippy::unwrap_used, reason = "a test may panic")]

mod fleet;

use std::net::SocketAddr;

use celeryknot_core::{DurationMs, Execution, SizeBytes};
use celeryknot_settings::ServiceSettings;
use celeryknot_standins::raw_endpoint::{RawEndpoint, RawReply, ReplyEnd};
use celeryknot_standins::{Caller, CallerOptions, LOOPBACK, Outcome, Service, ServiceOptions};
use fleet::{PLAIN_SERVICE, TestEndpoint, TestFleet, TestOptions, booking, plain_settings};
use socket2::{Domain, Socket, Type};

/// Index of the daemon that owns the endpoints; the caller connects to the first one.
const OWNERS: [usize; 2] = [0, 1];

struct Case {
    name: &'static str,
    reply: RawReply,
    status: u16,
    code: &'static str,
    execution: Execution,
}

const CASES: [Case; 11] = [
    Case {
        name: "refused without execution",
        reply: RawReply::new(
            "HTTP/1.1 503 Service Unavailable\r\nceleryknot-request-id: {id}\r\n\
             celeryknot-execution: not-run\r\nretry-after: 3\r\ncontent-length: 0\r\n\r\n",
            ReplyEnd::Close,
        ),
        status: 503,
        code: "endpoint-refused",
        execution: Execution::NotRun,
    },
    Case {
        name: "closed without a response",
        reply: RawReply::new("", ReplyEnd::Close),
        status: 502,
        code: "outcome-unknown",
        execution: Execution::Unknown,
    },
    Case {
        name: "closed during the body",
        reply: RawReply::new(
            "HTTP/1.1 201 Created\r\nceleryknot-request-id: {id}\r\n\
             content-length: 30\r\n\r\n{\"slot\":",
            ReplyEnd::Close,
        ),
        status: 502,
        code: "answer-incomplete",
        execution: Execution::Unknown,
    },
    Case {
        name: "response to another request",
        reply: RawReply::new(
            "HTTP/1.1 201 Created\r\nceleryknot-request-id: 00000000000000ff\r\n\
             content-length: 2\r\n\r\n{}",
            ReplyEnd::Close,
        ),
        status: 502,
        code: "answer-mismatched",
        execution: Execution::Unknown,
    },
    Case {
        name: "response without a request id",
        reply: RawReply::new(
            "HTTP/1.1 201 Created\r\ncontent-length: 2\r\n\r\n{}",
            ReplyEnd::Close,
        ),
        status: 502,
        code: "answer-mismatched",
        execution: Execution::Unknown,
    },
    Case {
        name: "response above the size limit",
        reply: RawReply::new(
            "HTTP/1.1 201 Created\r\nceleryknot-request-id: {id}\r\n\
             content-length: 40\r\n\r\n0123456789012345678901234567890123456789",
            ReplyEnd::Close,
        ),
        status: 502,
        code: "answer-too-large",
        execution: Execution::Run,
    },
    Case {
        name: "status 000",
        reply: RawReply::new(
            "HTTP/1.1 000 X\r\nceleryknot-request-id: {id}\r\n\
             content-length: 2\r\n\r\n{}",
            ReplyEnd::Close,
        ),
        status: 502,
        code: "outcome-unknown",
        execution: Execution::Unknown,
    },
    Case {
        name: "status above the last class",
        reply: RawReply::new(
            "HTTP/1.1 600 X\r\nceleryknot-request-id: {id}\r\n\
             content-length: 2\r\n\r\n{}",
            ReplyEnd::Close,
        ),
        status: 502,
        code: "outcome-unknown",
        execution: Execution::Unknown,
    },
    Case {
        name: "status of four digits",
        reply: RawReply::new(
            "HTTP/1.1 0200 X\r\nceleryknot-request-id: {id}\r\n\
             content-length: 2\r\n\r\n{}",
            ReplyEnd::Close,
        ),
        status: 502,
        code: "outcome-unknown",
        execution: Execution::Unknown,
    },
    Case {
        name: "status that switches the protocol",
        reply: RawReply::new(
            "HTTP/1.1 101 X\r\nceleryknot-request-id: {id}\r\n\
             content-length: 2\r\n\r\n{}",
            ReplyEnd::Close,
        ),
        status: 502,
        code: "outcome-unknown",
        execution: Execution::Unknown,
    },
    Case {
        name: "no response",
        reply: RawReply::new("", ReplyEnd::Silence),
        status: 504,
        code: "answer-timeout",
        execution: Execution::Unknown,
    },
];

fn options() -> TestOptions {
    TestOptions {
        daemons: 2,
        plain: ServiceSettings {
            answer_size_max_bytes: SizeBytes(39),
            first_byte_timeout_ms: DurationMs(400),
            idle_timeout_ms: DurationMs(400),
            retry_percent_max: 100,
            ..plain_settings()
        },
        ..TestOptions::default()
    }
}

fn endpoint(name: &'static str, address: SocketAddr, owner: usize) -> TestEndpoint {
    TestEndpoint {
        service: PLAIN_SERVICE,
        name,
        address,
        owner,
    }
}

#[test]
fn booking_is_sent_once_and_its_execution_is_reported_correctly() {
    for case in &CASES {
        for owner in OWNERS {
            let first = RawEndpoint::start(case.reply.clone()).unwrap();
            let second = RawEndpoint::start(case.reply.clone()).unwrap();
            let endpoints = [
                endpoint("odd-1", first.address, owner),
                endpoint("odd-2", second.address, owner),
            ];
            let fleet = TestFleet::start(options(), &endpoints);
            let caller = Caller::new(CallerOptions::default());
            let target = fleet.target(0, PLAIN_SERVICE);
            let outcome = smol::block_on(caller.book_once(&target, None, &booking("monday")));
            let Outcome::Refused(refused) = outcome else {
                panic!("{}, owner {owner}: {outcome:?}", case.name);
            };
            assert_eq!(refused.code, case.code, "{}, owner {owner}", case.name);
            assert_eq!(refused.status, case.status, "{}, owner {owner}", case.name);
            assert_eq!(refused.execution, Some(case.execution), "{}", case.name);
            let request_count = first.request_count() + second.request_count();
            let may_have_run = case.execution != Execution::NotRun;
            assert!(
                !may_have_run || request_count == 1,
                "{}, owner {owner}: sent {request_count} times",
                case.name
            );
        }
    }
}

#[test]
fn read_is_retried_at_another_endpoint() {
    for case in &CASES {
        for owner in OWNERS {
            let first = RawEndpoint::start(case.reply.clone()).unwrap();
            let healthy = Service::start(ServiceOptions::default(), LOOPBACK).unwrap();
            let endpoints = [
                endpoint("odd-1", first.address, owner),
                endpoint("service-1", healthy.address(), owner),
            ];
            let fleet = TestFleet::start(options(), &endpoints);
            let caller = Caller::new(CallerOptions::default());
            let target = fleet.target(0, PLAIN_SERVICE);
            // A read may reach the healthy endpoint first; of several reads, some do not.
            for index in 0..6 {
                let name = format!("r{index}");
                let outcome = smol::block_on(caller.read_record(&target, &name));
                let is_final = matches!(&outcome, Outcome::Refused(refused)
                    if case.code == "answer-too-large" && refused.code == case.code);
                assert!(
                    is_final || matches!(outcome, Outcome::Completed(_)),
                    "{}, owner {owner}: {outcome:?}",
                    case.name
                );
            }
        }
    }
}

#[test]
fn booking_with_a_refused_connection_is_reported_as_not_run() {
    // The bound socket, which does not listen, reserves the port.
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket.bind(&LOOPBACK.into()).unwrap();
    let address = socket.local_addr().unwrap().as_socket().unwrap();
    for owner in OWNERS {
        let fleet = TestFleet::start(options(), &[endpoint("gone-1", address, owner)]);
        let caller = Caller::new(CallerOptions::default());
        let target = fleet.target(0, PLAIN_SERVICE);
        let outcome = smol::block_on(caller.book_once(&target, None, &booking("monday")));
        let Outcome::Refused(refused) = outcome else {
            panic!("owner {owner}: {outcome:?}");
        };
        assert_eq!(refused.code, "connect-failed");
        assert_eq!(refused.execution, Some(Execution::NotRun));
        assert!(refused.retry_after_ms.is_some());
    }
}
