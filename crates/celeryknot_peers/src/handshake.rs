//! Mutual authentication and the choice of a protocol version.
//!
//! Both sides sign both nonces, both names, both lives and the version, each for its own
//! purpose, so that no code can be replayed or sent back to its maker.

use std::fmt;

use celeryknot_core::keyed_hash::KeyRing;
use celeryknot_core::{Incarnation, MemberName};

use crate::wire::{Hello, Proof, Welcome};

/// The versions of the protocol that a daemon speaks.
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
    /// Returns the highest version that both ranges hold.
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

/// Why a peer is turned away.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum HandshakeError {
    /// Nothing, or another message, came in place of the handshake's.
    Unexpected,
    /// A name can't be read or is not the one that was expected.
    WrongName,
    /// The code is not made with a key of the ring.
    WrongCode,
    /// No version is common.
    NoCommonVersion,
}

impl fmt::Display for HandshakeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Unexpected => "the handshake was not kept to",
            Self::WrongName => "the peer has another name",
            Self::WrongCode => "the peer holds another key",
            Self::NoCommonVersion => "no protocol version is common",
        })
    }
}

const NONCE_LEN_BYTES: usize = 16;

/// Returns a nonce for one handshake.
pub(crate) fn draw_nonce() -> Vec<u8> {
    rand::random::<[u8; NONCE_LEN_BYTES]>().to_vec()
}

/// What both sides sign.
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
    /// Puts the transcript together from the two greetings.
    pub(crate) fn new(
        hello: &Hello,
        client_incarnation: Incarnation,
        welcome: &Welcome,
        server_incarnation: Incarnation,
    ) -> Result<Self, HandshakeError> {
        let lens_fit =
            hello.nonce.len() == NONCE_LEN_BYTES && welcome.nonce.len() == NONCE_LEN_BYTES;
        if !lens_fit {
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

    /// Returns the name of the side that opened the stream.
    pub(crate) fn client(&self) -> &MemberName {
        &self.client
    }

    fn with_parts<T>(&self, use_parts: impl FnOnce(&[&[u8]]) -> T) -> T {
        let numbers = [self.client_incarnation.0, self.server_incarnation.0].map(u64::to_be_bytes);
        use_parts(&[
            &self.client_nonce,
            &self.server_nonce,
            self.client.as_str().as_bytes(),
            self.server.as_str().as_bytes(),
            &numbers[0],
            &numbers[1],
            &self.version.to_be_bytes(),
        ])
    }

    pub(crate) fn sign(&self, keys: &KeyRing, side: Side) -> Vec<u8> {
        self.with_parts(|parts| keys.sign(side.purpose(), parts).to_vec())
    }

    pub(crate) fn verify(
        &self,
        keys: &KeyRing,
        side: Side,
        code: &[u8],
    ) -> Result<(), HandshakeError> {
        let is_valid = self.with_parts(|parts| keys.verify(side.purpose(), parts, code));
        if is_valid {
            Ok(())
        } else {
            Err(HandshakeError::WrongCode)
        }
    }
}

/// The side of a stream that signs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Side {
    /// The one that opened the stream.
    Client,
    /// The one that accepted it.
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

/// Checks the accepting side's greeting and returns the proof that answers it.
pub(crate) fn answer_welcome(
    keys: &KeyRing,
    versions: VersionRange,
    transcript: &Transcript,
    welcome: &Welcome,
) -> Result<Proof, HandshakeError> {
    if !(versions.min..=versions.max).contains(&welcome.version) {
        return Err(HandshakeError::NoCommonVersion);
    }
    transcript.verify(keys, Side::Server, &welcome.code)?;
    Ok(Proof {
        code: transcript.sign(keys, Side::Client),
    })
}
