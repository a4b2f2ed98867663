//! Checks a whole tree of values, as the configuration service holds it.

use std::collections::BTreeMap;

use celeryknot_core::SettingPath;

use crate::diagnostic::{Diagnostic, DiagnosticCode, nearest_name};
use crate::value::{SettingValue, ValueKind, parse_value};

/// One text under its path, not yet checked.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ValueText {
    /// The path as it stands in the tree.
    pub path: String,
    /// The text.
    pub text: String,
}

#[derive(Debug)]
struct Leaf {
    path: SettingPath,
    kind: ValueKind,
    value: SettingValue,
}

impl Leaf {
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

/// Checks every value and what they say about each other.
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
    let mut leaves = Vec::new();
    for text in texts {
        match parse_leaf(text) {
            Ok(leaf) => leaves.push(leaf),
            Err(found) => findings.extend(found),
        }
    }
    let known = known_paths(texts);
    findings.extend(check_zones(&leaves, &known));
    findings.extend(check_rollouts(&leaves, &known));
    findings.extend(check_names(&leaves));
    findings.sort_by(|a, b| (&a.source, a.line).cmp(&(&b.source, b.line)));
    findings
}

fn parse_leaf(text: &ValueText) -> Result<Leaf, Vec<Diagnostic>> {
    let path: SettingPath = text.path.parse().map_err(|error| {
        let reason = format!("{error}");
        vec![Diagnostic::new(DiagnosticCode::UnknownPath, None, reason).in_source(&text.path)]
    })?;
    let value = parse_value(&path, &text.text)?;
    let kind = ValueKind::of_path(&path).map_err(|diagnostic| vec![diagnostic])?;
    Ok(Leaf { path, kind, value })
}

/// The paths of all values, so that one faulty value does not make others look wrong.
fn known_paths(texts: &[ValueText]) -> Vec<&str> {
    texts.iter().map(|text| text.path.as_str()).collect()
}

fn check_zones(leaves: &[Leaf], known: &[&str]) -> Vec<Diagnostic> {
    let fleet_zones: Vec<&str> = known
        .iter()
        .filter_map(|path| path.strip_prefix("fleet/zones/"))
        .collect();
    leaves
        .iter()
        .filter(|leaf| leaf.kind == ValueKind::TeamZone && !fleet_zones.contains(&leaf.name()))
        .map(|leaf| {
            let reason = format!("the fleet has no zone `{}`", leaf.name());
            let mut finding = leaf.finding(DiagnosticCode::UnknownZone, reason);
            finding.nearest =
                nearest_name(leaf.name(), fleet_zones.iter().copied()).map(str::to_owned);
            finding
        })
        .collect()
}

fn check_rollouts(leaves: &[Leaf], known: &[&str]) -> Vec<Diagnostic> {
    leaves
        .iter()
        .filter_map(|leaf| check_rollout(leaf, leaves, known))
        .collect()
}

fn check_rollout(leaf: &Leaf, leaves: &[Leaf], known: &[&str]) -> Option<Diagnostic> {
    let SettingValue::Rollout(rollout) = &leaf.value else {
        return None;
    };
    let prefix = format!("teams/{}/services/", leaf.team());
    let services: Vec<&str> = known
        .iter()
        .filter_map(|path| path.strip_prefix(prefix.as_str()))
        .collect();
    if !services.contains(&leaf.name()) {
        let reason = format!("the team has no service `{}`", leaf.name());
        let mut finding = leaf.finding(DiagnosticCode::UnknownService, reason);
        finding.nearest = nearest_name(leaf.name(), services.into_iter()).map(str::to_owned);
        return Some(finding);
    }
    let service = leaves.iter().find_map(|other| match &other.value {
        SettingValue::Service(service) if other.path.as_str() == prefix.clone() + leaf.name() => {
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
    let mut finding = leaf.finding(DiagnosticCode::UnknownModel, reason);
    let models = service.models.iter().map(|model| model.as_str());
    finding.nearest = nearest_name(rollout.model.as_str(), models).map(str::to_owned);
    Some(finding)
}

/// A caller names its customer alone and an endpoint its service alone, so both belong to one team.
fn check_names(leaves: &[Leaf]) -> Vec<Diagnostic> {
    let mut first: BTreeMap<(ValueKind, &str), &Leaf> = BTreeMap::new();
    let mut findings = Vec::new();
    for leaf in leaves {
        if !matches!(leaf.kind, ValueKind::Customer | ValueKind::Service) {
            continue;
        }
        if let Some(other) = first.get(&(leaf.kind, leaf.name())) {
            let reason = format!("`{}` has the same name", other.path);
            findings.push(leaf.finding(DiagnosticCode::DuplicateName, reason));
        } else {
            first.insert((leaf.kind, leaf.name()), leaf);
        }
    }
    findings
}
