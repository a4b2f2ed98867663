//! How much one endpoint may carry now: cold start, ramp, own bound, health and load bound.

use celeryknot_core::{DurationMs, EndpointCondition, MonotonicMs};

use super::limits::AdmissionLimits;
use super::request::ReportedLoad;
use crate::bound::{LoadBound, MeanTrend, ServiceLoad};
use crate::health::HealthState;

/// How long a new owner starts nothing while it waits for the endpoint's first report.
pub const FIRST_REPORT_GRACE_MS: DurationMs = DurationMs(300);
/// How old the state may be that a report shows.
const REPORT_AGE_MS: DurationMs = DurationMs(200);
/// How old the state may be that a late report shows.
const LATE_REPORT_AGE_MS: DurationMs = DurationMs(1_500);
/// How long a request is in flight before any was seen to end.
const SERVICE_DEFAULT_MS: DurationMs = DurationMs(1_000);
/// How long an endpoint that refused work is held at what it has.
const REFUSAL_HOLD_MS: DurationMs = DurationMs(1_000);

#[derive(Debug, Clone, Copy, PartialEq)]
enum Temperature {
    /// No report has come since the owner started, woke up or lost the connection.
    Unreported {
        since: MonotonicMs,
    },
    Cold {
        seen_at: MonotonicMs,
    },
    /// A ramp starts with the next event.
    RampDue,
    Ramping {
        since: MonotonicMs,
        base: u32,
    },
    Warm,
}

/// The most work in flight of one endpoint.
#[derive(Debug, Clone)]
pub(super) struct Capacity {
    limits: AdmissionLimits,
    temperature: Temperature,
    reported_bound: Option<u32>,
    inherited: u32,
    own_peak: RecentPeak,
    service_load: Option<ServiceLoad>,
    mean_trend: MeanTrend,
    service_ms: DurationMs,
    health: HealthState,
    refusal_hold: Option<(u32, MonotonicMs)>,
}

impl Capacity {
    pub(super) fn new(limits: AdmissionLimits, now: MonotonicMs) -> Self {
        Self {
            limits,
            temperature: Temperature::Unreported { since: now },
            reported_bound: None,
            inherited: 0,
            own_peak: RecentPeak::new(now),
            service_load: None,
            mean_trend: MeanTrend::default(),
            service_ms: SERVICE_DEFAULT_MS,
            health: HealthState::Healthy,
            refusal_hold: None,
        }
    }

    pub(super) fn set_limits(&mut self, limits: AdmissionLimits) {
        self.limits = limits;
    }

    pub(super) fn set_health(&mut self, health: HealthState) {
        self.health = health;
    }

    pub(super) fn health(&self) -> HealthState {
        self.health
    }

    pub(super) fn set_service_load(&mut self, now: MonotonicMs, load: ServiceLoad) {
        let fall_per_s = self.mean_trend.observe(now, load.mean_in_flight);
        self.service_load = Some(ServiceLoad { fall_per_s, ..load });
    }

    /// Sets how long a request is in flight.
    pub(super) fn set_service_ms(&mut self, service_ms: DurationMs) {
        self.service_ms = service_ms;
    }

    /// Ramps the endpoint from its present load at the next event, as when its zone is back.
    pub(super) fn request_ramp(&mut self) {
        if self.temperature == Temperature::Warm {
            self.temperature = Temperature::RampDue;
        }
    }

    /// Keeps the clocked parts up to date.
    pub(super) fn advance(&mut self, now: MonotonicMs, own_in_flight: u32) {
        self.own_peak.observe(now, own_in_flight);
        if self.temperature == Temperature::RampDue {
            self.start_ramp(now, own_in_flight);
        }
        if let Temperature::Ramping { since, .. } = self.temperature
            && now - since >= self.limits.ramp_ms
        {
            self.temperature = Temperature::Warm;
        }
        if self.refusal_hold.is_some_and(|(_, until)| now >= until) {
            self.refusal_hold = None;
        }
    }

    pub(super) fn observe_load(&mut self, now: MonotonicMs, load: ReportedLoad, own: u32) {
        self.own_peak.observe(now, own);
        self.inherited = load.in_flight.saturating_sub(self.own_peak.peak());
        self.reported_bound = load.bound;
        if load.is_cold {
            self.temperature = Temperature::Cold { seen_at: now };
            return;
        }
        match self.temperature {
            // The report may be from before the endpoint turned cold.
            Temperature::Cold { seen_at }
                if load.may_be_late && now - seen_at < LATE_REPORT_AGE_MS => {}
            Temperature::Cold { .. } => self.start_ramp(now, own),
            // An endpoint that carries more than a cold one can was warm before this owner came.
            Temperature::Unreported { .. } if load.in_flight > self.limits.cold_in_flight_max => {
                self.temperature = Temperature::Warm;
            }
            Temperature::Unreported { .. } => self.start_ramp(now, own),
            Temperature::RampDue | Temperature::Ramping { .. } | Temperature::Warm => {}
        }
    }

    /// Forgets what reports said, since the endpoint may have restarted or much time has passed.
    pub(super) fn distrust_reports(&mut self, now: MonotonicMs) {
        self.temperature = Temperature::Unreported { since: now };
        self.reported_bound = None;
    }

    /// Holds the endpoint at what it has, since it refused to take more.
    pub(super) fn hold_after_refusal(&mut self, now: MonotonicMs, own_in_flight: u32) {
        self.refusal_hold = Some((own_in_flight.max(1), now + REFUSAL_HOLD_MS));
    }

    /// Requests that other daemons have in flight at the endpoint, as far as it reports them.
    pub(super) fn inherited(&self) -> u32 {
        self.inherited
    }

    pub(super) fn condition(&self) -> EndpointCondition {
        match self.health {
            HealthState::Sick | HealthState::Probing => return EndpointCondition::Sick,
            HealthState::Healthy => {}
        }
        match self.temperature {
            Temperature::Unreported { .. } | Temperature::Cold { .. } => EndpointCondition::Cold,
            Temperature::RampDue | Temperature::Ramping { .. } => EndpointCondition::Ramping,
            Temperature::Warm => EndpointCondition::Warm,
        }
    }

    /// The most work that the endpoint itself can bear, whatever the others carry.
    pub(super) fn own_max(&self, now: MonotonicMs) -> u32 {
        let by_health = match self.health {
            HealthState::Healthy => u32::MAX,
            HealthState::Sick => 0,
            HealthState::Probing => 1,
        };
        let by_refusal = match self.refusal_hold {
            Some((held, until)) if now < until => held,
            Some(_) | None => u32::MAX,
        };
        self.by_temperature(now)
            .min(self.reported_bound.unwrap_or(u32::MAX))
            .min(by_health)
            .min(by_refusal)
    }

    /// The most work in flight, with the load bound.
    pub(super) fn in_flight_max(&self, now: MonotonicMs) -> u32 {
        let bound = LoadBound::new(self.limits.load_multiple).with_service_ms(self.service_ms);
        let by_load = self
            .service_load
            .map_or(u32::MAX, |load| bound.in_flight_max(&load));
        self.own_max(now).min(by_load)
    }

    /// The slots to reckon waits with: those of a cold endpoint until its first report.
    pub(super) fn slots_expected(&self, now: MonotonicMs) -> u32 {
        match self.temperature {
            Temperature::Unreported { .. } => self.limits.cold_in_flight_max,
            Temperature::Cold { .. }
            | Temperature::RampDue
            | Temperature::Ramping { .. }
            | Temperature::Warm => self.in_flight_max(now),
        }
    }

    /// When the capacity changes without an event.
    pub(super) fn next_change(&self, now: MonotonicMs) -> Option<MonotonicMs> {
        let by_temperature = match self.temperature {
            Temperature::Unreported { since } => Some(since + FIRST_REPORT_GRACE_MS),
            Temperature::Ramping { base, .. } => {
                let steps = self.limits.in_flight_max.saturating_sub(base).max(1);
                Some(now + DurationMs((self.limits.ramp_ms.0 / u64::from(steps)).max(1)))
            }
            Temperature::RampDue => Some(now + DurationMs(1)),
            Temperature::Cold { .. } | Temperature::Warm => None,
        };
        let by_refusal = self.refusal_hold.map(|(_, until)| until);
        [by_temperature, by_refusal]
            .into_iter()
            .flatten()
            .filter(|at| *at > now)
            .min()
    }

    fn by_temperature(&self, now: MonotonicMs) -> u32 {
        let cold_max = self
            .limits
            .cold_in_flight_max
            .min(self.limits.in_flight_max);
        match self.temperature {
            Temperature::Unreported { since } if now - since < FIRST_REPORT_GRACE_MS => 0,
            Temperature::Unreported { .. } | Temperature::Cold { .. } | Temperature::RampDue => {
                cold_max
            }
            Temperature::Ramping { since, base } => {
                let full = u64::from(self.limits.in_flight_max);
                let base = u64::from(base).min(full);
                let elapsed_ms = (now - since).0.min(self.limits.ramp_ms.0);
                let gained = (full - base) * elapsed_ms / self.limits.ramp_ms.0.max(1);
                (base + gained) as u32
            }
            Temperature::Warm => self.limits.in_flight_max,
        }
    }

    fn start_ramp(&mut self, now: MonotonicMs, own_in_flight: u32) {
        let base = self.limits.cold_in_flight_max.max(own_in_flight);
        self.temperature = Temperature::Ramping { since: now, base };
    }
}

/// The most own requests in flight during the time that a report may be old.
#[derive(Debug, Clone, Copy)]
struct RecentPeak {
    slot_since: MonotonicMs,
    slot_peak: u32,
    previous_peak: u32,
}

impl RecentPeak {
    fn new(now: MonotonicMs) -> Self {
        Self {
            slot_since: now,
            slot_peak: 0,
            previous_peak: 0,
        }
    }

    fn observe(&mut self, now: MonotonicMs, in_flight: u32) {
        let elapsed_ms = now - self.slot_since;
        if elapsed_ms >= REPORT_AGE_MS {
            let is_next = elapsed_ms.0 < 2 * REPORT_AGE_MS.0;
            self.previous_peak = if is_next { self.slot_peak } else { in_flight };
            self.slot_peak = in_flight;
            self.slot_since = now;
        }
        self.slot_peak = self.slot_peak.max(in_flight);
    }

    fn peak(&self) -> u32 {
        self.slot_peak.max(self.previous_peak)
    }
}
