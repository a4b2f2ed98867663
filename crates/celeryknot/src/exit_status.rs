//! How the program ends.

use std::io;
use std::process::ExitCode;

use eyre::Report;
use strum::{EnumIter, IntoStaticStr};

/// The exit statuses; `docs/COMMANDS.md` lists them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
#[repr(u8)]
pub enum ExitStatus {
    /// All was done and nothing was found.
    Done = 0,
    /// Settings have findings, or a run broke one of the guarantees.
    Findings = 1,
    /// The arguments, or a file that they name, can't be used.
    Usage = 2,
    /// A daemon can't be reached or refused, or an address can't be bound.
    Unavailable = 3,
}

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> Self {
        Self::from(status as u8)
    }
}

/// Why a command could not do its work.
#[derive(Debug)]
pub struct Failure {
    /// The status that the program ends with.
    pub status: ExitStatus,
    /// What went wrong.
    pub report: Report,
}

impl Failure {
    /// A failure of the arguments or of a file that they name.
    pub fn usage(reason: impl Into<String>) -> Self {
        Self {
            status: ExitStatus::Usage,
            report: Report::msg(reason.into()),
        }
    }

    /// A failure of something that the command talks to.
    pub fn unavailable(reason: impl Into<String>) -> Self {
        Self {
            status: ExitStatus::Unavailable,
            report: Report::msg(reason.into()),
        }
    }

    /// Whether the reader of the output has gone, such as `head` after its last line.
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
