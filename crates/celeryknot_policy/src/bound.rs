//! The load bound: limits the requests in flight at one endpoint by the mean of its service.

use std::collections::VecDeque;

use celeryknot_core::{DurationMs, EndpointCondition, EndpointSummary, MonotonicMs};

/// The load of a service's endpoints, computed from summaries of a given age.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ServiceLoad {
    /// Number of endpoints that accept requests, regardless of their condition.
    pub endpoint_count: u32,
    /// Mean requests in flight at a warm or ramping endpoint, or at any endpoint if there is none.
    pub mean_in_flight: f64,
    /// Share by which the mean over all endpoints is lower than `mean_in_flight`, because some
    /// endpoints are cold or unhealthy.
    pub mean_shortfall_share: f64,
    /// Decrease of the mean in requests per second; 0 while it rises or if unknown.
    pub decline_per_s: f64,
    /// The age of the summaries.
    pub age_ms: DurationMs,
}

impl ServiceLoad {
    /// Averages over the endpoints that accept requests.
    ///
    /// The mean covers only the warm and ramping endpoints, if there are any; the effect of cold
    /// and unhealthy endpoints on the mean over all is returned separately.
    ///
    /// # Examples
    ///
    /// ```
    /// use celeryknot_core::{EndpointCondition, EndpointSummary};
    /// use celeryknot_policy::bound::ServiceLoad;
    ///
    /// let warm = EndpointSummary { in_flight: 4, condition: EndpointCondition::Warm, ..Default::default() };
    /// let cold = EndpointSummary { in_flight: 1, ..Default::default() };
    /// assert_eq!(ServiceLoad::from_summaries(&[warm, warm, cold]).mean_in_flight, 4.0);
    /// ```
    pub fn from_summaries<'a>(summaries: impl IntoIterator<Item = &'a EndpointSummary>) -> Self {
        let (mut warmed_up, mut all) = (LoadSum::default(), LoadSum::default());
        for summary in summaries {
            all.add(summary);
            match summary.condition {
                EndpointCondition::Warm | EndpointCondition::Ramping => warmed_up.add(summary),
                EndpointCondition::Cold | EndpointCondition::Unhealthy => {}
            }
        }
        if warmed_up.count == 0 {
            return all.mean();
        }
        let endpoint_count = all.count;
        let all_mean = all.mean().mean_in_flight;
        let load = warmed_up.mean();
        let shortfall = 1.0 - all_mean / load.mean_in_flight.max(all_mean).max(f64::MIN_POSITIVE);
        Self {
            endpoint_count,
            mean_shortfall_share: if all_mean > 0.0 { shortfall } else { 0.0 },
            ..load
        }
    }

    /// Sets the age of the summaries, from reading an endpoint's state to its use here.
    #[must_use]
    pub fn with_age_ms(mut self, age_ms: DurationMs) -> Self {
        self.age_ms = age_ms;
        self
    }
}

#[derive(Default)]
struct LoadSum {
    count: u32,
    in_flight: u64,
}

impl LoadSum {
    fn add(&mut self, summary: &EndpointSummary) {
        self.count += 1;
        self.in_flight += u64::from(summary.in_flight);
    }

    fn mean(self) -> ServiceLoad {
        let count = f64::from(self.count.max(1));
        ServiceLoad {
            endpoint_count: self.count,
            mean_in_flight: self.in_flight as f64 / count,
            mean_shortfall_share: 0.0,
            decline_per_s: 0.0,
            age_ms: SUMMARY_AGE_DEFAULT,
        }
    }
}

/// Computes the maximum load of one endpoint from the mean load of its service.
///
/// The mean is computed from stale summaries and may have fallen by the time the bound is used.
/// The bound therefore subtracts a margin in advance: the decrease expected if the trend of the
/// last second continues, and a few standard deviations of the arrivals and completions of
/// requests within the age of the summaries.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LoadBound {
    multiple: f64,
    request_duration_ms: f64,
}

/// Number of standard deviations subtracted from the mean.
const MARGIN_DEVIATIONS: f64 = 3.0;
/// Assumed time in flight of a request if none is set.
const REQUEST_DURATION_DEFAULT_MS: f64 = 1_000.0;
/// Time from reading an endpoint's state to its use in another owner's bound.
pub const SUMMARY_AGE_DEFAULT: DurationMs = DurationMs(500);

impl LoadBound {
    /// Builds a bound at a multiple of the mean; multiples below 1 count as 1.
    pub fn new(multiple: f64) -> Self {
        let multiple = if multiple.is_finite() {
            multiple.max(1.0)
        } else {
            1.0
        };
        Self {
            multiple,
            request_duration_ms: REQUEST_DURATION_DEFAULT_MS,
        }
    }

    /// Sets how long a request is in flight; longer requests make the mean change more slowly.
    #[must_use]
    pub fn with_request_duration_ms(mut self, request_duration_ms: DurationMs) -> Self {
        self.request_duration_ms = (request_duration_ms.0 as f64).max(1.0);
        self
    }

    /// Returns the maximum number of requests in flight at one endpoint.
    ///
    /// The result is at least one above the currently expected mean, because a bound at the mean
    /// would prevent any growth.
    ///
    /// # Examples
    ///
    /// ```
    /// use celeryknot_policy::bound::{LoadBound, ServiceLoad};
    ///
    /// let load = ServiceLoad { endpoint_count: 10, mean_in_flight: 8.0, ..Default::default() };
    /// assert_eq!(LoadBound::new(1.25).in_flight_max(&load), 11);
    /// ```
    pub fn in_flight_max(&self, load: &ServiceLoad) -> u32 {
        if load.endpoint_count < 2 {
            return u32::MAX;
        }
        let age_s = load.age_ms.0 as f64 / 1_000.0;
        let expected = (load.mean_in_flight - load.decline_per_s * age_s).max(0.0);
        let low_estimate = (expected - MARGIN_DEVIATIONS * self.deviation(load)).max(0.0);
        // If many endpoints are cold or unhealthy, the others must still carry the load.
        let multiple = (self.multiple * (1.0 - load.mean_shortfall_share)).max(1.0);
        let bound = (multiple * low_estimate + 1.0).max(expected + 1.0);
        bound.floor() as u32
    }

    /// Returns the standard deviation of the mean's change within the age of the summaries.
    ///
    /// Models arrivals and completions as a Poisson process each.
    fn deviation(&self, load: &ServiceLoad) -> f64 {
        let turnover = load.mean_in_flight * load.age_ms.0 as f64 / self.request_duration_ms;
        (2.0 * turnover / f64::from(load.endpoint_count)).sqrt()
    }
}

/// Minimum time between two stored means.
const TREND_SAMPLE_INTERVAL_MS: u64 = 100;
/// Time over which the decrease of the mean is measured.
const TREND_WINDOW_MS: u64 = 1_000;

/// Measures how fast the mean decreases.
#[derive(Debug, Clone, Default)]
pub struct MeanTrend {
    samples: VecDeque<(MonotonicMs, f64)>,
}

impl MeanTrend {
    /// Records a mean and returns its decrease in requests per second; 0 while it rises.
    pub fn observe(&mut self, now: MonotonicMs, mean_in_flight: f64) -> f64 {
        while self.samples.len() > 1 && (now - self.samples[1].0).0 >= TREND_WINDOW_MS {
            self.samples.pop_front();
        }
        let is_due = self
            .samples
            .back()
            .is_none_or(|(latest, _)| (now - *latest).0 >= TREND_SAMPLE_INTERVAL_MS);
        if is_due {
            self.samples.push_back((now, mean_in_flight));
        }
        let Some((since, first)) = self.samples.front() else {
            return 0.0;
        };
        let elapsed_ms = (now - *since).0.max(TREND_WINDOW_MS / 4) as f64;
        ((first - mean_in_flight) * 1_000.0 / elapsed_ms).max(0.0)
    }
}
