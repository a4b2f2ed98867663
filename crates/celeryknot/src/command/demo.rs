//! `demo` runs daemons, stand-ins and load in one process for a short time.

use std::io::Write;

use celeryknot_measure::{MeasureOptions, demo};

use super::unavailable;
use crate::arguments::{DemoArguments, Format};
use crate::exit_status::{ExitStatus, Failure};

/// Runs the demo and writes its figures.
///
/// # Errors
///
/// Fails when the duration is 0 or a part of the demo can't be started.
pub fn run(arguments: &DemoArguments, out: &mut impl Write) -> Result<ExitStatus, Failure> {
    if arguments.seconds == 0 {
        return Err(Failure::usage("--seconds is at least 1"));
    }
    let options = MeasureOptions {
        deployment: arguments.deployment,
        seed: arguments.seed,
        seconds: arguments.seconds,
        ..MeasureOptions::default()
    };
    let demo = demo::run(&options).map_err(|report| unavailable(&report))?;
    match arguments.format {
        Format::Json => writeln!(out, "{}", demo.json())?,
        Format::Text => writeln!(out, "{}", demo.text().trim_end())?,
    }
    if demo.figures.has_no_failures() {
        return Ok(ExitStatus::Done);
    }
    Ok(ExitStatus::Findings)
}
