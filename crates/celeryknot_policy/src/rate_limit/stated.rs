//! The rate that an endpoint states that it accepts.
//!
//! An endpoint in need states its limit in each answer, and lifts it by an answer without one.
//! Answers arrive out of order, so only an answer to a request that was sent after the last
//! statement had arrived is certain to be newer. After its end, a limit is raised step by step, so
//! that the requests it kept away don't return all at once.

use celeryknot_core::{DurationMs, MonotonicMs, RatePerS};
use strum::Display;

use super::fleet::FleetRateLimit;

/// Length of the windows in which endpoints count requests.
const WINDOW: DurationMs = DurationMs(4_000);

/// Multiple of the stated rate that the fleet may reach within a window, and the requests beyond it.
///
/// Endpoints tolerate a multiple of 1.5; the rest is left to requests that were placed before their
/// daemon knew of the limit, or that arrive late.
const RATE_FACTOR: f64 = 1.25;
const ALLOWANCE: f64 = 5.0;

/// Rate at which an endpoint is tried that states a lower one; only its answers lift the limit.
const RATE_MIN: RatePerS = RatePerS(0.25);

/// Time without a further statement after which a limit ends.
const STATEMENT_TTL: DurationMs = DurationMs(30_000);

/// Time for which a limit is raised after its end, and the time in which it doubles.
const RAMP: DurationMs = DurationMs(4_000);
const RAMP_DOUBLING: DurationMs = DurationMs(1_000);

/// Lowest rate at which a limit is raised.
const RAMP_RATE_MIN: RatePerS = RatePerS(1.0);

/// What an answer states about the rate that its endpoint accepts.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RateStatement {
    /// The rate; `None` if the endpoint states no limit.
    pub rate: Option<RatePerS>,
    /// When the request was sent that the answer is for.
    pub sent_at: MonotonicMs,
    /// When the answer arrived.
    pub arrived_at: MonotonicMs,
}

/// What a statement changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum RateChange {
    /// Nothing: the statement is not certain to be newer than the last one, or says the same.
    Unchanged,
    /// The same limit is stated again.
    Confirmed,
    /// A limit is in force from now on, or another one than before.
    Limited,
    /// The limit has ended.
    Lifted,
}

/// The latest statement of an endpoint.
///
/// # Examples
///
/// ```
/// use celeryknot_core::{MonotonicMs, RatePerS};
/// use celeryknot_policy::rate_limit::{RateChange, RateStatement, StatedRateLimit};
///
/// let mut stated = StatedRateLimit::default();
/// let statement = |rate, sent_at, arrived_at| RateStatement {
///     rate,
///     sent_at: MonotonicMs(sent_at),
///     arrived_at: MonotonicMs(arrived_at),
/// };
/// let limited = statement(Some(RatePerS(2.5)), 1_000, 1_100);
/// assert_eq!(stated.observe(limited), RateChange::Limited);
/// let late = statement(None, 900, 1_200);
/// assert_eq!(stated.observe(late), RateChange::Unchanged);
/// assert_eq!(stated.rate(MonotonicMs(1_200)), Some(RatePerS(2.5)));
/// let lifted = statement(None, 1_300, 1_400);
/// assert_eq!(stated.observe(lifted), RateChange::Lifted);
/// assert_eq!(stated.rate(MonotonicMs(1_400)), None);
/// ```
#[derive(Debug, Clone, Default)]
pub struct StatedRateLimit {
    latest: Option<RateStatement>,
    /// The last limit that was lifted, and when.
    lifted: Option<(RatePerS, MonotonicMs)>,
}

impl StatedRateLimit {
    /// Applies what an answer states.
    pub fn observe(&mut self, statement: RateStatement) -> RateChange {
        let RateStatement {
            rate,
            sent_at,
            arrived_at,
        } = statement;
        let previous = self.rate(arrived_at);
        let is_newer = self.latest.is_none_or(|latest| sent_at > latest.arrived_at);
        // Answers of an endpoint that has stated no limit are not remembered: its first statement
        // counts at once.
        if !is_newer || (previous.is_none() && rate.is_none()) {
            return RateChange::Unchanged;
        }
        self.latest = Some(statement);
        match (previous, rate) {
            (Some(previous), Some(rate)) if previous == rate => RateChange::Confirmed,
            (Some(_) | None, Some(_)) => RateChange::Limited,
            (previous, None) => {
                self.lifted = previous.map(|rate| (rate, arrived_at));
                RateChange::Lifted
            }
        }
    }

    /// Returns the stated limit that is in force.
    pub fn rate(&self, now: MonotonicMs) -> Option<RatePerS> {
        let latest = self.latest.filter(|it| now - it.sent_at < STATEMENT_TTL)?;
        latest.rate
    }

    /// Returns the limit to keep: the stated one, or one that is being raised after its end.
    pub fn limit(&self, now: MonotonicMs) -> Option<FleetRateLimit> {
        if let Some(rate) = self.rate(now) {
            return Some(limit_for(rate));
        }
        let (rate, ended_at) = self.ended()?;
        let elapsed_ms = now - ended_at;
        let doublings = elapsed_ms.0 as f64 / RAMP_DOUBLING.0 as f64;
        let raised = RatePerS(rate.0.max(RAMP_RATE_MIN.0) * doublings.exp2());
        (elapsed_ms < RAMP).then(|| limit_for(raised))
    }

    /// Returns the last limit that has ended, by a statement or by the lack of one, and when.
    fn ended(&self) -> Option<(RatePerS, MonotonicMs)> {
        let latest = self.latest?;
        match latest.rate {
            Some(rate) => Some((rate, latest.sent_at + STATEMENT_TTL)),
            None => self.lifted,
        }
    }
}

fn limit_for(stated: RatePerS) -> FleetRateLimit {
    FleetRateLimit {
        rate: RatePerS(stated.0.max(RATE_MIN.0)),
        window_ms: WINDOW,
        max_per_window: stated.count_in(WINDOW) * RATE_FACTOR + ALLOWANCE,
    }
}
