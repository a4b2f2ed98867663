//! Checks a history against what must always hold.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use celeryknot_core::Execution;
use porcupine_rs::CheckResult;
use serde::Serialize;
use strum::{Display, EnumIter, IntoStaticStr};

use crate::booking::booking_operations;
use crate::history::{
    AskOutcome, BookingAnswer, BookingKey, HistoryEvent, RunMicros, SubmissionId,
};

/// Longest time that the linearizability checker may take for one history.
const CHECK_TIME_MAX: Duration = Duration::from_secs(30);

/// Longest time from the publication of a withdrawal to the last new work.
const WITHDRAWAL_LAG_MAX_US: i64 = 5_000_000;

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
    /// A caller was told `not-run` of a submission that was run.
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
    for event in events {
        if let HistoryEvent::Executed { key, booking, .. } = event {
            runs.entry(key).or_default().push(*booking);
        }
    }
    for (key, bookings) in runs.into_iter().filter(|(_, runs)| runs.len() > 1) {
        findings.push(Finding {
            fault: Fault::DoubledBooking,
            detail: format!("{key} was run as {bookings:?}"),
        });
    }
}

fn check_answers(events: &[HistoryEvent], findings: &mut Vec<Finding>) {
    let mut executed_submissions: BTreeSet<SubmissionId> = BTreeSet::new();
    let mut executed_bookings: BTreeSet<(&BookingKey, u64)> = BTreeSet::new();
    for event in events {
        if let HistoryEvent::Executed {
            submission,
            key,
            booking,
            ..
        } = event
        {
            executed_submissions.insert(*submission);
            executed_bookings.insert((key, *booking));
        }
    }
    for event in events {
        let HistoryEvent::Submitted {
            submission,
            key,
            answer,
            ..
        } = event
        else {
            continue;
        };
        match answer {
            BookingAnswer::Done { booking } if !executed_bookings.contains(&(key, *booking)) => {
                findings.push(Finding {
                    fault: Fault::LostBooking,
                    detail: format!("{key} was answered as {booking}, which no endpoint ran"),
                });
            }
            BookingAnswer::Refused {
                execution: Execution::NotRun,
                code,
            } if executed_submissions.contains(submission) => findings.push(Finding {
                fault: Fault::FalselyRefused,
                detail: format!("{key} was run, but refused as not-run with {code}"),
            }),
            BookingAnswer::Done { .. } | BookingAnswer::Refused { .. } => {}
        }
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
