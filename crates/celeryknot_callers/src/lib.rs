//! The callers' side: the HTTP server, the checks of a request, and problem answers.
//!
//! This crate knows nothing of endpoints or of other daemons.

pub mod body;
pub mod executor;
pub mod framing;
pub mod head_scanner;
pub mod hop_by_hop;
pub mod limits;
pub mod problem;
pub mod request;
pub mod server;
pub mod token;

pub use executor::ThreadExecutor;
pub use limits::CallerLimits;
pub use request::{CallerRequest, ChatCompletion, Target};
