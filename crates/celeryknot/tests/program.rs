//! Runs the program and compares its output and exit status.

#![allow(
    clippy::unwrap_used,
    reason = "tests may unwrap, in their helper functions too"
)]

use std::path::{Path, PathBuf};
use std::process::Command;

/// The output and exit status of the program.
#[derive(Debug, PartialEq, Eq)]
struct Outcome {
    status: i32,
    out: String,
    err: String,
}

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn run_in(folder: &Path, args: &[&str]) -> Outcome {
    let output = Command::new(env!("CARGO_BIN_EXE_celeryknot"))
        .args(args)
        .current_dir(folder)
        .output()
        .unwrap();
    Outcome {
        status: output.status.code().unwrap(),
        out: String::from_utf8(output.stdout).unwrap(),
        err: String::from_utf8(output.stderr).unwrap(),
    }
}

struct Case {
    name: &'static str,
    args: &'static [&'static str],
    status: i32,
    out: &'static str,
    err: &'static str,
}

const CASES: &[Case] = &[
    Case {
        name: "version",
        args: &["--version"],
        status: 0,
        out: "celeryknot 0.1.0\n",
        err: "",
    },
    Case {
        name: "no command",
        args: &[],
        status: 2,
        out: "",
        err: "celeryknot: no command given; `celeryknot --help` lists them\n",
    },
    Case {
        name: "unknown command",
        args: &["chek"],
        status: 2,
        out: "",
        err: "Unrecognized argument: chek\nRun `celeryknot --help` for the commands.\n",
    },
    Case {
        name: "example deployments",
        args: &["check", "examples"],
        status: 0,
        out: "checked 17 daemon files and 33 values, passed over 3 other files: no findings\n",
        err: "",
    },
    Case {
        name: "one value",
        args: &[
            "check",
            "examples/kinrin-wakai/values/teams/kinrin/rollouts/wakai-llm",
        ],
        status: 0,
        out: "checked 1 value: no findings\n",
        err: "",
    },
    Case {
        name: "missing file",
        args: &["check", "examples/none.ini"],
        status: 2,
        out: "",
        err: "celeryknot: examples/none.ini: No such file or directory (os error 2)\n",
    },
    Case {
        name: "folder without settings",
        args: &["check", "docs"],
        status: 2,
        out: "",
        err: "celeryknot: no settings here: daemons' files end in `.ini`, values lie below `teams` or `fleet`\n",
    },
    Case {
        name: "value as another path",
        args: &[
            "check",
            "--as-path",
            "fleet/zones/hkd-a",
            "examples/kinrin-wakai/values/teams/kinrin/customers/sapporo",
        ],
        status: 1,
        out: "examples/kinrin-wakai/values/teams/kinrin/customers/sapporo:1: unknown-section: no section [customer] here\nchecked 1 value: 1 finding\n",
        err: "",
    },
    Case {
        name: "status of an unreachable daemon",
        args: &["status", "--address", "127.0.0.1:1"],
        status: 3,
        out: "",
        err: "celeryknot: 127.0.0.1:1: the daemon can't be reached: Connection refused (os error 111)\n",
    },
    Case {
        name: "explain with an unreachable daemon",
        args: &[
            "explain",
            "--address",
            "127.0.0.1:1",
            "--service",
            "s",
            "--customer",
            "c",
            "--chat",
            "1",
        ],
        status: 3,
        out: "",
        err: "celeryknot: 127.0.0.1:1: the daemon can't be reached: Connection refused (os error 111)\n",
    },
];

#[test]
fn commands_print_the_expected_output_and_status() {
    for case in CASES {
        let expected = Outcome {
            status: case.status,
            out: case.out.to_owned(),
            err: case.err.to_owned(),
        };
        assert_eq!(run_in(&root(), case.args), expected, "{}", case.name);
    }
}

/// A folder that is removed at the end of its test.
struct ScratchFolder(PathBuf);

impl ScratchFolder {
    fn new(name: &str, files: &[(&str, &[u8])]) -> Self {
        let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
        let _ = std::fs::remove_dir_all(&folder);
        for (file, text) in files {
            let file = folder.join(file);
            std::fs::create_dir_all(file.parent().unwrap()).unwrap();
            std::fs::write(file, text).unwrap();
        }
        Self(folder)
    }
}

impl Drop for ScratchFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

const INVALID_TREE: &[(&str, &[u8])] = &[
    (
        "teams/kinrin/services/llm",
        b"[service]\nmodels = wakai-8b\nramp = 5s\n",
    ),
    (
        "teams/kinrin/rollouts/lm",
        b"[rollout]\nmodel = wakai-8b\nversion = 2\n",
    ),
    (
        "teams/kinrin/customers/otaru",
        b"[customer]\nshare_weight = \xff\n",
    ),
    ("notes.txt", b"not settings"),
    (".git/teams/kinrin/x", b"not settings"),
];

#[test]
fn check_reports_files_and_lines() {
    let folder = ScratchFolder::new("faulty-tree", INVALID_TREE);
    let outcome = run_in(&folder.0, &["check", "."]);
    let expected = "\
./teams/kinrin/customers/otaru:2: syntax: the line is not UTF-8
./teams/kinrin/rollouts/lm: unknown-service: the team has no service `lm` (did you mean `llm`?)
./teams/kinrin/services/llm:3: unknown-key: no key `ramp` in [service] (did you mean `ramp_ms`?)
checked 3 values, passed over 1 other file: 3 findings
";
    assert_eq!((outcome.out.as_str(), outcome.status), (expected, 1));
}

const DAEMON_SETTINGS: &str = include_str!("../../../examples/quayline/daemons/entry-likoni-1.ini");

#[test]
fn check_reports_conflicts_between_daemon_files_of_a_folder() {
    let other_key = DAEMON_SETTINGS
        .replace("change-this-quayline-peer-key", "another-key-for-the-peers")
        .replace("entry-likoni-1", "entry-likoni-2");
    let files: [(&str, &[u8]); 4] = [
        ("fleet-1/a.ini", DAEMON_SETTINGS.as_bytes()),
        ("fleet-1/b.ini", DAEMON_SETTINGS.as_bytes()),
        ("fleet-1/c.ini", other_key.as_bytes()),
        ("fleet-2/a.ini", other_key.as_bytes()),
    ];
    let folder = ScratchFolder::new("daemons-of-one-folder", &files);
    let outcome = run_in(&folder.0, &["check", "."]);
    let expected = "\
./fleet-1/b.ini: duplicate-name: ./fleet-1/a.ini has the name `entry-likoni-1` too
./fleet-1/c.ini: conflict: [keys] peers differs from ./fleet-1/a.ini
checked 4 daemon files: 2 findings
";
    assert_eq!((outcome.out.as_str(), outcome.status), (expected, 1));
}

#[test]
fn check_prints_json() {
    let folder = ScratchFolder::new("faulty-json", &INVALID_TREE[..1]);
    let outcome = run_in(&folder.0, &["check", "--format", "json", "."]);
    let findings: serde_json::Value = serde_json::from_str(&outcome.out).unwrap();
    let expected = serde_json::json!([{
        "source": "./teams/kinrin/services/llm",
        "line": 3,
        "code": "unknown-key",
        "reason": "no key `ramp` in [service]",
        "nearest": "ramp_ms",
    }]);
    assert_eq!((findings, outcome.status), (expected, 1));
}

#[test]
fn codes_prints_text_and_json() {
    let text = run_in(&root(), &["codes"]).out;
    assert_eq!(
        text.lines().next(),
        Some("code                  status  execution  retry        after     title")
    );
    let json = run_in(&root(), &["codes", "--format", "json"]).out;
    let codes: Vec<serde_json::Value> = serde_json::from_str(&json).unwrap();
    assert_eq!(codes.len() + 1, text.lines().count());
    let queue_full = codes
        .iter()
        .find(|code| code["code"] == "queue-full")
        .unwrap();
    assert_eq!(queue_full["execution"], "not-run");
}

#[test]
fn help_is_printed_to_standard_output() {
    for args in [&["--help"][..], &["check", "--help"], &["status", "help"]] {
        let outcome = run_in(&root(), args);
        assert_eq!((outcome.status, outcome.err.as_str()), (0, ""), "{args:?}");
        assert!(outcome.out.starts_with("Usage: celeryknot"), "{args:?}");
        assert!(outcome.out.contains("Examples:"), "{args:?}");
    }
}
