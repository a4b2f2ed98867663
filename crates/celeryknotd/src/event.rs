//! What traffic threads tell the control thread.

use celeryknot_core::{EndpointName, EndpointSummary, MemberName};

/// A message from a traffic thread to the control thread.
#[derive(Debug, Clone, PartialEq)]
pub enum TrafficEvent {
    /// The state of an endpoint that this daemon owns has changed.
    EndpointChanged {
        /// The endpoint.
        endpoint: EndpointName,
        /// Its state now.
        summary: EndpointSummary,
    },
    /// A peer could not be reached while a request was handed to it.
    PeerUnreachable {
        /// The peer.
        member: MemberName,
    },
    /// An endpoint was probed, which counts as control traffic.
    Probed {
        /// Bytes of the probe and its answer.
        size_bytes: u32,
    },
}
