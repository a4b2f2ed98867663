//! Outlier detection: ejects unhealthy endpoints by their responses and readmits them by probes.
//!
//! The owner of an endpoint observes all its responses. It ejects an endpoint whose responses
//! fail, don't arrive or are much slower than those of the other endpoints: the endpoint gets no
//! requests for some time, then one request at a time, and its full share again after a few
//! successes. Live requests are the probes, which avoids control traffic. Only a configured share
//! of a service may be ejected at once; beyond that the cause is more likely the service or the
//! network, and further ejections would only overload the remaining endpoints.

pub mod evidence;

use celeryknot_core::{DurationMs, EndpointCondition, EndpointSummary, MonotonicMs};
use strum::{Display, EnumIter, EnumString, IntoStaticStr};

pub use evidence::{EjectionReason, EvidenceWindow, HealthEvidence};

/// Duration of the first ejection.
pub const EJECTION_TIME_FIRST: DurationMs = DurationMs(2_000);
/// Maximum duration of an ejection.
pub const EJECTION_TIME_MAX: DurationMs = DurationMs(30_000);
/// Number of consecutive successful probes that readmit an endpoint.
const PROBES_REQUIRED: u32 = 3;
/// Healthy time after which earlier ejections no longer lengthen the next one.
const EJECTION_BACKOFF_RESET_AFTER: DurationMs = DurationMs(60_000);

/// The ejection state of an endpoint.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Display, EnumIter, EnumString, IntoStaticStr,
)]
#[strum(serialize_all = "kebab-case")]
pub enum HealthState {
    /// The endpoint gets its full share of requests.
    #[default]
    Healthy,
    /// The endpoint is ejected and gets no requests.
    #[strum(serialize = "sick")]
    Unhealthy,
    /// The endpoint gets one request at a time.
    Probing,
}

/// How many endpoints of a service may be ejected, and how many are.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct EjectionQuota {
    /// Maximum number of ejected endpoints.
    pub ejected_max: u32,
    /// Number of other endpoints that are ejected.
    pub others_ejected: u32,
    /// How many of these precede this endpoint in the shared order.
    pub others_ejected_before: u32,
}

impl EjectionQuota {
    /// Counts the ejected endpoints of a service, given in an order that all daemons share;
    /// `own` is this endpoint's index in it.
    ///
    /// # Examples
    ///
    /// ```
    /// use celeryknot_core::{EndpointCondition, EndpointSummary};
    /// use celeryknot_policy::health::EjectionQuota;
    ///
    /// let condition = EndpointCondition::Unhealthy;
    /// let unhealthy = EndpointSummary { condition, ..Default::default() };
    /// let healthy = EndpointSummary { condition: EndpointCondition::Warm, ..Default::default() };
    /// let summaries = [Some(&unhealthy), Some(&healthy), None, Some(&healthy)];
    /// let quota = EjectionQuota::new(30, 1, summaries);
    /// assert_eq!((quota.ejected_max, quota.others_ejected), (1, 1));
    /// assert!(!quota.allows_ejection());
    /// ```
    pub fn new<'a>(
        ejected_percent_max: u32,
        own: usize,
        summaries: impl IntoIterator<Item = Option<&'a EndpointSummary>>,
    ) -> Self {
        let mut quota = Self::default();
        let mut count = 0u32;
        for (index, summary) in summaries.into_iter().enumerate() {
            count += 1;
            let is_unhealthy =
                summary.is_some_and(|summary| summary.condition == EndpointCondition::Unhealthy);
            if is_unhealthy && index != own {
                quota.others_ejected += 1;
                quota.others_ejected_before += u32::from(index < own);
            }
        }
        quota.ejected_max = (u64::from(count) * u64::from(ejected_percent_max) / 100) as u32;
        quota
    }

    /// Returns whether one more endpoint may be ejected.
    pub fn allows_ejection(&self) -> bool {
        self.others_ejected < self.ejected_max
    }

    /// Returns whether this endpoint may stay ejected.
    ///
    /// Owners that eject at the same moment may together exceed the maximum. The endpoints that
    /// come first in the shared order then stay ejected, so owners with the same view reach the
    /// maximum within one exchange of summaries.
    pub fn allows_own_ejection(&self) -> bool {
        self.others_ejected < self.ejected_max || self.others_ejected_before < self.ejected_max
    }
}

/// The health of one endpoint, tracked by its owner.
///
/// # Examples
///
/// ```
/// use celeryknot_core::{DurationMs, MonotonicMs};
/// use celeryknot_policy::health::{EjectionQuota, EndpointHealth, HealthEvidence, HealthState};
///
/// let quota = EjectionQuota { ejected_max: 3, ..EjectionQuota::default() };
/// let mut health = EndpointHealth::new();
/// for _ in 0..5 {
///     health.observe(MonotonicMs(0), HealthEvidence::Unanswered);
/// }
/// assert_eq!(health.advance(MonotonicMs(0), &quota), Some(HealthState::Unhealthy));
/// assert_eq!(health.advance(MonotonicMs(2_000), &quota), Some(HealthState::Probing));
/// for _ in 0..3 {
///     health.observe(MonotonicMs(2_500), HealthEvidence::Answered { first_byte_ms: DurationMs(90) });
/// }
/// assert_eq!(health.advance(MonotonicMs(2_500), &quota), Some(HealthState::Healthy));
/// ```
#[derive(Debug, Clone, Default)]
pub struct EndpointHealth {
    state: HealthState,
    window: EvidenceWindow,
    reason: Option<EjectionReason>,
    ejected_until: MonotonicMs,
    ejection_ms: DurationMs,
    healthy_since: MonotonicMs,
    successful_probes: u32,
    has_failed_probe: bool,
}

impl EndpointHealth {
    /// Creates the state of a healthy endpoint.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records the outcome of one request.
    pub fn observe(&mut self, _now: MonotonicMs, evidence: HealthEvidence) {
        match self.state {
            HealthState::Healthy => self.window.observe(evidence),
            // Outcomes of requests sent before the ejection carry no new information.
            HealthState::Unhealthy => {}
            HealthState::Probing => self.observe_probe(evidence),
        }
    }

    /// Sets the typical time to the first byte of the other endpoints, if known.
    pub fn set_peers_first_byte_ms(&mut self, first_byte_ms: Option<DurationMs>) {
        self.window.set_peers_first_byte_ms(first_byte_ms);
    }

    /// Updates the state by time and evidence; returns the new state if it changed.
    pub fn advance(&mut self, now: MonotonicMs, quota: &EjectionQuota) -> Option<HealthState> {
        let previous = self.state;
        match self.state {
            HealthState::Healthy => self.advance_healthy(now, quota),
            HealthState::Unhealthy | HealthState::Probing if !quota.allows_own_ejection() => {
                self.recover(now)
            }
            HealthState::Unhealthy if now >= self.ejected_until => {
                self.state = HealthState::Probing
            }
            HealthState::Unhealthy => {}
            HealthState::Probing => self.advance_probing(now),
        }
        (self.state != previous).then_some(self.state)
    }

    /// Returns when `advance` must be called next, even without evidence.
    pub fn next_wakeup(&self) -> Option<MonotonicMs> {
        (self.state == HealthState::Unhealthy).then_some(self.ejected_until)
    }

    /// Returns the endpoint's state.
    pub fn state(&self) -> HealthState {
        self.state
    }

    /// Returns why the endpoint is ejected.
    pub fn reason(&self) -> Option<EjectionReason> {
        self.reason
    }

    fn observe_probe(&mut self, evidence: HealthEvidence) {
        if self.window.is_success(evidence) {
            self.successful_probes += 1;
        } else {
            self.has_failed_probe = true;
        }
    }

    fn advance_healthy(&mut self, now: MonotonicMs, quota: &EjectionQuota) {
        if now - self.healthy_since >= EJECTION_BACKOFF_RESET_AFTER {
            self.ejection_ms = DurationMs(0);
        }
        let Some(reason) = self.window.ejection_reason() else {
            return;
        };
        if quota.allows_ejection() {
            self.reason = Some(reason);
            self.eject(now);
        }
    }

    fn advance_probing(&mut self, now: MonotonicMs) {
        if self.has_failed_probe {
            self.eject(now);
        } else if self.successful_probes >= PROBES_REQUIRED {
            self.recover(now);
        }
    }

    fn eject(&mut self, now: MonotonicMs) {
        let doubled_ms = DurationMs(self.ejection_ms.0.saturating_mul(2));
        self.ejection_ms = doubled_ms.clamp(EJECTION_TIME_FIRST, EJECTION_TIME_MAX);
        self.ejected_until = now + self.ejection_ms;
        self.state = HealthState::Unhealthy;
        self.successful_probes = 0;
        self.has_failed_probe = false;
    }

    fn recover(&mut self, now: MonotonicMs) {
        self.state = HealthState::Healthy;
        self.healthy_since = now;
        self.reason = None;
        self.successful_probes = 0;
        self.has_failed_probe = false;
        self.window.clear();
    }
}
