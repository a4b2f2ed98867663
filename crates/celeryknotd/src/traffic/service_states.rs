//! Placement, retry and metrics state of each service in one thread.

use std::collections::HashMap;
use std::sync::Arc;

use celeryknot_core::{ChatKey, DurationMs, MonotonicMs, ServiceName, TeamName};
use celeryknot_endpoints::sse::Usage;
use celeryknot_operators::metrics::ServiceMetrics;
use celeryknot_policy::chat_cost::CostEstimator;
use celeryknot_policy::placement::{
    Candidates, ChatAnswer, ContextAware, EndpointHash, Placement, PlacementEndpoint,
    PlacementRequest,
};
use celeryknot_policy::retry::{HedgeTimer, RetryBudget};
use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::shared::Shared;
use crate::snapshot::{ServiceSnapshot, Snapshot};

/// Limits the chats of one service that a thread tracks.
const CHATS_MAX: usize = 32_768;

/// Shortest delay before a hedged request.
const HEDGE_DELAY_MIN: DurationMs = DurationMs(300);

/// Delay before a hedged request while too few responses have been observed.
const HEDGE_DELAY_DEFAULT: DurationMs = DurationMs(1_500);

/// State of one service in this thread.
#[derive(Debug)]
pub(crate) struct ServiceState {
    version: u64,
    endpoints: Vec<PlacementEndpoint>,
    placement: ContextAware,
    pub(crate) budget: RetryBudget,
    pub(crate) estimator: CostEstimator,
    pub(crate) metrics: ServiceMetrics,
    hedge_timer: HedgeTimer,
}

/// State of each service that this thread has served.
#[derive(Debug)]
pub(crate) struct ServiceStates {
    by_service: HashMap<(TeamName, ServiceName), ServiceState>,
    rng: SmallRng,
}

impl Default for ServiceStates {
    fn default() -> Self {
        Self {
            by_service: HashMap::new(),
            rng: SmallRng::seed_from_u64(rand::random()),
        }
    }
}

impl ServiceStates {
    /// Returns the state of a service; creates it on first use.
    pub(crate) fn get_or_create(
        &mut self,
        shared: &Shared,
        service: &ServiceSnapshot,
    ) -> &mut ServiceState {
        let key = (service.team.clone(), service.name.clone());
        self.by_service.entry(key).or_insert_with(|| ServiceState {
            version: 0,
            endpoints: Vec::new(),
            placement: ContextAware::new(CHATS_MAX, service.settings.prefill_tokens_per_s)
                .with_kv_import(true),
            budget: RetryBudget::new(service.settings.retry_percent_max),
            estimator: CostEstimator::default(),
            hedge_timer: HedgeTimer::new(HEDGE_DELAY_MIN),
            metrics: shared.metrics.traffic.service(&service.name),
        })
    }

    /// Ranks the endpoints of a service; the indices refer to the service's endpoint list.
    pub(crate) fn rank(
        &mut self,
        shared: &Shared,
        snapshot: &Snapshot,
        service: &Arc<ServiceSnapshot>,
        request: &PlacementRequest,
    ) -> Candidates {
        let now = shared.clock.now();
        self.get_or_create(shared, service)
            .apply_snapshot(snapshot, service);
        let key = (service.team.clone(), service.name.clone());
        let Some(service_state) = self.by_service.get_mut(&key) else {
            return Candidates::new();
        };
        service_state
            .placement
            .rank(now, request, &service_state.endpoints, &mut self.rng)
    }

    /// Records which endpoint served a chat, and its token usage.
    pub(crate) fn record_chat_answer(
        &mut self,
        shared: &Shared,
        service: &ServiceSnapshot,
        chat: ChatKey,
        endpoint: EndpointHash,
        usage: Usage,
    ) {
        let now = shared.clock.now();
        let service_state = self.get_or_create(shared, service);
        let answer = ChatAnswer {
            chat,
            endpoint,
            context_tokens: usage.prompt_tokens.saturating_add(usage.completion_tokens),
            cached_tokens: Some(usage.cached_tokens),
        };
        service_state.placement.observe_answer(now, &answer);
        service_state
            .metrics
            .prompt_tokens
            .inc_by(u64::from(usage.prompt_tokens));
        service_state
            .metrics
            .cached_tokens
            .inc_by(u64::from(usage.cached_tokens));
    }

    /// Records how long a request waited for admission.
    pub(crate) fn record_wait(
        &mut self,
        shared: &Shared,
        service: &ServiceSnapshot,
        wait: DurationMs,
    ) {
        self.get_or_create(shared, service)
            .metrics
            .observe_queue_wait(wait);
    }

    /// Returns the delay after which a hedged request is worth its cost.
    pub(crate) fn hedge_after_ms(
        &mut self,
        shared: &Shared,
        service: &ServiceSnapshot,
    ) -> DurationMs {
        let service_state = self.get_or_create(shared, service);
        service_state
            .hedge_timer
            .hedge_after_ms()
            .unwrap_or(HEDGE_DELAY_DEFAULT)
    }

    /// Takes a retry from the service's retry budget, if one is left.
    pub(crate) fn try_take_retry(&mut self, shared: &Shared, service: &ServiceSnapshot) -> bool {
        let now: MonotonicMs = shared.clock.now();
        self.get_or_create(shared, service).budget.try_take(now)
    }
}

impl ServiceState {
    /// Records the time from a request to its response head.
    pub(crate) fn record_head_latency(&mut self, after_ms: DurationMs) {
        self.metrics.observe_first_byte(after_ms);
        self.hedge_timer.observe(after_ms);
    }

    fn apply_snapshot(&mut self, snapshot: &Snapshot, service: &ServiceSnapshot) {
        if self.version == snapshot.version && self.endpoints.len() == service.endpoints.len() {
            return;
        }
        self.version = snapshot.version;
        self.placement
            .set_prefill_tokens_per_s(service.settings.prefill_tokens_per_s);
        self.budget
            .set_percent_max(service.settings.retry_percent_max);
        self.endpoints = service
            .endpoints
            .iter()
            .map(|endpoint| {
                PlacementEndpoint::new(endpoint.name.clone())
                    .with_accepts_requests(endpoint.accepts_requests)
                    .with_own_zone(endpoint.zone == snapshot.own_zone)
                    .with_summary(endpoint.summary)
            })
            .collect();
    }
}
