//! An engine's cache events, which become visible after a delay and with gaps.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use celeryknot_core::ChatKey;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use crate::wire::{CacheEvent, CacheEventKind};

const EVENTS_MAX: usize = 4_096;

#[derive(Debug)]
pub(super) struct EventLog {
    lag: Duration,
    loss_percent: u32,
    random: SmallRng,
    next_seq: u64,
    events: VecDeque<(Instant, CacheEvent)>,
}

impl EventLog {
    pub(super) fn new(lag: Duration, loss_percent: u32, seed: u64) -> Self {
        Self {
            lag,
            loss_percent,
            random: SmallRng::seed_from_u64(seed),
            next_seq: 1,
            events: VecDeque::new(),
        }
    }

    pub(super) fn push(&mut self, kind: CacheEventKind, chat: ChatKey, tokens: usize) {
        let seq = self.next_seq;
        self.next_seq += 1;
        if self.random.random_range(0..100) < self.loss_percent {
            return;
        }
        if self.events.len() == EVENTS_MAX {
            self.events.pop_front();
        }
        let event = CacheEvent {
            seq,
            kind,
            chat: chat.to_string(),
            tokens: u32::try_from(tokens).unwrap_or(u32::MAX),
        };
        self.events.push_back((Instant::now(), event));
    }

    /// Returns the events after the sequence number that are older than the lag.
    pub(super) fn visible_after(&self, after: u64) -> Vec<CacheEvent> {
        self.events
            .iter()
            .filter(|(at, event)| event.seq > after && at.elapsed() >= self.lag)
            .map(|(_, event)| event.clone())
            .collect()
    }
}
