//! Outcomes of a load as its callers observed them.

use std::collections::BTreeMap;
use std::time::Duration;

use celeryknot_core::Execution;
use hdrhistogram::Histogram;
use serde::Serialize;
use strum::{Display, IntoStaticStr};

use crate::caller::{Completed, Outcome, Refused};
use crate::wire::BookingRequest;

/// The outcome of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Display, IntoStaticStr)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum OutcomeKind {
    /// The call got the complete, correct response.
    Completed,
    /// The call was refused with the execution `not-run`.
    Refused,
    /// The response is incomplete, but ended like a complete one.
    Truncated,
    /// The response belongs to another request.
    CrossDelivered,
    /// The call got neither a complete response nor a refusal with `not-run`.
    Lost,
}

/// The measurement of one call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct Sample {
    /// Planned start of the call, from the start of the run.
    pub at_ms: u64,
    /// The index of the customer.
    pub customer: usize,
    /// Whether the call was a chat request.
    pub is_chat: bool,
    /// The outcome of the call.
    pub end: OutcomeKind,
    /// Time from the planned start to the first token.
    pub first_token_ms: Option<u64>,
    /// Time from the planned start to the end of the call.
    pub whole_ms: u64,
}

/// The outcome of a booking.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct BookingOutcome {
    /// The booking.
    pub request: BookingRequest,
    /// The outcome of the call.
    pub end: OutcomeKind,
    /// The execution that the last refusal reports.
    pub execution: Option<Execution>,
}

/// Counts and measurements of a load.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct LoadReport {
    /// Calls made.
    pub requests: u64,
    /// Calls that got the complete response.
    pub completed: u64,
    /// Calls refused with the execution `not-run`.
    pub refused: u64,
    /// Calls with neither a complete response nor a refusal with `not-run`.
    pub lost: u64,
    /// Incomplete responses that ended like complete ones.
    pub truncated: u64,
    /// Responses that belong to another request.
    pub cross_delivered: u64,
    /// Prompt tokens of completed calls.
    pub prompt_tokens: u64,
    /// Prompt tokens of completed calls that were found in a cache.
    pub cached_tokens: u64,
    /// Refusals by code.
    pub refused_by_code: BTreeMap<String, u64>,
    /// Lost calls by the last error.
    pub lost_by_reason: BTreeMap<String, u64>,
    /// The measurements of all calls.
    #[serde(skip)]
    pub samples: Vec<Sample>,
    /// The outcomes of all bookings.
    #[serde(skip)]
    pub bookings: Vec<BookingOutcome>,
}

impl LoadReport {
    pub(super) fn count(&mut self, mut sample: Sample, refused: Option<&Refused>) {
        if let Some(refused) = refused {
            let code = if refused.code.is_empty() {
                format!("status-{}", refused.status)
            } else {
                refused.code.clone()
            };
            let is_not_run = refused.execution == Some(Execution::NotRun);
            sample.end = if is_not_run {
                OutcomeKind::Refused
            } else {
                OutcomeKind::Lost
            };
            let counts = if is_not_run {
                &mut self.refused_by_code
            } else {
                &mut self.lost_by_reason
            };
            *counts.entry(code).or_default() += 1;
        }
        self.requests += 1;
        match sample.end {
            OutcomeKind::Completed => self.completed += 1,
            OutcomeKind::Refused => self.refused += 1,
            OutcomeKind::Truncated => self.truncated += 1,
            OutcomeKind::CrossDelivered => self.cross_delivered += 1,
            OutcomeKind::Lost => self.lost += 1,
        }
        self.samples.push(sample);
    }

    pub(super) fn count_tokens(&mut self, completed: &Completed) {
        self.prompt_tokens += u64::from(completed.usage.prompt_tokens);
        self.cached_tokens += u64::from(completed.usage.cached_tokens);
    }

    pub(super) fn count_reason(&mut self, reason: &str) {
        *self.lost_by_reason.entry(reason.to_owned()).or_default() += 1;
    }

    /// Returns the share of prompt tokens that were found in a cache.
    pub fn reuse_ratio(&self) -> f64 {
        self.cached_tokens as f64 / (self.prompt_tokens as f64).max(1.0)
    }

    /// Returns a quantile of the first-token latency from the planned start, for filtered chats.
    ///
    /// # Examples
    ///
    /// ```
    /// use celeryknot_standins::LoadReport;
    ///
    /// let report = LoadReport::default();
    /// assert_eq!(report.first_token_ms(0.95, |_| true), None);
    /// ```
    pub fn first_token_ms(&self, quantile: f64, keep: impl Fn(&Sample) -> bool) -> Option<f64> {
        let mut times: Vec<u64> = self
            .samples
            .iter()
            .filter(|sample| sample.is_chat && keep(sample))
            .filter_map(|sample| sample.first_token_ms)
            .collect();
        times.sort_unstable();
        let rank = (times.len() as f64 * quantile).ceil() as usize;
        times
            .get(rank.saturating_sub(1))
            .map(|time_ms| *time_ms as f64)
    }

    /// Returns the histogram of the time from the planned start to the complete response.
    pub fn histogram_ms(&self) -> Histogram<u64> {
        let mut histogram = Histogram::<u64>::new(3).expect("three significant digits are allowed");
        for sample in &self.samples {
            if sample.end == OutcomeKind::Completed {
                histogram.saturating_record(sample.whole_ms);
            }
        }
        histogram
    }
}

/// Splits an outcome into its kind, its refusal and the reason of a loss.
pub(super) fn classify_outcome<T>(
    outcome: &Outcome<T>,
) -> (OutcomeKind, Option<&Refused>, Option<&str>) {
    match outcome {
        Outcome::Completed(_) => (OutcomeKind::Completed, None, None),
        Outcome::Refused(refused) => (OutcomeKind::Refused, Some(refused), None),
        Outcome::Truncated => (OutcomeKind::Truncated, None, None),
        Outcome::CrossDelivered => (OutcomeKind::CrossDelivered, None, None),
        Outcome::Aborted => (OutcomeKind::Lost, None, Some("the answer was cut off")),
        Outcome::Lost(reason) => (OutcomeKind::Lost, None, Some(reason)),
    }
}

pub(super) fn as_ms(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
