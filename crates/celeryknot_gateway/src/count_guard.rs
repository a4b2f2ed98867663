//! Counters of open resources, shared between threads.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// Counts one open resource until it is dropped.
#[derive(Debug)]
pub struct CountGuard(Arc<AtomicU64>);

impl CountGuard {
    /// Increments the counter.
    pub fn new(counter: &Arc<AtomicU64>) -> Self {
        counter.fetch_add(1, Ordering::AcqRel);
        Self(Arc::clone(counter))
    }

    /// Increments the counter unless `max` resources are open already.
    pub fn try_new(counter: &Arc<AtomicU64>, max: u64) -> Option<Self> {
        let count_guard = Self::new(counter);
        (counter.load(Ordering::Acquire) <= max).then_some(count_guard)
    }
}

impl Drop for CountGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}
