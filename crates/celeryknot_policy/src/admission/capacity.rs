//! The concurrency limit of one endpoint: cold start, ramp, reported bound, health and load bound.

use celeryknot_core::{DurationMs, EndpointCondition, MonotonicMs};

use super::limits::AdmissionLimits;
use super::request::ReportedLoad;
use crate::bound::{LoadBound, MeanTrend, ServiceLoad};
use crate::health::HealthState;

/// How long a new owner waits for the endpoint's first report before it starts any request.
pub const FIRST_REPORT_GRACE_MS: DurationMs = DurationMs(300);
/// Maximum age of the load that a report shows.
const REPORT_AGE_MS: DurationMs = DurationMs(200);
/// Maximum age of the load that a polled report shows; it may arrive late.
const LATE_REPORT_AGE_MS: DurationMs = DurationMs(1_500);
/// Assumed time that a request is in flight, until the first one succeeds.
const SERVICE_DEFAULT_MS: DurationMs = DurationMs(1_000);
/// How long an endpoint that refused a request is limited to what it has in flight.
const REFUSAL_LIMIT_TTL_MS: DurationMs = DurationMs(1_000);

#[derive(Debug, Clone, Copy, PartialEq)]
enum WarmUpState {
    /// No report has arrived since the owner started, stalled or lost the connection.
    Unreported {
        since: MonotonicMs,
    },
    Cold {
        seen_at: MonotonicMs,
    },
    /// The ramp starts with the next event.
    RampDue,
    Ramping {
        since: MonotonicMs,
        base: u32,
    },
    Warm,
}

/// The limit on requests in flight at one endpoint: the lowest of its separate limits.
#[derive(Debug, Clone)]
pub(super) struct Capacity {
    limits: AdmissionLimits,
    warm_up: WarmUpState,
    reported_bound: Option<u32>,
    others_in_flight: u32,
    own_peak: RecentPeak,
    service_load: Option<ServiceLoad>,
    mean_trend: MeanTrend,
    service_ms: DurationMs,
    health: HealthState,
    refusal_limit: Option<(u32, MonotonicMs)>,
}

impl Capacity {
    pub(super) fn new(limits: AdmissionLimits, now: MonotonicMs) -> Self {
        Self {
            limits,
            warm_up: WarmUpState::Unreported { since: now },
            reported_bound: None,
            others_in_flight: 0,
            own_peak: RecentPeak::new(now),
            service_load: None,
            mean_trend: MeanTrend::default(),
            service_ms: SERVICE_DEFAULT_MS,
            health: HealthState::Healthy,
            refusal_limit: None,
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
        let decline_per_s = self.mean_trend.observe(now, load.mean_in_flight);
        self.service_load = Some(ServiceLoad {
            decline_per_s,
            ..load
        });
    }

    /// Sets the mean time that a request is in flight.
    pub(super) fn set_service_ms(&mut self, service_ms: DurationMs) {
        self.service_ms = service_ms;
    }

    /// Starts a ramp from the current load at the next event, e.g. after its zone is back in use.
    pub(super) fn request_ramp(&mut self) {
        if self.warm_up == WarmUpState::Warm {
            self.warm_up = WarmUpState::RampDue;
        }
    }

    /// Updates the parts that depend on time.
    pub(super) fn advance(&mut self, now: MonotonicMs, own_in_flight: u32) {
        self.own_peak.observe(now, own_in_flight);
        if self.warm_up == WarmUpState::RampDue {
            self.start_ramp(now, own_in_flight);
        }
        if let WarmUpState::Ramping { since, .. } = self.warm_up
            && now - since >= self.limits.ramp_ms
        {
            self.warm_up = WarmUpState::Warm;
        }
        if self.refusal_limit.is_some_and(|(_, until)| now >= until) {
            self.refusal_limit = None;
        }
    }

    pub(super) fn observe_load(
        &mut self,
        now: MonotonicMs,
        load: ReportedLoad,
        own_in_flight: u32,
    ) {
        self.own_peak.observe(now, own_in_flight);
        self.others_in_flight = load.in_flight.saturating_sub(self.own_peak.peak());
        self.reported_bound = load.bound;
        if load.is_cold {
            self.warm_up = WarmUpState::Cold { seen_at: now };
            return;
        }
        match self.warm_up {
            // The report may predate the cold start.
            WarmUpState::Cold { seen_at }
                if load.may_be_stale && now - seen_at < LATE_REPORT_AGE_MS => {}
            WarmUpState::Cold { .. } => self.start_ramp(now, own_in_flight),
            // More in flight than a cold endpoint can carry: it was warm under the previous owner.
            WarmUpState::Unreported { .. } if load.in_flight > self.limits.cold_in_flight_max => {
                self.warm_up = WarmUpState::Warm;
            }
            WarmUpState::Unreported { .. } => self.start_ramp(now, own_in_flight),
            WarmUpState::RampDue | WarmUpState::Ramping { .. } | WarmUpState::Warm => {}
        }
    }

    /// Discards the reported state, since the endpoint may have restarted or the report is stale.
    pub(super) fn discard_reported_state(&mut self, now: MonotonicMs) {
        self.warm_up = WarmUpState::Unreported { since: now };
        self.reported_bound = None;
    }

    /// Limits the endpoint to its requests in flight, as it refused another one.
    pub(super) fn limit_after_refusal(&mut self, now: MonotonicMs, own_in_flight: u32) {
        self.refusal_limit = Some((own_in_flight.max(1), now + REFUSAL_LIMIT_TTL_MS));
    }

    /// Returns the requests in flight from other daemons, by the endpoint's last report.
    pub(super) fn others_in_flight(&self) -> u32 {
        self.others_in_flight
    }

    pub(super) fn condition(&self) -> EndpointCondition {
        match self.health {
            HealthState::Unhealthy | HealthState::Probing => return EndpointCondition::Unhealthy,
            HealthState::Healthy => {}
        }
        match self.warm_up {
            WarmUpState::Unreported { .. } | WarmUpState::Cold { .. } => EndpointCondition::Cold,
            WarmUpState::RampDue | WarmUpState::Ramping { .. } => EndpointCondition::Ramping,
            WarmUpState::Warm => EndpointCondition::Warm,
        }
    }

    /// Returns the maximum number of requests in flight without the load bound.
    pub(super) fn endpoint_max(&self, now: MonotonicMs) -> u32 {
        let health_max = match self.health {
            HealthState::Healthy => u32::MAX,
            HealthState::Unhealthy => 0,
            HealthState::Probing => 1,
        };
        let refusal_max = match self.refusal_limit {
            Some((limit, until)) if now < until => limit,
            Some(_) | None => u32::MAX,
        };
        self.warm_up_max(now)
            .min(self.reported_bound.unwrap_or(u32::MAX))
            .min(health_max)
            .min(refusal_max)
    }

    /// Returns the maximum number of requests in flight with the load bound.
    pub(super) fn in_flight_max(&self, now: MonotonicMs) -> u32 {
        let bound =
            LoadBound::new(self.limits.load_multiple).with_request_duration_ms(self.service_ms);
        let load_max = self
            .service_load
            .map_or(u32::MAX, |load| bound.in_flight_max(&load));
        self.endpoint_max(now).min(load_max)
    }

    /// Returns the slots for wait estimates: those of a cold endpoint until its first report.
    pub(super) fn expected_slots(&self, now: MonotonicMs) -> u32 {
        match self.warm_up {
            WarmUpState::Unreported { .. } => self.limits.cold_in_flight_max,
            WarmUpState::Cold { .. }
            | WarmUpState::RampDue
            | WarmUpState::Ramping { .. }
            | WarmUpState::Warm => self.in_flight_max(now),
        }
    }

    /// Returns the next time at which the capacity changes without an event.
    pub(super) fn next_change(&self, now: MonotonicMs) -> Option<MonotonicMs> {
        let warm_up_change_at = match self.warm_up {
            WarmUpState::Unreported { since } => Some(since + FIRST_REPORT_GRACE_MS),
            WarmUpState::Ramping { base, .. } => {
                let steps = self.limits.in_flight_max.saturating_sub(base).max(1);
                Some(now + DurationMs((self.limits.ramp_ms.0 / u64::from(steps)).max(1)))
            }
            WarmUpState::RampDue => Some(now + DurationMs(1)),
            WarmUpState::Cold { .. } | WarmUpState::Warm => None,
        };
        let refusal_limit_until = self.refusal_limit.map(|(_, until)| until);
        [warm_up_change_at, refusal_limit_until]
            .into_iter()
            .flatten()
            .filter(|at| *at > now)
            .min()
    }

    fn warm_up_max(&self, now: MonotonicMs) -> u32 {
        let cold_max = self
            .limits
            .cold_in_flight_max
            .min(self.limits.in_flight_max);
        match self.warm_up {
            WarmUpState::Unreported { since } if now - since < FIRST_REPORT_GRACE_MS => 0,
            WarmUpState::Unreported { .. } | WarmUpState::Cold { .. } | WarmUpState::RampDue => {
                cold_max
            }
            WarmUpState::Ramping { since, base } => {
                let full = u64::from(self.limits.in_flight_max);
                let base = u64::from(base).min(full);
                let elapsed_ms = (now - since).0.min(self.limits.ramp_ms.0);
                let gained = (full - base) * elapsed_ms / self.limits.ramp_ms.0.max(1);
                (base + gained) as u32
            }
            WarmUpState::Warm => self.limits.in_flight_max,
        }
    }

    fn start_ramp(&mut self, now: MonotonicMs, own_in_flight: u32) {
        let base = self.limits.cold_in_flight_max.max(own_in_flight);
        self.warm_up = WarmUpState::Ramping { since: now, base };
    }
}

/// The peak of own requests in flight within the maximum age of a report.
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
