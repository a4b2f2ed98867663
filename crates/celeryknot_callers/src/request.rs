//! Parsing of a caller's request, independent of the settings.

use celeryknot_core::{
    CustomerName, DurationMs, ErrorKind, ModelName, PromptTag, RequestId, ServiceName, TokenCount,
    header,
};
use http::header::AsHeaderName;
use http::request::Parts;
use http::{HeaderMap, HeaderName, HeaderValue, Method};
use serde::Deserialize;
use serde_json::value::RawValue;
use smallvec::SmallVec;

use crate::framing::check_framing;
use crate::head_scanner::AmbiguousFraming;

/// Longest chat name in bytes.
pub const CHAT_LEN_MAX_BYTES: usize = 128;

/// Urgency of a request without a `Priority` field (RFC 9218).
pub const URGENCY_DEFAULT: u8 = 3;

/// Highest value, which is the least urgent one (RFC 9218).
const URGENCY_MAX: u8 = 7;

/// Limit on the tickets issued per request.
const TICKETS_PER_REQUEST_MAX: u32 = 100;

/// Assumed bytes per token, for estimating the tokens of a prompt.
const TOKEN_SIZE_ESTIMATE_BYTES: usize = 4;

/// Path of chat completions within a model service.
pub const CHAT_COMPLETIONS_PATH: &str = "/v1/chat/completions";

/// The target of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Target {
    /// A call to a service.
    Service {
        /// The service.
        service: ServiceName,
        /// The path and query as sent to the endpoint.
        path_and_query: String,
    },
    /// A request for new tickets.
    Tickets {
        /// The service that the tickets are for.
        service: ServiceName,
        /// The number of tickets.
        count: u32,
    },
}

/// The parsed head of a caller's request.
#[derive(Debug, Clone)]
pub struct CallerRequest {
    /// The target of the request.
    pub target: Target,
    /// The method.
    pub method: Method,
    /// The customer named by the caller.
    pub customer: CustomerName,
    /// The chat, if the caller names one.
    pub chat: Option<String>,
    /// The remaining time that the caller waits for the response.
    pub deadline_ms: Option<DurationMs>,
    /// The urgency, 0 to 7.
    pub urgency: u8,
    /// The affinity value of an earlier response.
    pub affinity: Option<String>,
    /// The idempotency key, which may be a ticket.
    pub idempotency_key: Option<String>,
}

impl CallerRequest {
    /// Parses and validates the head of a request.
    ///
    /// # Errors
    ///
    /// Returns the kind of the first error found.
    ///
    /// # Examples
    ///
    /// ```
    /// use celeryknot_callers::CallerRequest;
    /// use celeryknot_core::ErrorKind;
    ///
    /// let (parts, ()) = http::Request::get("/case-svc/records/7").body(()).unwrap().into_parts();
    /// assert_eq!(CallerRequest::parse(&parts).unwrap_err(), ErrorKind::MissingCustomer);
    /// ```
    pub fn parse(parts: &Parts) -> Result<Self, ErrorKind> {
        if parts.extensions.get::<AmbiguousFraming>().is_some() {
            return Err(ErrorKind::MalformedRequest);
        }
        check_framing(&parts.headers)?;
        let target = parse_target(parts)?;
        let customer = single_value(&parts.headers, header::CUSTOMER)?
            .ok_or(ErrorKind::MissingCustomer)?
            .parse()
            .map_err(|_| ErrorKind::UnknownCustomer)?;
        Ok(Self {
            target,
            method: parts.method.clone(),
            customer,
            chat: parse_chat(&parts.headers)?,
            deadline_ms: parse_deadline(&parts.headers)?,
            urgency: parse_urgency(&parts.headers),
            affinity: single_value(&parts.headers, header::AFFINITY)?.map(str::to_owned),
            idempotency_key: single_value(&parts.headers, header::IDEMPOTENCY_KEY)?.map(unquote),
        })
    }
}

fn parse_target(parts: &Parts) -> Result<Target, ErrorKind> {
    let path = parts.uri.path();
    if path == "/-/tickets" {
        return parse_tickets(parts);
    }
    let rest = path.strip_prefix('/').ok_or(ErrorKind::MalformedRequest)?;
    let (service, _) = rest.split_once('/').ok_or(ErrorKind::UnknownService)?;
    if has_dot_segment(path) {
        return Err(ErrorKind::MalformedRequest);
    }
    let mut path_and_query = path[1 + service.len()..].to_owned();
    if let Some(query) = parts.uri.query() {
        path_and_query.push('?');
        path_and_query.push_str(query);
    }
    let service = service.parse().map_err(|_| ErrorKind::UnknownService)?;
    Ok(Target::Service {
        service,
        path_and_query,
    })
}

/// Returns whether the path has a dot segment, which could escape the path prefix of a rule.
fn has_dot_segment(path: &str) -> bool {
    path.split('/').any(|segment| {
        let decoded = segment.to_ascii_lowercase().replace("%2e", ".");
        matches!(decoded.as_str(), "." | "..")
    })
}

fn parse_tickets(parts: &Parts) -> Result<Target, ErrorKind> {
    if parts.method != Method::POST {
        return Err(ErrorKind::MethodNotAllowed);
    }
    let mut service = None;
    let mut count = 1;
    for pair in parts.uri.query().unwrap_or_default().split('&') {
        match pair.split_once('=') {
            Some(("service", name)) => service = name.parse().ok(),
            Some(("count", text)) => {
                count = text.parse().map_err(|_| ErrorKind::MalformedRequest)?;
            }
            Some(_) | None => return Err(ErrorKind::MalformedRequest),
        }
    }
    if count == 0 || count > TICKETS_PER_REQUEST_MAX {
        return Err(ErrorKind::MalformedRequest);
    }
    let service = service.ok_or(ErrorKind::UnknownService)?;
    Ok(Target::Tickets { service, count })
}

/// Returns the value of a header field that may occur only once.
///
/// # Errors
///
/// `MalformedRequest` if the field occurs more than once or is not text.
pub fn single_value(
    headers: &HeaderMap,
    name: impl AsHeaderName,
) -> Result<Option<&str>, ErrorKind> {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return Err(ErrorKind::MalformedRequest);
    }
    let text = value.to_str().map_err(|_| ErrorKind::MalformedRequest)?;
    Ok(Some(text.trim()))
}

fn parse_chat(headers: &HeaderMap) -> Result<Option<String>, ErrorKind> {
    let Some(chat) = single_value(headers, header::CHAT)? else {
        return Ok(None);
    };
    let is_visible = chat.bytes().all(|byte| byte.is_ascii_graphic());
    if chat.is_empty() || chat.len() > CHAT_LEN_MAX_BYTES || !is_visible {
        return Err(ErrorKind::MalformedRequest);
    }
    Ok(Some(chat.to_owned()))
}

fn parse_deadline(headers: &HeaderMap) -> Result<Option<DurationMs>, ErrorKind> {
    let Some(text) = single_value(headers, header::DEADLINE_MS)? else {
        return Ok(None);
    };
    let is_number = !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit());
    if !is_number {
        return Err(ErrorKind::MalformedRequest);
    }
    let deadline_ms = text.parse().map_err(|_| ErrorKind::MalformedRequest)?;
    if deadline_ms == 0 {
        return Err(ErrorKind::DeadlinePast);
    }
    Ok(Some(DurationMs(deadline_ms)))
}

/// Parses the urgency, ignoring invalid values as RFC 9218 requires.
fn parse_urgency(headers: &HeaderMap) -> u8 {
    headers
        .get_all(header::PRIORITY)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|item| item.trim().strip_prefix("u=")?.parse().ok())
        .find(|urgency| *urgency <= URGENCY_MAX)
        .unwrap_or(URGENCY_DEFAULT)
}

/// Unquotes a key, which the draft of the `Idempotency-Key` header defines as a quoted string.
fn unquote(text: &str) -> String {
    text.strip_prefix('"')
        .and_then(|rest| rest.strip_suffix('"'))
        .unwrap_or(text)
        .to_owned()
}

/// Request header fields that must not reach an endpoint.
const UNFORWARDED_FIELDS: [&str; 7] = [
    header::CUSTOMER,
    header::CHAT,
    header::DEADLINE_MS,
    header::AFFINITY,
    header::IDEMPOTENCY_KEY,
    header::PRIORITY,
    "authorization",
];

/// Removes the header fields of a caller that the router does not forward.
///
/// These include hop-by-hop fields, and all `celeryknot-*` fields, so that a caller can't forge the
/// router's fields.
pub fn retain_end_to_end_headers(headers: &mut HeaderMap) {
    crate::hop_by_hop::strip(headers);
    for name in UNFORWARDED_FIELDS
        .into_iter()
        .chain(["host", "content-length", "expect"])
    {
        headers.remove(name);
    }
    let router_fields: Vec<HeaderName> = headers
        .keys()
        .filter(|name| name.as_str().starts_with("celeryknot-"))
        .cloned()
        .collect();
    for name in router_fields {
        headers.remove(name);
    }
}

/// Inserts the header fields that the router adds to every request to an endpoint.
pub fn insert_router_headers(headers: &mut HeaderMap, request: &CallerRequest, id: RequestId) {
    let text = |text: String| HeaderValue::from_str(&text).expect("ids are visible ASCII");
    headers.insert(header::REQUEST_ID, text(id.to_string()));
    headers.insert(header::CUSTOMER, text(request.customer.to_string()));
    headers.insert(header::PRIORITY, text(format!("u={}", request.urgency)));
}

/// The fields of a chat completion request that the router uses.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ChatCompletion {
    /// The model, if the caller names one.
    pub model: Option<ModelName>,
    /// Whether the caller requests a streamed response.
    pub stream: bool,
    /// The limit on the tokens of the response, if given.
    pub answer_tokens_max: Option<TokenCount>,
    /// The estimated tokens of the prompt.
    pub prompt_tokens: TokenCount,
    /// The tags of the first and the last messages, at most [`TAGGED_MESSAGES_MAX`].
    pub message_tags: SmallVec<[PromptTag; 4]>,
}

/// Limit on the tagged messages of a chat: prompts share their first messages with others, and the
/// last ones with their own repetitions.
pub const TAGGED_MESSAGES_MAX: usize = 16;

#[derive(Deserialize)]
struct ChatCompletionPayload<'a> {
    model: Option<String>,
    #[serde(default)]
    stream: Option<bool>,
    max_tokens: Option<u32>,
    max_completion_tokens: Option<u32>,
    #[serde(borrow)]
    messages: Vec<&'a RawValue>,
}

impl ChatCompletion {
    /// Parses the body of a chat completion request.
    ///
    /// # Errors
    ///
    /// `MalformedRequest` if the body is not a chat completion request, `UnknownModel` if the model
    /// is not a valid model name.
    ///
    /// # Examples
    ///
    /// ```
    /// use celeryknot_callers::ChatCompletion;
    ///
    /// let body = br#"{"model": "wakai-8b", "messages": [{"role": "user", "content": "hi"}]}"#;
    /// assert!(!ChatCompletion::parse(body)?.stream);
    /// # Ok::<(), celeryknot_core::ErrorKind>(())
    /// ```
    pub fn parse(body: &[u8]) -> Result<Self, ErrorKind> {
        let payload: ChatCompletionPayload =
            serde_json::from_slice(body).map_err(|_| ErrorKind::MalformedRequest)?;
        if payload.messages.is_empty() {
            return Err(ErrorKind::MalformedRequest);
        }
        let model = payload
            .model
            .map(|name| name.parse().map_err(|_| ErrorKind::UnknownModel))
            .transpose()?;
        let prompt_tokens =
            u32::try_from(body.len() / TOKEN_SIZE_ESTIMATE_BYTES).unwrap_or(u32::MAX);
        Ok(Self {
            model,
            stream: payload.stream.unwrap_or(false),
            answer_tokens_max: payload
                .max_completion_tokens
                .or(payload.max_tokens)
                .map(TokenCount),
            prompt_tokens: TokenCount(prompt_tokens),
            message_tags: message_tags(&payload.messages),
        })
    }
}

fn message_tags(messages: &[&RawValue]) -> SmallVec<[PromptTag; 4]> {
    let half = TAGGED_MESSAGES_MAX / 2;
    let untagged = half..messages.len().saturating_sub(half).max(half);
    let tagged = messages.iter().enumerate();
    tagged
        .filter(|(index, _)| !untagged.contains(index))
        .map(|(_, message)| PromptTag::new(message.get().as_bytes()))
        .collect()
}
