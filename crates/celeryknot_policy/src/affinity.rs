//! The opaque value that a caller returns to route its chat to the endpoint with its context.

use celeryknot_core::keyed_hash::{AUTH_CODE_LEN_BYTES, KeyRing};
use celeryknot_core::{ChatKey, EndpointName};

const PURPOSE: &str = "affinity";
const VERSION: &str = "a1";
const SEPARATOR: char = '~';
/// Maximum length of an affinity value's text.
pub const AFFINITY_LEN_MAX_BYTES: usize = 160;

/// The endpoint that last held a chat's context.
///
/// The value is only a hint: a wrong one causes at worst a cache miss.
///
/// # Examples
///
/// ```
/// use celeryknot_core::{ChatKey, keyed_hash::KeyRing};
/// use celeryknot_policy::affinity::AffinityValue;
///
/// let keys = KeyRing::new("an example key of 24 byte", None);
/// let value = AffinityValue { endpoint: "engine-1".parse()?, chat: ChatKey(7), tokens: 900 };
/// let text = value.to_text(&keys);
/// assert_eq!(AffinityValue::parse(&text, &keys), Some(value));
/// # Ok::<(), celeryknot_core::IdError>(())
/// ```
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AffinityValue {
    /// The endpoint that sent the last response.
    pub endpoint: EndpointName,
    /// The chat.
    pub chat: ChatKey,
    /// Tokens of the chat's context at that endpoint.
    pub tokens: u32,
}

impl AffinityValue {
    /// Formats the value as URL-safe text signed with the current key.
    pub fn to_text(&self, keys: &KeyRing) -> String {
        let body = format!(
            "{VERSION}{SEPARATOR}{}{SEPARATOR}{}{SEPARATOR}{}",
            self.endpoint, self.chat, self.tokens
        );
        let code = u128::from_be_bytes(keys.sign(PURPOSE, &[body.as_bytes()]));
        format!("{body}{SEPARATOR}{code:032x}")
    }

    /// Parses and verifies a value; returns `None` if this fleet did not sign it.
    pub fn parse(text: &str, keys: &KeyRing) -> Option<Self> {
        if text.len() > AFFINITY_LEN_MAX_BYTES {
            return None;
        }
        let (body, code) = text.rsplit_once(SEPARATOR)?;
        if !keys.verify(PURPOSE, &[body.as_bytes()], &parse_auth_code(code)?) {
            return None;
        }
        let mut fields = body.split(SEPARATOR);
        if fields.next()? != VERSION {
            return None;
        }
        let endpoint = fields.next()?.parse().ok()?;
        let chat = fields.next()?.parse().ok()?;
        let tokens = fields.next()?.parse().ok()?;
        if fields.next().is_some() {
            return None;
        }
        Some(Self {
            endpoint,
            chat,
            tokens,
        })
    }
}

/// Parses an authentication code in lowercase hex.
pub(crate) fn parse_auth_code(text: &str) -> Option<[u8; AUTH_CODE_LEN_BYTES]> {
    let is_hex = |b: u8| b.is_ascii_digit() || (b'a'..=b'f').contains(&b);
    if text.len() != 2 * AUTH_CODE_LEN_BYTES || !text.bytes().all(is_hex) {
        return None;
    }
    let code = u128::from_str_radix(text, 16).ok()?;
    Some(code.to_be_bytes())
}
