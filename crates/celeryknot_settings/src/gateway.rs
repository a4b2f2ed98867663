//! The settings file of a gateway: a daemon that routes by the platform's configuration.

use std::net::SocketAddr;

use celeryknot_core::{AssignedName, DurationMs, MemberName, RegionName, ZoneName};
use strum::{Display, EnumString, IntoStaticStr, VariantNames};

use crate::builder::setters;
use crate::diagnostic::{Diagnostic, DiagnosticCode};
use crate::fields::Fields;
use crate::key_table::GATEWAY_KEYS;

/// Whether requests go to endpoints of the daemon's own zone first.
///
/// # Examples
///
/// ```
/// use celeryknot_settings::ZonePreference;
///
/// assert_eq!("auto".parse(), Ok(ZonePreference::Auto));
/// assert_eq!(ZonePreference::default().to_string(), "auto");
/// ```
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Display, EnumString, IntoStaticStr, VariantNames,
)]
#[strum(serialize_all = "kebab-case")]
pub enum ZonePreference {
    /// Placement ignores zones.
    Off,
    /// The own zone comes first for services whose endpoints report their pace, and for prompts only
    /// where the zone has enough endpoints.
    #[default]
    Auto,
    /// The own zone comes first for all services.
    On,
}

/// Limits that apply to the fleet as a whole.
#[derive(Debug, Clone, PartialEq)]
pub struct FleetBounds {
    /// `[bounds] retry_ratio`: retries allowed per request.
    pub retry_ratio: f64,
    /// `[bounds] retry_window_ms`: the window over which retries are counted.
    pub retry_window_ms: DurationMs,
    /// `[bounds] retry_allowance`: retries allowed per window in addition to the ratio.
    pub retry_allowance: f64,
    /// `[bounds] cold_factor`: maximum rate of a cold endpoint, as a multiple of its sustained rate.
    pub cold_factor: f64,
    /// `[bounds] cold_allowance`: requests per second allowed for a cold endpoint in addition.
    pub cold_allowance: f64,
    /// `[bounds] load_factor`: maximum load of an endpoint, as a multiple of its service's mean.
    pub load_factor: f64,
    /// `[bounds] drain_ms`: time after which a draining endpoint receives no requests.
    pub drain_ms: DurationMs,
    /// `[bounds] shutdown_grace_ms`: time between the stop signal and the exit of the process.
    pub shutdown_grace_ms: DurationMs,
    /// `[bounds] cache_reuse_ms`: time for which a prefilled prompt part counts as cached.
    pub cache_reuse_ms: DurationMs,
}

impl Default for FleetBounds {
    fn default() -> Self {
        Self {
            retry_ratio: 0.2,
            retry_window_ms: DurationMs(10_000),
            retry_allowance: 50.0,
            cold_factor: 1.5,
            cold_allowance: 5.0,
            load_factor: 2.0,
            drain_ms: DurationMs(2_000),
            shutdown_grace_ms: DurationMs(8_000),
            cache_reuse_ms: DurationMs(10_000),
        }
    }
}

/// The settings that a gateway needs before it can connect to the platform.
#[derive(Debug, Clone, PartialEq)]
pub struct GatewaySettings {
    /// `[gateway] name`: the daemon's name.
    pub name: MemberName,
    /// `[gateway] zone`: the availability zone that the daemon runs in.
    pub zone: ZoneName,
    /// `[gateway] connections_max`: maximum number of open sockets.
    pub connections_max: u32,
    /// `[gateway] cores`: CPU cores that the daemon may use.
    pub cores: f64,
    /// `[gateway] first_start`: whether no process of this daemon ran before.
    pub is_first_start: bool,
    /// `[addresses] callers`: listen address for callers.
    pub callers_address: SocketAddr,
    /// `[addresses] readiness`: listen address for the load balancer's readiness probes.
    pub readiness_address: SocketAddr,
    /// `[addresses] peers`: listen address for other daemons.
    pub peers_address: SocketAddr,
    /// `[addresses] hop`: listen address for attempts that other daemons can't make themselves.
    pub hop_address: Option<SocketAddr>,
    /// `[addresses] outgoing`: local address of connections to endpoints and to the hop addresses of
    /// peers; the system chooses it otherwise.
    pub outgoing_address: Option<SocketAddr>,
    /// `[addresses] operators`: listen address for metrics.
    pub operators_address: Option<SocketAddr>,
    /// `[store] addresses`: replicas of the platform's store, tried in order.
    pub store_addresses: Vec<SocketAddr>,
    /// `[members] seeds`: peers that are queried for the other members; some may be stopped.
    pub seeds: Vec<SocketAddr>,
    /// `[regions] zones`, `regions`: the region of each availability zone.
    pub zone_regions: Vec<(ZoneName, RegionName)>,
    /// `[zones] preference`: whether requests go to endpoints of the own zone first.
    pub zone_preference: ZonePreference,
    /// `[bounds]`: limits that apply to the fleet as a whole.
    pub bounds: FleetBounds,
}

impl GatewaySettings {
    /// Creates a builder with the defaults, ephemeral loopback ports and no store.
    ///
    /// # Examples
    ///
    /// ```
    /// use celeryknot_settings::GatewaySettings;
    ///
    /// let settings = GatewaySettings::builder("edge-1".parse()?, "hkd-a".parse()?)
    ///     .connections_max(500)
    ///     .build();
    /// assert_eq!(settings.connections_max, 500);
    /// # Ok::<(), celeryknot_core::IdError>(())
    /// ```
    pub fn builder(name: MemberName, zone: ZoneName) -> GatewaySettingsBuilder {
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        GatewaySettingsBuilder {
            settings: Self {
                name,
                zone,
                connections_max: 4096,
                cores: 1.0,
                is_first_start: false,
                callers_address: any_port,
                readiness_address: any_port,
                peers_address: any_port,
                hop_address: Some(any_port),
                outgoing_address: None,
                operators_address: None,
                store_addresses: Vec::new(),
                seeds: Vec::new(),
                zone_regions: Vec::new(),
                zone_preference: ZonePreference::default(),
                bounds: FleetBounds::default(),
            },
        }
    }

    /// Parses and validates the text of a gateway's file.
    ///
    /// # Errors
    ///
    /// Returns all findings, without a source; see [`Diagnostic::in_source`].
    ///
    /// # Examples
    ///
    /// ```
    /// use celeryknot_settings::GatewaySettings;
    ///
    /// let findings = GatewaySettings::parse("[gateway]\nnmae = edge-1\n").unwrap_err();
    /// assert!(findings.iter().any(|finding| finding.nearest.as_deref() == Some("name")));
    /// ```
    pub fn parse(text: &str) -> Result<Self, Vec<Diagnostic>> {
        let fields = Fields::parse(GATEWAY_KEYS, text)?;
        let zones: Vec<AssignedName> = fields.list("regions", "zones");
        let regions: Vec<AssignedName> = fields.list("regions", "regions");
        if zones.len() != regions.len() {
            let reason = format!("{} zones, but {} regions", zones.len(), regions.len());
            let line = fields.line("regions", "regions");
            let conflict = Diagnostic::new(DiagnosticCode::Conflict, line, reason);
            return Err(vec![conflict]);
        }
        Ok(Self {
            zone_regions: zones
                .into_iter()
                .zip(regions)
                .map(|(zone, region)| (zone.into(), region.into()))
                .collect(),
            name: fields.get::<AssignedName>("gateway", "name").into(),
            zone: fields.get::<AssignedName>("gateway", "zone").into(),
            connections_max: fields.get("gateway", "connections_max"),
            cores: fields.get("gateway", "cores"),
            is_first_start: fields.get("gateway", "first_start"),
            callers_address: fields.get("addresses", "callers"),
            readiness_address: fields.get("addresses", "readiness"),
            peers_address: fields.get("addresses", "peers"),
            hop_address: fields.optional("addresses", "hop"),
            outgoing_address: fields.optional("addresses", "outgoing"),
            operators_address: fields.optional("addresses", "operators"),
            store_addresses: fields.list("store", "addresses"),
            seeds: fields.list("members", "seeds"),
            zone_preference: fields.get("zones", "preference"),
            bounds: FleetBounds {
                retry_ratio: fields.get("bounds", "retry_ratio"),
                retry_window_ms: fields.get("bounds", "retry_window_ms"),
                retry_allowance: fields.get("bounds", "retry_allowance"),
                cold_factor: fields.get("bounds", "cold_factor"),
                cold_allowance: fields.get("bounds", "cold_allowance"),
                load_factor: fields.get("bounds", "load_factor"),
                drain_ms: fields.get("bounds", "drain_ms"),
                shutdown_grace_ms: fields.get("bounds", "shutdown_grace_ms"),
                cache_reuse_ms: fields.get("bounds", "cache_reuse_ms"),
            },
        })
    }
}

/// Builds [`GatewaySettings`].
#[derive(Debug, Clone)]
pub struct GatewaySettingsBuilder {
    settings: GatewaySettings,
}

impl GatewaySettingsBuilder {
    setters!(GatewaySettings {
        connections_max: u32,
        cores: f64,
        is_first_start: bool,
        callers_address: SocketAddr,
        readiness_address: SocketAddr,
        peers_address: SocketAddr,
        hop_address: Option<SocketAddr>,
        outgoing_address: Option<SocketAddr>,
        operators_address: Option<SocketAddr>,
        store_addresses: Vec<SocketAddr>,
        seeds: Vec<SocketAddr>,
        zone_regions: Vec<(ZoneName, RegionName)>,
        zone_preference: ZonePreference,
        bounds: FleetBounds,
    });

    /// Returns the settings.
    pub fn build(self) -> GatewaySettings {
        self.settings
    }
}
