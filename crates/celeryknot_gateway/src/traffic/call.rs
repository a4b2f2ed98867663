//! One caller's request on its way to an endpoint.

use std::sync::Arc;

use bytes::Bytes;
use celeryknot_callers::hop_by_hop;
use celeryknot_core::{CustomerName, DurationMs, MonotonicMs, ServiceName, ZoneName};
use celeryknot_endpoints::RequestBody;
use celeryknot_policy::direct::Placement;
use celeryknot_policy::routing::Route;
use http::{HeaderMap, Method, Request, Uri, header};
use smallvec::SmallVec;

use crate::boundary::{Boundary, CallHead, SendHead};

/// A caller's request, checked and read whole.
#[derive(Debug)]
pub(crate) struct Call {
    pub(crate) head: CallHead,
    pub(crate) route: Arc<Route>,
    pub(crate) service: ServiceName,
    pub(crate) customer: Option<CustomerName>,
    pub(crate) priority: u8,
    /// The zones whose endpoints may run the request; `None` if all may.
    pub(crate) allowed_zones: Option<SmallVec<[ZoneName; 4]>>,
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    /// What the caller sent, less what concerns its connection only.
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    /// When the final answer is due.
    pub(crate) ends_at: MonotonicMs,
    pub(crate) configuration_version: u64,
}

/// Removes the fields that concern the caller's connection only.
pub(crate) fn keep_end_to_end(headers: &mut HeaderMap) {
    hop_by_hop::strip(headers);
    headers.remove(header::CONTENT_LENGTH);
    headers.remove(header::EXPECT);
}

impl Call {
    /// Builds the request as it is sent to an endpoint.
    pub(crate) fn request<B: Boundary>(
        &self,
        placement: &Placement,
        left_ms: DurationMs,
        last_event_id: Option<&str>,
    ) -> Request<RequestBody> {
        let mut request = Request::new(RequestBody::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        let mut headers = self.headers.clone();
        let send = SendHead {
            deadline_ms: left_ms,
            endpoint: &placement.endpoint,
            customer: self.customer.as_ref(),
            priority: self.priority,
            fetch_from: placement.fetch_from,
            last_event_id,
        };
        B::write_send(&mut headers, &send);
        *request.headers_mut() = headers;
        request
    }
}
