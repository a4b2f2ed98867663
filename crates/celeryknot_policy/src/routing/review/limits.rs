//! Limits and objectives that contradict each other.

use celeryknot_core::DurationMs;

use super::{EntryRef, FieldRef, Finding, FindingCode, Place};
use crate::routing::{Configuration, RequestLimits, Route, Service};

pub(super) fn review_limits(configuration: &Configuration, findings: &mut Vec<Finding>) {
    for (index, route) in configuration.routes.iter().enumerate() {
        review_route(EntryRef::Route(index), route, findings);
    }
    for (index, service) in configuration.services.iter().enumerate() {
        review_service(EntryRef::Service(index), service, findings);
    }
    if let Some(limits) = &configuration.limits {
        review_request_limits(limits, findings);
    }
}

fn review_route(entry: EntryRef, route: &Route, findings: &mut Vec<Finding>) {
    let timeout_ms = route.timeout_ms;
    if timeout_ms == DurationMs(0) {
        // Every objective is above a timeout of zero; one finding is enough.
        findings.push(Finding::error(
            FindingCode::ZeroTimeout,
            Place::field(entry, FieldRef::Timeout),
            "the timeout is 0, so that every request times out at once",
        ));
    } else {
        if route.latency_objective_ms > timeout_ms {
            let objective_ms = route.latency_objective_ms;
            let finding = Finding::warning(
                FindingCode::ObjectiveAboveTimeout,
                Place::field(entry, FieldRef::LatencyObjective),
                format!("the latency objective {objective_ms} is above the timeout {timeout_ms}"),
            );
            findings.push(finding.with_other(Place::field(entry, FieldRef::Timeout)));
        }
        if let Some(objective_ms) = route.pause_objective_ms.filter(|it| *it > timeout_ms) {
            let finding = Finding::warning(
                FindingCode::PauseAboveTimeout,
                Place::field(entry, FieldRef::PauseObjective),
                format!("the pause objective {objective_ms} is above the timeout {timeout_ms}"),
            );
            findings.push(finding.with_other(Place::field(entry, FieldRef::Timeout)));
        }
    }
    if route.attempts_max == 0 {
        findings.push(Finding::error(
            FindingCode::ZeroAttempts,
            Place::field(entry, FieldRef::AttemptsMax),
            "no attempt is allowed; gateways make one all the same",
        ));
    }
}

fn review_service(entry: EntryRef, service: &Service, findings: &mut Vec<Finding>) {
    match (service.has_cold_start, service.cold_rate) {
        (false, Some(rate)) => findings.push(Finding::warning(
            FindingCode::ColdRateWithoutColdStart,
            Place::field(entry, FieldRef::ColdRate),
            format!("the rate for cold endpoints, {rate} a second, has no effect: the service has no cold start"),
        )),
        (true, None) => findings.push(Finding::warning(
            FindingCode::ColdStartWithoutColdRate,
            Place::field(entry, FieldRef::ColdStart),
            "the service has a cold start but no rate for cold endpoints, so that they get requests without a limit",
        )),
        (true, Some(rate)) if rate.0 <= 0.0 => findings.push(Finding::error(
            FindingCode::ZeroColdRate,
            Place::field(entry, FieldRef::ColdRate),
            format!("the rate for cold endpoints is {rate} a second; it must be above 0"),
        )),
        (true, Some(_)) | (false, None) => {}
    }
    // A maximum of 0 stands for one that isn't stated.
    let connections_max = Some(service.connections_max).filter(|it| *it > 0);
    if let (Some(engine), Some(connections_max)) = (service.engine, connections_max)
        && engine.slots > connections_max
    {
        let slots = engine.slots;
        findings.push(Finding::warning(
            FindingCode::SlotsAboveConnections,
            Place::field(entry, FieldRef::EngineSlots),
            format!("an engine has {slots} slots but at most {connections_max} connections"),
        ));
    }
}

fn review_request_limits(limits: &RequestLimits, findings: &mut Vec<Finding>) {
    let values = [
        (
            FieldRef::HeaderSizeMax,
            limits.header_size_max_bytes.0,
            "the maximum size of a header block is 0; gateways use a larger one",
        ),
        (
            FieldRef::HeaderTimeout,
            limits.header_timeout_ms.0,
            "the header timeout is 0",
        ),
        (
            FieldRef::IdleTimeout,
            limits.idle_timeout_ms.0,
            "the idle timeout is 0",
        ),
    ];
    let zeros = values.into_iter().filter(|(_, value, _)| *value == 0);
    let zeros = zeros.map(|(field, _, message)| {
        let place = Place::field(EntryRef::Limits, field);
        Finding::error(FindingCode::ZeroLimit, place, message)
    });
    findings.extend(zeros);
    let (header_ms, idle_ms) = (limits.header_timeout_ms, limits.idle_timeout_ms);
    if idle_ms > DurationMs(0) && header_ms > idle_ms {
        let finding = Finding::warning(
            FindingCode::HeaderTimeoutAboveIdle,
            Place::field(EntryRef::Limits, FieldRef::HeaderTimeout),
            format!("the header timeout {header_ms} is above the idle timeout {idle_ms}"),
        );
        let other = Place::field(EntryRef::Limits, FieldRef::IdleTimeout);
        findings.push(finding.with_other(other));
    }
}
