//! Standard placements, used as baselines in measurements.

use celeryknot_core::{ChatKey, MonotonicMs};
use rand::{Rng, RngExt};

use super::{
    CANDIDATES_MAX, Candidate, CandidateReason, Candidates, Placement, PlacementEndpoint,
    PlacementRequest, chat_rendezvous_score, is_eligible,
};

/// Chooses endpoints at random.
#[derive(Debug, Clone, Copy, Default)]
pub struct Random;

/// Chooses endpoints in round-robin order.
#[derive(Debug, Clone, Copy, Default)]
pub struct RoundRobin {
    next: usize,
}

/// Chooses the endpoint with the fewest requests in flight and queued.
#[derive(Debug, Clone, Copy, Default)]
pub struct LeastLoad;

/// Chooses the first endpoint in the chat's rendezvous order, regardless of load.
#[derive(Debug, Clone, Copy, Default)]
pub struct ConsistentHash;

impl Placement for Random {
    fn rank<R: Rng>(
        &mut self,
        _now: MonotonicMs,
        request: &PlacementRequest,
        endpoints: &[PlacementEndpoint],
        rng: &mut R,
    ) -> Candidates {
        rank_by_value(request, endpoints, CandidateReason::Random, |_, _| {
            rng.random::<f64>()
        })
    }
}

impl Placement for RoundRobin {
    fn rank<R: Rng>(
        &mut self,
        _now: MonotonicMs,
        request: &PlacementRequest,
        endpoints: &[PlacementEndpoint],
        _rng: &mut R,
    ) -> Candidates {
        let count = endpoints.len().max(1);
        let start = self.next % count;
        let candidates = rank_by_value(
            request,
            endpoints,
            CandidateReason::RoundRobin,
            |index, _| ((index + count - start) % count) as f64,
        );
        if let Some(first) = candidates.first() {
            self.next = first.index + 1;
        }
        candidates
    }
}

impl Placement for LeastLoad {
    fn rank<R: Rng>(
        &mut self,
        _now: MonotonicMs,
        request: &PlacementRequest,
        endpoints: &[PlacementEndpoint],
        rng: &mut R,
    ) -> Candidates {
        rank_by_value(
            request,
            endpoints,
            CandidateReason::LeastWait,
            |_, endpoint| {
                let summary = endpoint.summary.unwrap_or_default();
                // Breaks ties at random, which spreads the choices of different daemons.
                f64::from(summary.in_flight + summary.queued) + rng.random::<f64>() / 2.0
            },
        )
    }
}

impl Placement for ConsistentHash {
    fn rank<R: Rng>(
        &mut self,
        _now: MonotonicMs,
        request: &PlacementRequest,
        endpoints: &[PlacementEndpoint],
        rng: &mut R,
    ) -> Candidates {
        let chat = request.chat.unwrap_or_else(|| ChatKey(rng.random()));
        rank_by_value(
            request,
            endpoints,
            CandidateReason::Rendezvous,
            |_, endpoint| -(chat_rendezvous_score(chat, endpoint.name_hash) as f64),
        )
    }
}

/// Returns the eligible endpoints with the lowest values, in ascending order.
fn rank_by_value(
    request: &PlacementRequest,
    endpoints: &[PlacementEndpoint],
    reason: CandidateReason,
    mut value: impl FnMut(usize, &PlacementEndpoint) -> f64,
) -> Candidates {
    let mut candidates = Candidates::new();
    for (index, endpoint) in endpoints.iter().enumerate() {
        if !is_eligible(endpoint, request) {
            continue;
        }
        let cost_ms = value(index, endpoint);
        let wait_ms = endpoint.wait_ms();
        let position = candidates.partition_point(|other: &Candidate| other.cost_ms <= cost_ms);
        if position >= CANDIDATES_MAX {
            continue;
        }
        candidates.truncate(CANDIDATES_MAX - 1);
        candidates.insert(
            position,
            Candidate {
                index,
                wait_ms,
                uncached_tokens: request.prompt_tokens,
                cost_ms,
                kv_source: None,
                reason,
            },
        );
    }
    candidates
}
