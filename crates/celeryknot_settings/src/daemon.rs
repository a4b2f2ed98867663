//! A daemon's settings file.

use std::net::{Ipv4Addr, SocketAddr};

use celeryknot_core::keyed_hash::KeyRing;
use celeryknot_core::{DurationMs, MemberName, SizeBytes, ZoneName};
use strum::{Display, EnumString, IntoStaticStr, VariantNames};

use crate::builder::setters;
use crate::diagnostic::{Diagnostic, DiagnosticCode};
use crate::fields::Fields;
use crate::key_table::DAEMON_KEYS;

/// The format of log lines.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Display, EnumString, IntoStaticStr, VariantNames,
)]
#[strum(serialize_all = "kebab-case")]
pub enum LogFormat {
    /// Human-readable lines.
    #[default]
    Human,
    /// One JSON object per line.
    Json,
}

/// The settings that a daemon needs before it can connect to the platform.
#[derive(Debug, Clone, PartialEq)]
pub struct DaemonSettings {
    /// `[daemon] name`: the daemon's name in the platform's instance list.
    pub name: MemberName,
    /// `[daemon] zone`: the availability zone that the daemon runs in.
    pub zone: ZoneName,
    /// `[daemon] traffic_threads`: number of traffic threads.
    pub traffic_threads: u32,
    /// `[listen] callers`: listen address for callers.
    pub callers_address: SocketAddr,
    /// `[listen] peers`: listen address for control traffic of other daemons.
    pub peers_address: SocketAddr,
    /// `[listen] forwards`: listen address for requests that other daemons forward.
    pub forwards_address: SocketAddr,
    /// `[listen] operators`: listen address for health, metrics, status and explanations.
    pub operators_address: SocketAddr,
    /// `[platform] addresses`: replicas of the platform's service, tried in order.
    pub platform_addresses: Vec<SocketAddr>,
    /// `[keys] peers`, `peers_previous`: keys that authenticate daemons to each other.
    pub peer_keys: KeyRing,
    /// `[keys] callers`, `callers_previous`: keys that sign tickets and affinity values.
    pub caller_keys: KeyRing,
    /// `[limits] control_bytes_per_s`: maximum control traffic sent per second.
    pub control_bytes_per_s: SizeBytes,
    /// `[limits] connections_max`: maximum number of open caller connections.
    pub connections_max: u32,
    /// `[limits] header_size_max_bytes`: maximum size of a request's header block.
    pub header_size_max_bytes: SizeBytes,
    /// `[limits] header_timeout_ms`: timeout for receiving a header block.
    pub header_timeout_ms: DurationMs,
    /// `[limits] body_timeout_ms`: idle timeout within a request body.
    pub body_timeout_ms: DurationMs,
    /// `[limits] shutdown_settle_ms`: time for the load balancer to notice that the daemon is
    /// draining; callers are still accepted meanwhile.
    pub shutdown_settle_ms: DurationMs,
    /// `[limits] shutdown_grace_ms`: maximum time for requests in flight to finish.
    pub shutdown_grace_ms: DurationMs,
    /// `[limits] readers_per_zone`: number of daemons per zone that watch the platform.
    pub readers_per_zone: u32,
    /// `[log] format`: the format of log lines.
    pub log_format: LogFormat,
}

impl DaemonSettings {
    /// Creates a builder with the defaults, ephemeral loopback ports and example keys.
    ///
    /// # Examples
    ///
    /// ```
    /// use celeryknot_settings::DaemonSettings;
    ///
    /// let settings = DaemonSettings::builder("entry-1".parse()?, "hkd-a".parse()?)
    ///     .traffic_threads(1)
    ///     .build();
    /// assert_eq!(settings.traffic_threads, 1);
    /// # Ok::<(), celeryknot_core::IdError>(())
    /// ```
    pub fn builder(name: MemberName, zone: ZoneName) -> DaemonSettingsBuilder {
        let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        DaemonSettingsBuilder {
            settings: Self {
                name,
                zone,
                traffic_threads: 2,
                callers_address: any_port,
                peers_address: any_port,
                forwards_address: any_port,
                operators_address: any_port,
                platform_addresses: Vec::new(),
                peer_keys: KeyRing::new("an-example-key-for-peers", None),
                caller_keys: KeyRing::new("an-example-key-for-callers", None),
                control_bytes_per_s: SizeBytes(8 << 10),
                connections_max: 4096,
                header_size_max_bytes: SizeBytes(16 << 10),
                header_timeout_ms: DurationMs(5_000),
                body_timeout_ms: DurationMs(10_000),
                shutdown_settle_ms: DurationMs(1_000),
                shutdown_grace_ms: DurationMs(30_000),
                readers_per_zone: 2,
                log_format: LogFormat::Human,
            },
        }
    }

    /// Parses and validates the text of a daemon's file.
    ///
    /// # Errors
    ///
    /// Returns all findings, without a source; see [`Diagnostic::in_source`].
    ///
    /// # Examples
    ///
    /// ```
    /// use celeryknot_settings::DaemonSettings;
    ///
    /// let findings = DaemonSettings::parse("[daemon]\nnmae = entry-1\n").unwrap_err();
    /// assert!(findings.iter().any(|finding| finding.nearest.as_deref() == Some("name")));
    /// ```
    pub fn parse(text: &str) -> Result<Self, Vec<Diagnostic>> {
        let fields = Fields::parse(DAEMON_KEYS, text)?;
        let settings = Self::from_fields(&fields);
        let conflicts = settings.find_conflicts(&fields);
        if conflicts.is_empty() {
            return Ok(settings);
        }
        Err(conflicts)
    }

    fn from_fields(fields: &Fields<'_>) -> Self {
        Self {
            name: fields.get("daemon", "name"),
            zone: fields.get("daemon", "zone"),
            traffic_threads: fields.get("daemon", "traffic_threads"),
            callers_address: fields.get("listen", "callers"),
            peers_address: fields.get("listen", "peers"),
            forwards_address: fields.get("listen", "forwards"),
            operators_address: fields.get("listen", "operators"),
            platform_addresses: fields.list("platform", "addresses"),
            peer_keys: read_key_ring(fields, "peers", "peers_previous"),
            caller_keys: read_key_ring(fields, "callers", "callers_previous"),
            control_bytes_per_s: fields.get("limits", "control_bytes_per_s"),
            connections_max: fields.get("limits", "connections_max"),
            header_size_max_bytes: fields.get("limits", "header_size_max_bytes"),
            header_timeout_ms: fields.get("limits", "header_timeout_ms"),
            body_timeout_ms: fields.get("limits", "body_timeout_ms"),
            shutdown_settle_ms: fields.get("limits", "shutdown_settle_ms"),
            shutdown_grace_ms: fields.get("limits", "shutdown_grace_ms"),
            readers_per_zone: fields.get("limits", "readers_per_zone"),
            log_format: fields.get("log", "format"),
        }
    }

    fn find_conflicts(&self, fields: &Fields<'_>) -> Vec<Diagnostic> {
        let mut findings = self.find_address_conflicts(fields);
        findings.extend(find_key_conflicts(fields));
        findings.sort_by_key(|diagnostic| diagnostic.line);
        findings
    }

    fn find_address_conflicts(&self, fields: &Fields<'_>) -> Vec<Diagnostic> {
        let listen_addresses = [
            ("callers", self.callers_address),
            ("peers", self.peers_address),
            ("forwards", self.forwards_address),
            ("operators", self.operators_address),
        ];
        let mut findings = Vec::new();
        for (index, (name, address)) in listen_addresses.iter().enumerate() {
            let line = fields.line("listen", name);
            // Port 0 requests an ephemeral port, so two of them do not conflict.
            let earlier = listen_addresses[..index]
                .iter()
                .find(|(_, other)| address.port() != 0 && addresses_conflict(*address, *other));
            if let Some((other_name, other)) = earlier {
                let reason = format!("`{name}` = {address} clashes with `{other_name}` = {other}");
                findings.push(Diagnostic::new(DiagnosticCode::Conflict, line, reason));
            }
            if self.platform_addresses.contains(address) {
                let reason = format!("`{name}` = {address} is also a platform address");
                findings.push(Diagnostic::new(DiagnosticCode::Conflict, line, reason));
            }
        }
        findings
    }
}

/// Returns whether two listeners can't bind these addresses at the same time.
fn addresses_conflict(one: SocketAddr, other: SocketAddr) -> bool {
    let is_same_ip =
        one.ip() == other.ip() || one.ip().is_unspecified() || other.ip().is_unspecified();
    is_same_ip && one.port() == other.port()
}

fn read_key_ring(fields: &Fields<'_>, current: &str, previous: &str) -> KeyRing {
    let current: String = fields.get("keys", current);
    let previous: Option<String> = fields.optional("keys", previous);
    KeyRing::new(&current, previous.as_deref())
}

fn find_key_conflicts(fields: &Fields<'_>) -> Vec<Diagnostic> {
    const DISTINCT_KEYS: [(&str, &str, &str); 3] = [
        ("peers", "callers", "peers and callers need different keys"),
        (
            "peers",
            "peers_previous",
            "the previous key is the same as the current one",
        ),
        (
            "callers",
            "callers_previous",
            "the previous key is the same as the current one",
        ),
    ];
    let key = |name| fields.optional::<String>("keys", name);
    DISTINCT_KEYS
        .iter()
        .filter(|(one, other, _)| key(one) == key(other))
        .map(|(one, other, reason)| {
            let reason = format!("`{one}` and `{other}`: {reason}");
            let line = fields.line("keys", other);
            Diagnostic::new(DiagnosticCode::Conflict, line, reason)
        })
        .collect()
}

/// Builds [`DaemonSettings`].
#[derive(Debug, Clone)]
pub struct DaemonSettingsBuilder {
    settings: DaemonSettings,
}

impl DaemonSettingsBuilder {
    setters!(DaemonSettings {
        traffic_threads: u32,
        callers_address: SocketAddr,
        peers_address: SocketAddr,
        forwards_address: SocketAddr,
        operators_address: SocketAddr,
        platform_addresses: Vec<SocketAddr>,
        peer_keys: KeyRing,
        caller_keys: KeyRing,
        control_bytes_per_s: SizeBytes,
        connections_max: u32,
        header_size_max_bytes: SizeBytes,
        header_timeout_ms: DurationMs,
        body_timeout_ms: DurationMs,
        shutdown_settle_ms: DurationMs,
        shutdown_grace_ms: DurationMs,
        readers_per_zone: u32,
        log_format: LogFormat,
    });

    /// Returns the settings.
    pub fn build(self) -> DaemonSettings {
        self.settings
    }
}
