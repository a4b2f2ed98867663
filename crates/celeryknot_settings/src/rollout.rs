//! Settings of one rollout, under `teams/<team>/rollouts/<service>`.

use celeryknot_core::ModelName;

/// The model version that the engines of a service are to serve.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RolloutSettings {
    /// The model to load.
    pub model: ModelName,
    /// The version of the model to load.
    pub version: String,
    /// An adapter to load on top of the model.
    pub adapter: Option<String>,
    /// Most engines that may load at the same time.
    pub parallel_max: u32,
    /// Most errors of an updated engine, in a hundred answers, before the rollout stops.
    pub error_percent_max: u32,
}
