//! The daemon's own settings file.

use std::net::SocketAddr;

use celeryknot_core::keyed_hash::KeyRing;
use celeryknot_core::{DurationMs, MemberName, SizeBytes, ZoneName};
use strum::{Display, EnumString, IntoStaticStr, VariantNames};

/// The form of log lines.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Display, EnumString, IntoStaticStr, VariantNames,
)]
#[strum(serialize_all = "kebab-case")]
pub enum LogFormat {
    /// Lines for people.
    #[default]
    Human,
    /// One JSON object a line.
    Json,
}

/// What a daemon must know before it can reach the platform.
#[derive(Debug, Clone, PartialEq)]
pub struct DaemonSettings {
    /// `[daemon] name`: the daemon's name in the platform's instance list.
    pub name: MemberName,
    /// `[daemon] zone`: the availability zone that the daemon runs in.
    pub zone: ZoneName,
    /// `[daemon] traffic_threads`: threads that carry traffic.
    pub traffic_threads: u32,
    /// `[listen] callers`: where callers connect.
    pub callers_address: SocketAddr,
    /// `[listen] peers`: where other daemons connect.
    pub peers_address: SocketAddr,
    /// `[listen] forwards`: where other daemons hand over requests.
    pub forwards_address: SocketAddr,
    /// `[listen] operators`: health, metrics, status and explanations.
    pub operators_address: SocketAddr,
    /// `[platform] addresses`: replicas of the platform's service, tried in turn.
    pub platform_addresses: Vec<SocketAddr>,
    /// `[keys] peers`, `peers_previous`: authenticate daemons to each other.
    pub peer_keys: KeyRing,
    /// `[keys] callers`, `callers_previous`: sign tickets and affinity values.
    pub caller_keys: KeyRing,
    /// `[limits] control_bytes_per_s`: most bytes of control traffic sent in a second.
    pub control_bytes_per_s: SizeBytes,
    /// `[limits] connections_max`: most open connections of callers.
    pub connections_max: u32,
    /// `[limits] header_size_max_bytes`: largest header block of a caller.
    pub header_size_max_bytes: SizeBytes,
    /// `[limits] header_timeout_ms`: longest time for a header block to arrive.
    pub header_timeout_ms: DurationMs,
    /// `[limits] body_timeout_ms`: longest silence within a request body.
    pub body_timeout_ms: DurationMs,
    /// `[limits] shutdown_grace_ms`: longest time for requests in flight to end.
    pub shutdown_grace_ms: DurationMs,
    /// `[limits] readers_per_zone`: daemons in each zone that watch the platform.
    pub readers_per_zone: u32,
    /// `[log] format`: the form of log lines.
    pub log_format: LogFormat,
}
