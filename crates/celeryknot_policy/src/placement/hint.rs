//! Hints about which endpoints have a chat's context cached.

use smallvec::SmallVec;

use super::{CandidateReason, EndpointHash};

/// Maximum number of hints for one request.
const HINTS_MAX: usize = 6;

/// An endpoint that may have a chat's context cached.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct Hint {
    pub(super) endpoint: EndpointHash,
    /// Number of tokens expected in the endpoint's cache.
    pub(super) tokens: f64,
    pub(super) reason: CandidateReason,
}

/// The hints about one chat.
#[derive(Debug, Clone, Default)]
pub(super) struct Hints {
    hints: SmallVec<[Hint; HINTS_MAX]>,
    /// One bit per hint, set by the low bits of its endpoint hash, to skip other endpoints fast.
    mask: u64,
}

impl Hints {
    /// Adds a hint; of two hints for the same endpoint, keeps the one with more tokens.
    pub(super) fn add(&mut self, endpoint: EndpointHash, tokens: f64, reason: CandidateReason) {
        if let Some(existing) = self.hints.iter_mut().find(|hint| hint.endpoint == endpoint) {
            if tokens > existing.tokens {
                existing.tokens = tokens;
                existing.reason = reason;
            }
            return;
        }
        if self.hints.len() == HINTS_MAX {
            return;
        }
        self.mask |= mask_bit(endpoint);
        self.hints.push(Hint {
            endpoint,
            tokens,
            reason,
        });
    }

    /// Returns the hint for an endpoint.
    #[inline]
    pub(super) fn get(&self, endpoint: EndpointHash) -> Option<&Hint> {
        if self.mask & mask_bit(endpoint) == 0 {
            return None;
        }
        self.hints.iter().find(|hint| hint.endpoint == endpoint)
    }
}

fn mask_bit(endpoint: EndpointHash) -> u64 {
    1 << (endpoint.0 & 63)
}
