//! The endpoints' side: connections, calls, load reports, streams of tokens, cache events and orders.
//!
//! A call is told apart into what certainly was not run and all else; this
//! crate never sends a call a second time on its own unless it is idempotent.

pub mod answer;
pub mod cache_events;
pub mod call;
pub mod connection;
pub mod exchange;
pub mod load;
pub mod orders;
pub mod request_body;
pub mod silence;
pub mod sse;

pub use answer::{AnswerBody, AnswerError, ReturnTo};
pub use call::{Call, CallFailure, CallTimeouts, EndpointAnswer, Reuse};
pub use connection::{Connections, Link};
pub use exchange::{ExchangeError, exchange};
pub use load::LoadReport;
pub use request_body::RequestBody;
pub use silence::Silence;
pub use sse::{EventSplitter, SseEvent, SseParser, TokenEvent};
