//! What callers, endpoints and operators observe in a run.

use std::time::{Duration, Instant};

use celeryknot_kinrin_standins::engine::Arrival;

use super::callers::RequestRecord;

/// The withdrawal of an endpoint.
#[derive(Debug, Clone)]
pub struct Withdrawal {
    /// The endpoint's id.
    pub endpoint: String,
    /// When the store acknowledged the withdrawal.
    pub at: Instant,
}

/// The shutdown of a daemon.
#[derive(Debug, Clone)]
pub struct Shutdown {
    /// The daemon.
    pub daemon: usize,
    /// When it was sent SIGTERM first.
    pub terminated_at: Instant,
    /// When its process had ended.
    pub exited_at: Instant,
}

/// A rate limit that an endpoint stated in all its responses.
#[derive(Debug, Clone)]
pub struct StatedLimit {
    /// The endpoint's id.
    pub endpoint: String,
    /// Requests per second that it accepts from all daemons.
    pub rate_per_s: f64,
    /// When it began to state the limit.
    pub from: Instant,
    /// When it stopped.
    pub until: Instant,
}

/// A time during which an endpoint refused all requests and asked for a pause.
#[derive(Debug, Clone)]
pub struct StatedPause {
    /// The endpoint's id.
    pub endpoint: String,
    /// The pause that it asked for, from each refusal on.
    pub pause: Duration,
    /// When it began to refuse requests.
    pub from: Instant,
    /// When it stopped.
    pub until: Instant,
}

/// A time during which a daemon could reach no endpoint.
#[derive(Debug, Clone)]
pub struct EndpointCut {
    /// The daemon.
    pub daemon: usize,
    /// When it began.
    pub from: Instant,
    /// When it ended.
    pub until: Instant,
}

/// The observations of a run.
#[derive(Debug)]
pub struct Observations {
    /// The requests that callers sent, with their outcomes.
    pub requests: Vec<RequestRecord>,
    /// The requests that each endpoint received, by the endpoint's id.
    pub arrivals: Vec<(String, Vec<Arrival>)>,
    /// When the load started.
    pub started_at: Instant,
    /// Daemons that were shut down.
    pub shutdowns: Vec<Shutdown>,
    /// Endpoints that were withdrawn.
    pub withdrawals: Vec<Withdrawal>,
    /// Endpoints that joined cold, with the end of their cold phase.
    pub cold: Vec<(String, Instant)>,
    /// Rate limits that endpoints stated.
    pub stated_limits: Vec<StatedLimit>,
    /// Endpoints that stated that they were leaving, and when they began to.
    pub stated_departures: Vec<(String, Instant)>,
    /// Pauses that endpoints asked for.
    pub stated_pauses: Vec<StatedPause>,
    /// Daemons that were cut off from all endpoints.
    pub endpoint_cuts: Vec<EndpointCut>,
    /// When the store acknowledged each generation of the configuration.
    pub generations: Vec<(u64, Instant)>,
    /// When the spare key was revoked.
    pub revoked_at: Option<Instant>,
}

impl Observations {
    /// Returns the requests that an endpoint received.
    pub(crate) fn arrivals_at<'a>(
        &'a self,
        endpoint: &'a str,
    ) -> impl Iterator<Item = &'a Arrival> {
        let found = self.arrivals.iter().filter(move |(id, _)| id == endpoint);
        found.flat_map(|(_, arrivals)| arrivals)
    }
}
