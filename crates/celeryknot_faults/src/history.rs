//! The history of one run: the events that callers and endpoints recorded.

use std::fmt;
use std::sync::Mutex;
use std::time::Instant;

use celeryknot_core::Execution;
use serde::Serialize;

/// A time in microseconds since the start of the run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(transparent)]
pub struct RunMicros(pub i64);

/// The idempotency key of a booking: all its submissions together run at most once.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(transparent)]
pub struct BookingKey(pub String);

impl fmt::Display for BookingKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// The outcome of one submission, as its caller received it.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize)]
pub enum BookingOutcome {
    /// The endpoint's response with the number of the booking.
    Done {
        /// The number that the endpoint gave the booking.
        booking: u64,
    },
    /// A refusal, or no response at all, which counts as `unknown`.
    Refused {
        /// The execution status in the refusal.
        execution: Execution,
        /// The code of the refusal, or the reason for the missing response.
        code: String,
    },
}

/// One event of a run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub enum HistoryEvent {
    /// A caller submitted a booking and received an outcome.
    Submitted {
        /// The booking's key.
        key: BookingKey,
        /// When the submission began.
        called_at: RunMicros,
        /// When the caller received the response or gave up.
        returned_at: RunMicros,
        /// The outcome for the caller.
        #[serde(rename = "answer")]
        outcome: BookingOutcome,
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
    /// A caller requested a chat completion or a record.
    #[serde(rename = "Asked")]
    Requested {
        /// Describes the request in messages.
        request: String,
        /// The outcome for the caller.
        outcome: RequestOutcome,
    },
    /// An endpoint received a new request.
    WorkStarted {
        /// The endpoint's name.
        endpoint: String,
        /// When the request arrived.
        at: RunMicros,
    },
    /// An endpoint or its zone was temporarily withdrawn.
    Withdrawn {
        /// The endpoint's name.
        endpoint: String,
        /// When the withdrawal was published.
        from: RunMicros,
        /// When the end of the withdrawal was published.
        until: RunMicros,
    },
}

/// The outcome of an idempotent request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize)]
pub enum RequestOutcome {
    /// The complete response to the request.
    #[serde(rename = "Whole")]
    Complete,
    /// A refusal or an error, recognizable as such.
    Refused,
    /// An incomplete response that ended without an error.
    Truncated,
    /// A complete response to another request.
    CrossDelivered,
}

/// Collects the events of one run; shared between threads.
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
        self.since_start(Instant::now())
    }

    /// Converts an instant to the time since the run started.
    pub fn since_start(&self, instant: Instant) -> RunMicros {
        let micros = instant.saturating_duration_since(self.started).as_micros();
        RunMicros(i64::try_from(micros).unwrap_or(i64::MAX))
    }

    /// Appends an event.
    pub fn record(&self, event: HistoryEvent) {
        self.events
            .lock()
            .expect("no holder of the lock panics")
            .push(event);
    }

    /// Removes and returns all events recorded so far.
    pub fn take(&self) -> Vec<HistoryEvent> {
        std::mem::take(&mut *self.events.lock().expect("no holder of the lock panics"))
    }
}
