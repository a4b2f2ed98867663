//! State shared between the threads of a gateway.

use std::convert::Infallible;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use arc_swap::ArcSwap;
use async_channel::{Receiver, Sender};
use celeryknot_core::endpoint_updates::EndpointUpdate;
use celeryknot_core::{DurationMs, EndpointTag, MonotonicMs};
use celeryknot_operators::GatewayMetrics;
use celeryknot_settings::{FleetBounds, GatewaySettings};

use crate::clock::Clock;
use crate::in_flight::Counts;
use crate::logs;
use crate::view::View;

/// A signal that is given by closing the channel; nothing is sent on it.
pub(crate) type Signal = Receiver<Infallible>;

/// Updates queued for the other thread; further ones are dropped while the queue is full.
const UPDATE_QUEUE_LEN_MAX: usize = 4_096;

/// Queues an update for the other thread; returns whether the queue had room.
///
/// The channel is unbounded, as a bounded one allocates all its places in advance.
pub(crate) fn try_queue<T>(queue: &Sender<T>, update: T) -> bool {
    queue.len() < UPDATE_QUEUE_LEN_MAX && queue.try_send(update).is_ok()
}

/// Value of `connections_end_at_ms` before a shutdown starts.
pub(crate) const NOT_DRAINING: u64 = u64::MAX;

/// Time for the last answers to be written before connections end.
const FINAL_ANSWER_MARGIN: DurationMs = DurationMs(100);

/// Time after the start in which requests wait for the first configuration.
///
/// The store responds within milliseconds, or within a quarter of a second when it is slow; a
/// refused caller retries a second later.
const FIRST_CONFIGURATION_WAIT: DurationMs = DurationMs(500);

/// An update about endpoints from the traffic thread to the control thread.
#[derive(Debug, Clone, Copy)]
pub(crate) enum TrafficUpdate {
    /// An update to relay to peers.
    Endpoint(EndpointUpdate),
    /// This daemon's requests in flight at an endpoint.
    InFlight { endpoint: EndpointTag, count: u32 },
}

/// An update about endpoints from the control thread to the traffic thread.
#[derive(Debug, Clone)]
pub(crate) enum PeerUpdate {
    /// An observation of another daemon.
    Endpoint(EndpointUpdate),
    /// Requests that all daemons together have in flight.
    Totals(Counts),
}

/// State shared between the control and traffic threads.
///
/// Read-only except for the bounds, the view, counters and flags.
#[derive(Debug)]
pub(crate) struct Shared {
    /// The settings at the start; a reload changes only `bounds`.
    pub(crate) settings: GatewaySettings,
    /// The active bounds; a reload replaces them.
    pub(crate) bounds: ArcSwap<FleetBounds>,
    pub(crate) clock: Clock,
    pub(crate) metrics: GatewayMetrics,
    pub(crate) view: ArcSwap<View>,
    /// Updates from the traffic thread to the control thread.
    pub(crate) traffic_updates: (Sender<TrafficUpdate>, Receiver<TrafficUpdate>),
    /// Updates from peers to the traffic thread.
    pub(crate) peer_updates: Sender<PeerUpdate>,
    /// When any daemon last read the store, on this daemon's clock.
    pub(crate) store_read_at_ms: AtomicU64,
    /// When any daemon read the store as it is in the view, on this daemon's clock.
    pub(crate) copied_at_ms: AtomicU64,
    /// Whether this daemon's last read of the store failed.
    pub(crate) is_store_unreachable: AtomicBool,
    /// When connections end; `NOT_DRAINING` before a shutdown.
    pub(crate) connections_end_at_ms: AtomicU64,
    /// Closed when callers' connections must close after their requests in flight.
    pub(crate) drain_connections: Signal,
    pub(crate) in_flight: Arc<AtomicU64>,
    pub(crate) connections: Arc<AtomicU64>,
}

impl Shared {
    pub(crate) fn now(&self) -> MonotonicMs {
        self.clock.now()
    }

    /// Records when the store was read; earlier times are ignored.
    pub(crate) fn note_store_read(&self, at: MonotonicMs) {
        self.store_read_at_ms.fetch_max(at.0, Ordering::AcqRel);
    }

    /// Records that the view has the store as it was read at a time.
    pub(crate) fn note_copied(&self, at: MonotonicMs) {
        self.copied_at_ms.fetch_max(at.0, Ordering::AcqRel);
    }

    /// Returns whether the view has the store as it was read at a time, or later.
    pub(crate) fn is_copied_since(&self, at: MonotonicMs) -> bool {
        self.copied_at_ms.load(Ordering::Acquire) >= at.0
    }

    /// Returns the time since any daemon last read the store.
    pub(crate) fn store_age(&self) -> DurationMs {
        self.now() - MonotonicMs(self.store_read_at_ms.load(Ordering::Acquire))
    }

    /// Returns whether the first configuration is likely to arrive within moments.
    pub(crate) fn expects_configuration(&self) -> bool {
        let has_just_started = self.now() - MonotonicMs::PROCESS_START < FIRST_CONFIGURATION_WAIT;
        has_just_started && !self.is_store_unreachable.load(Ordering::Acquire)
    }

    /// Starts a shutdown in which connections end after the given time.
    pub(crate) fn start_draining(&self, connections_end_after: DurationMs) {
        let end = self.now() + connections_end_after;
        self.connections_end_at_ms.store(end.0, Ordering::Release);
    }

    pub(crate) fn is_draining(&self) -> bool {
        self.connections_end_at_ms.load(Ordering::Acquire) != NOT_DRAINING
    }

    /// Returns the time in which answers must end; `None` before a shutdown.
    pub(crate) fn time_left(&self) -> Option<DurationMs> {
        let end_at_ms = self.connections_end_at_ms.load(Ordering::Acquire);
        let answers_end = MonotonicMs(end_at_ms.saturating_sub(FINAL_ANSWER_MARGIN.0));
        (end_at_ms != NOT_DRAINING).then(|| answers_end - self.now())
    }

    /// Updates the gauges that are derived from shared state, and renders all metrics.
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
        !self.is_draining() && self.view.load().is_usable()
    }
}
