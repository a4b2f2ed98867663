//! One daemon's share of the fleet's budget for sends beyond the first of each request.

use std::collections::VecDeque;

use celeryknot_core::{DurationMs, MonotonicMs};

/// Parts that a window is counted in.
const SLOTS_PER_WINDOW: u64 = 20;

#[derive(Debug, Clone, Copy)]
struct Slot {
    number: u64,
    fresh: u32,
    further: u32,
}

/// Allows further sends as a ratio of the daemon's own requests, and its share of an allowance.
///
/// The sum over all daemons stays within the fleet's budget in every window, in touch or not,
/// as long as no more daemons run than the allowance was divided by.
///
/// # Examples
///
/// ```
/// use celeryknot_core::{DurationMs, MonotonicMs};
/// use celeryknot_policy::direct::RetryShare;
///
/// let mut share = RetryShare::new(0.2, DurationMs(10_000), 4.0);
/// let now = MonotonicMs(0);
/// (0..10).for_each(|_| share.observe_fresh(now));
/// assert_eq!((0..10).filter(|_| share.try_take(now)).count(), 6);
/// ```
#[derive(Debug, Clone)]
pub struct RetryShare {
    ratio: f64,
    slot_ms: u64,
    allowance: f64,
    slots: VecDeque<Slot>,
}

impl RetryShare {
    /// Allows `ratio` further sends for each request in a window, and `allowance` besides.
    pub fn new(ratio: f64, window: DurationMs, allowance: f64) -> Self {
        Self {
            ratio,
            slot_ms: window.0.div_ceil(SLOTS_PER_WINDOW).max(1),
            allowance,
            slots: VecDeque::new(),
        }
    }

    /// Replaces the allowance, when the number of daemons is seen to change.
    pub fn set_allowance(&mut self, allowance: f64) {
        self.allowance = allowance;
    }

    /// Counts a request that is to be sent for the first time.
    pub fn observe_fresh(&mut self, now: MonotonicMs) {
        self.slot_mut(now).fresh += 1;
    }

    /// Takes one further send, if one is left.
    pub fn try_take(&mut self, now: MonotonicMs) -> bool {
        self.slot_mut(now);
        let fresh: u32 = self.slots.iter().map(|slot| slot.fresh).sum();
        let further: u32 = self.slots.iter().map(|slot| slot.further).sum();
        let allowed = f64::from(fresh) * self.ratio + self.allowance;
        if f64::from(further) + 1.0 > allowed {
            return false;
        }
        self.slot_mut(now).further += 1;
        true
    }

    fn slot_mut(&mut self, now: MonotonicMs) -> &mut Slot {
        let number = now.0 / self.slot_ms;
        // One slot more than a window, so that a window of any start is covered whole.
        while let Some(first) = self.slots.front()
            && first.number + SLOTS_PER_WINDOW < number
        {
            self.slots.pop_front();
        }
        if self.slots.back().is_none_or(|last| last.number != number) {
            self.slots.push_back(Slot {
                number,
                fresh: 0,
                further: 0,
            });
        }
        self.slots.back_mut().expect("a slot was just pushed")
    }
}
