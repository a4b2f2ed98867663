//! How long the answers of one route may take.

use std::collections::VecDeque;

use celeryknot_core::{DurationMs, MonotonicMs, TokenCount};

/// Time for which an answer counts.
const WINDOW: DurationMs = DurationMs(30_000);

/// Length of the slots in which a window's answers are counted.
const SLOT: DurationMs = DurationMs(3_000);

/// Number of answers without which there is no upper bound.
const ANSWERS_MIN: u32 = 8;

/// Dividend of the margin, in percent of the largest observation: `MARGIN_PERCENT` over the number
/// of answers and `MARGIN_ANSWERS`.
///
/// The largest of few answers says little of the next one.
const MARGIN_PERCENT: u64 = 1_200;

/// Number of answers added to the observed ones in the divisor of the margin.
const MARGIN_ANSWERS: u64 = 16;

const US_PER_MS: u64 = 1_000;

/// The duration of one answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AnswerTime {
    /// Time from the request's arrival to the head of the answer.
    pub head_ms: DurationMs,
    /// Time from the request's arrival to the end of the answer.
    pub total_ms: DurationMs,
    /// Number of events in the answer; 0 if it isn't a stream of events.
    pub events: u32,
    /// Upper bound on the answer's size that the request declared.
    pub output_tokens_max: Option<TokenCount>,
}

impl AnswerTime {
    fn body_us(&self) -> u64 {
        let body_ms = self.total_ms.0.saturating_sub(self.head_ms.0);
        body_ms.saturating_mul(US_PER_MS)
    }

    /// Returns the mean time between two events; `None` with fewer than two.
    fn event_us(&self) -> Option<u64> {
        let gaps = self.events.checked_sub(1).filter(|gaps| *gaps > 0)?;
        Some(self.body_us().div_ceil(u64::from(gaps)))
    }
}

/// The answers of one period; each maximum is taken by itself.
#[derive(Debug, Clone, Copy, Default)]
struct Slot {
    number: u64,
    answers: u32,
    /// Answers to requests that declared an upper bound.
    bounded_answers: u32,
    total_max_ms: u64,
    head_max_ms: u64,
    /// Largest time after the head of an answer, per token of its declared bound.
    token_max_us: u64,
    /// Answers with at least two events.
    paced_answers: u32,
    paced_head_max_ms: u64,
    /// Largest mean time between two events of an answer.
    event_max_us: u64,
}

impl Slot {
    /// Returns the answers of both slots, with the number of this one.
    fn merge(self, other: &Self) -> Self {
        Self {
            number: self.number,
            answers: self.answers + other.answers,
            bounded_answers: self.bounded_answers + other.bounded_answers,
            total_max_ms: self.total_max_ms.max(other.total_max_ms),
            head_max_ms: self.head_max_ms.max(other.head_max_ms),
            token_max_us: self.token_max_us.max(other.token_max_us),
            paced_answers: self.paced_answers + other.paced_answers,
            paced_head_max_ms: self.paced_head_max_ms.max(other.paced_head_max_ms),
            event_max_us: self.event_max_us.max(other.event_max_us),
        }
    }
}

/// The longest answer that the recent answers of a route let expect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LongestAnswer {
    /// Number of answers that it is derived from.
    pub answers: u32,
    /// Its duration.
    pub longest_ms: DurationMs,
}

impl LongestAnswer {
    /// Returns the duration that nearly no further answer exceeds; `None` after too few answers.
    ///
    /// # Examples
    ///
    /// ```
    /// use celeryknot_core::DurationMs;
    /// use celeryknot_policy::direct::LongestAnswer;
    ///
    /// let upper_bound = |answers| {
    ///     let longest_ms = DurationMs(1_000);
    ///     LongestAnswer { answers, longest_ms }.upper_bound()
    /// };
    /// assert_eq!(upper_bound(1), None);
    /// assert!(upper_bound(100) < upper_bound(10));
    /// ```
    pub fn upper_bound(&self) -> Option<DurationMs> {
        let margin_percent = MARGIN_PERCENT / (u64::from(self.answers) + MARGIN_ANSWERS);
        let bound_ms = self.longest_ms.0.saturating_mul(100 + margin_percent) / 100;
        (self.answers >= ANSWERS_MIN).then_some(DurationMs(bound_ms))
    }
}

/// The largest durations of one route's answers in a sliding window.
///
/// # Examples
///
/// ```
/// use celeryknot_core::{DurationMs, MonotonicMs, TokenCount};
/// use celeryknot_policy::direct::{AnswerTime, AnswerTimes};
///
/// let mut times = AnswerTimes::default();
/// let now = MonotonicMs(0);
/// assert_eq!(times.longest(now, Some(TokenCount(10))), None);
/// for _ in 0..20 {
///     times.observe(now, &AnswerTime {
///         head_ms: DurationMs(50),
///         total_ms: DurationMs(150),
///         events: 11,
///         output_tokens_max: Some(TokenCount(100)),
///     });
/// }
/// let longest_ms = |tokens| times.longest(now, Some(TokenCount(tokens))).unwrap().longest_ms;
/// assert_eq!(longest_ms(10), DurationMs(60));
/// assert_eq!(longest_ms(1_000), DurationMs(1_050));
/// let allowed = times.longest_allowed(now, Some(TokenCount(100))).unwrap();
/// assert_eq!(allowed.longest_ms, DurationMs(1_050));
/// ```
#[derive(Debug, Clone, Default)]
pub struct AnswerTimes {
    slots: VecDeque<Slot>,
}

impl AnswerTimes {
    /// Counts an answer that has ended.
    pub fn observe(&mut self, now: MonotonicMs, answer: &AnswerTime) {
        let number = now.0 / SLOT.0;
        self.slots.retain(|slot| is_counted(slot, now));
        if self.slots.back().is_none_or(|last| last.number != number) {
            self.slots.push_back(Slot {
                number,
                ..Slot::default()
            });
        }
        let slot = self.slots.back_mut().expect("a slot was just pushed");
        slot.answers += 1;
        slot.total_max_ms = slot.total_max_ms.max(answer.total_ms.0);
        if let Some(tokens) = answer.output_tokens_max {
            slot.bounded_answers += 1;
            slot.head_max_ms = slot.head_max_ms.max(answer.head_ms.0);
            let token_us = answer.body_us().div_ceil(u64::from(tokens.0.max(1)));
            slot.token_max_us = slot.token_max_us.max(token_us);
        }
        if let Some(event_us) = answer.event_us() {
            slot.paced_answers += 1;
            slot.paced_head_max_ms = slot.paced_head_max_ms.max(answer.head_ms.0);
            slot.event_max_us = slot.event_max_us.max(event_us);
        }
    }

    /// Returns the longest answer that a request may get, by the pace of the recent ones; `None` if
    /// only its time limit bounds it.
    ///
    /// Earlier answers may have ended long before their declared bounds, and an event has one token
    /// or more, so that each allowed token counts as an event.
    pub fn longest_allowed(
        &self,
        now: MonotonicMs,
        output_tokens_max: Option<TokenCount>,
    ) -> Option<LongestAnswer> {
        let recent = self.recent(now);
        match output_tokens_max {
            // Nothing bounds the number of events.
            None if recent.paced_answers > 0 => None,
            None => longest_answer(recent.answers, recent.total_max_ms, 0),
            Some(tokens) => {
                let body_us = recent.event_max_us.saturating_mul(u64::from(tokens.0));
                longest_answer(recent.paced_answers, recent.paced_head_max_ms, body_us)
            }
        }
    }

    /// Returns the longest answer that the recent ones let expect, or `None` without any.
    ///
    /// It is as far from its declared bound as the longest of them.
    pub fn longest(
        &self,
        now: MonotonicMs,
        output_tokens_max: Option<TokenCount>,
    ) -> Option<LongestAnswer> {
        let recent = self.recent(now);
        match output_tokens_max {
            Some(tokens) => {
                let body_us = recent.token_max_us.saturating_mul(u64::from(tokens.0));
                longest_answer(recent.bounded_answers, recent.head_max_ms, body_us)
            }
            None => longest_answer(recent.answers, recent.total_max_ms, 0),
        }
    }

    /// Returns the answers of the window as one slot.
    fn recent(&self, now: MonotonicMs) -> Slot {
        let counted = self.slots.iter().filter(|slot| is_counted(slot, now));
        counted.fold(Slot::default(), |sum, slot| sum.merge(slot))
    }

    /// Returns whether no answer counts any more.
    pub fn is_empty(&self, now: MonotonicMs) -> bool {
        !self.slots.iter().any(|slot| is_counted(slot, now))
    }
}

/// Returns the answer of a head and a body; `None` without answers that it is derived from.
fn longest_answer(answers: u32, head_ms: u64, body_us: u64) -> Option<LongestAnswer> {
    let longest_ms = DurationMs(head_ms.saturating_add(body_us.div_ceil(US_PER_MS)));
    (answers > 0).then_some(LongestAnswer {
        answers,
        longest_ms,
    })
}

/// Returns whether any part of the slot lies in the window that ends now.
fn is_counted(slot: &Slot, now: MonotonicMs) -> bool {
    let end = MonotonicMs((slot.number + 1) * SLOT.0);
    now - end < WINDOW
}
