//! Checks the operators' configuration in the platform's form.

use std::fmt;
use std::path::{Path, PathBuf};

use celeryknot_core::{RegionName, ZoneName};
use celeryknot_kinrin::ConfigurationFile;
use celeryknot_policy::routing::review::{
    Document, Finding, FindingCode, Place, Severity, compare, review,
};
use celeryknot_settings::{Diagnostic, GatewaySettings};
use serde::{Serialize, Serializer};

use super::{read_bytes, read_text};
use crate::arguments::CheckArguments;
use crate::exit_status::Failure;

/// A place in a file.
#[derive(Debug, Clone, Serialize)]
pub struct FilePlace {
    /// The file.
    pub source: String,
    /// The line, counted from 1, if the file has a value there.
    pub line: Option<u32>,
    /// The path of the value, such as `routes[3].prefix`; empty for the file as a whole.
    pub path: String,
}

impl fmt::Display for FilePlace {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.source)?;
        self.line.map_or(Ok(()), |line| write!(f, ":{line}"))
    }
}

/// A finding in a configuration.
#[derive(Debug, Clone, Serialize)]
pub struct ConfigurationFinding {
    /// Where it is.
    #[serde(flatten)]
    pub place: FilePlace,
    /// What it means for publishing.
    #[serde(serialize_with = "as_text")]
    pub severity: Severity,
    /// The kind of the finding.
    #[serde(serialize_with = "as_text")]
    pub code: FindingCode,
    /// The message, in one line.
    pub reason: String,
    /// The place that contradicts it, or that it was compared with.
    pub other: Option<FilePlace>,
}

fn as_text<T: fmt::Display, S: Serializer>(value: &T, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.collect_str(value)
}

impl fmt::Display for ConfigurationFinding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}: {}: ", self.place, self.severity, self.code)?;
        if !self.place.path.is_empty() {
            write!(f, "{}: ", self.place.path)?;
        }
        f.write_str(&self.reason)?;
        match &self.other {
            Some(other) => write!(f, " (see {other}: {})", other.path),
            None => Ok(()),
        }
    }
}

/// Checks each file by itself, and compares a single one with the active version.
///
/// # Errors
///
/// Fails when a file can't be read, or the gateway's settings are invalid.
pub fn check_configurations(
    files: &[PathBuf],
    arguments: &CheckArguments,
) -> Result<Vec<ConfigurationFinding>, Failure> {
    let zones = match &arguments.gateway {
        Some(file) => Some(read_zones(file)?),
        None => None,
    };
    let active = match &arguments.against {
        Some(file) => Some(NamedFile::read(file)?),
        None => None,
    };
    let mut findings = Vec::new();
    for file in files {
        let new = NamedFile::read(file)?;
        findings.extend(check_file(&new, active.as_ref(), zones.as_deref()));
    }
    Ok(findings)
}

fn read_zones(file: &Path) -> Result<Vec<(ZoneName, RegionName)>, Failure> {
    let settings = read_text(file)?
        .map_err(|finding| vec![finding])
        .and_then(|text| GatewaySettings::parse(&text));
    settings.map(|it| it.zone_regions).map_err(|findings| {
        let source = file.display().to_string();
        let findings = findings.into_iter().map(|it| it.in_source(&source));
        let findings: Vec<String> = findings.map(|it: Diagnostic| it.to_string()).collect();
        Failure::usage(findings.join("; "))
    })
}

/// A file with its name, as given, and its content.
struct NamedFile {
    source: String,
    content: Result<ConfigurationFile, ConfigurationFinding>,
}

impl NamedFile {
    fn read(file: &Path) -> Result<Self, Failure> {
        let source = file.display().to_string();
        let bytes = read_bytes(file)?;
        let content = ConfigurationFile::parse(&bytes).map_err(|error| ConfigurationFinding {
            place: FilePlace {
                source: source.clone(),
                line: Some(error.line),
                path: String::new(),
            },
            severity: Severity::Error,
            code: FindingCode::UnreadableFile,
            reason: error.reason,
            other: None,
        });
        Ok(Self { source, content })
    }

    fn locate(&self, content: &ConfigurationFile, place: Place) -> FilePlace {
        let location = content.locate(place);
        FilePlace {
            source: self.source.clone(),
            line: location.line,
            path: location.path,
        }
    }
}

/// Returns the findings in the order of the lines; those in the active version come last.
fn check_file(
    new: &NamedFile,
    active: Option<&NamedFile>,
    zones: Option<&[(ZoneName, RegionName)]>,
) -> Vec<ConfigurationFinding> {
    let files = [Some(new), active].into_iter().flatten();
    let unreadable = files.filter_map(|file| file.content.as_ref().err().cloned());
    let mut checked: Vec<ConfigurationFinding> = unreadable.collect();
    let Ok(content) = &new.content else {
        return checked;
    };
    let active = active.and_then(|file| Some((file, file.content.as_ref().ok()?)));
    let mut findings = review(content.configuration(), zones);
    if let Some((_, active_content)) = active {
        let differences = compare(active_content.configuration(), content.configuration());
        findings.extend(differences);
    }
    let locate = |place: Place| match (place.document, active) {
        (Document::Active, Some((file, content))) => file.locate(content, place),
        (Document::Active, None) | (Document::New, _) => new.locate(content, place),
    };
    let mut located: Vec<(Document, ConfigurationFinding)> = findings
        .into_iter()
        .map(|finding| (finding.place.document, with_places(finding, locate)))
        .collect();
    located.sort_by_key(|(document, finding)| (*document, finding.place.line));
    checked.extend(located.into_iter().map(|(_, finding)| finding));
    checked
}

fn with_places(finding: Finding, locate: impl Fn(Place) -> FilePlace) -> ConfigurationFinding {
    ConfigurationFinding {
        place: locate(finding.place),
        severity: finding.severity,
        code: finding.code,
        reason: finding.message,
        other: finding.other_place.map(locate),
    }
}
