//! Why the requests of a chat go where they go.

use celeryknot_core::{
    ChatKey, CustomerName, DurationMs, EndpointCondition, EndpointName, MemberName, ModelName,
    ServiceName, TokenCount, ZoneName,
};
use serde::{Deserialize, Serialize};

/// The chat that an explanation is asked for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExplainQuery {
    /// The service.
    pub service: ServiceName,
    /// The customer.
    pub customer: CustomerName,
    /// The chat's name as callers send it.
    pub chat: String,
    /// The model; the service's first one where absent.
    pub model: Option<ModelName>,
}

impl ExplainQuery {
    /// Reads the query of `/explain`.
    ///
    /// # Errors
    ///
    /// Returns what is missing or wrong, in one line.
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

    /// Writes the query as `/explain` takes it.
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
    let mut rest = text.bytes();
    while let Some(byte) = rest.next() {
        if byte != b'%' {
            bytes.push(byte);
            continue;
        }
        let high = char::from(rest.next()?).to_digit(16)?;
        let low = char::from(rest.next()?).to_digit(16)?;
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

/// The endpoints in the order in which a chat's next request would try them.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Explanation {
    /// The chat that was asked for.
    pub query: ExplainQuery,
    /// The key that stands for the chat.
    pub chat_key: ChatKey,
    /// The snapshot that the ranking was made from.
    pub snapshot_version: u64,
    /// The endpoints: those that may get the request in order, then the others.
    pub endpoints: Vec<ExplainedEndpoint>,
}

/// One endpoint and what speaks for and against it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ExplainedEndpoint {
    /// The endpoint's name.
    pub name: EndpointName,
    /// The endpoint's availability zone.
    pub zone: ZoneName,
    /// The daemon that owns it.
    pub owner: Option<MemberName>,
    /// The place in the ranking, from 1; none where the endpoint is passed over.
    pub rank: Option<u32>,
    /// Estimated time to the first token.
    pub cost_ms: Option<DurationMs>,
    /// Estimated wait, a part of the cost.
    pub wait_ms: Option<DurationMs>,
    /// Tokens of the chat that the endpoint is believed to hold in its cache.
    pub cached_tokens: TokenCount,
    /// Whether the endpoint can bear its full load.
    pub condition: Option<EndpointCondition>,
    /// What speaks against the endpoint, one line each.
    pub objections: Vec<String>,
}
