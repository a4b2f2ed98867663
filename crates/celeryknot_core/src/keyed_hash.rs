//! Message authentication codes with keys from the settings.

use std::fmt;

use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;

/// Minimum length of a key in bytes.
pub const KEY_LEN_MIN_BYTES: usize = 16;

/// Length of an authentication code in bytes.
pub const AUTH_CODE_LEN_BYTES: usize = 16;

/// A truncated HMAC-SHA256 code.
pub type AuthCode = [u8; AUTH_CODE_LEN_BYTES];

/// One or two secret keys: the first signs and both verify, which allows key rotation.
#[derive(Clone, PartialEq, Eq)]
pub struct KeyRing {
    current: Vec<u8>,
    previous: Option<Vec<u8>>,
}

impl fmt::Debug for KeyRing {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("KeyRing").finish_non_exhaustive()
    }
}

impl KeyRing {
    /// Builds a key ring from the current key and, during a rotation, the previous one.
    pub fn new(current: &str, previous: Option<&str>) -> Self {
        Self {
            current: current.as_bytes().to_vec(),
            previous: previous.map(|key| key.as_bytes().to_vec()),
        }
    }

    /// Returns whether each key ring verifies the codes that the other one signs.
    ///
    /// # Examples
    ///
    /// ```
    /// use celeryknot_core::keyed_hash::KeyRing;
    ///
    /// let before = KeyRing::new("the key before the change", None);
    /// let during = KeyRing::new("the key after the change", Some("the key before the change"));
    /// let after = KeyRing::new("the key after the change", None);
    /// assert!(during.shares_key_with(&during.clone()));
    /// assert!(!before.shares_key_with(&after));
    /// assert!(!before.shares_key_with(&during), "codes signed by `during` are rejected by `before`");
    /// ```
    pub fn shares_key_with(&self, other: &Self) -> bool {
        self.accepts(&other.current) && other.accepts(&self.current)
    }

    fn accepts(&self, key: &[u8]) -> bool {
        self.current == key || self.previous.as_deref() == Some(key)
    }

    /// Signs the parts with the current key.
    ///
    /// # Examples
    ///
    /// ```
    /// use celeryknot_core::keyed_hash::KeyRing;
    ///
    /// let ring = KeyRing::new("an example key of 24 byte", None);
    /// let code = ring.sign("ticket", &[b"one", b"two"]);
    /// assert!(ring.verify("ticket", &[b"one", b"two"], &code));
    /// assert!(!ring.verify("ticket", &[b"onet", b"wo"], &code));
    /// ```
    pub fn sign(&self, purpose: &str, parts: &[&[u8]]) -> AuthCode {
        let mut code = [0; AUTH_CODE_LEN_BYTES];
        let full = keyed_mac(&self.current, purpose, parts)
            .finalize()
            .into_bytes();
        code.copy_from_slice(&full[..AUTH_CODE_LEN_BYTES]);
        code
    }

    /// Returns whether a code was signed for the same purpose and parts with a key of the ring.
    pub fn verify(&self, purpose: &str, parts: &[&[u8]], code: &[u8]) -> bool {
        if code.len() != AUTH_CODE_LEN_BYTES {
            return false;
        }
        std::iter::once(&self.current)
            .chain(self.previous.as_ref())
            .any(|key| {
                keyed_mac(key, purpose, parts)
                    .verify_truncated_left(code)
                    .is_ok()
            })
    }
}

fn keyed_mac(key: &[u8], purpose: &str, parts: &[&[u8]]) -> Hmac<Sha256> {
    let mut mac = Hmac::<Sha256>::new_from_slice(key).expect("HMAC takes keys of any length");
    for part in std::iter::once(purpose.as_bytes()).chain(parts.iter().copied()) {
        mac.update(&(part.len() as u64).to_be_bytes());
        mac.update(part);
    }
    mac
}
