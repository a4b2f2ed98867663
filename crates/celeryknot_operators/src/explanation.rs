//! Explanations of where the requests of a chat are placed.

use celeryknot_core::{
    ChatKey, CustomerName, DurationMs, EndpointCondition, EndpointName, MemberName, ModelName,
    ServiceName, TokenCount, ZoneName,
};
use serde::{Deserialize, Serialize};

/// The chat to explain.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExplainQuery {
    /// The service.
    pub service: ServiceName,
    /// The customer.
    pub customer: CustomerName,
    /// The chat ID as callers send it.
    pub chat: String,
    /// The model; defaults to the service's first one.
    pub model: Option<ModelName>,
}

impl ExplainQuery {
    /// Parses the query string of `/explain`.
    ///
    /// # Errors
    ///
    /// Returns a one-line message that names the missing or invalid parameter.
    ///
    /// # Examples
    ///
    /// ```
    /// use celeryknot_operators::ExplainQuery;
    ///
    /// let query = ExplainQuery::parse("service=wakai-llm&customer=otaru&chat=file%2017")?;
    /// assert_eq!(query.chat, "file 17");
    /// assert_eq!(ExplainQuery::parse("service=wakai-llm"), Err("`customer` is missing".to_owned()));
    /// # Ok::<(), String>(())
    /// ```
    pub fn parse(query: &str) -> Result<Self, String> {
        let mut service = None;
        let mut customer = None;
        let mut chat = None;
        let mut model = None;
        for pair in query.split('&').filter(|pair| !pair.is_empty()) {
            let (name, value) = pair.split_once('=').unwrap_or((pair, ""));
            let value = decode_percent(value).ok_or(format!("`{name}` is not percent-encoded"))?;
            match name {
                "service" => service = Some(parse_name(name, &value)?),
                "customer" => customer = Some(parse_name(name, &value)?),
                "model" => model = Some(parse_name(name, &value)?),
                "chat" => chat = Some(value),
                other => return Err(format!("`{other}` is not known here")),
            }
        }
        Ok(Self {
            service: service.ok_or("`service` is missing")?,
            customer: customer.ok_or("`customer` is missing")?,
            chat: chat
                .filter(|chat| !chat.is_empty())
                .ok_or("`chat` is missing")?,
            model,
        })
    }

    /// Formats the query string for `/explain`.
    ///
    /// # Examples
    ///
    /// ```
    /// use celeryknot_operators::ExplainQuery;
    ///
    /// let query = ExplainQuery::parse("chat=a%26b&customer=otaru&service=wakai-llm")?;
    /// assert_eq!(query.to_query(), "service=wakai-llm&customer=otaru&chat=a%26b");
    /// # Ok::<(), String>(())
    /// ```
    pub fn to_query(&self) -> String {
        let chat = encode_percent(&self.chat);
        let mut query = format!(
            "service={}&customer={}&chat={chat}",
            self.service, self.customer
        );
        if let Some(model) = &self.model {
            query.push_str("&model=");
            query.push_str(model.as_str());
        }
        query
    }
}

fn parse_name<T: std::str::FromStr<Err: std::fmt::Display>>(
    name: &str,
    value: &str,
) -> Result<T, String> {
    value
        .parse()
        .map_err(|error: T::Err| format!("`{name}`: {error}"))
}

fn decode_percent(text: &str) -> Option<String> {
    let mut bytes = Vec::with_capacity(text.len());
    let mut remaining = text.bytes();
    while let Some(byte) = remaining.next() {
        if byte != b'%' {
            bytes.push(byte);
            continue;
        }
        let high = char::from(remaining.next()?).to_digit(16)?;
        let low = char::from(remaining.next()?).to_digit(16)?;
        bytes.push(u8::try_from(high * 16 + low).ok()?);
    }
    String::from_utf8(bytes).ok()
}

fn encode_percent(text: &str) -> String {
    let mut encoded = String::with_capacity(text.len());
    for byte in text.bytes() {
        if byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.' | b'~') {
            encoded.push(char::from(byte));
        } else {
            encoded.push_str(&format!("%{byte:02X}"));
        }
    }
    encoded
}

/// The endpoints, ranked for the next request of a chat.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Explanation {
    /// The query.
    pub query: ExplainQuery,
    /// The key of the chat.
    pub chat_key: ChatKey,
    /// The version of the snapshot that the ranking is computed from.
    pub snapshot_version: u64,
    /// The eligible endpoints in ranking order, then the others.
    pub endpoints: Vec<ExplainedEndpoint>,
}

/// One endpoint and the factors of its ranking.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ExplainedEndpoint {
    /// The endpoint's name.
    pub name: EndpointName,
    /// The endpoint's availability zone.
    pub zone: ZoneName,
    /// The daemon that owns it.
    pub owner: Option<MemberName>,
    /// The rank, from 1; `None` if the endpoint is not eligible.
    pub rank: Option<u32>,
    /// Estimated time to the first token.
    pub cost_ms: Option<DurationMs>,
    /// Estimated wait, which is part of the cost.
    pub wait_ms: Option<DurationMs>,
    /// Estimated number of the chat's tokens in the endpoint's prefix cache.
    pub cached_tokens: TokenCount,
    /// The condition that the owner reports; `None` without a report.
    pub condition: Option<EndpointCondition>,
    /// The reasons against the endpoint, one line each.
    pub objections: Vec<String>,
}
