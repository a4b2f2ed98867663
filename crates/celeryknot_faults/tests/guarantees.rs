//! Holds docs/GUARANTEES.md to the tests that it names.

#![allow(clippy::unwrap_used)]

use std::path::{Path, PathBuf};

/// The points that must always hold.
const POINTS: [&str; 9] = [
    "load bound",
    "cold start",
    "zone out",
    "whole answers",
    "true refusals",
    "at most once",
    "leaving endpoints",
    "graceful shutdown",
    "settings",
];

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn page() -> String {
    std::fs::read_to_string(root().join("docs/GUARANTEES.md")).unwrap()
}

/// Returns the texts in backquotes that have the form of a test's name.
fn test_names(page: &str) -> Vec<(&str, &str, &str)> {
    page.split('`')
        .skip(1)
        .step_by(2)
        .filter_map(|quoted| {
            let mut parts = quoted.split("::");
            let name = (parts.next()?, parts.next()?, parts.next()?);
            parts.next().is_none().then_some(name)
        })
        .filter(|(package, _, test)| *package != "package" && *test != "test")
        .collect()
}

#[test]
fn every_test_named_on_the_page_exists() {
    let page = page();
    let names = test_names(&page);
    assert!(names.len() >= POINTS.len(), "{names:?}");
    for (package, file, test) in names {
        let path = root().join(format!("crates/{package}/tests/{file}.rs"));
        let source = std::fs::read_to_string(&path).unwrap_or_default();
        let is_there =
            source.contains(&format!("fn {test}(")) || source.contains(&format!("    {test}: "));
        assert!(is_there, "`{package}::{file}::{test}` is not in the code");
    }
}

#[test]
fn every_point_has_a_promise_and_tests() {
    let page = page();
    for point in POINTS {
        let rows: Vec<&str> = page
            .lines()
            .filter(|line| line.starts_with(&format!("| {point} |")))
            .collect();
        assert_eq!(rows.len(), 2, "{point}");
        assert!(
            rows.iter().any(|row| !test_names(row).is_empty()),
            "{point}"
        );
    }
}
