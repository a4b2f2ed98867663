//! Placement for plain services: the less costly of two random endpoints.

use celeryknot_core::MonotonicMs;
use rand::{Rng, RngExt};
use smallvec::SmallVec;

use super::{
    CANDIDATES_MAX, Candidate, CandidateReason, Candidates, Placement, PlacementEndpoint,
    PlacementRequest, is_eligible,
};

/// Added cost of an endpoint in another zone.
const CROSS_ZONE_PENALTY_MS: f64 = 10.0;

/// Samples endpoints at random and prefers the less loaded of the first two and the own zone.
///
/// Two samples keep daemons with stale loads from all choosing the same endpoint, and the most
/// loaded endpoints are rarely chosen.
///
/// # Examples
///
/// ```
/// use celeryknot_core::MonotonicMs;
/// use celeryknot_policy::placement::{Placement, PlacementEndpoint, PlacementRequest, TwoChoices};
/// use rand::SeedableRng;
///
/// let endpoints: Vec<_> = ["case-1", "case-2"]
///     .map(|name| PlacementEndpoint::new(name.parse().unwrap()).with_own_zone(name == "case-2"))
///     .into();
/// let mut rng = rand::rngs::SmallRng::seed_from_u64(1);
/// let request = PlacementRequest::default();
/// let ranked = TwoChoices.rank(MonotonicMs(0), &request, &endpoints, &mut rng);
/// assert_eq!(ranked[0].index, 1);
/// assert_eq!(ranked.len(), 2);
/// ```
#[derive(Debug, Clone, Copy, Default)]
pub struct TwoChoices;

impl Placement for TwoChoices {
    fn rank<R: Rng>(
        &mut self,
        _now: MonotonicMs,
        request: &PlacementRequest,
        endpoints: &[PlacementEndpoint],
        rng: &mut R,
    ) -> Candidates {
        let sampled = sample_eligible(request, endpoints, rng);
        let mut candidates: Candidates = sampled
            .iter()
            .map(|index| to_candidate(*index, &endpoints[*index]))
            .collect();
        let by_cost = |a: &Candidate, b: &Candidate| a.cost_ms.total_cmp(&b.cost_ms);
        let pair = candidates.len().min(2);
        candidates[..pair].sort_by(by_cost);
        candidates[pair..].sort_by(by_cost);
        candidates
    }
}

/// Samples up to four eligible endpoints uniformly and without replacement.
fn sample_eligible<R: Rng>(
    request: &PlacementRequest,
    endpoints: &[PlacementEndpoint],
    rng: &mut R,
) -> SmallVec<[usize; CANDIDATES_MAX]> {
    let mut sampled = SmallVec::new();
    let mut eligible_count = 0;
    for (index, endpoint) in endpoints.iter().enumerate() {
        if !is_eligible(endpoint, request) {
            continue;
        }
        eligible_count += 1;
        if sampled.len() < CANDIDATES_MAX {
            let position = rng.random_range(0..=sampled.len());
            sampled.insert(position, index);
            continue;
        }
        let position = rng.random_range(0..eligible_count);
        if position < CANDIDATES_MAX {
            sampled[position] = index;
        }
    }
    sampled
}

fn to_candidate(index: usize, endpoint: &PlacementEndpoint) -> Candidate {
    let zone_ms = if endpoint.is_own_zone {
        0.0
    } else {
        CROSS_ZONE_PENALTY_MS
    };
    Candidate {
        index,
        wait_ms: endpoint.wait_ms(),
        uncached_tokens: 0,
        cost_ms: endpoint.base_cost_ms + zone_ms,
        kv_source: None,
        reason: CandidateReason::Random,
    }
}
