//! What an endpoint saw, counted where the work arrives.

use std::collections::BTreeMap;
use std::time::Instant;

use celeryknot_core::RequestId;
use serde::{Deserialize, Serialize};

use crate::wire::BookingRequest;

/// One execution of a booking.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SeenBooking {
    /// What was booked, and for whom.
    pub request: BookingRequest,
    /// The customer that the router named.
    pub customer: String,
    /// When it was run.
    #[serde(skip)]
    pub at: Option<Instant>,
}

/// What an endpoint saw since it started.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Seen {
    /// Executions by request id; a request id that was run twice counts 2.
    pub executions: BTreeMap<String, u32>,
    /// All requests that were taken.
    pub taken: u64,
    /// Most requests in flight at once.
    pub peak_in_flight: u32,
    /// Most requests in flight at once that were taken in cold start.
    pub peak_in_flight_cold: u32,
    /// Prompt tokens asked for.
    pub prompt_tokens: u64,
    /// Prompt tokens found in the cache.
    pub cached_tokens: u64,
    /// Requests that ended because the router went away or cancelled them.
    pub cancelled: u64,
    /// Requests that were failed since a cold endpoint had too much work.
    pub overwhelmed: u64,
    /// Every execution of a booking, in order.
    pub bookings: Vec<SeenBooking>,
    /// Orders that were carried out, with their fencing numbers.
    pub orders: Vec<String>,
    /// Time since the last request was taken.
    pub last_new_work_age_ms: Option<u64>,
    /// When the last request was taken.
    #[serde(skip)]
    pub last_new_work: Option<Instant>,
}

impl Seen {
    pub(crate) fn take(&mut self, request_id: RequestId) {
        self.taken += 1;
        *self.executions.entry(request_id.to_string()).or_default() += 1;
        self.last_new_work = Some(Instant::now());
    }

    pub(crate) fn report(&self) -> Self {
        let mut report = self.clone();
        report.last_new_work_age_ms = self
            .last_new_work
            .map(|at| u64::try_from(at.elapsed().as_millis()).unwrap_or(u64::MAX));
        report
    }
}
