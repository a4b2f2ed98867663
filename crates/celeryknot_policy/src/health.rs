//! Sick endpoints: passed over by evidence from their answers, and probed back in.
//!
//! The owner of an endpoint sees all its answers. An endpoint whose answers fail, stay out or
//! come much later than those of its peers turns sick: it gets no work for a while, then one
//! request at a time, and its full share again after some good answers. Live requests are the
//! probes, so that they cost no control traffic. No more than a set share of a service is sick
//! at once; beyond that the fault is more likely the service's or the network's, and passing
//! over more endpoints would only drown the rest.

pub mod evidence;

use celeryknot_core::{DurationMs, EndpointCondition, EndpointSummary, MonotonicMs};
use strum::{Display, EnumIter, EnumString, IntoStaticStr};

pub use evidence::{EvidenceWindow, HealthEvidence, SickReason};

/// First time for which a sick endpoint gets no work.
pub const SICK_FIRST_MS: DurationMs = DurationMs(2_000);
/// Longest time for which a sick endpoint gets no work.
pub const SICK_MAX_MS: DurationMs = DurationMs(30_000);
/// Good answers in a row that end the probing.
const PROBES: u32 = 3;
/// Good time after which an endpoint's earlier sickness no longer counts.
const FORGIVEN_AFTER_MS: DurationMs = DurationMs(60_000);

/// Whether an endpoint is passed over.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Display, EnumIter, EnumString, IntoStaticStr,
)]
#[strum(serialize_all = "kebab-case")]
pub enum HealthState {
    /// The endpoint gets its full share.
    #[default]
    Healthy,
    /// The endpoint gets no work.
    Sick,
    /// The endpoint gets one request at a time.
    Probing,
}

/// How many endpoints of a service may be sick, and how many are.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct SickQuota {
    /// Most sick endpoints.
    pub sick_max: u32,
    /// Other endpoints that are sick.
    pub others: u32,
    /// Of these, the ones that go before this endpoint, by name.
    pub others_before: u32,
}

impl SickQuota {
    /// Counts over the endpoints of a service, in any order that all daemons share; `own` is
    /// this endpoint's place in it.
    ///
    /// # Examples
    ///
    /// ```
    /// use celeryknot_core::{EndpointCondition, EndpointSummary};
    /// use celeryknot_policy::health::SickQuota;
    ///
    /// let sick = EndpointSummary { condition: EndpointCondition::Sick, ..Default::default() };
    /// let well = EndpointSummary { condition: EndpointCondition::Warm, ..Default::default() };
    /// let quota = SickQuota::new(30, 1, [Some(&sick), Some(&well), None, Some(&well)]);
    /// assert_eq!((quota.sick_max, quota.others), (1, 1));
    /// assert!(!quota.allows_another());
    /// ```
    pub fn new<'a>(
        sick_percent_max: u32,
        own: usize,
        summaries: impl IntoIterator<Item = Option<&'a EndpointSummary>>,
    ) -> Self {
        let mut quota = Self::default();
        let mut count = 0u32;
        for (at, summary) in summaries.into_iter().enumerate() {
            count += 1;
            let is_sick = summary.is_some_and(|held| held.condition == EndpointCondition::Sick);
            if is_sick && at != own {
                quota.others += 1;
                quota.others_before += u32::from(at < own);
            }
        }
        quota.sick_max = (u64::from(count) * u64::from(sick_percent_max) / 100) as u32;
        quota
    }

    /// Tells whether one more endpoint may turn sick.
    pub fn allows_another(&self) -> bool {
        self.others < self.sick_max
    }

    /// Tells whether this endpoint may stay sick.
    ///
    /// Owners that decide at the same moment may pass the most together; the ones that go first
    /// by name then stay, so that views which agree settle within one exchange of summaries.
    pub fn allows_own(&self) -> bool {
        self.others < self.sick_max || self.others_before < self.sick_max
    }
}

/// The health of one endpoint, at its owner.
///
/// # Examples
///
/// ```
/// use celeryknot_core::{DurationMs, MonotonicMs};
/// use celeryknot_policy::health::{EndpointHealth, HealthEvidence, HealthState, SickQuota};
///
/// let quota = SickQuota { sick_max: 3, ..SickQuota::default() };
/// let mut health = EndpointHealth::new();
/// for _ in 0..5 {
///     health.observe(MonotonicMs(0), HealthEvidence::Silent);
/// }
/// assert_eq!(health.advance(MonotonicMs(0), &quota), Some(HealthState::Sick));
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
    reason: Option<SickReason>,
    sick_until: MonotonicMs,
    sick_ms: DurationMs,
    healthy_since: MonotonicMs,
    probes: u32,
    has_failed_probe: bool,
}

impl EndpointHealth {
    /// Starts healthy.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes in one piece of evidence.
    pub fn observe(&mut self, _now: MonotonicMs, evidence: HealthEvidence) {
        match self.state {
            HealthState::Healthy => self.window.observe(evidence),
            // Answers to requests from before it turned sick prove nothing new.
            HealthState::Sick => {}
            HealthState::Probing => self.observe_probe(evidence),
        }
    }

    /// Sets the usual time to the first byte of the other endpoints, where it is known.
    pub fn set_peers_first_byte_ms(&mut self, first_byte_ms: Option<DurationMs>) {
        self.window.set_peers_first_byte_ms(first_byte_ms);
    }

    /// Moves on with time and evidence; returns the new state if it changed.
    pub fn advance(&mut self, now: MonotonicMs, quota: &SickQuota) -> Option<HealthState> {
        let before = self.state;
        match self.state {
            HealthState::Healthy => self.advance_healthy(now, quota),
            HealthState::Sick | HealthState::Probing if !quota.allows_own() => self.recover(now),
            HealthState::Sick if now >= self.sick_until => self.state = HealthState::Probing,
            HealthState::Sick => {}
            HealthState::Probing => self.advance_probing(now),
        }
        (self.state != before).then_some(self.state)
    }

    /// Returns when `advance` must be called next even without evidence.
    pub fn next_wakeup(&self) -> Option<MonotonicMs> {
        (self.state == HealthState::Sick).then_some(self.sick_until)
    }

    /// Returns whether the endpoint is passed over.
    pub fn state(&self) -> HealthState {
        self.state
    }

    /// Returns why the endpoint is passed over.
    pub fn reason(&self) -> Option<SickReason> {
        self.reason
    }

    fn observe_probe(&mut self, evidence: HealthEvidence) {
        if self.window.is_good(evidence) {
            self.probes += 1;
        } else {
            self.has_failed_probe = true;
        }
    }

    fn advance_healthy(&mut self, now: MonotonicMs, quota: &SickQuota) {
        if now - self.healthy_since >= FORGIVEN_AFTER_MS {
            self.sick_ms = DurationMs(0);
        }
        let Some(reason) = self.window.sick_reason() else {
            return;
        };
        if quota.allows_another() {
            self.reason = Some(reason);
            self.turn_sick(now);
        }
    }

    fn advance_probing(&mut self, now: MonotonicMs) {
        if self.has_failed_probe {
            self.turn_sick(now);
        } else if self.probes >= PROBES {
            self.recover(now);
        }
    }

    fn turn_sick(&mut self, now: MonotonicMs) {
        let doubled_ms = DurationMs(self.sick_ms.0.saturating_mul(2));
        self.sick_ms = doubled_ms.clamp(SICK_FIRST_MS, SICK_MAX_MS);
        self.sick_until = now + self.sick_ms;
        self.state = HealthState::Sick;
        self.probes = 0;
        self.has_failed_probe = false;
    }

    fn recover(&mut self, now: MonotonicMs) {
        self.state = HealthState::Healthy;
        self.healthy_since = now;
        self.reason = None;
        self.probes = 0;
        self.has_failed_probe = false;
        self.window.clear();
    }
}
