//! Checks a complete tree of values from the configuration service.

use std::collections::BTreeMap;

use celeryknot_core::SettingPath;

use crate::diagnostic::{Diagnostic, DiagnosticCode, nearest_name};
use crate::value::{SettingValue, ValueKind, parse_value};

/// An unvalidated text and its path.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ValueText {
    /// The settings path.
    pub path: String,
    /// The text.
    pub text: String,
}

#[derive(Debug)]
struct TreeEntry {
    path: SettingPath,
    kind: ValueKind,
    value: SettingValue,
}

impl TreeEntry {
    fn name(&self) -> &str {
        self.path.as_str().rsplit('/').next().unwrap_or_default()
    }

    fn team(&self) -> &str {
        match self.path.as_str().split('/').collect::<Vec<_>>()[..] {
            ["teams", team, ..] => team,
            _ => "",
        }
    }

    fn finding(&self, code: DiagnosticCode, reason: String) -> Diagnostic {
        Diagnostic::new(code, None, reason).in_source(self.path.as_str())
    }
}

/// Checks every value and the references between values.
///
/// # Examples
///
/// ```
/// use celeryknot_settings::{ValueText, check_tree};
///
/// let tree = [ValueText {
///     path: "teams/kinrin/rollouts/wakai-llm".to_owned(),
///     text: "[rollout]\nmodel = wakai-8b\nversion = v2\n".to_owned(),
/// }];
/// let findings = check_tree(&tree);
/// assert_eq!(findings[0].code.to_string(), "unknown-service");
/// ```
pub fn check_tree(texts: &[ValueText]) -> Vec<Diagnostic> {
    let mut findings = Vec::new();
    let mut entries = Vec::new();
    for text in texts {
        match parse_entry(text) {
            Ok(entry) => entries.push(entry),
            Err(diagnostics) => findings.extend(diagnostics),
        }
    }
    let paths = paths_of(texts);
    findings.extend(check_zones(&entries, &paths));
    findings.extend(check_rollouts(&entries, &paths));
    findings.extend(check_duplicate_names(&entries));
    findings.sort_by(|a, b| (&a.source, a.line).cmp(&(&b.source, b.line)));
    findings
}

fn parse_entry(text: &ValueText) -> Result<TreeEntry, Vec<Diagnostic>> {
    let path: SettingPath = text.path.parse().map_err(|error| {
        let reason = format!("{error}");
        vec![Diagnostic::new(DiagnosticCode::UnknownPath, None, reason).in_source(&text.path)]
    })?;
    let value = parse_value(&path, &text.text)?;
    let kind = ValueKind::of_path(&path).map_err(|diagnostic| vec![diagnostic])?;
    Ok(TreeEntry { path, kind, value })
}

/// Returns the paths of all values, including invalid ones.
///
/// References to an invalid value must not be reported as unknown.
fn paths_of(texts: &[ValueText]) -> Vec<&str> {
    texts.iter().map(|text| text.path.as_str()).collect()
}

fn check_zones(entries: &[TreeEntry], paths: &[&str]) -> Vec<Diagnostic> {
    let fleet_zones: Vec<&str> = paths
        .iter()
        .filter_map(|path| path.strip_prefix("fleet/zones/"))
        .collect();
    entries
        .iter()
        .filter(|entry| entry.kind == ValueKind::TeamZone && !fleet_zones.contains(&entry.name()))
        .map(|entry| {
            let reason = format!("the fleet has no zone `{}`", entry.name());
            let mut finding = entry.finding(DiagnosticCode::UnknownZone, reason);
            finding.nearest =
                nearest_name(entry.name(), fleet_zones.iter().copied()).map(str::to_owned);
            finding
        })
        .collect()
}

fn check_rollouts(entries: &[TreeEntry], paths: &[&str]) -> Vec<Diagnostic> {
    entries
        .iter()
        .filter_map(|entry| check_rollout(entry, entries, paths))
        .collect()
}

fn check_rollout(entry: &TreeEntry, entries: &[TreeEntry], paths: &[&str]) -> Option<Diagnostic> {
    let SettingValue::Rollout(rollout) = &entry.value else {
        return None;
    };
    let prefix = format!("teams/{}/services/", entry.team());
    let services: Vec<&str> = paths
        .iter()
        .filter_map(|path| path.strip_prefix(prefix.as_str()))
        .collect();
    if !services.contains(&entry.name()) {
        let reason = format!("the team has no service `{}`", entry.name());
        let mut finding = entry.finding(DiagnosticCode::UnknownService, reason);
        finding.nearest = nearest_name(entry.name(), services.into_iter()).map(str::to_owned);
        return Some(finding);
    }
    let service = entries.iter().find_map(|other| match &other.value {
        SettingValue::Service(service) if other.path.as_str() == prefix.clone() + entry.name() => {
            Some(service)
        }
        SettingValue::Service(_)
        | SettingValue::Zone(_)
        | SettingValue::Customer(_)
        | SettingValue::Rollout(_) => None,
    })?;
    if service.models.contains(&rollout.model) {
        return None;
    }
    let reason = format!("the service does not offer model `{}`", rollout.model);
    let mut finding = entry.finding(DiagnosticCode::UnknownModel, reason);
    let models = service.models.iter().map(|model| model.as_str());
    finding.nearest = nearest_name(rollout.model.as_str(), models).map(str::to_owned);
    Some(finding)
}

/// Reports customers and services whose name occurs in more than one team.
///
/// Callers send only the customer's name and endpoints only the service's name, so the name alone
/// must identify the team.
fn check_duplicate_names(entries: &[TreeEntry]) -> Vec<Diagnostic> {
    let mut first_by_name: BTreeMap<(ValueKind, &str), &TreeEntry> = BTreeMap::new();
    let mut findings = Vec::new();
    for entry in entries {
        if !matches!(entry.kind, ValueKind::Customer | ValueKind::Service) {
            continue;
        }
        if let Some(other) = first_by_name.get(&(entry.kind, entry.name())) {
            let reason = format!("`{}` has the same name", other.path);
            findings.push(entry.finding(DiagnosticCode::DuplicateName, reason));
        } else {
            first_by_name.insert((entry.kind, entry.name()), entry);
        }
    }
    findings
}
