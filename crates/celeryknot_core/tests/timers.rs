//! Timeouts under a manually advanced clock.

use std::collections::BTreeSet;
use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::task::{Context, Wake, Waker};

use celeryknot_core::timers::TIMER_RESOLUTION;
use celeryknot_core::{DurationMs, MonotonicMs, Timers};
use proptest::prelude::*;

#[derive(Default)]
struct WakeCount(AtomicU32);

impl Wake for WakeCount {
    fn wake(self: Arc<Self>) {
        self.0.fetch_add(1, Ordering::SeqCst);
    }
}

proptest! {
    #[test]
    fn each_timeout_fires_once_and_never_early(
        durations in proptest::collection::vec(0..200u64, 1..20),
        steps in proptest::collection::vec(1..30u64, 1..40),
        dropped in proptest::collection::vec(0..20usize, 0..5),
    ) {
        let dropped: BTreeSet<usize> = dropped.into_iter().collect();
        let timers = Timers::default();
        let wake_counts: Vec<_> = durations.iter().map(|_| Arc::new(WakeCount::default())).collect();
        let mut sleeps = Vec::new();
        for (index, ms) in durations.iter().enumerate() {
            let waker = Waker::from(Arc::clone(&wake_counts[index]));
            let mut sleep = Box::pin(timers.after(DurationMs(*ms)));
            // A second poll must not register a second wake-up.
            for _ in 0..2 {
                let poll = Pin::new(&mut sleep).poll(&mut Context::from_waker(&waker));
                prop_assert!(poll.is_pending());
            }
            if !dropped.contains(&index) {
                sleeps.push(sleep);
            }
        }
        let mut now = 0;
        for step in steps {
            now += step;
            timers.advance(MonotonicMs(now));
            for (index, ms) in durations.iter().enumerate() {
                let is_due = ms + TIMER_RESOLUTION.0 <= now && !dropped.contains(&index);
                let count = wake_counts[index].0.load(Ordering::SeqCst);
                prop_assert_eq!(count, u32::from(is_due), "timeout {}", index);
            }
        }
    }
}
