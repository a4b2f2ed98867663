//! Names of the HTTP headers that the router reads and writes.

/// Names the customer on whose behalf a caller sends the request.
pub const CUSTOMER: &str = "celeryknot-customer";
/// Names the chat that a request continues.
pub const CHAT: &str = "celeryknot-chat";
/// Gives the caller's remaining timeout in milliseconds.
pub const DEADLINE_MS: &str = "celeryknot-deadline-ms";
/// Carries the opaque affinity value of an earlier response.
pub const AFFINITY: &str = "celeryknot-affinity";
/// Carries a ticket, both from and to callers.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Carries the urgency of a request (RFC 9218).
pub const PRIORITY: &str = "priority";
/// Identifies one request between the router and an endpoint; an endpoint echoes it.
pub const REQUEST_ID: &str = "celeryknot-request-id";
/// Gives an engine the index of the first token to send when it resumes a response.
pub const RESUME_FROM: &str = "celeryknot-resume-from";
/// Names the endpoint from which an engine can import the chat's KV cache.
pub const KV_SOURCE: &str = "celeryknot-kv-source";
/// Carries the load of the responding endpoint.
pub const LOAD: &str = "celeryknot-load";
/// Requests per second that the responding endpoint accepts from all daemons together.
pub const RATE_LIMIT: &str = "celeryknot-rate-limit";
/// Indicates whether a refused request was run: `not-run`, `run` or `unknown`.
pub const EXECUTION: &str = "celeryknot-execution";
/// Carries the stable code of a refusal between daemons.
pub const REFUSAL: &str = "celeryknot-refusal";
/// Carries the kind of a request between daemons.
pub const HOP: &str = "celeryknot-hop";
/// Names the endpoint that a request between daemons is for.
pub const ENDPOINT: &str = "celeryknot-endpoint";
/// Names the service of that endpoint.
pub const SERVICE: &str = "celeryknot-service";
/// States on a response between daemons that its endpoint sent it on a reused connection.
pub const REUSED_CONNECTION: &str = "celeryknot-reused-connection";
/// States on a response over HTTP/2 that its end is not known to be its complete end.
pub const BODY_END: &str = "celeryknot-body-end";
/// The value of [`BODY_END`].
pub const BODY_END_UNVERIFIED: &str = "unverified";
/// Authenticates a daemon to another daemon.
pub const PEER_AUTH: &str = "celeryknot-peer-auth";
