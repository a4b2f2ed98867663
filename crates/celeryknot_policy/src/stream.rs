//! The position in a token stream that may be resumed at another endpoint.

use strum::{Display, EnumIter, IntoStaticStr};

/// What to do with a token of a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum TokenAction {
    /// The next token: forward it.
    Pass,
    /// A token that was forwarded before: drop it.
    Duplicate,
    /// Earlier tokens are missing: drop it, abort this source and resume.
    Gap,
    /// The stream has ended already: drop it.
    AfterEnd,
}

/// Accepts each token of a stream exactly once and in order.
///
/// # Examples
///
/// ```
/// use celeryknot_policy::stream::{StreamCursor, TokenAction};
///
/// let mut cursor = StreamCursor::new();
/// assert_eq!(cursor.accept(0), TokenAction::Pass);
/// assert_eq!(cursor.accept(0), TokenAction::Duplicate);
/// assert_eq!(cursor.accept(2), TokenAction::Gap);
/// assert_eq!(cursor.resume_index(), 1);
/// ```
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct StreamCursor {
    next_index: u64,
    resume_count: u32,
    is_finished: bool,
}

impl StreamCursor {
    /// Creates a cursor before the first token.
    pub const fn new() -> Self {
        Self {
            next_index: 0,
            resume_count: 0,
            is_finished: false,
        }
    }

    /// Decides what to do with the token at an index.
    pub fn accept(&mut self, token_index: u64) -> TokenAction {
        if self.is_finished {
            return TokenAction::AfterEnd;
        }
        if token_index < self.next_index {
            return TokenAction::Duplicate;
        }
        if token_index > self.next_index {
            return TokenAction::Gap;
        }
        self.next_index += 1;
        TokenAction::Pass
    }

    /// Ends the stream if the endpoint's token count matches; a stream whose count differs is
    /// incomplete and must not be ended cleanly.
    ///
    /// `answer_tokens` is the endpoint's own count, or `None` if it reports none.
    pub fn finish(&mut self, answer_tokens: Option<u64>) -> bool {
        if answer_tokens.is_some_and(|count| count != self.next_index) {
            return false;
        }
        self.is_finished = true;
        true
    }

    /// Returns the index of the next token to forward.
    pub const fn resume_index(&self) -> u64 {
        self.next_index
    }

    /// Counts a resumption at another endpoint and returns the index to resume from, or `None` if
    /// the stream has ended or was resumed `resumes_max` times.
    pub fn resume(&mut self, resumes_max: u32) -> Option<u64> {
        if self.is_finished || self.resume_count >= resumes_max {
            return None;
        }
        self.resume_count += 1;
        Some(self.next_index)
    }

    /// Returns whether any token was forwarded.
    pub const fn has_started(&self) -> bool {
        self.next_index > 0
    }

    /// Returns whether the stream ended complete.
    pub const fn is_finished(&self) -> bool {
        self.is_finished
    }
}
