//! One daemon's share of the fleet's retry budget.

use std::collections::VecDeque;

use celeryknot_core::{DurationMs, MonotonicMs};

/// Number of slots into which a window is divided for counting.
const SLOTS_PER_WINDOW: u64 = 20;

#[derive(Debug, Clone, Copy)]
struct Slot {
    number: u64,
    first_attempts: u32,
    retries: u32,
}

/// Limits on the retries of one daemon within a window.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBounds {
    /// Retries per request.
    pub ratio: f64,
    /// Window over which attempts are counted.
    pub window_ms: DurationMs,
    /// Retries allowed in addition to the ratio.
    pub allowance: f64,
}

/// Retry budget: a ratio of the daemon's own requests plus its share of a fleet-wide allowance.
///
/// Over every window, the daemons together stay within the fleet's budget, even when partitioned,
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
/// (0..10).for_each(|_| share.observe_first_attempt(now));
/// assert_eq!((0..10).filter(|_| share.try_take(now)).count(), 6);
/// ```
#[derive(Debug, Clone)]
pub struct RetryShare {
    bounds: RetryBounds,
    /// When the allowance may be spent; the ratio is the daemon's from its start.
    allowance_from: MonotonicMs,
    slots: VecDeque<Slot>,
}

impl RetryShare {
    /// Creates a budget with an empty window.
    pub fn new(bounds: RetryBounds) -> Self {
        Self {
            bounds,
            allowance_from: MonotonicMs(0),
            slots: VecDeque::new(),
        }
    }

    /// Withholds the allowance until a time, as an earlier process of the daemon may have spent it.
    ///
    /// # Examples
    ///
    /// ```
    /// use celeryknot_core::{DurationMs, MonotonicMs};
    /// use celeryknot_policy::direct::{RetryBounds, RetryShare};
    ///
    /// let bounds = RetryBounds { ratio: 0.2, window_ms: DurationMs(10_000), allowance: 4.0 };
    /// let mut share = RetryShare::new(bounds).with_allowance_from(MonotonicMs(10_000));
    /// assert!(!share.has_retry(MonotonicMs(9_999)));
    /// assert!(share.has_retry(MonotonicMs(10_000)));
    /// ```
    #[must_use]
    pub fn with_allowance_from(mut self, allowance_from: MonotonicMs) -> Self {
        self.allowance_from = allowance_from;
        self
    }

    /// Replaces the bounds; a window of another length keeps the attempts counted so far.
    pub fn set_bounds(&mut self, bounds: RetryBounds) {
        if bounds.window_ms != self.bounds.window_ms {
            let (old_slot_ms, new_slot_ms) = (self.slot_ms(), slot_ms(bounds.window_ms));
            for slot in &mut self.slots {
                slot.number = slot.number * old_slot_ms / new_slot_ms;
            }
        }
        self.bounds = bounds;
    }

    fn slot_ms(&self) -> u64 {
        slot_ms(self.bounds.window_ms)
    }

    /// Counts the first attempt of a request.
    pub fn observe_first_attempt(&mut self, now: MonotonicMs) {
        self.slot_mut(now).first_attempts += 1;
    }

    /// Returns whether a retry is left in the budget, without taking it.
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
    ///     allowance: 1.0,
    /// });
    /// let now = MonotonicMs(0);
    /// assert!(share.has_retry(now));
    /// assert!(share.try_take(now));
    /// assert!(!share.has_retry(now));
    /// ```
    pub fn has_retry(&mut self, now: MonotonicMs) -> bool {
        self.slot_mut(now);
        let first_attempts: u32 = self.slots.iter().map(|slot| slot.first_attempts).sum();
        let retries: u32 = self.slots.iter().map(|slot| slot.retries).sum();
        let allowance = match now >= self.allowance_from {
            true => self.bounds.allowance,
            false => 0.0,
        };
        let allowed = f64::from(first_attempts) * self.bounds.ratio + allowance;
        f64::from(retries) + 1.0 <= allowed
    }

    /// Takes one retry from the budget, if one is left.
    pub fn try_take(&mut self, now: MonotonicMs) -> bool {
        let has_retry = self.has_retry(now);
        self.slot_mut(now).retries += u32::from(has_retry);
        has_retry
    }

    fn slot_mut(&mut self, now: MonotonicMs) -> &mut Slot {
        let number = now.0 / self.slot_ms();
        // Keep one slot more than a window, to cover windows that start within a slot.
        while let Some(first) = self.slots.front()
            && first.number + SLOTS_PER_WINDOW < number
        {
            self.slots.pop_front();
        }
        if self.slots.back().is_none_or(|last| last.number != number) {
            self.slots.push_back(Slot {
                number,
                first_attempts: 0,
                retries: 0,
            });
        }
        self.slots.back_mut().expect("a slot was just pushed")
    }
}

fn slot_ms(window_ms: DurationMs) -> u64 {
    window_ms.0.div_ceil(SLOTS_PER_WINDOW).max(1)
}
