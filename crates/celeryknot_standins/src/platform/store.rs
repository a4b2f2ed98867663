//! State that the replicas of the platform share: values, instances, call counts and rate limit.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};

use celeryknot_core::Revision;
use celeryknot_platform::{Instance, InstanceList, Value, ValueList};

use crate::wire::PlatformCalls;

/// The contents of the store, of which a stale replica keeps a copy.
#[derive(Debug, Clone, Default)]
pub(super) struct Contents {
    revision: Revision,
    values: BTreeMap<String, (Revision, Option<String>)>,
    instance_lists: Vec<(Instant, InstanceList)>,
}

impl Contents {
    pub(super) fn values_after(&self, after: Option<Revision>) -> ValueList {
        let values = self
            .values
            .iter()
            .filter(|(_, (revision, _))| after.is_none_or(|after| *revision > after))
            .map(|(path, (revision, text))| Value {
                path: path.clone(),
                revision: *revision,
                text: text.clone(),
            })
            .collect();
        ValueList {
            revision: self.revision,
            values,
        }
    }

    /// Returns the newest list that is at least as old as the lag.
    pub(super) fn instances(&self, lag: Duration) -> InstanceList {
        self.instance_lists
            .iter()
            .rev()
            .find(|(at, _)| at.elapsed() >= lag)
            .map_or_else(InstanceList::default, |(_, list)| list.clone())
    }
}

/// Burst of the rate limit, in seconds' worth of calls.
const BURST_S: f64 = 0.25;
/// Limits the instance lists kept for replicas that serve them with a delay.
const INSTANCE_LISTS_MAX: usize = 64;

#[derive(Debug)]
pub(super) struct Store {
    pub(super) contents: Contents,
    pub(super) calls: PlatformCalls,
    calls_per_s: f64,
    tokens: f64,
    refilled_at: Instant,
    watchers: Vec<Sender<()>>,
}

impl Store {
    pub(super) fn new(calls_per_s: f64) -> Self {
        Self {
            contents: Contents::default(),
            calls: PlatformCalls::default(),
            calls_per_s,
            tokens: calls_per_s * BURST_S,
            refilled_at: Instant::now(),
            watchers: Vec::new(),
        }
    }

    pub(super) fn put_value(&mut self, path: &str, text: Option<String>) {
        self.contents.revision.0 += 1;
        let entry = (self.contents.revision, text);
        self.contents.values.insert(path.to_owned(), entry);
        self.watchers.clear();
    }

    pub(super) fn put_instances(&mut self, instances: Vec<Instance>) {
        let revision = self
            .contents
            .instance_lists
            .last()
            .map_or(0, |(_, list)| list.revision.0)
            + 1;
        let list = InstanceList {
            revision: Revision(revision),
            instances,
        };
        self.contents.instance_lists.push((Instant::now(), list));
        if self.contents.instance_lists.len() > INSTANCE_LISTS_MAX {
            self.contents.instance_lists.remove(0);
        }
        self.watchers.clear();
    }

    /// Returns a channel that the next change closes.
    pub(super) fn watch(&mut self) -> Receiver<()> {
        let (sender, receiver) = async_channel::bounded(1);
        self.watchers.retain(|watcher| !watcher.is_closed());
        self.watchers.push(sender);
        receiver
    }

    /// Wakes all watchers.
    pub(super) fn wake_watchers(&mut self) {
        self.watchers.clear();
    }

    /// Counts a call and returns whether the rate limit admits it.
    pub(super) fn admit_call(&mut self) -> bool {
        let now = Instant::now();
        let elapsed_s = now.duration_since(self.refilled_at).as_secs_f64();
        self.refilled_at = now;
        self.tokens = (self.tokens + elapsed_s * self.calls_per_s).min(self.calls_per_s * BURST_S);
        self.calls.calls += 1;
        if self.tokens < 1.0 {
            self.calls.refused += 1;
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
