//! Admission control for the endpoints that this daemon owns; each is handled by one thread.

use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;

use async_channel::{Receiver, Sender};
use celeryknot_core::timers::RESOLUTION;
use celeryknot_core::{
    DurationMs, EndpointName, EndpointSummary, MemberName, MonotonicMs, Refusal,
};
use celeryknot_fleet::neighbours::MESH_MEMBERS_MAX;
use celeryknot_policy::admission::{AdmissionLimits, AdmissionRequest, Decision};
use celeryknot_policy::bound::{SUMMARY_AGE_DEFAULT_MS, ServiceLoad};
use futures_lite::{StreamExt, future};

use super::admitted::{Admitted, answer};
use super::context::{TICK, ThreadContext};
use super::load_poll::poll_now;
use super::permit::AdmissionMessage;
use crate::event::TrafficEvent;
use crate::snapshot::{EndpointSnapshot, ServiceSnapshot};

/// Limits the age of a computed service load before it is recomputed.
const MEAN_AGE_MAX: DurationMs = DurationMs(10);

/// Assumed age of the summaries in a full mesh.
const MESH_SUMMARY_AGE: DurationMs = DurationMs(250);

/// Idle time after which the admission state of an endpoint with another owner is evicted.
const FOREIGN_LIFE: DurationMs = DurationMs(10_000);

/// Actor that admits requests to the endpoints assigned to one thread.
#[derive(Debug)]
pub(crate) struct AdmissionDesk {
    context: Rc<ThreadContext>,
    endpoints: HashMap<EndpointName, Admitted>,
}

impl AdmissionDesk {
    pub(crate) fn new(context: Rc<ThreadContext>) -> Self {
        Self {
            context,
            endpoints: HashMap::new(),
        }
    }

    /// Processes messages and ticks until the daemon shuts down.
    pub(crate) async fn run(mut self, messages: Receiver<AdmissionMessage>) {
        let mut beats = smol::Timer::interval(RESOLUTION.as_std());
        let mut next_beat = self.context.now();
        let mut next_tick = next_beat;
        loop {
            let message = async { Some(messages.recv().await) };
            let beat = async {
                beats.next().await;
                None
            };
            match future::or(message, beat).await {
                Some(Ok(message)) => self.take(message),
                Some(Err(_)) => return,
                None => {}
            }
            let now = self.context.now();
            if now < next_beat {
                continue;
            }
            next_beat = now + RESOLUTION;
            self.context.timers.advance(now);
            if now >= next_tick {
                next_tick = now + TICK;
                self.tick(now);
            }
            self.settle_all();
        }
    }

    fn take(&mut self, message: AdmissionMessage) {
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
                    admitted.waiting.remove(&id);
                    admitted.admission.cancel(now, id);
                    admitted.settle(now, &self.context.shared);
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
                        self.context.note_report(&endpoint);
                        admitted.admission.observe_load(now, load);
                    }
                    admitted.finish(now, id, outcome);
                    admitted.settle(now, &self.context.shared);
                }
            }
            AdmissionMessage::Load { endpoint, load } => {
                self.context.note_report(&endpoint);
                if let Some(admitted) = self.endpoints.get_mut(&endpoint) {
                    admitted.admission.observe_load(now, load);
                    admitted.settle(now, &self.context.shared);
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
        reply: Sender<Result<(), Refusal>>,
    ) {
        self.refresh_mean(now, &endpoint, &service);
        let admitted = self.admitted(now, &endpoint, service);
        admitted.used_at = now;
        let id = request.id;
        match admitted.admission.offer(now, request) {
            Decision::Start => answer(&reply, Ok(())),
            Decision::Queued => {
                admitted.waiting.insert(id, reply);
            }
            Decision::Refuse(refusal) => {
                self.context
                    .shared
                    .metrics
                    .traffic
                    .admission_refused(refusal.kind);
                answer(&reply, Err(refusal));
            }
        }
        if let Some(admitted) = self.endpoints.get_mut(&endpoint) {
            admitted.settle(now, &self.context.shared);
        }
    }

    fn admitted(
        &mut self,
        now: MonotonicMs,
        endpoint: &EndpointName,
        service: Arc<ServiceSnapshot>,
    ) -> &mut Admitted {
        let context = &self.context;
        self.endpoints.entry(endpoint.clone()).or_insert_with(|| {
            poll_now(context, endpoint, &service);
            Admitted::new(now, service)
        })
    }

    /// Recomputes the service load from the owners' summaries and this thread's exact state.
    fn refresh_mean(
        &mut self,
        now: MonotonicMs,
        endpoint: &EndpointName,
        service: &Arc<ServiceSnapshot>,
    ) {
        let is_fresh = self
            .endpoints
            .get(endpoint)
            .and_then(|admitted| admitted.mean_at)
            .is_some_and(|at| now - at < MEAN_AGE_MAX);
        if is_fresh {
            return;
        }
        let own_name = &self.context.shared.settings.name;
        let summaries: Vec<EndpointSummary> = service
            .endpoints
            .iter()
            .filter(|other| other.takes_new_work)
            .filter_map(|other| {
                let held = self.endpoints.get(&other.name);
                known_summary(
                    other,
                    own_name,
                    held.map(|held| held.admission.summary(now)),
                )
            })
            .collect();
        let members = self.context.snapshot().members.len();
        let load = ServiceLoad::from_summaries(&summaries).with_age_ms(summary_age_ms(members));
        if let Some(admitted) = self.endpoints.get_mut(endpoint) {
            admitted.admission.observe_mean(now, load);
            admitted.mean_at = Some(now);
        }
    }

    fn settle_all(&mut self) {
        let now = self.context.now();
        for admitted in self.endpoints.values_mut() {
            admitted.settle(now, &self.context.shared);
        }
    }

    /// Applies the snapshot (owned endpoints, limits, zones), then publishes changed summaries.
    fn tick(&mut self, now: MonotonicMs) {
        if self.context.tick() {
            for admitted in self.endpoints.values_mut() {
                admitted.admission.observe_pause(now);
            }
        }
        self.context.connections.close_idle();
        let snapshot = self.context.snapshot();
        for service in snapshot.services.values() {
            for endpoint in &service.endpoints {
                let is_own = endpoint.owner.as_ref() == Some(&snapshot.own_name);
                let is_home = self
                    .context
                    .shared
                    .is_home(self.context.index, &endpoint.name);
                if is_home && (is_own || self.endpoints.contains_key(&endpoint.name)) {
                    self.follow(now, service, endpoint, is_own);
                }
            }
        }
        self.drop_gone(now, &snapshot.services);
        self.settle_all();
    }

    fn follow(
        &mut self,
        now: MonotonicMs,
        service: &Arc<ServiceSnapshot>,
        endpoint: &EndpointSnapshot,
        is_own: bool,
    ) {
        self.admitted(now, &endpoint.name, Arc::clone(service));
        self.refresh_mean(now, &endpoint.name, service);
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
            .set_takes_new_work(endpoint.takes_new_work);
        if !is_own {
            return;
        }
        admitted.used_at = now;
        admitted.judge_health(now, &endpoint.name);
        let summary = admitted.admission.summary(now);
        if admitted.told == Some(summary) {
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
            admitted.told = Some(summary);
        }
    }

    /// Evicts idle endpoints that were delisted, or that have another owner and are long unused.
    fn drop_gone<K>(&mut self, now: MonotonicMs, services: &HashMap<K, Arc<ServiceSnapshot>>) {
        self.endpoints.retain(|name, admitted| {
            let is_listed = services
                .values()
                .any(|service| service.endpoints.iter().any(|known| known.name == *name));
            let summary = admitted.admission.summary(now);
            let is_idle = summary.in_flight == 0 && summary.queued == 0;
            !is_idle || (is_listed && now - admitted.used_at < FOREIGN_LIFE)
        });
    }
}

/// Returns the expected age of other owners' summaries, from measurement to use here.
///
/// In a full mesh an owner sends every change itself, at most once in a fifth of a second.
fn summary_age_ms(members: usize) -> DurationMs {
    if members <= MESH_MEMBERS_MAX {
        return MESH_SUMMARY_AGE;
    }
    SUMMARY_AGE_DEFAULT_MS
}

/// Returns the local summary of an endpoint that this daemon owns, else the owner's reported one.
///
/// A daemon that is no longer the owner, or ran requests in its place, counts only its own
/// requests, which says little about the endpoint's load.
fn known_summary(
    endpoint: &EndpointSnapshot,
    own_name: &MemberName,
    held: Option<EndpointSummary>,
) -> Option<EndpointSummary> {
    let is_own = endpoint.owner.as_ref() == Some(own_name);
    held.filter(|_| is_own).or(endpoint.summary)
}

#[cfg(test)]
mod tests;
