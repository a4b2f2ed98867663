//! Names and numeric ids, each with its own type.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use xxhash_rust::xxh3::xxh3_64;

/// Maximum length of a name in bytes.
pub const NAME_LEN_MAX_BYTES: usize = 63;

/// Maximum length of a name that another system assigned, in bytes.
pub const ASSIGNED_NAME_LEN_MAX_BYTES: usize = 1 << 10;

/// The error returned when a text is not a valid id.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct IdError {
    kind: &'static str,
    rule: IdRule,
    text: String,
}

/// The rule that a text breaks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum IdRule {
    Own,
    Assigned,
}

impl IdError {
    fn new(kind: &'static str, text: &str) -> Self {
        Self {
            kind,
            rule: IdRule::Own,
            text: text.chars().take(NAME_LEN_MAX_BYTES + 1).collect(),
        }
    }

    fn assigned(kind: &'static str, text: &str) -> Self {
        Self {
            rule: IdRule::Assigned,
            ..Self::new(kind, text)
        }
    }
}

impl fmt::Display for IdError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "`{}` is not a {}: ", self.text.escape_debug(), self.kind)?;
        match self.rule {
            IdRule::Own => write!(
                f,
                "use 1 to {NAME_LEN_MAX_BYTES} of a-z, 0-9, `-`, `_` and `.`"
            ),
            IdRule::Assigned => write!(
                f,
                "use 1 to {ASSIGNED_NAME_LEN_MAX_BYTES} bytes of text without control characters \
                 and without spaces around it"
            ),
        }
    }
}

impl std::error::Error for IdError {}

fn is_name(text: &str) -> bool {
    !text.is_empty()
        && text.len() <= NAME_LEN_MAX_BYTES
        && text.bytes().all(|b| {
            b.is_ascii_lowercase() || b.is_ascii_digit() || matches!(b, b'-' | b'_' | b'.')
        })
}

/// A name that another system assigned: any text that a header field holds unchanged.
///
/// # Examples
///
/// ```
/// use celeryknot_core::{AssignedName, CustomerName};
///
/// let name: AssignedName = "Otaru-Minami".parse()?;
/// assert_eq!(CustomerName::from(name), CustomerName::assigned("Otaru-Minami")?);
/// assert!("Otaru-Minami".parse::<CustomerName>().is_err(), "not one of our own");
/// assert!("otaru\n".parse::<AssignedName>().is_err());
/// # Ok::<(), celeryknot_core::IdError>(())
/// ```
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AssignedName(Arc<str>);

impl FromStr for AssignedName {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, IdError> {
        let is_whole = !text.is_empty() && text.trim() == text;
        // A replacement character stands for bytes that could not be read.
        let is_unreadable = |c: char| c.is_control() || c == char::REPLACEMENT_CHARACTER;
        match is_whole && text.len() <= ASSIGNED_NAME_LEN_MAX_BYTES && !text.contains(is_unreadable)
        {
            true => Ok(Self(Arc::from(text))),
            false => Err(IdError::assigned("name", text)),
        }
    }
}

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident, $kind:literal) => {
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(Arc<str>);

        impl $name {
            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }

            /// Creates a name that another system assigned.
            ///
            /// # Errors
            ///
            /// Fails if it is no [`AssignedName`].
            pub fn assigned(text: &str) -> Result<Self, IdError> {
                match text.parse::<AssignedName>() {
                    Ok(name) => Ok(name.into()),
                    Err(_) => Err(IdError::assigned($kind, text)),
                }
            }
        }

        impl From<AssignedName> for $name {
            fn from(name: AssignedName) -> Self {
                Self(name.0)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{:?}", &*self.0)
            }
        }

        impl FromStr for $name {
            type Err = IdError;

            fn from_str(text: &str) -> Result<Self, IdError> {
                if !is_name(text) {
                    return Err(IdError::new($kind, text));
                }
                Ok(Self(Arc::from(text)))
            }
        }

        impl TryFrom<String> for $name {
            type Error = IdError;

            fn try_from(text: String) -> Result<Self, IdError> {
                text.parse()
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> String {
                name.0.to_string()
            }
        }
    };
}

name_type!(
    /// The name of a team, which owns one subtree of the settings.
    TeamName, "team name"
);
name_type!(
    /// The name of a customer.
    CustomerName, "customer name"
);
name_type!(
    /// The name of a service, such as `wakai-llm` or `case-svc`.
    ServiceName, "service name"
);
name_type!(
    /// The name of a model that a service offers.
    ModelName, "model name"
);
name_type!(
    /// The name of a region, which contains availability zones.
    RegionName, "region name"
);
name_type!(
    /// The name of an availability zone.
    ZoneName, "zone name"
);
name_type!(
    /// The name of a daemon in the platform's instance list.
    MemberName, "member name"
);
name_type!(
    /// The name of an endpoint in the platform's instance list.
    EndpointName, "endpoint name"
);

/// Maximum length of a settings path in bytes.
pub const PATH_LEN_MAX_BYTES: usize = 255;

/// The path of a value in the configuration service, such as
/// `teams/kinrin/services/wakai-llm`.
///
/// # Examples
///
/// ```
/// use celeryknot_core::SettingPath;
///
/// let path: SettingPath = "teams/kinrin/services/wakai-llm".parse()?;
/// assert_eq!(path.team().map(|team| team.to_string()), Some("kinrin".to_owned()));
/// # Ok::<(), celeryknot_core::IdError>(())
/// ```
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct SettingPath(Arc<str>);

impl SettingPath {
    /// Returns the path as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// Returns the team whose subtree contains the path, if any.
    pub fn team(&self) -> Option<TeamName> {
        let rest = self.0.strip_prefix("teams/")?;
        rest.split('/').next()?.parse().ok()
    }
}

impl fmt::Display for SettingPath {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl fmt::Debug for SettingPath {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?}", &*self.0)
    }
}

impl FromStr for SettingPath {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, IdError> {
        if text.len() > PATH_LEN_MAX_BYTES || !text.split('/').all(is_name) {
            return Err(IdError::new("settings path", text));
        }
        Ok(Self(Arc::from(text)))
    }
}

impl TryFrom<String> for SettingPath {
    type Error = IdError;

    fn try_from(text: String) -> Result<Self, IdError> {
        text.parse()
    }
}

impl From<SettingPath> for String {
    fn from(path: SettingPath) -> String {
        path.0.to_string()
    }
}

macro_rules! number_type {
    ($(#[$doc:meta])* $name:ident, $kind:literal) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{}", self.0)
            }
        }

        impl FromStr for $name {
            type Err = IdError;

            fn from_str(text: &str) -> Result<Self, IdError> {
                text.parse().map(Self).map_err(|_| IdError::new($kind, text))
            }
        }
    };
}

number_type!(
    /// The platform's revision number of a value or list; it only increases.
    Revision, "revision"
);

macro_rules! hex_type {
    ($(#[$doc:meta])* $name:ident, $number:ty, $digits:literal, $kind:literal) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub $number);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{:01$x}", self.0, $digits)
            }
        }

        impl FromStr for $name {
            type Err = IdError;

            fn from_str(text: &str) -> Result<Self, IdError> {
                if text.len() != $digits {
                    return Err(IdError::new($kind, text));
                }
                <$number>::from_str_radix(text, 16)
                    .map(Self)
                    .map_err(|_| IdError::new($kind, text))
            }
        }
    };
}

hex_type!(
    /// One run of a daemon process, identified by a random number drawn at its start.
    Incarnation, u64, 16, "incarnation"
);
hex_type!(
    /// Identifies one request on its way from the caller to the endpoint and back.
    RequestId, u64, 16, "request id"
);
hex_type!(
    /// The hash that identifies one chat of one customer with one model.
    ChatKey, u64, 16, "chat key"
);

hex_type!(
    /// A four-byte hash of an endpoint's name for messages between daemons.
    EndpointTag, u32, 8, "endpoint tag"
);
hex_type!(
    /// The hash that identifies the shared parts of a prompt in messages between daemons.
    PromptTag, u32, 8, "prompt tag"
);

hex_type!(
    /// The hash that identifies equal requests: same caller, target and content.
    RequestTag, u64, 16, "request tag"
);

impl RequestTag {
    /// Returns the tag of a request with these fields, in their order.
    ///
    /// Cryptographic, so that nobody can make up a request with the tag of another one.
    ///
    /// # Examples
    ///
    /// ```
    /// use celeryknot_core::RequestTag;
    ///
    /// let tag = RequestTag::new(&[b"GET", b"/records/7", b"otaru", b""]);
    /// assert_eq!(tag, RequestTag::new(&[b"GET", b"/records/7", b"otaru", b""]));
    /// assert_ne!(tag, RequestTag::new(&[b"GET", b"/records/", b"7otaru", b""]));
    /// ```
    pub fn new(fields: &[&[u8]]) -> Self {
        let mut hasher = Sha256::new();
        for field in fields {
            hasher.update((field.len() as u64).to_le_bytes());
            hasher.update(field);
        }
        let digest = hasher.finalize();
        let tag = digest.first_chunk().expect("a digest has 32 bytes");
        Self(u64::from_le_bytes(*tag))
    }
}

impl PromptTag {
    /// Returns the tag of a part with this content.
    ///
    /// # Examples
    ///
    /// ```
    /// use celeryknot_core::PromptTag;
    ///
    /// assert_eq!(PromptTag::new(b"a part"), PromptTag::new(b"a part"));
    /// assert_ne!(PromptTag::new(b"a part"), PromptTag::new(b"another"));
    /// ```
    pub fn new(content: &[u8]) -> Self {
        Self(xxh3_64(content) as u32)
    }
}

/// What endpoints may crash on: a part that prompts share, or all equal requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum SuspectTag {
    /// A part of prompts.
    Part(PromptTag),
    /// Requests that are equal.
    Request(RequestTag),
}

impl SuspectTag {
    /// Returns the part of prompts, if it is one.
    pub fn part(self) -> Option<PromptTag> {
        match self {
            Self::Part(part) => Some(part),
            Self::Request(_) => None,
        }
    }

    /// Returns the tag of the requests, if it is one.
    pub fn request(self) -> Option<RequestTag> {
        match self {
            Self::Part(_) => None,
            Self::Request(request) => Some(request),
        }
    }

    /// Returns a number for rendezvous hashing.
    pub fn hash_key(self) -> u64 {
        match self {
            Self::Part(part) => u64::from(part.0),
            Self::Request(request) => request.0,
        }
    }
}

impl fmt::Display for SuspectTag {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Part(part) => part.fmt(f),
            Self::Request(request) => request.fmt(f),
        }
    }
}

impl From<PromptTag> for SuspectTag {
    fn from(part: PromptTag) -> Self {
        Self::Part(part)
    }
}

impl From<RequestTag> for SuspectTag {
    fn from(request: RequestTag) -> Self {
        Self::Request(request)
    }
}

impl EndpointTag {
    /// Returns the tag of an endpoint.
    ///
    /// # Examples
    ///
    /// ```
    /// use celeryknot_core::EndpointTag;
    ///
    /// let tag = EndpointTag::new(&"engine-1".parse()?);
    /// assert_eq!(tag.to_string().parse::<EndpointTag>()?, tag);
    /// # Ok::<(), celeryknot_core::IdError>(())
    /// ```
    pub fn new(name: &EndpointName) -> Self {
        Self(rendezvous_score(0, name.as_str()) as u32)
    }
}

impl ChatKey {
    /// Hashes the service, model, customer and chat name that identify a chat.
    ///
    /// # Examples
    ///
    /// ```
    /// use celeryknot_core::ChatKey;
    ///
    /// let service = "wakai-llm".parse()?;
    /// let model = "wakai-8b".parse()?;
    /// let one = ChatKey::new(&service, &model, &"otaru".parse()?, "chat-1");
    /// let other = ChatKey::new(&service, &model, &"hakodate".parse()?, "chat-1");
    /// assert_ne!(one, other);
    /// # Ok::<(), celeryknot_core::IdError>(())
    /// ```
    pub fn new(
        service: &ServiceName,
        model: &ModelName,
        customer: &CustomerName,
        chat: &str,
    ) -> Self {
        let text = format!("{service}\0{model}\0{customer}\0{chat}");
        Self(xxh3_64(text.as_bytes()))
    }
}

/// Scores a candidate for a key by highest-random-weight (rendezvous) hashing.
///
/// Every process that ranks the same candidates for the same key gets the same order, and the
/// removal of one candidate moves only the keys that were assigned to it.
///
/// # Examples
///
/// ```
/// use celeryknot_core::id::rendezvous_score;
///
/// assert_eq!(rendezvous_score(7, "engine-1"), rendezvous_score(7, "engine-1"));
/// assert_ne!(rendezvous_score(7, "engine-1"), rendezvous_score(7, "engine-2"));
/// ```
pub fn rendezvous_score(key: u64, candidate: &str) -> u64 {
    xxhash_rust::xxh3::xxh3_64_with_seed(candidate.as_bytes(), key)
}
