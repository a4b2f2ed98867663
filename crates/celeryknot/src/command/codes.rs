//! `codes` lists the refusal codes.

use std::io::Write;

use celeryknot_core::ErrorKind;
use serde::Serialize;
use strum::IntoEnumIterator;

use super::{or_dash, write_json};
use crate::arguments::{CodesArguments, Format};
use crate::exit_status::{ExitStatus, Failure};
use crate::table::Table;

#[derive(Debug, Serialize)]
struct Code {
    code: ErrorKind,
    status: u16,
    execution: celeryknot_core::Execution,
    retry: celeryknot_core::RetryAdvice,
    retry_after_default_ms: Option<celeryknot_core::DurationMs>,
    title: &'static str,
}

impl From<ErrorKind> for Code {
    fn from(code: ErrorKind) -> Self {
        let response = code.answer();
        Self {
            code,
            status: response.status,
            execution: response.execution,
            retry: response.retry,
            retry_after_default_ms: response.retry_after_default_ms,
            title: response.title,
        }
    }
}

/// Lists the codes.
///
/// # Errors
///
/// Fails when the output is closed.
pub fn run(arguments: &CodesArguments, out: &mut impl Write) -> Result<ExitStatus, Failure> {
    let codes: Vec<Code> = ErrorKind::iter().map(Code::from).collect();
    match arguments.format {
        Format::Json => write_json(out, &codes)?,
        Format::Text => write!(out, "{}", table(&codes))?,
    }
    Ok(ExitStatus::Done)
}

fn table(codes: &[Code]) -> Table {
    let mut table = Table::new(&["code", "status", "execution", "retry", "after", "title"]);
    for code in codes {
        table.add([
            code.code.to_string(),
            code.status.to_string(),
            code.execution.to_string(),
            code.retry.to_string(),
            or_dash(code.retry_after_default_ms),
            code.title.to_owned(),
        ]);
    }
    table
}
