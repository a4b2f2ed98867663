//! Checks that the guarantees in docs/GUARANTEES.md are covered by tests that exist.

#![allow(clippy::unwrap_used)]

use std::path::{Path, PathBuf};

/// The guarantees that the page lists.
const GUARANTEES: [&str; 9] = [
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

/// Returns the texts in backquotes of the form `package::file::test`.
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
    assert!(names.len() >= GUARANTEES.len(), "{names:?}");
    for (package, file, test) in names {
        let path = root().join(format!("crates/{package}/tests/{file}.rs"));
        let source = std::fs::read_to_string(&path).unwrap_or_default();
        let is_defined =
            source.contains(&format!("fn {test}(")) || source.contains(&format!("    {test}: "));
        assert!(is_defined, "`{package}::{file}::{test}` is not in the code");
    }
}

#[test]
fn every_guarantee_has_a_description_and_tests() {
    let page = page();
    for guarantee in GUARANTEES {
        let rows: Vec<&str> = page
            .lines()
            .filter(|line| line.starts_with(&format!("| {guarantee} |")))
            .collect();
        assert_eq!(rows.len(), 2, "{guarantee}");
        assert!(
            rows.iter().any(|row| !test_names(row).is_empty()),
            "{guarantee}"
        );
    }
}
