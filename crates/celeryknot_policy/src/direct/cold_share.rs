//! One daemon's share of the requests that a cold endpoint may get in a second.

use celeryknot_core::id::rendezvous_score;
use celeryknot_core::{EndpointName, MemberName, MonotonicMs, RatePerS};

const MS_PER_S: f64 = 1_000.0;

/// The bound that a cold endpoint sets to the whole fleet.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdBound {
    /// Requests a second that the endpoint bears for long.
    pub rate: RatePerS,
    /// Most requests within any second.
    pub max_per_s: f64,
}

impl ColdBound {
    /// Returns how many daemons may hold a token at the same moment.
    ///
    /// In one second, `k` holders of one token each send at most `k` and the refills of that
    /// second, which are the rate together.
    fn holders_max(self) -> usize {
        (self.max_per_s - self.rate.0).floor().max(1.0) as usize
    }

    /// Returns the tokens a second that one of the daemons gets for one endpoint.
    ///
    /// Where there are more daemons than may hold a token, the ones that rank first for the
    /// endpoint share the rate and the others get none.
    ///
    /// # Examples
    ///
    /// ```
    /// use celeryknot_core::RatePerS;
    /// use celeryknot_policy::direct::cold_share::ColdBound;
    ///
    /// let bound = ColdBound { rate: RatePerS(12.0), max_per_s: 23.0 };
    /// let members = ["edge-1".parse()?, "edge-2".parse()?, "edge-3".parse()?];
    /// assert_eq!(bound.share_of(&members[0], &members, 1, &"engine-1".parse()?), RatePerS(4.0));
    /// # Ok::<(), celeryknot_core::IdError>(())
    /// ```
    pub fn share_of(
        self,
        own: &MemberName,
        members: &[MemberName],
        members_min: usize,
        endpoint: &EndpointName,
    ) -> RatePerS {
        let holders_max = self.holders_max();
        let score = |member: &MemberName| rendezvous_score(rank_key(endpoint), member.as_str());
        let own_score = score(own);
        let before = members
            .iter()
            .filter(|member| *member != own && score(member) > own_score)
            .count();
        if before >= holders_max {
            return RatePerS(0.0);
        }
        let holders = holders_max.min(members.len().max(members_min).max(1));
        RatePerS(self.rate.0 / holders as f64)
    }
}

fn rank_key(endpoint: &EndpointName) -> u64 {
    rendezvous_score(0, endpoint.as_str())
}

/// A bucket that holds at most one request.
///
/// # Examples
///
/// ```
/// use celeryknot_core::{MonotonicMs, RatePerS};
/// use celeryknot_policy::direct::ColdShare;
///
/// let mut share = ColdShare::default();
/// assert!(share.try_take(MonotonicMs(1_000), RatePerS(2.0)));
/// assert!(!share.try_take(MonotonicMs(1_400), RatePerS(2.0)));
/// assert!(share.try_take(MonotonicMs(1_500), RatePerS(2.0)));
/// ```
#[derive(Debug, Clone, Default)]
pub struct ColdShare {
    taken_at: Option<MonotonicMs>,
}

impl ColdShare {
    /// Takes the right to send one request now, if the rate leaves one.
    pub fn try_take(&mut self, now: MonotonicMs, rate: RatePerS) -> bool {
        let is_refilled = |taken_at| (now - taken_at).0 as f64 * rate.0 >= MS_PER_S;
        if rate.0 <= 0.0 || !self.taken_at.is_none_or(is_refilled) {
            return false;
        }
        self.taken_at = Some(now);
        true
    }
}
