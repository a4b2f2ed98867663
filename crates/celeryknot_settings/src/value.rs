//! A settings value, stored under a path of the configuration service.

use celeryknot_core::SettingPath;
use strum::{Display, EnumIter, EnumString, IntoStaticStr};

use crate::diagnostic::{Diagnostic, DiagnosticCode, nearest_name};
use crate::{CustomerSettings, RolloutSettings, ServiceSettings, ZoneSettings};

/// The kind of a value, determined by its path.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Display,
    EnumIter,
    EnumString,
    IntoStaticStr,
)]
#[strum(serialize_all = "kebab-case")]
pub enum ValueKind {
    /// `fleet/zones/<zone>`.
    FleetZone,
    /// `teams/<team>/zones/<zone>`.
    TeamZone,
    /// `teams/<team>/services/<service>`.
    Service,
    /// `teams/<team>/customers/<customer>`.
    Customer,
    /// `teams/<team>/rollouts/<service>`.
    Rollout,
}

/// A parsed value.
#[derive(Debug, Clone, PartialEq)]
pub enum SettingValue {
    /// A zone, for the whole fleet or for one team.
    Zone(ZoneSettings),
    /// A service of a team.
    Service(Box<ServiceSettings>),
    /// A customer of a team.
    Customer(CustomerSettings),
    /// A rollout of a team's service.
    Rollout(RolloutSettings),
}

const PATH_FORMS: &str = "`fleet/zones/<zone>`, `teams/<team>/zones/<zone>`, \
     `teams/<team>/services/<service>`, `teams/<team>/customers/<customer>` or \
     `teams/<team>/rollouts/<service>`";

impl ValueKind {
    /// Returns the kind of value that a path holds.
    ///
    /// # Errors
    ///
    /// Returns a finding if the path holds no value.
    ///
    /// # Examples
    ///
    /// ```
    /// use celeryknot_settings::ValueKind;
    ///
    /// let path = "teams/kinrin/services/wakai-llm".parse()?;
    /// assert_eq!(ValueKind::of_path(&path), Ok(ValueKind::Service));
    /// # Ok::<(), celeryknot_core::IdError>(())
    /// ```
    pub fn of_path(path: &SettingPath) -> Result<Self, Diagnostic> {
        let parts: Vec<&str> = path.as_str().split('/').collect();
        match parts.as_slice() {
            ["fleet", "zones", _] => Ok(Self::FleetZone),
            ["teams", _, "zones", _] => Ok(Self::TeamZone),
            ["teams", _, "services", _] => Ok(Self::Service),
            ["teams", _, "customers", _] => Ok(Self::Customer),
            ["teams", _, "rollouts", _] => Ok(Self::Rollout),
            parts => Err(unknown_path_diagnostic(path, parts)),
        }
    }
}

fn unknown_path_diagnostic(path: &SettingPath, parts: &[&str]) -> Diagnostic {
    let reason = format!("no value belongs here; paths are {PATH_FORMS}");
    let mut diagnostic =
        Diagnostic::new(DiagnosticCode::UnknownPath, None, reason).in_source(path.as_str());
    let subtrees = ["zones", "services", "customers", "rollouts"];
    if let ["teams", team, subtree, name] = parts {
        diagnostic.nearest = nearest_name(subtree, subtrees.into_iter())
            .map(|suggestion| format!("teams/{team}/{suggestion}/{name}"));
    }
    diagnostic
}

/// Parses and validates the value under a path.
///
/// # Errors
///
/// Returns all findings, each with the path as its source.
///
/// # Examples
///
/// ```
/// use celeryknot_settings::{SettingValue, parse_value};
///
/// let path = "fleet/zones/hkd-a".parse()?;
/// assert!(matches!(parse_value(&path, "[zone]\nstate = out\n"), Ok(SettingValue::Zone(_))));
/// let findings = parse_value(&path, "[zone]\nstate = away\n").unwrap_err();
/// assert_eq!(
///     findings[0].to_string(),
///     "fleet/zones/hkd-a:2: invalid-value: `state`: `away` is none of `in`, `out`"
/// );
/// # Ok::<(), celeryknot_core::IdError>(())
/// ```
pub fn parse_value(path: &SettingPath, text: &str) -> Result<SettingValue, Vec<Diagnostic>> {
    let kind = ValueKind::of_path(path).map_err(|diagnostic| vec![diagnostic])?;
    let parsed = match kind {
        ValueKind::FleetZone | ValueKind::TeamZone => {
            ZoneSettings::parse(text).map(SettingValue::Zone)
        }
        ValueKind::Service => {
            ServiceSettings::parse(text).map(|settings| SettingValue::Service(Box::new(settings)))
        }
        ValueKind::Customer => CustomerSettings::parse(text).map(SettingValue::Customer),
        ValueKind::Rollout => RolloutSettings::parse(text).map(SettingValue::Rollout),
    };
    parsed.map_err(|diagnostics| {
        diagnostics
            .into_iter()
            .map(|diagnostic| diagnostic.in_source(path.as_str()))
            .collect()
    })
}
