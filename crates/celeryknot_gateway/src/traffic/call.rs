//! A caller's request and its encoding for an endpoint.

use std::sync::Arc;

use bytes::Bytes;
use celeryknot_callers::hop_by_hop;
use celeryknot_core::{CustomerName, DurationMs, MonotonicMs, RequestTag, ServiceName, ZoneName};
use celeryknot_endpoints::{EventId, RequestBody};
use celeryknot_policy::direct::{Placement, Prompt};
use celeryknot_policy::routing::{Route, RouteKind};
use http::{HeaderMap, Method, Request, Uri, header};
use smallvec::SmallVec;

use crate::platform_protocol::{AttemptHead, CallerRequestHead, PlatformProtocol, TakenUpStream};

/// A validated caller's request with its complete body.
#[derive(Debug)]
pub(crate) struct Call {
    pub(crate) head: CallerRequestHead,
    pub(crate) route: Arc<Route>,
    pub(crate) service: ServiceName,
    pub(crate) customer: Option<CustomerName>,
    pub(crate) priority: u8,
    /// The zones whose endpoints may run the request; `None` if all may.
    pub(crate) allowed_zones: Option<SmallVec<[ZoneName; 4]>>,
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    /// The caller's headers without those of its connection.
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    /// Identifies equal requests.
    pub(crate) tag: RequestTag,
    /// When the request's head arrived.
    pub(crate) arrived_at: MonotonicMs,
    /// The deadline for the final response.
    pub(crate) deadline: MonotonicMs,
    pub(crate) configuration_version: u64,
}

/// Removes the headers that apply only to the caller's connection.
pub(crate) fn strip_connection_headers(headers: &mut HeaderMap) {
    hop_by_hop::strip(headers);
    headers.remove(header::CONTENT_LENGTH);
    headers.remove(header::EXPECT);
}

impl Call {
    /// Sets the complete body, and the tag that follows from it.
    pub(crate) fn with_body(self, body: Bytes) -> Self {
        let target = self.uri.path_and_query().map_or("", |it| it.as_str());
        let customer = self.customer.as_ref().map_or("", |it| it.as_str());
        // Bodies may be equal where prompts differ.
        let prompt = self.head.prompt.iter().flat_map(Prompt::parts);
        let prompt: SmallVec<[u8; 64]> = prompt.flat_map(|part| part.id.to_le_bytes()).collect();
        let tag = RequestTag::new(&[
            self.method.as_str().as_bytes(),
            self.head.host.as_bytes(),
            target.as_bytes(),
            customer.as_bytes(),
            &prompt,
            &body,
        ]);
        Self { body, tag, ..self }
    }

    /// Returns the stream that the caller takes up, if endpoints can go on with it.
    pub(crate) fn taken_up(&self) -> Option<&TakenUpStream> {
        let taken_up = self.head.taken_up.as_ref();
        taken_up.filter(|_| self.route.kind == RouteKind::ResumableStream)
    }

    /// Returns the tag of the stream that begins with an attempt of the caller.
    pub(crate) fn stream_tag(&self, first_request_id: &str) -> RequestTag {
        let customer = self.customer.as_ref().map_or("", |it| it.as_str());
        RequestTag::new(&[
            self.service.as_str().as_bytes(),
            customer.as_bytes(),
            first_request_id.as_bytes(),
        ])
    }

    /// Builds the request to an endpoint.
    pub(crate) fn request<P: PlatformProtocol>(
        &self,
        placement: &Placement,
        remaining_ms: DurationMs,
        last_event_id: Option<&EventId>,
    ) -> Request<RequestBody> {
        let mut request = Request::new(RequestBody::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        let mut headers = self.headers.clone();
        let attempt = AttemptHead {
            deadline_ms: remaining_ms,
            endpoint: &placement.endpoint,
            customer: self.customer.as_ref(),
            priority: self.priority,
            fetch_from: placement.fetch_from,
            last_event_id,
        };
        P::write_attempt_headers(&mut headers, &attempt);
        *request.headers_mut() = headers;
        request
    }
}
