//! A fake engine with its owner's admission and a small cache.

use std::collections::{BTreeMap, VecDeque};

use celeryknot_core::{EndpointName, MonotonicMs};
use celeryknot_policy::admission::{AdmissionLimits, EndpointAdmission, ReportedLoad};

use super::Request;

/// Time from draining an engine to its replacement.
const REPLACEMENT_DELAY_MS: u64 = 6_000;
/// Duration of the cold start of a new engine.
const COLD_START_MS: u64 = 2_000;
const COLD_IN_FLIGHT_MAX: u32 = 2;

#[derive(Debug, Clone)]
pub(super) struct Running {
    pub(super) request: Request,
    pub(super) cached_tokens: u32,
    pub(super) started_at: u64,
    pub(super) first_token_at: u64,
}

#[derive(Debug)]
pub(super) struct Engine {
    pub(super) name: EndpointName,
    pub(super) admission: EndpointAdmission,
    running: BTreeMap<(u64, u64), Running>,
    cache: VecDeque<(usize, u32)>,
    cache_tokens_max: u32,
    replaced_at: Option<u64>,
    cold_until: u64,
}

impl Engine {
    pub(super) fn new(number: usize, limits: AdmissionLimits, cache_tokens_max: u32) -> Self {
        Self {
            name: format!("engine-{number}").parse().unwrap(),
            admission: EndpointAdmission::new(limits, MonotonicMs(0)),
            running: BTreeMap::new(),
            cache: VecDeque::new(),
            cache_tokens_max,
            replaced_at: None,
            cold_until: 0,
        }
    }

    pub(super) fn accepts_requests(&self) -> bool {
        self.replaced_at.is_none()
    }

    pub(super) fn in_flight(&self) -> u32 {
        self.running.len() as u32
    }

    pub(super) fn drain(&mut self, now: u64) {
        self.replaced_at = Some(now + REPLACEMENT_DELAY_MS);
        self.admission.set_accepts_requests(false);
    }

    /// Replaces a drained engine by a cold one with an empty cache once its replacement is due.
    pub(super) fn advance(&mut self, now: u64) {
        if self
            .replaced_at
            .is_some_and(|replaced_at| now >= replaced_at)
            && self.running.is_empty()
        {
            self.replaced_at = None;
            self.cold_until = now + COLD_START_MS;
            self.cache.clear();
            let load = self.load(now);
            self.admission.set_accepts_requests(true);
            self.admission.observe_load(MonotonicMs(now), load);
        }
    }

    pub(super) fn load(&self, now: u64) -> ReportedLoad {
        let is_cold = now < self.cold_until;
        ReportedLoad {
            in_flight: self.in_flight(),
            queued: 0,
            is_cold,
            bound: is_cold.then_some(COLD_IN_FLIGHT_MAX),
            may_be_stale: false,
        }
    }

    pub(super) fn exceeds_cold_bound(&self, now: u64) -> bool {
        now < self.cold_until && self.in_flight() > COLD_IN_FLIGHT_MAX
    }

    pub(super) fn cached(&self, chat: usize) -> u32 {
        let entry = self
            .cache
            .iter()
            .find(|(cached_chat, _)| *cached_chat == chat);
        entry.map_or(0, |(_, tokens)| *tokens)
    }

    /// Stores a chat's context and evicts the least recently used ones.
    pub(super) fn store(&mut self, chat: usize, tokens: u32) {
        self.cache.retain(|(cached_chat, _)| *cached_chat != chat);
        self.cache.push_back((chat, tokens));
        let mut total: u32 = self.cache.iter().map(|(_, tokens)| tokens).sum();
        while total > self.cache_tokens_max {
            let Some((_, tokens)) = self.cache.pop_front() else {
                return;
            };
            total -= tokens;
        }
    }

    pub(super) fn start(&mut self, id: u64, running: Running, ends_at: u64) {
        self.running.insert((ends_at, id), running);
    }

    pub(super) fn pop_ended(&mut self, now: u64) -> Option<(u64, Running)> {
        let ((ends_at, id), _) = self.running.first_key_value()?;
        let (ends_at, id) = (*ends_at, *id);
        if ends_at > now {
            return None;
        }
        let running = self.running.remove(&(ends_at, id))?;
        Some((id, running))
    }
}
