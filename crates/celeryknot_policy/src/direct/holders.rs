//! Which endpoints a prompt's shared parts were sent to, by this daemon or another one, and when.

use std::collections::HashMap;

use celeryknot_core::{DurationMs, EndpointName, MonotonicMs, PromptTag};
use smallvec::SmallVec;

/// Prompts that are remembered; the oldest are forgotten beyond that.
const PROMPTS_MAX: usize = 8_192;

/// Endpoints that are remembered of one prompt; a copy needs one that is still there.
const HOLDERS_MAX: usize = 6;

/// Time after which daemons are told once more that an endpoint holds a prompt.
///
/// Half of the time for which placement believes it, so that one that is in use is never forgotten.
const TELL_AGAIN_AFTER: DurationMs = DurationMs(15_000);

#[derive(Debug, Clone)]
struct Holder {
    endpoint: EndpointName,
    sent_at: MonotonicMs,
    /// When all daemons were told last.
    told_at: Option<MonotonicMs>,
}

/// The latest holders of each prompt.
///
/// # Examples
///
/// ```
/// use celeryknot_core::{DurationMs, MonotonicMs, PromptTag};
/// use celeryknot_policy::direct::HolderMemory;
///
/// let mut memory = HolderMemory::default();
/// let (prompt, engine) = (PromptTag(7), "engine-1".parse()?);
/// assert!(memory.note_sent(MonotonicMs(1_000), prompt, &engine), "others are to be told");
/// assert!(memory.has_sent(MonotonicMs(2_000), prompt, &engine, DurationMs(5_000)));
/// assert!(!memory.has_sent(MonotonicMs(9_000), prompt, &engine, DurationMs(5_000)));
/// # Ok::<(), celeryknot_core::IdError>(())
/// ```
#[derive(Debug, Clone, Default)]
pub struct HolderMemory {
    holders: HashMap<PromptTag, SmallVec<[Holder; 3]>>,
}

impl HolderMemory {
    /// Notes that this daemon sends a prompt to an endpoint; tells whether others are to be told.
    pub fn note_sent(
        &mut self,
        now: MonotonicMs,
        prompt: PromptTag,
        endpoint: &EndpointName,
    ) -> bool {
        let holder = self.note(now, prompt, endpoint);
        let is_news = holder
            .told_at
            .is_none_or(|told_at| now - told_at >= TELL_AGAIN_AFTER);
        if is_news {
            holder.told_at = Some(now);
        }
        is_news
    }

    /// Notes that another daemon has sent a prompt to an endpoint.
    pub fn note_told(&mut self, at: MonotonicMs, prompt: PromptTag, endpoint: &EndpointName) {
        let holder = self.note(at, prompt, endpoint);
        holder.told_at = holder.told_at.max(Some(at));
    }

    fn note(
        &mut self,
        sent_at: MonotonicMs,
        prompt: PromptTag,
        endpoint: &EndpointName,
    ) -> &mut Holder {
        if self.holders.len() >= PROMPTS_MAX && !self.holders.contains_key(&prompt) {
            self.forget_older_half();
        }
        let holders = self.holders.entry(prompt).or_default();
        let known = holders.iter().position(|it| it.endpoint == *endpoint);
        let mut holder = match known {
            Some(at) => holders.remove(at),
            None => Holder {
                endpoint: endpoint.clone(),
                sent_at,
                told_at: None,
            },
        };
        holder.sent_at = holder.sent_at.max(sent_at);
        if holders.len() == HOLDERS_MAX {
            holders.remove(0);
        }
        let place = holders.partition_point(|it| it.sent_at <= holder.sent_at);
        holders.insert(place, holder);
        &mut holders[place]
    }

    /// Tells whether a prompt was sent to an endpoint within a time.
    pub fn has_sent(
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

    /// Returns the other endpoints that a prompt was sent to within a time, the latest first.
    pub fn others<'a>(
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

    fn forget_older_half(&mut self) {
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
