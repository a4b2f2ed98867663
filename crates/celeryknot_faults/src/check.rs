//! Checks a history against what must always hold.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use celeryknot_core::Execution;
use porcupine_rs::CheckResult;
use serde::Serialize;
use strum::{Display, EnumIter, IntoStaticStr};

use crate::booking::booking_operations;
use crate::history::{AskOutcome, BookingAnswer, BookingKey, HistoryEvent, RunMicros};

/// Longest time that the linearizability checker may take for one history.
const CHECK_TIME_MAX: Duration = Duration::from_secs(30);

/// Longest time from the publication of a withdrawal to the last new work.
const WITHDRAWAL_LAG_MAX_US: i64 = 2_000_000;

/// The kinds of broken promise.
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
pub enum Fault {
    /// A booking was run more than once.
    DoubledBooking,
    /// Callers were told `not-run` of a booking that was run.
    FalselyRefused,
    /// A caller was told of a booking that no endpoint ran.
    LostBooking,
    /// The bookings of one key have no order that explains all answers.
    NotLinearizable,
    /// An incomplete answer was passed off as whole.
    Truncated,
    /// A caller got the answer to another request.
    CrossDelivered,
    /// A withdrawn endpoint got new work.
    WorkAfterWithdrawal,
}

/// One broken promise.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Finding {
    /// What kind it is.
    pub fault: Fault,
    /// What was seen.
    pub detail: String,
}

/// Returns all that a history breaks; empty where everything holds.
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
    check_answers(events, &mut findings);
    check_order(events, &mut findings);
    check_asks(events, &mut findings);
    check_withdrawals(events, &mut findings);
    findings
}

fn check_executions(events: &[HistoryEvent], findings: &mut Vec<Finding>) {
    let mut runs: BTreeMap<&BookingKey, Vec<u64>> = BTreeMap::new();
    for (key, booking) in events.iter().filter_map(execution) {
        runs.entry(key).or_default().push(booking);
    }
    for (key, bookings) in runs.into_iter().filter(|(_, runs)| runs.len() > 1) {
        findings.push(Finding {
            fault: Fault::DoubledBooking,
            detail: format!("{key} was run as {bookings:?}"),
        });
    }
}

fn check_answers(events: &[HistoryEvent], findings: &mut Vec<Finding>) {
    let executed: BTreeSet<(&BookingKey, u64)> = events.iter().filter_map(execution).collect();
    let executed_keys: BTreeSet<&BookingKey> = executed.iter().map(|(key, _)| *key).collect();
    let mut refused_keys: BTreeMap<&BookingKey, bool> = BTreeMap::new();
    for event in events {
        let HistoryEvent::Submitted { key, answer, .. } = event else {
            continue;
        };
        let is_not_run = is_not_run(answer);
        refused_keys
            .entry(key)
            .and_modify(|all_not_run| *all_not_run &= is_not_run)
            .or_insert(is_not_run);
        if let BookingAnswer::Done { booking } = answer
            && !executed.contains(&(key, *booking))
        {
            findings.push(Finding {
                fault: Fault::LostBooking,
                detail: format!("{key} was answered as {booking}, which no endpoint ran"),
            });
        }
    }
    for (key, all_not_run) in refused_keys {
        if all_not_run && executed_keys.contains(key) {
            findings.push(Finding {
                fault: Fault::FalselyRefused,
                detail: format!("{key} was run, but every submission was refused as not-run"),
            });
        }
    }
}

fn execution(event: &HistoryEvent) -> Option<(&BookingKey, u64)> {
    match event {
        HistoryEvent::Executed { key, booking, .. } => Some((key, *booking)),
        HistoryEvent::Submitted { .. }
        | HistoryEvent::Asked { .. }
        | HistoryEvent::WorkStarted { .. }
        | HistoryEvent::Withdrawn { .. } => None,
    }
}

fn is_not_run(answer: &BookingAnswer) -> bool {
    match answer {
        BookingAnswer::Done { .. } => false,
        BookingAnswer::Refused { execution, .. } => *execution == Execution::NotRun,
    }
}

fn check_order(events: &[HistoryEvent], findings: &mut Vec<Finding>) {
    let operations = booking_operations(events);
    let verdict = porcupine_rs::check_operations_timeout(&operations, CHECK_TIME_MAX);
    if verdict != CheckResult::Ok {
        findings.push(Finding {
            fault: Fault::NotLinearizable,
            detail: format!("{} operations: {verdict:?}", operations.len()),
        });
    }
}

fn check_asks(events: &[HistoryEvent], findings: &mut Vec<Finding>) {
    for event in events {
        let HistoryEvent::Asked { request, outcome } = event else {
            continue;
        };
        let fault = match outcome {
            AskOutcome::Whole | AskOutcome::Refused => continue,
            AskOutcome::Truncated => Fault::Truncated,
            AskOutcome::CrossDelivered => Fault::CrossDelivered,
        };
        findings.push(Finding {
            fault,
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
                fault: Fault::WorkAfterWithdrawal,
                detail: format!("{endpoint} got {late_count} requests after its withdrawal"),
            });
        }
    }
}
