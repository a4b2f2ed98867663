//! Checks that `docs/SETTINGS.md` and the key table match.

use std::collections::BTreeSet;

use celeryknot_settings::key::{Key, Presence};
use celeryknot_settings::{DiagnosticCode, ValueKind};
use strum::IntoEnumIterator;

use celeryknot_settings::key_table::{
    CUSTOMER_KEYS, DAEMON_KEYS, GATEWAY_KEYS, ROLLOUT_KEYS, SERVICE_KEYS, ZONE_KEYS,
};

const PAGE: &str = include_str!("../../../docs/SETTINGS.md");

fn all_keys() -> impl Iterator<Item = &'static Key> {
    [
        DAEMON_KEYS,
        GATEWAY_KEYS,
        ZONE_KEYS,
        SERVICE_KEYS,
        CUSTOMER_KEYS,
        ROLLOUT_KEYS,
    ]
    .into_iter()
    .flatten()
}

fn expected_row(key: &Key) -> (String, String) {
    let default = match key.presence {
        Presence::Required => "required".to_owned(),
        Presence::Optional => "none".to_owned(),
        Presence::Default(text) => format!("`{text}`"),
    };
    let row = format!(
        "| `{}` | {} | {} | {} | `{}` | {} |",
        key.name,
        key.key_type.unit(),
        default,
        key.key_type.range(),
        key.example,
        key.doc
    );
    (key.section.to_owned(), row)
}

/// Returns each table row below a `### [section]` heading, with its section.
fn page_rows() -> Vec<(String, String)> {
    let mut section = None;
    let mut rows = Vec::new();
    for line in PAGE.lines() {
        if line.starts_with('#') {
            section = line
                .strip_prefix("### [")
                .and_then(|rest| rest.strip_suffix(']'));
        } else if let Some(section) = section
            && line.starts_with("| `")
        {
            rows.push((section.to_owned(), line.to_owned()));
        }
    }
    rows
}

/// Returns the first column of the table whose header row starts with `header`.
fn first_column(header: &str) -> BTreeSet<String> {
    PAGE.lines()
        .skip_while(|line| !line.starts_with(header))
        .skip(2)
        .map_while(|line| line.strip_prefix("| `")?.split('`').next())
        .map(str::to_owned)
        .collect()
}

#[test]
fn page_lists_every_diagnostic_code() {
    let codes: BTreeSet<String> = DiagnosticCode::iter()
        .map(|code| code.to_string())
        .collect();
    assert_eq!(first_column("| code |"), codes);
}

#[test]
fn page_lists_every_path_form() {
    let kinds: BTreeSet<String> = first_column("| path |")
        .iter()
        .map(|form| form.replace(['<', '>'], ""))
        .map(|path| {
            let path = path.parse().unwrap();
            ValueKind::of_path(&path).unwrap().to_string()
        })
        .collect();
    let all: BTreeSet<String> = ValueKind::iter().map(|kind| kind.to_string()).collect();
    assert_eq!(kinds, all);
}

#[test]
fn page_lists_exactly_the_declared_keys() {
    let expected: BTreeSet<(String, String)> = all_keys().map(expected_row).collect();
    let rows = page_rows();
    let on_page: BTreeSet<(String, String)> = rows.iter().cloned().collect();
    let missing: Vec<_> = expected.difference(&on_page).collect();
    let unknown: Vec<_> = on_page.difference(&expected).collect();
    assert!(
        missing.is_empty(),
        "rows missing on the page:\n{missing:#?}"
    );
    assert!(
        unknown.is_empty(),
        "rows without a declared key:\n{unknown:#?}"
    );
    assert_eq!(rows.len(), expected.len(), "duplicate row");
}

#[test]
fn keys_are_declared_once() {
    let names: BTreeSet<(&str, &str)> = all_keys().map(|key| (key.section, key.name)).collect();
    assert_eq!(names.len(), all_keys().count());
}
