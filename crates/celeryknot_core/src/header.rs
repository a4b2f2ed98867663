//! Names of the HTTP headers that the router reads and writes.

/// Names the customer on whose behalf a caller asks.
pub const CUSTOMER: &str = "celeryknot-customer";
/// Names the chat that a request continues.
pub const CHAT: &str = "celeryknot-chat";
/// Gives the time that the caller will still wait, in milliseconds.
pub const DEADLINE_MS: &str = "celeryknot-deadline-ms";
/// Carries the opaque affinity value of an earlier answer.
pub const AFFINITY: &str = "celeryknot-affinity";
/// Carries a ticket, both from and to callers.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Carries the urgency of a request (RFC 9218).
pub const PRIORITY: &str = "priority";
/// Identifies one request between the router and an endpoint; an endpoint echoes it.
pub const REQUEST_ID: &str = "celeryknot-request-id";
/// Tells an engine the index of the first token that is still wanted.
pub const RESUME_FROM: &str = "celeryknot-resume-from";
/// Tells an engine where the KV cache of the chat can be imported from.
pub const KV_SOURCE: &str = "celeryknot-kv-source";
/// Carries the load of the endpoint that answers.
pub const LOAD: &str = "celeryknot-load";
/// Says whether a refused request was run: `not-run`, `run` or `unknown`.
pub const EXECUTION: &str = "celeryknot-execution";
/// Carries the stable code of a refusal between daemons.
pub const REFUSAL: &str = "celeryknot-refusal";
/// Authenticates a daemon to another daemon.
pub const PEER_AUTH: &str = "celeryknot-peer-auth";
