//! Structured logs on standard output, written by a thread of their own.

use tracing_appender::non_blocking::{NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::EnvFilter;

/// Level of the log lines where the environment sets none.
const LOG_LEVEL_DEFAULT: &str = "info";

/// Lines that wait for a slow reader; further ones are dropped rather than waited for.
const LINES_MAX: usize = 4_096;

/// Starts the logs; they are written out whole when the guard is dropped.
pub(crate) fn start() -> WorkerGuard {
    let (writer, guard) = NonBlockingBuilder::default()
        .lossy(true)
        .buffered_lines_limit(LINES_MAX)
        .thread_name("logs")
        .finish(std::io::stdout());
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
