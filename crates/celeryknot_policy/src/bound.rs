//! The load bound: the most requests that one endpoint may carry, from the mean of its service.

use std::collections::VecDeque;

use celeryknot_core::{DurationMs, EndpointCondition, EndpointSummary, MonotonicMs};

/// The load of a service over its endpoints, as old as the summaries it was made from.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ServiceLoad {
    /// Endpoints that take new work, whatever their condition.
    pub endpoint_count: u32,
    /// Mean requests in flight at such an endpoint.
    pub mean_in_flight: f64,
    /// By how much less, as a share, the mean over all endpoints is, since some are held down by
    /// their own condition.
    pub held_down_share: f64,
    /// How fast the mean falls, in requests a second; 0 while it rises or where unknown.
    pub fall_per_s: f64,
    /// How old the summaries are.
    pub age_ms: DurationMs,
}

impl ServiceLoad {
    /// Averages over the endpoints that take new work.
    ///
    /// The mean is that of the warm endpoints, if there are any; what endpoints that are held
    /// down by their own condition miss is given apart.
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
        let (mut able, mut all) = (Sum::default(), Sum::default());
        for summary in summaries {
            all.add(summary);
            match summary.condition {
                EndpointCondition::Warm | EndpointCondition::Ramping => able.add(summary),
                EndpointCondition::Cold | EndpointCondition::Sick => {}
            }
        }
        if able.count == 0 {
            return all.mean();
        }
        let endpoint_count = all.count;
        let all_mean = all.mean().mean_in_flight;
        let load = able.mean();
        let held_down = 1.0 - all_mean / load.mean_in_flight.max(all_mean).max(f64::MIN_POSITIVE);
        Self {
            endpoint_count,
            held_down_share: if all_mean > 0.0 { held_down } else { 0.0 },
            ..load
        }
    }

    /// Sets how old the summaries are, from the state of an endpoint to its use here.
    #[must_use]
    pub fn with_age_ms(mut self, age_ms: DurationMs) -> Self {
        self.age_ms = age_ms;
        self
    }
}

#[derive(Default)]
struct Sum {
    count: u32,
    in_flight: u64,
}

impl Sum {
    fn add(&mut self, summary: &EndpointSummary) {
        self.count += 1;
        self.in_flight += u64::from(summary.in_flight);
    }

    fn mean(self) -> ServiceLoad {
        let count = f64::from(self.count.max(1));
        ServiceLoad {
            endpoint_count: self.count,
            mean_in_flight: self.in_flight as f64 / count,
            held_down_share: 0.0,
            fall_per_s: 0.0,
            age_ms: SUMMARY_AGE_DEFAULT_MS,
        }
    }
}

/// The rule from the mean of a service to the most load of one endpoint.
///
/// The summaries that the mean is made from are old, so that the mean may have fallen by the
/// time the bound is used. What that can add is taken off in advance: the fall that goes on as
/// it did in the last second, and a few standard deviations of the arrivals and ends of
/// requests within the age of the summaries.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LoadBound {
    multiple: f64,
    service_ms: f64,
}

/// Standard deviations of the mean that are taken off.
const DEVIATIONS: f64 = 3.0;
/// Time that a request is in flight where nothing is known.
const SERVICE_DEFAULT_MS: f64 = 1_000.0;
/// Time from the state of an endpoint to its use in another owner's bound.
pub const SUMMARY_AGE_DEFAULT_MS: DurationMs = DurationMs(500);

impl LoadBound {
    /// Builds the rule for a multiple of the mean; multiples below 1 count as 1.
    pub fn new(multiple: f64) -> Self {
        let multiple = if multiple.is_finite() {
            multiple.max(1.0)
        } else {
            1.0
        };
        Self {
            multiple,
            service_ms: SERVICE_DEFAULT_MS,
        }
    }

    /// Sets how long a request is in flight; the longer, the slower the mean changes.
    #[must_use]
    pub fn with_service_ms(mut self, service_ms: DurationMs) -> Self {
        self.service_ms = (service_ms.0 as f64).max(1.0);
        self
    }

    /// Returns the most requests in flight at one endpoint.
    ///
    /// It is never below one more than the mean that is expected now, since a bound at the mean
    /// would stop all growth.
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
        let expected = (load.mean_in_flight - load.fall_per_s * age_s).max(0.0);
        let low = (expected - DEVIATIONS * self.deviation(load)).max(0.0);
        // Where many are held down, the others must still carry the load.
        let multiple = (self.multiple * (1.0 - load.held_down_share)).max(1.0);
        let bound = (multiple * low + 1.0).max(expected + 1.0);
        bound.floor() as u32
    }

    /// The standard deviation of the mean's change within the age of the summaries.
    ///
    /// Arrivals and ends are each taken as a Poisson process.
    fn deviation(&self, load: &ServiceLoad) -> f64 {
        let turned_over = load.mean_in_flight * load.age_ms.0 as f64 / self.service_ms;
        (2.0 * turned_over / f64::from(load.endpoint_count)).sqrt()
    }
}

/// Least time between two means that are held.
const TREND_STEP_MS: u64 = 100;
/// Time over which a fall of the mean is measured.
const TREND_MS: u64 = 1_000;

/// Measures how fast the mean falls.
#[derive(Debug, Clone, Default)]
pub struct MeanTrend {
    seen: VecDeque<(MonotonicMs, f64)>,
}

impl MeanTrend {
    /// Takes in a mean and returns how fast it falls, in requests a second; 0 while it rises.
    pub fn observe(&mut self, now: MonotonicMs, mean_in_flight: f64) -> f64 {
        while self.seen.len() > 1 && (now - self.seen[1].0).0 >= TREND_MS {
            self.seen.pop_front();
        }
        let is_due = self
            .seen
            .back()
            .is_none_or(|(at, _)| (now - *at).0 >= TREND_STEP_MS);
        if is_due {
            self.seen.push_back((now, mean_in_flight));
        }
        let Some((since, first)) = self.seen.front() else {
            return 0.0;
        };
        let elapsed_ms = (now - *since).0.max(TREND_MS / 4) as f64;
        ((first - mean_in_flight) * 1_000.0 / elapsed_ms).max(0.0)
    }
}
