//! The budget that limits retries and hedged requests to a share of first attempts.

use celeryknot_core::{DurationMs, MonotonicMs};

/// Length of one slot of the sliding window.
const SLOT_MS: u64 = 1_000;
/// Number of slots of the sliding window.
const SLOTS: usize = 10;
/// Retries per window that are allowed however few first attempts there are.
const RETRIES_MIN: u32 = 3;

#[derive(Debug, Clone, Copy, Default)]
struct Slot {
    number: u64,
    first_attempts: u32,
    retries: u32,
    denied: u32,
}

/// Allows retries as a share of the first attempts of the last ten seconds.
///
/// While a service is down, every request fails; the budget then limits the load that retries
/// add, whatever the callers do.
///
/// # Examples
///
/// ```
/// use celeryknot_core::MonotonicMs;
/// use celeryknot_policy::retry::RetryBudget;
///
/// let mut budget = RetryBudget::new(20);
/// let now = MonotonicMs(0);
/// (0..100).for_each(|_| budget.observe_first_attempt(now));
/// let taken = (0..100).filter(|_| budget.try_take(now)).count();
/// assert_eq!(taken, 20);
/// ```
#[derive(Debug, Clone)]
pub struct RetryBudget {
    percent_max: u32,
    slots: [Slot; SLOTS],
}

impl RetryBudget {
    /// Creates a budget of `percent_max` retries per hundred first attempts.
    pub fn new(percent_max: u32) -> Self {
        Self {
            percent_max,
            slots: [Slot::default(); SLOTS],
        }
    }

    /// Sets the retries per hundred first attempts.
    pub fn set_percent_max(&mut self, percent_max: u32) {
        self.percent_max = percent_max;
    }

    /// Counts a first attempt.
    pub fn observe_first_attempt(&mut self, now: MonotonicMs) {
        let slot = self.slot_mut(now);
        slot.first_attempts = slot.first_attempts.saturating_add(1);
    }

    /// Takes one retry or hedged request from the budget, if one is left.
    pub fn try_take(&mut self, now: MonotonicMs) -> bool {
        let (first_attempts, retries) = self.totals(now);
        let allowed = u64::from(first_attempts) * u64::from(self.percent_max) / 100;
        let allowed = match self.percent_max {
            0 => 0,
            _ => allowed.max(u64::from(RETRIES_MIN)),
        };
        let slot = self.slot_mut(now);
        if u64::from(retries) >= allowed {
            slot.denied = slot.denied.saturating_add(1);
            return false;
        }
        slot.retries += 1;
        true
    }

    /// Returns the time until the current slot ends, after which a retry may be allowed again.
    pub fn retry_after_ms(&self, now: MonotonicMs) -> DurationMs {
        DurationMs(SLOT_MS - now.0 % SLOT_MS)
    }

    fn totals(&self, now: MonotonicMs) -> (u32, u32) {
        let current = now.0 / SLOT_MS;
        self.slots
            .iter()
            .filter(|slot| slot.number <= current && slot.number + SLOTS as u64 > current)
            .fold((0, 0), |(first_attempts, retries), slot| {
                (first_attempts + slot.first_attempts, retries + slot.retries)
            })
    }

    fn slot_mut(&mut self, now: MonotonicMs) -> &mut Slot {
        let number = now.0 / SLOT_MS;
        let slot = &mut self.slots[(number % SLOTS as u64) as usize];
        if slot.number != number {
            *slot = Slot {
                number,
                ..Slot::default()
            };
        }
        slot
    }
}
