//! A daemon's operators API: health, metrics, status and placement explanations.
//!
//! [`Metrics`] holds the metrics of one daemon, [`server`] serves the API from an implementation of
//! [`OperatorsState`], and [`client`] queries it.

pub mod client;
pub mod explanation;
pub mod metrics;
pub mod server;
pub mod status;

pub use client::{ClientError, fetch_explanation, fetch_status};
pub use explanation::{ExplainQuery, ExplainedEndpoint, Explanation};
pub use metrics::{GatewayMetrics, Metrics};
pub use server::{OperatorsState, respond, serve_operators};
pub use status::{
    ControlCounters, ControlStatus, EndpointStatus, MemberStatus, OrderCounts, PlatformCallCounts,
    RolloutStatus, SettingStatus, Status, TrafficStatus, ZoneStatus,
};
