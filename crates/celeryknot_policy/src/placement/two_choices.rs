//! Placement for plain services: the better of two random endpoints.

use celeryknot_core::MonotonicMs;
use rand::{Rng, RngExt};
use smallvec::SmallVec;

use super::{
    CANDIDATES_MAX, Candidate, CandidateReason, Candidates, Placement, PlacementEndpoint,
    PlacementRequest, is_eligible,
};

/// What the way to another zone costs.
const OTHER_ZONE_MS: f64 = 10.0;

/// Draws endpoints at random and prefers the less loaded one of the first two, and the own zone.
///
/// With two draws, daemons that know only old loads don't all choose the same endpoint, and the
/// most loaded endpoints are hardly ever chosen.
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
        let drawn = draw(request, endpoints, rng);
        let mut candidates: Candidates = drawn
            .iter()
            .map(|index| weigh(*index, &endpoints[*index]))
            .collect();
        let by_cost = |a: &Candidate, b: &Candidate| a.cost_ms.total_cmp(&b.cost_ms);
        let pair = candidates.len().min(2);
        candidates[..pair].sort_by(by_cost);
        candidates[pair..].sort_by(by_cost);
        candidates
    }
}

/// Draws up to four eligible endpoints without repetition, each as likely as any other.
fn draw<R: Rng>(
    request: &PlacementRequest,
    endpoints: &[PlacementEndpoint],
    rng: &mut R,
) -> SmallVec<[usize; CANDIDATES_MAX]> {
    let mut drawn = SmallVec::new();
    let mut seen = 0;
    for (index, endpoint) in endpoints.iter().enumerate() {
        if !is_eligible(endpoint, request) {
            continue;
        }
        seen += 1;
        if drawn.len() < CANDIDATES_MAX {
            let at = rng.random_range(0..=drawn.len());
            drawn.insert(at, index);
            continue;
        }
        let at = rng.random_range(0..seen);
        if at < CANDIDATES_MAX {
            drawn[at] = index;
        }
    }
    drawn
}

fn weigh(index: usize, endpoint: &PlacementEndpoint) -> Candidate {
    let zone_ms = if endpoint.is_own_zone {
        0.0
    } else {
        OTHER_ZONE_MS
    };
    Candidate {
        index,
        wait_ms: endpoint.wait_ms(),
        uncached_tokens: 0,
        cost_ms: endpoint.base_ms + zone_ms,
        kv_source: None,
        reason: CandidateReason::Random,
    }
}
