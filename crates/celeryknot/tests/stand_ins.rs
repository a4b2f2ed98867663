//! Runs stand-ins and load as separate processes.

#![allow(
    clippy::unwrap_used,
    reason = "tests may unwrap, in their helper functions too"
)]

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, ChildStdout, Command, Stdio};

use celeryknot_operators::client::fetch;
use celeryknot_platform::{DaemonInstance, Instance, InstanceState};
use celeryknot_settings::DaemonSettings;

/// A process that is killed on drop.
struct Process {
    child: Child,
    out: BufReader<ChildStdout>,
}

impl Process {
    fn start(args: &[&str]) -> Self {
        let mut child = Command::new(env!("CARGO_BIN_EXE_celeryknot"))
            .args(args)
            .current_dir(Path::new(env!("CARGO_MANIFEST_DIR")).join("../.."))
            .stdout(Stdio::piped())
            .spawn()
            .unwrap();
        let out = BufReader::new(child.stdout.take().unwrap());
        Self { child, out }
    }

    /// Reads the next line `<name> on <address>` and returns the address.
    fn read_address(&mut self, name: &str) -> SocketAddr {
        let mut line = String::new();
        self.out.read_line(&mut line).unwrap();
        let address = line
            .strip_prefix(name)
            .and_then(|rest| rest.strip_prefix(" on "));
        address
            .unwrap_or_else(|| panic!("{line:?}"))
            .trim()
            .parse()
            .unwrap()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn get_json(address: SocketAddr, path: &str) -> serde_json::Value {
    let body = smol::block_on(fetch(address, path)).unwrap();
    serde_json::from_slice(&body).unwrap()
}

struct Example {
    name: &'static str,
    values: usize,
    instances: usize,
}

const EXAMPLES: &[Example] = &[
    Example {
        name: "kinrin-wakai",
        values: 16,
        instances: 22,
    },
    Example {
        name: "quayline",
        values: 17,
        instances: 22,
    },
];

#[test]
fn platform_publishes_the_example_deployments() {
    for example in EXAMPLES {
        let values = format!("examples/{}/values", example.name);
        let instances = format!("examples/{}/instances.json", example.name);
        let args = [
            "stand-in",
            "platform",
            "--address",
            "127.0.0.1:0",
            "--replicas",
            "2",
            "--values",
            &values,
            "--instances",
            &instances,
        ];
        let mut platform = Process::start(&args);
        for _replica in 0..2 {
            let address = platform.read_address("platform");
            let list = get_json(address, "/v1/values");
            let count = list["values"].as_array().unwrap().len();
            assert_eq!(count, example.values, "{}", example.name);
            let list = get_json(address, "/v1/instances");
            let count = list["instances"].as_array().unwrap().len();
            assert_eq!(count, example.instances, "{}", example.name);
        }
    }
}

#[test]
fn example_instance_lists_contain_their_daemons() {
    let examples = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    for example in EXAMPLES {
        let folder = examples.join(example.name);
        let list = std::fs::read_to_string(folder.join("instances.json")).unwrap();
        let list: Vec<Instance> = serde_json::from_str(&list).unwrap();
        for entry in std::fs::read_dir(folder.join("daemons")).unwrap() {
            let text = std::fs::read_to_string(entry.unwrap().path()).unwrap();
            let settings = DaemonSettings::parse(&text).unwrap();
            let instance = Instance::Daemon(DaemonInstance {
                name: settings.name.clone(),
                zone: settings.zone,
                address: settings.peers_address,
                forwards_address: settings.forwards_address,
                state: InstanceState::Live,
            });
            assert!(
                list.contains(&instance),
                "{}: {}",
                example.name,
                settings.name
            );
        }
    }
}

#[test]
fn engines_and_services_listen_on_each_address() {
    for kind in ["engine", "service"] {
        let args = [
            "stand-in",
            kind,
            "--address",
            "127.0.0.1:0",
            "--address",
            "127.0.0.1:0",
        ];
        let mut process = Process::start(&args);
        let first = process.read_address(kind);
        let second = process.read_address(kind);
        assert_ne!(first, second, "{kind}");
        for address in [first, second] {
            assert_eq!(get_json(address, "/v1/load")["in_flight"], 0, "{kind}");
        }
    }
}

#[test]
fn fault_proxy_forwards_to_its_target() {
    let mut engine = Process::start(&["stand-in", "engine", "--address", "127.0.0.1:0"]);
    let target = engine.read_address("engine").to_string();
    let mut proxy = Process::start(&[
        "stand-in",
        "fault-proxy",
        "--address",
        "127.0.0.1:0",
        "--control-address",
        "127.0.0.1:0",
        "--target",
        &target,
    ]);
    let address = proxy.read_address("fault-proxy");
    let control = proxy.read_address("control");
    assert_ne!(address, control);
    assert_eq!(get_json(address, "/v1/load")["in_flight"], 0);
}

#[test]
fn load_on_an_unreachable_address_counts_every_request_as_lost() {
    let output = Command::new(env!("CARGO_BIN_EXE_celeryknot"))
        .args([
            "load",
            "--address",
            "127.0.0.1:1",
            "--seconds",
            "1",
            "--format",
            "json",
        ])
        .output()
        .unwrap();
    let report: serde_json::Value = serde_json::from_slice(&output.stdout).unwrap();
    assert_eq!(output.status.code(), Some(1));
    assert!(report["requests"].as_u64().unwrap() > 0);
    assert_eq!(report["lost"], report["requests"]);
    assert_eq!(report["completed"], 0);
    assert_eq!(report["whole_ms"]["p50"], serde_json::Value::Null);
}

struct UsageCase {
    name: &'static str,
    args: &'static [&'static str],
    err: &'static str,
}

const USAGE_CASES: &[UsageCase] = &[
    UsageCase {
        name: "load without an address",
        args: &["load"],
        err: "celeryknot: give at least one --address\n",
    },
    UsageCase {
        name: "load with a negative rate",
        args: &["load", "--address", "127.0.0.1:1", "--reads-per-s", "-1"],
        err: "celeryknot: a rate is a number from 0 up\n",
    },
    UsageCase {
        name: "engine without an address",
        args: &["stand-in", "engine"],
        err: "celeryknot: no address to listen on: give --address, or --instances with a --service that it lists\n",
    },
    UsageCase {
        name: "instances without a service",
        args: &["stand-in", "service", "--instances", "x.json"],
        err: "celeryknot: --instances and --service go together\n",
    },
    UsageCase {
        name: "values that are not a folder",
        args: &[
            "stand-in",
            "platform",
            "--address",
            "127.0.0.1:0",
            "--values",
            "none",
        ],
        err: "celeryknot: none: not a folder\n",
    },
];

#[test]
fn invalid_arguments_are_refused() {
    for case in USAGE_CASES {
        let output = Command::new(env!("CARGO_BIN_EXE_celeryknot"))
            .args(case.args)
            .output()
            .unwrap();
        assert_eq!(
            String::from_utf8(output.stderr).unwrap(),
            case.err,
            "{}",
            case.name
        );
        assert_eq!(output.status.code(), Some(2), "{}", case.name);
    }
}
