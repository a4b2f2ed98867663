//! The idle timeout of a response body.

use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll};

use celeryknot_core::timers::Sleep;
use celeryknot_core::{DurationMs, Timers};

/// A timeout for the next chunk of a response body.
#[derive(Debug)]
pub struct IdleTimeout {
    timers: Timers,
    timeout_ms: DurationMs,
    sleep: Option<Sleep>,
}

impl IdleTimeout {
    /// Creates a timeout that starts with the first poll.
    pub fn new(timers: Timers, timeout_ms: DurationMs) -> Self {
        Self {
            timers,
            timeout_ms,
            sleep: None,
        }
    }

    /// Completes when the timeout expires.
    pub fn poll(&mut self, context: &mut Context<'_>) -> Poll<()> {
        let (timers, timeout_ms) = (&self.timers, self.timeout_ms);
        let sleep = self.sleep.get_or_insert_with(|| timers.after(timeout_ms));
        Pin::new(sleep).poll(context)
    }

    /// Resets the timeout after a chunk has arrived.
    pub fn reset(&mut self) {
        self.sleep = None;
    }
}
