//! State that the tasks of one traffic thread share.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use celeryknot_callers::{CallerLimits, ThreadExecutor};
use celeryknot_core::{DurationMs, EndpointName, ErrorKind, MonotonicMs, Timers};
use celeryknot_endpoints::ConnectionPool;
use celeryknot_policy::direct::EndpointPaths;
use celeryknot_policy::stall::StallDetector;

use super::peer_connection::PeerConnections;
use super::service_states::ServiceStates;
use super::shared::Shared;
use crate::snapshot::Snapshot;

/// Interval between the ticks of a thread.
pub(crate) const TICK: DurationMs = DurationMs(50);

/// Delay of a tick from which the process counts as stalled.
const STALL_THRESHOLD: DurationMs = DurationMs(700);

/// Time after a stall in which nothing is sent, so that the control thread can mark stale state.
const POST_STALL_HOLD: DurationMs = DurationMs(250);

/// State of one traffic thread; only `shared` is shared with other threads.
#[derive(Debug)]
pub(crate) struct ThreadContext {
    pub(crate) index: usize,
    pub(crate) shared: Arc<Shared>,
    pub(crate) executor: ThreadExecutor,
    pub(crate) limits: CallerLimits,
    pub(crate) timers: Timers,
    pub(crate) connections: ConnectionPool,
    pub(crate) peers: PeerConnections,
    pub(crate) service_states: RefCell<ServiceStates>,
    /// Time of the last load report of each endpoint that this thread admits.
    load_report_times: RefCell<HashMap<EndpointName, MonotonicMs>>,
    /// The endpoints that this daemon can't connect to.
    pub(crate) paths: RefCell<EndpointPaths>,
    stall_detector: RefCell<StallDetector>,
    sends_held_until: Cell<MonotonicMs>,
}

impl ThreadContext {
    pub(crate) fn new(index: usize, shared: Arc<Shared>, executor: ThreadExecutor) -> Rc<Self> {
        let settings = &shared.settings;
        let limits = CallerLimits::builder()
            .header_size_max_bytes(settings.header_size_max_bytes)
            .header_timeout_ms(settings.header_timeout_ms)
            .idle_timeout_ms(settings.header_timeout_ms)
            .body_timeout_ms(settings.body_timeout_ms)
            .build();
        let now = shared.clock.now();
        let timers = Timers::default();
        timers.advance(now);
        Rc::new(Self {
            index,
            executor,
            limits,
            connections: ConnectionPool::new(timers.clone()),
            timers,
            peers: PeerConnections::default(),
            service_states: RefCell::new(ServiceStates::default()),
            load_report_times: RefCell::default(),
            paths: RefCell::default(),
            stall_detector: RefCell::new(StallDetector::new(TICK, STALL_THRESHOLD, now)),
            sends_held_until: Cell::new(MonotonicMs(0)),
            shared,
        })
    }

    pub(crate) fn now(&self) -> MonotonicMs {
        self.shared.clock.now()
    }

    /// Records that an endpoint reported its load, in a response or to a poll.
    pub(crate) fn record_load_report(&self, endpoint: &EndpointName) {
        let mut load_report_times = self.load_report_times.borrow_mut();
        match load_report_times.get_mut(endpoint) {
            Some(at) => *at = self.now(),
            None => {
                load_report_times.insert(endpoint.clone(), self.now());
            }
        }
    }

    /// Returns whether the endpoint's last load report is younger than `age`.
    pub(crate) fn has_load_report_within(&self, endpoint: &EndpointName, age: DurationMs) -> bool {
        let load_report_times = self.load_report_times.borrow();
        let at = load_report_times.get(endpoint);
        at.is_some_and(|at| self.now() - *at < age)
    }

    /// Evicts the report times that have reached `age`.
    pub(crate) fn evict_load_reports(&self, age: DurationMs) {
        let now = self.now();
        self.load_report_times
            .borrow_mut()
            .retain(|_, at| now - *at < age);
    }

    /// Records whether a connection to an endpoint could be opened.
    pub(crate) fn record_connection(&self, address: SocketAddr, is_open: bool) {
        let mut paths = self.paths.borrow_mut();
        if is_open {
            if paths.record_connection(address) {
                tracing::info!(%address, "endpoint accepts connections again");
            }
        } else if paths.record_failure(self.now(), address, rand::random()) {
            tracing::info!(%address, "endpoint accepts no connection");
        }
    }

    pub(crate) fn snapshot(&self) -> Arc<Snapshot> {
        self.shared.feed.snapshot.load_full()
    }

    /// Records a tick of the thread; returns whether the process stalled before it.
    pub(crate) fn tick(&self) -> bool {
        let now = self.now();
        let is_stalled = self.stall_detector.borrow_mut().tick(now).is_some();
        if is_stalled {
            self.sends_held_until.set(now + POST_STALL_HOLD);
        }
        is_stalled
    }

    /// Checks, directly before the first byte is sent, that sending is still allowed.
    ///
    /// # Errors
    ///
    /// `DeadlinePast`, or `Paused` while this process may act on stale state.
    pub(crate) fn check_may_send(&self, deadline_at: Option<MonotonicMs>) -> Result<(), ErrorKind> {
        let now = self.now();
        if deadline_at.is_some_and(|deadline_at| now >= deadline_at) {
            return Err(ErrorKind::DeadlinePast);
        }
        if now < self.sends_held_until.get() || self.stall_detector.borrow().is_overdue(now) {
            return Err(ErrorKind::Paused);
        }
        Ok(())
    }
}
