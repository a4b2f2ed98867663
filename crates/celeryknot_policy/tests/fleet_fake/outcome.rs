//! Results of a run of the fake fleet.

/// The metrics of a run.
#[derive(Debug, Clone, Default)]
pub(crate) struct Outcome {
    pub(crate) samples: u64,
    /// Samples in which an engine's load exceeded the multiple of the mean plus one.
    pub(crate) above: u64,
    /// Maximum excess of an engine's load over the multiple of the mean plus one.
    pub(crate) excess_max: f64,
    pub(crate) max_over_mean: f64,
    pub(crate) mean_in_flight: f64,
    pub(crate) started: u64,
    pub(crate) refused: u64,
    pub(crate) prompt_tokens: u64,
    pub(crate) cached_tokens: u64,
    pub(crate) first_token_ms: Vec<u64>,
    /// The same for the customers without a surge.
    pub(crate) other_customers_first_token_ms: Vec<u64>,
    /// Requests started above the bound of an engine in cold start.
    pub(crate) cold_excess: u64,
}

impl Outcome {
    pub(crate) fn reuse_ratio(&self) -> f64 {
        self.cached_tokens as f64 / self.prompt_tokens.max(1) as f64
    }

    pub(crate) fn above_share(&self) -> f64 {
        self.above as f64 / self.samples.max(1) as f64
    }

    pub(crate) fn p95_ms(&self) -> u64 {
        p95(&self.first_token_ms)
    }

    pub(crate) fn other_customers_p95_ms(&self) -> u64 {
        p95(&self.other_customers_first_token_ms)
    }
}

fn p95(samples: &[u64]) -> u64 {
    let mut sorted = samples.to_vec();
    sorted.sort_unstable();
    sorted.get(sorted.len() * 95 / 100).copied().unwrap_or(0)
}
