//! `measure`: runs a measurement against baselines.

use std::io::Write;

use celeryknot_measure::{MeasureOptions, run as run_measurement};

use super::unavailable;
use crate::arguments::{Format, MeasureArguments};
use crate::exit_status::{ExitStatus, Failure};

/// Runs the measurement and writes its report.
///
/// # Errors
///
/// Fails when the arguments make no run, a part of it can't be started, or the plot can't be written.
pub fn run(arguments: &MeasureArguments, out: &mut impl Write) -> Result<ExitStatus, Failure> {
    if arguments.seconds == 0 {
        return Err(Failure::usage("--seconds is at least 1"));
    }
    if !arguments.load.is_finite() || arguments.load <= 0.0 {
        return Err(Failure::usage("--load is a number above 0"));
    }
    let options = MeasureOptions {
        deployment: arguments.deployment,
        seed: arguments.seed,
        seconds: arguments.seconds,
        load: arguments.load,
    };
    let report =
        run_measurement(arguments.name, &options).map_err(|report| unavailable(&report))?;
    match arguments.format {
        Format::Json => writeln!(out, "{}", report.json())?,
        Format::Text => writeln!(out, "{}", report.text().trim_end())?,
    }
    if let Some(file) = &arguments.plot {
        let failure =
            |report: eyre::Report| Failure::usage(format!("{}: {report:#}", file.display()));
        report.write_plot(file).map_err(failure)?;
    }
    if report.is_reached() {
        return Ok(ExitStatus::Done);
    }
    Ok(ExitStatus::Findings)
}
