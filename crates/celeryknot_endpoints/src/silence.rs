//! The longest silence within an answer.

use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll};

use celeryknot_core::timers::Sleep;
use celeryknot_core::{DurationMs, Timers};

/// Watches for a silence that lasts too long.
#[derive(Debug)]
pub struct Silence {
    timers: Timers,
    max_ms: DurationMs,
    sleep: Option<Sleep>,
}

impl Silence {
    /// Builds a watch that starts with the first poll.
    pub fn new(timers: Timers, max_ms: DurationMs) -> Self {
        Self {
            timers,
            max_ms,
            sleep: None,
        }
    }

    /// Tells whether the silence has lasted too long.
    pub fn poll(&mut self, context: &mut Context<'_>) -> Poll<()> {
        let (timers, max_ms) = (&self.timers, self.max_ms);
        let sleep = self.sleep.get_or_insert_with(|| timers.after(max_ms));
        Pin::new(sleep).poll(context)
    }

    /// Ends the silence.
    pub fn end(&mut self) {
        self.sleep = None;
    }
}
