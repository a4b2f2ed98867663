//! The caller side: the HTTP server, request validation and problem responses.
//!
//! This crate does not depend on endpoints or other daemons.

pub mod body;
pub mod executor;
pub mod framing;
pub mod head_scanner;
pub mod hop_by_hop;
pub mod limits;
pub mod problem;
pub mod request;
pub mod response_end;
pub mod server;
pub mod token;

pub use executor::ThreadExecutor;
pub use limits::{CallerLimits, ConnectionTimeouts};
pub use request::{CallerRequest, ChatCompletion, Target};
