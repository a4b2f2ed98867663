//! What callers and endpoints saw during one run.

use std::fmt;
use std::sync::Mutex;
use std::time::Instant;

use celeryknot_core::Execution;
use serde::Serialize;

/// A point in a run, in microseconds since its start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(transparent)]
pub struct RunMicros(pub i64);

/// The key under which all submissions of one booking run at most once.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(transparent)]
pub struct BookingKey(pub String);

impl fmt::Display for BookingKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// What a caller learned about one submission.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize)]
pub enum BookingAnswer {
    /// The endpoint's answer with the number of the booking.
    Done {
        /// The number that the endpoint gave the booking.
        booking: u64,
    },
    /// A refusal, or no answer at all, which counts as `unknown`.
    Refused {
        /// What the refusal says of the execution.
        execution: Execution,
        /// The code of the refusal, or why there was no answer.
        code: String,
    },
}

/// One event of a run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub enum HistoryEvent {
    /// A caller submitted a booking and learned something about it.
    Submitted {
        /// The booking's key.
        key: BookingKey,
        /// When the caller began.
        called_at: RunMicros,
        /// When the caller had its answer or gave up.
        returned_at: RunMicros,
        /// What it learned.
        answer: BookingAnswer,
    },
    /// An endpoint ran a booking.
    Executed {
        /// The booking's key.
        key: BookingKey,
        /// The number that the endpoint gave the booking.
        booking: u64,
        /// When the endpoint ran it.
        at: RunMicros,
    },
    /// A caller asked for a chat completion or a record.
    Asked {
        /// What was asked, for messages.
        request: String,
        /// What the caller got.
        outcome: AskOutcome,
    },
    /// An endpoint got new work.
    WorkStarted {
        /// The endpoint's name.
        endpoint: String,
        /// When.
        at: RunMicros,
    },
    /// An endpoint or zone was withdrawn for a time.
    Withdrawn {
        /// The endpoint's name.
        endpoint: String,
        /// When the withdrawal was published.
        from: RunMicros,
        /// When the end of the withdrawal was published.
        until: RunMicros,
    },
}

/// What the caller of an idempotent request got.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize)]
pub enum AskOutcome {
    /// The whole answer to the request.
    Whole,
    /// A refusal or an error that is plainly one.
    Refused,
    /// An answer that ended cleanly but is not whole.
    Truncated,
    /// A whole answer to another request.
    CrossDelivered,
}

/// Collects the events of one run from many threads.
#[derive(Debug)]
pub struct Recorder {
    started: Instant,
    events: Mutex<Vec<HistoryEvent>>,
}

impl Default for Recorder {
    fn default() -> Self {
        Self {
            started: Instant::now(),
            events: Mutex::new(Vec::new()),
        }
    }
}

impl Recorder {
    /// Returns the time since the run started.
    pub fn now(&self) -> RunMicros {
        self.at(Instant::now())
    }

    /// Returns a point of the clock as time since the run started.
    pub fn at(&self, instant: Instant) -> RunMicros {
        let micros = instant.saturating_duration_since(self.started).as_micros();
        RunMicros(i64::try_from(micros).unwrap_or(i64::MAX))
    }

    /// Adds one event.
    pub fn record(&self, event: HistoryEvent) {
        self.events
            .lock()
            .expect("no holder of the lock panics")
            .push(event);
    }

    /// Takes all events recorded so far.
    pub fn take(&self) -> Vec<HistoryEvent> {
        std::mem::take(&mut *self.events.lock().expect("no holder of the lock panics"))
    }
}
