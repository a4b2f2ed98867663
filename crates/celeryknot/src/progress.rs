//! A line that shows how far long work has come, on a terminal only.

use std::io::{IsTerminal, Write};
use std::time::{Duration, Instant};

use futures_lite::FutureExt;
use smol::Timer;

/// How often the line is written anew.
const PERIOD: Duration = Duration::from_millis(500);

/// Runs work, and meanwhile shows the time against its expected length.
pub(crate) async fn show<T>(name: &str, length: Duration, work: impl Future<Output = T>) -> T {
    if !std::io::stderr().is_terminal() {
        return work.await;
    }
    let start = Instant::now();
    let ticks = async {
        loop {
            write_line(&line(name, start.elapsed(), length));
            Timer::after(PERIOD).await;
        }
    };
    let result = work.or(ticks).await;
    write_line("");
    result
}

fn line(name: &str, elapsed: Duration, length: Duration) -> String {
    if elapsed > length {
        return format!("{name}: waiting for the last answers");
    }
    format!("{name}: {} s of {} s", elapsed.as_secs(), length.as_secs())
}

fn write_line(line: &str) {
    // Progress is a courtesy; its loss must not end the work.
    let _ = write!(std::io::stderr(), "\r\x1b[K{line}");
    let _ = std::io::stderr().flush();
}
