//! Settings of one rollout, under `teams/<team>/rollouts/<service>`.

use celeryknot_core::ModelName;

use crate::builder::setters;
use crate::diagnostic::Diagnostic;
use crate::fields::Fields;
use crate::key_table::ROLLOUT_KEYS;

/// The model version that the engines of a service must serve.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RolloutSettings {
    /// The model to load.
    pub model: ModelName,
    /// The version of the model to load.
    pub version: String,
    /// An adapter to load on top of the model.
    pub adapter: Option<String>,
    /// Maximum number of engines that load the model at the same time.
    pub parallel_max: u32,
}

impl RolloutSettings {
    /// Creates a builder for a model and version, with defaults for the other settings.
    ///
    /// # Examples
    ///
    /// ```
    /// use celeryknot_settings::RolloutSettings;
    ///
    /// let settings = RolloutSettings::builder("wakai-8b".parse()?, "v2").parallel_max(2).build();
    /// assert_eq!(settings.parallel_max, 2);
    /// # Ok::<(), celeryknot_core::IdError>(())
    /// ```
    pub fn builder(model: ModelName, version: impl Into<String>) -> RolloutSettingsBuilder {
        RolloutSettingsBuilder {
            settings: Self {
                model,
                version: version.into(),
                adapter: None,
                parallel_max: 1,
            },
        }
    }

    /// Parses and validates the text of a value.
    ///
    /// # Errors
    ///
    /// Returns all findings if the text is invalid.
    ///
    /// # Examples
    ///
    /// ```
    /// use celeryknot_settings::RolloutSettings;
    ///
    /// let settings = RolloutSettings::parse("[rollout]\nmodel = wakai-8b\nversion = v2\n")?;
    /// assert_eq!(settings.version, "v2");
    /// # Ok::<(), Vec<celeryknot_settings::Diagnostic>>(())
    /// ```
    pub fn parse(text: &str) -> Result<Self, Vec<Diagnostic>> {
        const SECTION: &str = "rollout";
        let fields = Fields::parse(ROLLOUT_KEYS, text)?;
        Ok(Self {
            model: fields.get(SECTION, "model"),
            version: fields.get(SECTION, "version"),
            adapter: fields.optional(SECTION, "adapter"),
            parallel_max: fields.get(SECTION, "parallel_max"),
        })
    }
}

/// Builds [`RolloutSettings`].
#[derive(Debug, Clone)]
pub struct RolloutSettingsBuilder {
    settings: RolloutSettings,
}

impl RolloutSettingsBuilder {
    setters!(RolloutSettings {
        adapter: Option<String>,
        parallel_max: u32,
    });

    /// Returns the settings.
    pub fn build(self) -> RolloutSettings {
        self.settings
    }
}
