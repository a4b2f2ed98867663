//! How long work takes at each endpoint of a service, smoothed, from what endpoints report.
//!
//! Reports fluctuate many times a second and reach all daemons. If daemons followed each of them,
//! all would choose the same endpoint until the next one.

use celeryknot_core::{DurationMs, EndpointPace, MonotonicMs};

/// Time constant of the smoothing, and of the return to the mean without reports.
const TIME_CONSTANT: DurationMs = DurationMs(1_000);

/// Maximum factor by which a single report changes the pace of an endpoint.
///
/// Where reports are rare, the time constant alone lets a single one count almost in full. With 1.25,
/// the pace of a slow endpoint, which reports rarely, rises too late (docs/design/endpoint-pace.md).
const CHANGE_RATIO_MAX: f64 = 1.5;

/// Age of the last report from which on the pace returns towards the mean.
const FRESH_AGE_MAX: DurationMs = DurationMs(3_000);

/// Age of the last report from which on it has no effect.
///
/// Longer than the gaps between the answers of an endpoint with little load.
const REPORT_AGE_MAX: DurationMs = DurationMs(10_000);

/// Multiple of the service's mean pace from which on an endpoint counts as slow.
///
/// Reports that fluctuate by 50 per cent remain below it once they are smoothed.
const SLOW_RATIO: f64 = 1.5;

/// Shortest time without an answer after which a request may leave a slow endpoint.
const SLOW_SILENCE_MIN: DurationMs = DurationMs(150);

/// Multiple of the usual time for endpoints that report none.
const USUAL_FACTOR: f64 = 1.0;

/// A multiple of the usual time, and when it was last reported.
#[derive(Debug, Clone, Copy)]
struct Reported {
    factor: f64,
    at: MonotonicMs,
}

impl Reported {
    /// Returns the factor, which returns to `rest` where there are no further reports.
    fn factor(&self, now: MonotonicMs, rest: f64) -> f64 {
        let age = now - self.at;
        if age <= FRESH_AGE_MAX {
            return self.factor;
        }
        if age > REPORT_AGE_MAX {
            return rest;
        }
        let stale_ms = age.0.saturating_sub(FRESH_AGE_MAX.0);
        let weight = (-(stale_ms as f64) / TIME_CONSTANT.0 as f64).exp();
        rest + (self.factor - rest) * weight
    }
}

/// The mean pace of a service's endpoints.
#[derive(Debug, Clone, Copy, Default)]
pub struct ServicePace(Option<Reported>);

impl ServicePace {
    /// Returns the mean over the endpoints that reported their pace lately; the usual one if none
    /// did.
    ///
    /// # Examples
    ///
    /// ```
    /// use celeryknot_core::{EndpointPace, MonotonicMs};
    /// use celeryknot_policy::direct::pace::{PaceEstimate, ServicePace};
    ///
    /// let now = MonotonicMs(1_000);
    /// let mut slow = PaceEstimate::default();
    /// slow.observe(now, EndpointPace::from_factor(1.2));
    /// let mean = ServicePace::mean_of(now, [slow, PaceEstimate::default()].iter());
    /// assert_eq!(mean.factor(now), 1.2);
    /// ```
    pub fn mean_of<'a>(
        now: MonotonicMs,
        estimates: impl Iterator<Item = &'a PaceEstimate>,
    ) -> Self {
        let reported = estimates.filter_map(|estimate| estimate.own);
        let fresh = reported.filter(|own| now - own.at <= FRESH_AGE_MAX);
        let (mut sum, mut count, mut at) = (0.0, 0, MonotonicMs(0));
        for own in fresh {
            sum += own.factor;
            count += 1;
            at = at.max(own.at);
        }
        Self((count > 0).then(|| Reported {
            factor: sum / f64::from(count),
            at,
        }))
    }

    /// Returns the multiple of the usual time.
    pub fn factor(&self, now: MonotonicMs) -> f64 {
        self.0
            .map_or(USUAL_FACTOR, |mean| mean.factor(now, USUAL_FACTOR))
    }

    fn is_reported(&self, now: MonotonicMs) -> bool {
        self.0.is_some_and(|mean| now - mean.at <= REPORT_AGE_MAX)
    }
}

/// The smoothed pace of one endpoint, beside the mean of its service.
///
/// # Examples
///
/// ```
/// use celeryknot_core::{EndpointPace, MonotonicMs};
/// use celeryknot_policy::direct::pace::PaceEstimate;
///
/// let mut estimate = PaceEstimate::default();
/// estimate.observe(MonotonicMs(0), EndpointPace::MAX);
/// assert_eq!(estimate.factor(MonotonicMs(0)), 1.5, "one report counts little");
/// for at_ms in (100..5_000).step_by(100) {
///     estimate.observe(MonotonicMs(at_ms), EndpointPace::from_factor(4.0));
/// }
/// assert!(estimate.factor(MonotonicMs(5_000)) > 3.5);
/// assert_eq!(estimate.factor(MonotonicMs(60_000)), 1.0, "no reports since");
/// ```
#[derive(Debug, Clone, Copy, Default)]
pub struct PaceEstimate {
    own: Option<Reported>,
    service: ServicePace,
}

impl PaceEstimate {
    /// Applies a report of the endpoint, to this daemon or a peer, unless a later one was applied.
    pub fn observe(&mut self, at: MonotonicMs, pace: EndpointPace) {
        if self.own.is_some_and(|own| at <= own.at) {
            return;
        }
        let factor = self.factor(at);
        let weight = self.own.map_or(1.0, |own| {
            1.0 - (-((at - own.at).0 as f64) / TIME_CONSTANT.0 as f64).exp()
        });
        let smoothed = factor + (pace.factor() - factor) * weight;
        self.own = Some(Reported {
            factor: smoothed.clamp(factor / CHANGE_RATIO_MAX, factor * CHANGE_RATIO_MAX),
            at,
        });
    }

    /// Sets the mean that the pace returns to without reports.
    pub fn set_service(&mut self, service: ServicePace) {
        self.service = service;
    }

    /// Returns the multiple of the usual time that work is expected to take.
    pub fn factor(&self, now: MonotonicMs) -> f64 {
        let rest = self.service.factor(now);
        self.own.map_or(rest, |own| own.factor(now, rest))
    }

    /// Returns whether the endpoint reported its pace lately enough for it to have an effect.
    pub fn is_reported(&self, now: MonotonicMs) -> bool {
        self.own.is_some_and(|own| now - own.at <= REPORT_AGE_MAX)
    }

    /// Returns the pace beside that of the service, if any endpoint reports one.
    pub fn relative(&self, now: MonotonicMs) -> Option<RelativePace> {
        let is_known = self.is_reported(now) || self.service.is_reported(now);
        is_known.then(|| RelativePace {
            endpoint: EndpointPace::from_factor(self.factor(now)),
            service: EndpointPace::from_factor(self.service.factor(now)),
        })
    }
}

/// The pace of an endpoint and the mean of its service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RelativePace {
    /// The endpoint's.
    pub endpoint: EndpointPace,
    /// The mean of its service.
    pub service: EndpointPace,
}

impl RelativePace {
    fn ratio(self) -> f64 {
        self.endpoint.factor() / self.service.factor()
    }

    /// Returns whether the endpoint is much slower than its service is on average.
    pub fn is_slow(self) -> bool {
        self.ratio() >= SLOW_RATIO
    }

    /// Returns the time without an answer after which a request may leave the endpoint, if that is
    /// shorter than at endpoints that aren't slow.
    ///
    /// Where all endpoints are equally slow, none is: leaving one for another would gain nothing.
    ///
    /// # Examples
    ///
    /// ```
    /// use celeryknot_core::{DurationMs, EndpointPace};
    /// use celeryknot_policy::direct::pace::RelativePace;
    ///
    /// let pace = |percent| EndpointPace::from_percent(percent).expect("in the range");
    /// let slow = RelativePace { endpoint: pace(400), service: pace(200) };
    /// assert_eq!(slow.silence_ms(DurationMs(600)), Some(DurationMs(300)));
    /// assert_eq!(slow.silence_ms(DurationMs(200)), Some(DurationMs(150)));
    /// assert_eq!(slow.silence_ms(DurationMs(150)), None);
    /// ```
    pub fn silence_ms(self, usual_ms: DurationMs) -> Option<DurationMs> {
        let shorter_ms = DurationMs((usual_ms.0 as f64 / self.ratio()) as u64);
        let silence_ms = shorter_ms.max(SLOW_SILENCE_MIN);
        (self.is_slow() && silence_ms < usual_ms).then_some(silence_ms)
    }
}
