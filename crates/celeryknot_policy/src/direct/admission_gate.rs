//! Admission of requests without a prompt while the endpoints of their service are full.
//!
//! A request is sent at once while an endpoint that may serve it has a free slot by the fleet's
//! counts, or a short queue. While all are full, requests wait in this daemon and leave at its part
//! of the rate at which the endpoints finish requests, the most urgent first and within one urgency
//! by customer in turn. A request that can't be answered in its remaining time is refused. Without
//! recent counts, every request is sent at once.

use std::collections::{BTreeMap, VecDeque};

use celeryknot_core::{
    CustomerName, DurationMs, ErrorKind, MonotonicMs, RatePerS, Refusal, RequestId, ZoneName,
};

use super::pool::{EndpointPool, PlacementRequest};
use super::rate_admission::RefusedRequests;
use super::refusal_limit::DecayingSum;
use crate::admission::AdmissionRequest;
use crate::admission::fair_queue::{FairQueue, Slots};
use crate::admission::request::URGENCY_DEFAULT;
use crate::admission::wait_model::WaitModel;

/// Maximum number of requests that wait at one gate.
///
/// A daemon's part of the room answers some ten requests a second, and a request waits for less than
/// one: more of them wait only where daemons are few.
pub const WAITING_MAX: usize = 256;

/// Places of an endpoint for each of its slots: it runs as many requests as it has slots, and as many
/// wait there, for one service time.
///
/// Endpoints are often full for some milliseconds at nine tenths of the demand that they can serve.
/// In the simulated loads, 1.5 places made daemons hold back requests that would have been answered.
const PLACES_PER_SLOT: f64 = 2.0;

/// Requests at the endpoints while requests wait, as a multiple of their slots.
///
/// Above 1, so that an endpoint has its next request when one ends; the figures are older than a
/// request lasts.
const TARGET_LOAD: f64 = 2.0;

/// Bounds of the factor by which the rate is corrected towards the target load.
const CORRECTION_MIN: f64 = 0.5;
const CORRECTION_MAX: f64 = 2.0;

/// Correction for a load of one multiple of the slots off the target, times the age of the figures
/// over the service time. A higher one oscillates, as corrections take effect after that age.
const CORRECTION_GAIN: f64 = 0.4;

/// Time that the counts of the other daemons take to arrive, in addition to their known age.
const FIGURES_DELAY: DurationMs = DurationMs(200);

/// Releases that the rate allows at once after a time without any.
///
/// A daemon's part of the rate is some ten requests a second: requests that arrive together by
/// chance would otherwise wait for a tenth of a second each. In the simulated loads, 3 gave fewer
/// answers in time at a demand near what the endpoints can serve.
const CREDIT_MAX: f64 = 6.0;

/// Part of [`CREDIT_MAX`] that is left to customers within their share.
const CREDIT_RESERVE: f64 = 1.0;

/// Demand of a customer above its share, as a multiple of the mean of all customers.
const SHARE_FACTOR: f64 = 2.0;

/// Decayed number of requests below which a customer no longer counts as active.
const DEMAND_MIN: f64 = 0.1;

/// Releases of others after which a less urgent request leaves before more urgent ones.
const PASSED_OVER_MAX: u32 = 8;

/// Bounds of the retry delay; callers honour it up to a third of their remaining time.
const RETRY_DELAY_MIN: DurationMs = DurationMs(50);
const RETRY_DELAY_MAX: DurationMs = DurationMs(3_000);

/// Returns the number of requests up to which an endpoint counts as having room.
fn places(slots: u32) -> u32 {
    (f64::from(slots) * PLACES_PER_SLOT).floor() as u32
}

/// The load of the endpoints that may serve a request, as known to one daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServiceRoom {
    /// Slots of all endpoints.
    pub slots: u32,
    /// Requests at all endpoints, of all daemons.
    pub load: u32,
    /// Free slots, summed over the endpoints that have some.
    pub free: u32,
    /// Free places, summed likewise: the slots and a short queue at each endpoint.
    pub places: u32,
    /// Growth of this daemon's requests in flight since the load was counted.
    pub own_growth: i64,
    /// Age of the oldest count.
    pub age_ms: DurationMs,
    /// Time of the newest count.
    pub counted_at: MonotonicMs,
    /// Number of daemons that share the endpoints.
    pub daemons: u32,
}

impl ServiceRoom {
    /// Adds requests of this daemon that are to be sent but not at an endpoint yet.
    ///
    /// # Examples
    ///
    /// ```
    /// use celeryknot_core::{DurationMs, MonotonicMs};
    /// use celeryknot_policy::direct::ServiceRoom;
    ///
    /// let room = ServiceRoom {
    ///     slots: 6,
    ///     load: 4,
    ///     free: 2,
    ///     places: 8,
    ///     own_growth: 0,
    ///     age_ms: DurationMs(200),
    ///     counted_at: MonotonicMs(4_800),
    ///     daemons: 4,
    /// };
    /// let room = room.with_unplaced(3);
    /// assert_eq!((room.load, room.free, room.places, room.own_growth), (7, 0, 5, 3));
    /// ```
    #[must_use]
    pub fn with_unplaced(self, requests: u32) -> Self {
        Self {
            load: self.load.saturating_add(requests),
            free: self.free.saturating_sub(requests),
            places: self.places.saturating_sub(requests),
            own_growth: self.own_growth + i64::from(requests),
            ..self
        }
    }

    /// Returns the free places for a request.
    fn places_for(&self, is_above_share: bool) -> u32 {
        match is_above_share {
            true => self.free,
            false => self.places,
        }
    }

    /// Returns whether this daemon's part of the free places has one left; other daemons have the
    /// same figures. `draw`, from 0 to 1, rounds the part.
    fn has_own_part(&self, places: u32, draw: f64) -> bool {
        let places_then = i64::from(places) + self.own_growth;
        let part = places_then as f64 / f64::from(self.daemons.max(1)) + draw;
        places > 0 && self.own_growth < part.floor() as i64
    }
}

impl EndpointPool {
    /// Returns the load of the endpoints that may serve a plain request; `None` if a count is
    /// missing or too old, or if an endpoint states a limit that placement enforces itself.
    pub fn room(
        &self,
        now: MonotonicMs,
        allowed_zones: Option<&[ZoneName]>,
    ) -> Option<ServiceRoom> {
        if self.refusal_limit(now).is_some() || self.rate_limit_count(now) > 0 {
            return None;
        }
        let request = PlacementRequest {
            shared: None,
            draw: 0.0,
            allowed_zones,
            version: None,
            tried: &[],
            suspect: None,
            wait_max_ms: DurationMs(0),
        };
        let daemons = self
            .limits
            .members
            .len()
            .max(self.limits.members_min)
            .max(1);
        let mut room = ServiceRoom {
            slots: 0,
            load: 0,
            free: 0,
            places: 0,
            own_growth: 0,
            age_ms: DurationMs(0),
            counted_at: MonotonicMs(0),
            daemons: u32::try_from(daemons).unwrap_or(u32::MAX),
        };
        for (name, state) in &self.endpoints {
            if !Self::is_candidate(now, name, state, &request) || state.is_ejected(now) {
                continue;
            }
            let (load, age_ms) = state.load(now);
            let age_ms = age_ms?;
            room.slots += state.listed.slots;
            room.load += load;
            room.free += state.listed.slots.saturating_sub(load);
            room.places += places(state.listed.slots).saturating_sub(load);
            room.own_growth += state.own_growth(now);
            room.age_ms = room.age_ms.max(age_ms);
            let counted_at = MonotonicMs(now.0.saturating_sub(age_ms.0));
            room.counted_at = room.counted_at.max(counted_at);
        }
        (room.slots > 0).then_some(room)
    }
}

/// A request at the gate.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GatedRequest {
    /// Identifies the request at this gate.
    pub id: RequestId,
    /// The customer whose share the request uses.
    pub customer: CustomerName,
    /// The priority; 0 is the most urgent.
    pub priority: u8,
    /// When the complete answer is due.
    pub answer_by: MonotonicMs,
}

/// What happens to an offered request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[must_use]
pub enum GateDecision {
    /// It is sent now.
    Send,
    /// It waits until [`AdmissionGate::poll`] returns it.
    Wait,
    /// It is refused and has not run.
    Refuse(Refusal),
}

/// What happens to a waiting request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[must_use]
pub enum GateAction {
    /// It is sent now.
    Send(RequestId),
    /// It is refused and has not run.
    Refuse(RequestId, Refusal),
}

/// The figures that decide about requests, for logs.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct GateFigures {
    /// Requests that wait at this daemon.
    pub waiting: usize,
    /// This daemon's part of the rate at which the endpoints finish requests.
    pub rate: RatePerS,
    /// Expected time from the send of a request to its answer.
    pub answer_ms: DurationMs,
}

/// The waiting requests of one priority.
#[derive(Debug, Clone, Default)]
struct PriorityClass {
    queue: FairQueue,
    /// Releases of other classes since the last one of this class, while requests waited in it.
    passed_over: u32,
}

/// Where the waiting request that leaves next stands.
#[derive(Debug)]
struct NextRequest {
    priority: u8,
    customer: CustomerName,
    index: usize,
}

/// Decides which requests without a prompt are sent, wait or are refused, for the requests of one
/// service with the same allowed zones at one daemon.
///
/// # Examples
///
/// ```
/// use celeryknot_core::{DurationMs, MonotonicMs, RequestId};
/// use celeryknot_policy::direct::{AdmissionGate, GateDecision, GatedRequest, ServiceRoom};
///
/// let now = MonotonicMs(5_000);
/// let full = ServiceRoom {
///     slots: 24,
///     load: 40,
///     free: 0,
///     places: 0,
///     own_growth: 0,
///     age_ms: DurationMs(200),
///     counted_at: MonotonicMs(4_800),
///     daemons: 76,
/// };
/// let request = GatedRequest {
///     id: RequestId(1),
///     customer: "otaru".parse()?,
///     priority: 0,
///     answer_by: MonotonicMs(6_000),
/// };
/// let mut gate = AdmissionGate::new(now, 0.0);
/// gate.observe_answer(Some(full), DurationMs(50));
/// assert_eq!(gate.offer(now, &request, None, 0.5), GateDecision::Send, "no figures");
/// assert_eq!(gate.offer(now, &request, Some(full), 0.5), GateDecision::Wait);
/// # Ok::<(), celeryknot_core::IdError>(())
/// ```
#[derive(Debug, Clone)]
pub struct AdmissionGate {
    classes: BTreeMap<u8, PriorityClass>,
    /// Decisions about waiting requests that `poll` has not returned yet.
    pending: VecDeque<GateAction>,
    /// Service times: the times of answers without the wait at the endpoints.
    service_times: WaitModel,
    refused: RefusedRequests,
    /// Recent requests by customer.
    demand: BTreeMap<CustomerName, DecayingSum>,
    /// Releases that the rate allows.
    credit: f64,
    credited_at: MonotonicMs,
    /// Rounds this daemon's part of the free slots; drawn once for each count.
    rounding: f64,
    rounded_for: MonotonicMs,
}

impl AdmissionGate {
    /// Creates a gate; `draw`, from 0 to 1, keeps daemons that start together out of step.
    pub fn new(now: MonotonicMs, draw: f64) -> Self {
        Self {
            classes: BTreeMap::new(),
            pending: VecDeque::new(),
            service_times: WaitModel::default(),
            refused: RefusedRequests::default(),
            demand: BTreeMap::new(),
            credit: draw,
            credited_at: now,
            rounding: draw,
            rounded_for: MonotonicMs(0),
        }
    }

    /// Returns the number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.classes.values().map(|class| class.queue.len()).sum()
    }

    /// Returns whether nothing waits and no decision is pending.
    pub fn is_idle(&self) -> bool {
        self.pending.is_empty() && self.waiting() == 0
    }

    /// Records the time from the send of a request to its complete answer.
    pub fn observe_answer(&mut self, room: Option<ServiceRoom>, took_ms: DurationMs) {
        // By Little's law, the part of the time that a request waits at a full endpoint is the part
        // of the load that exceeds the slots.
        let share = room.map_or(1.0, |room| {
            f64::from(room.slots) / f64::from(room.load.max(room.slots))
        });
        let service_ms = (took_ms.0 as f64 * share).ceil().max(1.0) as u64;
        self.service_times.observe(DurationMs(service_ms), 1, None);
    }

    /// Decides about a new request. [`Self::poll`] must be called afterwards until it returns
    /// `None`.
    pub fn offer(
        &mut self,
        now: MonotonicMs,
        request: &GatedRequest,
        room: Option<ServiceRoom>,
        draw: f64,
    ) -> GateDecision {
        self.observe_demand(now, &request.customer);
        let Some(room) = room.filter(|_| self.has_service_time()) else {
            return GateDecision::Send;
        };
        self.advance(now, &room, draw);
        let class = request.priority;
        self.push(now, request);
        // Each arrival lets one request leave while there is a place.
        let places = room.places_for(self.is_above_share(now, &request.customer));
        let released = match places > 0 {
            true => self.release_next(now),
            false => self.release_due(now, &room),
        };
        match released {
            Some(id) if id == request.id => return GateDecision::Send,
            Some(id) => self.pending.push_back(GateAction::Send(id)),
            None => {}
        }
        if room.free > 0 {
            return GateDecision::Wait;
        }
        self.remove(request.id);
        let wait_ms = self.expected_wait_ms(now, &request.customer, class, &room);
        let remaining_ms = request.answer_by - now;
        if wait_ms.0.saturating_add(self.answer_ms(&room).0) > remaining_ms.0 {
            let refusal = self.refuse(now, ErrorKind::DeadlineUnreachable, wait_ms, &room, draw);
            return GateDecision::Refuse(refusal);
        }
        if self.waiting() >= WAITING_MAX && !self.evict(now, request, &room, draw) {
            let refusal = self.refuse(now, ErrorKind::QueueFull, wait_ms, &room, draw);
            return GateDecision::Refuse(refusal);
        }
        self.push(now, request);
        GateDecision::Wait
    }

    /// Returns the next decision about a waiting request.
    pub fn poll(
        &mut self,
        now: MonotonicMs,
        room: Option<ServiceRoom>,
        draw: f64,
    ) -> Option<GateAction> {
        if let Some(action) = self.pending.pop_front() {
            return Some(action);
        }
        let Some(room) = room else {
            // As before there were any figures.
            return self.release_next(now).map(GateAction::Send);
        };
        self.advance(now, &room, draw);
        if let Some(id) = self.take_late(now, &room) {
            if room.free > 0 {
                return Some(GateAction::Send(id));
            }
            let wait_ms = self.drain_time(&room);
            let refusal = self.refuse(now, ErrorKind::DeadlineUnreachable, wait_ms, &room, draw);
            return Some(GateAction::Refuse(id, refusal));
        }
        self.release_due(now, &room).map(GateAction::Send)
    }

    /// Removes a request whose caller has left.
    pub fn cancel(&mut self, id: RequestId) {
        self.remove(id);
        self.pending.retain(|action| match action {
            GateAction::Send(other) | GateAction::Refuse(other, _) => *other != id,
        });
    }

    /// Returns the figures that decide now.
    pub fn figures(&self, room: &ServiceRoom) -> GateFigures {
        GateFigures {
            waiting: self.waiting(),
            rate: self.rate(room),
            answer_ms: self.answer_ms(room),
        }
    }

    fn has_service_time(&self) -> bool {
        self.service_times.answer_ms(1) > DurationMs(0)
    }

    fn service_ms(&self) -> f64 {
        self.service_times.duration_ms().0.max(1) as f64
    }

    /// Returns the expected time from the send of a request to its answer.
    fn answer_ms(&self, room: &ServiceRoom) -> DurationMs {
        let load_ratio = f64::from(room.load.max(1)) / f64::from(room.slots.max(1));
        DurationMs((self.service_ms() * load_ratio.max(1.0)).ceil() as u64)
    }

    /// Returns this daemon's part of the rate at which the endpoints finish requests, corrected
    /// towards the target load.
    fn rate(&self, room: &ServiceRoom) -> RatePerS {
        let service_ms = self.service_ms();
        let finished_per_s = f64::from(room.slots) * 1_000.0 / service_ms;
        let delay_ms = (room.age_ms.0 + FIGURES_DELAY.0) as f64;
        let gain = (CORRECTION_GAIN * service_ms / delay_ms).min(CORRECTION_GAIN);
        let load_ratio = f64::from(room.load) / f64::from(room.slots.max(1));
        let correction = 1.0 + gain * (TARGET_LOAD - load_ratio);
        let correction = correction.clamp(CORRECTION_MIN, CORRECTION_MAX);
        RatePerS(finished_per_s * correction / f64::from(room.daemons.max(1)))
    }

    fn advance(&mut self, now: MonotonicMs, room: &ServiceRoom, draw: f64) {
        let earned = self.rate(room).count_in(now - self.credited_at);
        self.credit = (self.credit + earned).min(CREDIT_MAX);
        self.credited_at = now;
        if room.counted_at > self.rounded_for {
            self.rounded_for = room.counted_at;
            self.rounding = draw;
        }
    }

    fn observe_demand(&mut self, now: MonotonicMs, customer: &CustomerName) {
        if !self.demand.contains_key(customer) {
            self.demand.retain(|_, it| it.value(now) >= DEMAND_MIN);
        }
        let demand = self.demand.entry(customer.clone()).or_default();
        demand.add(now, 1.0);
    }

    fn is_above_share(&self, now: MonotonicMs, customer: &CustomerName) -> bool {
        let total: f64 = self.demand.values().map(|it| it.value(now)).sum();
        let mean = total / self.demand.len().max(1) as f64;
        let own = self.demand.get(customer).map_or(0.0, |it| it.value(now));
        own > mean * SHARE_FACTOR
    }

    fn push(&mut self, now: MonotonicMs, request: &GatedRequest) {
        let entry = AdmissionRequest::builder(request.id, request.customer.clone())
            .deadline_at(request.answer_by)
            .build();
        let class = self.classes.entry(request.priority).or_default();
        class.queue.push(now, &entry);
    }

    fn remove(&mut self, id: RequestId) {
        for class in self.classes.values_mut() {
            class.queue.remove(id);
        }
    }

    /// Removes the request that leaves next if the rate, or this daemon's part of the free slots,
    /// lets it leave.
    fn release_due(&mut self, now: MonotonicMs, room: &ServiceRoom) -> Option<RequestId> {
        let next = self.find_next(now)?;
        let is_above_share = self.is_above_share(now, &next.customer);
        let reserve = match is_above_share {
            true => CREDIT_RESERVE,
            false => 0.0,
        };
        let has_part = room.has_own_part(room.places_for(is_above_share), self.rounding);
        match has_part || self.credit >= 1.0 + reserve {
            true => self.release(now, &next),
            false => None,
        }
    }

    /// Removes the request that leaves next.
    fn release_next(&mut self, now: MonotonicMs) -> Option<RequestId> {
        let next = self.find_next(now)?;
        self.release(now, &next)
    }

    fn find_next(&self, now: MonotonicMs) -> Option<NextRequest> {
        let mut waiting = self.classes.iter().filter(|(_, it)| !it.queue.is_empty());
        let first = waiting.next()?;
        let passed_over = waiting
            .filter(|(_, it)| it.passed_over >= PASSED_OVER_MAX)
            .max_by_key(|(_, it)| it.passed_over);
        let (priority, class) = passed_over.unwrap_or(first);
        // The pool counts the endpoints' slots: no reserve of them holds a request back here.
        let slots = Slots {
            endpoint_max: 0,
            in_flight: 0,
        };
        let (customer, index) = class.queue.next(now, slots)?;
        Some(NextRequest {
            priority: *priority,
            customer,
            index,
        })
    }

    /// Removes a waiting request to be sent and charges its customer for it.
    fn release(&mut self, now: MonotonicMs, next: &NextRequest) -> Option<RequestId> {
        for (priority, class) in &mut self.classes {
            class.passed_over = match *priority == next.priority || class.queue.is_empty() {
                true => 0,
                false => class.passed_over.saturating_add(1),
            };
        }
        self.credit = (self.credit - 1.0).max(0.0);
        let queue = &mut self.classes.get_mut(&next.priority)?.queue;
        let started = queue.start(now, &next.customer, next.index)?;
        queue.finish(now, &started.customer);
        Some(started.request.id)
    }

    /// Removes a request that can't be answered in time if it waits any longer.
    fn take_late(&mut self, now: MonotonicMs, room: &ServiceRoom) -> Option<RequestId> {
        let answer_ms = self.answer_ms(room);
        let is_late = |deadline_at: Option<MonotonicMs>| {
            deadline_at.is_some_and(|deadline| deadline - now <= answer_ms)
        };
        let requests = self.classes.values().flat_map(|it| it.queue.requests());
        let mut late = requests.filter(|it| is_late(it.deadline_at));
        let id = late.next().map(|it| it.id);
        drop(late);
        let id = id?;
        self.remove(id);
        Some(id)
    }

    /// Makes place for a request of a customer with fewer waiting ones.
    fn evict(
        &mut self,
        now: MonotonicMs,
        request: &GatedRequest,
        room: &ServiceRoom,
        draw: f64,
    ) -> bool {
        let mut classes = self.classes.range_mut(request.priority..).rev();
        let evicted = classes.find_map(|(_, it)| it.queue.evict(now, &request.customer, 1.0));
        let Some(id) = evicted else {
            return false;
        };
        let wait_ms = self.drain_time(room);
        let refusal = self.refuse(now, ErrorKind::QueueFull, wait_ms, room, draw);
        self.pending.push_back(GateAction::Refuse(id, refusal));
        true
    }

    /// Returns the expected wait of a new request of a customer.
    fn expected_wait_ms(
        &self,
        now: MonotonicMs,
        customer: &CustomerName,
        priority: u8,
        room: &ServiceRoom,
    ) -> DurationMs {
        let more_urgent = self.classes.range(..priority);
        let before: usize = more_urgent.map(|(_, it)| it.queue.len()).sum();
        let own_class = self.classes.get(&priority).map_or(0.0, |class| {
            class
                .queue
                .tokens_ahead(now, customer, 1.0, URGENCY_DEFAULT)
        });
        let ahead = before as f64 + own_class + 1.0 - self.credit;
        self.rate(room).time_for(ahead.max(0.0))
    }

    /// Returns the time in which all waiting requests leave.
    fn drain_time(&self, room: &ServiceRoom) -> DurationMs {
        self.rate(room).time_for(self.waiting() as f64)
    }

    /// Builds a refusal whose retry delay is the time until the waiting requests, and the refused
    /// ones that return, have left; `draw` spreads it by half of it to both sides, as callers that
    /// return together fill the endpoints together.
    fn refuse(
        &mut self,
        now: MonotonicMs,
        kind: ErrorKind,
        wait_ms: DurationMs,
        room: &ServiceRoom,
        draw: f64,
    ) -> Refusal {
        let rate = self.rate(room);
        let turn_ms = self.refused.next_turn_ms(now, rate);
        let delay_ms = wait_ms.0.saturating_add(turn_ms.0) as f64 * (0.5 + draw);
        let delay_ms = DurationMs(delay_ms as u64).clamp(RETRY_DELAY_MIN, RETRY_DELAY_MAX);
        Refusal::with_retry_after(kind, delay_ms)
    }
}
