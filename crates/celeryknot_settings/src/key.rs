//! One key of the settings: its type, default, range and meaning.

use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;

use celeryknot_core::keyed_hash::KEY_LEN_MIN_BYTES;
use celeryknot_core::{DurationMs, ModelName, RatePerS, SizeBytes};

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
            Self::Names => "list of names",
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
            Self::Name | Self::Names => "1 to 63 of a-z, 0-9, `-`, `_`, `.`".to_owned(),
            Self::Address | Self::Addresses => "numeric, such as `10.0.0.1:80`".to_owned(),
            Self::Secret => format!("at least {KEY_LEN_MIN_BYTES} bytes"),
            Self::Sha256 => "64 hex digits".to_owned(),
            Self::Word => format!("1 to {WORD_LEN_MAX_BYTES} visible ASCII bytes"),
            Self::Size(min, max) => format!("{} to {}", SizeBytes(*min), SizeBytes(*max)),
            Self::Duration(min, max) => format!("{} to {}", DurationMs(*min), DurationMs(*max)),
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

    /// Checks a text against the type and its range.
    pub(crate) fn check(&self, text: &str) -> Result<(), ValueFault> {
        if text.is_empty() {
            return Err(ValueFault::invalid(format!(
                "the value is empty, not a {}",
                self.unit()
            )));
        }
        match self {
            Self::Name => check_parse::<ModelName>(text),
            Self::Names => check_list::<ModelName>(text),
            Self::Address => check_parse::<SocketAddr>(text),
            Self::Addresses => check_list::<SocketAddr>(text),
            Self::Routes => check_list::<RouteRule>(text),
            Self::Secret => check_secret(text),
            Self::Sha256 => check_sha256(text),
            Self::Word => check_word(text),
            Self::Size(min, max) => {
                let size: SizeBytes = parse(text)?;
                self.check_range(text, (*min..=*max).contains(&size.0))
            }
            Self::Duration(min, max) => {
                let duration: DurationMs = parse(text)?;
                self.check_range(text, (*min..=*max).contains(&duration.0))
            }
            Self::Count(min, max) => {
                let count: u32 = parse(text)?;
                self.check_range(text, (*min..=*max).contains(&count))
            }
            Self::Number(min, max) => {
                let number: RatePerS = parse(text)?;
                self.check_range(text, (*min..=*max).contains(&number.0))
            }
            Self::Flag => check_parse::<bool>(text),
            Self::Choice(words) if words.contains(&text) => Ok(()),
            Self::Choice(_) => Err(ValueFault::invalid(format!(
                "`{}` is none of {}",
                shorten(text),
                self.range()
            ))),
        }
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

fn parse<T: FromStr<Err: fmt::Display>>(text: &str) -> Result<T, ValueFault> {
    text.parse().map_err(|error: T::Err| {
        ValueFault::invalid(format!("`{}` is refused: {error}", shorten(text)))
    })
}

fn check_parse<T: FromStr<Err: fmt::Display>>(text: &str) -> Result<(), ValueFault> {
    parse::<T>(text).map(|_| ())
}

fn check_list<T: FromStr<Err: fmt::Display>>(text: &str) -> Result<(), ValueFault> {
    let mut seen: Vec<&str> = Vec::new();
    for item in split_list(text) {
        parse::<T>(item)?;
        if seen.contains(&item) {
            return Err(ValueFault::invalid(format!(
                "`{}` stands twice in the list",
                shorten(item)
            )));
        }
        seen.push(item);
    }
    Ok(())
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

fn check_sha256(text: &str) -> Result<(), ValueFault> {
    if text.len() == 64 && text.bytes().all(|b| b.is_ascii_hexdigit()) {
        return Ok(());
    }
    Err(ValueFault::invalid("the value is not 64 hex digits"))
}

fn check_word(text: &str) -> Result<(), ValueFault> {
    if text.len() <= WORD_LEN_MAX_BYTES && text.bytes().all(|b| b.is_ascii_graphic()) {
        return Ok(());
    }
    Err(ValueFault::invalid(format!(
        "`{}` is not 1 to {WORD_LEN_MAX_BYTES} visible ASCII bytes",
        shorten(text)
    )))
}

fn shorten(text: &str) -> String {
    let short: String = text.chars().take(40).collect();
    short.escape_debug().to_string()
}
