//! The operators' command line: checks, status, placement, load, measurements and stand-ins.
//!
//! `docs/COMMANDS.md` lists the commands and exit statuses.

pub mod arguments;
pub mod command;
pub mod exit_status;
mod progress;
pub mod table;

use std::io::Write;

use argh::FromArgs;

use crate::arguments::{Arguments, Command};
use crate::exit_status::{ExitStatus, Failure};

/// Runs the program with its arguments; writes output to `out` and errors to standard error.
///
/// # Examples
///
/// ```
/// use celeryknot::exit_status::ExitStatus;
///
/// let mut out = Vec::new();
/// let status = celeryknot::run(&["--version".to_owned()], &mut out);
/// assert_eq!(status, ExitStatus::Done);
/// assert!(out.starts_with(b"celeryknot "));
/// ```
pub fn run(args: &[String], out: &mut impl Write) -> ExitStatus {
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    let arguments = match Arguments::from_args(&["celeryknot"], &args) {
        Ok(arguments) => arguments,
        Err(exit) if exit.status.is_ok() => return print(out, &exit.output),
        Err(exit) => {
            eprintln!("{}", exit.output.trim_end());
            eprintln!("Run `celeryknot --help` for the commands.");
            return ExitStatus::Usage;
        }
    };
    match execute(arguments, out) {
        Ok(status) => status,
        Err(failure) if failure.is_broken_pipe() => ExitStatus::Done,
        Err(failure) => {
            eprintln!("celeryknot: {:#}", failure.report);
            failure.status
        }
    }
}

fn print(out: &mut impl Write, text: &str) -> ExitStatus {
    // If the output is closed, there is nowhere to report the error.
    let _ = writeln!(out, "{}", text.trim_end());
    ExitStatus::Done
}

fn execute(arguments: Arguments, out: &mut impl Write) -> Result<ExitStatus, Failure> {
    if arguments.version {
        writeln!(out, "celeryknot {}", env!("CARGO_PKG_VERSION"))?;
        return Ok(ExitStatus::Done);
    }
    let Some(command) = arguments.command else {
        return Err(Failure::usage(
            "no command given; `celeryknot --help` lists them",
        ));
    };
    match command {
        Command::Check(arguments) => command::check::run(&arguments, out),
        Command::Codes(arguments) => command::codes::run(&arguments, out),
        Command::Demo(arguments) => command::demo::run(&arguments, out),
        Command::Explain(arguments) => command::explain::run(&arguments, out),
        Command::Load(arguments) => command::load::run(&arguments, out),
        Command::Measure(arguments) => command::measure::run(&arguments, out),
        Command::Soak(arguments) => command::soak::run(&arguments, out),
        Command::StandIn(arguments) => command::stand_in::run(&arguments, out),
        Command::Status(arguments) => command::status::run(&arguments, out),
    }
}
