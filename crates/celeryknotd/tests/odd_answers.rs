//! Endpoints that refuse, break, cross or withhold their answers.

#![allow(clippy::unwrap_used, reason = "a test may panic")]

mod fleet;
mod raw;

use std::net::SocketAddr;

use celeryknot_core::{DurationMs, Execution, SizeBytes};
use celeryknot_settings::ServiceSettings;
use celeryknot_standins::{Caller, CallerOptions, LOOPBACK, Outcome, Service, ServiceOptions};
use fleet::{PLAIN_SERVICE, TestEndpoint, TestFleet, TestOptions, booking, plain_settings};
use raw::{OddEndpoint, Reply};
use socket2::{Domain, Socket, Type};

/// Where the odd endpoint is owned, seen from the daemon that the caller asks.
const OWNERS: [usize; 2] = [0, 1];

struct Case {
    name: &'static str,
    reply: Reply,
    status: u16,
    code: &'static str,
    execution: Execution,
}

const CASES: [Case; 8] = [
    Case {
        name: "refused without running",
        reply: Reply::Bytes(
            "HTTP/1.1 503 Service Unavailable\r\nceleryknot-request-id: {id}\r\n\
             celeryknot-execution: not-run\r\nretry-after: 3\r\ncontent-length: 0\r\n\r\n",
        ),
        status: 503,
        code: "endpoint-refused",
        execution: Execution::NotRun,
    },
    Case {
        name: "closed without an answer",
        reply: Reply::Bytes(""),
        status: 502,
        code: "outcome-unknown",
        execution: Execution::Unknown,
    },
    Case {
        name: "closed within the body",
        reply: Reply::Bytes(
            "HTTP/1.1 201 Created\r\nceleryknot-request-id: {id}\r\n\
             content-length: 30\r\n\r\n{\"slot\":",
        ),
        status: 502,
        code: "answer-incomplete",
        execution: Execution::Unknown,
    },
    Case {
        name: "without a known end",
        reply: Reply::Bytes("HTTP/1.1 201 Created\r\nceleryknot-request-id: {id}\r\n\r\n{}"),
        status: 502,
        code: "answer-incomplete",
        execution: Execution::Unknown,
    },
    Case {
        name: "of another request",
        reply: Reply::Bytes(
            "HTTP/1.1 201 Created\r\nceleryknot-request-id: 00000000000000ff\r\n\
             content-length: 2\r\n\r\n{}",
        ),
        status: 502,
        code: "answer-mismatched",
        execution: Execution::Unknown,
    },
    Case {
        name: "of no request",
        reply: Reply::Bytes("HTTP/1.1 201 Created\r\ncontent-length: 2\r\n\r\n{}"),
        status: 502,
        code: "answer-mismatched",
        execution: Execution::Unknown,
    },
    Case {
        name: "larger than the limit",
        reply: Reply::Bytes(
            "HTTP/1.1 201 Created\r\nceleryknot-request-id: {id}\r\n\
             content-length: 40\r\n\r\n0123456789012345678901234567890123456789",
        ),
        status: 502,
        code: "answer-too-large",
        execution: Execution::Run,
    },
    Case {
        name: "withheld",
        reply: Reply::Silence,
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
fn a_booking_is_sent_once_and_its_refusal_is_true() {
    for case in &CASES {
        for owner in OWNERS {
            let odd = OddEndpoint::start(case.reply);
            let other = OddEndpoint::start(case.reply);
            let endpoints = [
                endpoint("odd-1", odd.address, owner),
                endpoint("odd-2", other.address, owner),
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
            let taken = odd.taken() + other.taken();
            let is_run = case.execution != Execution::NotRun;
            assert!(
                !is_run || taken == 1,
                "{}, owner {owner}: sent {taken} times",
                case.name
            );
        }
    }
}

#[test]
fn a_read_moves_to_another_endpoint() {
    for case in &CASES {
        for owner in OWNERS {
            let odd = OddEndpoint::start(case.reply);
            let good = Service::start(ServiceOptions::default(), LOOPBACK).unwrap();
            let endpoints = [
                endpoint("odd-1", odd.address, owner),
                endpoint("service-1", good.address(), owner),
            ];
            let fleet = TestFleet::start(options(), &endpoints);
            let caller = Caller::new(CallerOptions::default());
            let target = fleet.target(0, PLAIN_SERVICE);
            // A read may well reach the good endpoint first; some of several don't.
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
fn a_refused_connection_is_known_not_to_run() {
    // A bound socket that does not listen keeps the port from others.
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
