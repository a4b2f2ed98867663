//! Checks that the exposed metrics, their declarations and `docs/OPERATIONS.md` match.

#![allow(
    clippy::unwrap_used,
    reason = "tests may unwrap, in their helper functions too"
)]

use celeryknot_core::{DurationMs, ErrorKind};
use celeryknot_fleet::{ControlKind, KindCount};
use celeryknot_operators::metrics::{GATEWAY_METRICS, METRICS, RequestKind};
use celeryknot_operators::{ControlStatus, GatewayMetrics, Metrics};
use strum::IntoEnumIterator;

const PAGE: &str = include_str!("../../../docs/OPERATIONS.md");

/// Returns metrics in which every labelled metric has at least one series.
fn metrics_with_all_series() -> Metrics {
    let metrics = Metrics::new();
    let service = metrics.traffic.service(&"wakai-llm".parse().unwrap());
    service.count_request(RequestKind::Chat);
    service.observe_first_byte(DurationMs(3));
    let endpoint = "engine-1".parse().unwrap();
    metrics.traffic.set_endpoint_load(&endpoint, 4, 2);
    metrics.traffic.set_endpoint_rate_limited(&endpoint, true);
    metrics
        .control
        .set_status(&ControlStatus::default(), true, "entry-1");
    metrics
}

#[test]
fn daemon_exposes_exactly_the_declared_metrics() {
    let text = metrics_with_all_series().render();
    let mut exposed: Vec<&str> = text
        .lines()
        .filter_map(|line| line.strip_prefix("# TYPE "))
        .collect();
    let lines: Vec<String> = METRICS
        .iter()
        .map(|spec| format!("{} {}", spec.name, spec.kind))
        .collect();
    let mut declared: Vec<&str> = lines.iter().map(String::as_str).collect();
    exposed.sort_unstable();
    declared.sort_unstable();
    assert_eq!(exposed, declared);
}

#[test]
fn gateway_exposes_exactly_the_declared_metrics() {
    let metrics = GatewayMetrics::new();
    metrics.refused(ErrorKind::NoEndpoint);
    metrics.placed("first");
    let service = "wakai-llm".parse().unwrap();
    metrics.placed_in_zone(&service, true, "own");
    metrics.set_zone_overflow(&service, 0.25);
    metrics.count_failed_attempt("refused");
    metrics.count_retry_delay("fixed");
    metrics.refused_admission(ErrorKind::QueueFull);
    metrics.count_hop("made");
    metrics.count_store_call("failed");
    let text = metrics.render();
    let exposed = text.lines().filter(|line| line.starts_with("# TYPE "));
    assert_eq!(exposed.count(), GATEWAY_METRICS.len());
    for spec in GATEWAY_METRICS {
        let line = format!("# TYPE {} {}", spec.name, spec.kind);
        assert!(text.contains(&line), "{line}");
    }
}

#[test]
fn page_lists_every_metric_with_an_action() {
    let rows: Vec<&str> = PAGE
        .lines()
        .filter(|line| line.starts_with("| `celeryknot_"))
        .collect();
    let specs: Vec<_> = METRICS.iter().chain(GATEWAY_METRICS).collect();
    assert_eq!(rows.len(), specs.len());
    for (row, spec) in rows.iter().zip(specs) {
        let labels: Vec<String> = spec
            .labels
            .iter()
            .map(|label| format!("`{label}`"))
            .collect();
        let labels = if labels.is_empty() {
            "-".to_owned()
        } else {
            labels.join(", ")
        };
        let start = format!(
            "| `{}` | {} | {labels} | {} | ",
            spec.name, spec.kind, spec.help
        );
        let action = row
            .strip_prefix(&start)
            .unwrap_or_else(|| panic!("{start}\n{row}"));
        assert!(action.ends_with(". |"), "{row}");
    }
}

#[test]
fn each_error_kind_is_counted_under_its_code() {
    for kind in ErrorKind::iter() {
        let metrics = Metrics::new();
        metrics.traffic.refused(kind);
        metrics.traffic.count_retry(kind);
        metrics.traffic.count_denied_retry(kind);
        metrics.traffic.count_refused_admission(kind);
        let text = metrics.render();
        for series in [
            format!("celeryknot_refusals_total{{code=\"{kind}\"}} 1"),
            format!("celeryknot_retries_total{{reason=\"{kind}\"}} 1"),
            format!("celeryknot_retries_denied_total{{reason=\"{kind}\"}} 1"),
            format!("celeryknot_admissions_refused_total{{code=\"{kind}\"}} 1"),
        ] {
            assert!(text.contains(&series), "{series}");
        }
        assert_eq!(text.matches("} 1\n").count(), 4, "{kind}");
    }
}

#[test]
fn each_request_kind_is_counted_under_its_name() {
    for kind in RequestKind::iter() {
        let metrics = Metrics::new();
        metrics
            .traffic
            .service(&"case-svc".parse().unwrap())
            .count_request(kind);
        let series = format!("celeryknot_requests_total{{kind=\"{kind}\",service=\"case-svc\"}} 1");
        assert!(metrics.render().contains(&series), "{series}");
    }
}

#[test]
fn control_counters_follow_the_status_totals() {
    let metrics = Metrics::new();
    let status = |sent| {
        let count = KindCount {
            sent,
            sent_bytes: sent * 60,
            dropped: 1,
        };
        let mut status = ControlStatus::default();
        status
            .counters
            .traffic
            .insert(ControlKind::Heartbeat, count);
        status.counters.platform_calls.stale = sent;
        status
    };
    metrics.control.set_status(&status(3), true, "entry-1");
    metrics.control.set_status(&status(5), true, "entry-1");
    let text = metrics.render();
    for series in [
        "celeryknot_control_bytes_total{kind=\"heartbeat\"} 300",
        "celeryknot_control_messages_total{kind=\"heartbeat\",outcome=\"sent\"} 5",
        "celeryknot_control_messages_total{kind=\"heartbeat\",outcome=\"dropped\"} 1",
        "celeryknot_control_bytes_total{kind=\"orders\"} 0",
        "celeryknot_platform_calls_total{outcome=\"stale\"} 5",
        "celeryknot_orders_total{outcome=\"failed\"} 0",
    ] {
        assert!(text.contains(series), "{series}");
    }
}

#[test]
fn removed_endpoint_has_no_series() {
    let metrics = metrics_with_all_series();
    metrics
        .traffic
        .remove_endpoint(&"engine-1".parse().unwrap());
    assert!(!metrics.render().contains("engine-1"));
}

#[test]
fn daemons_in_one_process_have_separate_metrics() {
    let (one, other) = (Metrics::new(), Metrics::new());
    one.traffic.resumes.inc();
    assert!(one.render().contains("celeryknot_resumes_total 1"));
    assert!(other.render().contains("celeryknot_resumes_total 0"));
}
