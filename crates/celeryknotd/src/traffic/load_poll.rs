//! Polls the load of the endpoints that this daemon owns.

use std::rc::Rc;

use celeryknot_core::{DurationMs, EndpointName, ErrorKind, MonotonicMs, RatePerS};
use celeryknot_endpoints::LoadReport;
use celeryknot_endpoints::load::fetch_load;
use celeryknot_gateway::rate_log::log_malformed_rate;
use celeryknot_policy::admission::ReportedLoad;
use celeryknot_policy::rate_limit::RateStatement;

use super::context::ThreadContext;
use super::permit::AdmissionMessage;
use crate::event::TrafficEvent;
use crate::snapshot::ServiceSnapshot;

/// Interval between two polls of one endpoint.
const POLL_INTERVAL: DurationMs = DurationMs(500);

/// Bytes of a poll and its response, for the control traffic budget.
const POLL_SIZE_BYTES: u32 = 300;

/// Timeout of a poll.
const POLL_TIMEOUT: DurationMs = DurationMs(1_000);

/// Maximum age of what a polled report states.
const REPORT_AGE_MAX: DurationMs = DurationMs(1_500);

/// Lifetime of the recorded time of an endpoint's last report.
const REPORT_TTL: DurationMs = DurationMs(60_000);

/// Polls the owned endpoints that this thread admits, until the thread ends.
///
/// An endpoint whose responses carry its load is not polled: such reports cost no control traffic.
pub(crate) async fn poll_loads(context: Rc<ThreadContext>) {
    loop {
        let snapshot = context.snapshot();
        for service in snapshot.services.values() {
            for endpoint in &service.endpoints {
                let is_own = endpoint.owner.as_ref() == Some(&snapshot.own_name);
                // Reports that come by way of a peer don't show that the endpoint can be reached.
                let is_reported = context.has_load_report_within(&endpoint.name, POLL_INTERVAL)
                    && !context.paths.borrow().is_broken(endpoint.address);
                let is_due = is_own
                    && context.shared.is_admitted_on(context.index, &endpoint.name)
                    && !is_reported;
                if is_due {
                    let poll =
                        poll_one(Rc::clone(&context), endpoint.name.clone(), endpoint.address);
                    context.executor.spawn(poll).detach();
                }
            }
        }
        context.evict_load_reports(REPORT_TTL);
        smol::Timer::after(POLL_INTERVAL.as_std()).await;
    }
}

/// Polls an endpoint once, outside the regular interval.
pub(crate) fn poll_now(
    context: &Rc<ThreadContext>,
    endpoint: &EndpointName,
    service: &ServiceSnapshot,
) {
    let listed_endpoint = service
        .endpoints
        .iter()
        .find(|listed| listed.name == *endpoint);
    if let Some(listed_endpoint) = listed_endpoint {
        let poll = poll_one(
            Rc::clone(context),
            endpoint.clone(),
            listed_endpoint.address,
        );
        context.executor.spawn(poll).detach();
    }
}

async fn poll_one(
    context: Rc<ThreadContext>,
    endpoint: EndpointName,
    address: std::net::SocketAddr,
) {
    let polled_at = context.now();
    let report = fetch_load(&context.connections, address, POLL_TIMEOUT).await;
    let polled = TrafficEvent::LoadPolled {
        size_bytes: POLL_SIZE_BYTES,
    };
    // If the channel is full, this poll is not counted.
    let _ = context.shared.events.try_send(polled);
    match report {
        Ok(_) => context.record_connection(address, true),
        Err(ErrorKind::ConnectFailed) => context.record_connection(address, false),
        // An endpoint that is silent for a time may still accept connections.
        Err(_) => context.connections.close_idle_to(address),
    }
    let Ok(report) = report else {
        return;
    };
    let load = ReportedLoad {
        may_be_stale: true,
        ..to_reported_load(report)
    };
    let load = AdmissionMessage::Load {
        endpoint: endpoint.clone(),
        load,
    };
    // The limit first, as the first report lets requests start.
    for message in rate_message(&context, &endpoint, polled_at, report)
        .into_iter()
        .chain([load])
    {
        // The channel is closed only when the daemon shuts down.
        let _ = context
            .shared
            .admission_channel(&endpoint)
            .try_send(message);
    }
}

/// Returns the message about the rate limit in a load report, if it states one.
///
/// A report may be late, so it lifts no limit.
fn rate_message(
    context: &ThreadContext,
    endpoint: &EndpointName,
    polled_at: MonotonicMs,
    report: LoadReport,
) -> Option<AdmissionMessage> {
    let rate = RatePerS(report.rate_limit_per_s?);
    if !rate.0.is_finite() || rate.0 < 0.0 {
        context.shared.metrics.traffic.rate_limits_malformed.inc();
        log_malformed_rate(endpoint, "load poll");
        return None;
    }
    Some(AdmissionMessage::Rate {
        endpoint: endpoint.clone(),
        statement: RateStatement {
            rate: Some(rate),
            sent_at: MonotonicMs(polled_at.0.saturating_sub(REPORT_AGE_MAX.0)),
            arrived_at: context.now(),
        },
    })
}

/// Converts a load report into the input of admission.
pub(crate) fn to_reported_load(report: LoadReport) -> ReportedLoad {
    ReportedLoad {
        in_flight: report.in_flight,
        queued: report.queued,
        is_cold: report.cold,
        bound: report.bound,
        may_be_stale: false,
    }
}
