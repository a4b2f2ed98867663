//! The commands, each in its own module.

pub mod check;
pub mod codes;
pub mod demo;
pub mod explain;
pub mod load;
pub mod measure;
pub mod soak;
pub mod stand_in;
pub mod status;

use std::io::Write;

use serde::Serialize;

use crate::exit_status::Failure;

/// Converts an error to a [`Failure`], with its causes on one line.
fn unavailable(report: &eyre::Report) -> Failure {
    Failure::unavailable(format!("{report:#}"))
}

/// Writes a value as indented JSON.
fn write_json<T: Serialize>(out: &mut impl Write, value: &T) -> Result<(), Failure> {
    let text = serde_json::to_string_pretty(value).map_err(|error| {
        Failure::unavailable(format!("the output can't be serialized: {error}"))
    })?;
    writeln!(out, "{text}")?;
    Ok(())
}

/// Formats an optional value, with a dash for `None`.
fn or_dash<T: ToString>(value: Option<T>) -> String {
    value.map_or("-".to_owned(), |value| value.to_string())
}
