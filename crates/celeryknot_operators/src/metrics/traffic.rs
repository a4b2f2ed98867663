//! Metrics that traffic threads write.

use std::sync::Arc;

use celeryknot_core::{DurationMs, EndpointName, ErrorKind, ServiceName};
use prometheus::{
    Histogram, HistogramVec, IntCounter, IntCounterVec, IntGauge, IntGaugeVec, Registry,
};
use strum::{Display, EnumIter, IntoEnumIterator, IntoStaticStr};

use super::spec::{
    observe_ms, register_counter, register_counters, register_gauge, register_gauges,
    register_histograms,
};

/// The kinds of request that callers send.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum RequestKind {
    /// A chat completion.
    Chat,
    /// A call of a plain service that is idempotent.
    Idempotent,
    /// A call of a plain service that is not idempotent.
    NonIdempotent,
    /// A request for tickets.
    Tickets,
}

/// One counter for each error kind, resolved once so that counting takes no lock.
#[derive(Debug, Clone)]
struct KindCounters(Arc<[IntCounter]>);

impl KindCounters {
    fn new(counters: &IntCounterVec) -> Self {
        Self(
            ErrorKind::iter()
                .map(|kind| counters.with_label_values(&[kind.code()]))
                .collect(),
        )
    }

    fn count(&self, kind: ErrorKind) {
        // `iter` yields the kinds in the order of their discriminants.
        self.0[kind as usize].inc();
    }
}

/// Metrics that traffic threads write; clones share their values.
#[derive(Debug, Clone)]
pub struct TrafficMetrics {
    requests: IntCounterVec,
    answers: IntCounterVec,
    refusals: KindCounters,
    retries: KindCounters,
    retries_denied: KindCounters,
    admissions_refused: KindCounters,
    prompt_tokens: IntCounterVec,
    cached_tokens: IntCounterVec,
    first_byte_ms: HistogramVec,
    queue_wait_ms: HistogramVec,
    endpoint_in_flight: IntGaugeVec,
    endpoint_queued: IntGaugeVec,
    /// Second attempts sent beside a slow first one.
    pub hedges: IntCounter,
    /// Streams that were resumed.
    pub resumes: IntCounter,
    /// Requests handed over to a peer.
    pub forwards_out: IntCounter,
    /// Requests taken over from a peer.
    pub forwards_in: IntCounter,
    /// Tickets that were issued.
    pub tickets_issued: IntCounter,
    /// Requests answered with a stored answer.
    pub tickets_replayed: IntCounter,
    /// Tickets whose state is held.
    pub tickets_held: IntGauge,
    /// Open connections of callers.
    pub connections: IntGauge,
    /// Connections closed at once, above the limit.
    pub connections_refused: IntCounter,
    /// Requests that entered here and are not answered yet.
    pub requests_in_flight: IntGauge,
    /// Requests in flight when the grace time was over.
    pub shutdown_leftover: IntGauge,
}

impl TrafficMetrics {
    pub(crate) fn new(registry: &Registry) -> Self {
        let kinds = |name| KindCounters::new(&register_counters(registry, name));
        let forwards = register_counters(registry, "celeryknot_forwards_total");
        Self {
            requests: register_counters(registry, "celeryknot_requests_total"),
            answers: register_counters(registry, "celeryknot_answers_total"),
            refusals: kinds("celeryknot_refusals_total"),
            retries: kinds("celeryknot_retries_total"),
            retries_denied: kinds("celeryknot_retries_denied_total"),
            admissions_refused: kinds("celeryknot_admissions_refused_total"),
            prompt_tokens: register_counters(registry, "celeryknot_prompt_tokens_total"),
            cached_tokens: register_counters(registry, "celeryknot_cached_tokens_total"),
            first_byte_ms: register_histograms(registry, "celeryknot_first_byte_ms"),
            queue_wait_ms: register_histograms(registry, "celeryknot_queue_wait_ms"),
            endpoint_in_flight: register_gauges(registry, "celeryknot_endpoint_in_flight"),
            endpoint_queued: register_gauges(registry, "celeryknot_endpoint_queued"),
            hedges: register_counter(registry, "celeryknot_hedges_total"),
            resumes: register_counter(registry, "celeryknot_resumes_total"),
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

    /// Counts a refusal that a caller got.
    pub fn refused(&self, kind: ErrorKind) {
        self.refusals.count(kind);
    }

    /// Counts a further attempt after one that failed for a reason.
    pub fn retried(&self, reason: ErrorKind) {
        self.retries.count(reason);
    }

    /// Counts a further attempt that the retry budget did not allow.
    pub fn retry_denied(&self, reason: ErrorKind) {
        self.retries_denied.count(reason);
    }

    /// Counts a request that this daemon refused as the owner of an endpoint.
    pub fn admission_refused(&self, kind: ErrorKind) {
        self.admissions_refused.count(kind);
    }

    /// Resolves the metrics of one service; traffic threads keep the result.
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

    /// Forgets an endpoint that this daemon no longer owns.
    pub fn remove_endpoint(&self, endpoint: &EndpointName) {
        let labels = [endpoint.as_str()];
        // An endpoint without load has no gauge, so there is nothing to remove.
        let _ = self.endpoint_in_flight.remove_label_values(&labels);
        let _ = self.endpoint_queued.remove_label_values(&labels);
    }
}

/// The metrics of one service; clones share their values.
#[derive(Debug, Clone)]
pub struct ServiceMetrics {
    requests: Arc<[IntCounter]>,
    first_byte_ms: Histogram,
    queue_wait_ms: Histogram,
    /// Requests without a ticket that an endpoint began to answer.
    pub answers: IntCounter,
    /// Prompt tokens that engines reported.
    pub prompt_tokens: IntCounter,
    /// Prompt tokens found in a cache.
    pub cached_tokens: IntCounter,
}

impl ServiceMetrics {
    /// Counts a request that entered here.
    pub fn entered(&self, kind: RequestKind) {
        self.requests[kind as usize].inc();
    }

    /// Records the time to the head of an answer.
    pub fn first_byte(&self, after_ms: DurationMs) {
        observe_ms(&self.first_byte_ms, after_ms);
    }

    /// Records the time that a request waited at the owner.
    pub fn waited(&self, wait_ms: DurationMs) {
        observe_ms(&self.queue_wait_ms, wait_ms);
    }
}
