//! An engine's prefix cache: one entry per chat, LRU eviction above a limit of tokens.

use std::collections::HashMap;

use celeryknot_core::ChatKey;

use crate::text::Token;

#[derive(Debug)]
struct Entry {
    tokens: Vec<Token>,
    last_used: u64,
}

#[derive(Debug)]
pub(super) struct PrefixCache {
    tokens_max: usize,
    tokens_used: usize,
    clock: u64,
    entries: HashMap<ChatKey, Entry>,
}

impl PrefixCache {
    pub(super) fn new(tokens_max: usize) -> Self {
        Self {
            tokens_max,
            tokens_used: 0,
            clock: 0,
            entries: HashMap::new(),
        }
    }

    pub(super) fn tokens_used(&self) -> usize {
        self.tokens_used
    }

    /// Returns the length of the cached prefix and marks the entry as used.
    pub(super) fn cached_prefix_len(&mut self, chat: ChatKey, prompt: &[Token]) -> usize {
        self.clock += 1;
        let Some(entry) = self.entries.get_mut(&chat) else {
            return 0;
        };
        entry.last_used = self.clock;
        entry
            .tokens
            .iter()
            .zip(prompt)
            .take_while(|(cached, requested)| cached == requested)
            .count()
    }

    pub(super) fn get(&self, chat: ChatKey) -> Option<&[Token]> {
        self.entries.get(&chat).map(|entry| entry.tokens.as_slice())
    }

    /// Stores a chat's tokens and returns the chats that were evicted to free capacity.
    pub(super) fn store(&mut self, chat: ChatKey, tokens: Vec<Token>) -> Vec<ChatKey> {
        self.remove(chat);
        if tokens.len() > self.tokens_max {
            return Vec::new();
        }
        let mut evicted = Vec::new();
        while self.tokens_used + tokens.len() > self.tokens_max {
            let Some(oldest) = self.least_recently_used() else {
                break;
            };
            self.remove(oldest);
            evicted.push(oldest);
        }
        self.clock += 1;
        self.tokens_used += tokens.len();
        let last_used = self.clock;
        self.entries.insert(chat, Entry { tokens, last_used });
        evicted
    }

    pub(super) fn clear(&mut self) -> Vec<ChatKey> {
        self.tokens_used = 0;
        let mut chats: Vec<ChatKey> = self.entries.drain().map(|(chat, _)| chat).collect();
        chats.sort_unstable();
        chats
    }

    fn remove(&mut self, chat: ChatKey) {
        if let Some(entry) = self.entries.remove(&chat) {
            self.tokens_used -= entry.tokens.len();
        }
    }

    fn least_recently_used(&self) -> Option<ChatKey> {
        self.entries
            .iter()
            .min_by_key(|(_, entry)| entry.last_used)
            .map(|(chat, _)| *chat)
    }
}
