//! One daemon's share of the request rate limit of a cold endpoint.

use celeryknot_core::id::rendezvous_score;
use celeryknot_core::{EndpointName, MemberName, MonotonicMs, RatePerS};

const MS_PER_S: f64 = 1_000.0;

/// Rate limit of a cold endpoint for the whole fleet.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdRateLimit {
    /// Requests per second that the endpoint sustains.
    pub rate: RatePerS,
    /// Maximum number of requests within any second.
    pub max_per_s: f64,
}

impl ColdRateLimit {
    /// Returns how many daemons may hold a token at the same time.
    ///
    /// Within one second, `k` daemons with one token each send at most `k` requests plus that
    /// second's refills, which add up to `rate`.
    fn token_holders_max(self) -> usize {
        (self.max_per_s - self.rate.0).floor().max(1.0) as usize
    }

    /// Returns the tokens per second that one daemon gets for one endpoint.
    ///
    /// If there are more daemons than may hold a token, those with the highest rendezvous scores
    /// for the endpoint share the rate and the others get none.
    ///
    /// # Examples
    ///
    /// ```
    /// use celeryknot_core::RatePerS;
    /// use celeryknot_policy::direct::cold_rate_limit::ColdRateLimit;
    ///
    /// let limit = ColdRateLimit { rate: RatePerS(12.0), max_per_s: 23.0 };
    /// let members = ["edge-1".parse()?, "edge-2".parse()?, "edge-3".parse()?];
    /// let rate = limit.member_rate(&members[0], &members, 1, &"engine-1".parse()?);
    /// assert_eq!(rate, RatePerS(4.0));
    /// # Ok::<(), celeryknot_core::IdError>(())
    /// ```
    pub fn member_rate(
        self,
        own: &MemberName,
        members: &[MemberName],
        members_min: usize,
        endpoint: &EndpointName,
    ) -> RatePerS {
        let token_holders_max = self.token_holders_max();
        let score = |member: &MemberName| rendezvous_score(rank_key(endpoint), member.as_str());
        let own_score = score(own);
        let higher_ranked = members
            .iter()
            .filter(|member| *member != own && score(member) > own_score)
            .count();
        if higher_ranked >= token_holders_max {
            return RatePerS(0.0);
        }
        let holders = token_holders_max.min(members.len().max(members_min).max(1));
        RatePerS(self.rate.0 / holders as f64)
    }
}

fn rank_key(endpoint: &EndpointName) -> u64 {
    rendezvous_score(0, endpoint.as_str())
}

/// Token bucket with a capacity of one request.
///
/// # Examples
///
/// ```
/// use celeryknot_core::{MonotonicMs, RatePerS};
/// use celeryknot_policy::direct::ColdStartBucket;
///
/// let mut bucket = ColdStartBucket::default();
/// assert!(bucket.try_take(MonotonicMs(1_000), RatePerS(2.0)));
/// assert!(!bucket.try_take(MonotonicMs(1_400), RatePerS(2.0)));
/// assert!(bucket.try_take(MonotonicMs(1_500), RatePerS(2.0)));
/// ```
#[derive(Debug, Clone, Default)]
pub struct ColdStartBucket {
    taken_at: Option<MonotonicMs>,
}

impl ColdStartBucket {
    /// Takes the token for one request if the bucket has refilled.
    pub fn try_take(&mut self, now: MonotonicMs, rate: RatePerS) -> bool {
        let is_refilled = |taken_at| (now - taken_at).0 as f64 * rate.0 >= MS_PER_S;
        if rate.0 <= 0.0 || !self.taken_at.is_none_or(is_refilled) {
            return false;
        }
        self.taken_at = Some(now);
        true
    }
}
