//! Verification of a caller's bearer token against the hash in the customer's settings.

use http::HeaderMap;
use http::header::AUTHORIZATION;
use sha2::{Digest, Sha256};

/// Length of a SHA-256 hash in bytes.
const HASH_LEN_BYTES: usize = 32;

/// Returns whether the headers contain a bearer token with the given SHA-256 hash in hex.
///
/// The comparison takes constant time.
///
/// # Examples
///
/// ```
/// use celeryknot_callers::token::has_token;
///
/// let sha256 = "2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b";
/// let mut headers = http::HeaderMap::new();
/// assert!(!has_token(&headers, sha256));
/// headers.insert("authorization", "Bearer secret".parse().unwrap());
/// assert!(has_token(&headers, sha256));
/// ```
pub fn has_token(headers: &HeaderMap, sha256_hex: &str) -> bool {
    let Some(expected) = decode_hash(sha256_hex) else {
        return false;
    };
    let Some(token) = bearer_token(headers) else {
        return false;
    };
    let actual = Sha256::digest(token.as_bytes());
    let diff = actual
        .iter()
        .zip(expected)
        .fold(0, |diff, (a, b)| diff | (a ^ b));
    diff == 0
}

fn bearer_token(headers: &HeaderMap) -> Option<&str> {
    let (scheme, token) = headers.get(AUTHORIZATION)?.to_str().ok()?.split_once(' ')?;
    scheme.eq_ignore_ascii_case("bearer").then(|| token.trim())
}

fn decode_hash(hex: &str) -> Option<[u8; HASH_LEN_BYTES]> {
    if hex.len() != 2 * HASH_LEN_BYTES || !hex.is_ascii() {
        return None;
    }
    let mut hash = [0; HASH_LEN_BYTES];
    for (byte, digits) in hash.iter_mut().zip(hex.as_bytes().chunks(2)) {
        *byte = u8::from_str_radix(std::str::from_utf8(digits).ok()?, 16).ok()?;
    }
    Some(hash)
}
