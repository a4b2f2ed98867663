//! Shared types of the celeryknot router: ids, sizes, rates, times, and the closed list of error
//! kinds with the response for each kind.
//!
//! This crate does no I/O and reads no clock.

pub mod backoff;
pub mod endpoint;
pub mod endpoint_pace;
pub mod endpoint_updates;
pub mod error_kind;
pub mod header;
pub mod id;
pub mod keyed_hash;
pub mod quantity;
mod software_version;
pub mod time;
pub mod timers;

pub use backoff::Backoff;
pub use endpoint::{EndpointCondition, EndpointSummary};
pub use endpoint_pace::EndpointPace;
pub use error_kind::{Answer, ErrorKind, Execution, Refusal, RetryAdvice};
pub use id::{
    AssignedName, ChatKey, CustomerName, EndpointName, EndpointTag, IdError, Incarnation,
    MemberName, ModelName, PromptTag, RegionName, RequestId, RequestTag, Revision, ServiceName,
    SettingPath, SuspectTag, TeamName, ZoneName,
};
pub use quantity::{QuantityError, RatePerS, SizeBytes, TokenCount};
pub use software_version::{SoftwareVersion, SoftwareVersionError};
pub use time::{DurationMs, MonotonicMs};
pub use timers::Timers;
