//! Mutual authentication and negotiation of the protocol version.
//!
//! Both sides sign both nonces, both names, both incarnations and the version, each side under its
//! own purpose, so that an authentication code can be neither replayed nor reflected.

use std::fmt;

use celeryknot_core::keyed_hash::KeyRing;
use celeryknot_core::{Incarnation, MemberName};

use crate::wire::{Hello, Proof, Welcome};

/// The protocol versions that a daemon supports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct VersionRange {
    /// The lowest version.
    pub min: u32,
    /// The highest version.
    pub max: u32,
}

impl Default for VersionRange {
    fn default() -> Self {
        Self { min: 1, max: 1 }
    }
}

impl VersionRange {
    /// Returns the highest version in both ranges.
    ///
    /// # Examples
    ///
    /// ```
    /// use celeryknot_peers::VersionRange;
    ///
    /// let old = VersionRange { min: 1, max: 2 };
    /// assert_eq!(old.highest_common(VersionRange { min: 2, max: 3 }), Some(2));
    /// assert_eq!(old.highest_common(VersionRange { min: 3, max: 4 }), None);
    /// ```
    pub fn highest_common(self, other: VersionRange) -> Option<u32> {
        let max = self.max.min(other.max);
        (max >= self.min.max(other.min)).then_some(max)
    }
}

/// The reason for rejecting a peer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum HandshakeError {
    /// The expected handshake message is missing, or another message was received.
    Unexpected,
    /// A name is invalid or not the expected one.
    WrongName,
    /// The authentication code does not match any key of the ring.
    InvalidAuthCode,
    /// The sides have no version in common.
    NoCommonVersion,
}

impl fmt::Display for HandshakeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Unexpected => "the handshake was not kept to",
            Self::WrongName => "the peer has another name",
            Self::InvalidAuthCode => "the peer holds another key",
            Self::NoCommonVersion => "no protocol version is common",
        })
    }
}

const NONCE_LEN_BYTES: usize = 16;

/// Returns a random nonce for one handshake.
pub(crate) fn generate_nonce() -> Vec<u8> {
    rand::random::<[u8; NONCE_LEN_BYTES]>().to_vec()
}

/// The data that both sides sign.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Transcript {
    client_nonce: Vec<u8>,
    server_nonce: Vec<u8>,
    client: MemberName,
    client_incarnation: Incarnation,
    server: MemberName,
    server_incarnation: Incarnation,
    pub(crate) version: u32,
}

impl Transcript {
    /// Builds the transcript from the two handshake messages.
    pub(crate) fn new(
        hello: &Hello,
        client_incarnation: Incarnation,
        welcome: &Welcome,
        server_incarnation: Incarnation,
    ) -> Result<Self, HandshakeError> {
        let has_valid_nonces =
            hello.nonce.len() == NONCE_LEN_BYTES && welcome.nonce.len() == NONCE_LEN_BYTES;
        if !has_valid_nonces {
            return Err(HandshakeError::Unexpected);
        }
        let parse = |name: &str| name.parse().map_err(|_| HandshakeError::WrongName);
        Ok(Self {
            client_nonce: hello.nonce.clone(),
            server_nonce: welcome.nonce.clone(),
            client: parse(&hello.from)?,
            client_incarnation,
            server: parse(&hello.to)?,
            server_incarnation,
            version: welcome.version,
        })
    }

    /// Returns the name of the daemon that opened the stream.
    pub(crate) fn client(&self) -> &MemberName {
        &self.client
    }

    fn with_signed_parts<T>(&self, action: impl FnOnce(&[&[u8]]) -> T) -> T {
        let incarnations =
            [self.client_incarnation.0, self.server_incarnation.0].map(u64::to_be_bytes);
        action(&[
            &self.client_nonce,
            &self.server_nonce,
            self.client.as_str().as_bytes(),
            self.server.as_str().as_bytes(),
            &incarnations[0],
            &incarnations[1],
            &self.version.to_be_bytes(),
        ])
    }

    pub(crate) fn sign(&self, keys: &KeyRing, side: Side) -> Vec<u8> {
        self.with_signed_parts(|parts| keys.sign(side.purpose(), parts).to_vec())
    }

    pub(crate) fn verify(
        &self,
        keys: &KeyRing,
        side: Side,
        auth_code: &[u8],
    ) -> Result<(), HandshakeError> {
        let is_valid =
            self.with_signed_parts(|parts| keys.verify(side.purpose(), parts, auth_code));
        if is_valid {
            Ok(())
        } else {
            Err(HandshakeError::InvalidAuthCode)
        }
    }
}

/// The side of a stream that signs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Side {
    /// The side that opened the stream.
    Client,
    /// The side that accepted the stream.
    Server,
}

impl Side {
    fn purpose(self) -> &'static str {
        match self {
            Self::Client => "peer-client",
            Self::Server => "peer-server",
        }
    }
}

/// Verifies the server's welcome and returns the client's proof.
pub(crate) fn verify_welcome(
    keys: &KeyRing,
    versions: VersionRange,
    transcript: &Transcript,
    welcome: &Welcome,
) -> Result<Proof, HandshakeError> {
    if !(versions.min..=versions.max).contains(&welcome.version) {
        return Err(HandshakeError::NoCommonVersion);
    }
    transcript.verify(keys, Side::Server, &welcome.auth_code)?;
    Ok(Proof {
        auth_code: transcript.sign(keys, Side::Client),
    })
}
