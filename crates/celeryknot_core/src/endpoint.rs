//! What daemons tell each other about an endpoint.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter, EnumString, IntoStaticStr};

use crate::time::DurationMs;

/// Whether an endpoint can bear its full load.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    Hash,
    Display,
    EnumIter,
    EnumString,
    IntoStaticStr,
    Serialize,
    Deserialize,
)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum EndpointCondition {
    /// The endpoint takes its full load.
    Warm,
    /// The endpoint is in cold start, or nothing is known of it yet.
    #[default]
    Cold,
    /// The endpoint has warmed up and is ramped to its full load.
    Ramping,
    /// The endpoint is passed over for slow, failing or missing answers.
    Sick,
}

/// The state of one endpoint as its owner sees it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointSummary {
    /// Requests in flight at the endpoint.
    pub in_flight: u32,
    /// Requests that wait at the owner.
    pub queued: u32,
    /// Most requests that the owner admits now.
    pub in_flight_max: u32,
    /// Expected wait of a new request of ordinary priority.
    pub wait_ms: DurationMs,
    /// Whether the endpoint can bear its full load.
    pub condition: EndpointCondition,
}
