//! What callers saw during a run.

use std::collections::BTreeMap;
use std::time::Duration;

use celeryknot_core::Execution;
use hdrhistogram::Histogram;
use serde::Serialize;
use strum::{Display, IntoStaticStr};

use crate::caller::{Completed, Outcome, Refused};
use crate::wire::BookingRequest;

/// How a call ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Display, IntoStaticStr)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum EndKind {
    /// The whole, right answer came.
    Completed,
    /// A refusal said that the call was not run.
    Refused,
    /// The answer was passed off as whole, but is not.
    Truncated,
    /// The answer belongs to another request.
    CrossDelivered,
    /// Neither a whole answer nor a refusal that says `not-run` came, or the answer was cut off.
    Lost,
}

/// One call as its caller saw it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct Sample {
    /// When the call was to start, from the start of the run.
    pub at_ms: u64,
    /// The index of the customer.
    pub customer: usize,
    /// Whether it was a request of a chat.
    pub is_chat: bool,
    /// How the call ended.
    pub end: EndKind,
    /// The time from when the call was to start to the first token.
    pub first_token_ms: Option<u64>,
    /// The time from when the call was to start to the end.
    pub whole_ms: u64,
}

/// How a booking ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct BookingEnd {
    /// What was booked.
    pub request: BookingRequest,
    /// How the call ended.
    pub end: EndKind,
    /// Whether the last refusal says that the booking was run.
    pub execution: Option<Execution>,
}

/// What callers saw during a run.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct LoadReport {
    /// Calls started.
    pub requests: u64,
    /// Calls that got the whole answer.
    pub completed: u64,
    /// Calls refused as not run.
    pub refused: u64,
    /// Calls with neither a whole answer nor a refusal that says `not-run`.
    pub lost: u64,
    /// Answers that were passed off as whole, but are not.
    pub truncated: u64,
    /// Answers that belong to another request.
    pub cross_delivered: u64,
    /// Prompt tokens of whole answers.
    pub prompt_tokens: u64,
    /// Prompt tokens of whole answers that were found in a cache.
    pub cached_tokens: u64,
    /// Refusals by code.
    pub refused_by_code: BTreeMap<String, u64>,
    /// Lost calls by what was seen last.
    pub lost_by_reason: BTreeMap<String, u64>,
    /// The calls.
    #[serde(skip)]
    pub samples: Vec<Sample>,
    /// The bookings.
    #[serde(skip)]
    pub bookings: Vec<BookingEnd>,
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
                EndKind::Refused
            } else {
                EndKind::Lost
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
            EndKind::Completed => self.completed += 1,
            EndKind::Refused => self.refused += 1,
            EndKind::Truncated => self.truncated += 1,
            EndKind::CrossDelivered => self.cross_delivered += 1,
            EndKind::Lost => self.lost += 1,
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

    /// Returns the cached part of all prompt tokens.
    pub fn reuse_ratio(&self) -> f64 {
        self.cached_tokens as f64 / (self.prompt_tokens as f64).max(1.0)
    }

    /// Returns the latency from the intended start, of the calls that the filter lets through.
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
        let place = (times.len() as f64 * quantile).ceil() as usize;
        times
            .get(place.saturating_sub(1))
            .map(|time_ms| *time_ms as f64)
    }

    /// Returns the histogram of the time to the whole answer, from the intended start.
    pub fn histogram_ms(&self) -> Histogram<u64> {
        let mut histogram = Histogram::<u64>::new(3).expect("three significant digits are allowed");
        for sample in &self.samples {
            if sample.end == EndKind::Completed {
                histogram.saturating_record(sample.whole_ms);
            }
        }
        histogram
    }
}

/// Splits an outcome into its end, the refusal and the reason.
pub(super) fn classify_outcome<T>(
    outcome: &Outcome<T>,
) -> (EndKind, Option<&Refused>, Option<&str>) {
    match outcome {
        Outcome::Completed(_) => (EndKind::Completed, None, None),
        Outcome::Refused(refused) => (EndKind::Refused, Some(refused), None),
        Outcome::Truncated => (EndKind::Truncated, None, None),
        Outcome::CrossDelivered => (EndKind::CrossDelivered, None, None),
        Outcome::Aborted => (EndKind::Lost, None, Some("the answer was cut off")),
        Outcome::Lost(reason) => (EndKind::Lost, None, Some(reason)),
    }
}

pub(super) fn as_ms(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
