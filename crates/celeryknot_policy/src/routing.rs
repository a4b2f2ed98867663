//! The platform's configuration as router types: routes, services, customers, limits.

pub mod active;
pub mod review;
pub mod table;

use std::sync::Arc;

use celeryknot_core::{
    CustomerName, DurationMs, RatePerS, RegionName, ServiceName, SizeBytes, TokenCount, ZoneName,
};
use smallvec::SmallVec;
use strum::{Display, EnumIter, EnumString, IntoStaticStr};

pub use active::ActiveConfiguration;
pub use table::RoutingTable;

/// Whether a route's requests may be repeated and whether their responses are streams.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, EnumIter, EnumString, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum RouteKind {
    /// A request may run more than once.
    Idempotent,
    /// A request must run at most once.
    NonIdempotent,
    /// The response is an event stream that can't be resumed.
    Stream,
    /// The response is an event stream that another endpoint can resume.
    ResumableStream,
}

impl RouteKind {
    /// Returns whether a request may run more than once.
    pub const fn is_repeatable(self) -> bool {
        match self {
            Self::Idempotent | Self::ResumableStream => true,
            Self::NonIdempotent | Self::Stream => false,
        }
    }

    /// Returns whether the response is an event stream.
    pub const fn is_stream(self) -> bool {
        match self {
            Self::Stream | Self::ResumableStream => true,
            Self::Idempotent | Self::NonIdempotent => false,
        }
    }
}

/// A service that a route sends requests to, and its weight.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WeightedService {
    /// The service.
    pub service: ServiceName,
    /// Its weight; a service with weight 0 gets no requests.
    pub weight: u32,
}

/// A route: the requests for one host under one path prefix.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// The route's name.
    pub name: Arc<str>,
    /// The host, in lower case and without a port.
    pub host: Arc<str>,
    /// Path prefix; starts and ends with a slash.
    pub path_prefix: Arc<str>,
    /// Whether requests may be repeated and responses are streams.
    pub kind: RouteKind,
    /// Timeout for the complete response.
    pub timeout_ms: DurationMs,
    /// Latency objective for the response, or for the first event of a stream.
    pub latency_objective_ms: DurationMs,
    /// Maximum gap between two events of a stream that is on time.
    pub pause_objective_ms: Option<DurationMs>,
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// Maximum number of endpoints that may run one request.
    pub attempts_max: u32,
    /// Regions whose endpoints may run the requests; all where there are none.
    pub allowed_regions: SmallVec<[RegionName; 2]>,
    /// Whether callers need no API key.
    pub is_anonymous: bool,
    /// Whether requests list the parts of a prompt.
    pub has_prompt: bool,
    /// The services; at least one.
    pub services: SmallVec<[WeightedService; 2]>,
}

/// Capacity of an endpoint of a service that runs a model.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EngineModel {
    /// Number of requests processed concurrently.
    pub slots: u32,
    /// Memory capacity in tokens, for running requests and cached parts together.
    pub memory_tokens: TokenCount,
    /// Size of the KV cache of one token.
    pub token_size_bytes: SizeBytes,
}

/// One service.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// The service's name.
    pub name: ServiceName,
    /// Path of the health check.
    pub health_path: Arc<str>,
    /// Maximum number of connections to one endpoint from all callers together.
    pub connections_max: u32,
    /// Whether endpoints are cold after their start.
    pub has_cold_start: bool,
    /// Requests per second that a cold endpoint sustains; `None` for no limit.
    pub cold_rate: Option<RatePerS>,
    /// Capacity of the endpoints if they run a model.
    pub engine: Option<EngineModel>,
}

impl Service {
    /// Returns the limit on the requests to a cold endpoint; `None` if endpoints are never cold.
    ///
    /// # Examples
    ///
    /// ```
    /// use celeryknot_core::RatePerS;
    /// use celeryknot_policy::routing::Service;
    ///
    /// let service = Service {
    ///     name: "wakai-llm".parse()?,
    ///     health_path: "/healthz".into(),
    ///     connections_max: 360,
    ///     has_cold_start: false,
    ///     cold_rate: Some(RatePerS(13.0)),
    ///     engine: None,
    /// };
    /// assert_eq!(service.cold_rate_limit(), None);
    /// # Ok::<(), celeryknot_core::IdError>(())
    /// ```
    pub fn cold_rate_limit(&self) -> Option<RatePerS> {
        self.cold_rate.filter(|_| self.has_cold_start)
    }
}

/// One customer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Customer {
    /// The customer's name.
    pub name: CustomerName,
    /// API keys of the customer's callers.
    pub keys: Vec<String>,
    /// Priority of all the customer's requests; takes precedence over the route's.
    pub priority: Option<u8>,
    /// Regions whose endpoints may run the requests; all where there are none.
    pub allowed_regions: SmallVec<[RegionName; 2]>,
}

/// Returns the zones whose endpoints may run a request, or `None` if all may.
///
/// If both the route and the customer restrict regions, both restrictions apply. `zones` maps each
/// zone to its region; a zone without an entry is in no region.
///
/// # Examples
///
/// ```
/// use celeryknot_policy::routing::allowed_zones;
///
/// let zones = [("a-1".parse()?, "a".parse()?), ("b-1".parse()?, "b".parse()?)];
/// let only_b = ["b".parse()?];
/// assert_eq!(allowed_zones(&zones, &[], &[]), None);
/// assert_eq!(allowed_zones(&zones, &only_b, &[]).unwrap()[..], ["b-1".parse()?]);
/// # Ok::<(), celeryknot_core::IdError>(())
/// ```
pub fn allowed_zones(
    zones: &[(ZoneName, RegionName)],
    route_regions: &[RegionName],
    customer_regions: &[RegionName],
) -> Option<SmallVec<[ZoneName; 4]>> {
    if route_regions.is_empty() && customer_regions.is_empty() {
        return None;
    }
    let allows = |regions: &[RegionName], region| regions.is_empty() || regions.contains(region);
    let allowed = zones
        .iter()
        .filter(|(_, region)| allows(route_regions, region) && allows(customer_regions, region));
    Some(allowed.map(|(zone, _)| zone.clone()).collect())
}

/// Size and time limits on the requests of callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestLimits {
    /// Maximum size of a header block.
    pub header_size_max_bytes: SizeBytes,
    /// Maximum size of a body.
    pub body_size_max_bytes: SizeBytes,
    /// Timeout for reading a header block.
    pub header_timeout_ms: DurationMs,
    /// Timeout of an idle connection between two requests.
    pub idle_timeout_ms: DurationMs,
}

impl Default for RequestLimits {
    fn default() -> Self {
        Self {
            header_size_max_bytes: SizeBytes(16 << 10),
            body_size_max_bytes: SizeBytes(4 << 20),
            header_timeout_ms: DurationMs(5_000),
            idle_timeout_ms: DurationMs(30_000),
        }
    }
}

/// The kind of an entry of the configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, EnumIter, EnumString, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum EntryKind {
    /// A route.
    Route,
    /// A service.
    Service,
    /// A customer.
    Customer,
    /// The limits on callers.
    Limits,
}

/// What is wrong with an entry of the configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EntryDefect {
    /// The kind of the entry.
    pub kind: EntryKind,
    /// Its name, if that can be read.
    pub name: String,
    /// What can't be read.
    pub reason: String,
}

/// The requests that belong to a route.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct RoutePattern {
    /// The host, in lower case and without a port.
    pub host: Arc<str>,
    /// Path prefix; starts and ends with a slash.
    pub path_prefix: Arc<str>,
}

impl RoutePattern {
    /// Creates the pattern of a host, in any case, and a path prefix.
    pub fn new(host: &str, path_prefix: &str) -> Self {
        Self {
            host: Arc::from(host.to_ascii_lowercase()),
            path_prefix: Arc::from(path_prefix),
        }
    }
}

/// What entries that can't be used cost: the requests that they concern are refused.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct UnusableEntries {
    /// The routes that can't be used.
    pub routes: Vec<RoutePattern>,
    /// Number of customers that can't be used.
    pub customers: usize,
    /// The API keys of these customers, as far as they can be read.
    pub keys: Vec<String>,
}

/// One version of the complete configuration.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Configuration {
    /// Version set by the operators; increases with each change.
    pub version: u64,
    /// The routes.
    pub routes: Vec<Route>,
    /// The services.
    pub services: Vec<Service>,
    /// The customers; if there are none, usable or not, no request needs an API key.
    pub customers: Vec<Customer>,
    /// Limits on callers; `None` if they can't be read, so that the last ones stay in force.
    pub limits: Option<RequestLimits>,
    /// The entries that can't be used.
    pub unusable: UnusableEntries,
    /// What could not be read, of entries that can be used too.
    pub defects: Vec<EntryDefect>,
}
