//! The position in a stream of tokens that may be resumed at another endpoint.

use strum::{Display, EnumIter, IntoStaticStr};

/// What to do with an event of a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum TokenVerdict {
    /// The next token: pass it on.
    Pass,
    /// A token that was passed on before: drop it.
    Duplicate,
    /// Tokens in between are missing: drop it, abort this source and resume.
    Gap,
    /// The stream has ended already: drop it.
    AfterEnd,
}

/// Accepts each token of a stream exactly once and in order.
///
/// # Examples
///
/// ```
/// use celeryknot_policy::stream::{StreamCursor, TokenVerdict};
///
/// let mut cursor = StreamCursor::new();
/// assert_eq!(cursor.accept(0), TokenVerdict::Pass);
/// assert_eq!(cursor.accept(0), TokenVerdict::Duplicate);
/// assert_eq!(cursor.accept(2), TokenVerdict::Gap);
/// assert_eq!(cursor.resume_index(), 1);
/// ```
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct StreamCursor {
    next_index: u64,
    resumed: u32,
    is_finished: bool,
}

impl StreamCursor {
    /// Starts before the first token.
    pub const fn new() -> Self {
        Self {
            next_index: 0,
            resumed: 0,
            is_finished: false,
        }
    }

    /// Judges the token with the index.
    pub fn accept(&mut self, token_index: u64) -> TokenVerdict {
        if self.is_finished {
            return TokenVerdict::AfterEnd;
        }
        if token_index < self.next_index {
            return TokenVerdict::Duplicate;
        }
        if token_index > self.next_index {
            return TokenVerdict::Gap;
        }
        self.next_index += 1;
        TokenVerdict::Pass
    }

    /// Ends the stream if the endpoint's count of tokens agrees; a stream whose count differs
    /// is not whole and must not be ended cleanly.
    ///
    /// `answer_tokens` is the endpoint's own count, or `None` where it gives none.
    pub fn finish(&mut self, answer_tokens: Option<u64>) -> bool {
        if answer_tokens.is_some_and(|count| count != self.next_index) {
            return false;
        }
        self.is_finished = true;
        true
    }

    /// Returns the index of the first token that is still wanted.
    pub const fn resume_index(&self) -> u64 {
        self.next_index
    }

    /// Counts a resumption at another endpoint and returns the index to resume from, or `None`
    /// where the stream has ended or was resumed `resumes_max` times.
    pub fn resume(&mut self, resumes_max: u32) -> Option<u64> {
        if self.is_finished || self.resumed >= resumes_max {
            return None;
        }
        self.resumed += 1;
        Some(self.next_index)
    }

    /// Tells whether any token was passed on.
    pub const fn has_started(&self) -> bool {
        self.next_index > 0
    }

    /// Tells whether the stream ended whole.
    pub const fn is_finished(&self) -> bool {
        self.is_finished
    }
}
