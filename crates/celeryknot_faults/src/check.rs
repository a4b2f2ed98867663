//! Checks a history against the guarantees that hold in every run.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use celeryknot_core::Execution;
use porcupine_rs::CheckResult;
use serde::Serialize;
use strum::{Display, EnumIter, IntoStaticStr};

use crate::booking::booking_operations;
use crate::history::{BookingKey, BookingOutcome, HistoryEvent, RequestOutcome, RunMicros};

/// Time limit of the linearizability checker for one history.
const CHECK_TIMEOUT: Duration = Duration::from_secs(30);

/// Time after the publication of a withdrawal in which an endpoint may still receive requests.
const WITHDRAWAL_LAG_MAX_US: i64 = 2_000_000;

/// The kinds of violated guarantee.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Display,
    EnumIter,
    IntoStaticStr,
    Serialize,
)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum Violation {
    /// A booking was run more than once.
    DoubledBooking,
    /// All submissions of a booking were refused as `not-run`, but it was run.
    FalselyRefused,
    /// A caller received a confirmation of a booking that no endpoint ran.
    LostBooking,
    /// No sequential order of the operations on one key explains all responses.
    NotLinearizable,
    /// An incomplete response ended without an error.
    Truncated,
    /// A caller received the response to another request.
    CrossDelivered,
    /// A withdrawn endpoint received new requests.
    WorkAfterWithdrawal,
}

/// One violation of a guarantee.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Finding {
    /// The kind of violation.
    pub fault: Violation,
    /// What was observed.
    pub detail: String,
}

/// Returns all violations in a history; empty if every guarantee holds.
///
/// # Examples
///
/// ```
/// use celeryknot_faults::check::check_history;
///
/// assert!(check_history(&[]).is_empty());
/// ```
pub fn check_history(events: &[HistoryEvent]) -> Vec<Finding> {
    let mut findings = Vec::new();
    check_executions(events, &mut findings);
    check_outcomes(events, &mut findings);
    check_linearizability(events, &mut findings);
    check_requests(events, &mut findings);
    check_withdrawals(events, &mut findings);
    findings
}

fn check_executions(events: &[HistoryEvent], findings: &mut Vec<Finding>) {
    let mut bookings_by_key: BTreeMap<&BookingKey, Vec<u64>> = BTreeMap::new();
    for (key, booking) in events.iter().filter_map(execution) {
        bookings_by_key.entry(key).or_default().push(booking);
    }
    for (key, bookings) in bookings_by_key
        .into_iter()
        .filter(|(_, bookings)| bookings.len() > 1)
    {
        findings.push(Finding {
            fault: Violation::DoubledBooking,
            detail: format!("{key} was run as {bookings:?}"),
        });
    }
}

fn check_outcomes(events: &[HistoryEvent], findings: &mut Vec<Finding>) {
    let executed: BTreeSet<(&BookingKey, u64)> = events.iter().filter_map(execution).collect();
    let executed_keys: BTreeSet<&BookingKey> = executed.iter().map(|(key, _)| *key).collect();
    let mut submitted_keys: BTreeMap<&BookingKey, bool> = BTreeMap::new();
    for event in events {
        let HistoryEvent::Submitted { key, outcome, .. } = event else {
            continue;
        };
        let is_not_run = is_refused_as_not_run(outcome);
        submitted_keys
            .entry(key)
            .and_modify(|all_not_run| *all_not_run &= is_not_run)
            .or_insert(is_not_run);
        if let BookingOutcome::Done { booking } = outcome
            && !executed.contains(&(key, *booking))
        {
            findings.push(Finding {
                fault: Violation::LostBooking,
                detail: format!("{key} was answered as {booking}, which no endpoint ran"),
            });
        }
    }
    for (key, all_not_run) in submitted_keys {
        if all_not_run && executed_keys.contains(key) {
            findings.push(Finding {
                fault: Violation::FalselyRefused,
                detail: format!("{key} was run, but every submission was refused as not-run"),
            });
        }
    }
}

fn execution(event: &HistoryEvent) -> Option<(&BookingKey, u64)> {
    match event {
        HistoryEvent::Executed { key, booking, .. } => Some((key, *booking)),
        HistoryEvent::Submitted { .. }
        | HistoryEvent::Requested { .. }
        | HistoryEvent::WorkStarted { .. }
        | HistoryEvent::Withdrawn { .. } => None,
    }
}

fn is_refused_as_not_run(outcome: &BookingOutcome) -> bool {
    match outcome {
        BookingOutcome::Done { .. } => false,
        BookingOutcome::Refused { execution, .. } => *execution == Execution::NotRun,
    }
}

fn check_linearizability(events: &[HistoryEvent], findings: &mut Vec<Finding>) {
    let operations = booking_operations(events);
    let verdict = porcupine_rs::check_operations_timeout(&operations, CHECK_TIMEOUT);
    if verdict != CheckResult::Ok {
        findings.push(Finding {
            fault: Violation::NotLinearizable,
            detail: format!("{} operations: {verdict:?}", operations.len()),
        });
    }
}

fn check_requests(events: &[HistoryEvent], findings: &mut Vec<Finding>) {
    for event in events {
        let HistoryEvent::Requested { request, outcome } = event else {
            continue;
        };
        let violation = match outcome {
            RequestOutcome::Complete | RequestOutcome::Refused => continue,
            RequestOutcome::Truncated => Violation::Truncated,
            RequestOutcome::CrossDelivered => Violation::CrossDelivered,
        };
        findings.push(Finding {
            fault: violation,
            detail: request.clone(),
        });
    }
}

fn check_withdrawals(events: &[HistoryEvent], findings: &mut Vec<Finding>) {
    for event in events {
        let HistoryEvent::Withdrawn {
            endpoint,
            from,
            until,
        } = event
        else {
            continue;
        };
        let late_from = RunMicros(from.0 + WITHDRAWAL_LAG_MAX_US);
        let late = events.iter().filter(|event| {
            matches!(event, HistoryEvent::WorkStarted { endpoint: name, at }
                if name == endpoint && *at > late_from && at < until)
        });
        let late_count = late.count();
        if late_count > 0 {
            findings.push(Finding {
                fault: Violation::WorkAfterWithdrawal,
                detail: format!("{endpoint} got {late_count} requests after its withdrawal"),
            });
        }
    }
}
