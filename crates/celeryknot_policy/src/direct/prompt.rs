//! A prompt as a list of identified parts, all but the last shared with other requests.

use std::fmt;
use std::str::FromStr;

use celeryknot_core::{PromptTag, TokenCount};
use smallvec::SmallVec;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Maximum number of parts that are parsed; placement ignores the rest.
const PARTS_MAX: usize = 64;

/// Separates the tags of single parts from those of prefixes.
const PART_SEED: u64 = 0x7061_7274;

/// One part of a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// The part's id; parts with equal ids consist of the same tokens.
    pub id: u64,
    /// The part's size in tokens.
    pub tokens: TokenCount,
}

impl PromptPart {
    /// Returns the tag that identifies the part in messages between daemons.
    pub fn tag(&self) -> PromptTag {
        PromptTag(xxh3_64_with_seed(&self.id.to_le_bytes(), PART_SEED) as u32)
    }
}

/// The parts of one prompt, in order.
///
/// # Examples
///
/// ```
/// use celeryknot_policy::direct::Prompt;
///
/// let prompt: Prompt = "5c1e07a2:800,91bd3f06:410,e4402b7d:250".parse()?;
/// assert_eq!(prompt.tokens().0, 1460);
/// assert_eq!(prompt.shared().len(), 2);
/// # Ok::<(), celeryknot_policy::direct::prompt::PromptError>(())
/// ```
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Prompt(SmallVec<[PromptPart; 4]>);

/// Error for a malformed list of prompt parts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptError;

impl fmt::Display for PromptError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("not a list of prompt parts such as `5c1e07a2:800,91bd3f06:410`")
    }
}

impl std::error::Error for PromptError {}

impl FromStr for Prompt {
    type Err = PromptError;

    fn from_str(text: &str) -> Result<Self, PromptError> {
        let parts = text.split(',').take(PARTS_MAX).map(parse_part);
        Ok(Self(parts.collect::<Result<_, _>>()?))
    }
}

fn parse_part(text: &str) -> Result<PromptPart, PromptError> {
    let (id, tokens) = text.trim().split_once(':').ok_or(PromptError)?;
    Ok(PromptPart {
        id: u64::from_str_radix(id, 16).map_err(|_| PromptError)?,
        tokens: TokenCount(tokens.parse().map_err(|_| PromptError)?),
    })
}

impl Prompt {
    /// Returns all parts.
    pub fn parts(&self) -> &[PromptPart] {
        &self.0
    }

    /// Returns the parts that other requests may share: all but the last, or the only one.
    pub fn shared(&self) -> &[PromptPart] {
        let len = self.0.len();
        &self.0[..len.saturating_sub(1).max(len.min(1))]
    }

    /// Returns the size of the complete prompt.
    pub fn tokens(&self) -> TokenCount {
        let tokens = self.0.iter().map(|part| part.tokens.0);
        TokenCount(tokens.fold(0, u32::saturating_add))
    }

    /// Returns the key and size of the shared parts, or `None` for an empty prompt.
    pub fn shared_prefix(&self) -> Option<SharedPrefix> {
        let shared = self.shared();
        let key = |key, part: &PromptPart| xxh3_64_with_seed(&part.id.to_le_bytes(), key);
        let tokens = shared.iter().map(|part| part.tokens.0);
        let first = shared.first()?;
        Some(SharedPrefix {
            key: shared.iter().fold(0, key),
            first_key: key(0, first),
            tokens: TokenCount(tokens.fold(0, u32::saturating_add)),
        })
    }
}

/// Key and size of a prompt's shared parts, used for placement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SharedPrefix {
    /// Hash of all shared parts.
    pub key: u64,
    /// Hash of the first part, the one that most prompts have in common.
    pub first_key: u64,
    /// Total size of the shared parts.
    pub tokens: TokenCount,
}

impl SharedPrefix {
    /// Returns the tag that identifies the parts in messages between daemons.
    pub fn tag(&self) -> PromptTag {
        PromptTag(self.key as u32)
    }

    /// Returns the tag that identifies the first part.
    pub fn first_tag(&self) -> PromptTag {
        PromptTag(self.first_key as u32)
    }
}
