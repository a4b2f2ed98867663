//! Which endpoints this daemon has sent a prompt's shared parts to, and when.

use std::collections::HashMap;

use celeryknot_core::{DurationMs, EndpointName, MonotonicMs};
use smallvec::SmallVec;

/// Prompts that are remembered; the oldest are forgotten beyond that.
const KEYS_MAX: usize = 8_192;

#[derive(Debug, Clone)]
struct Holder {
    endpoint: EndpointName,
    sent_at: MonotonicMs,
}

/// The latest holders of each prompt, as this daemon knows them from its own sends.
#[derive(Debug, Clone, Default)]
pub struct HolderMemory {
    holders: HashMap<u64, SmallVec<[Holder; 3]>>,
}

impl HolderMemory {
    /// Notes that a prompt was sent to an endpoint.
    pub fn note(&mut self, now: MonotonicMs, shared_key: u64, endpoint: &EndpointName) {
        if self.holders.len() >= KEYS_MAX && !self.holders.contains_key(&shared_key) {
            self.forget_older_half();
        }
        let holders = self.holders.entry(shared_key).or_default();
        holders.retain(|holder| holder.endpoint != *endpoint);
        holders.push(Holder {
            endpoint: endpoint.clone(),
            sent_at: now,
        });
    }

    /// Tells whether a prompt was sent to an endpoint within a time.
    pub fn has_sent(
        &self,
        now: MonotonicMs,
        shared_key: u64,
        endpoint: &EndpointName,
        age_max: DurationMs,
    ) -> bool {
        let holders = self.holders.get(&shared_key);
        holders
            .into_iter()
            .flatten()
            .any(|holder| holder.endpoint == *endpoint && now - holder.sent_at <= age_max)
    }

    /// Returns the other endpoints that a prompt was sent to within a time, the latest first.
    pub fn others<'a>(
        &'a self,
        now: MonotonicMs,
        shared_key: u64,
        endpoint: &'a EndpointName,
        age_max: DurationMs,
    ) -> impl Iterator<Item = &'a EndpointName> {
        let holders = self.holders.get(&shared_key);
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
