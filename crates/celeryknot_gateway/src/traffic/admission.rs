//! Requests without a prompt that wait in this daemon while their endpoints are full.
//!
//! [`AdmissionGate`] decides; this module keeps one gate for each service and set of allowed zones,
//! wakes the requests that it lets leave, and removes those whose callers have left.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;

use async_channel::{Receiver, Sender};
use celeryknot_core::{
    CustomerName, DurationMs, ErrorKind, MonotonicMs, Refusal, RequestId, ServiceName, ZoneName,
};
use celeryknot_policy::direct::{
    AdmissionGate, GateAction, GateDecision, GateFigures, GatedRequest, ServiceRoom,
};
use smallvec::SmallVec;

use super::call::Call;
use super::context::TrafficThread;

/// Time without requests after which a gate is removed; configurations remove services and zones.
const LANE_TTL: DurationMs = DurationMs(60_000);

/// The name by which requests without a customer share their turns.
const ANONYMOUS: &str = "anonymous";

/// The requests that share a gate: they may be served by the same endpoints.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct LaneKey {
    pub(super) service: ServiceName,
    pub(super) allowed_zones: Option<SmallVec<[ZoneName; 4]>>,
}

/// The gates of this daemon.
#[derive(Debug, Default)]
pub(super) struct AdmissionLanes {
    lanes: RefCell<HashMap<LaneKey, Lane>>,
    next_id: Cell<u64>,
}

#[derive(Debug)]
struct Lane {
    gate: AdmissionGate,
    waiters: HashMap<RequestId, Sender<Outcome>>,
    /// Requests that may be sent and are not placed yet.
    unplaced: Rc<Cell<u32>>,
    used_at: MonotonicMs,
}

/// The end of a wait.
type Outcome = Result<Admitted, Refused>;

/// A refused request, with the figures that decided it.
#[derive(Debug)]
pub(super) struct Refused {
    pub(super) refusal: Refusal,
    pub(super) figures: Option<RoomFigures>,
}

/// What a decision is derived from.
#[derive(Debug, Clone, Copy)]
pub(super) struct RoomFigures {
    pub(super) room: ServiceRoom,
    pub(super) gate: GateFigures,
}

/// Permission to send a request; it counts as on its way until dropped.
#[derive(Debug)]
pub(super) struct Admitted {
    unplaced: Rc<Cell<u32>>,
}

/// A request at the gate.
#[derive(Debug)]
pub(super) enum Admission {
    /// It is decided.
    Decided(Outcome),
    /// It waits, with these figures.
    Waiting(WaitingRequest, RoomFigures),
}

/// A request that waits; it leaves the queue when dropped.
#[derive(Debug)]
pub(super) struct WaitingRequest {
    lanes: Rc<AdmissionLanes>,
    key: LaneKey,
    id: RequestId,
    outcome: Receiver<Outcome>,
}

impl Admitted {
    fn new(unplaced: &Rc<Cell<u32>>) -> Self {
        unplaced.set(unplaced.get() + 1);
        Self {
            unplaced: Rc::clone(unplaced),
        }
    }
}

impl Drop for Admitted {
    fn drop(&mut self) {
        self.unplaced.set(self.unplaced.get().saturating_sub(1));
    }
}

impl WaitingRequest {
    /// Waits for the decision.
    pub(super) async fn decided(self) -> Outcome {
        // The sender is dropped without a decision only with the whole daemon.
        let dropped = |_| Refused {
            refusal: Refusal::new(ErrorKind::Draining),
            figures: None,
        };
        self.outcome.recv().await.map_err(dropped)?
    }
}

impl Drop for WaitingRequest {
    fn drop(&mut self) {
        if let Some(lane) = self.lanes.lanes.borrow_mut().get_mut(&self.key) {
            lane.waiters.remove(&self.id);
            lane.gate.cancel(self.id);
        }
    }
}

impl Lane {
    fn new(now: MonotonicMs) -> Self {
        Self {
            gate: AdmissionGate::new(now, rand::random()),
            waiters: HashMap::new(),
            unplaced: Rc::default(),
            used_at: now,
        }
    }

    fn room(&self, room: Option<ServiceRoom>) -> Option<ServiceRoom> {
        room.map(|room| room.with_unplaced(self.unplaced.get()))
    }

    fn figures(&self, room: Option<ServiceRoom>) -> Option<RoomFigures> {
        let room = room?;
        let gate = self.gate.figures(&room);
        Some(RoomFigures { room, gate })
    }

    /// Wakes the waiting requests that are decided now.
    fn poll(&mut self, now: MonotonicMs, room: Option<ServiceRoom>) {
        loop {
            let room = self.room(room);
            let (id, outcome) = match self.gate.poll(now, room, rand::random()) {
                Some(GateAction::Send(id)) => (id, Ok(Admitted::new(&self.unplaced))),
                Some(GateAction::Refuse(id, refusal)) => {
                    let figures = self.figures(room);
                    (id, Err(Refused { refusal, figures }))
                }
                None => return,
            };
            if let Some(waiter) = self.waiters.remove(&id) {
                // Fails only if the request ends at this moment.
                drop(waiter.try_send(outcome));
            }
        }
    }
}

impl AdmissionLanes {
    /// Offers a request to the gate of its lane; `room` is `None` while there are no figures.
    pub(super) fn offer(
        self: &Rc<Self>,
        now: MonotonicMs,
        key: LaneKey,
        room: Option<ServiceRoom>,
        request: impl FnOnce(RequestId) -> GatedRequest,
    ) -> Admission {
        let mut lanes = self.lanes.borrow_mut();
        let lane = lanes.entry(key.clone()).or_insert_with(|| Lane::new(now));
        lane.used_at = now;
        let id = RequestId(self.next_id.replace(self.next_id.get() + 1));
        let room_now = lane.room(room);
        let decision = lane.gate.offer(now, &request(id), room_now, rand::random());
        let figures = lane.figures(room_now);
        let admission = match (decision, figures) {
            (GateDecision::Wait, Some(figures)) => {
                let (sender, outcome) = async_channel::bounded(1);
                lane.waiters.insert(id, sender);
                let waiting = WaitingRequest {
                    lanes: Rc::clone(self),
                    key,
                    id,
                    outcome,
                };
                Admission::Waiting(waiting, figures)
            }
            // Without figures the gate sends every request.
            (GateDecision::Send | GateDecision::Wait, _) => {
                Admission::Decided(Ok(Admitted::new(&lane.unplaced)))
            }
            (GateDecision::Refuse(refusal), figures) => {
                Admission::Decided(Err(Refused { refusal, figures }))
            }
        };
        lane.poll(now, room);
        admission
    }

    /// Wakes the waiting requests that are decided now, and removes unused gates.
    pub(super) fn poll(&self, now: MonotonicMs, room_of: impl Fn(&LaneKey) -> Option<ServiceRoom>) {
        let mut lanes = self.lanes.borrow_mut();
        lanes.retain(|_, lane| !lane.gate.is_idle() || now - lane.used_at < LANE_TTL);
        for (key, lane) in lanes.iter_mut() {
            if !lane.gate.is_idle() {
                lane.poll(now, room_of(key));
            }
        }
    }

    /// Returns the number of requests that wait.
    pub(super) fn waiting(&self) -> usize {
        let lanes = self.lanes.borrow();
        lanes.values().map(|lane| lane.gate.waiting()).sum()
    }

    /// Records the time of an answer.
    pub(super) fn observe_answer(
        &self,
        key: &LaneKey,
        room: Option<ServiceRoom>,
        took_ms: DurationMs,
    ) {
        if let Some(lane) = self.lanes.borrow_mut().get_mut(key) {
            lane.gate.observe_answer(room, took_ms);
        }
    }
}

impl TrafficThread {
    /// Waits until a request without a prompt may be sent; refuses it if it can't be answered in
    /// time. Returns `None` where admission is not in effect.
    pub(super) async fn admit(&self, call: &Call) -> Result<Option<Admitted>, Refusal> {
        let Some(key) = lane_key(call) else {
            return Ok(None);
        };
        drop(self.view());
        let room = self.room(&key);
        if room.is_none() && self.admission_lanes.waiting() == 0 {
            return Ok(None);
        }
        let began_at = self.now();
        let answer_by = call
            .deadline
            .min(began_at + call.route.latency_objective_ms);
        let admission = self
            .admission_lanes
            .offer(began_at, key, room, |id| GatedRequest {
                id,
                customer: call.customer.clone().unwrap_or_else(anonymous),
                priority: call.priority,
                answer_by,
            });
        let metrics = &self.shared.metrics;
        let outcome = match admission {
            Admission::Decided(outcome) => outcome,
            Admission::Waiting(waiting, figures) => {
                log_figures(
                    call,
                    Some(figures),
                    answer_by - began_at,
                    "request waits for room",
                );
                let outcome = waiting.decided().await;
                let waited_ms = self.now() - began_at;
                metrics.observe_admission_wait(waited_ms);
                if outcome.is_ok() {
                    log_release(call, waited_ms);
                    self.check_shutdown(call)?;
                }
                outcome
            }
        };
        outcome.map(Some).map_err(|refused| {
            let remaining_ms = answer_by - self.now();
            log_figures(
                call,
                refused.figures,
                remaining_ms,
                "no room for the request in time",
            );
            metrics.refused_admission(refused.refusal.kind);
            refused.refusal
        })
    }

    /// Wakes the waiting requests that may be sent now; called at each tick of the timers.
    pub(super) fn poll_admission(&self) {
        if self.admission_lanes.waiting() > 0 {
            drop(self.view());
        }
        let now = self.now();
        self.admission_lanes.poll(now, |key| self.room(key));
        let waiting = self.admission_lanes.waiting();
        self.shared.metrics.admission_waiting.set(waiting as i64);
    }

    /// Records the time from the send of a request to its complete answer.
    pub(super) fn observe_admitted_answer(&self, call: &Call, took_ms: DurationMs) {
        if let Some(key) = lane_key(call) {
            let room = self.room(&key);
            self.admission_lanes.observe_answer(&key, room, took_ms);
        }
    }
}

/// Returns the lane of a request; `None` if it has a prompt or goes on with a stream.
fn lane_key(call: &Call) -> Option<LaneKey> {
    let is_plain = call.head.prompt.is_none() && !call.route.has_prompt;
    (is_plain && call.taken_up().is_none()).then(|| LaneKey {
        service: call.service.clone(),
        allowed_zones: call.allowed_zones.clone(),
    })
}

fn anonymous() -> CustomerName {
    ANONYMOUS.parse().expect("a valid name")
}

fn log_figures(
    call: &Call,
    figures: Option<RoomFigures>,
    remaining_ms: DurationMs,
    message: &'static str,
) {
    let room = figures.map(|it| it.room);
    let gate = figures.map(|it| it.gate);
    tracing::info!(
        request_id = call.head.request_id,
        service = %call.service,
        customer = call.customer.as_ref().map(|name| name.as_str()),
        priority = call.priority,
        slots = room.map(|it| it.slots),
        load = room.map(|it| it.load),
        free = room.map(|it| it.free),
        load_age_ms = room.map(|it| it.age_ms.0),
        daemons = room.map(|it| it.daemons),
        waiting = gate.map(|it| it.waiting),
        rate_per_s = gate.map(|it| it.rate.0),
        answer_ms = gate.map(|it| it.answer_ms.0),
        remaining_ms = remaining_ms.0,
        "{message}"
    );
}

fn log_release(call: &Call, waited_ms: DurationMs) {
    tracing::info!(
        request_id = call.head.request_id,
        waited_ms = waited_ms.0,
        "request has room"
    );
}

#[cfg(test)]
mod tests;
