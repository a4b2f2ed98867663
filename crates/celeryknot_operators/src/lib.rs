//! The operators' side of a daemon: metrics, status, explanations and health.
//!
//! [`Metrics`] holds one daemon's metrics, [`server`] answers operators from
//! whatever implements [`OperatorsState`], and [`client`] asks a daemon.

pub mod client;
pub mod explanation;
pub mod metrics;
pub mod server;
pub mod status;

pub use client::{ClientError, fetch_explanation, fetch_status};
pub use explanation::{ExplainQuery, ExplainedEndpoint, Explanation};
pub use metrics::{GatewayMetrics, Metrics};
pub use server::{OperatorsState, answer, serve_operators};
pub use status::{
    ControlCounters, ControlStatus, EndpointStatus, MemberStatus, OrderCounts, PlatformCallCounts,
    RolloutStatus, SettingStatus, Status, TrafficStatus, ZoneStatus,
};
