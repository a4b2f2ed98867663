//! Estimates the cost of a request in tokens before an endpoint has processed it.

use celeryknot_core::{SizeBytes, TokenCount};

/// The expected token counts of one request.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ChatCost {
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Tokens of the response.
    pub answer_tokens: u32,
}

const BYTES_PER_TOKEN_DEFAULT: f64 = 4.0;
const BYTES_PER_TOKEN_MIN: f64 = 0.5;
const BYTES_PER_TOKEN_MAX: f64 = 16.0;
/// Weight of a new sample in the moving average.
const SAMPLE_WEIGHT: f64 = 0.05;
/// Cost of a prompt token relative to a response token; it is lower because prefill is batched.
const PROMPT_TOKEN_WEIGHT: f64 = 0.25;

impl ChatCost {
    /// Returns the cost of the request with `cached_tokens` of its prompt in the cache.
    ///
    /// # Examples
    ///
    /// ```
    /// use celeryknot_policy::chat_cost::ChatCost;
    ///
    /// let cost = ChatCost { prompt_tokens: 1_000, answer_tokens: 100 };
    /// assert_eq!(cost.cost_tokens(600), 200);
    /// ```
    pub fn cost_tokens(&self, cached_tokens: u32) -> u32 {
        let uncached_tokens = self.prompt_tokens.saturating_sub(cached_tokens);
        let prompt_cost = f64::from(uncached_tokens) * PROMPT_TOKEN_WEIGHT;
        self.answer_tokens
            .saturating_add(prompt_cost.ceil() as u32)
            .max(1)
    }
}

/// Estimates token counts from the average number of request bytes per token.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CostEstimator {
    bytes_per_token: f64,
}

impl Default for CostEstimator {
    fn default() -> Self {
        Self {
            bytes_per_token: BYTES_PER_TOKEN_DEFAULT,
        }
    }
}

impl CostEstimator {
    /// Estimates a request's cost from its size and the caller's limit on response tokens.
    ///
    /// # Examples
    ///
    /// ```
    /// use celeryknot_core::{SizeBytes, TokenCount};
    /// use celeryknot_policy::chat_cost::CostEstimator;
    ///
    /// let cost = CostEstimator::default().estimate(SizeBytes(4_000), None, TokenCount(200));
    /// assert_eq!((cost.prompt_tokens, cost.answer_tokens), (1_000, 200));
    /// ```
    pub fn estimate(
        &self,
        body: SizeBytes,
        answer_tokens_max: Option<TokenCount>,
        answer_tokens_default: TokenCount,
    ) -> ChatCost {
        let prompt_tokens = (body.0 as f64 / self.bytes_per_token).ceil() as u32;
        let answer_tokens = match answer_tokens_max {
            Some(limit) => limit.min(answer_tokens_default),
            None => answer_tokens_default,
        };
        ChatCost {
            prompt_tokens,
            answer_tokens: answer_tokens.0,
        }
    }

    /// Updates the average with the number of prompt tokens reported in a response.
    pub fn observe(&mut self, body: SizeBytes, prompt_tokens: TokenCount) {
        if prompt_tokens.0 == 0 || body.0 == 0 {
            return;
        }
        let sample = (body.0 as f64 / f64::from(prompt_tokens.0))
            .clamp(BYTES_PER_TOKEN_MIN, BYTES_PER_TOKEN_MAX);
        self.bytes_per_token += SAMPLE_WEIGHT * (sample - self.bytes_per_token);
    }
}
