//! A bounded table of the endpoints that hold each chat's context.

use celeryknot_core::{ChatKey, DurationMs, MonotonicMs};
use smallvec::SmallVec;

use super::EndpointHash;

/// Number of entries in a bucket.
const WAYS: usize = 8;
/// Maximum number of holders that a lookup returns.
pub const HOLDERS_MAX: usize = 4;

#[derive(Debug, Clone, Copy, Default)]
struct Entry {
    chat: ChatKey,
    endpoint: EndpointHash,
    tokens: u32,
    /// Time of the last change in tenths of a second; 0 marks an empty entry.
    changed_at_ds: u32,
}

/// An endpoint that holds a chat's context.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Holder {
    /// The endpoint.
    pub endpoint: EndpointHash,
    /// Tokens of the context.
    pub tokens: u32,
    /// Time since the holder was last recorded.
    pub age_ms: DurationMs,
}

/// Maps chats to holders in a fixed amount of memory.
///
/// The table is set-associative: a chat's entries share one bucket of eight, and an insertion
/// into a full bucket evicts the oldest entry. Lookups and changes take constant time regardless
/// of the number of chats, and nothing is allocated after construction.
///
/// # Examples
///
/// ```
/// use celeryknot_core::{ChatKey, MonotonicMs};
/// use celeryknot_policy::placement::{EndpointHash, HolderTable};
///
/// let mut table = HolderTable::new(1_000);
/// let engine = EndpointHash(7);
/// table.insert(MonotonicMs(0), ChatKey(1), engine, 900);
/// assert_eq!(table.holders(MonotonicMs(500), ChatKey(1))[0].tokens, 900);
/// table.remove(ChatKey(1), engine);
/// assert!(table.holders(MonotonicMs(500), ChatKey(1)).is_empty());
/// ```
#[derive(Debug, Clone)]
pub struct HolderTable {
    buckets: Vec<[Entry; WAYS]>,
}

impl HolderTable {
    /// Allocates a table for about `entries_max` holders.
    pub fn new(entries_max: usize) -> Self {
        let buckets = entries_max.div_ceil(WAYS).max(1);
        Self {
            buckets: vec![[Entry::default(); WAYS]; buckets],
        }
    }

    /// Records that an endpoint holds a chat's context.
    pub fn insert(&mut self, now: MonotonicMs, chat: ChatKey, endpoint: EndpointHash, tokens: u32) {
        let bucket = self.bucket_mut(chat);
        let existing = bucket
            .iter()
            .position(|entry| entry.is_for_chat(chat) && entry.endpoint == endpoint);
        let slot = existing.or_else(|| (0..WAYS).min_by_key(|slot| bucket[*slot].changed_at_ds));
        if let Some(slot) = slot {
            bucket[slot] = Entry {
                chat,
                endpoint,
                tokens,
                changed_at_ds: deciseconds(now),
            };
        }
    }

    /// Records that an endpoint no longer holds a chat's context.
    pub fn remove(&mut self, chat: ChatKey, endpoint: EndpointHash) {
        let bucket = self.bucket_mut(chat);
        bucket
            .iter_mut()
            .filter(|entry| entry.is_for_chat(chat) && entry.endpoint == endpoint)
            .for_each(|entry| *entry = Entry::default());
    }

    /// Removes all entries of an endpoint, for example after its restart.
    pub fn remove_endpoint(&mut self, endpoint: EndpointHash) {
        self.buckets
            .iter_mut()
            .flatten()
            .filter(|entry| entry.endpoint == endpoint)
            .for_each(|entry| *entry = Entry::default());
    }

    /// Returns the holders of a chat's context, most recent first.
    pub fn holders(&self, now: MonotonicMs, chat: ChatKey) -> SmallVec<[Holder; HOLDERS_MAX]> {
        let now_ds = deciseconds(now);
        let mut entries: SmallVec<[&Entry; WAYS]> = self.buckets[self.index(chat)]
            .iter()
            .filter(|entry| entry.is_for_chat(chat))
            .collect();
        entries.sort_by_key(|entry| std::cmp::Reverse(entry.changed_at_ds));
        entries
            .into_iter()
            .take(HOLDERS_MAX)
            .map(|entry| Holder {
                endpoint: entry.endpoint,
                tokens: entry.tokens,
                age_ms: DurationMs(u64::from(now_ds.saturating_sub(entry.changed_at_ds)) * 100),
            })
            .collect()
    }

    /// Returns the table's memory size in bytes.
    pub fn size_bytes(&self) -> usize {
        self.buckets.len() * size_of::<[Entry; WAYS]>()
    }

    fn index(&self, chat: ChatKey) -> usize {
        // The key is a hash already; its high bits select the bucket.
        ((u128::from(chat.0) * self.buckets.len() as u128) >> 64) as usize
    }

    fn bucket_mut(&mut self, chat: ChatKey) -> &mut [Entry; WAYS] {
        let index = self.index(chat);
        &mut self.buckets[index]
    }
}

impl Entry {
    fn is_for_chat(&self, chat: ChatKey) -> bool {
        self.changed_at_ds != 0 && self.chat == chat
    }
}

fn deciseconds(now: MonotonicMs) -> u32 {
    u32::try_from(now.0 / 100 + 1).unwrap_or(u32::MAX)
}
