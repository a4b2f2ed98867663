//! State shared between the tasks of the traffic thread.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;

use arc_swap::Guard;
use async_channel::{Receiver, Sender};
use celeryknot_callers::{CallerLimits, ConnectionTimeouts, ThreadExecutor};
use celeryknot_core::endpoint_updates::{EndpointUpdate, Observation};
use celeryknot_core::{
    DurationMs, EndpointName, EndpointTag, ErrorKind, MonotonicMs, RatePerS, Refusal, RequestTag,
    ServiceName, SizeBytes, SoftwareVersion, Timers,
};
use celeryknot_endpoints::ConnectionPool;
use celeryknot_policy::direct::endpoint::PAUSE_MAX;
use celeryknot_policy::direct::{
    AttemptFailure, EndpointPaths, EndpointPool, Placement, PlacementRequest, PoolLimits,
    RefusalIds, ReportedLoad, RetryBounds, RetryDelay, RetryEstimate, RetryShare, ServiceRoom,
    StreamVersions,
};
use celeryknot_policy::rate_limit::{FleetRateLimit, RateChange, RateStatement};
use celeryknot_policy::routing::{RequestLimits, Service};
use celeryknot_settings::FleetBounds;

use super::admission::{AdmissionLanes, LaneKey};
use super::call::Call;
use super::crash_watch::CrashTable;
use super::hop::HopBackoffs;
use super::shutdown::RouteTimes;
use crate::platform_protocol::TakenUpStream;
use crate::rate_log::{log_rate_change, log_refusal_limit};
use crate::shared::{PeerUpdate, Shared, Signal, TrafficUpdate, try_queue};
use crate::view::View;
use crate::zone_log::log_overflow_change;

/// Minimum number of daemons that share the fleet's bounds, since some may not be known yet.
const MEMBER_COUNT_MIN: usize = 12;

/// Length of the windows in which requests to a cold endpoint are counted.
const COLD_WINDOW: DurationMs = DurationMs(1_000);

/// Time beyond its route's timeout for which a stream may be as old when a caller takes it up: other
/// daemons learn late that its endpoint was delisted.
const STREAM_AGE_MARGIN: DurationMs = DurationMs(5_000);

/// Idle timeout of peers' connections; much longer than peers keep one idle, whatever it is for
/// callers.
const HOP_IDLE_TIMEOUT: DurationMs = DurationMs(10_000);

/// Size of the fields that daemons add to requests.
const HOP_FIELDS_SIZE_MAX: SizeBytes = SizeBytes(8 << 10);

/// Longest wait for a copy of the store that is read after a request has arrived; readers' watches end
/// after a second.
const COPY_WAIT_MAX: DurationMs = DurationMs(1_500);

/// Interval between checks for it.
const COPY_POLL: DurationMs = DurationMs(20);

/// This daemon's state of one service.
#[derive(Debug)]
struct ServiceState {
    pool: EndpointPool,
    retries: RetryShare,
    tags: HashMap<EndpointTag, EndpointName>,
    /// The versions that began the streams of this daemon, and those that peers told of.
    streams: StreamVersions,
    refusal_ids: RefusalIds,
    retry_delay: RetryDelay,
}

/// The state of the traffic thread.
#[derive(Debug)]
pub(crate) struct TrafficThread {
    pub(crate) shared: Arc<Shared>,
    pub(crate) executor: ThreadExecutor,
    pub(crate) timers: Timers,
    pub(crate) connections: ConnectionPool,
    services: RefCell<HashMap<ServiceName, ServiceState>>,
    applied_view_version: Cell<u64>,
    applied_bounds: RefCell<Arc<FleetBounds>>,
    /// Updates from peers about endpoints.
    peer_updates: Receiver<PeerUpdate>,
    /// The active timeouts of callers' connections.
    pub(crate) connection_timeouts: ConnectionTimeouts,
    /// A signal that is never given while the thread runs.
    pub(crate) never_closed: Signal,
    _never_closed_sender: Sender<Infallible>,
    /// The suspected and banned parts of prompts.
    pub(super) crash_table: CrashTable,
    /// The endpoints that this daemon can't connect to.
    pub(super) paths: RefCell<EndpointPaths>,
    /// The peers that lately made no attempt for this daemon.
    pub(super) hop_backoffs: RefCell<HopBackoffs>,
    /// Attempts that this daemon makes for others.
    pub(super) hops_in: Arc<AtomicU64>,
    /// Durations of answers, for requests that arrive during a shutdown.
    pub(super) route_times: RefCell<RouteTimes>,
    /// Requests without a prompt that wait for room.
    pub(super) admission_lanes: Rc<AdmissionLanes>,
    /// Closed when requests that still wait for an answer must end.
    pub(super) final_answers: Signal,
    _final_answers_sender: Sender<Infallible>,
    /// Whether the thread ends, which cuts the answers that still run.
    pub(super) is_ending: Cell<bool>,
}

impl ServiceState {
    /// Applies another daemon's observation if it concerns one of the service's endpoints.
    fn apply_peer_update(&mut self, now: MonotonicMs, update: &EndpointUpdate) {
        let Some(name) = self.tags.get(&update.endpoint) else {
            return;
        };
        match update.observation {
            Observation::RateLimit { rate } => {
                let statement = RateStatement {
                    rate,
                    sent_at: update.at,
                    arrived_at: now,
                };
                let change = self.pool.observe_rate_statement(name, statement);
                log_rate_change(name, rate, change);
            }
            Observation::Load { held, pace } => {
                if let Some(pace) = pace {
                    self.pool.observe_pace(update.at, name, pace);
                }
                self.pool.observe_load_from_peer(update.at, name, held);
            }
            Observation::Unreachable => self.pool.observe_unreachable_from_peer(update.at, name),
            Observation::Leaving => {
                if self.pool.observe_leaving(update.at, name) {
                    log_leaving(name, None);
                }
            }
            Observation::BeganStream { stream } => {
                if let Some(version) = self.pool.version_of(name) {
                    self.streams.record(now, stream, version);
                }
            }
            Observation::HoldsPrompt { prompt } => {
                self.pool.observe_holder_from_peer(update.at, prompt, name)
            }
            // These concern all services.
            Observation::CrashedOn { .. } | Observation::Answered { .. } => {}
        }
    }
}

impl TrafficThread {
    pub(crate) fn new(
        shared: Arc<Shared>,
        executor: ThreadExecutor,
        peer_updates: Receiver<PeerUpdate>,
    ) -> Rc<Self> {
        let timers = Timers::default();
        timers.advance(shared.now());
        let (never_sender, never_closed) = async_channel::bounded(1);
        let (final_answers_sender, final_answers) = async_channel::bounded(1);
        Rc::new(Self {
            connections: ConnectionPool::new(timers.clone()),
            executor,
            timers,
            services: RefCell::default(),
            applied_view_version: Cell::new(0),
            applied_bounds: RefCell::new(shared.bounds.load_full()),
            peer_updates,
            connection_timeouts: ConnectionTimeouts::new(&CallerLimits::default()),
            never_closed,
            _never_closed_sender: never_sender,
            crash_table: CrashTable::default(),
            paths: RefCell::default(),
            hop_backoffs: RefCell::default(),
            hops_in: Arc::default(),
            route_times: RefCell::default(),
            admission_lanes: Rc::default(),
            final_answers,
            _final_answers_sender: final_answers_sender,
            is_ending: Cell::new(false),
            shared,
        })
    }

    pub(crate) fn now(&self) -> MonotonicMs {
        self.shared.now()
    }

    /// Returns the current view after applying it to the pools.
    pub(crate) fn view(&self) -> Guard<Arc<View>> {
        let view = self.shared.view.load();
        let bounds = self.shared.bounds.load();
        let are_bounds_changed = !Arc::ptr_eq(&bounds, &self.applied_bounds.borrow());
        if view.version != self.applied_view_version.get() || are_bounds_changed {
            self.applied_view_version.set(view.version);
            self.applied_bounds.replace(Arc::clone(&bounds));
            self.apply_view(&view, &bounds);
        }
        self.apply_peer_updates();
        view
    }

    /// Applies the queued updates from the control thread.
    fn apply_peer_updates(&self) {
        let now = self.now();
        let mut services = self.services.borrow_mut();
        while let Ok(update) = self.peer_updates.try_recv() {
            if let PeerUpdate::Endpoint(update) = &update {
                self.apply_suspect_update(update);
            }
            for state in services.values_mut() {
                match &update {
                    PeerUpdate::Endpoint(update) => state.apply_peer_update(now, update),
                    PeerUpdate::Totals(totals) => {
                        state.pool.observe_totals(now, |name| {
                            let total = totals.get(&EndpointTag::new(name));
                            total.copied().unwrap_or(0)
                        });
                    }
                }
            }
        }
    }

    /// Returns the limits for a new connection of a caller.
    pub(crate) fn caller_limits(&self) -> CallerLimits {
        let view = self.view();
        let limits = view.table.as_ref().map(|table| *table.limits());
        build_caller_limits(limits.unwrap_or_default())
    }

    /// Returns the limits for a connection of a peer, which adds fields to requests of callers.
    pub(crate) fn peer_limits(&self) -> CallerLimits {
        let view = self.view();
        let limits = view.table.as_ref().map(|table| *table.limits());
        let mut limits = limits.unwrap_or_default();
        limits.header_size_max_bytes.0 += HOP_FIELDS_SIZE_MAX.0;
        limits.idle_timeout_ms = HOP_IDLE_TIMEOUT;
        build_caller_limits(limits)
    }

    fn apply_view(&self, view: &View, bounds: &FleetBounds) {
        let mut services = self.services.borrow_mut();
        let Some(table) = &view.table else {
            return;
        };
        self.connection_timeouts
            .update(&build_caller_limits(*table.limits()));
        // An earlier process of this daemon may have spent its share until this one started.
        let allowance_from = match self.shared.settings.is_first_start {
            true => MonotonicMs::PROCESS_START,
            false => MonotonicMs::PROCESS_START + bounds.retry_window_ms,
        };
        for service in table.services() {
            let limits = self.pool_limits(view, bounds, service);
            let members = view.members.len().max(MEMBER_COUNT_MIN);
            let retries = RetryBounds {
                ratio: bounds.retry_ratio,
                window_ms: bounds.retry_window_ms,
                allowance: bounds.retry_allowance / members as f64,
            };
            let state = services
                .entry(service.name.clone())
                .or_insert_with(|| ServiceState {
                    pool: EndpointPool::new(limits.clone()),
                    retries: RetryShare::new(retries).with_allowance_from(allowance_from),
                    tags: HashMap::new(),
                    streams: StreamVersions::default(),
                    refusal_ids: RefusalIds::default(),
                    retry_delay: RetryDelay::default(),
                });
            state.pool.set_limits(limits);
            let settings = &self.shared.settings;
            state
                .pool
                .set_zone_preference(settings.zone.clone(), settings.zone_preference);
            state.retries.set_bounds(retries);
            let listed = view.endpoints.get(&service.name);
            let names = listed.into_iter().flatten().map(|it| it.name.clone());
            state.tags = names.map(|name| (EndpointTag::new(&name), name)).collect();
            let listed = listed.into_iter().flatten().cloned();
            state.pool.relist(self.now(), listed);
        }
    }

    fn pool_limits(&self, view: &View, bounds: &FleetBounds, service: &Service) -> PoolLimits {
        let cold_rate_limit = service.cold_rate_limit().map(|rate| FleetRateLimit {
            rate,
            window_ms: COLD_WINDOW,
            max_per_window: rate.0 * bounds.cold_factor + bounds.cold_allowance,
        });
        PoolLimits {
            own_name: self.shared.settings.name.clone(),
            members: view.members.clone(),
            members_min: match view.are_members_settled {
                true => 1,
                false => MEMBER_COUNT_MIN,
            },
            drain_ms: bounds.drain_ms,
            load_factor: bounds.load_factor,
            cache_ttl_ms: bounds.cache_reuse_ms,
            cold_rate_limit,
        }
    }

    /// Counts a request before its first attempt.
    pub(crate) fn observe_first_attempt(&self, service: &ServiceName) {
        if let Some(state) = self.services.borrow_mut().get_mut(service) {
            state.retries.observe_first_attempt(self.now());
        }
    }

    /// Returns whether this daemon's share of the service's retry budget has a retry left.
    pub(crate) fn has_retry(&self, service: &ServiceName) -> bool {
        let mut services = self.services.borrow_mut();
        let state = services.get_mut(service);
        state.is_some_and(|state| state.retries.has_retry(self.now()))
    }

    /// Takes one retry from this daemon's share of the service's retry budget.
    pub(crate) fn try_take_retry(&self, service: &ServiceName) -> bool {
        let mut services = self.services.borrow_mut();
        let state = services.get_mut(service);
        state.is_some_and(|state| state.retries.try_take(self.now()))
    }

    /// Records that an endpoint of a service refused a request without its id.
    pub(super) fn observe_refusal_without_id(&self, service: &ServiceName) {
        if let Some(state) = self.services.borrow_mut().get_mut(service) {
            state.refusal_ids.observe_missing(self.now());
        }
    }

    /// Counts a refused request of a service; returns the estimate of the time until there is room if
    /// its endpoints report their pace.
    pub(super) fn observe_refusal(&self, service: &ServiceName) -> Option<RetryEstimate> {
        let now = self.now();
        let mut services = self.services.borrow_mut();
        let state = services.get_mut(service)?;
        state.retry_delay.observe_refused(now);
        let is_active = state.pool.reports_pace(now);
        // Requests that wait at the admission gate aren't counted.
        is_active.then(|| state.retry_delay.estimate(now, 0))?
    }

    /// Counts a request of a service that an endpoint answered.
    fn observe_finished(&self, service: &ServiceName) {
        if let Some(state) = self.services.borrow_mut().get_mut(service) {
            state.retry_delay.observe_finished(self.now());
        }
    }

    /// Returns whether a refusal by an endpoint of a service may lack the request's id.
    pub(super) fn are_refusal_ids_missing(&self, service: &ServiceName) -> bool {
        let services = self.services.borrow();
        let state = services.get(service);
        state.is_some_and(|state| state.refusal_ids.are_missing(self.now()))
    }

    /// Returns the only software version at which a stream that a caller takes up may go on.
    ///
    /// Without a record, only a copy of the store that was read since the request arrived shows that
    /// no other version can have begun the stream.
    pub(super) async fn find_stream_version(
        &self,
        call: &Call,
        taken_up: &TakenUpStream,
    ) -> Result<SoftwareVersion, Refusal> {
        let wait_until = call.deadline.min(call.arrived_at + COPY_WAIT_MAX);
        let (version, is_recorded) = loop {
            if let Some(recorded) = self.recorded_version(call, taken_up) {
                break (Some(recorded), true);
            }
            if self.shared.is_copied_since(call.arrived_at) {
                break (self.sole_version(call), false);
            }
            // Where there were several versions, nothing that is read now can help.
            if self.now() >= wait_until || self.sole_version(call).is_none() {
                break (None, false);
            }
            self.timers.after(COPY_POLL).await;
        };
        tracing::info!(
            request_id = call.head.request_id,
            first_request_id = taken_up.first_request_id,
            version = version.as_ref().map(tracing::field::display),
            is_recorded,
            waited_ms = (self.now() - call.arrived_at).0,
            "stream taken up"
        );
        version.ok_or_else(|| Refusal::new(ErrorKind::VersionUnknown))
    }

    fn recorded_version(&self, call: &Call, taken_up: &TakenUpStream) -> Option<SoftwareVersion> {
        drop(self.view());
        let tag = call.stream_tag(taken_up.first_request_id.as_deref()?);
        let services = self.services.borrow();
        let state = services.get(&call.service)?;
        state.streams.find(self.now(), tag).cloned()
    }

    /// Returns the only version that the service has had for as long as a stream may be old.
    fn sole_version(&self, call: &Call) -> Option<SoftwareVersion> {
        let view = self.view();
        let window = stream_age_max(call);
        let versions = &view.versions;
        versions
            .sole_version(self.now(), &call.service, window)
            .cloned()
    }

    /// Records the software version that wrote the first event of a stream; tells peers unless it is
    /// certainly the only one of the service.
    pub(super) fn record_stream(
        &self,
        call: &Call,
        stream: RequestTag,
        endpoint: &EndpointName,
        version: &SoftwareVersion,
    ) {
        let now = self.now();
        let service = &call.service;
        if let Some(state) = self.services.borrow_mut().get_mut(service) {
            state.streams.record(now, stream, version);
        }
        let view = self.shared.view.load();
        let sole_version = view
            .versions
            .sole_version(now, service, stream_age_max(call));
        if sole_version.is_none() {
            let endpoint = EndpointTag::new(endpoint);
            self.report_to_peers(endpoint, Observation::BeganStream { stream });
        }
    }

    /// Returns whether an endpoint accepts requests, by the current view.
    pub(crate) fn accepts_requests(&self, service: &ServiceName, endpoint: &EndpointName) -> bool {
        drop(self.view());
        let services = self.services.borrow();
        let state = services.get(service);
        state.is_some_and(|state| state.pool.accepts_requests(self.now(), endpoint))
    }

    /// Returns an endpoint that accepts requests, by the current view.
    pub(super) fn accepting_endpoint(
        self: &Rc<Self>,
        service: &ServiceName,
        endpoint: &EndpointName,
    ) -> Option<EndpointHandle> {
        if !self.accepts_requests(service, endpoint) {
            return None;
        }
        let services = self.services.borrow();
        let address = services.get(service)?.pool.address_of(endpoint)?;
        Some(EndpointHandle {
            gateway: Rc::clone(self),
            service: service.clone(),
            name: endpoint.clone(),
            address,
        })
    }

    /// Forgets failures of an endpoint that may be due to the path to it, if peers may reach it.
    pub(super) fn forgive_failures(&self, address: SocketAddr) {
        if self.has_hop_peers() {
            for state in self.services.borrow_mut().values_mut() {
                state.pool.forgive_failures(address);
            }
        }
    }

    /// Returns the room for requests without a prompt, if the service's endpoints report their pace.
    pub(super) fn room(&self, lane: &LaneKey) -> Option<ServiceRoom> {
        let services = self.services.borrow();
        let pool = &services.get(&lane.service)?.pool;
        let now = self.now();
        let room = || pool.room(now, lane.allowed_zones.as_deref());
        pool.reports_pace(now).then(room).flatten()
    }

    /// Updates the gauge of the endpoints that state a rate limit.
    pub(crate) fn update_rate_limit_count(&self) {
        let now = self.now();
        let services = self.services.borrow();
        let counts = services.values().map(|it| it.pool.rate_limit_count(now));
        let count: usize = counts.sum();
        self.shared.metrics.rate_limits.set(count as i64);
    }

    /// Updates the fraction of each service's requests that leaves the own zone, also while none
    /// arrives.
    pub(crate) fn update_zone_overflow(&self) {
        let now = self.now();
        for (service, state) in self.services.borrow_mut().iter_mut() {
            state.pool.update_overflow(now);
            self.record_zone_overflow(service, &mut state.pool);
        }
    }

    fn record_zone_overflow(&self, service: &ServiceName, pool: &mut EndpointPool) {
        let fraction = pool.overflow_fraction();
        self.shared.metrics.set_zone_overflow(service, fraction);
        if let Some(change) = pool.take_overflow_change() {
            log_overflow_change(service, &self.shared.settings.zone, &change);
        }
    }

    /// Updates the gauge of the endpoints that are much slower than their service is on average.
    pub(crate) fn update_slow_endpoint_count(&self) {
        // Applies what peers reported, also while no request arrives.
        drop(self.view());
        let now = self.now();
        let services = self.services.borrow();
        let count: usize = services.values().map(|it| it.pool.slow_count(now)).sum();
        self.shared.metrics.slow_endpoints.set(count as i64);
    }

    /// Picks the endpoint for a request, which counts as in flight there until the guard drops.
    pub(crate) fn place(
        self: &Rc<Self>,
        service: &ServiceName,
        request: &PlacementRequest<'_>,
    ) -> Result<(Placement, InFlightGuard), Refusal> {
        let mut services = self.services.borrow_mut();
        let no_endpoint = || Refusal::new(ErrorKind::NoEndpoint);
        let state = services.get_mut(service).ok_or_else(no_endpoint)?;
        let placed = state.pool.place(self.now(), request);
        self.record_zone_overflow(service, &mut state.pool);
        let placement = placed?;
        let endpoint = EndpointTag::new(&placement.endpoint);
        self.send_to_control(TrafficUpdate::InFlight {
            endpoint,
            count: state.pool.in_flight(&placement.endpoint),
        });
        if let Some(shared) = request.shared.filter(|_| placement.should_announce_holder) {
            let prompt = shared.tag();
            self.report_to_peers(endpoint, Observation::HoldsPrompt { prompt });
        }
        let guard = InFlightGuard {
            endpoint: EndpointHandle {
                gateway: Rc::clone(self),
                service: service.clone(),
                name: placement.endpoint.clone(),
                address: placement.address,
            },
            was_silent: Cell::new(false),
            is_answered: Cell::new(false),
        };
        Ok((placement, guard))
    }

    pub(super) fn report_to_peers(&self, endpoint: EndpointTag, observation: Observation) {
        self.send_update(EndpointUpdate {
            endpoint,
            observation,
            at: self.now(),
        });
    }

    /// Sends an update to peers.
    pub(super) fn send_update(&self, update: EndpointUpdate) {
        self.send_to_control(TrafficUpdate::Endpoint(update));
    }

    fn send_to_control(&self, update: TrafficUpdate) {
        if !try_queue(&self.shared.traffic_updates.0, update) {
            tracing::debug!("the control thread's queue is full; dropped an update");
        }
    }

    fn with_pool(&self, service: &ServiceName, change: impl FnOnce(&mut EndpointPool)) {
        if let Some(state) = self.services.borrow_mut().get_mut(service) {
            change(&mut state.pool);
        }
    }
}

/// Returns the longest time since the beginning of a stream that a caller takes up.
fn stream_age_max(call: &Call) -> DurationMs {
    call.route.timeout_ms + STREAM_AGE_MARGIN
}

fn build_caller_limits(limits: RequestLimits) -> CallerLimits {
    CallerLimits::builder()
        .header_size_max_bytes(limits.header_size_max_bytes)
        .header_timeout_ms(limits.header_timeout_ms)
        .idle_timeout_ms(limits.idle_timeout_ms)
        .body_timeout_ms(limits.header_timeout_ms)
        .build()
}

/// An endpoint of a service, for recording what it does.
#[derive(Debug, Clone)]
pub(crate) struct EndpointHandle {
    pub(crate) gateway: Rc<TrafficThread>,
    pub(crate) service: ServiceName,
    pub(crate) name: EndpointName,
    pub(crate) address: SocketAddr,
}

impl EndpointHandle {
    pub(crate) fn observe_load(&self, load: ReportedLoad) {
        let now = self.gateway.now();
        self.gateway.with_pool(&self.service, |pool| {
            pool.observe_load(now, &self.name, load);
        });
        let observation = Observation::Load {
            held: load.running + load.waiting,
            pace: load.pace,
        };
        let endpoint = EndpointTag::new(&self.name);
        self.gateway.report_to_peers(endpoint, observation);
    }

    /// Records what an answer to a request sent at a time states about the endpoint's rate limit.
    pub(crate) fn observe_rate_limit(&self, sent_at: MonotonicMs, rate: Option<RatePerS>) {
        let statement = RateStatement {
            rate,
            sent_at,
            arrived_at: self.gateway.now(),
        };
        let mut change = RateChange::Unchanged;
        self.gateway.with_pool(&self.service, |pool| {
            change = pool.observe_rate_statement(&self.name, statement);
        });
        log_rate_change(&self.name, rate, change);
        if change != RateChange::Unchanged {
            self.gateway.send_update(EndpointUpdate {
                endpoint: EndpointTag::new(&self.name),
                observation: Observation::RateLimit { rate },
                at: sent_at,
            });
        }
    }

    /// Records what an answer to a request sent at a time states about the refusals that the endpoint
    /// survives.
    pub(crate) fn observe_refusal_limit(&self, sent_at: MonotonicMs, rate: Option<RatePerS>) {
        let statement = RateStatement {
            rate,
            sent_at,
            arrived_at: self.gateway.now(),
        };
        let mut is_changed = false;
        self.gateway.with_pool(&self.service, |pool| {
            is_changed = pool.observe_refusal_limit(&self.name, statement);
        });
        if is_changed {
            log_refusal_limit(&self.name, rate);
        }
    }

    /// Records that an answer to a request sent at a time states that the endpoint is leaving.
    pub(crate) fn observe_leaving(&self, sent_at: MonotonicMs, request_id: &str) {
        let mut is_new = false;
        self.gateway.with_pool(&self.service, |pool| {
            is_new = pool.observe_leaving(sent_at, &self.name);
        });
        if is_new {
            log_leaving(&self.name, Some(request_id));
            self.gateway.send_update(EndpointUpdate {
                endpoint: EndpointTag::new(&self.name),
                observation: Observation::Leaving,
                at: sent_at,
            });
        }
    }

    /// Records that an answer to a request sent at a time asks for no further ones for a time.
    pub(crate) fn observe_pause(
        &self,
        sent_at: MonotonicMs,
        pause_ms: DurationMs,
        request_id: &str,
    ) {
        let now = self.gateway.now();
        self.gateway.with_pool(&self.service, |pool| {
            pool.observe_pause(now, sent_at, &self.name, pause_ms);
        });
        self.gateway.shared.metrics.pauses.inc();
        log_pause(&self.name, pause_ms, request_id);
    }

    /// Returns whether the endpoint responded to this daemon or a peer within `silence_max`.
    pub(crate) fn has_responded(&self, silence_max: DurationMs) -> bool {
        let services = self.gateway.services.borrow();
        services.get(&self.service).is_some_and(|state| {
            let now = self.gateway.now();
            state.pool.has_responded(now, &self.name, silence_max)
        })
    }

    pub(crate) fn observe_success(&self) {
        let now = self.gateway.now();
        self.gateway.with_pool(&self.service, |pool| {
            pool.observe_success(now, &self.name);
        });
    }

    pub(crate) fn observe_failure(&self, failure: AttemptFailure) {
        let now = self.gateway.now();
        self.gateway.with_pool(&self.service, |pool| {
            pool.observe_failure(now, &self.name, failure);
        });
        // A daemon that can't connect doesn't know whether others can, unless it asks one.
        let is_doubtful = failure == AttemptFailure::NotSent && self.gateway.has_hop_peers();
        if failure.is_unreachable() && !is_doubtful {
            self.report_unreachable();
        }
    }

    /// Reports to peers that the endpoint can't be reached.
    pub(crate) fn report_unreachable(&self) {
        let endpoint = EndpointTag::new(&self.name);
        self.gateway
            .report_to_peers(endpoint, Observation::Unreachable);
    }
}

/// Counts a request as in flight at an endpoint until dropped.
#[derive(Debug)]
pub(crate) struct InFlightGuard {
    endpoint: EndpointHandle,
    /// Whether a silence of the endpoint has been recorded.
    was_silent: Cell<bool>,
    /// Whether the endpoint answered the request.
    is_answered: Cell<bool>,
}

impl InFlightGuard {
    /// Returns the endpoint at which the request counts.
    pub(crate) fn handle(&self) -> &EndpointHandle {
        &self.endpoint
    }

    /// Returns the name of the endpoint at which the request counts.
    pub(crate) fn endpoint(&self) -> &EndpointName {
        &self.endpoint.name
    }

    pub(crate) fn observe_success(&self) {
        self.is_answered.set(true);
        self.endpoint.observe_success();
    }

    pub(crate) fn observe_failure(&self, failure: AttemptFailure) {
        self.endpoint.observe_failure(failure);
    }

    /// Records that the endpoint was silent; further silences during the request count as one.
    pub(crate) fn observe_silence(&self) {
        if !self.was_silent.replace(true) {
            self.observe_failure(AttemptFailure::Unanswered);
            // The endpoint may be out of reach for this daemon alone.
            self.endpoint.gateway.spawn_probe(self.endpoint.address);
        }
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        let EndpointHandle {
            gateway,
            service,
            name,
            ..
        } = &self.endpoint;
        if self.is_answered.get() {
            gateway.observe_finished(service);
        }
        gateway.with_pool(service, |pool| {
            pool.finish(name);
            gateway.send_to_control(TrafficUpdate::InFlight {
                endpoint: EndpointTag::new(name),
                count: pool.in_flight(name),
            });
        });
    }
}

/// Logs that an endpoint gets no further requests, as it stated in its response to a request of this
/// daemon, or to a peer.
fn log_leaving(endpoint: &EndpointName, request_id: Option<&str>) {
    tracing::info!(%endpoint, request_id, "endpoint is leaving");
}

/// Logs that an endpoint gets no requests from this daemon for a time, as it asked for.
fn log_pause(endpoint: &EndpointName, pause_ms: DurationMs, request_id: &str) {
    let (asked_ms, pause_ms) = (pause_ms.0, pause_ms.min(PAUSE_MAX).0);
    match asked_ms == pause_ms {
        true => tracing::info!(request_id, %endpoint, pause_ms, "endpoint asks for a pause"),
        false => tracing::warn!(
            request_id,
            %endpoint,
            asked_ms,
            pause_ms,
            "endpoint asks for a pause that is too long"
        ),
    }
}
