//! Answers that are streams of events; one that breaks goes on at another endpoint.

use std::rc::Rc;

use celeryknot_core::EndpointName;
use celeryknot_policy::direct::SendHistory;
use http::Response;

use super::body::GatewayBody;
use super::call::Call;
use super::context::Gateway;
use super::forward::pass_stream;
use super::send::Answered;
use crate::boundary::Boundary;

/// Builds the answer of a stream.
pub(super) fn stream_answer<B: Boundary>(
    _gateway: &Rc<Gateway>,
    _call: &Rc<Call>,
    _history: &SendHistory,
    _tried: &[EndpointName],
    answered: Answered,
) -> Response<GatewayBody> {
    pass_stream::<B>(answered)
}
