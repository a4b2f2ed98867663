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

/// What a daemon may send again in a window.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBounds {
    /// Further sends for each request.
    pub ratio: f64,
    /// The window over which sends are counted.
    pub window_ms: DurationMs,
    /// Further sends besides.
    pub allowance: f64,
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
/// use celeryknot_policy::direct::{RetryBounds, RetryShare};
///
/// let mut share = RetryShare::new(RetryBounds {
///     ratio: 0.2,
///     window_ms: DurationMs(10_000),
///     allowance: 4.0,
/// });
/// let now = MonotonicMs(0);
/// (0..10).for_each(|_| share.observe_fresh(now));
/// assert_eq!((0..10).filter(|_| share.try_take(now)).count(), 6);
/// ```
#[derive(Debug, Clone)]
pub struct RetryShare {
    bounds: RetryBounds,
    slots: VecDeque<Slot>,
}

impl RetryShare {
    /// Starts with an empty window.
    pub fn new(bounds: RetryBounds) -> Self {
        Self {
            bounds,
            slots: VecDeque::new(),
        }
    }

    /// Replaces the bounds; a window of another length starts with what was sent in this one.
    pub fn set_bounds(&mut self, bounds: RetryBounds) {
        if bounds.window_ms != self.bounds.window_ms {
            let (before, after) = (self.slot_ms(), slot_ms(bounds.window_ms));
            for slot in &mut self.slots {
                slot.number = slot.number * before / after;
            }
        }
        self.bounds = bounds;
    }

    fn slot_ms(&self) -> u64 {
        slot_ms(self.bounds.window_ms)
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
        let allowed = f64::from(fresh) * self.bounds.ratio + self.bounds.allowance;
        if f64::from(further) + 1.0 > allowed {
            return false;
        }
        self.slot_mut(now).further += 1;
        true
    }

    fn slot_mut(&mut self, now: MonotonicMs) -> &mut Slot {
        let number = now.0 / self.slot_ms();
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

fn slot_ms(window_ms: DurationMs) -> u64 {
    window_ms.0.div_ceil(SLOTS_PER_WINDOW).max(1)
}
