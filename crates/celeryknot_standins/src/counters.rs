//! Counters of the requests and orders that reach an endpoint.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use celeryknot_core::RequestId;
use serde::{Deserialize, Serialize};

use crate::wire::BookingRequest;

/// One execution of a booking.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BookingExecution {
    /// The booked slot and its party.
    pub request: BookingRequest,
    /// The customer in the request header.
    pub customer: String,
    /// The time of the execution.
    #[serde(skip)]
    pub at: Option<Instant>,
}

/// Counters of an endpoint since its start.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointCounters {
    /// Executions by request id; a request that ran twice counts 2.
    pub executions: BTreeMap<String, u32>,
    /// Accepted requests.
    pub taken: u64,
    /// Highest number of requests in flight.
    pub peak_in_flight: u32,
    /// Highest number of requests in flight that were accepted in cold start.
    pub peak_in_flight_cold: u32,
    /// Arrivals of accepted requests.
    #[serde(skip)]
    pub arrivals: Vec<Instant>,
    /// Prompt tokens of accepted requests.
    pub prompt_tokens: u64,
    /// Prompt tokens found in the cache.
    pub cached_tokens: u64,
    /// Requests that ended because the router disconnected or cancelled them.
    pub cancelled: u64,
    /// Requests that an overloaded cold endpoint failed or slowed down.
    pub overwhelmed: u64,
    /// Crashes.
    pub crashes: u64,
    /// Every execution of a booking, in order of arrival.
    pub bookings: Vec<BookingExecution>,
    /// Executed orders with their fencing tokens.
    pub orders: Vec<String>,
    /// Time since the last request was accepted.
    pub last_new_work_age_ms: Option<u64>,
    /// The time at which the last request was accepted.
    #[serde(skip)]
    pub last_new_work: Option<Instant>,
}

/// Returns the largest number of events within any window of a length.
///
/// # Examples
///
/// ```
/// use std::time::{Duration, Instant};
///
/// use celeryknot_standins::counters::most_within;
///
/// let start = Instant::now();
/// let events = [0, 100, 900, 1_100].map(|ms| start + Duration::from_millis(ms));
/// assert_eq!(most_within(events, Duration::from_secs(1)), 3);
/// ```
pub fn most_within(events: impl IntoIterator<Item = Instant>, window: Duration) -> usize {
    let mut times: Vec<Instant> = events.into_iter().collect();
    times.sort_unstable();
    let within = |(index, start): (usize, &Instant)| {
        times[index..].partition_point(|at| *at < *start + window)
    };
    times.iter().enumerate().map(within).max().unwrap_or(0)
}

impl EndpointCounters {
    pub(crate) fn record_request(&mut self, request_id: RequestId) {
        self.taken += 1;
        *self.executions.entry(request_id.to_string()).or_default() += 1;
        let now = Instant::now();
        self.last_new_work = Some(now);
        self.arrivals.push(now);
    }

    pub(crate) fn snapshot(&self) -> Self {
        let mut snapshot = self.clone();
        snapshot.last_new_work_age_ms = self
            .last_new_work
            .map(|at| u64::try_from(at.elapsed().as_millis()).unwrap_or(u64::MAX));
        snapshot
    }
}
