//! What the threads of one gateway share.

use std::convert::Infallible;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Instant;

use arc_swap::ArcSwap;
use async_channel::{Receiver, Sender};
use celeryknot_core::{DurationMs, EndpointTag, MonotonicMs};
use celeryknot_operators::GatewayMetrics;
use celeryknot_settings::{FleetBounds, GatewaySettings};

use crate::endpoint_news::EndpointNews;
use crate::in_flight::Counts;
use crate::logs;
use crate::view::View;

/// A channel on which nothing is sent: closing it is the signal.
pub(crate) type Signal = Receiver<Infallible>;

/// News that wait for the other thread; later ones are dropped while it lags behind.
pub(crate) const NEWS_LEN_MAX: usize = 4_096;

/// Stands in `leaving_since_ms` while no shutdown has begun.
pub(crate) const NOT_LEAVING: u64 = u64::MAX;

/// Time before the end of the grace time from which requests are refused.
///
/// Nearly all requests last shorter; a refused one is served at once by another daemon, and one
/// that is cut is lost.
const LAST_REQUEST_BEFORE_END: DurationMs = DurationMs(3_000);

/// Time after the start for which requests wait for the first configuration.
///
/// The store answers within some milliseconds, within a quarter of a second when it is slow; a
/// caller that is refused comes back a second later.
const FIRST_CONFIGURATION_WAIT: DurationMs = DurationMs(500);

/// What the traffic thread tells the control thread of endpoints.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Heard {
    /// What peers are to be told.
    News(EndpointNews),
    /// What this daemon has in flight at an endpoint.
    InFlight { endpoint: EndpointTag, count: u32 },
}

/// What the control thread tells the traffic thread of endpoints.
#[derive(Debug, Clone)]
pub(crate) enum Told {
    /// What another daemon has seen.
    News(EndpointNews),
    /// What all daemons have in flight together.
    Totals(Counts),
}

/// Read-only but for the view, counters and flags.
#[derive(Debug)]
pub(crate) struct Shared {
    /// As they were at the start, but for what a reload changes.
    pub(crate) settings: GatewaySettings,
    /// The bounds in force; a reload changes them.
    pub(crate) bounds: ArcSwap<FleetBounds>,
    pub(crate) started_at: Instant,
    pub(crate) metrics: GatewayMetrics,
    pub(crate) view: ArcSwap<View>,
    /// What the traffic thread has heard and has in flight, for the control thread.
    pub(crate) news_heard: (Sender<Heard>, Receiver<Heard>),
    /// What peers have told, for the traffic thread.
    pub(crate) news_told: Sender<Told>,
    /// When the store was last read, by whichever daemon, on this daemon's clock.
    pub(crate) store_heard_at_ms: AtomicU64,
    /// Whether this daemon's last read of the store failed.
    pub(crate) is_store_away: AtomicBool,
    /// When the shutdown began; `NOT_LEAVING` before.
    pub(crate) leaving_since_ms: AtomicU64,
    /// Closed when connections of callers are to end after the requests in flight.
    pub(crate) callers_end: Signal,
    pub(crate) in_flight: Arc<AtomicU64>,
    pub(crate) connections: Arc<AtomicU64>,
}

impl Shared {
    pub(crate) fn now(&self) -> MonotonicMs {
        let elapsed_ms = self.started_at.elapsed().as_millis();
        MonotonicMs(u64::try_from(elapsed_ms).unwrap_or(u64::MAX))
    }

    /// Notes when the store was read; an earlier time changes nothing.
    pub(crate) fn note_store_heard(&self, at: MonotonicMs) {
        self.store_heard_at_ms.fetch_max(at.0, Ordering::AcqRel);
    }

    /// Returns the time since the store was last read, by whichever daemon.
    pub(crate) fn store_age(&self) -> DurationMs {
        self.now() - MonotonicMs(self.store_heard_at_ms.load(Ordering::Acquire))
    }

    /// Tells whether the first configuration is likely to come within moments.
    pub(crate) fn expects_configuration(&self) -> bool {
        let has_just_started = self.now() < MonotonicMs(FIRST_CONFIGURATION_WAIT.0);
        has_just_started && !self.is_store_away.load(Ordering::Acquire)
    }

    /// Notes that a shutdown begins.
    pub(crate) fn start_leaving(&self) {
        let now_ms = self.now().0;
        self.leaving_since_ms.store(now_ms, Ordering::Release);
    }

    pub(crate) fn is_leaving(&self) -> bool {
        self.leaving_since_ms.load(Ordering::Acquire) != NOT_LEAVING
    }

    /// Tells whether the process will live long enough for a request that begins now.
    ///
    /// The balancer sends callers to a leaving daemon as well while too few others are left in
    /// its zone.
    pub(crate) fn has_time_for_requests(&self) -> bool {
        let since_ms = self.leaving_since_ms.load(Ordering::Acquire);
        let grace_ms = self.bounds.load().shutdown_grace_ms;
        let taken_ms = grace_ms.0.saturating_sub(LAST_REQUEST_BEFORE_END.0);
        since_ms == NOT_LEAVING || self.now() - MonotonicMs(since_ms) < DurationMs(taken_ms)
    }

    /// Writes all metrics, after those that are read off here are brought up to date.
    pub(crate) fn render_metrics(&self) -> String {
        let view = self.view.load();
        let table = view.table.as_ref();
        let metrics = &self.metrics;
        let count = |counter: &AtomicU64| counter.load(Ordering::Acquire) as i64;
        metrics.connections.set(count(&self.connections));
        metrics.requests_in_flight.set(count(&self.in_flight));
        metrics.ready.set(i64::from(self.is_ready()));
        metrics.members.set(view.members.len() as i64);
        metrics.store_age_ms.set(self.store_age().0 as i64);
        let version = table.map_or(0, |table| table.version());
        metrics.configuration_version.set(version as i64);
        metrics.log_lines_dropped.set(logs::dropped_lines());
        metrics.render()
    }

    pub(crate) fn is_ready(&self) -> bool {
        !self.is_leaving() && self.view.load().is_usable()
    }
}
