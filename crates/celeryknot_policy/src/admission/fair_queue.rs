//! The queue of one endpoint: start-time fair queueing over customers by cost in tokens.
//!
//! Each customer has a tag in virtual time, which advances by cost over weight with every request
//! that the customer starts, queued or not. The customer with the lowest tag is served next.
//! Within a customer the more urgent request goes first, and a request gains urgency as it waits.
//! Between customers, urgency shifts a request by a bounded amount of virtual time only, and its
//! cost is charged in full, so a customer gains no share by marking every request urgent.

use std::collections::BTreeMap;

use celeryknot_core::{CustomerName, DurationMs, MonotonicMs, RequestId};

use super::flow::{Flow, QueuedRequest};
use super::request::{AdmissionRequest, URGENCY_DEFAULT};

/// Tokens by which one class of urgency moves a request ahead of those of other customers.
const URGENCY_STEP_TOKENS: f64 = 100.0;
/// How long a customer counts as active after its last request.
const ACTIVE_MS: DurationMs = DurationMs(60_000);
/// Divisor of an endpoint's slots that gives the reserve closed to customers above their share.
const RESERVE_DIVISOR: u32 = 8;
/// Maximum number of customers over which the expected wait of the summary is averaged.
const WAIT_FLOWS_MAX: usize = 16;

/// A request that was removed from the queue to start.
#[derive(Debug, Clone)]
pub(crate) struct StartedRequest {
    pub(crate) customer: CustomerName,
    pub(crate) request: QueuedRequest,
}

/// The queued requests of all customers.
#[derive(Debug, Clone, Default)]
pub(crate) struct FairQueue {
    flows: BTreeMap<CustomerName, Flow>,
    virtual_time: f64,
    next_sequence: u64,
    len: usize,
}

/// The slots of the endpoint, which customers share.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Slots {
    /// Maximum number of requests in flight that the endpoint itself can handle.
    pub(crate) endpoint_max: u32,
    /// Requests in flight now, from all daemons.
    pub(crate) in_flight: u32,
}

impl FairQueue {
    pub(crate) fn len(&self) -> usize {
        self.len
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.len == 0
    }

    pub(crate) fn contains(&self, id: RequestId) -> bool {
        self.requests().any(|request| request.id == id)
    }

    pub(crate) fn requests(&self) -> impl Iterator<Item = &QueuedRequest> {
        self.flows.values().flat_map(|flow| &flow.queue)
    }

    pub(crate) fn queued_of(&self, customer: &CustomerName) -> usize {
        self.flows.get(customer).map_or(0, |flow| flow.queue.len())
    }

    pub(crate) fn id_at(&self, customer: &CustomerName, index: usize) -> Option<RequestId> {
        let flow = self.flows.get(customer)?;
        flow.queue.get(index).map(|request| request.id)
    }

    pub(crate) fn push(&mut self, now: MonotonicMs, request: &AdmissionRequest) {
        let virtual_time = self.virtual_time;
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        let flow = self.flow_mut(now, &request.customer);
        flow.weight = request.weight;
        if flow.queue.is_empty() {
            flow.start_tag = virtual_time.max(flow.finish_tag);
        }
        flow.queue.push(QueuedRequest::new(now, sequence, request));
        self.len += 1;
    }

    /// Returns the customer and index of the next request, if one may take a slot.
    pub(crate) fn next(&self, now: MonotonicMs, slots: Slots) -> Option<(CustomerName, usize)> {
        let total_weight = self.active_weight(now);
        let mut best: Option<(f64, u64, &CustomerName, usize)> = None;
        for (customer, flow) in &self.flows {
            let Some(index) = flow.most_urgent(now) else {
                continue;
            };
            if self.is_limited_to_share(flow, slots, total_weight) {
                continue;
            }
            let request = &flow.queue[index];
            let offset = urgency_offset(request.urgency) / flow.weight;
            let key = (flow.start_tag + offset, request.sequence);
            if best.is_none_or(|(tag, sequence, ..)| key < (tag, sequence)) {
                best = Some((key.0, key.1, customer, index));
            }
        }
        best.map(|(_, _, customer, index)| (customer.clone(), index))
    }

    /// Removes the request at an index returned by `next` and charges its customer for it.
    pub(crate) fn start(
        &mut self,
        now: MonotonicMs,
        customer: &CustomerName,
        index: usize,
    ) -> Option<StartedRequest> {
        let flow = self.flows.get_mut(customer)?;
        let request = flow.queue.remove(index);
        flow.finish_tag = flow.start_tag + f64::from(request.cost_tokens) / flow.weight;
        let started_tag = flow.start_tag;
        flow.start_tag = flow.finish_tag;
        flow.in_flight += 1;
        flow.last_active_at = now;
        self.len -= 1;
        let lowest = self
            .flows
            .values()
            .filter(|flow| !flow.queue.is_empty())
            .fold(started_tag, |lowest, flow| lowest.min(flow.start_tag));
        self.virtual_time = self.virtual_time.max(lowest);
        Some(StartedRequest {
            customer: customer.clone(),
            request,
        })
    }

    /// Removes a request without starting it; its customer is not charged.
    pub(crate) fn remove(&mut self, id: RequestId) -> Option<QueuedRequest> {
        let (flow, index) = self.flows.values_mut().find_map(|flow| {
            let index = flow.queue.iter().position(|request| request.id == id)?;
            Some((flow, index))
        })?;
        self.len -= 1;
        Some(flow.queue.remove(index))
    }

    /// Evicts the least urgent request of the customer with the most queued requests per weight,
    /// if `customer` would have fewer per weight with one more request.
    pub(crate) fn evict(
        &mut self,
        now: MonotonicMs,
        customer: &CustomerName,
        weight: f64,
    ) -> Option<RequestId> {
        let filled_after = (self.queued_of(customer) + 1) as f64 / weight;
        let (_, flow) = self
            .flows
            .iter_mut()
            .map(|(name, flow)| (flow.queue.len() as f64 / flow.weight, name, flow))
            .filter(|(filled, name, _)| *filled > filled_after && *name != customer)
            .max_by(|a, b| a.0.total_cmp(&b.0))
            .map(|(filled, _, flow)| (filled, flow))?;
        let index = flow.least_urgent(now)?;
        self.len -= 1;
        Some(flow.queue.remove(index).id)
    }

    /// Returns the ids of all queued requests and empties the queue.
    pub(crate) fn drain(&mut self) -> Vec<RequestId> {
        self.len = 0;
        self.flows
            .values_mut()
            .flat_map(|flow| flow.queue.drain(..))
            .map(|request| request.id)
            .collect()
    }

    /// Records the end of a started request.
    pub(crate) fn finish(&mut self, now: MonotonicMs, customer: &CustomerName) {
        if let Some(flow) = self.flows.get_mut(customer) {
            flow.in_flight = flow.in_flight.saturating_sub(1);
            flow.last_active_at = now;
        }
        self.remove_idle(now);
    }

    /// Returns how many places of a queue of `queue_len_max` a customer may use.
    ///
    /// The shares always leave capacity for one more customer of the mean weight.
    pub(crate) fn queue_share(
        &self,
        now: MonotonicMs,
        customer: &CustomerName,
        weight: f64,
        queue_len_max: u32,
    ) -> usize {
        let others = self.active(now).filter(|(name, _)| *name != customer);
        let (count, total) = others.fold((1, weight), |(count, total), (_, flow)| {
            (count + 1, total + flow.weight)
        });
        let newcomer = total / f64::from(count);
        let share = f64::from(queue_len_max) * weight / (total + newcomer);
        (share.ceil() as usize).max(1)
    }

    /// Returns the queued tokens that are served before a new request of the customer.
    pub(crate) fn tokens_ahead(
        &self,
        now: MonotonicMs,
        customer: &CustomerName,
        weight: f64,
        urgency: u8,
    ) -> f64 {
        let own = self.flows.get(customer);
        let own_before = own.map_or(0.0, |flow| flow.tokens_before(now, urgency));
        let own_tag = match own {
            Some(flow) if !flow.queue.is_empty() => flow.start_tag,
            Some(flow) => flow.finish_tag.max(self.virtual_time),
            None => self.virtual_time,
        };
        let tag = own_tag + (own_before + urgency_offset(urgency)) / weight;
        let others = self.flows.iter().filter(|(name, _)| *name != customer);
        let others_before: f64 = others
            .map(|(_, flow)| {
                let tokens_before_tag = ((tag - flow.start_tag) * flow.weight).max(0.0);
                flow.queued_tokens().min(tokens_before_tag)
            })
            .sum();
        own_before + others_before
    }

    /// Returns the mean, over active customers, of the tokens served before a new request.
    pub(crate) fn mean_tokens_ahead(&self, now: MonotonicMs) -> f64 {
        let mut count = 0;
        let mut total = 0.0;
        for (customer, flow) in self.active(now).take(WAIT_FLOWS_MAX) {
            count += 1;
            total += self.tokens_ahead(now, customer, flow.weight, URGENCY_DEFAULT);
        }
        total / f64::from(count.max(1))
    }

    /// Returns whether the customer is above its share while only reserved slots are free.
    fn is_limited_to_share(&self, flow: &Flow, slots: Slots, total_weight: f64) -> bool {
        let reserve = slots.endpoint_max / RESERVE_DIVISOR;
        if reserve == 0 || total_weight <= flow.weight {
            return false;
        }
        let share = f64::from(slots.endpoint_max) * flow.weight / total_weight;
        f64::from(flow.in_flight) >= share && slots.in_flight + reserve >= slots.endpoint_max
    }

    fn active(&self, now: MonotonicMs) -> impl Iterator<Item = (&CustomerName, &Flow)> {
        self.flows
            .iter()
            .filter(move |(_, flow)| !flow.is_idle() || flow.idle_ms(now) < ACTIVE_MS)
    }

    fn active_weight(&self, now: MonotonicMs) -> f64 {
        self.active(now).map(|(_, flow)| flow.weight).sum()
    }

    fn flow_mut(&mut self, now: MonotonicMs, customer: &CustomerName) -> &mut Flow {
        let flow = self
            .flows
            .entry(customer.clone())
            .or_insert_with(|| Flow::new(now));
        flow.last_active_at = now;
        flow
    }

    fn remove_idle(&mut self, now: MonotonicMs) {
        self.flows
            .retain(|_, flow| !flow.is_idle() || flow.idle_ms(now) < ACTIVE_MS);
    }
}

fn urgency_offset(urgency: u8) -> f64 {
    (f64::from(urgency) - f64::from(URGENCY_DEFAULT)) * URGENCY_STEP_TOKENS
}
