//! Decisions of a daemon that sends requests directly to endpoints.
//!
//! Daemons enforce fleet-wide limits without messages: each one spends at most its own share.
//! They agree on placement through hashing, and on load through the reports that endpoints attach
//! to each response.

pub mod admission_gate;
pub mod answer_times;
pub mod attempt_history;
pub mod crash_suspects;
pub mod endpoint;
pub mod endpoint_paths;
pub mod holders;
pub mod pace;
pub mod pool;
pub mod prompt;
mod rate_admission;
pub mod refusal_ids;
pub mod refusal_limit;
pub mod retry_delay;
pub mod retry_share;
pub mod shutdown_admission;
pub mod software_versions;
mod zone_order;
pub mod zone_overflow;

pub use admission_gate::{
    AdmissionGate, GateAction, GateDecision, GateFigures, GatedRequest, ServiceRoom,
};
pub use answer_times::{AnswerTime, AnswerTimes, LongestAnswer};
pub use attempt_history::{AttemptFailure, AttemptHistory};
pub use crash_suspects::{
    AppliedUpdate, CrashFinding, CrashSuspects, CrashVerdict, RequestVerdict, runs_trials_of,
};
pub use endpoint::{ListedEndpoint, ReportedLoad};
pub use endpoint_paths::EndpointPaths;
pub use holders::PromptHolders;
pub use pace::RelativePace;
pub use pool::{EndpointPool, Placement, PlacementReason, PlacementRequest, PoolLimits};
pub use prompt::{Prompt, PromptPart, SharedPrefix};
pub use refusal_ids::RefusalIds;
pub use refusal_limit::RefusalLimit;
pub use retry_delay::{RetryDelay, RetryEstimate};
pub use retry_share::{RetryBounds, RetryShare};
pub use shutdown_admission::{ShutdownAdmission, ShutdownPhase};
pub use software_versions::{ListedVersion, ListedVersions, StreamVersions};
pub use zone_overflow::{OverflowChange, ZoneOverflow, ZoneReason, ZoneUse};
