//! Endpoints that each prompt's shared parts were sent to, by this daemon or a peer.

use std::collections::HashMap;

use celeryknot_core::{DurationMs, EndpointName, MonotonicMs, PromptTag};
use smallvec::SmallVec;

/// Maximum number of prompts in the table; when it is full, the older half is evicted.
const PROMPTS_MAX: usize = 8_192;

/// Maximum number of holders kept per prompt; a copy is fetched from one that still serves.
const HOLDERS_PER_PROMPT_MAX: usize = 6;

/// Minimum time between two announcements to peers that an endpoint holds a prompt.
///
/// Half of the holder TTL, so that a prompt in use never expires.
const ANNOUNCE_INTERVAL: DurationMs = DurationMs(15_000);

#[derive(Debug, Clone)]
struct Holder {
    endpoint: EndpointName,
    sent_at: MonotonicMs,
    /// Time of the last announcement, by this daemon or a peer.
    announced_at: Option<MonotonicMs>,
}

/// Most recent holders of each prompt.
///
/// # Examples
///
/// ```
/// use celeryknot_core::{DurationMs, MonotonicMs, PromptTag};
/// use celeryknot_policy::direct::PromptHolders;
///
/// let mut holders = PromptHolders::default();
/// let (prompt, engine) = (PromptTag(7), "engine-1".parse()?);
/// assert!(holders.record_sent(MonotonicMs(1_000), prompt, &engine), "announce to peers");
/// assert!(holders.was_sent(MonotonicMs(2_000), prompt, &engine, DurationMs(5_000)));
/// assert!(!holders.was_sent(MonotonicMs(9_000), prompt, &engine, DurationMs(5_000)));
/// # Ok::<(), celeryknot_core::IdError>(())
/// ```
#[derive(Debug, Clone, Default)]
pub struct PromptHolders {
    holders: HashMap<PromptTag, SmallVec<[Holder; 3]>>,
}

impl PromptHolders {
    /// Records that this daemon sends a prompt to an endpoint; returns whether to announce it.
    pub fn record_sent(
        &mut self,
        now: MonotonicMs,
        prompt: PromptTag,
        endpoint: &EndpointName,
    ) -> bool {
        let holder = self.record(now, prompt, endpoint);
        let is_announcement_due = holder
            .announced_at
            .is_none_or(|announced_at| now - announced_at >= ANNOUNCE_INTERVAL);
        if is_announcement_due {
            holder.announced_at = Some(now);
        }
        is_announcement_due
    }

    /// Records that a peer sent a prompt to an endpoint.
    pub fn record_reported(&mut self, at: MonotonicMs, prompt: PromptTag, endpoint: &EndpointName) {
        let holder = self.record(at, prompt, endpoint);
        holder.announced_at = holder.announced_at.max(Some(at));
    }

    fn record(
        &mut self,
        sent_at: MonotonicMs,
        prompt: PromptTag,
        endpoint: &EndpointName,
    ) -> &mut Holder {
        if self.holders.len() >= PROMPTS_MAX && !self.holders.contains_key(&prompt) {
            self.evict_older_half();
        }
        let holders = self.holders.entry(prompt).or_default();
        let existing = holders.iter().position(|it| it.endpoint == *endpoint);
        let mut holder = match existing {
            Some(index) => holders.remove(index),
            None => Holder {
                endpoint: endpoint.clone(),
                sent_at,
                announced_at: None,
            },
        };
        holder.sent_at = holder.sent_at.max(sent_at);
        if holders.len() == HOLDERS_PER_PROMPT_MAX {
            holders.remove(0);
        }
        let index = holders.partition_point(|it| it.sent_at <= holder.sent_at);
        holders.insert(index, holder);
        &mut holders[index]
    }

    /// Returns whether a prompt was sent to an endpoint at most `age_max` ago.
    pub fn was_sent(
        &self,
        now: MonotonicMs,
        prompt: PromptTag,
        endpoint: &EndpointName,
        age_max: DurationMs,
    ) -> bool {
        let holders = self.holders.get(&prompt);
        holders
            .into_iter()
            .flatten()
            .any(|holder| holder.endpoint == *endpoint && now - holder.sent_at <= age_max)
    }

    /// Returns the other endpoints that a prompt was sent to at most `age_max` ago, latest first.
    pub fn other_holders<'a>(
        &'a self,
        now: MonotonicMs,
        prompt: PromptTag,
        endpoint: &'a EndpointName,
        age_max: DurationMs,
    ) -> impl Iterator<Item = &'a EndpointName> {
        let holders = self.holders.get(&prompt);
        holders
            .into_iter()
            .flat_map(|holders| holders.iter().rev())
            .filter(move |holder| holder.endpoint != *endpoint && now - holder.sent_at <= age_max)
            .map(|holder| &holder.endpoint)
    }

    fn evict_older_half(&mut self) {
        let latest = |holders: &SmallVec<[Holder; 3]>| {
            let sent_at = holders.iter().map(|holder| holder.sent_at);
            sent_at.max().unwrap_or_default()
        };
        let mut times: Vec<MonotonicMs> = self.holders.values().map(latest).collect();
        times.sort_unstable();
        let Some(median) = times.get(times.len() / 2).copied() else {
            return;
        };
        self.holders.retain(|_, holders| latest(holders) > median);
    }
}
