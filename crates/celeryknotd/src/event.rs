//! Events from traffic threads to the control thread.

use celeryknot_core::endpoint_updates::Observation;
use celeryknot_core::{EndpointName, EndpointSummary, EndpointTag, MemberName};

/// An event from a traffic thread to the control thread.
#[derive(Debug, Clone, PartialEq)]
pub enum TrafficEvent {
    /// The state of an endpoint owned by this daemon changed.
    EndpointChanged {
        /// The endpoint.
        endpoint: EndpointName,
        /// Its current state.
        summary: EndpointSummary,
    },
    /// A request could not be forwarded because the peer was unreachable.
    PeerUnreachable {
        /// The peer.
        member: MemberName,
    },
    /// An endpoint crashed on a part of a prompt, or answered one that was suspected.
    SuspectObserved {
        /// The endpoint.
        endpoint: EndpointTag,
        /// What it did.
        observation: Observation,
    },
    /// An endpoint was polled for its load; its bytes count as control traffic.
    LoadPolled {
        /// Bytes of the poll and its response.
        size_bytes: u32,
    },
}
