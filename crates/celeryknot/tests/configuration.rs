//! Runs `celeryknot check` on the operators' configuration and compares output and exit status.

#![allow(
    clippy::unwrap_used,
    reason = "tests may unwrap, in their helper functions too"
)]

use std::path::{Path, PathBuf};
use std::process::Command;

use proptest::prelude::*;
use serde_json::{Value, json};

/// A folder that is removed at the end of its test.
struct ScratchFolder(PathBuf);

impl ScratchFolder {
    fn new(name: &str, files: &[(&str, &str)]) -> Self {
        let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
        let _ = std::fs::remove_dir_all(&folder);
        for (file, text) in files {
            let file = folder.join(file);
            std::fs::create_dir_all(file.parent().unwrap()).unwrap();
            std::fs::write(file, text).unwrap();
        }
        Self(folder)
    }

    /// Returns the exit status, standard output and standard error of `celeryknot check`.
    fn check(&self, args: &[&str]) -> (i32, String, String) {
        let output = Command::new(env!("CARGO_BIN_EXE_celeryknot"))
            .arg("check")
            .args(args)
            .current_dir(&self.0)
            .output()
            .unwrap();
        let text = |bytes| String::from_utf8(bytes).unwrap();
        let status = output.status.code().unwrap();
        (status, text(output.stdout), text(output.stderr))
    }
}

impl Drop for ScratchFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

const SOUND: &str = r#"{
  "version": 7,
  "routes": [
    { "name": "desk", "host": "a.example", "prefix": "/desk/", "routeType": "safe",
      "timeoutMs": 1000, "targetLatencyMs": 200, "maxAttempts": 2,
      "service": "desk" },
    { "name": "chat", "host": "a.example", "prefix": "/chat/", "routeType": "streaming",
      "timeoutMs": 5000, "targetLatencyMs": 600, "gapAimMs": 300, "maxAttempts": 1,
      "allowedRegions": ["hkd"],
      "trafficSplit": [{ "service": "llm", "weight": 1 }] }
  ],
  "services": [
    { "name": "desk", "healthPath": "/healthz", "maxConnections": 12 },
    { "name": "llm", "healthPath": "/healthz", "maxConnections": 360,
      "coldStartS": 3.0, "coldPerS": 13.0,
      "engine": { "slots": 64, "kvCapacity": 342415, "kvBytes": 163840 } }
  ],
  "tenants": [
    { "name": "otaru", "apiKeys": ["key-of-otaru-0123456789"] }
  ],
  "limits": { "maxHeaderBytes": 16384, "maxBodyBytes": 100000, "headerTimeoutMs": 5000,
    "idleTimeoutMs": 30000 }
}
"#;

/// The sound configuration with mistakes of each kind.
const FAULTY: &str = r#"{
  "version": 8,
  "routes": [
    { "name": "desk", "host": "a.example", "prefix": "/desk", "routeType": "safe",
      "timeoutMs": 1000, "targetLatencyMs": 2000, "maxAttempts": 0,
      "service": "desc" },
    { "name": "chat", "host": "a.example", "prefix": "/chat/", "routeType": "streaming",
      "timeoutMs": 5000, "targetLatencyMs": 600, "gapAimMs": 6000, "maxAttempts": 1,
      "allowedRegions": ["tok"],
      "trafficSplit": [{ "service": "llm", "weight": 0 }] },
    { "name": "chat-2", "host": "A.example", "prefix": "/chat/", "routeType": "streaming",
      "timeoutMs": "5 s", "service": "llm" },
    { "name": "chat-3", "host": "A.example", "prefix": "/chat/", "routeType": "streaming",
      "timeoutMs": 5000, "service": "llm" }
  ],
  "services": [
    { "name": "desk", "healthPath": "/healthz", "maxConnections": 12,
      "coldPerS": 2 },
    { "name": "llm", "healthPath": "/healthz", "maxConnections": 36,
      "coldStartS": 3.0,
      "engine": { "slots": 64, "kvCapacity": 342415, "kvBytes": 163840 } }
  ],
  "tenants": [
    { "name": "otaru", "apiKeys": ["key-of-otaru-0123456789"] },
    { "name": "minami", "apiKeys": ["key-of-otaru-0123456789"] }
  ],
  "limits": { "maxHeaderBytes": 16384, "maxBodyBytes": 100000, "headerTimeoutMs": 50000,
    "idleTimeoutMs": 30000 }
}
"#;

const GATEWAY: &str = "\
[gateway]
name = edge-1
zone = hkd-a

[addresses]
callers = 127.0.0.1:8080
readiness = 127.0.0.1:8081
peers = 127.0.0.1:8082

[store]
addresses = 127.0.0.1:8083

[members]
seeds = 127.0.0.1:8082

[regions]
zones = hkd-a, oki-a
regions = hkd, oki
";

/// A second version, with a difference of each kind.
fn changed() -> String {
    let changes = [
        ("\"version\": 7", "\"version\": 8"),
        ("/desk/", "/counter/"),
        ("\"gapAimMs\": 300", "\"gapAimMs\": 400"),
        ("\"maxConnections\": 12", "\"maxConnections\": 24"),
        (
            "[\"key-of-otaru-0123456789\"] }",
            "[\"new-key-of-otaru-0123456789\"] },\n    { \"name\": \"minami\", \"apiKeys\": [\"short\"] }",
        ),
        ("\"idleTimeoutMs\": 30000", "\"idleTimeoutMs\": 20000"),
    ];
    changes
        .into_iter()
        .fold(SOUND.to_owned(), |text, (old, new)| {
            assert!(text.contains(old), "{old}");
            text.replacen(old, new, 1)
        })
}

struct Case {
    name: &'static str,
    args: &'static [&'static str],
    status: i32,
    out: &'static str,
    err: &'static str,
}

/// Guards against a changed form of the lines, a wrong exit status, and an API key in the output.
#[test]
fn check_prints_findings_as_text_and_its_status() {
    let warnings = SOUND.replace("\"gapAimMs\": 300", "\"gapAimMs\": 6000");
    let lower = SOUND.replace("\"version\": 7", "\"version\": 6");
    let changed = changed();
    let folder = ScratchFolder::new(
        "configurations",
        &[
            ("sound.json", SOUND),
            ("faulty.json", FAULTY),
            ("warnings.json", &warnings),
            ("changed.json", &changed),
            ("same.json", SOUND),
            ("lower", &lower),
            ("cut.json", &SOUND[..100]),
            ("router.ini", GATEWAY),
            ("faulty.ini", "[gateway]\n"),
            (
                "teams/kinrin/services/llm",
                "[service]\nmodels = wakai-8b\nramp = 5s\n",
            ),
            ("fleet/sound.json", SOUND),
        ],
    );
    let cases = [
        Case {
            name: "sound",
            args: &["sound.json"],
            status: 0,
            out: "checked 1 configuration: no findings\n",
            err: "",
        },
        Case {
            name: "sound, with zones",
            args: &["sound.json", "--gateway", "router.ini"],
            status: 0,
            out: "checked 1 configuration: no findings\n",
            err: "",
        },
        Case {
            name: "below a folder of values",
            args: &["fleet/sound.json"],
            status: 0,
            out: "checked 1 configuration: no findings\n",
            err: "",
        },
        Case {
            name: "warnings only",
            args: &["warnings.json"],
            status: 4,
            out: "\
warnings.json:8: warning: pause-above-timeout: routes[1].gapAimMs: the pause objective 6000ms is above the timeout 5000ms (see warnings.json:8: routes[1].timeoutMs)
checked 1 configuration: 1 warning
",
            err: "",
        },
        Case {
            name: "errors and warnings",
            args: &["faulty.json", "--gateway", "router.ini"],
            status: 1,
            out: "\
faulty.json:4: error: prefix-without-slash: routes[0].prefix: no request matches the prefix `/desk`: it must start and end with a slash
faulty.json:5: warning: objective-above-timeout: routes[0].targetLatencyMs: the latency objective 2000ms is above the timeout 1000ms (see faulty.json:5: routes[0].timeoutMs)
faulty.json:5: error: zero-attempts: routes[0].maxAttempts: no attempt is allowed; gateways make one all the same
faulty.json:6: error: unknown-service: routes[0].service: there is no service `desc`
faulty.json:7: error: repeated-route: routes[1]: no request matches the route: a later one has the host `a.example` and the prefix `/chat/` too (see faulty.json:13: routes[3])
faulty.json:8: warning: pause-above-timeout: routes[1].gapAimMs: the pause objective 6000ms is above the timeout 5000ms (see faulty.json:8: routes[1].timeoutMs)
faulty.json:9: error: unknown-region: routes[1].allowedRegions[0]: no zone is in the region `tok`
faulty.json:10: error: zero-weights: routes[1].trafficSplit: all weights are 0, so that the requests of the route are refused
faulty.json:12: error: unreadable-entry: routes[2].timeoutMs: the field `timeoutMs`: invalid type: string, expected a number
faulty.json:18: warning: cold-rate-without-cold-start: services[0].coldPerS: the rate for cold endpoints, 2 a second, has no effect: the service has no cold start
faulty.json:20: warning: cold-start-without-cold-rate: services[1].coldStartS: the service has a cold start but no rate for cold endpoints, so that they get requests without a limit
faulty.json:21: warning: slots-above-connections: services[1].engine.slots: an engine has 64 slots but at most 36 connections
faulty.json:25: error: shared-key: tenants[1].apiKeys[0]: the key key-… belongs to `otaru` and `minami`; requests with it count for the last of them (see faulty.json:24: tenants[0].apiKeys[0])
faulty.json:27: warning: header-timeout-above-idle: limits.headerTimeoutMs: the header timeout 50000ms is above the idle timeout 30000ms (see faulty.json:28: limits.idleTimeoutMs)
checked 1 configuration: 8 errors, 6 warnings
",
            err: "",
        },
        Case {
            name: "differences alone",
            args: &["changed.json", "--against", "sound.json"],
            status: 0,
            out: "\
changed.json:4: note: route-added: routes[0]: the route `desk` of `a.example/counter/` is added
changed.json:7: note: route-changed: routes[1]: the route `chat` of `a.example/chat/` is changed: pause objective 300ms -> 400ms (see sound.json:7: routes[1])
changed.json:13: note: service-changed: services[0]: the service `desk` is changed: connections 12 -> 24 (see sound.json:13: services[0])
changed.json:19: note: key-added: tenants[0].apiKeys[0]: the key new-… of `otaru` is added
changed.json:20: note: customer-added: tenants[1]: the customer `minami` is added
changed.json:20: note: key-added: tenants[1].apiKeys[0]: the key s… of `minami` is added
changed.json:23: note: limit-changed: limits.idleTimeoutMs: a limit is changed: idle timeout 30000ms -> 20000ms (see sound.json:22: limits.idleTimeoutMs)
sound.json:4: note: route-removed: routes[0]: the route `desk` of `a.example/desk/` is removed
sound.json:19: note: key-removed: tenants[0].apiKeys[0]: the key key-… of `otaru` is removed
checked 1 configuration: 9 notes
",
            err: "",
        },
        Case {
            name: "the active version again",
            args: &["same.json", "--against", "sound.json"],
            status: 1,
            out: "\
same.json:2: error: version-not-higher: version: the version 7 is not above the active version 7, so that gateways ignore it (see sound.json:2: version)
checked 1 configuration: 1 error
",
            err: "",
        },
        Case {
            name: "a lower version, in a file of any name",
            args: &["lower", "--against", "sound.json"],
            status: 1,
            out: "\
lower:2: error: version-not-higher: version: the version 6 is not above the active version 7, so that gateways ignore it (see sound.json:2: version)
checked 1 configuration: 1 error
",
            err: "",
        },
        Case {
            name: "no JSON",
            args: &["cut.json"],
            status: 1,
            out: "\
cut.json:4: error: unreadable-file: EOF while parsing a string
checked 1 configuration: 1 error
",
            err: "",
        },
        Case {
            name: "an active version that can't be read",
            args: &["sound.json", "--against", "cut.json"],
            status: 1,
            out: "\
cut.json:4: error: unreadable-file: EOF while parsing a string
checked 1 configuration: 1 error
",
            err: "",
        },
        Case {
            name: "beside values",
            args: &["warnings.json", "teams", "sound.json"],
            status: 1,
            out: "\
teams/kinrin/services/llm:3: unknown-key: no key `ramp` in [service] (did you mean `ramp_ms`?)
warnings.json:8: warning: pause-above-timeout: routes[1].gapAimMs: the pause objective 6000ms is above the timeout 5000ms (see warnings.json:8: routes[1].timeoutMs)
checked 1 value and 2 configurations: 1 error, 1 warning
",
            err: "",
        },
        Case {
            name: "missing file",
            args: &["none.json"],
            status: 2,
            out: "",
            err: "celeryknot: none.json: No such file or directory (os error 2)\n",
        },
        Case {
            name: "missing active version",
            args: &["sound.json", "--against", "none.json"],
            status: 2,
            out: "",
            err: "celeryknot: none.json: No such file or directory (os error 2)\n",
        },
        Case {
            name: "two files against one",
            args: &["sound.json", "same.json", "--against", "sound.json"],
            status: 2,
            out: "",
            err: "celeryknot: --against takes exactly one file\n",
        },
        Case {
            name: "a value against a configuration",
            args: &["a", "--as-path", "fleet/zones/a", "--against", "sound.json"],
            status: 2,
            out: "",
            err: "celeryknot: --as-path and --against exclude each other\n",
        },
        Case {
            name: "a gateway without a configuration",
            args: &["teams", "--gateway", "router.ini"],
            status: 2,
            out: "",
            err: "celeryknot: --gateway needs a configuration to check\n",
        },
        Case {
            name: "an unknown format",
            args: &["sound.json", "--format", "xml"],
            status: 2,
            out: "",
            err: "Error parsing option '--format' with value 'xml': Matching variant not found\nRun `celeryknot --help` for the commands.\n",
        },
    ];
    for case in &cases {
        let (status, out, err) = folder.check(case.args);
        assert_eq!((&*out, &*err), (case.out, case.err), "{}", case.name);
        assert_eq!(status, case.status, "{}", case.name);
        assert!(!out.contains("0123456789"), "{}", case.name);
    }
    let (status, out, err) = folder.check(&["sound.json", "--gateway", "faulty.ini"]);
    assert_eq!((status, &*out), (2, ""));
    assert!(err.contains("faulty.ini: missing-key: "), "{err}");
}

/// Guards against renamed fields, on which scripts rely.
#[test]
fn check_prints_findings_as_json() {
    let lower = changed().replace("\"version\": 8", "\"version\": 6");
    let files = [
        ("sound.json", SOUND),
        (
            "warnings.json",
            &*SOUND.replace("\"gapAimMs\": 300", "\"gapAimMs\": 6000"),
        ),
        ("lower.json", &*lower),
        ("cut.json", "{"),
    ];
    let folder = ScratchFolder::new("configurations-json", &files);
    let check = |args: &[&str]| -> (i32, Vec<Value>) {
        let (status, out, _) = folder.check(&[args, &["--format", "json"]].concat());
        (status, serde_json::from_str(&out).unwrap())
    };
    assert_eq!(check(&["sound.json"]), (0, vec![]));
    let warning = json!({
        "source": "warnings.json",
        "line": 8,
        "path": "routes[1].gapAimMs",
        "severity": "warning",
        "code": "pause-above-timeout",
        "reason": "the pause objective 6000ms is above the timeout 5000ms",
        "other": { "source": "warnings.json", "line": 8, "path": "routes[1].timeoutMs" },
    });
    assert_eq!(check(&["warnings.json"]), (4, vec![warning]));
    let unreadable = json!({
        "source": "cut.json",
        "line": 1,
        "path": "",
        "severity": "error",
        "code": "unreadable-file",
        "reason": "EOF while parsing an object",
        "other": null,
    });
    assert_eq!(check(&["cut.json"]), (1, vec![unreadable]));
    let (status, findings) = check(&["lower.json", "--against", "sound.json"]);
    let codes: Vec<&str> = findings
        .iter()
        .map(|finding| finding["code"].as_str().unwrap())
        .collect();
    let expected = [
        "version-not-higher",
        "route-added",
        "route-changed",
        "service-changed",
        "key-added",
        "customer-added",
        "key-added",
        "limit-changed",
        "route-removed",
        "key-removed",
    ];
    assert_eq!((status, &*codes), (1, &expected[..]));
    let removed = json!({
        "source": "sound.json",
        "line": 19,
        "path": "tenants[0].apiKeys[0]",
        "severity": "note",
        "code": "key-removed",
        "reason": "the key key-… of `otaru` is removed",
        "other": null,
    });
    assert_eq!(findings.last(), Some(&removed));
    let is_masked = |finding: &Value| !finding.to_string().contains("0123456789");
    assert!(findings.iter().all(is_masked));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 128, failure_persistence: None, ..ProptestConfig::default() })]

    /// Replaces a part of the configuration, so that most of it stays readable.
    #[test]
    fn no_changed_configuration_makes_the_command_panic(
        start in 0..FAULTY.len(),
        len in 0_usize..30,
        replacement in proptest::collection::vec(any::<u8>(), 0..12),
        is_active in any::<bool>(),
    ) {
        let mut changed = FAULTY.as_bytes().to_vec();
        let end = (start + len).min(changed.len());
        changed.splice(start..end, replacement);
        let folder = ScratchFolder::new("configurations-changed", &[("sound.json", SOUND)]);
        std::fs::write(folder.0.join("changed.json"), changed).unwrap();
        let path = |name: &str| folder.0.join(name).display().to_string();
        let files = match is_active {
            true => [path("sound.json"), path("changed.json")],
            false => [path("changed.json"), path("sound.json")],
        };
        let check = |format: &str| {
            let args = ["check", &files[0], "--against", &files[1], "--format", format];
            let mut out = Vec::new();
            let status = celeryknot::run(&args.map(str::to_owned), &mut out);
            (status, String::from_utf8(out).unwrap())
        };
        let (text_status, text) = check("text");
        let (json_status, json) = check("json");
        let findings: Vec<Value> = serde_json::from_str(&json).unwrap();
        prop_assert_eq!(text_status, json_status);
        prop_assert_eq!(text.lines().count(), findings.len() + 1, "one line for each finding");
    }
}
