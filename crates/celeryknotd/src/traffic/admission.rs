//! Admission control for the endpoints that this daemon owns; each is handled by one thread.

use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;

use async_channel::{Receiver, Sender};
use celeryknot_core::timers::TIMER_RESOLUTION;
use celeryknot_core::{
    DurationMs, EndpointName, EndpointSummary, MemberName, MonotonicMs, Refusal,
};
use celeryknot_fleet::neighbours::MESH_MEMBERS_MAX;
use celeryknot_gateway::rate_log::log_rate_change;
use celeryknot_policy::admission::{AdmissionLimits, AdmissionRequest, Decision};
use celeryknot_policy::bound::{SUMMARY_AGE_DEFAULT, ServiceLoad};
use futures_lite::{StreamExt, future};

use super::admitted::{AdmittedEndpoint, send_decision};
use super::context::{TICK, ThreadContext};
use super::load_poll::poll_now;
use super::permit::{Admission, AdmissionMessage};
use crate::event::TrafficEvent;
use crate::snapshot::{EndpointSnapshot, ServiceSnapshot};

/// Limits the age of a computed service load before it is recomputed.
const SERVICE_LOAD_AGE_MAX: DurationMs = DurationMs(10);

/// Assumed age of the summaries in a full mesh.
const FULL_MESH_SUMMARY_AGE: DurationMs = DurationMs(250);

/// Idle time after which an endpoint with another owner is evicted.
const UNOWNED_ENDPOINT_TTL: DurationMs = DurationMs(10_000);

/// Actor that admits requests to the endpoints assigned to one thread.
#[derive(Debug)]
pub(crate) struct AdmissionActor {
    context: Rc<ThreadContext>,
    endpoints: HashMap<EndpointName, AdmittedEndpoint>,
}

impl AdmissionActor {
    pub(crate) fn new(context: Rc<ThreadContext>) -> Self {
        Self {
            context,
            endpoints: HashMap::new(),
        }
    }

    /// Processes messages and ticks until the daemon shuts down.
    pub(crate) async fn run(mut self, messages: Receiver<AdmissionMessage>) {
        let mut timer_ticks = smol::Timer::interval(TIMER_RESOLUTION.as_std());
        let mut next_timer_advance = self.context.now();
        let mut next_tick = next_timer_advance;
        loop {
            let message = async { Some(messages.recv().await) };
            let timer_tick = async {
                timer_ticks.next().await;
                None
            };
            match future::or(message, timer_tick).await {
                Some(Ok(message)) => self.handle_message(message),
                Some(Err(_)) => return,
                None => {}
            }
            let now = self.context.now();
            if now < next_timer_advance {
                continue;
            }
            next_timer_advance = now + TIMER_RESOLUTION;
            self.context.timers.advance(now);
            if now >= next_tick {
                next_tick = now + TICK;
                self.tick(now);
            }
            self.apply_all_due_actions();
        }
    }

    fn handle_message(&mut self, message: AdmissionMessage) {
        let now = self.context.now();
        match message {
            AdmissionMessage::Offer {
                endpoint,
                service,
                request,
                reply,
            } => self.offer(now, endpoint, service, request, reply),
            AdmissionMessage::Cancel { endpoint, id } => {
                if let Some(admitted) = self.endpoints.get_mut(&endpoint) {
                    admitted.pending_replies.remove(&id);
                    admitted.admission.cancel(now, id);
                    admitted.apply_due_actions(now, &self.context.shared);
                }
            }
            AdmissionMessage::Finish {
                endpoint,
                id,
                outcome,
                load,
            } => {
                if let Some(admitted) = self.endpoints.get_mut(&endpoint) {
                    if let Some(load) = load {
                        self.context.record_load_report(&endpoint);
                        admitted.admission.observe_load(now, load);
                    }
                    admitted.finish(now, id, outcome);
                    admitted.apply_due_actions(now, &self.context.shared);
                }
            }
            AdmissionMessage::Rate {
                endpoint,
                statement,
            } => {
                if let Some(admitted) = self.endpoints.get_mut(&endpoint) {
                    let change = admitted.admission.observe_rate_statement(statement);
                    log_rate_change(&endpoint, statement.rate, change);
                    admitted.apply_due_actions(now, &self.context.shared);
                }
            }
            AdmissionMessage::Load { endpoint, load } => {
                self.context.record_load_report(&endpoint);
                if let Some(admitted) = self.endpoints.get_mut(&endpoint) {
                    admitted.admission.observe_load(now, load);
                    admitted.apply_due_actions(now, &self.context.shared);
                }
            }
        }
    }

    fn offer(
        &mut self,
        now: MonotonicMs,
        endpoint: EndpointName,
        service: Arc<ServiceSnapshot>,
        request: AdmissionRequest,
        reply: Sender<Result<Admission, Refusal>>,
    ) {
        self.refresh_service_load(now, &endpoint, &service);
        let admitted = self.get_or_create(now, &endpoint, service);
        admitted.last_used_at = now;
        let id = request.id;
        match admitted.admission.offer(now, request) {
            Decision::Start => send_decision(&reply, Ok(admitted.admission_of_started(now))),
            Decision::Queued => {
                admitted.pending_replies.insert(id, reply);
            }
            Decision::Refuse(refusal) => {
                self.context
                    .shared
                    .metrics
                    .traffic
                    .count_refused_admission(refusal.kind);
                send_decision(&reply, Err(refusal));
            }
        }
        if let Some(admitted) = self.endpoints.get_mut(&endpoint) {
            admitted.apply_due_actions(now, &self.context.shared);
        }
    }

    fn get_or_create(
        &mut self,
        now: MonotonicMs,
        endpoint: &EndpointName,
        service: Arc<ServiceSnapshot>,
    ) -> &mut AdmittedEndpoint {
        let context = &self.context;
        self.endpoints.entry(endpoint.clone()).or_insert_with(|| {
            poll_now(context, endpoint, &service);
            AdmittedEndpoint::new(now, service)
        })
    }

    /// Recomputes the service load from the owners' summaries and this thread's exact state.
    fn refresh_service_load(
        &mut self,
        now: MonotonicMs,
        endpoint: &EndpointName,
        service: &Arc<ServiceSnapshot>,
    ) {
        let is_fresh = self
            .endpoints
            .get(endpoint)
            .and_then(|admitted| admitted.service_load_at)
            .is_some_and(|at| now - at < SERVICE_LOAD_AGE_MAX);
        if is_fresh {
            return;
        }
        let own_name = &self.context.shared.settings.name;
        let summaries: Vec<EndpointSummary> = service
            .endpoints
            .iter()
            .filter(|other| other.accepts_requests)
            .filter_map(|other| {
                let admitted = self.endpoints.get(&other.name);
                effective_summary(
                    other,
                    own_name,
                    admitted.map(|admitted| admitted.admission.summary(now)),
                )
            })
            .collect();
        let members = self.context.snapshot().members.len();
        let load =
            ServiceLoad::from_summaries(&summaries).with_age_ms(expected_summary_age(members));
        if let Some(admitted) = self.endpoints.get_mut(endpoint) {
            admitted.admission.observe_service_load(now, load);
            admitted.service_load_at = Some(now);
        }
    }

    fn apply_all_due_actions(&mut self) {
        let now = self.context.now();
        for admitted in self.endpoints.values_mut() {
            admitted.apply_due_actions(now, &self.context.shared);
        }
    }

    /// Applies the snapshot (owned endpoints, limits, zones), then publishes changed summaries.
    fn tick(&mut self, now: MonotonicMs) {
        if self.context.tick() {
            for admitted in self.endpoints.values_mut() {
                admitted.admission.observe_stall(now);
            }
        }
        self.context.connections.close_idle();
        let snapshot = self.context.snapshot();
        for service in snapshot.services.values() {
            for endpoint in &service.endpoints {
                let is_own = endpoint.owner.as_ref() == Some(&snapshot.own_name);
                let is_admitted_here = self
                    .context
                    .shared
                    .is_admitted_on(self.context.index, &endpoint.name);
                if is_admitted_here && (is_own || self.endpoints.contains_key(&endpoint.name)) {
                    self.apply_snapshot(now, service, endpoint, is_own);
                }
            }
        }
        self.evict_endpoints(now, &snapshot.services);
        self.apply_all_due_actions();
    }

    fn apply_snapshot(
        &mut self,
        now: MonotonicMs,
        service: &Arc<ServiceSnapshot>,
        endpoint: &EndpointSnapshot,
        is_own: bool,
    ) {
        self.get_or_create(now, &endpoint.name, Arc::clone(service));
        self.refresh_service_load(now, &endpoint.name, service);
        let shared = &self.context.shared;
        let Some(admitted) = self.endpoints.get_mut(&endpoint.name) else {
            return;
        };
        if !Arc::ptr_eq(&admitted.service.settings, &service.settings) {
            admitted
                .admission
                .set_limits(AdmissionLimits::from(&*service.settings));
        }
        admitted.service = Arc::clone(service);
        admitted
            .admission
            .set_accepts_requests(endpoint.accepts_requests);
        if !is_own {
            return;
        }
        admitted.last_used_at = now;
        admitted.update_health(now, &endpoint.name);
        let is_limited = admitted.admission.states_rate_limit(now);
        let metrics = &shared.metrics.traffic;
        metrics.set_endpoint_rate_limited(&endpoint.name, is_limited);
        let summary = admitted.admission.summary(now);
        if admitted.reported_summary == Some(summary) {
            return;
        }
        shared
            .metrics
            .traffic
            .set_endpoint_load(&endpoint.name, summary.in_flight, summary.queued);
        let event = TrafficEvent::EndpointChanged {
            endpoint: endpoint.name.clone(),
            summary,
        };
        // If the channel is full, the next tick retries.
        if shared.events.try_send(event).is_ok() {
            admitted.reported_summary = Some(summary);
        }
    }

    /// Evicts idle endpoints that were delisted, or that have another owner and are long unused.
    fn evict_endpoints<K>(
        &mut self,
        now: MonotonicMs,
        services: &HashMap<K, Arc<ServiceSnapshot>>,
    ) {
        self.endpoints.retain(|name, admitted| {
            let is_listed = services
                .values()
                .any(|service| service.endpoints.iter().any(|listed| listed.name == *name));
            let summary = admitted.admission.summary(now);
            let is_idle = summary.in_flight == 0 && summary.queued == 0;
            !is_idle || (is_listed && now - admitted.last_used_at < UNOWNED_ENDPOINT_TTL)
        });
    }
}

/// Returns the expected age of other owners' summaries, from measurement to use here.
///
/// In a full mesh an owner sends every change itself, at most once in a fifth of a second.
fn expected_summary_age(members: usize) -> DurationMs {
    if members <= MESH_MEMBERS_MAX {
        return FULL_MESH_SUMMARY_AGE;
    }
    SUMMARY_AGE_DEFAULT
}

/// Returns the local summary of an endpoint that this daemon owns, else the owner's reported one.
///
/// A daemon that is no longer the owner, or ran requests in its place, counts only its own
/// requests, which are a poor measure of the endpoint's load.
fn effective_summary(
    endpoint: &EndpointSnapshot,
    own_name: &MemberName,
    local: Option<EndpointSummary>,
) -> Option<EndpointSummary> {
    let is_own = endpoint.owner.as_ref() == Some(own_name);
    local.filter(|_| is_own).or(endpoint.summary)
}

#[cfg(test)]
mod tests;
