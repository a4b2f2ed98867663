//! What one daemon believes of one endpoint.

use std::net::SocketAddr;

use celeryknot_core::{DurationMs, EndpointName, MonotonicMs, ZoneName};

use super::cold_share::ColdShare;

/// Age after which an endpoint's own report of its load is no longer used.
const REPORT_AGE_MAX: DurationMs = DurationMs(2_000);

/// Age after which what all daemons have in flight is no longer used.
const TOTAL_AGE_MAX: DurationMs = DurationMs(2_000);

/// Time between two changes of an endpoint's share; about as long as a change takes to show.
const SHARE_PERIOD: DurationMs = DurationMs(300);

/// Factor and step by which the share grows at each other report.
const SHARE_GROWTH: f64 = 1.1;
const SHARE_STEP: f64 = 0.02;

/// Least share.
const SHARE_MIN: f64 = 0.1;

/// First time for which an endpoint that failed is passed over.
const AVOID_FIRST: DurationMs = DurationMs(300);

/// Longest time for which an endpoint that failed is passed over.
const AVOID_MAX: DurationMs = DurationMs(2_400);

/// Time for which an endpoint that another daemon could not reach is passed over.
///
/// Longer than the news of it takes, so that one daemon at a time looks whether it is back.
const SUSPECT_FOR: DurationMs = DurationMs(1_000);

/// Silence of an endpoint before a failure from which others believe that failure.
///
/// A daemon that is cut off itself finds every endpoint out of reach; one that others have just
/// heard is well.
const SUSPECT_SILENCE: DurationMs = DurationMs(300);

/// Failures in a row, other than refused connections, that make an endpoint be passed over.
const FAILURES_MAX: u32 = 2;

/// An endpoint as the platform lists it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedEndpoint {
    /// The endpoint's name.
    pub name: EndpointName,
    /// When the endpoint started, by its own clock; another value is another life of it.
    pub born_ms: Option<u64>,
    /// Where the endpoint takes requests.
    pub address: SocketAddr,
    /// The endpoint's availability zone.
    pub zone: ZoneName,
    /// Requests that it processes at once.
    pub slots: u32,
    /// Whether it may get new work: it is not leaving and its zone is in.
    pub takes_new_work: bool,
    /// Until when it is in cold start.
    pub cold_until: Option<MonotonicMs>,
}

/// What an endpoint says of its load.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReportedLoad {
    /// Requests that it processes.
    pub running: u32,
    /// Requests that wait there.
    pub waiting: u32,
    /// Requests that it can process at once.
    pub slots: u32,
}

#[derive(Debug, Clone, Copy)]
struct Report {
    /// Requests that the endpoint held.
    held: u32,
    at: MonotonicMs,
    /// Requests of this daemon that were there at the time.
    own_in_flight: u32,
}

/// The state of one endpoint in one daemon.
#[derive(Debug, Clone)]
pub struct EndpointState {
    pub(crate) listed: ListedEndpoint,
    /// Since when this life of the endpoint is listed.
    pub(crate) listed_since: MonotonicMs,
    pub(crate) in_flight: u32,
    pub(crate) cold: ColdShare,
    report: Option<Report>,
    total: Option<Report>,
    share: f64,
    share_set_at: MonotonicMs,
    failures_in_row: u32,
    avoid_until: MonotonicMs,
    /// When it last answered, to this daemon or to another one.
    heard_at: Option<MonotonicMs>,
    /// When another daemon last found it out of reach.
    unreachable_at: Option<MonotonicMs>,
}

impl EndpointState {
    pub(crate) fn new(now: MonotonicMs, listed: ListedEndpoint) -> Self {
        Self {
            listed,
            listed_since: now,
            in_flight: 0,
            cold: ColdShare::default(),
            report: None,
            total: None,
            share: 1.0,
            share_set_at: MonotonicMs(0),
            failures_in_row: 0,
            avoid_until: MonotonicMs(0),
            heard_at: None,
            unreachable_at: None,
        }
    }

    /// Takes over what the platform lists now; another life of the endpoint starts anew.
    pub(crate) fn relist(&mut self, now: MonotonicMs, listed: ListedEndpoint) {
        if listed.born_ms != self.listed.born_ms {
            let in_flight = self.in_flight;
            *self = Self::new(now, listed);
            self.in_flight = in_flight;
            return;
        }
        self.listed = listed;
    }

    /// Takes in what the endpoint said of its load, to this daemon or to another one.
    pub(crate) fn observe_load(&mut self, at: MonotonicMs, held: u32) {
        self.heard_at = self.heard_at.max(Some(at));
        if self.report.is_none_or(|report| report.at < at) {
            self.report = Some(self.report_of(at, held));
        }
    }

    /// Takes in what all daemons have in flight here together.
    pub(crate) fn observe_total(&mut self, now: MonotonicMs, total: u32) {
        self.total = Some(self.report_of(now, total));
    }

    fn report_of(&self, at: MonotonicMs, held: u32) -> Report {
        Report {
            held,
            at,
            own_in_flight: self.in_flight,
        }
    }

    /// Sets the share of the prompts that rank the endpoint first which it gets.
    ///
    /// `kept` is the load up to which it is to get all of them. While it holds more, its share
    /// shrinks in proportion, and grows again slowly afterwards: all daemons hear the same, and
    /// would otherwise leave it and come back together.
    pub(crate) fn adjust_share(&mut self, now: MonotonicMs, kept: f64) {
        if now - self.share_set_at < SHARE_PERIOD {
            return;
        }
        self.share_set_at = now;
        let (held, _) = self.load(now);
        let fitting = kept / f64::from(held.max(1));
        self.share = match fitting < 1.0 {
            true => (self.share * fitting).max(SHARE_MIN),
            false => (self.share * SHARE_GROWTH + SHARE_STEP).min(1.0),
        };
    }

    /// Returns the share of the requests for which it ranks first that the endpoint gets.
    pub(crate) fn share(&self) -> f64 {
        self.share
    }

    pub(crate) fn note_success(&mut self, now: MonotonicMs) {
        self.failures_in_row = 0;
        self.heard_at = self.heard_at.max(Some(now));
    }

    /// Takes in that another daemon found the endpoint out of reach.
    pub(crate) fn note_told_unreachable(&mut self, at: MonotonicMs) {
        self.unreachable_at = self.unreachable_at.max(Some(at));
    }

    fn is_suspect(&self, now: MonotonicMs) -> bool {
        let Some(at) = self.unreachable_at else {
            return false;
        };
        let was_silent = self
            .heard_at
            .is_none_or(|heard| at - heard >= SUSPECT_SILENCE);
        was_silent && now - at < SUSPECT_FOR
    }

    /// Tells whether the endpoint has answered lately and not failed since.
    pub(crate) fn is_sound(&self, now: MonotonicMs, heard_within: DurationMs) -> bool {
        let is_heard = self.heard_at.is_some_and(|at| now - at <= heard_within);
        is_heard && self.failures_in_row == 0 && !self.is_avoided(now)
    }

    /// Counts a failure; `is_unreachable` if not even a connection could be opened.
    pub(crate) fn note_failure(&mut self, now: MonotonicMs, is_unreachable: bool) {
        self.failures_in_row = self.failures_in_row.saturating_add(1);
        if !is_unreachable && self.failures_in_row < FAILURES_MAX {
            return;
        }
        let doublings = self.failures_in_row.saturating_sub(1).min(8);
        let avoid_ms = AVOID_FIRST.0.saturating_mul(1 << doublings);
        self.avoid_until = now + DurationMs(avoid_ms.min(AVOID_MAX.0));
    }

    /// Tells whether the endpoint is passed over for its failures, seen here or told.
    pub(crate) fn is_avoided(&self, now: MonotonicMs) -> bool {
        now < self.avoid_until || self.is_suspect(now)
    }

    /// Tells whether the endpoint is in cold start.
    pub(crate) fn is_cold(&self, now: MonotonicMs) -> bool {
        self.listed.cold_until.is_some_and(|until| now < until)
    }

    /// Returns the requests that the endpoint holds, as far as is known, and the age of that.
    ///
    /// What all daemons have in flight is known sooner than what the endpoint says, which comes
    /// with its answers, and those are late when it holds much.
    pub(crate) fn load(&self, now: MonotonicMs) -> (u32, Option<DurationMs>) {
        let fresh =
            |report: &Option<Report>, age_max| report.filter(|report| now - report.at <= age_max);
        let known = fresh(&self.total, TOTAL_AGE_MAX).or(fresh(&self.report, REPORT_AGE_MAX));
        let Some(report) = known else {
            return (self.in_flight, None);
        };
        let now_there = (report.held + self.in_flight).saturating_sub(report.own_in_flight);
        (now_there.max(self.in_flight), Some(now - report.at))
    }
}
