//! The state of an endpoint as daemons exchange it.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter, EnumString, IntoStaticStr};

use crate::time::DurationMs;

/// Whether an endpoint can carry its full load.
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
    /// The endpoint accepts its full load.
    Warm,
    /// The endpoint is in cold start, or its state is still unknown.
    #[default]
    Cold,
    /// The endpoint has warmed up and is in slow start towards its full load.
    Ramping,
    /// The endpoint is ejected because of slow, failed or missing responses.
    #[strum(serialize = "sick")]
    #[serde(rename = "sick")]
    Unhealthy,
}

/// The state of one endpoint as its owner reports it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointSummary {
    /// Requests in flight at the endpoint.
    pub in_flight: u32,
    /// Requests queued at the owner.
    pub queued: u32,
    /// The owner's current concurrency limit for the endpoint.
    pub in_flight_max: u32,
    /// Expected queueing time of a new request of default priority.
    pub wait_ms: DurationMs,
    /// Whether the endpoint can carry its full load.
    pub condition: EndpointCondition,
}
