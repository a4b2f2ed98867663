//! Runs the demo and a measurement through the command line.

#![allow(
    clippy::unwrap_used,
    reason = "tests may unwrap, in their helper functions too"
)]

use std::process::{Command, Output};

use celeryknot_measure::Measurement;
use serde_json::Value;
use strum::IntoEnumIterator;

const COMMANDS: &str = include_str!("../../../docs/COMMANDS.md");

fn run(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_celeryknot"))
        .args(args)
        .output()
        .unwrap()
}

#[test]
fn demo_reports_figures_and_matching_exit_status() {
    const KEYS: [&str; 11] = [
        "requests",
        "completed",
        "refused",
        "lost",
        "doubled_bookings",
        "truncated",
        "cross_delivered",
        "cache_reuse_ratio",
        "max_over_mean_load",
        "control_bytes_per_s",
        "first_token_ms_p95",
    ];
    let output = run(&["demo", "--seconds", "3", "--seed", "1", "--format", "json"]);
    let demo: Value = serde_json::from_slice(&output.stdout).unwrap();
    for key in KEYS {
        assert!(demo[key].is_number(), "{key}: {}", demo[key]);
    }
    let count = |key: &str| demo[key].as_u64().unwrap();
    assert!(count("completed") > 0, "{demo:#}");
    let outcomes = ["completed", "refused", "truncated", "cross_delivered"].map(count);
    assert!(
        outcomes.iter().sum::<u64>() <= count("requests"),
        "{demo:#}"
    );
    let faults = ["lost", "doubled_bookings", "truncated", "cross_delivered"].map(count);
    let status = i32::from(faults.iter().any(|fault| *fault > 0));
    assert_eq!(output.status.code(), Some(status), "{demo:#}");
}

#[test]
fn decision_measurement_reports_json_and_matching_exit_status() {
    let output = run(&["measure", "decision", "--format", "json"]);
    let report: Value = serde_json::from_slice(&output.stdout).unwrap();
    assert_eq!(report["name"], "decision");
    let is_reached = |verdict: &Value| verdict["is_reached"] == true;
    let verdicts = report["verdicts"].as_array().unwrap();
    let status = i32::from(!verdicts.iter().all(is_reached));
    assert_eq!(output.status.code(), Some(status), "{report:#}");
}

#[test]
fn invalid_names_and_durations_are_refused() {
    let names: Vec<String> = Measurement::iter().map(|name| name.to_string()).collect();
    let output = run(&["measure", "skwe"]);
    let err = String::from_utf8(output.stderr).unwrap();
    assert!(
        err.contains(&format!("`skwe` is none of {}", names.join(", "))),
        "{err}"
    );
    assert_eq!(output.status.code(), Some(2));
    for args in [
        &["demo", "--seconds", "0"][..],
        &["measure", "skew", "--seconds", "0"],
    ] {
        let output = run(args);
        assert_eq!(
            output.stderr, b"celeryknot: --seconds is at least 1\n",
            "{args:?}"
        );
        assert_eq!(output.status.code(), Some(2), "{args:?}");
    }
}

#[test]
fn page_lists_every_measurement() {
    let on_page: Vec<&str> = COMMANDS
        .lines()
        .skip_while(|line| !line.starts_with("| measurement |"))
        .skip(2)
        .map_while(|line| line.strip_prefix("| `")?.split('`').next())
        .collect();
    let mut names: Vec<String> = Measurement::iter().map(|name| name.to_string()).collect();
    names.push("faults".to_owned());
    assert_eq!(on_page, names);
}
