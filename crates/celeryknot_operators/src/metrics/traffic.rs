//! Metrics of the traffic threads.

use std::sync::Arc;

use celeryknot_core::{DurationMs, EndpointName, ErrorKind, ServiceName};
use prometheus::{
    Histogram, HistogramVec, IntCounter, IntCounterVec, IntGauge, IntGaugeVec, Registry,
};
use strum::{Display, EnumIter, IntoEnumIterator, IntoStaticStr};

use super::spec::{
    observe_ms, register_counter, register_counter_vec, register_gauge, register_gauge_vec,
    register_histogram_vec,
};

/// The kind of a caller's request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum RequestKind {
    /// A chat completion.
    Chat,
    /// An idempotent call of a plain service.
    Idempotent,
    /// A non-idempotent call of a plain service.
    NonIdempotent,
    /// A request for tickets.
    Tickets,
}

/// One counter per error kind, resolved in advance to avoid a lock per increment.
#[derive(Debug, Clone)]
struct ErrorKindCounters(Arc<[IntCounter]>);

impl ErrorKindCounters {
    fn new(counters: &IntCounterVec) -> Self {
        Self(
            ErrorKind::iter()
                .map(|kind| counters.with_label_values(&[kind.code()]))
                .collect(),
        )
    }

    fn count(&self, kind: ErrorKind) {
        // `iter` yields the kinds in discriminant order.
        self.0[kind as usize].inc();
    }
}

/// Metrics of the traffic threads; clones share the values.
#[derive(Debug, Clone)]
pub struct TrafficMetrics {
    requests: IntCounterVec,
    answers: IntCounterVec,
    refusals: ErrorKindCounters,
    retries: ErrorKindCounters,
    retries_denied: ErrorKindCounters,
    admissions_refused: ErrorKindCounters,
    prompt_tokens: IntCounterVec,
    cached_tokens: IntCounterVec,
    first_byte_ms: HistogramVec,
    queue_wait_ms: HistogramVec,
    endpoint_in_flight: IntGaugeVec,
    endpoint_queued: IntGaugeVec,
    endpoint_rate_limited: IntGaugeVec,
    /// Hedged requests: second attempts in parallel to a slow first one.
    pub hedges: IntCounter,
    /// Resumed streams.
    pub resumes: IntCounter,
    /// Answers that failed at their beginning because their endpoint had crashed.
    pub crashes_at_beginning: IntCounter,
    /// Crashes by part of a prompt that count against the part.
    pub parts_suspected: IntCounter,
    /// Parts of prompts that are banned.
    pub parts_banned: IntGauge,
    /// Rate limits stated by endpoints that could not be read.
    pub rate_limits_malformed: IntCounter,
    /// Requests forwarded to a peer.
    pub forwards_out: IntCounter,
    /// Requests forwarded by a peer.
    pub forwards_in: IntCounter,
    /// Issued tickets.
    pub tickets_issued: IntCounter,
    /// Requests answered with the stored response of their ticket.
    pub tickets_replayed: IntCounter,
    /// Tickets whose state this daemon holds.
    pub tickets_held: IntGauge,
    /// Open caller connections.
    pub connections: IntGauge,
    /// Caller connections that are closed immediately because of the connection limit.
    pub connections_refused: IntCounter,
    /// Requests from callers to this daemon that are still in flight.
    pub requests_in_flight: IntGauge,
    /// Requests still in flight at the end of the shutdown grace period.
    pub shutdown_leftover: IntGauge,
}

impl TrafficMetrics {
    pub(crate) fn new(registry: &Registry) -> Self {
        let error_kind_counters =
            |name| ErrorKindCounters::new(&register_counter_vec(registry, name));
        let forwards = register_counter_vec(registry, "celeryknot_forwards_total");
        Self {
            requests: register_counter_vec(registry, "celeryknot_requests_total"),
            answers: register_counter_vec(registry, "celeryknot_answers_total"),
            refusals: error_kind_counters("celeryknot_refusals_total"),
            retries: error_kind_counters("celeryknot_retries_total"),
            retries_denied: error_kind_counters("celeryknot_retries_denied_total"),
            admissions_refused: error_kind_counters("celeryknot_admissions_refused_total"),
            prompt_tokens: register_counter_vec(registry, "celeryknot_prompt_tokens_total"),
            cached_tokens: register_counter_vec(registry, "celeryknot_cached_tokens_total"),
            first_byte_ms: register_histogram_vec(registry, "celeryknot_first_byte_ms"),
            queue_wait_ms: register_histogram_vec(registry, "celeryknot_queue_wait_ms"),
            endpoint_in_flight: register_gauge_vec(registry, "celeryknot_endpoint_in_flight"),
            endpoint_queued: register_gauge_vec(registry, "celeryknot_endpoint_queued"),
            endpoint_rate_limited: register_gauge_vec(registry, "celeryknot_endpoint_rate_limited"),
            rate_limits_malformed: register_counter(
                registry,
                "celeryknot_rate_limits_malformed_total",
            ),
            hedges: register_counter(registry, "celeryknot_hedges_total"),
            resumes: register_counter(registry, "celeryknot_resumes_total"),
            crashes_at_beginning: register_counter(
                registry,
                "celeryknot_crashes_at_beginning_total",
            ),
            parts_suspected: register_counter(registry, "celeryknot_parts_suspected_total"),
            parts_banned: register_gauge(registry, "celeryknot_parts_banned"),
            forwards_out: forwards.with_label_values(&["out"]),
            forwards_in: forwards.with_label_values(&["in"]),
            tickets_issued: register_counter(registry, "celeryknot_tickets_issued_total"),
            tickets_replayed: register_counter(registry, "celeryknot_tickets_replayed_total"),
            tickets_held: register_gauge(registry, "celeryknot_tickets_held"),
            connections: register_gauge(registry, "celeryknot_connections"),
            connections_refused: register_counter(registry, "celeryknot_connections_refused_total"),
            requests_in_flight: register_gauge(registry, "celeryknot_requests_in_flight"),
            shutdown_leftover: register_gauge(registry, "celeryknot_shutdown_leftover"),
        }
    }

    /// Counts a request of a caller that was refused or failed.
    pub fn refused(&self, kind: ErrorKind) {
        self.refusals.count(kind);
    }

    /// Counts a retry, by the reason of the failed attempt.
    pub fn count_retry(&self, reason: ErrorKind) {
        self.retries.count(reason);
    }

    /// Counts a retry that the retry budget denied.
    pub fn count_denied_retry(&self, reason: ErrorKind) {
        self.retries_denied.count(reason);
    }

    /// Counts a request that this daemon refused as the owner of an endpoint.
    pub fn count_refused_admission(&self, kind: ErrorKind) {
        self.admissions_refused.count(kind);
    }

    /// Resolves the metrics of one service; callers should cache the result.
    pub fn service(&self, service: &ServiceName) -> ServiceMetrics {
        let name = service.as_str();
        ServiceMetrics {
            requests: RequestKind::iter()
                .map(|kind| self.requests.with_label_values(&[name, <&str>::from(kind)]))
                .collect(),
            answers: self.answers.with_label_values(&[name]),
            prompt_tokens: self.prompt_tokens.with_label_values(&[name]),
            cached_tokens: self.cached_tokens.with_label_values(&[name]),
            first_byte_ms: self.first_byte_ms.with_label_values(&[name]),
            queue_wait_ms: self.queue_wait_ms.with_label_values(&[name]),
        }
    }

    /// Sets whether an endpoint states a rate limit.
    pub fn set_endpoint_rate_limited(&self, endpoint: &EndpointName, is_limited: bool) {
        let label = [endpoint.as_str()];
        let gauge = self.endpoint_rate_limited.with_label_values(&label);
        gauge.set(i64::from(is_limited));
    }

    /// Sets the load of an endpoint that this daemon owns.
    pub fn set_endpoint_load(&self, endpoint: &EndpointName, in_flight: u32, queued: u32) {
        let labels = [endpoint.as_str()];
        self.endpoint_in_flight
            .with_label_values(&labels)
            .set(i64::from(in_flight));
        self.endpoint_queued
            .with_label_values(&labels)
            .set(i64::from(queued));
    }

    /// Removes the gauges of an endpoint that this daemon no longer owns.
    pub fn remove_endpoint(&self, endpoint: &EndpointName) {
        let labels = [endpoint.as_str()];
        // Removal fails if the load of the endpoint was never set, which is fine.
        let _ = self.endpoint_rate_limited.remove_label_values(&labels);
        let _ = self.endpoint_in_flight.remove_label_values(&labels);
        let _ = self.endpoint_queued.remove_label_values(&labels);
    }
}

/// The metrics of one service; clones share the values.
#[derive(Debug, Clone)]
pub struct ServiceMetrics {
    requests: Arc<[IntCounter]>,
    first_byte_ms: Histogram,
    queue_wait_ms: Histogram,
    /// Requests without a ticket for which an endpoint started a response.
    pub answers: IntCounter,
    /// Prompt tokens that engines reported.
    pub prompt_tokens: IntCounter,
    /// Prompt tokens that engines reported as cached.
    pub cached_tokens: IntCounter,
}

impl ServiceMetrics {
    /// Counts a request from a caller to this daemon.
    pub fn count_request(&self, kind: RequestKind) {
        self.requests[kind as usize].inc();
    }

    /// Records the time from a request to its response head.
    pub fn observe_first_byte(&self, after_ms: DurationMs) {
        observe_ms(&self.first_byte_ms, after_ms);
    }

    /// Records the time that a request waited in the queue of the endpoint's owner.
    pub fn observe_queue_wait(&self, wait_ms: DurationMs) {
        observe_ms(&self.queue_wait_ms, wait_ms);
    }
}
