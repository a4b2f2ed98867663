//! What the tasks of the traffic thread share.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::convert::Infallible;
use std::rc::Rc;
use std::sync::Arc;

use arc_swap::Guard;
use async_channel::{Receiver, Sender};
use celeryknot_callers::ThreadExecutor;
use celeryknot_core::{EndpointName, EndpointTag, MonotonicMs, Refusal, ServiceName, Timers};
use celeryknot_endpoints::Connections;
use celeryknot_policy::direct::cold_share::ColdBound;
use celeryknot_policy::direct::{
    EndpointPool, Placement, PlacementRequest, PoolLimits, ReportedLoad, RetryBounds, RetryShare,
    SendFailure,
};
use celeryknot_policy::routing::Service;
use celeryknot_settings::FleetBounds;

use crate::endpoint_news::{EndpointNews, Fact};
use crate::shared::{Heard, Shared, Signal, Told};
use crate::view::View;

/// Fewest daemons that the fleet's bounds are divided by, while others may not be known yet.
const MEMBERS_MIN: usize = 12;

/// One service as this daemon sends to it.
#[derive(Debug)]
struct ServiceState {
    pool: EndpointPool,
    retries: RetryShare,
    tags: HashMap<EndpointTag, EndpointName>,
}

/// The state of the traffic thread.
#[derive(Debug)]
pub(crate) struct TrafficThread {
    pub(crate) shared: Arc<Shared>,
    pub(crate) executor: ThreadExecutor,
    pub(crate) timers: Timers,
    pub(crate) connections: Connections,
    services: RefCell<HashMap<ServiceName, ServiceState>>,
    view_seen: Cell<u64>,
    bounds_seen: RefCell<Arc<FleetBounds>>,
    /// What peers have told of endpoints.
    news: Receiver<Told>,
    /// A signal that is not given before the thread ends.
    pub(crate) never: Signal,
    _never: Sender<Infallible>,
}

impl ServiceState {
    /// Takes over what another daemon has seen, if it is of one of the service's endpoints.
    fn observe_told(&mut self, news: &EndpointNews) {
        let Some(name) = self.tags.get(&news.endpoint) else {
            return;
        };
        match news.fact {
            Fact::Load { held } => self.pool.observe_told_load(news.at, name, held),
            Fact::Unreachable => self.pool.observe_told_unreachable(news.at, name),
            Fact::Holds { prompt } => self.pool.observe_told_holder(news.at, prompt, name),
        }
    }
}

impl TrafficThread {
    pub(crate) fn new(
        shared: Arc<Shared>,
        executor: ThreadExecutor,
        news: Receiver<Told>,
    ) -> Rc<Self> {
        let timers = Timers::default();
        timers.advance(shared.now());
        let (never_sender, never) = async_channel::bounded(1);
        Rc::new(Self {
            connections: Connections::new(timers.clone()),
            executor,
            timers,
            services: RefCell::default(),
            view_seen: Cell::new(0),
            bounds_seen: RefCell::new(shared.bounds.load_full()),
            news,
            never,
            _never: never_sender,
            shared,
        })
    }

    pub(crate) fn now(&self) -> MonotonicMs {
        self.shared.now()
    }

    /// Returns the view in force, after the pools have taken it over.
    pub(crate) fn view(&self) -> Guard<Arc<View>> {
        let view = self.shared.view.load();
        let bounds = self.shared.bounds.load();
        let are_bounds_new = !Arc::ptr_eq(&bounds, &self.bounds_seen.borrow());
        if view.version != self.view_seen.get() || are_bounds_new {
            self.view_seen.set(view.version);
            self.bounds_seen.replace(Arc::clone(&bounds));
            self.take_over(&view, &bounds);
        }
        self.take_news();
        view
    }

    /// Takes over what the control thread has heard of endpoints.
    fn take_news(&self) {
        let now = self.now();
        let mut services = self.services.borrow_mut();
        while let Ok(told) = self.news.try_recv() {
            for state in services.values_mut() {
                match &told {
                    Told::News(news) => state.observe_told(news),
                    Told::Totals(totals) => {
                        state.pool.observe_totals(now, |name| {
                            let total = totals.get(&EndpointTag::new(name));
                            total.copied().unwrap_or(0)
                        });
                    }
                }
            }
        }
    }

    fn take_over(&self, view: &View, bounds: &FleetBounds) {
        let mut services = self.services.borrow_mut();
        let Some(table) = &view.table else {
            return;
        };
        for service in table.services() {
            let limits = self.pool_limits(view, bounds, service);
            let members = view.members.len().max(MEMBERS_MIN);
            let retries = RetryBounds {
                ratio: bounds.retry_ratio,
                window_ms: bounds.retry_window_ms,
                allowance: bounds.retry_allowance / members as f64,
            };
            let state = services
                .entry(service.name.clone())
                .or_insert_with(|| ServiceState {
                    pool: EndpointPool::new(limits.clone()),
                    retries: RetryShare::new(retries),
                    tags: HashMap::new(),
                });
            state.pool.set_limits(limits);
            state.retries.set_bounds(retries);
            let listed = view.endpoints.get(&service.name);
            let names = listed.into_iter().flatten().map(|it| it.name.clone());
            state.tags = names.map(|name| (EndpointTag::new(&name), name)).collect();
            let listed = listed.into_iter().flatten().cloned();
            state.pool.relist(self.now(), listed);
        }
    }

    fn pool_limits(&self, view: &View, bounds: &FleetBounds, service: &Service) -> PoolLimits {
        let cold_bound = service.cold_rate.map(|rate| ColdBound {
            rate,
            max_per_s: rate.0 * bounds.cold_factor + bounds.cold_allowance,
        });
        PoolLimits {
            own_name: self.shared.settings.name.clone(),
            members: view.members.clone(),
            members_min: MEMBERS_MIN,
            drain_ms: bounds.drain_ms,
            load_factor: bounds.load_factor,
            cache_life_ms: bounds.cache_reuse_ms,
            cold_bound,
        }
    }

    /// Counts a request that is to be sent for the first time.
    pub(crate) fn observe_fresh(&self, service: &ServiceName) {
        if let Some(state) = self.services.borrow_mut().get_mut(service) {
            state.retries.observe_fresh(self.now());
        }
    }

    /// Takes one further send of the service from this daemon's share of the budget.
    pub(crate) fn try_take_retry(&self, service: &ServiceName) -> bool {
        let mut services = self.services.borrow_mut();
        let state = services.get_mut(service);
        state.is_some_and(|state| state.retries.try_take(self.now()))
    }

    /// Picks the endpoint that gets a request; it counts as there until the returned guard drops.
    pub(crate) fn place(
        self: &Rc<Self>,
        service: &ServiceName,
        request: &PlacementRequest<'_>,
    ) -> Result<(Placement, Started), Refusal> {
        let mut services = self.services.borrow_mut();
        let no_endpoint = || Refusal::new(celeryknot_core::ErrorKind::NoEndpoint);
        let state = services.get_mut(service).ok_or_else(no_endpoint)?;
        let placement = state.pool.place(self.now(), request)?;
        let endpoint = EndpointTag::new(&placement.endpoint);
        self.tell_control(Heard::InFlight {
            endpoint,
            count: state.pool.in_flight(&placement.endpoint),
        });
        if let Some(shared) = request.shared.filter(|_| placement.is_news_to_others) {
            let prompt = shared.tag();
            self.tell_peers(endpoint, Fact::Holds { prompt });
        }
        let started = Started {
            gateway: Rc::clone(self),
            service: service.clone(),
            endpoint: placement.endpoint.clone(),
        };
        Ok((placement, started))
    }

    fn tell_peers(&self, endpoint: EndpointTag, fact: Fact) {
        let at = self.now();
        self.tell_control(Heard::News(EndpointNews { endpoint, fact, at }));
    }

    fn tell_control(&self, heard: Heard) {
        if self.shared.news_heard.0.try_send(heard).is_err() {
            tracing::debug!("the control thread lags behind; it hears later news soon");
        }
    }

    fn with_pool(&self, service: &ServiceName, change: impl FnOnce(&mut EndpointPool)) {
        if let Some(state) = self.services.borrow_mut().get_mut(service) {
            change(&mut state.pool);
        }
    }
}

/// A request at an endpoint, until it is dropped.
#[derive(Debug)]
pub(crate) struct Started {
    gateway: Rc<TrafficThread>,
    service: ServiceName,
    endpoint: EndpointName,
}

impl Started {
    pub(crate) fn observe_load(&self, load: ReportedLoad) {
        let now = self.gateway.now();
        self.gateway.with_pool(&self.service, |pool| {
            pool.observe_load(now, &self.endpoint, load);
        });
        let held = load.running + load.waiting;
        let endpoint = EndpointTag::new(&self.endpoint);
        self.gateway.tell_peers(endpoint, Fact::Load { held });
    }

    pub(crate) fn observe_success(&self) {
        let now = self.gateway.now();
        self.gateway.with_pool(&self.service, |pool| {
            pool.observe_success(now, &self.endpoint);
        });
    }

    pub(crate) fn observe_failure(&self, failure: SendFailure) {
        let now = self.gateway.now();
        self.gateway.with_pool(&self.service, |pool| {
            pool.observe_failure(now, &self.endpoint, failure);
        });
        if failure.is_unreachable() {
            let endpoint = EndpointTag::new(&self.endpoint);
            self.gateway.tell_peers(endpoint, Fact::Unreachable);
        }
    }
}

impl Drop for Started {
    fn drop(&mut self) {
        self.gateway.with_pool(&self.service, |pool| {
            pool.finish(&self.endpoint);
            self.gateway.tell_control(Heard::InFlight {
                endpoint: EndpointTag::new(&self.endpoint),
                count: pool.in_flight(&self.endpoint),
            });
        });
    }
}
