//! Exit statuses and errors of the program.

use std::io;
use std::process::ExitCode;

use eyre::Report;
use strum::{EnumIter, IntoStaticStr};

/// The exit statuses; `docs/COMMANDS.md` lists them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
#[repr(u8)]
pub enum ExitStatus {
    /// The command succeeded without findings.
    Done = 0,
    /// Settings have findings, a configuration has errors, or a run violated a guarantee.
    Findings = 1,
    /// An argument, or a file that it names, is invalid.
    Usage = 2,
    /// A daemon is unreachable or refused the request, or an address can't be bound.
    Unavailable = 3,
    /// A configuration has warnings, and nothing has errors.
    Warnings = 4,
}

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> Self {
        Self::from(status as u8)
    }
}

/// An error that ends a command.
#[derive(Debug)]
pub struct Failure {
    /// The exit status of the program.
    pub status: ExitStatus,
    /// The error and its causes.
    pub report: Report,
}

impl Failure {
    /// Creates an error for an invalid argument, or for an invalid file that it names.
    pub fn usage(reason: impl Into<String>) -> Self {
        Self {
            status: ExitStatus::Usage,
            report: Report::msg(reason.into()),
        }
    }

    /// Creates an error for a daemon, address or other resource that is unavailable.
    pub fn unavailable(reason: impl Into<String>) -> Self {
        Self {
            status: ExitStatus::Unavailable,
            report: Report::msg(reason.into()),
        }
    }

    /// Returns whether the reader closed the output, as `head` does after its last line.
    pub fn is_broken_pipe(&self) -> bool {
        self.report
            .downcast_ref::<io::Error>()
            .is_some_and(|error| error.kind() == io::ErrorKind::BrokenPipe)
    }
}

impl From<io::Error> for Failure {
    fn from(error: io::Error) -> Self {
        Self {
            status: ExitStatus::Unavailable,
            report: Report::new(error),
        }
    }
}
