//! Decisions of a daemon that sends requests straight to endpoints.
//!
//! Bounds that are sums over the whole fleet are kept without messages: each daemon spends no
//! more than its share of them. Agreement on placement comes from hashing, agreement on load
//! from what endpoints say of themselves with each answer.

pub mod cold_share;
pub mod endpoint;
pub mod holders;
pub mod pool;
pub mod prompt;
pub mod resend;
pub mod retry_share;

pub use cold_share::ColdShare;
pub use endpoint::{ListedEndpoint, ReportedLoad};
pub use holders::HolderMemory;
pub use pool::{EndpointPool, Placement, PlacementReason, PlacementRequest, PoolLimits};
pub use prompt::{Prompt, PromptPart, SharedParts};
pub use resend::{SendFailure, SendHistory};
pub use retry_share::{RetryBounds, RetryShare};
