//! The declaration of a settings key: its type, default, range and description.

use std::net::SocketAddr;
use std::str::FromStr;

use celeryknot_core::id::ASSIGNED_NAME_LEN_MAX_BYTES;
use celeryknot_core::keyed_hash::KEY_LEN_MIN_BYTES;
use celeryknot_core::{AssignedName, DurationMs, ModelName, SizeBytes};

use crate::diagnostic::DiagnosticCode;
use crate::service::RouteRule;

/// Maximum length of a free-form word, such as a version.
pub const WORD_LEN_MAX_BYTES: usize = 128;

/// The type of a key's value, with its range.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum KeyType {
    /// A name of a-z, 0-9, `-`, `_` and `.`.
    Name,
    /// Comma-separated names without duplicates.
    Names,
    /// A name that another system assigned.
    AssignedName,
    /// Comma-separated names that another system assigned, without duplicates.
    AssignedNames,
    /// Comma-separated names that another system assigned; duplicates are allowed.
    RepeatableAssignedNames,
    /// An IP address with a port.
    Address,
    /// Comma-separated IP addresses with ports.
    Addresses,
    /// A secret key.
    Secret,
    /// A SHA-256 digest in hex.
    Sha256,
    /// A word of visible ASCII.
    Word,
    /// A size in bytes, with inclusive bounds.
    Size(u64, u64),
    /// A duration in milliseconds, with inclusive bounds.
    Duration(u64, u64),
    /// An integer, with inclusive bounds.
    Count(u32, u32),
    /// A finite number, with inclusive bounds.
    Number(f64, f64),
    /// `true` or `false`.
    Flag,
    /// One of the listed values.
    Choice(&'static [&'static str]),
    /// Comma-separated rules of a method and a path prefix.
    Routes,
}

/// Whether a key may be omitted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Presence {
    /// The key is mandatory.
    Required,
    /// The key may be omitted and then has no value.
    Optional,
    /// The key may be omitted and then has this value.
    Default(&'static str),
}

/// One key; parsing, error messages and `docs/SETTINGS.md` derive from it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Key {
    /// The section of the key.
    pub section: &'static str,
    /// The key's name.
    pub name: &'static str,
    /// The type of its value.
    pub key_type: KeyType,
    /// Whether it may be omitted.
    pub presence: Presence,
    /// A valid value.
    pub example: &'static str,
    /// The description, in one sentence.
    pub doc: &'static str,
}

/// Why a value is rejected.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct ValueError {
    pub(crate) code: DiagnosticCode,
    pub(crate) reason: String,
}

impl ValueError {
    fn invalid(reason: impl Into<String>) -> Self {
        Self {
            code: DiagnosticCode::InvalidValue,
            reason: reason.into(),
        }
    }

    fn out_of_range(text: &str, range: &str) -> Self {
        Self {
            code: DiagnosticCode::OutOfRange,
            reason: format!("`{}` is not within {range}", excerpt(text)),
        }
    }
}

impl KeyType {
    /// Returns the type and unit as the documentation shows them.
    pub const fn unit(&self) -> &'static str {
        match self {
            Self::Name | Self::AssignedName => "name",
            Self::Names | Self::AssignedNames | Self::RepeatableAssignedNames => "list of names",
            Self::Address => "IP address and port",
            Self::Addresses => "list of IP addresses and ports",
            Self::Secret => "secret",
            Self::Sha256 => "SHA-256 in hex",
            Self::Word => "word",
            Self::Size(..) => "size in bytes",
            Self::Duration(..) => "time in milliseconds",
            Self::Count(..) => "whole number",
            Self::Number(..) => "number",
            Self::Flag => "flag",
            Self::Choice(_) => "choice",
            Self::Routes => "list of method and path prefix",
        }
    }

    /// Returns a description of the accepted range.
    pub fn range(&self) -> String {
        match self {
            Self::Name | Self::Names => "1 to 63 of a-z, 0-9, `-`, `_`, `.`".to_owned(),
            Self::AssignedName | Self::AssignedNames | Self::RepeatableAssignedNames => {
                format!("1 to {ASSIGNED_NAME_LEN_MAX_BYTES} bytes without control characters")
            }
            Self::Address | Self::Addresses => "numeric, such as `10.0.0.1:80`".to_owned(),
            Self::Secret => format!("at least {KEY_LEN_MIN_BYTES} bytes"),
            Self::Sha256 => "64 hex digits".to_owned(),
            Self::Word => format!("1 to {WORD_LEN_MAX_BYTES} visible ASCII bytes"),
            Self::Size(min, max) => format!("{} to {}", SizeBytes(*min), SizeBytes(*max)),
            Self::Duration(min, max) => format!("{} to {}", format_ms(*min), format_ms(*max)),
            Self::Count(min, max) => format!("{min} to {max}"),
            Self::Number(min, max) => format!("{min} to {max}"),
            Self::Flag => "`true`, `false`".to_owned(),
            Self::Choice(choices) => {
                let quoted: Vec<String> =
                    choices.iter().map(|choice| format!("`{choice}`")).collect();
                quoted.join(", ")
            }
            Self::Routes => "such as `POST /search`".to_owned(),
        }
    }

    /// Returns a description of a valid value, for error messages.
    const fn expected(&self) -> &'static str {
        match self {
            Self::Name | Self::Names => "a name of 1 to 63 of a-z, 0-9, `-`, `_` and `.`",
            Self::AssignedName | Self::AssignedNames | Self::RepeatableAssignedNames => {
                "a name without control characters"
            }
            Self::Address | Self::Addresses => "an IP address and port such as `10.0.0.1:80`",
            Self::Secret => "a secret key",
            Self::Sha256 => "64 hex digits",
            Self::Word => "a word of visible ASCII, at most 128 bytes",
            Self::Size(..) => "a size such as 512, 8KiB, 1MiB or 2GiB",
            Self::Duration(..) => "a time such as 250, 250ms, 4s or 10min",
            Self::Count(..) => "a whole number",
            Self::Number(..) => "a number",
            Self::Flag => "`true` or `false`",
            Self::Choice(_) => "one of the choices",
            Self::Routes => "a method in capitals and a path, such as `POST /search`",
        }
    }

    /// Validates a text against the type and its range.
    pub(crate) fn check(&self, text: &str) -> Result<(), ValueError> {
        if text.is_empty() {
            let reason = format!("the value is empty, not {}", self.expected());
            return Err(ValueError::invalid(reason));
        }
        match self {
            Self::Name => self.parse::<ModelName>(text).map(drop),
            Self::Names => self.check_list::<ModelName>(text),
            Self::AssignedName => self.parse::<AssignedName>(text).map(drop),
            Self::AssignedNames => self.check_list::<AssignedName>(text),
            Self::RepeatableAssignedNames => {
                split_list(text).try_for_each(|item| self.parse::<AssignedName>(item).map(drop))
            }
            Self::Address => self.parse::<SocketAddr>(text).map(drop),
            Self::Addresses => self.check_list::<SocketAddr>(text),
            Self::Routes => self.check_list::<RouteRule>(text),
            Self::Flag => self.parse::<bool>(text).map(drop),
            Self::Secret => check_secret(text),
            Self::Sha256 => self.check_well_formed(text, is_sha256(text)),
            Self::Word => self.check_well_formed(text, is_word(text)),
            Self::Size(min, max) => {
                let size: SizeBytes = self.parse(text)?;
                self.check_range(text, (*min..=*max).contains(&size.0))
            }
            Self::Duration(min, max) => {
                let duration: DurationMs = self.parse(text)?;
                self.check_range(text, (*min..=*max).contains(&duration.0))
            }
            Self::Count(min, max) => {
                let count: u64 = self.parse(text)?;
                let range = u64::from(*min)..=u64::from(*max);
                self.check_range(text, range.contains(&count))
            }
            Self::Number(min, max) => {
                let number: f64 = self.parse(text)?;
                self.check_well_formed(text, number.is_finite())?;
                self.check_range(text, (*min..=*max).contains(&number))
            }
            Self::Choice(choices) if choices.contains(&text) => Ok(()),
            Self::Choice(_) => Err(ValueError::invalid(format!(
                "`{}` is none of {}",
                excerpt(text),
                self.range()
            ))),
        }
    }

    fn parse<T: FromStr>(&self, text: &str) -> Result<T, ValueError> {
        text.parse().map_err(|_| self.malformed(text))
    }

    fn malformed(&self, text: &str) -> ValueError {
        ValueError::invalid(format!("`{}` is not {}", excerpt(text), self.expected()))
    }

    fn check_well_formed(&self, text: &str, is_well_formed: bool) -> Result<(), ValueError> {
        if is_well_formed {
            return Ok(());
        }
        Err(self.malformed(text))
    }

    fn check_list<T: FromStr>(&self, text: &str) -> Result<(), ValueError> {
        let mut seen: Vec<&str> = Vec::new();
        for item in split_list(text) {
            self.parse::<T>(item)?;
            if seen.contains(&item) {
                let reason = format!("`{}` stands twice in the list", excerpt(item));
                return Err(ValueError::invalid(reason));
            }
            seen.push(item);
        }
        Ok(())
    }

    fn check_range(&self, text: &str, is_within: bool) -> Result<(), ValueError> {
        if is_within {
            return Ok(());
        }
        Err(ValueError::out_of_range(text, &self.range()))
    }
}

/// Splits a comma-separated list into trimmed items.
pub(crate) fn split_list(text: &str) -> impl Iterator<Item = &str> {
    text.split(',').map(str::trim)
}

fn check_secret(text: &str) -> Result<(), ValueError> {
    // The message must not reveal the secret.
    if text.len() < KEY_LEN_MIN_BYTES {
        return Err(ValueError {
            code: DiagnosticCode::OutOfRange,
            reason: format!(
                "the key has {} bytes, fewer than {KEY_LEN_MIN_BYTES}",
                text.len()
            ),
        });
    }
    Ok(())
}

fn is_sha256(text: &str) -> bool {
    text.len() == 64 && text.bytes().all(|byte| byte.is_ascii_hexdigit())
}

fn is_word(text: &str) -> bool {
    text.len() <= WORD_LEN_MAX_BYTES && text.bytes().all(|byte| byte.is_ascii_graphic())
}

/// Formats a duration in the largest unit that divides it.
fn format_ms(duration_ms: u64) -> String {
    match duration_ms {
        0 => "0".to_owned(),
        ms if ms % 60_000 == 0 => format!("{}min", ms / 60_000),
        ms if ms % 1_000 == 0 => format!("{}s", ms / 1_000),
        ms => format!("{ms}ms"),
    }
}

fn excerpt(text: &str) -> String {
    let excerpt: String = text.chars().take(40).collect();
    excerpt.escape_debug().to_string()
}
