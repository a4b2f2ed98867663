//! The text form of a ticket.

use std::fmt;

use celeryknot_core::keyed_hash::KeyRing;
use celeryknot_core::{CustomerName, Incarnation, MemberName, ServiceName};
use strum::{Display, EnumIter, IntoStaticStr};

use crate::affinity::parse_auth_code;

const PURPOSE: &str = "ticket";
const VERSION: &str = "t1";
const SEPARATOR: char = '~';
/// Maximum length of the text form of a ticket.
pub const TICKET_LEN_MAX_BYTES: usize = 320;

/// Why a text is not a ticket of this fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum TicketError {
    /// The text does not have the form of a ticket: it is a key chosen by the caller.
    NotATicket,
    /// The text has the form of a ticket, but no valid signature of this fleet.
    Forged,
}

/// A server-issued idempotency key.
///
/// # Examples
///
/// ```
/// use celeryknot_core::{Incarnation, keyed_hash::KeyRing};
/// use celeryknot_policy::ticket::Ticket;
///
/// let keys = KeyRing::new("an example key of 24 byte", None);
/// let ticket = Ticket {
///     issuer: "daemon-1".parse()?,
///     incarnation: Incarnation(7),
///     counter: 3,
///     customer: "otaru".parse()?,
///     service: "case-svc".parse()?,
/// };
/// let text = ticket.to_text(&keys);
/// assert_eq!(Ticket::parse(&text, &keys), Ok(ticket));
/// # Ok::<(), celeryknot_core::IdError>(())
/// ```
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Ticket {
    /// The daemon that issued the ticket.
    pub issuer: MemberName,
    /// The issuer's incarnation that issued the ticket, the only one that may run it.
    pub incarnation: Incarnation,
    /// The ticket's number within that incarnation.
    pub counter: u64,
    /// The customer that may use the ticket.
    pub customer: CustomerName,
    /// The service that the ticket is for.
    pub service: ServiceName,
}

impl fmt::Display for Ticket {
    /// Writes the ticket without its signature, for logs.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{VERSION}{SEPARATOR}{}{SEPARATOR}{}{SEPARATOR}{:x}{SEPARATOR}{}{SEPARATOR}{}",
            self.issuer, self.incarnation, self.counter, self.customer, self.service
        )
    }
}

impl Ticket {
    /// Returns the ticket as URL-safe text, signed with the current key.
    pub fn to_text(&self, keys: &KeyRing) -> String {
        let body = self.to_string();
        let code = u128::from_be_bytes(keys.sign(PURPOSE, &[body.as_bytes()]));
        format!("{body}{SEPARATOR}{code:032x}")
    }

    /// Parses and verifies a ticket, with or without the quotes of a structured header string.
    ///
    /// # Errors
    ///
    /// Distinguishes a key chosen by the caller from a forged or damaged ticket.
    pub fn parse(text: &str, keys: &KeyRing) -> Result<Self, TicketError> {
        let text = unquote(text.trim());
        if text.len() > TICKET_LEN_MAX_BYTES || !has_ticket_prefix(text) {
            return Err(TicketError::NotATicket);
        }
        let (body, code) = text.rsplit_once(SEPARATOR).ok_or(TicketError::Forged)?;
        let code = parse_auth_code(code).ok_or(TicketError::Forged)?;
        if !keys.verify(PURPOSE, &[body.as_bytes()], &code) {
            return Err(TicketError::Forged);
        }
        parse_body(body).ok_or(TicketError::Forged)
    }
}

fn unquote(text: &str) -> &str {
    text.strip_prefix('"')
        .and_then(|rest| rest.strip_suffix('"'))
        .unwrap_or(text)
}

fn has_ticket_prefix(text: &str) -> bool {
    text.strip_prefix(VERSION)
        .is_some_and(|rest| rest.starts_with(SEPARATOR))
}

fn parse_body(body: &str) -> Option<Ticket> {
    let mut fields = body.split(SEPARATOR).skip(1);
    let ticket = Ticket {
        issuer: fields.next()?.parse().ok()?,
        incarnation: fields.next()?.parse().ok()?,
        counter: u64::from_str_radix(fields.next()?, 16).ok()?,
        customer: fields.next()?.parse().ok()?,
        service: fields.next()?.parse().ok()?,
    };
    fields.next().is_none().then_some(ticket)
}
