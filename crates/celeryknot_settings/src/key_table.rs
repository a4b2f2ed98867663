//! The declarations of all settings keys.

use strum::VariantNames;

use crate::daemon::LogFormat;
use crate::gateway::ZonePreference;
use crate::key::{Key, KeyType, Presence};
use crate::service::ServiceKind;
use crate::zone::ZoneState;

const MIB_BYTES: u64 = 1 << 20;
const MINUTE_MS: u64 = 60_000;

const fn key(
    section: &'static str,
    name: &'static str,
    key_type: KeyType,
    presence: Presence,
    example: &'static str,
    doc: &'static str,
) -> Key {
    Key {
        section,
        name,
        key_type,
        presence,
        example,
        doc,
    }
}

use KeyType as T;
use Presence::{Default, Optional, Required};

/// The keys of a daemon's settings file.
#[rustfmt::skip]
pub const DAEMON_KEYS: &[Key] = &[
    key("daemon", "name", T::Name, Required, "entry-1", "The daemon's name in the platform's instance list."),
    key("daemon", "zone", T::Name, Required, "hkd-a", "The availability zone that the daemon runs in."),
    key("daemon", "traffic_threads", T::Count(1, 64), Default("2"), "4", "Threads that carry traffic."),
    key("listen", "callers", T::Address, Required, "10.1.0.11:8080", "Where callers connect."),
    key("listen", "peers", T::Address, Required, "10.1.0.11:7001", "Where other daemons send their messages."),
    key("listen", "forwards", T::Address, Required, "10.1.0.11:7002", "Where other daemons hand over requests."),
    key("listen", "operators", T::Address, Required, "10.1.0.11:9090", "Health, metrics, status and explanations."),
    key("platform", "addresses", T::Addresses, Required, "10.1.0.5:8500, 10.2.0.5:8500", "Replicas of the platform's service, tried in turn."),
    key("keys", "peers", T::Secret, Required, "change-this-peer-key-0001", "Authenticates daemons to each other; the same in the whole fleet."),
    key("keys", "peers_previous", T::Secret, Optional, "change-this-peer-key-0000", "Still accepted from peers while the key is changed."),
    key("keys", "callers", T::Secret, Required, "change-this-caller-key-01", "Signs tickets and affinity values; the same in the whole fleet."),
    key("keys", "callers_previous", T::Secret, Optional, "change-this-caller-key-00", "Still accepted from callers while the key is changed."),
    key("limits", "control_bytes_per_s", T::Size(1024, MIB_BYTES), Default("8KiB"), "8KiB", "Most bytes of control traffic that the daemon sends in a second."),
    key("limits", "connections_max", T::Count(1, 1_000_000), Default("4096"), "20000", "Most open connections of callers."),
    key("limits", "header_size_max_bytes", T::Size(1024, MIB_BYTES), Default("16KiB"), "32KiB", "Largest header block of a caller."),
    key("limits", "header_timeout_ms", T::Duration(100, 10 * MINUTE_MS), Default("5s"), "10s", "Longest time for a header block to arrive, for a connection to be idle, and for a caller to read nothing of its answer."),
    key("limits", "body_timeout_ms", T::Duration(100, 10 * MINUTE_MS), Default("10s"), "30s", "Longest silence within a request body."),
    key("limits", "shutdown_settle_ms", T::Duration(0, 10 * MINUTE_MS), Default("1s"), "5s", "Time at the start of a shutdown in which callers are still taken, for the balancer to see that the daemon is leaving; at most the grace time."),
    key("limits", "shutdown_grace_ms", T::Duration(0, 60 * MINUTE_MS), Default("30s"), "2min", "Longest time for requests in flight to end at a shutdown."),
    key("limits", "readers_per_zone", T::Count(1, 16), Default("2"), "3", "Daemons in each zone that watch the platform; the same in the whole fleet."),
    key("log", "format", T::Choice(LogFormat::VARIANTS), Default("human"), "json", "The form of log lines."),
];

/// The keys of a gateway's settings file.
#[rustfmt::skip]
pub const GATEWAY_KEYS: &[Key] = &[
    key("gateway", "name", T::AssignedName, Required, "edge-hkd-a-1", "The daemon's name, which no other daemon has."),
    key("gateway", "zone", T::AssignedName, Required, "hkd-a", "The availability zone that the daemon runs in."),
    key("gateway", "connections_max", T::Count(16, 1_000_000), Default("4096"), "3900", "Most open sockets of callers and endpoints together."),
    key("gateway", "cores", T::Number(0.001, 1024.0), Default("1"), "0.25", "Processor cores that the daemon may use; work for the fleet goes to those with the most."),
    key("gateway", "first_start", T::Flag, Default("false"), "true", "Whether no process of this daemon ran before. Otherwise it spends its share of `retry_allowance` only after `retry_window_ms`, as an earlier one may have."),
    key("addresses", "callers", T::Address, Required, "10.1.0.40:8227", "Where callers connect."),
    key("addresses", "readiness", T::Address, Required, "10.1.0.40:8220", "Where the balancer asks whether the daemon takes callers."),
    key("addresses", "peers", T::Address, Required, "10.1.0.40:8229", "Where other daemons connect."),
    key("addresses", "hop", T::Address, Optional, "10.1.0.40:7341", "Where other daemons send requests for endpoints that they can't reach themselves."),
    key("addresses", "outgoing", T::Address, Optional, "10.1.0.40:0", "From which address requests to endpoints and to other daemons are sent; its port doesn't matter. The address in `peers` on hosts with several."),
    key("addresses", "operators", T::Address, Optional, "10.1.0.40:7340", "Where metrics are served."),
    key("store", "addresses", T::Addresses, Required, "10.200.1.7:8223", "Replicas of the platform's store, tried in turn."),
    key("members", "seeds", T::Addresses, Optional, "10.1.0.40:8229, 10.2.0.29:8229", "Peers' addresses of daemons that know others; some may be gone."),
    key("regions", "zones", T::AssignedNames, Optional, "hkd-a, hkd-b, oki-a", "The availability zones of the fleet."),
    key("regions", "regions", T::RepeatableAssignedNames, Optional, "hkd, hkd, oki", "The region that each of the zones lies in, in their order."),
    key("zones", "preference", T::Choice(ZonePreference::VARIANTS), Default("auto"), "off", "Whether requests go to endpoints of the daemon's own zone first: never, for services whose endpoints report their pace where the zone has 8 of them (`auto`; not for long prompts), or always."),
    key("bounds", "retry_ratio", T::Number(0.0, 10.0), Default("0.2"), "0.1", "Further sends of a service that the whole fleet may make for each request."),
    key("bounds", "retry_window_ms", T::Duration(1_000, 10 * MINUTE_MS), Default("10s"), "10s", "Window over which further sends are counted."),
    key("bounds", "retry_allowance", T::Number(0.0, 1_000_000.0), Default("50"), "54", "Further sends of a service that the whole fleet may make in a window besides the ratio."),
    key("bounds", "cold_factor", T::Number(0.0, 100.0), Default("1.5"), "1.5", "Multiple of its rate that a cold endpoint may get from the whole fleet."),
    key("bounds", "cold_allowance", T::Number(0.0, 10_000.0), Default("5"), "5", "Requests that a cold endpoint may get in a second besides."),
    key("bounds", "load_factor", T::Number(1.0, 100.0), Default("2"), "2", "Most requests at an endpoint, as a multiple of the mean of its service."),
    key("bounds", "drain_ms", T::Duration(0, 10 * MINUTE_MS), Default("2s"), "2s", "Time after which a leaving endpoint gets no request."),
    key("bounds", "shutdown_grace_ms", T::Duration(0, 60 * MINUTE_MS), Default("8s"), "8s", "Time between the signal to stop and the end of the process."),
    key("bounds", "cache_reuse_ms", T::Duration(0, 60 * MINUTE_MS), Default("10s"), "10s", "Time for which a prompt part that an endpoint has read counts as still cached."),
];

/// The keys of `fleet/zones/<zone>` and `teams/<team>/zones/<zone>`.
#[rustfmt::skip]
pub const ZONE_KEYS: &[Key] = &[
    key("zone", "state", T::Choice(ZoneState::VARIANTS), Default("in"), "out", "Whether the zone takes new work."),
];

/// The keys of `teams/<team>/services/<service>`.
#[rustfmt::skip]
pub const SERVICE_KEYS: &[Key] = &[
    key("service", "kind", T::Choice(ServiceKind::VARIANTS), Default("model"), "plain", "What kind of endpoints the service has."),
    key("service", "models", T::Names, Optional, "wakai-8b, wakai-8b-long", "The models that a model service offers; it needs at least one."),
    key("service", "load_multiple", T::Number(1.0, 10.0), Default("1.25"), "1.5", "Most load of one endpoint, as a multiple of the mean."),
    key("service", "in_flight_max", T::Count(1, 100_000), Default("64"), "32", "Most requests in flight at one warm endpoint."),
    key("service", "cold_in_flight_max", T::Count(1, 100_000), Default("2"), "1", "Most requests in flight at an endpoint in cold start; at most `in_flight_max`."),
    key("service", "ramp_ms", T::Duration(0, 60 * MINUTE_MS), Default("5s"), "20s", "Time over which a warmed-up endpoint is ramped to its full load."),
    key("service", "queue_len_max", T::Count(0, 100_000), Default("256"), "64", "Most requests that wait for one endpoint."),
    key("service", "queue_wait_max_ms", T::Duration(0, 10 * MINUTE_MS), Default("10s"), "2s", "Longest wait in the queue."),
    key("service", "first_byte_timeout_ms", T::Duration(10, 60 * MINUTE_MS), Default("10s"), "30s", "Longest time from the request to the first byte of the answer."),
    key("service", "idle_timeout_ms", T::Duration(10, 60 * MINUTE_MS), Default("10s"), "5s", "Longest silence within an answer."),
    key("service", "request_size_max_bytes", T::Size(1, 1024 * MIB_BYTES), Default("1MiB"), "8MiB", "Largest request body."),
    key("service", "answer_size_max_bytes", T::Size(1, 1024 * MIB_BYTES), Default("16MiB"), "64MiB", "Largest answer body."),
    key("service", "prefill_tokens_per_s", T::Number(1.0, 10_000_000.0), Default("8000"), "12000", "Speed at which an engine reads prompts, for cost estimates."),
    key("service", "answer_tokens_default", T::Count(1, 1_000_000), Default("200"), "400", "Tokens that an answer is expected to have where the caller gives no limit."),
    key("service", "retry_percent_max", T::Count(0, 100), Default("20"), "10", "Retries and hedges allowed for each hundred fresh requests."),
    key("service", "sick_percent_max", T::Count(0, 100), Default("30"), "20", "Most endpoints that may be passed over as sick, in a hundred."),
    key("service", "echoes_request_id", T::Flag, Default("true"), "false", "Whether endpoints echo the request id, so that a crossed answer is seen."),
    key("service", "idempotent_routes", T::Routes, Optional, "POST /search, PUT /drafts/", "Calls of a plain service that are idempotent in spite of their method."),
    key("service", "requires_ticket", T::Flag, Default("false"), "true", "Whether every non-idempotent call of a plain service needs a ticket, also one without a key."),
];

/// The keys of `teams/<team>/customers/<customer>`.
#[rustfmt::skip]
pub const CUSTOMER_KEYS: &[Key] = &[
    key("customer", "share_weight", T::Number(0.001, 1000.0), Default("1"), "4", "The customer's weight when customers compete for an endpoint."),
    key("customer", "token_sha256", T::Sha256, Optional, "2c26b46b68ffc68ff99b453c1d30413413422d706483bfa0f98a5e886266e7ae", "SHA-256 of the bearer token that the customer's callers must show."),
];

/// The keys of `teams/<team>/rollouts/<service>`.
#[rustfmt::skip]
pub const ROLLOUT_KEYS: &[Key] = &[
    key("rollout", "model", T::Name, Required, "wakai-8b", "The model to load; one that the service offers."),
    key("rollout", "version", T::Word, Required, "2026-11-30", "The version of the model to load."),
    key("rollout", "adapter", T::Word, Optional, "mediation-ja-3", "An adapter to load on top of the model."),
    key("rollout", "parallel_max", T::Count(1, 1000), Default("1"), "2", "Most engines that may load at the same time."),
];
