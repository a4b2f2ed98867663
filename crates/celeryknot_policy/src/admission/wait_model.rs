//! The queue model, which estimates the wait of a request from the work ahead of it.

use celeryknot_core::DurationMs;

/// Expected service time before the first sample.
const DURATION_DEFAULT_MS: f64 = 1_000.0;
/// Expected time to the first token before the first sample.
const FIRST_TOKEN_DEFAULT_MS: f64 = 0.0;
/// Expected cost of a request before the first sample.
const COST_DEFAULT_TOKENS: f64 = 200.0;
/// Weight of a new sample in the moving averages.
const SAMPLE_WEIGHT: f64 = 0.05;

/// Estimates the speed of one endpoint from its responses.
///
/// With `slots` concurrent requests, queued work drains at `slots` times the speed of one request.
/// The wait is the tokens ahead, plus those of one request until the next slot is free, times the
/// time per token of cost, divided by the slots.
///
/// # Examples
///
/// ```
/// use celeryknot_core::DurationMs;
/// use celeryknot_policy::admission::wait_model::WaitModel;
///
/// let mut model = WaitModel::default();
/// model.observe(DurationMs(2_000), 200, Some(DurationMs(300)));
/// assert_eq!(model.wait_ms(600.0, 0, 4), DurationMs(2_000));
/// ```
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WaitModel {
    duration_ms: f64,
    cost_tokens: f64,
    first_token_ms: f64,
    has_samples: bool,
    has_first_token: bool,
}

impl Default for WaitModel {
    fn default() -> Self {
        Self {
            duration_ms: DURATION_DEFAULT_MS,
            cost_tokens: COST_DEFAULT_TOKENS,
            first_token_ms: FIRST_TOKEN_DEFAULT_MS,
            has_samples: false,
            has_first_token: false,
        }
    }
}

impl WaitModel {
    /// Records a complete response.
    pub fn observe(
        &mut self,
        duration_ms: DurationMs,
        cost_tokens: u32,
        first_token_ms: Option<DurationMs>,
    ) {
        let share = if self.has_samples { SAMPLE_WEIGHT } else { 1.0 };
        self.duration_ms += share * (duration_ms.0 as f64 - self.duration_ms);
        self.cost_tokens += share * (f64::from(cost_tokens) - self.cost_tokens);
        self.has_samples = true;
        let Some(first_token_ms) = first_token_ms else {
            return;
        };
        let share = if self.has_first_token {
            SAMPLE_WEIGHT
        } else {
            1.0
        };
        self.first_token_ms += share * (first_token_ms.0 as f64 - self.first_token_ms);
        self.has_first_token = true;
    }

    /// Returns the expected wait behind `tokens_ahead` queued tokens and `ends_ahead` requests in
    /// flight that must end first.
    pub fn wait_ms(&self, tokens_ahead: f64, ends_ahead: u32, slots: u32) -> DurationMs {
        let work_tokens = tokens_ahead + self.cost_tokens * f64::from(ends_ahead + 1);
        let wait_ms = work_tokens * self.ms_per_token() / f64::from(slots.max(1));
        DurationMs((wait_ms.ceil() as u64).max(1))
    }

    /// Returns the mean time that a request is in flight.
    pub fn duration_ms(&self) -> DurationMs {
        DurationMs(self.duration_ms as u64)
    }

    /// Returns the expected time from the start of a request to its first token.
    pub fn first_token_ms(&self) -> DurationMs {
        DurationMs(self.first_token_ms as u64)
    }

    /// Returns the expected time from the start of a request to the end of its response.
    pub fn answer_ms(&self, cost_tokens: u32) -> DurationMs {
        if !self.has_samples {
            return DurationMs(0);
        }
        DurationMs((f64::from(cost_tokens) * self.ms_per_token()) as u64)
    }

    fn ms_per_token(&self) -> f64 {
        self.duration_ms / self.cost_tokens.max(1.0)
    }
}
