//! Checks that `docs/CODES.md` and `docs/COMMANDS.md` match the program, with no missing or extra
//! entries.

#![allow(
    clippy::unwrap_used,
    reason = "tests may unwrap, in their helper functions too"
)]

use std::collections::BTreeSet;

use argh::{FromArgs, SubCommands};
use celeryknot::arguments::{Arguments, Command};
use celeryknot::exit_status::ExitStatus;
use celeryknot_core::ErrorKind;
use celeryknot_policy::routing::review::{FindingCode, Severity};
use strum::IntoEnumIterator;

const CODES: &str = include_str!("../../../docs/CODES.md");
const COMMANDS: &str = include_str!("../../../docs/COMMANDS.md");

/// Returns the cells of the table whose heading line begins with `heading`.
fn table<'a>(page: &'a str, heading: &str) -> Vec<Vec<&'a str>> {
    page.lines()
        .skip_while(|line| !line.starts_with(heading))
        .skip(2)
        .map_while(|line| line.strip_prefix("| ")?.strip_suffix(" |"))
        .map(|line| {
            line.split(" | ")
                .map(|cell| cell.trim_matches('`'))
                .collect()
        })
        .collect()
}

#[test]
fn codes_page_matches_the_error_kinds() {
    let rows = table(CODES, "| code |");
    let expected: Vec<Vec<String>> = ErrorKind::iter()
        .map(|kind| {
            let response = kind.answer();
            let after = response.retry_after_default_ms;
            vec![
                kind.code().to_owned(),
                response.status.to_string(),
                response.execution.to_string(),
                response.retry.to_string(),
                after.map_or("-".to_owned(), |after| after.0.to_string()),
            ]
        })
        .collect();
    let on_page: Vec<Vec<&str>> = rows.iter().map(|row| row[..5].to_vec()).collect();
    assert_eq!(on_page, expected);
    for row in &rows {
        assert_eq!(row.len(), 7, "{row:?}");
        assert!(row[5].ends_with('.') && row[6].ends_with('.'), "{row:?}");
    }
}

#[test]
fn commands_page_lists_every_command() {
    let on_page: BTreeSet<&str> = table(COMMANDS, "| command |")
        .iter()
        .map(|row| row[0])
        .collect();
    let commands: BTreeSet<&str> = Command::COMMANDS
        .iter()
        .map(|command| command.name)
        .collect();
    assert_eq!(on_page, commands);
}

#[test]
fn commands_page_lists_every_exit_status() {
    let rows = table(COMMANDS, "| status |");
    let on_page: Vec<(String, &str)> = rows.iter().map(|row| (row[0].to_owned(), row[1])).collect();
    let expected: Vec<(String, &str)> = ExitStatus::iter()
        .map(|status| ((status as u8).to_string(), <&str>::from(status)))
        .collect();
    assert_eq!(on_page, expected);
}

#[test]
fn commands_page_lists_every_exit_status_of_the_daemon() {
    let rows = table(COMMANDS, "| exit status |");
    let on_page: Vec<(String, &str)> = rows.iter().map(|row| (row[0].to_owned(), row[1])).collect();
    let expected: Vec<(String, &str)> = celeryknotd::run::ExitStatus::iter()
        .map(|status| ((status as u8).to_string(), <&str>::from(status)))
        .collect();
    assert_eq!(on_page, expected);
}

#[test]
fn commands_page_lists_every_finding_in_a_configuration() {
    let rows = table(COMMANDS, "| finding |");
    let on_page: Vec<&str> = rows.iter().map(|row| row[0]).collect();
    let expected: Vec<&str> = FindingCode::iter().map(<&str>::from).collect();
    assert_eq!(on_page, expected);
    for row in &rows {
        assert!(row[1].parse::<Severity>().is_ok(), "{row:?}");
    }
}

#[test]
fn every_command_has_help_with_an_example() {
    for command in Command::COMMANDS {
        let exit = Arguments::from_args(&["celeryknot"], &[command.name, "--help"]).unwrap_err();
        assert!(exit.status.is_ok(), "{}", command.name);
        let example = format!("celeryknot {}", command.name);
        let (_, examples) = exit.output.split_once("Examples:").unwrap_or_default();
        assert!(
            examples.contains(&example),
            "{}: {}",
            command.name,
            exit.output
        );
    }
}

#[test]
fn check_and_daemons_have_the_same_size_limit() {
    let size_limit = celeryknot_settings::ini::TEXT_SIZE_MAX_BYTES;
    assert_eq!(
        size_limit,
        celeryknot_fleet::settings_store::VALUE_SIZE_MAX_BYTES
    );
}
