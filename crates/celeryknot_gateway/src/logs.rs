//! Structured logs on standard output, written by a thread of their own.

use std::sync::OnceLock;

use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::EnvFilter;

/// Level of the log lines where the environment sets none.
const LOG_LEVEL_DEFAULT: &str = "info";

/// Lines that wait for a slow reader; further ones are dropped rather than waited for.
const LINES_MAX: usize = 4_096;

/// Counts the lines that were dropped; logs are started once in a process.
static DROPPED: OnceLock<ErrorCounter> = OnceLock::new();

/// Returns the number of lines that were dropped because their reader was too slow.
pub(crate) fn dropped_lines() -> i64 {
    let dropped = DROPPED.get().map_or(0, ErrorCounter::dropped_lines);
    i64::try_from(dropped).unwrap_or(i64::MAX)
}

/// Starts the logs; they are written out whole when the guard is dropped.
pub(crate) fn start() -> WorkerGuard {
    let (writer, guard) = NonBlockingBuilder::default()
        .lossy(true)
        .buffered_lines_limit(LINES_MAX)
        .thread_name("logs")
        .finish(std::io::stdout());
    DROPPED.get_or_init(|| writer.error_counter());
    let filter =
        EnvFilter::try_from_default_env().unwrap_or_else(|_| EnvFilter::new(LOG_LEVEL_DEFAULT));
    let started = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_ansi(false)
        .with_target(false)
        .json()
        .flatten_event(true)
        .with_current_span(false)
        .with_writer(writer)
        .try_init();
    if let Err(error) = started {
        // A second start in the same process keeps the first one's logs.
        eprintln!("logs were started already: {error}");
    }
    guard
}
