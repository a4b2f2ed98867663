//! The declarations of all metrics: names, kinds, labels and help texts.

use prometheus::{
    Histogram, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, IntGaugeVec, Opts,
    Registry,
};
use strum::{Display, IntoStaticStr};

/// The kind of a metric.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum MetricKind {
    /// A value that only increases.
    Counter,
    /// A value that increases and decreases.
    Gauge,
    /// Counts of observed values per bucket.
    Histogram,
}

/// One metric; `docs/OPERATIONS.md` lists the operator action for each.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MetricSpec {
    /// The metric's name.
    pub name: &'static str,
    /// The metric's kind.
    pub kind: MetricKind,
    /// The label names.
    pub labels: &'static [&'static str],
    /// The help text, in one sentence.
    pub help: &'static str,
}

const fn counter(
    name: &'static str,
    labels: &'static [&'static str],
    help: &'static str,
) -> MetricSpec {
    MetricSpec {
        name,
        kind: MetricKind::Counter,
        labels,
        help,
    }
}

const fn gauge(
    name: &'static str,
    labels: &'static [&'static str],
    help: &'static str,
) -> MetricSpec {
    MetricSpec {
        name,
        kind: MetricKind::Gauge,
        labels,
        help,
    }
}

const fn histogram(
    name: &'static str,
    labels: &'static [&'static str],
    help: &'static str,
) -> MetricSpec {
    MetricSpec {
        name,
        kind: MetricKind::Histogram,
        labels,
        help,
    }
}

/// All metrics of a daemon.
#[rustfmt::skip]
pub const METRICS: &[MetricSpec] = &[
    counter("celeryknot_requests_total", &["service", "kind"], "Requests of callers that entered at this daemon."),
    counter("celeryknot_answers_total", &["service"], "Requests of callers, without a ticket, that an endpoint began to answer."),
    counter("celeryknot_refusals_total", &["code"], "Requests of callers that were refused or failed, by code."),
    counter("celeryknot_retries_total", &["reason"], "Further attempts at a request, by the code of the attempt before."),
    counter("celeryknot_retries_denied_total", &["reason"], "Further attempts that the retry budget did not allow, by the code of the attempt before."),
    counter("celeryknot_hedges_total", &[], "Second attempts sent beside a slow first one."),
    counter("celeryknot_resumes_total", &[], "Streams that were resumed on another connection or engine."),
    counter("celeryknot_crashes_at_beginning_total", &[], "Answers that failed at their beginning because their endpoint had crashed."),
    counter("celeryknot_parts_suspected_total", &[], "Crashes by part of a prompt or request, of this daemon and its peers, that count against it."),
    gauge("celeryknot_parts_banned", &[], "Parts of prompts and requests that are banned."),
    counter("celeryknot_rate_limits_malformed_total", &[], "Rate limits stated by endpoints that could not be read."),
    counter("celeryknot_forwards_total", &["direction"], "Requests handed over between daemons, out to or in from a peer."),
    counter("celeryknot_admissions_refused_total", &["code"], "Requests that this daemon refused as the owner of an endpoint, by code."),
    counter("celeryknot_prompt_tokens_total", &["service"], "Prompt tokens that engines reported."),
    counter("celeryknot_cached_tokens_total", &["service"], "Prompt tokens that engines reported as found in their cache."),
    counter("celeryknot_tickets_issued_total", &[], "Tickets that were issued."),
    counter("celeryknot_tickets_replayed_total", &[], "Requests answered with the stored answer of their ticket."),
    counter("celeryknot_connections_refused_total", &[], "Connections of callers that were closed at once, above the limit."),
    gauge("celeryknot_connections", &[], "Open connections of callers."),
    gauge("celeryknot_requests_in_flight", &[], "Requests that entered at this daemon and are not answered yet."),
    gauge("celeryknot_endpoint_in_flight", &["endpoint"], "Requests in flight at an endpoint that this daemon owns."),
    gauge("celeryknot_endpoint_rate_limited", &["endpoint"], "Whether an endpoint that this daemon owns states a rate limit."),
    gauge("celeryknot_endpoint_queued", &["endpoint"], "Requests that wait for an endpoint that this daemon owns."),
    gauge("celeryknot_tickets_held", &[], "Tickets whose state this daemon holds."),
    gauge("celeryknot_shutdown_leftover", &[], "Requests still in flight when the grace time of the shutdown was over."),
    histogram("celeryknot_first_byte_ms", &["service"], "Time from a request without a ticket to the head of its answer."),
    histogram("celeryknot_queue_wait_ms", &["service"], "Time that a request waited at the owner of an endpoint."),
    counter("celeryknot_control_bytes_total", &["kind"], "Bytes of control traffic sent, by kind of message."),
    counter("celeryknot_control_messages_total", &["kind", "outcome"], "Control messages, sent or dropped for the byte budget, by kind."),
    counter("celeryknot_platform_calls_total", &["outcome"], "Calls of the platform's service, by outcome."),
    counter("celeryknot_orders_total", &["outcome"], "Orders sent to engines, by outcome."),
    counter("celeryknot_pauses_total", &[], "Times that the process was paused for longer than its peers wait."),
    gauge("celeryknot_ready", &[], "Whether the daemon takes callers."),
    gauge("celeryknot_reader", &[], "Whether the daemon watches the platform for its zone."),
    gauge("celeryknot_snapshot_version", &[], "The version of the snapshot that requests are placed with."),
    gauge("celeryknot_settings_age_ms", &[], "Time since the settings were last confirmed by the platform, here or at a peer."),
    gauge("celeryknot_settings_revision", &[], "The highest revision of the settings that was accepted."),
    gauge("celeryknot_settings_refused", &[], "Values whose newest revision is refused."),
    gauge("celeryknot_members", &["state"], "Daemons of the fleet, by state."),
    gauge("celeryknot_endpoints", &["condition"], "Endpoints that this daemon owns, by condition."),
];

/// All metrics of a gateway.
#[rustfmt::skip]
pub const GATEWAY_METRICS: &[MetricSpec] = &[
    counter("celeryknot_gateway_requests_total", &[], "Requests of callers that were read."),
    counter("celeryknot_gateway_refusals_total", &["code"], "Requests of callers that were refused or failed, by code."),
    counter("celeryknot_gateway_placements_total", &["reason"], "Requests that were placed at an endpoint, by the reason for it."),
    counter("celeryknot_gateway_zone_placements_total", &["service", "zone", "reason"], "Requests that were placed in the daemon's own zone or in another one, by the reason for the zone."),
    gauge("celeryknot_gateway_zone_overflow_permille", &["service"], "Requests of a thousand that leave the daemon's own zone for its pressure."),
    counter("celeryknot_gateway_send_failures_total", &["failure"], "Sends to endpoints that failed, by how."),
    counter("celeryknot_gateway_retry_delays_total", &["basis"], "Refusals for want of room, by what their retry delay follows from."),
    counter("celeryknot_gateway_sends_denied_total", &[], "Further sends that the budget of the fleet did not allow."),
    counter("celeryknot_gateway_resumes_total", &[], "Streams that went on at another endpoint."),
    counter("celeryknot_gateway_crashes_at_beginning_total", &[], "Answers that broke off at their beginning because their endpoint had crashed."),
    counter("celeryknot_gateway_parts_suspected_total", &[], "Crashes by part of a prompt or request, of this daemon and its peers, that count against it."),
    gauge("celeryknot_gateway_parts_banned", &[], "Parts of prompts and requests that are banned."),
    gauge("celeryknot_gateway_rate_limits", &[], "Endpoints that state a rate limit."),
    counter("celeryknot_gateway_rate_limited_moves_total", &[], "Requests placed at another endpoint because the first choice was at its rate limit."),
    counter("celeryknot_gateway_rate_limits_malformed_total", &[], "Rate limits stated by endpoints that could not be read."),
    gauge("celeryknot_gateway_slow_endpoints", &[], "Endpoints that report at least 1.5 times the mean pace of their service."),
    counter("celeryknot_gateway_slow_endpoint_moves_total", &[], "Requests sent to another endpoint before their latency objective, as theirs was slow and had not answered."),
    counter("celeryknot_gateway_pauses_total", &[], "Refusals in which endpoints asked for no requests for a time."),
    counter("celeryknot_gateway_pauses_malformed_total", &[], "The same with a time that could not be read."),
    gauge("celeryknot_gateway_admission_waiting", &[], "Requests without a prompt that wait for room at their endpoints."),
    counter("celeryknot_gateway_admission_refused_total", &["code"], "Requests without a prompt that were refused because no endpoint has room in time, by code."),
    histogram("celeryknot_gateway_admission_wait_ms", &[], "Time for which requests without a prompt waited for room at their endpoints."),
    counter("celeryknot_gateway_hops_total", &["outcome"], "Attempts that a peer was asked to make, by whether it made them or why not."),
    counter("celeryknot_gateway_paths_broken_total", &[], "Times that an endpoint began to accept no connection of this daemon."),
    counter("celeryknot_gateway_store_calls_total", &["outcome"], "Calls of the platform's store, by outcome."),
    gauge("celeryknot_gateway_log_lines_dropped", &[], "Log lines that were dropped because their reader was too slow."),
    gauge("celeryknot_gateway_connections", &[], "Open connections of callers."),
    gauge("celeryknot_gateway_requests_in_flight", &[], "Requests that are not answered yet."),
    gauge("celeryknot_gateway_ready", &[], "Whether the daemon takes callers."),
    gauge("celeryknot_gateway_reader", &[], "Whether the daemon reads the store for others."),
    gauge("celeryknot_gateway_members", &[], "Daemons that may be running, this one included."),
    gauge("celeryknot_gateway_store_age_ms", &[], "Time since the store was last read, by whichever daemon."),
    counter("celeryknot_gateway_stale_copies_total", &[], "Times that the copy of the store became older than a daemon waits for news from others."),
    gauge("celeryknot_gateway_configuration_version", &[], "The version of the configuration in force; 0 where none is known."),
    gauge("celeryknot_gateway_configuration_defects", &[], "What could not be read of the configuration in force; each is a line of the logs."),
    histogram("celeryknot_gateway_first_byte_ms", &[], "Time from a request to the head of its answer."),
    histogram("celeryknot_gateway_request_ms", &[], "Time from a request to its end."),
];

/// Upper bounds of the histogram buckets.
const BUCKETS_MS: &[f64] = &[
    1.0, 2.0, 5.0, 10.0, 20.0, 50.0, 100.0, 200.0, 400.0, 800.0, 1_500.0, 3_000.0, 6_000.0,
    12_000.0, 30_000.0,
];

fn find_spec(name: &str, kind: MetricKind) -> &'static MetricSpec {
    METRICS
        .iter()
        .chain(GATEWAY_METRICS)
        .find(|spec| spec.name == name && spec.kind == kind)
        .expect("every metric is declared in METRICS or GATEWAY_METRICS")
}

fn register<M: prometheus::core::Collector + Clone + 'static>(registry: &Registry, metric: &M) {
    registry
        .register(Box::new(metric.clone()))
        .expect("metric names are valid and registered once");
}

fn metric_opts(spec: &MetricSpec) -> Opts {
    Opts::new(spec.name, spec.help)
}

const VALID_SPEC: &str = "the spec's name and labels are valid";

pub(crate) fn register_counter(registry: &Registry, name: &str) -> IntCounter {
    let spec = find_spec(name, MetricKind::Counter);
    let metric = IntCounter::with_opts(metric_opts(spec)).expect(VALID_SPEC);
    register(registry, &metric);
    metric
}

pub(crate) fn register_counter_vec(registry: &Registry, name: &str) -> IntCounterVec {
    let spec = find_spec(name, MetricKind::Counter);
    let metric = IntCounterVec::new(metric_opts(spec), spec.labels).expect(VALID_SPEC);
    register(registry, &metric);
    metric
}

pub(crate) fn register_gauge(registry: &Registry, name: &str) -> IntGauge {
    let spec = find_spec(name, MetricKind::Gauge);
    let metric = IntGauge::with_opts(metric_opts(spec)).expect(VALID_SPEC);
    register(registry, &metric);
    metric
}

pub(crate) fn register_gauge_vec(registry: &Registry, name: &str) -> IntGaugeVec {
    let spec = find_spec(name, MetricKind::Gauge);
    let metric = IntGaugeVec::new(metric_opts(spec), spec.labels).expect(VALID_SPEC);
    register(registry, &metric);
    metric
}

pub(crate) fn register_histogram_vec(registry: &Registry, name: &str) -> HistogramVec {
    let spec = find_spec(name, MetricKind::Histogram);
    let opts = HistogramOpts::new(spec.name, spec.help).buckets(BUCKETS_MS.to_vec());
    let metric = HistogramVec::new(opts, spec.labels).expect(VALID_SPEC);
    register(registry, &metric);
    metric
}

pub(crate) fn register_histogram(registry: &Registry, name: &str) -> Histogram {
    let spec = find_spec(name, MetricKind::Histogram);
    let opts = HistogramOpts::new(spec.name, spec.help).buckets(BUCKETS_MS.to_vec());
    let metric = Histogram::with_opts(opts).expect(VALID_SPEC);
    register(registry, &metric);
    metric
}

/// Records a duration in milliseconds.
pub(crate) fn observe_ms(histogram: &Histogram, duration_ms: celeryknot_core::DurationMs) {
    // Request durations are far below 2^53, up to which `f64` represents integers exactly.
    histogram.observe(duration_ms.0 as f64);
}
