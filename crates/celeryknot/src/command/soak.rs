//! `soak` runs gateways under seeded series of faults.

use std::io::Write;

use celeryknot_faults::soak::{SoakReport, run_seeds};

use super::measure::daemon_binary;
use crate::arguments::{Format, SoakArguments};
use crate::exit_status::{ExitStatus, Failure};

/// Runs the seeds and writes the report.
///
/// # Errors
///
/// Fails when the daemon's binary is missing.
pub fn run(arguments: &SoakArguments, out: &mut impl Write) -> Result<ExitStatus, Failure> {
    let binary = daemon_binary()?;
    let report = run_seeds(&binary, arguments.seeds.clone(), arguments.parallel_runs);
    match arguments.format {
        Format::Json => {
            let json = serde_json::to_string_pretty(&report).expect("a report has a JSON form");
            writeln!(out, "{json}")?;
        }
        Format::Text => write_report(&report, out)?,
    }
    if report.failed.is_empty() && report.served > 0 {
        return Ok(ExitStatus::Done);
    }
    Ok(ExitStatus::Findings)
}

fn write_report(report: &SoakReport, out: &mut impl Write) -> std::io::Result<()> {
    writeln!(out, "runs      {}", report.runs)?;
    writeln!(out, "failed    {}", report.failed.len())?;
    writeln!(out, "served    {} of {}", report.served, report.requests)?;
    for (promise, count) in &report.checks {
        writeln!(out, "checked   {count} times that {promise}")?;
    }
    for failed in &report.failed {
        writeln!(out, "seed {}: {}", failed.seed, failed.reason)?;
        let next = failed.seed.0 + 1;
        writeln!(
            out,
            "  again: celeryknot soak --seeds {}..{next}",
            failed.seed
        )?;
    }
    Ok(())
}
