//! Hints about which endpoints hold a chat's context.

use smallvec::SmallVec;

use super::{CandidateReason, EndpointHash};

/// Most hints of one request.
const HINTS_MAX: usize = 6;

/// An endpoint that may hold a chat's context.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct Hint {
    pub(super) endpoint: EndpointHash,
    /// Tokens that are expected to be cached there.
    pub(super) tokens: f64,
    pub(super) reason: CandidateReason,
}

/// The hints about one chat.
#[derive(Debug, Clone, Default)]
pub(super) struct Hints {
    hints: SmallVec<[Hint; HINTS_MAX]>,
    /// One bit for each hint, by the low bits of its endpoint, to pass over the others fast.
    mask: u64,
}

impl Hints {
    /// Adds a hint; of two about the same endpoint the one with more tokens stands.
    pub(super) fn add(&mut self, endpoint: EndpointHash, tokens: f64, reason: CandidateReason) {
        if let Some(held) = self.hints.iter_mut().find(|held| held.endpoint == endpoint) {
            if tokens > held.tokens {
                held.tokens = tokens;
                held.reason = reason;
            }
            return;
        }
        if self.hints.len() == HINTS_MAX {
            return;
        }
        self.mask |= bit(endpoint);
        self.hints.push(Hint {
            endpoint,
            tokens,
            reason,
        });
    }

    /// Returns the hint about an endpoint.
    #[inline]
    pub(super) fn of(&self, endpoint: EndpointHash) -> Option<&Hint> {
        if self.mask & bit(endpoint) == 0 {
            return None;
        }
        self.hints.iter().find(|held| held.endpoint == endpoint)
    }
}

fn bit(endpoint: EndpointHash) -> u64 {
    1 << (endpoint.0 & 63)
}
