//! The used marks of an incarnation's tickets, in two bits per ticket.

use std::collections::BTreeMap;

const COUNTERS_PER_CHUNK: u64 = 1024;
const WORDS: usize = (COUNTERS_PER_CHUNK / 64) as usize;

/// The state of one ticket, kept for the whole incarnation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UsedState {
    /// The ticket was never used, or its call is known not to have run.
    Unused,
    /// The ticket's call was run or may be running.
    Used,
    /// The ticket's call may have been run; its outcome stays unknown.
    Unknown,
    /// The ticket's state was evicted, as the ticket is older than the oldest one kept.
    Evicted,
}

#[derive(Debug, Clone)]
struct Chunk {
    used: [u64; WORDS],
    unknown: [u64; WORDS],
}

impl Default for Chunk {
    fn default() -> Self {
        Self {
            used: [0; WORDS],
            unknown: [0; WORDS],
        }
    }
}

/// The used tickets of an incarnation, by counter.
///
/// Uses 256 bytes for each 1,024 tickets of which at least one was used. Above the limit, the
/// oldest state is evicted and its tickets are refused from then on.
#[derive(Debug, Clone)]
pub struct UsedTickets {
    chunks: BTreeMap<u64, Chunk>,
    chunks_max: usize,
    oldest_kept: u64,
}

impl UsedTickets {
    /// Creates a set that keeps the state of at least `tickets_max` tickets.
    pub fn new(tickets_max: u64) -> Self {
        Self {
            chunks: BTreeMap::new(),
            chunks_max: tickets_max.div_ceil(COUNTERS_PER_CHUNK).max(1) as usize,
            oldest_kept: 0,
        }
    }

    /// Returns the state of a ticket.
    pub fn state(&self, counter: u64) -> UsedState {
        if counter < self.oldest_kept {
            return UsedState::Evicted;
        }
        let (chunk, word, bit) = position(counter);
        let Some(chunk) = self.chunks.get(&chunk) else {
            return UsedState::Unused;
        };
        if chunk.unknown[word] & bit != 0 {
            return UsedState::Unknown;
        }
        if chunk.used[word] & bit != 0 {
            return UsedState::Used;
        }
        UsedState::Unused
    }

    /// Sets the state of a ticket; returns whether that state is kept.
    pub fn set(&mut self, counter: u64, state: UsedState) -> bool {
        if counter < self.oldest_kept {
            return false;
        }
        let (index, word, bit) = position(counter);
        let chunk = self.chunks.entry(index).or_default();
        chunk.used[word] &= !bit;
        chunk.unknown[word] &= !bit;
        match state {
            UsedState::Unused | UsedState::Evicted => {}
            UsedState::Used => chunk.used[word] |= bit,
            UsedState::Unknown => chunk.unknown[word] |= bit,
        }
        self.evict_oldest();
        counter >= self.oldest_kept
    }

    fn evict_oldest(&mut self) {
        while self.chunks.len() > self.chunks_max {
            let Some((index, _)) = self.chunks.pop_first() else {
                return;
            };
            self.oldest_kept = (index + 1) * COUNTERS_PER_CHUNK;
        }
    }
}

fn position(counter: u64) -> (u64, usize, u64) {
    let within = counter % COUNTERS_PER_CHUNK;
    (
        counter / COUNTERS_PER_CHUNK,
        (within / 64) as usize,
        1 << (within % 64),
    )
}
