//! An engine's state, which changes with each step of its batch.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use celeryknot_core::{ChatKey, RequestId};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use super::EngineOptions;
use super::event_log::EventLog;
use super::job::{Job, Progress};
use super::prefix_cache::PrefixCache;
use crate::counters::EndpointCounters;
use crate::text::{AnswerText, Message, Token};
use crate::wire::{CacheEvent, CacheEventKind, EndpointMode, FencedOrder, Load, Order};

/// Limits the load samples kept for delayed reports.
const LOAD_HISTORY_MAX: usize = 2_048;
/// Multiple of its concurrency limit at which a cold engine fails new requests.
const COLD_REJECT_MULTIPLE: u32 = 2;

#[derive(Debug)]
pub(super) struct EngineState {
    pub(super) options: EngineOptions,
    pub(super) counters: EndpointCounters,
    /// Sorted by urgency, then by arrival.
    waiting: Vec<Job>,
    running: Vec<Job>,
    cache: PrefixCache,
    events: EventLog,
    mode: EndpointMode,
    cold_until: Option<Instant>,
    is_forced_cold: bool,
    loading: Option<(Instant, String, String)>,
    role: String,
    fencing: u64,
    load_history: VecDeque<(Instant, Load)>,
    random: SmallRng,
    /// Text in a message on which the engine crashes.
    pub(super) crash_text: Option<String>,
    /// Number of events of a stream after which it crashes on it; 0 is before the response.
    pub(super) crash_event_count: usize,
}

impl EngineState {
    pub(super) fn new(options: EngineOptions) -> Self {
        let now = Instant::now();
        let cold_until = (options.cold_ms.0 > 0).then(|| now + options.cold_ms.as_std());
        let lag = options.event_lag_ms.as_std();
        let mut state = Self {
            counters: EndpointCounters::default(),
            waiting: Vec::new(),
            running: Vec::new(),
            cache: PrefixCache::new(options.kv_tokens_max),
            events: EventLog::new(lag, options.event_loss_percent, options.seed),
            mode: EndpointMode::default(),
            cold_until,
            is_forced_cold: false,
            loading: None,
            role: "serve".to_owned(),
            fencing: 0,
            load_history: VecDeque::new(),
            random: SmallRng::seed_from_u64(options.seed),
            crash_text: None,
            crash_event_count: 1,
            options,
        };
        state.record_load();
        state
    }

    pub(super) fn in_flight(&self) -> u32 {
        (self.waiting.len() + self.running.len()) as u32
    }

    pub(super) fn is_cold(&self) -> bool {
        self.is_forced_cold
            || self.loading.is_some()
            || self.cold_until.is_some_and(|until| Instant::now() < until)
    }

    pub(super) fn is_silent(&self) -> bool {
        self.mode.silent == Some(true)
    }

    /// Returns whether the engine crashes as it begins to answer these messages.
    pub(super) fn crashes_on(&self, messages: &[Message]) -> bool {
        let Some(text) = &self.crash_text else {
            return false;
        };
        messages
            .iter()
            .any(|message| message.content.contains(text))
    }

    /// Ends all requests and clears the cache, as the end of the engine's process would.
    pub(super) fn crash(&mut self) {
        self.waiting.clear();
        self.running.clear();
        for chat in self.cache.clear() {
            self.events.push(CacheEventKind::Evicted, chat, 0);
        }
        self.counters.crashes += 1;
        self.record_load();
    }

    /// Draws whether a fault of this percentage hits a request.
    pub(super) fn hits_fault(&mut self, percent: Option<u32>) -> bool {
        percent.is_some_and(|percent| self.random.random_range(0..100) < percent)
    }

    pub(super) fn mode(&self) -> EndpointMode {
        self.mode
    }

    pub(super) fn set_mode(&mut self, change: EndpointMode) {
        let mode = &mut self.mode;
        mode.slow_factor = change.slow_factor.or(mode.slow_factor);
        mode.fail_percent = change.fail_percent.or(mode.fail_percent);
        mode.silent = change.silent.or(mode.silent);
        mode.truncate_percent = change.truncate_percent.or(mode.truncate_percent);
        mode.cross_percent = change.cross_percent.or(mode.cross_percent);
        mode.rate_limit_per_s = change.rate_limit_per_s.or(mode.rate_limit_per_s);
        match change.cold {
            Some(true) => self.force_cold(),
            Some(false) => {
                self.is_forced_cold = false;
                self.cold_until = None;
            }
            None => {}
        }
        self.record_load();
    }

    /// Clears the cache; requests in flight continue.
    fn force_cold(&mut self) {
        self.is_forced_cold = true;
        for chat in self.cache.clear() {
            self.events.push(CacheEventKind::Evicted, chat, 0);
        }
    }

    pub(super) fn load(&self) -> Load {
        let is_cold = self.is_cold();
        let bound = if is_cold {
            self.options.cold_bound
        } else {
            self.options.batch_max
        };
        Load {
            in_flight: self.in_flight(),
            queued: self.waiting.len() as u32,
            cold: is_cold,
            bound,
            rate_limit_per_s: self.mode.stated_rate_limit_per_s(),
            version: Some(self.options.version.clone()),
            role: Some(self.role.clone()),
            kv_tokens_used: Some(self.cache.tokens_used() as u64),
            kv_tokens_max: Some(self.options.kv_tokens_max as u64),
        }
    }

    fn record_load(&mut self) {
        if self.load_history.len() == LOAD_HISTORY_MAX {
            self.load_history.pop_front();
        }
        self.load_history.push_back((Instant::now(), self.load()));
    }

    /// Returns the load as it was one reporting delay ago.
    pub(super) fn delayed_load(&mut self) -> Load {
        let lag = self.options.load_lag_ms.as_std();
        self.record_load();
        self.load_history
            .iter()
            .rev()
            .find(|(at, _)| at.elapsed() >= lag)
            .or_else(|| self.load_history.front())
            .map_or_else(|| self.load(), |(_, load)| load.clone())
    }

    /// Returns whether an overloaded cold engine fails a request, and counts it.
    pub(super) fn rejects_overload(&mut self) -> bool {
        let is_rejected = self.is_cold()
            && self.in_flight() >= self.options.cold_bound.saturating_mul(COLD_REJECT_MULTIPLE);
        if is_rejected {
            self.counters.overwhelmed += 1;
        }
        is_rejected
    }

    /// Queues a request by urgency.
    pub(super) fn enqueue(&mut self, mut job: Job) {
        let is_cold = self.is_cold();
        job.arrived_cold = is_cold;
        self.counters.record_request(job.request_id);
        self.counters.prompt_tokens += job.prompt.len() as u64;
        let position = self
            .waiting
            .partition_point(|other| other.urgency <= job.urgency);
        self.waiting.insert(position, job);
        self.counters.peak_in_flight = self.counters.peak_in_flight.max(self.in_flight());
        if is_cold {
            let jobs = self.waiting.iter().chain(&self.running);
            let cold_jobs = jobs.filter(|job| job.arrived_cold).count() as u32;
            self.counters.peak_in_flight_cold = self.counters.peak_in_flight_cold.max(cold_jobs);
        }
        self.record_load();
    }

    pub(super) fn cancel(&mut self, request_id: RequestId) {
        for job in self.waiting.iter().chain(&self.running) {
            if job.request_id == request_id {
                job.fail();
                job.chunks.close();
            }
        }
        self.drop_abandoned();
    }

    /// Starts a step of the batch and returns its duration, or `None` if the engine is idle.
    pub(super) fn begin_step(&mut self) -> Option<Duration> {
        self.drop_abandoned();
        self.finish_loading();
        self.fill_batch();
        if self.running.is_empty() {
            // Polls, as nothing wakes the engine when a model load ends.
            return self.loading.as_ref().map(|_| Duration::from_millis(20));
        }
        Some(self.step_duration())
    }

    /// Ends a step: prefills prompts and emits a token for each prefilled request.
    pub(super) fn end_step(&mut self, duration: Duration) {
        let mut budget =
            self.options.prefill_tokens_per_s * duration.as_secs_f64() / self.slow_factor();
        let mut index = 0;
        while index < self.running.len() {
            let job = &mut self.running[index];
            let prefilled = job.prefill_remaining.min(budget);
            job.prefill_remaining -= prefilled;
            budget -= prefilled;
            if job.prefill_remaining > 0.0 {
                index += 1;
                continue;
            }
            match job.emit_token() {
                Progress::Running => index += 1,
                Progress::Done | Progress::Failed => {
                    let job = self.running.remove(index);
                    self.store_in_cache(&job);
                }
            }
        }
        self.record_load();
    }

    fn slow_factor(&self) -> f64 {
        let is_overloaded = self.is_cold() && self.in_flight() > self.options.cold_bound;
        let cold_factor = if is_overloaded {
            self.options.overload_factor
        } else {
            1.0
        };
        self.mode.slow_factor.unwrap_or(1.0).max(0.01) * cold_factor
    }

    fn step_duration(&self) -> Duration {
        let batch = self.running.len() as f64;
        let ms = self.options.decode_base_ms + self.options.decode_per_request_ms * batch;
        Duration::from_secs_f64(ms * self.slow_factor() / 1_000.0)
    }

    fn fill_batch(&mut self) {
        while !self.waiting.is_empty() && self.running.len() < self.options.batch_max as usize {
            let mut job = self.waiting.remove(0);
            let resumed_tokens = job.resume_from as usize;
            let cached = job
                .chat
                .map_or(0, |chat| self.cache.cached_prefix_len(chat, &job.prompt));
            job.cached_tokens = cached;
            job.prefill_remaining = (job.prompt.len() + resumed_tokens - cached) as f64;
            self.counters.cached_tokens += cached as u64;
            // More urgent prompts are prefilled first.
            let position = self
                .running
                .partition_point(|other| other.urgency <= job.urgency);
            self.running.insert(position, job);
        }
    }

    fn drop_abandoned(&mut self) {
        let before = self.in_flight();
        self.waiting.retain(|job| !job.is_abandoned());
        let (abandoned, remaining) = std::mem::take(&mut self.running)
            .into_iter()
            .partition(Job::is_abandoned);
        self.running = remaining;
        let abandoned: Vec<Job> = abandoned;
        for job in &abandoned {
            self.store_in_cache(job);
        }
        if self.in_flight() < before {
            self.counters.cancelled += u64::from(before - self.in_flight());
            self.record_load();
        }
    }

    fn store_in_cache(&mut self, job: &Job) {
        if job.prefill_remaining > 0.0 {
            return;
        }
        if let Some(chat) = job.chat {
            self.store(chat, job.tokens_with_answer());
        }
    }

    pub(super) fn store(&mut self, chat: ChatKey, tokens: Vec<Token>) {
        let len = tokens.len();
        for evicted in self.cache.store(chat, tokens) {
            self.events.push(CacheEventKind::Evicted, evicted, 0);
        }
        self.events.push(CacheEventKind::Stored, chat, len);
    }

    pub(super) fn cached(&self, chat: ChatKey) -> Option<&[Token]> {
        self.cache.get(chat)
    }

    pub(super) fn cached_len(&self, chat: ChatKey) -> usize {
        self.cached(chat).map_or(0, <[Token]>::len)
    }

    pub(super) fn events_after(&self, after: u64) -> Vec<CacheEvent> {
        self.events.visible_after(after)
    }

    /// Executes an order, or refuses an outdated one with the highest fencing token received.
    pub(super) fn accept_order(&mut self, order: FencedOrder) -> Result<(), u64> {
        if self.options.refuses_old_orders && order.fencing < self.fencing {
            return Err(self.fencing);
        }
        self.fencing = self.fencing.max(order.fencing);
        let (fencing, order) = (order.fencing, order.order);
        match order {
            Order::LoadModel {
                model,
                version,
                adapter,
            } => {
                let adapter = adapter.map_or_else(String::new, |adapter| format!("+{adapter}"));
                self.counters
                    .orders
                    .push(format!("{fencing} load-model {model} {version}{adapter}"));
                let loaded_at = Instant::now() + self.options.weight_store.reserve_load();
                self.loading = Some((loaded_at, model, version + &adapter));
            }
            Order::SetRole { role } => {
                self.counters
                    .orders
                    .push(format!("{fencing} set-role {role}"));
                self.role = role;
            }
        }
        self.record_load();
        Ok(())
    }

    fn finish_loading(&mut self) {
        let is_done =
            matches!(&self.loading, Some((loaded_at, _, _)) if Instant::now() >= *loaded_at);
        if !is_done {
            return;
        }
        if let Some((_, model, version)) = self.loading.take() {
            self.options.model = model;
            self.options.version = version;
            self.cache.clear();
            self.record_load();
        }
    }

    /// Returns an answer to another request, for cross-delivery.
    pub(super) fn foreign_answer(answer: AnswerText) -> AnswerText {
        AnswerText {
            seed: !answer.seed,
            ..answer
        }
    }
}
