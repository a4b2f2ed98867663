//! A progress line for long work, shown only on a terminal.

use std::io::{IsTerminal, Write};
use std::time::{Duration, Instant};

use futures_lite::FutureExt;
use smol::Timer;

/// Interval at which the line is rewritten.
const REFRESH_INTERVAL: Duration = Duration::from_millis(500);

/// Runs `work` and meanwhile shows the elapsed time and the expected duration.
pub(crate) async fn show_progress<T>(
    name: &str,
    duration: Duration,
    work: impl Future<Output = T>,
) -> T {
    if !std::io::stderr().is_terminal() {
        return work.await;
    }
    let start = Instant::now();
    let refresh_line = async {
        loop {
            write_line(&line(name, start.elapsed(), duration));
            Timer::after(REFRESH_INTERVAL).await;
        }
    };
    let result = work.or(refresh_line).await;
    write_line("");
    result
}

fn line(name: &str, elapsed: Duration, duration: Duration) -> String {
    if elapsed > duration {
        return format!("{name}: waiting for the last responses");
    }
    format!(
        "{name}: {} s of {} s",
        elapsed.as_secs(),
        duration.as_secs()
    )
}

fn write_line(line: &str) {
    // A failure to show progress must not end the work.
    let _ = write!(std::io::stderr(), "\r\x1b[K{line}");
    let _ = std::io::stderr().flush();
}
