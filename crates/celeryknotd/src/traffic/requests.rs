//! Requests: as checked by the entry daemon, and as run by an endpoint's owner.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use celeryknot_core::{
    ChatKey, CustomerName, DurationMs, EndpointName, MonotonicMs, RequestId, RequestTag, header,
};
use celeryknot_endpoints::RequestBody;
use celeryknot_policy::admission::AdmissionRequest;
use celeryknot_policy::affinity::AffinityValue;
use celeryknot_policy::attempt::CallSafety;
use celeryknot_policy::chat_cost::ChatCost;
use http::{HeaderMap, HeaderValue, Method, Request};
use smallvec::smallvec;

use super::shared::BodyReservation;
use crate::crash_guard::Suspects;
use crate::snapshot::{EndpointSnapshot, ServiceSnapshot};

/// Parsed properties of a chat completion.
#[derive(Debug, Clone)]
pub(crate) struct ChatDetails {
    pub(crate) key: ChatKey,
    pub(crate) cost: ChatCost,
    pub(crate) affinity: Option<AffinityValue>,
    pub(crate) is_stream: bool,
    /// The tags of the messages; the last one is the part that other prompts don't share.
    pub(crate) parts: Suspects,
}

/// Checked request that is ready for placement.
#[derive(Debug)]
pub(crate) struct ValidatedRequest {
    pub(crate) id: RequestId,
    pub(crate) service: Arc<ServiceSnapshot>,
    pub(crate) customer: CustomerName,
    pub(crate) weight: f64,
    pub(crate) urgency: u8,
    pub(crate) deadline_at: Option<MonotonicMs>,
    pub(crate) safety: CallSafety,
    pub(crate) method: Method,
    pub(crate) path_and_query: String,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    /// Keeps the memory of the body reserved.
    pub(crate) _body_reservation: BodyReservation,
    pub(crate) chat: Option<ChatDetails>,
}

impl ValidatedRequest {
    /// Returns what endpoints may crash on: the parts of a chat, or the whole request.
    pub(crate) fn suspects(&self) -> Suspects {
        match &self.chat {
            Some(chat) => chat.parts.clone(),
            None => smallvec![self.tag().into()],
        }
    }

    /// Returns the tag that equal requests share.
    fn tag(&self) -> RequestTag {
        RequestTag::new(&[
            self.service.team.as_str().as_bytes(),
            self.service.name.as_str().as_bytes(),
            self.method.as_str().as_bytes(),
            self.path_and_query.as_bytes(),
            self.customer.as_str().as_bytes(),
            &self.body,
        ])
    }
}

/// One attempt of a request at one endpoint, as its owner runs it.
#[derive(Debug, Clone)]
pub(crate) struct EndpointAttempt {
    pub(crate) id: RequestId,
    pub(crate) service: Arc<ServiceSnapshot>,
    pub(crate) endpoint: EndpointName,
    pub(crate) customer: CustomerName,
    pub(crate) weight: f64,
    pub(crate) urgency: u8,
    pub(crate) deadline_at: Option<MonotonicMs>,
    pub(crate) safety: CallSafety,
    pub(crate) is_chat: bool,
    pub(crate) needs_complete_answer: bool,
    pub(crate) cost_tokens: u32,
    pub(crate) alternative_wait_ms: Option<DurationMs>,
    pub(crate) method: Method,
    pub(crate) path_and_query: String,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

/// Target of an attempt, with the data that it carries besides the request itself.
#[derive(Debug, Clone, Copy)]
pub(crate) struct AttemptTarget<'a> {
    pub(crate) id: RequestId,
    pub(crate) service: &'a Arc<ServiceSnapshot>,
    pub(crate) endpoint: &'a EndpointSnapshot,
    pub(crate) uncached_tokens: u32,
    pub(crate) alternative_wait_ms: Option<DurationMs>,
    /// Endpoint from which the chat's KV cache may be imported.
    pub(crate) kv_source: Option<SocketAddr>,
    pub(crate) resume_from: Option<u64>,
}

impl ValidatedRequest {
    /// Builds an attempt at an endpoint.
    pub(crate) fn build_attempt(
        &self,
        target: AttemptTarget<'_>,
        now: MonotonicMs,
    ) -> EndpointAttempt {
        let mut headers = self.headers.clone();
        write_router_headers(&mut headers, self, &target, now);
        let cost_tokens = self.chat.as_ref().map_or(1, |chat| {
            let cached = chat
                .cost
                .prompt_tokens
                .saturating_sub(target.uncached_tokens);
            chat.cost.cost_tokens(cached)
        });
        EndpointAttempt {
            id: target.id,
            service: Arc::clone(target.service),
            endpoint: target.endpoint.name.clone(),
            customer: self.customer.clone(),
            weight: self.weight,
            urgency: self.urgency,
            deadline_at: self.deadline_at,
            safety: self.safety,
            is_chat: self.chat.is_some(),
            needs_complete_answer: self.chat.as_ref().is_none_or(|chat| !chat.is_stream),
            cost_tokens,
            alternative_wait_ms: target.alternative_wait_ms,
            method: self.method.clone(),
            path_and_query: self.path_and_query.clone(),
            headers,
            body: self.body.clone(),
        }
    }
}

fn write_router_headers(
    headers: &mut HeaderMap,
    request: &ValidatedRequest,
    target: &AttemptTarget<'_>,
    now: MonotonicMs,
) {
    headers.insert(header::REQUEST_ID, header_value(&target.id));
    headers.insert(header::CUSTOMER, header_value(&request.customer));
    let priority = format!("u={}", request.urgency);
    headers.insert(header::PRIORITY, header_value(&priority));
    if let Some(deadline_at) = request.deadline_at {
        headers.insert(header::DEADLINE_MS, header_value(&(deadline_at - now).0));
    }
    if let Some(chat) = &request.chat {
        headers.insert(header::CHAT, header_value(&chat.key));
    }
    if let Some(source) = target.kv_source {
        headers.insert(header::KV_SOURCE, header_value(&source));
    }
    if let Some(index) = target.resume_from {
        headers.insert(header::RESUME_FROM, header_value(&index));
    }
}

/// Formats an id or a number as a header value.
pub(crate) fn header_value(value: &impl std::fmt::Display) -> HeaderValue {
    HeaderValue::from_str(&value.to_string()).expect("ids and numbers are visible ASCII")
}

impl EndpointAttempt {
    /// Builds the request for admission at the endpoint.
    pub(crate) fn admission_request(&self) -> AdmissionRequest {
        AdmissionRequest::builder(self.id, self.customer.clone())
            .weight(self.weight)
            .urgency(self.urgency)
            .cost_tokens(self.cost_tokens)
            .deadline_at(self.deadline_at)
            .needs_complete_answer(self.needs_complete_answer)
            .alternative_wait_ms(self.alternative_wait_ms)
            .build()
    }

    /// Builds the request that is sent to the endpoint.
    pub(crate) fn request(&self, uri: &str) -> Option<Request<RequestBody>> {
        let mut request = Request::builder()
            .method(self.method.clone())
            .uri(uri)
            .body(RequestBody::new(self.body.clone()))
            .ok()?;
        *request.headers_mut() = self.headers.clone();
        Some(request)
    }
}
