//! The endpoint side: connections, calls, load reports, token streams, cache events and orders.
//!
//! Errors distinguish calls that certainly were not run from all others. This crate only retries
//! calls that are idempotent.

pub mod answer;
pub mod cache_events;
pub mod call;
pub mod channel_body;
pub mod connection;
pub mod exchange;
pub mod framing;
pub mod idle_timeout;
pub mod load;
pub mod orders;
pub mod rate_limit;
mod read_budget;
pub mod request_body;
pub mod sse;

pub use answer::{AnswerBody, AnswerError, PoolEntry, ReceivedBody};
pub use call::{Call, CallFailure, CallTimeouts, EndpointResponse, Reuse};
pub use channel_body::{BodyWriter, ChannelBody, ReaderGone, channel_body};
pub use connection::{ConnectionPool, EndpointConnection, is_running};
pub use exchange::{ExchangeError, exchange};
pub use framing::BodyFraming;
pub use idle_timeout::IdleTimeout;
pub use load::LoadReport;
pub use rate_limit::RateLimitField;
pub use request_body::RequestBody;
pub use sse::{EventBoundary, EventId, EventSplitter, SseEvent, SseParser, TokenEvent};
