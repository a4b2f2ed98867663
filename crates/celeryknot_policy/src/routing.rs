//! The platform's configuration in the router's own types: routes, services, customers, limits.

pub mod register;
pub mod table;

use std::sync::Arc;

use celeryknot_core::{
    CustomerName, DurationMs, RatePerS, RegionName, ServiceName, SizeBytes, TokenCount, ZoneName,
};
use smallvec::SmallVec;
use strum::{Display, EnumIter, EnumString, IntoStaticStr};

pub use register::ConfigurationRegister;
pub use table::RoutingTable;

/// What may be repeated of the requests of a route.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, EnumIter, EnumString, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum RouteKind {
    /// A request may run more than once.
    Idempotent,
    /// A request must run at most once.
    NonIdempotent,
    /// The answer is a stream of events that can't be taken up again.
    Stream,
    /// The answer is a stream of events that another endpoint may go on with.
    ResumableStream,
}

impl RouteKind {
    /// Tells whether a request may run more than once.
    pub const fn is_repeatable(self) -> bool {
        match self {
            Self::Idempotent | Self::ResumableStream => true,
            Self::NonIdempotent | Self::Stream => false,
        }
    }

    /// Tells whether the answer is a stream of events.
    pub const fn is_stream(self) -> bool {
        match self {
            Self::Stream | Self::ResumableStream => true,
            Self::Idempotent | Self::NonIdempotent => false,
        }
    }
}

/// One service that a route sends its requests to, and its weight among them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WeightedService {
    /// The service.
    pub service: ServiceName,
    /// Its weight; 0 gets no request.
    pub weight: u32,
}

/// Requests of one host under one path prefix.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// The route's name.
    pub name: Arc<str>,
    /// The host, in lower case and without a port.
    pub host: Arc<str>,
    /// What the path begins with; begins and ends with a slash.
    pub path_prefix: Arc<str>,
    /// What may be repeated.
    pub kind: RouteKind,
    /// Longest time until the final answer.
    pub timeout_ms: DurationMs,
    /// Time within which an answer has its full worth; to the first event, of a stream.
    pub latency_objective_ms: DurationMs,
    /// Longest pause between two events of a stream that is still on time.
    pub pause_objective_ms: Option<DurationMs>,
    /// Rank; 0 goes first.
    pub priority: u8,
    /// Most endpoints that may run one request.
    pub attempts_max: u32,
    /// Regions whose endpoints may run the requests; all where there are none.
    pub allowed_regions: SmallVec<[RegionName; 2]>,
    /// Whether callers need no key.
    pub is_anonymous: bool,
    /// Whether requests carry the parts of a prompt.
    pub has_prompt: bool,
    /// The services, at least one.
    pub services: SmallVec<[WeightedService; 2]>,
}

/// What the endpoints of a service with a model can hold and do.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EngineModel {
    /// Requests that are processed at once.
    pub slots: u32,
    /// Tokens that the memory holds, of running requests and cached parts together.
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
    /// Most connections that one endpoint takes from all callers together.
    pub connections_max: u32,
    /// Requests a second that a cold endpoint bears; `None` if cold ones bear all.
    pub cold_rate: Option<RatePerS>,
    /// What the endpoints can hold, where they run a model.
    pub engine: Option<EngineModel>,
}

/// One customer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Customer {
    /// The customer's name.
    pub name: CustomerName,
    /// The keys that the customer's callers show.
    pub keys: Vec<String>,
    /// Rank of all the customer's requests, before that of the route.
    pub priority: Option<u8>,
    /// Regions whose endpoints may run the requests; all where there are none.
    pub allowed_regions: SmallVec<[RegionName; 2]>,
}

/// Returns the zones whose endpoints may run a request, or `None` if all may.
///
/// Where both the route and the customer name regions, both bind. `zones` says which region each
/// zone lies in; a zone that it does not name is in none.
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
    of_route: &[RegionName],
    of_customer: &[RegionName],
) -> Option<SmallVec<[ZoneName; 4]>> {
    if of_route.is_empty() && of_customer.is_empty() {
        return None;
    }
    let allows = |regions: &[RegionName], region| regions.is_empty() || regions.contains(region);
    let allowed = zones
        .iter()
        .filter(|(_, region)| allows(of_route, region) && allows(of_customer, region));
    Some(allowed.map(|(zone, _)| zone.clone()).collect())
}

/// What a caller may send and how long it may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestLimits {
    /// Largest header block.
    pub header_size_max_bytes: SizeBytes,
    /// Largest body.
    pub body_size_max_bytes: SizeBytes,
    /// Longest time for a header block to arrive.
    pub header_timeout_ms: DurationMs,
    /// Longest time between two requests of a connection.
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

/// One version of the whole configuration.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Configuration {
    /// The operators' version; later ones are higher.
    pub version: u64,
    /// The routes.
    pub routes: Vec<Route>,
    /// The services.
    pub services: Vec<Service>,
    /// The customers; where there are none, no request needs a key.
    pub customers: Vec<Customer>,
    /// Limits on callers.
    pub limits: RequestLimits,
}
