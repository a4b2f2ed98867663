//! `measure` runs a measurement and compares it with baselines.

use std::io::Write;
use std::path::PathBuf;

use celeryknot_faults::campaign::{CampaignReport, run_seeds};
use celeryknot_measure::{MeasureOptions, run as run_measurement};

use super::unavailable;
use crate::arguments::{Format, MeasureArguments, MeasureName};
use crate::exit_status::{ExitStatus, Failure};

/// Runs the measurement and writes its report.
///
/// # Errors
///
/// Fails when an argument is invalid, a part of the run can't be started or the plot can't be
/// written.
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
    let measurement = match arguments.name {
        MeasureName::Report(measurement) => measurement,
        MeasureName::Faults => return run_faults(arguments, out),
    };
    let report = run_measurement(measurement, &options).map_err(|report| unavailable(&report))?;
    match arguments.format {
        Format::Json => writeln!(out, "{}", report.json())?,
        Format::Text => writeln!(out, "{}", report.text().trim_end())?,
    }
    if let Some(file) = &arguments.plot {
        let failure =
            |report: eyre::Report| Failure::usage(format!("{}: {report:#}", file.display()));
        report.write_plot(file).map_err(failure)?;
    }
    if report.reached_all_targets() {
        return Ok(ExitStatus::Done);
    }
    Ok(ExitStatus::Findings)
}

/// Name of the daemon's binary, which lies in the same folder as this one.
const DAEMON_BINARY: &str = "celeryknotd";

/// Returns the path of the daemon's binary.
///
/// # Errors
///
/// Fails when the binary does not exist.
pub(super) fn daemon_binary() -> Result<PathBuf, Failure> {
    let binary = std::env::current_exe()?.with_file_name(DAEMON_BINARY);
    if !binary.is_file() {
        let missing = format!("{DAEMON_BINARY} is missing beside this program");
        return Err(Failure::usage(missing));
    }
    Ok(binary)
}

fn run_faults(arguments: &MeasureArguments, out: &mut impl Write) -> Result<ExitStatus, Failure> {
    let binary = daemon_binary()?;
    let seeds = arguments.seeds.clone();
    let report = run_seeds(&binary, seeds, arguments.parallel_runs, |_| {});
    match arguments.format {
        Format::Json => {
            let json = serde_json::to_string_pretty(&report).expect("a report has a JSON form");
            writeln!(out, "{json}")?;
        }
        Format::Text => write_faults_report(&report, out)?,
    }
    if report.failed.is_empty() {
        return Ok(ExitStatus::Done);
    }
    Ok(ExitStatus::Findings)
}

fn write_faults_report(report: &CampaignReport, out: &mut impl Write) -> std::io::Result<()> {
    writeln!(out, "runs            {}", report.runs)?;
    writeln!(out, "failed          {}", report.failed.len())?;
    writeln!(
        out,
        "bookings done   {} of {}",
        report.bookings_done, report.bookings
    )?;
    writeln!(
        out,
        "whole answers   {} of {}",
        report.requests_completed, report.requests
    )?;
    if let (Some(first), Some(command)) = (report.failed.first(), report.repeat_command()) {
        writeln!(out, "first failure   {}", first.reason)?;
        writeln!(out, "repeat          {command}")?;
    }
    Ok(())
}
