//! Metrics of a gateway.

use celeryknot_core::{DurationMs, ErrorKind, ServiceName};
use prometheus::{Histogram, IntCounter, IntCounterVec, IntGauge, IntGaugeVec, Registry};

use super::spec::{
    observe_ms, register_counter, register_counter_vec, register_gauge, register_gauge_vec,
    register_histogram,
};

/// The metrics of one gateway, in its own registry; clones share the values.
///
/// # Examples
///
/// ```
/// use celeryknot_core::ErrorKind;
/// use celeryknot_operators::GatewayMetrics;
///
/// let metrics = GatewayMetrics::new();
/// metrics.refused(ErrorKind::NoEndpoint);
/// let line = "celeryknot_gateway_refusals_total{code=\"no-endpoint\"} 1";
/// assert!(metrics.render().contains(line));
/// ```
#[derive(Debug, Clone)]
pub struct GatewayMetrics {
    registry: Registry,
    refusals: IntCounterVec,
    placements: IntCounterVec,
    zone_placements: IntCounterVec,
    zone_overflow: IntGaugeVec,
    attempt_failures: IntCounterVec,
    retry_delays: IntCounterVec,
    first_byte_ms: Histogram,
    request_ms: Histogram,
    hops: IntCounterVec,
    admission_refused: IntCounterVec,
    admission_wait_ms: Histogram,
    /// Requests without a prompt that wait for room at their endpoints.
    pub admission_waiting: IntGauge,
    /// Times that an endpoint began to accept no connection of this daemon.
    pub paths_broken: IntCounter,
    /// Received requests of callers.
    pub requests: IntCounter,
    /// Retries that the retry budget of the fleet denied.
    pub retries_denied: IntCounter,
    /// Streams that resumed at another endpoint.
    pub resumes: IntCounter,
    /// Answers that broke off at their beginning because their endpoint had crashed.
    pub crashes_at_beginning: IntCounter,
    /// Crashes that count against a part of a prompt.
    pub parts_suspected: IntCounter,
    /// Banned parts of prompts.
    pub parts_banned: IntGauge,
    /// Endpoints that state a rate limit.
    pub rate_limits: IntGauge,
    /// Requests placed at another endpoint than the first choice, which was at its rate limit.
    pub rate_limited_moves: IntCounter,
    /// Rate limits of endpoints that could not be read.
    pub rate_limits_malformed: IntCounter,
    /// Endpoints that are much slower than their service is on average, by their own reports.
    pub slow_endpoints: IntGauge,
    /// Requests that left a slow endpoint before their latency objective.
    pub slow_endpoint_moves: IntCounter,
    /// Responses in which endpoints asked for no requests for a time.
    pub pauses: IntCounter,
    /// The same in a form that could not be read.
    pub pauses_malformed: IntCounter,
    /// Log lines that were dropped because the log consumer was too slow.
    pub log_lines_dropped: IntGauge,
    /// Open caller connections.
    pub connections: IntGauge,
    /// Requests in flight.
    pub requests_in_flight: IntGauge,
    /// Whether the daemon accepts callers.
    pub ready: IntGauge,
    /// Whether the daemon reads the store for others.
    pub reader: IntGauge,
    /// Daemons that may be running, including this one.
    pub members: IntGauge,
    /// Time since any daemon last read the store.
    pub store_age_ms: IntGauge,
    /// Times that the copy of the store became older than a daemon waits for peers.
    pub stale_copies: IntCounter,
    /// The version of the active configuration; 0 if there is none.
    pub configuration_version: IntGauge,
    /// What could not be read of the active configuration.
    pub configuration_defects: IntGauge,
    /// Calls of the platform's store, by outcome.
    pub store_calls: IntCounterVec,
}

impl GatewayMetrics {
    /// Registers all metrics in a new registry.
    pub fn new() -> Self {
        let registry = Registry::new();
        let counter = |name| register_counter(&registry, name);
        let counters = |name| register_counter_vec(&registry, name);
        let gauge = |name| register_gauge(&registry, name);
        let histogram = |name| register_histogram(&registry, name);
        Self {
            refusals: counters("celeryknot_gateway_refusals_total"),
            placements: counters("celeryknot_gateway_placements_total"),
            zone_placements: counters("celeryknot_gateway_zone_placements_total"),
            zone_overflow: register_gauge_vec(
                &registry,
                "celeryknot_gateway_zone_overflow_permille",
            ),
            attempt_failures: counters("celeryknot_gateway_send_failures_total"),
            retry_delays: counters("celeryknot_gateway_retry_delays_total"),
            first_byte_ms: histogram("celeryknot_gateway_first_byte_ms"),
            request_ms: histogram("celeryknot_gateway_request_ms"),
            hops: counters("celeryknot_gateway_hops_total"),
            admission_refused: counters("celeryknot_gateway_admission_refused_total"),
            admission_wait_ms: histogram("celeryknot_gateway_admission_wait_ms"),
            admission_waiting: gauge("celeryknot_gateway_admission_waiting"),
            paths_broken: counter("celeryknot_gateway_paths_broken_total"),
            requests: counter("celeryknot_gateway_requests_total"),
            retries_denied: counter("celeryknot_gateway_sends_denied_total"),
            resumes: counter("celeryknot_gateway_resumes_total"),
            crashes_at_beginning: counter("celeryknot_gateway_crashes_at_beginning_total"),
            parts_suspected: counter("celeryknot_gateway_parts_suspected_total"),
            parts_banned: gauge("celeryknot_gateway_parts_banned"),
            rate_limits: gauge("celeryknot_gateway_rate_limits"),
            rate_limited_moves: counter("celeryknot_gateway_rate_limited_moves_total"),
            rate_limits_malformed: counter("celeryknot_gateway_rate_limits_malformed_total"),
            slow_endpoints: gauge("celeryknot_gateway_slow_endpoints"),
            slow_endpoint_moves: counter("celeryknot_gateway_slow_endpoint_moves_total"),
            pauses: counter("celeryknot_gateway_pauses_total"),
            pauses_malformed: counter("celeryknot_gateway_pauses_malformed_total"),
            log_lines_dropped: gauge("celeryknot_gateway_log_lines_dropped"),
            connections: gauge("celeryknot_gateway_connections"),
            requests_in_flight: gauge("celeryknot_gateway_requests_in_flight"),
            ready: gauge("celeryknot_gateway_ready"),
            reader: gauge("celeryknot_gateway_reader"),
            members: gauge("celeryknot_gateway_members"),
            store_age_ms: gauge("celeryknot_gateway_store_age_ms"),
            stale_copies: counter("celeryknot_gateway_stale_copies_total"),
            configuration_version: gauge("celeryknot_gateway_configuration_version"),
            configuration_defects: gauge("celeryknot_gateway_configuration_defects"),
            store_calls: counters("celeryknot_gateway_store_calls_total"),
            registry,
        }
    }

    /// Counts a request that was refused or failed.
    pub fn refused(&self, kind: ErrorKind) {
        self.refusals.with_label_values(&[kind.code()]).inc();
    }

    /// Counts a request without a prompt that was refused for lack of room at its endpoints.
    pub fn refused_admission(&self, kind: ErrorKind) {
        let counter = self.admission_refused.with_label_values(&[kind.code()]);
        counter.inc();
    }

    /// Records the time for which a request waited for room at its endpoints.
    pub fn observe_admission_wait(&self, time: DurationMs) {
        observe_ms(&self.admission_wait_ms, time);
    }

    /// Counts a request that was placed at an endpoint, by reason.
    pub fn placed(&self, reason: &'static str) {
        self.placements.with_label_values(&[reason]).inc();
    }

    /// Counts a request that was placed in the daemon's own zone or in another one, by reason.
    pub fn placed_in_zone(&self, service: &ServiceName, is_own: bool, reason: &'static str) {
        let zone = if is_own { "own" } else { "other" };
        self.zone_placements
            .with_label_values(&[service.as_str(), zone, reason])
            .inc();
    }

    /// Sets the fraction of a service's requests that leaves the daemon's own zone.
    pub fn set_zone_overflow(&self, service: &ServiceName, fraction: f64) {
        self.zone_overflow
            .with_label_values(&[service.as_str()])
            .set((fraction * 1_000.0).round() as i64);
    }

    /// Counts a failed attempt, by failure.
    pub fn count_failed_attempt(&self, failure: &'static str) {
        self.attempt_failures.with_label_values(&[failure]).inc();
    }

    /// Counts a refusal for want of room, by what its retry delay follows from.
    pub fn count_retry_delay(&self, basis: &'static str) {
        self.retry_delays.with_label_values(&[basis]).inc();
    }

    /// Counts an attempt that a peer was asked to make, by outcome.
    pub fn count_hop(&self, outcome: &'static str) {
        self.hops.with_label_values(&[outcome]).inc();
    }

    /// Counts a call of the store, by outcome.
    pub fn count_store_call(&self, outcome: &'static str) {
        self.store_calls.with_label_values(&[outcome]).inc();
    }

    /// Records the time from a request to its response head.
    pub fn observe_first_byte(&self, time: DurationMs) {
        observe_ms(&self.first_byte_ms, time);
    }

    /// Records the time from a request to its end.
    pub fn observe_request_duration(&self, time: DurationMs) {
        observe_ms(&self.request_ms, time);
    }

    /// Renders all metrics in the Prometheus text format.
    pub fn render(&self) -> String {
        super::render(&self.registry)
    }
}

impl Default for GatewayMetrics {
    fn default() -> Self {
        Self::new()
    }
}
