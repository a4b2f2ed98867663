//! Runs `status` and `explain` against an operators' server and compares their output.

#![allow(
    clippy::unwrap_used,
    reason = "tests may unwrap, in their helper functions too"
)]

use std::net::SocketAddr;
use std::process::{Command, Output};

use celeryknot_core::{ErrorKind, Revision};
use celeryknot_operators::{
    ControlStatus, ExplainQuery, Explanation, Metrics, OperatorsState, Status, TrafficStatus,
    serve_operators,
};
use serde::de::DeserializeOwned;
use serde_json::json;

#[derive(Clone)]
struct FakeDaemon(Metrics);

/// Deserializes a value of a daemon's JSON output.
fn from_json<T: DeserializeOwned>(value: serde_json::Value) -> T {
    serde_json::from_value(value).unwrap()
}

fn control() -> ControlStatus {
    ControlStatus {
        snapshot_version: 12,
        is_reader: true,
        settings_revision: Revision(40),
        settings_age_ms: Some(celeryknot_core::DurationMs(320)),
        members: from_json(json!([
            {"name": "entry-1", "zone": "hkd-a", "incarnation": 161, "peers_address": "10.0.0.1:7001", "state": "alive"},
            {"name": "entry-2", "zone": "hkd-b", "incarnation": null, "peers_address": "10.0.0.2:7001", "state": "suspect"},
        ])),
        endpoints: from_json(json!([
            {"name": "engine-1", "service": "wakai-llm", "zone": "hkd-a", "address": "10.0.1.1:8000", "takes_new_work": true,
             "is_leaving": false, "fencing": "refuses", "owner": "entry-1",
             "summary": {"in_flight": 3, "queued": 1, "in_flight_max": 48, "wait_ms": 250, "condition": "warm"}},
            {"name": "engine-2", "service": "wakai-llm", "zone": "hkd-b", "address": "10.0.1.2:8000", "takes_new_work": false,
             "is_leaving": true, "fencing": "refuses", "owner": null, "summary": null},
        ])),
        zones: from_json(json!([
            {"name": "hkd-a", "is_out": false, "out_for_teams": [], "members_alive": 1, "endpoints": 1},
            {"name": "hkd-b", "is_out": true, "out_for_teams": ["kinrin"], "members_alive": 0, "endpoints": 1},
        ])),
        settings: from_json(json!([
            {"path": "fleet/zones/hkd-b", "revision_in_force": 40, "refused": null},
            {"path": "teams/kinrin/services/wakai-llm", "revision_in_force": 7, "refused": {"revision": 39,
             "findings": ["teams/kinrin/services/wakai-llm:3: unknown-key: no key `ramp` in [service] (did you mean `ramp_ms`?)"]}},
        ])),
        rollouts: from_json(json!([
            {"service": "wakai-llm", "revision": 31, "version": "v2+ja", "state": "runs"},
        ])),
        ..ControlStatus::default()
    }
}

const STATUS_TEXT: &str = "\
entry-1 in hkd-a (ready), version 0.1.0, incarnation 00000000000000a1
snapshot 12, settings revision 40 confirmed 320ms ago; watches the platform
5 connections, 3 requests in flight, 1 endpoints owned, 2 tickets held

Members
name     zone   state    incarnation       address
entry-1  hkd-a  alive    00000000000000a1  10.0.0.1:7001
entry-2  hkd-b  suspect  -                 10.0.0.2:7001

Zones
zone   state  out for teams  members  endpoints
hkd-a  in     -              1        1
hkd-b  out    kinrin         0        1

Endpoints
name      service    zone   owner    new work     condition  in flight  queued  wait
engine-1  wakai-llm  hkd-a  entry-1  yes          warm       3/48       1       250ms
engine-2  wakai-llm  hkd-b  -        no, leaving  -          -          -       -

Rollouts
service    version  revision  state here
wakai-llm  v2+ja    31        runs

Settings
path                             revision in force  refused
fleet/zones/hkd-b                40                 -
teams/kinrin/services/wakai-llm  7                  revision 39
teams/kinrin/services/wakai-llm:3: unknown-key: no key `ramp` in [service] (did you mean `ramp_ms`?)
";

const EXPLANATION_TEXT: &str = "\
Chat `file 17/2` of otaru at wakai-llm (key 0000000000000007, snapshot 12)
rank  endpoint  zone   owner    cost  wait  cached  condition  objections
1     engine-1  hkd-a  entry-1  60ms  20ms  900     warm       -
-     engine-2  hkd-b  -        -     -     0       -          its zone is out; it is leaving
";

impl OperatorsState for FakeDaemon {
    fn is_ready(&self) -> bool {
        true
    }

    fn metrics(&self) -> &Metrics {
        &self.0
    }

    fn status(&self) -> Status {
        Status {
            name: "entry-1".parse().unwrap(),
            zone: "hkd-a".parse().unwrap(),
            incarnation: "00000000000000a1".parse().unwrap(),
            version: "0.1.0".to_owned(),
            is_ready: true,
            is_shutting_down: false,
            control: control(),
            traffic: TrafficStatus {
                connections: 5,
                requests_in_flight: 3,
                endpoints_owned: 1,
                tickets_held: 2,
            },
        }
    }

    fn explain(&self, query: &ExplainQuery) -> Result<Explanation, ErrorKind> {
        if query.customer.as_str() != "otaru" {
            return Err(ErrorKind::UnknownCustomer);
        }
        Ok(Explanation {
            query: query.clone(),
            chat_key: celeryknot_core::ChatKey(7),
            snapshot_version: 12,
            endpoints: from_json(json!([
                {"name": "engine-1", "zone": "hkd-a", "owner": "entry-1", "rank": 1, "cost_ms": 60, "wait_ms": 20,
                 "cached_tokens": 900, "condition": "warm", "objections": []},
                {"name": "engine-2", "zone": "hkd-b", "owner": null, "rank": null, "cost_ms": null, "wait_ms": null,
                 "cached_tokens": 0, "condition": null, "objections": ["its zone is out", "it is leaving"]},
            ])),
        })
    }
}

/// Starts a server that runs until the test process ends.
fn start_daemon() -> SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        let listener = smol::net::TcpListener::try_from(listener).unwrap();
        smol::block_on(serve_operators(listener, FakeDaemon(Metrics::new()))).unwrap();
    });
    address
}

fn run(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_celeryknot"))
        .args(args)
        .output()
        .unwrap()
}

fn text(bytes: &[u8]) -> &str {
    std::str::from_utf8(bytes).unwrap()
}

#[test]
fn status_prints_text_and_json() {
    let address = start_daemon().to_string();
    let output = run(&["status", "--address", &address]);
    assert_eq!(
        (text(&output.stdout), text(&output.stderr)),
        (STATUS_TEXT, "")
    );
    let output = run(&["status", "--address", &address, "--format", "json"]);
    let status: Status = serde_json::from_slice(&output.stdout).unwrap();
    assert_eq!(status, FakeDaemon(Metrics::new()).status());
}

#[test]
fn explain_prints_the_ranking_or_the_refusal() {
    let address = start_daemon().to_string();
    let args = |customer| {
        [
            "explain",
            "--address",
            &address,
            "--service",
            "wakai-llm",
            "--customer",
            customer,
            "--chat",
            "file 17/2",
        ]
    };
    let output = run(&args("otaru"));
    assert_eq!(
        (text(&output.stdout), text(&output.stderr)),
        (EXPLANATION_TEXT, "")
    );
    let output = run(&args("nobody"));
    let error = format!(
        "celeryknot: {address}: refused with 403: unknown-customer: The customer is unknown or its token is wrong\n"
    );
    assert_eq!(
        (text(&output.stdout), text(&output.stderr)),
        ("", error.as_str())
    );
    assert_eq!(output.status.code(), Some(3));
}
