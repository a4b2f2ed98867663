//! One key of the settings: its type, default, range and meaning.

use std::net::SocketAddr;
use std::str::FromStr;

use celeryknot_core::keyed_hash::KEY_LEN_MIN_BYTES;
use celeryknot_core::{DurationMs, ModelName, SizeBytes};

use crate::diagnostic::DiagnosticCode;
use crate::service::RouteRule;

/// Longest accepted free text, such as a version, in bytes.
pub const WORD_LEN_MAX_BYTES: usize = 128;

/// The type of a key's value, with its range.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum KeyType {
    /// A name of a-z, 0-9, `-`, `_` and `.`.
    Name,
    /// Names with commas between them.
    Names,
    /// Names with commas between them, of which some may be the same.
    Words,
    /// An IP address with a port.
    Address,
    /// IP addresses with ports, with commas between them.
    Addresses,
    /// A secret key.
    Secret,
    /// A SHA-256 sum in hex.
    Sha256,
    /// A word of visible ASCII.
    Word,
    /// A size in bytes from the first to the second bound.
    Size(u64, u64),
    /// A length of time in milliseconds from the first to the second bound.
    Duration(u64, u64),
    /// A whole number from the first to the second bound.
    Count(u32, u32),
    /// A number from the first to the second bound.
    Number(f64, f64),
    /// `true` or `false`.
    Flag,
    /// One of the words.
    Choice(&'static [&'static str]),
    /// Rules of a method and a path prefix, with commas between them.
    Routes,
}

/// Whether a key may be left out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Presence {
    /// The key must be given.
    Required,
    /// The key may be left out and then has no value.
    Optional,
    /// The key may be left out and then has this value.
    Default(&'static str),
}

/// One key: parsing, messages and `docs/SETTINGS.md` all come from it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Key {
    /// The section that the key stands in.
    pub section: &'static str,
    /// The key's name.
    pub name: &'static str,
    /// The type of its value.
    pub key_type: KeyType,
    /// Whether it may be left out.
    pub presence: Presence,
    /// A value that is accepted.
    pub example: &'static str,
    /// What it means, in one sentence.
    pub doc: &'static str,
}

/// Why a value is refused.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct ValueFault {
    pub(crate) code: DiagnosticCode,
    pub(crate) reason: String,
}

impl ValueFault {
    fn invalid(reason: impl Into<String>) -> Self {
        Self {
            code: DiagnosticCode::InvalidValue,
            reason: reason.into(),
        }
    }

    fn out_of_range(text: &str, range: &str) -> Self {
        Self {
            code: DiagnosticCode::OutOfRange,
            reason: format!("`{}` is not within {range}", shorten(text)),
        }
    }
}

impl KeyType {
    /// Returns the type and unit as the docs name them.
    pub const fn unit(&self) -> &'static str {
        match self {
            Self::Name => "name",
            Self::Names | Self::Words => "list of names",
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

    /// Returns the accepted range in words.
    pub fn range(&self) -> String {
        match self {
            Self::Name | Self::Names | Self::Words => {
                "1 to 63 of a-z, 0-9, `-`, `_`, `.`".to_owned()
            }
            Self::Address | Self::Addresses => "numeric, such as `10.0.0.1:80`".to_owned(),
            Self::Secret => format!("at least {KEY_LEN_MIN_BYTES} bytes"),
            Self::Sha256 => "64 hex digits".to_owned(),
            Self::Word => format!("1 to {WORD_LEN_MAX_BYTES} visible ASCII bytes"),
            Self::Size(min, max) => format!("{} to {}", SizeBytes(*min), SizeBytes(*max)),
            Self::Duration(min, max) => format!("{} to {}", write_ms(*min), write_ms(*max)),
            Self::Count(min, max) => format!("{min} to {max}"),
            Self::Number(min, max) => format!("{min} to {max}"),
            Self::Flag => "`true`, `false`".to_owned(),
            Self::Choice(words) => {
                let quoted: Vec<String> = words.iter().map(|word| format!("`{word}`")).collect();
                quoted.join(", ")
            }
            Self::Routes => "such as `POST /search`".to_owned(),
        }
    }

    /// Says what a value must be, for messages.
    const fn expected(&self) -> &'static str {
        match self {
            Self::Name | Self::Names | Self::Words => {
                "a name of 1 to 63 of a-z, 0-9, `-`, `_` and `.`"
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

    /// Checks a text against the type and its range.
    pub(crate) fn check(&self, text: &str) -> Result<(), ValueFault> {
        if text.is_empty() {
            let reason = format!("the value is empty, not {}", self.expected());
            return Err(ValueFault::invalid(reason));
        }
        match self {
            Self::Name => self.parse::<ModelName>(text).map(drop),
            Self::Names => self.check_list::<ModelName>(text),
            Self::Words => {
                split_list(text).try_for_each(|item| self.parse::<ModelName>(item).map(drop))
            }
            Self::Address => self.parse::<SocketAddr>(text).map(drop),
            Self::Addresses => self.check_list::<SocketAddr>(text),
            Self::Routes => self.check_list::<RouteRule>(text),
            Self::Flag => self.parse::<bool>(text).map(drop),
            Self::Secret => check_secret(text),
            Self::Sha256 => self.check_form(text, is_sha256(text)),
            Self::Word => self.check_form(text, is_word(text)),
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
                self.check_form(text, number.is_finite())?;
                self.check_range(text, (*min..=*max).contains(&number))
            }
            Self::Choice(words) if words.contains(&text) => Ok(()),
            Self::Choice(_) => Err(ValueFault::invalid(format!(
                "`{}` is none of {}",
                shorten(text),
                self.range()
            ))),
        }
    }

    fn parse<T: FromStr>(&self, text: &str) -> Result<T, ValueFault> {
        text.parse().map_err(|_| self.malformed(text))
    }

    fn malformed(&self, text: &str) -> ValueFault {
        ValueFault::invalid(format!("`{}` is not {}", shorten(text), self.expected()))
    }

    fn check_form(&self, text: &str, is_well_formed: bool) -> Result<(), ValueFault> {
        if is_well_formed {
            return Ok(());
        }
        Err(self.malformed(text))
    }

    fn check_list<T: FromStr>(&self, text: &str) -> Result<(), ValueFault> {
        let mut seen: Vec<&str> = Vec::new();
        for item in split_list(text) {
            self.parse::<T>(item)?;
            if seen.contains(&item) {
                let reason = format!("`{}` stands twice in the list", shorten(item));
                return Err(ValueFault::invalid(reason));
            }
            seen.push(item);
        }
        Ok(())
    }

    fn check_range(&self, text: &str, is_within: bool) -> Result<(), ValueFault> {
        if is_within {
            return Ok(());
        }
        Err(ValueFault::out_of_range(text, &self.range()))
    }
}

/// Splits a list at its commas.
pub(crate) fn split_list(text: &str) -> impl Iterator<Item = &str> {
    text.split(',').map(str::trim)
}

fn check_secret(text: &str) -> Result<(), ValueFault> {
    // The message never shows the secret itself.
    if text.len() < KEY_LEN_MIN_BYTES {
        return Err(ValueFault {
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
    text.len() == 64 && text.bytes().all(|b| b.is_ascii_hexdigit())
}

fn is_word(text: &str) -> bool {
    text.len() <= WORD_LEN_MAX_BYTES && text.bytes().all(|b| b.is_ascii_graphic())
}

/// Writes a length of time in the largest unit that divides it.
fn write_ms(duration_ms: u64) -> String {
    match duration_ms {
        0 => "0".to_owned(),
        ms if ms % 60_000 == 0 => format!("{}min", ms / 60_000),
        ms if ms % 1_000 == 0 => format!("{}s", ms / 1_000),
        ms => format!("{ms}ms"),
    }
}

fn shorten(text: &str) -> String {
    let short: String = text.chars().take(40).collect();
    short.escape_debug().to_string()
}
