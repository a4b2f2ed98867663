//! Structured logs on standard output, written by a dedicated thread.

use std::sync::OnceLock;

use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::EnvFilter;

/// Log level if the environment sets none.
const LOG_LEVEL_DEFAULT: &str = "info";

/// Lines queued for a slow reader; further lines are dropped so that logging never blocks.
const QUEUED_LINES_MAX: usize = 4_096;

/// Counts dropped lines; static because logging is initialized once per process.
static DROPPED_LINES: OnceLock<ErrorCounter> = OnceLock::new();

/// Returns the number of lines dropped because the reader was too slow.
pub(crate) fn dropped_lines() -> i64 {
    let dropped = DROPPED_LINES.get().map_or(0, ErrorCounter::dropped_lines);
    i64::try_from(dropped).unwrap_or(i64::MAX)
}

/// Initializes logging; dropping the guard flushes the queued lines.
pub(crate) fn start() -> WorkerGuard {
    let (writer, guard) = NonBlockingBuilder::default()
        .lossy(true)
        .buffered_lines_limit(QUEUED_LINES_MAX)
        .thread_name("logs")
        .finish(std::io::stdout());
    DROPPED_LINES.get_or_init(|| writer.error_counter());
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
        // A second initialization in the same process keeps the first logger.
        eprintln!("logging is already initialized: {error}");
    }
    guard
}
