//! Prompts and answers as tokens: one token per word, and answers derived from their prompts.
//!
//! An answer depends only on the model and the messages, so that an engine that resumes a stream
//! generates the same tokens and a caller can detect the answer to another request.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Minimum length of an answer that the caller's token limit does not shorten.
pub const ANSWER_TOKENS_MIN: u32 = 16;
/// Maximum length of an answer that the caller's token limit does not shorten.
pub const ANSWER_TOKENS_MAX: u32 = 40;

const LETTERS: u64 = 26;
const WORD_LEN: u32 = 3;

/// One message of a chat.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// The author: `system`, `user` or `assistant`.
    pub role: String,
    /// The text.
    pub content: String,
}

/// A token: the hash of its word.
pub type Token = u32;

/// Splits a prompt into tokens, one for each role and each word.
///
/// # Examples
///
/// ```
/// use celeryknot_standins::text::{Message, prompt_tokens};
///
/// let message = Message { role: "user".into(), content: "two words".into() };
/// assert_eq!(prompt_tokens(&[message]).len(), 3);
/// ```
pub fn prompt_tokens(messages: &[Message]) -> Vec<Token> {
    messages
        .iter()
        .flat_map(|message| {
            std::iter::once(message.role.as_str()).chain(message.content.split_whitespace())
        })
        .map(word_token)
        .collect()
}

/// Returns the token of a word.
pub fn word_token(word: &str) -> Token {
    (xxh3_64(word.as_bytes()) & u64::from(u32::MAX)) as Token
}

/// The answer that a model gives to a prompt.
///
/// # Examples
///
/// ```
/// use celeryknot_standins::text::{AnswerText, Message};
///
/// let messages = [Message { role: "user".into(), content: "hello".into() }];
/// let answer = AnswerText::new("wakai-8b", &messages, Some(4));
/// assert_eq!(answer.len, 4);
/// assert_eq!(answer.text().split_whitespace().nth(2), Some(answer.word(2).as_str()));
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AnswerText {
    /// The hash of the model and the messages.
    pub seed: u64,
    /// The number of tokens.
    pub len: u32,
    /// Whether the caller's token limit shortens the answer.
    pub hits_token_limit: bool,
}

impl AnswerText {
    /// Derives the answer from a model and a prompt.
    pub fn new(model: &str, messages: &[Message], tokens_max: Option<u32>) -> Self {
        let mut seed = xxh3_64(model.as_bytes());
        for message in messages {
            seed = xxh3_64_with_seed(message.role.as_bytes(), seed);
            seed = xxh3_64_with_seed(message.content.as_bytes(), seed);
        }
        let spread = u64::from(ANSWER_TOKENS_MAX - ANSWER_TOKENS_MIN + 1);
        let natural_len = ANSWER_TOKENS_MIN + (seed % spread) as u32;
        let len = tokens_max.map_or(natural_len, |max| natural_len.min(max.max(1)));
        Self {
            seed,
            len,
            hits_token_limit: len < natural_len,
        }
    }

    /// Returns the word at the index.
    pub fn word(&self, index: u32) -> String {
        let mut hash = xxh3_64_with_seed(&index.to_le_bytes(), self.seed);
        (0..WORD_LEN)
            .map(|_| {
                let letter = (hash % LETTERS) as u8;
                hash /= LETTERS;
                char::from(b'a' + letter)
            })
            .collect()
    }

    /// Returns the complete text, with a space after each word.
    pub fn text(&self) -> String {
        (0..self.len).map(|index| self.word(index) + " ").collect()
    }

    /// Returns `length` if the caller's token limit shortens the answer, else `stop`.
    pub fn finish_reason(&self) -> &'static str {
        if self.hits_token_limit {
            "length"
        } else {
            "stop"
        }
    }
}
