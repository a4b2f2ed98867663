//! One daemon's share of a rate limit that holds for the whole fleet.

use celeryknot_core::id::rendezvous_score;
use celeryknot_core::{DurationMs, EndpointName, MemberName, RatePerS};

/// Rate limit of an endpoint for the whole fleet.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FleetRateLimit {
    /// Requests per second that the endpoint sustains.
    pub rate: RatePerS,
    /// Length of the windows in which requests are counted.
    pub window_ms: DurationMs,
    /// Maximum number of requests within any window.
    pub max_per_window: f64,
}

impl FleetRateLimit {
    /// Returns how many daemons may hold a token at the same time.
    ///
    /// Within one window, `k` daemons with one token each send at most `k` requests plus that
    /// window's refills, which add up to the rate.
    fn token_holders_max(self) -> usize {
        let refills = self.rate.count_in(self.window_ms);
        (self.max_per_window - refills).floor().max(1.0) as usize
    }

    /// Returns the tokens per second that one daemon gets for one endpoint.
    ///
    /// If there are more daemons than may hold a token, those with the highest rendezvous scores
    /// for the endpoint share the rate and the others get none.
    ///
    /// # Examples
    ///
    /// ```
    /// use celeryknot_core::{DurationMs, RatePerS};
    /// use celeryknot_policy::rate_limit::FleetRateLimit;
    ///
    /// let limit = FleetRateLimit {
    ///     rate: RatePerS(12.0),
    ///     window_ms: DurationMs(1_000),
    ///     max_per_window: 23.0,
    /// };
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
