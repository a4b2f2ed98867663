//! The time after which the caller of a refused request is to send it again.

use std::collections::VecDeque;

use celeryknot_core::{DurationMs, MonotonicMs};

/// Length of a slot in which requests are counted.
const SLOT: DurationMs = DurationMs(100);

/// Longest window of the counts.
const WINDOW_MAX: DurationMs = DurationMs(8_000);

/// Shortest window of the counts; it doubles up to the longest one.
const WINDOW_MIN: DurationMs = DurationMs(1_000);

/// Finished requests from which on a window is long enough.
///
/// A daemon with a small share of the requests sees one or two in a second, from which no rate can be
/// derived.
const FINISHED_ENOUGH: u32 = 8;

/// Finished requests below which the longest window gives no estimate.
const FINISHED_MIN: u32 = 2;

/// Bounds of the delay before it is spread; spread, it stays within 50 ms and 3 s.
const EXPECTED_MIN: DurationMs = DurationMs(100);
const EXPECTED_MAX: DurationMs = DurationMs(2_000);

/// Fraction of the delay by which it is spread in both directions.
const JITTER: f64 = 0.5;

const MS_PER_S: f64 = 1_000.0;

#[derive(Debug, Clone, Copy)]
struct Slot {
    number: u64,
    refused: u32,
    finished: u32,
}

/// One daemon's counts of a service's refused and finished requests.
///
/// The delay is the time in which as many requests finish as want to be served: those that were
/// refused within a second, which may come back, and those that wait. It is spread at random, as
/// callers that are refused together would otherwise come back together.
///
/// # Examples
///
/// ```
/// use celeryknot_core::{DurationMs, MonotonicMs};
/// use celeryknot_policy::direct::RetryDelay;
///
/// let mut delay = RetryDelay::default();
/// let now = MonotonicMs(500);
/// assert_eq!(delay.estimate(now, 0), None);
/// (0..30).for_each(|_| delay.observe_finished(now));
/// (0..15).for_each(|_| delay.observe_refused(now));
/// let estimate = delay.estimate(now, 0).unwrap();
/// assert_eq!(estimate.expected_ms, DurationMs(500));
/// assert_eq!(estimate.spread(0.0), DurationMs(250));
/// ```
#[derive(Debug, Clone, Default)]
pub struct RetryDelay {
    /// In the order of time; none is empty.
    slots: VecDeque<Slot>,
}

/// What a retry delay is derived from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RetryEstimate {
    /// Window of the counts.
    pub window_ms: DurationMs,
    /// Requests that were refused in the window.
    pub refused: u32,
    /// Requests that finished in the window.
    pub finished: u32,
    /// Expected time until there is room, within bounds.
    pub expected_ms: DurationMs,
}

impl RetryEstimate {
    /// Returns the delay for one caller, given a random number from 0 to 1.
    ///
    /// # Examples
    ///
    /// ```
    /// use celeryknot_core::DurationMs;
    /// use celeryknot_policy::direct::retry_delay::RetryEstimate;
    ///
    /// let estimate = RetryEstimate {
    ///     window_ms: DurationMs(1_000),
    ///     refused: 40,
    ///     finished: 50,
    ///     expected_ms: DurationMs(800),
    /// };
    /// assert_eq!(estimate.spread(0.0), DurationMs(400));
    /// assert_eq!(estimate.spread(1.0), DurationMs(1_200));
    /// ```
    pub fn spread(&self, draw: f64) -> DurationMs {
        let factor = 1.0 - JITTER + 2.0 * JITTER * draw.clamp(0.0, 1.0);
        DurationMs((self.expected_ms.0 as f64 * factor).round() as u64)
    }
}

impl RetryDelay {
    /// Counts a request that was refused because there was no room for it.
    pub fn observe_refused(&mut self, now: MonotonicMs) {
        self.slot(now).refused += 1;
    }

    /// Counts a request that an endpoint answered, which makes room for another one.
    pub fn observe_finished(&mut self, now: MonotonicMs) {
        self.slot(now).finished += 1;
    }

    /// Estimates the time until there is room, with `waiting` requests in the daemon; `None` if too
    /// few requests finished to tell.
    ///
    /// The counts are those of the last second, or of a longer time if few requests finished in it.
    ///
    /// # Examples
    ///
    /// ```
    /// use celeryknot_core::{DurationMs, MonotonicMs};
    /// use celeryknot_policy::direct::RetryDelay;
    ///
    /// let mut delay = RetryDelay::default();
    /// (0..10).for_each(|_| delay.observe_finished(MonotonicMs(0)));
    /// let estimate = delay.estimate(MonotonicMs(0), 4).unwrap();
    /// assert_eq!(estimate.expected_ms, DurationMs(400));
    /// assert_eq!(delay.estimate(MonotonicMs(9_000), 4), None);
    /// ```
    pub fn estimate(&self, now: MonotonicMs, waiting: u32) -> Option<RetryEstimate> {
        let mut window_ms = WINDOW_MIN;
        let (refused, finished) = loop {
            let (refused, finished) = self.count(now, window_ms);
            if finished >= FINISHED_ENOUGH || window_ms >= WINDOW_MAX {
                break (refused, finished);
            }
            window_ms = DurationMs(window_ms.0 * 2);
        };
        if finished < FINISHED_MIN {
            return None;
        }
        let per_s = |count: u32| f64::from(count) * MS_PER_S / window_ms.0 as f64;
        let wanting = per_s(refused) + f64::from(waiting);
        let expected_ms = DurationMs((wanting / per_s(finished) * MS_PER_S).round() as u64);
        Some(RetryEstimate {
            window_ms,
            refused,
            finished,
            expected_ms: expected_ms.clamp(EXPECTED_MIN, EXPECTED_MAX),
        })
    }

    fn count(&self, now: MonotonicMs, window_ms: DurationMs) -> (u32, u32) {
        let from = (now.0 / SLOT.0 + 1).saturating_sub(window_ms.0 / SLOT.0);
        let recent = self.slots.iter().rev().take_while(|it| it.number >= from);
        recent.fold((0, 0), |(refused, finished), it| {
            (refused + it.refused, finished + it.finished)
        })
    }

    fn slot(&mut self, now: MonotonicMs) -> &mut Slot {
        let number = now.0 / SLOT.0;
        let oldest = (number + 1).saturating_sub(WINDOW_MAX.0 / SLOT.0);
        while self.slots.front().is_some_and(|it| it.number < oldest) {
            self.slots.pop_front();
        }
        if self.slots.back().is_none_or(|it| it.number < number) {
            self.slots.push_back(Slot {
                number,
                refused: 0,
                finished: 0,
            });
        }
        self.slots.back_mut().expect("the slot was just added")
    }
}
