//! `check` validates settings and the operators' configuration offline.

use std::collections::BTreeMap;
use std::io::Write;
use std::path::Path;

use celeryknot_policy::routing::review::Severity;
use celeryknot_settings::{
    DaemonFile, DaemonSettings, Diagnostic, ValueText, check_fleet, check_tree,
};
use serde::Serialize;

use super::write_json;
use crate::arguments::{CheckArguments, Format};
use crate::exit_status::{ExitStatus, Failure};

pub mod configuration;
pub mod source;

use configuration::{ConfigurationFinding, check_configurations};
use source::{Sources, ValueFile};

/// A finding in the JSON output.
#[derive(Debug, Serialize)]
#[serde(untagged)]
enum Finding {
    Settings(SettingsFinding),
    Configuration(ConfigurationFinding),
}

/// A finding in a daemon file or a value.
#[derive(Debug, Serialize)]
struct SettingsFinding {
    source: String,
    line: Option<u32>,
    code: String,
    reason: String,
    nearest: Option<String>,
}

impl From<Diagnostic> for SettingsFinding {
    fn from(diagnostic: Diagnostic) -> Self {
        Self {
            code: diagnostic.code.to_string(),
            source: diagnostic.source,
            line: diagnostic.line,
            reason: diagnostic.reason,
            nearest: diagnostic.nearest,
        }
    }
}

/// Checks files and folders and writes the findings.
///
/// # Errors
///
/// Fails when a file can't be read or there is nothing to check.
pub fn run(arguments: &CheckArguments, out: &mut impl Write) -> Result<ExitStatus, Failure> {
    let sources = read_sources(arguments)?;
    let mut diagnostics = check_daemons(&sources)?;
    diagnostics.extend(check_values(&sources)?);
    let configuration_findings = check_configurations(&sources.configurations, arguments)?;
    let counts = Counts::new(&diagnostics, &configuration_findings);
    match arguments.format {
        Format::Json => {
            let diagnostics = diagnostics.into_iter().map(SettingsFinding::from);
            let findings = diagnostics.map(Finding::Settings);
            let configuration_findings = configuration_findings.into_iter();
            let findings: Vec<Finding> = findings
                .chain(configuration_findings.map(Finding::Configuration))
                .collect();
            write_json(out, &findings)?;
        }
        Format::Text => {
            for diagnostic in &diagnostics {
                writeln!(out, "{diagnostic}")?;
            }
            for finding in &configuration_findings {
                writeln!(out, "{finding}")?;
            }
            writeln!(out, "checked {sources}: {}", counts.describe(&sources))?;
        }
    }
    Ok(counts.status())
}

/// The number of findings by severity; all findings in settings are errors.
#[derive(Debug, Default)]
struct Counts {
    errors: usize,
    warnings: usize,
    notes: usize,
}

impl Counts {
    fn new(diagnostics: &[Diagnostic], findings: &[ConfigurationFinding]) -> Self {
        let mut counts = Self {
            errors: diagnostics.len(),
            ..Self::default()
        };
        for finding in findings {
            match finding.severity {
                Severity::Error => counts.errors += 1,
                Severity::Warning => counts.warnings += 1,
                Severity::Note => counts.notes += 1,
            }
        }
        counts
    }

    fn status(&self) -> ExitStatus {
        match (self.errors, self.warnings) {
            (0, 0) => ExitStatus::Done,
            (0, _) => ExitStatus::Warnings,
            (_, _) => ExitStatus::Findings,
        }
    }

    fn describe(&self, sources: &Sources) -> String {
        let has_configurations = !sources.configurations.is_empty();
        let counts = match has_configurations {
            true => vec![
                (self.errors, "error"),
                (self.warnings, "warning"),
                (self.notes, "note"),
            ],
            false => vec![(self.errors, "finding")],
        };
        let counts = counts.into_iter().filter(|(count, _)| *count > 0);
        let counts: Vec<String> = counts
            .map(|(count, what)| match count {
                1 => format!("1 {what}"),
                n => format!("{n} {what}s"),
            })
            .collect();
        match counts.is_empty() {
            true => "no findings".to_owned(),
            false => counts.join(", "),
        }
    }
}

fn read_sources(arguments: &CheckArguments) -> Result<Sources, Failure> {
    let single = |option: &str| match arguments.paths.as_slice() {
        [file] => Ok(file.clone()),
        _ => Err(Failure::usage(format!("{option} takes exactly one file"))),
    };
    let sources = match (&arguments.as_path, &arguments.against) {
        (Some(_), Some(_)) => {
            return Err(Failure::usage("--as-path and --against exclude each other"));
        }
        (Some(path), None) => Sources::single_value(single("--as-path")?, path.as_str()),
        (None, Some(_)) => Sources::single_configuration(single("--against")?),
        (None, None) if arguments.paths.is_empty() => {
            return Err(Failure::usage("no file or folder given to check"));
        }
        (None, None) => Sources::find(&arguments.paths)?,
    };
    if arguments.gateway.is_some() && sources.configurations.is_empty() {
        return Err(Failure::usage("--gateway needs a configuration to check"));
    }
    Ok(sources)
}

/// Checks each daemon file, and the files of each folder for conflicts.
fn check_daemons(sources: &Sources) -> Result<Vec<Diagnostic>, Failure> {
    let mut findings = Vec::new();
    let mut fleets: BTreeMap<&Path, Vec<DaemonFile>> = BTreeMap::new();
    for file in &sources.daemons {
        let source = file.display().to_string();
        match read_daemon(file)? {
            Ok(settings) => {
                let folder = file.parent().unwrap_or(Path::new(""));
                let daemon_file = DaemonFile { source, settings };
                fleets.entry(folder).or_default().push(daemon_file);
            }
            Err(file_findings) => {
                findings.extend(
                    file_findings
                        .into_iter()
                        .map(|finding| finding.in_source(&source)),
                );
            }
        }
    }
    findings.extend(fleets.values().flat_map(|files| check_fleet(files)));
    Ok(findings)
}

fn read_daemon(file: &Path) -> Result<Result<DaemonSettings, Vec<Diagnostic>>, Failure> {
    Ok(read_text(file)?
        .map_err(|finding| vec![finding])
        .and_then(|text| DaemonSettings::parse(&text)))
}

/// Checks each tree separately, as folders may contain the values of different fleets.
fn check_values(sources: &Sources) -> Result<Vec<Diagnostic>, Failure> {
    let mut findings = Vec::new();
    for files in sources.trees.values() {
        let mut texts = Vec::new();
        for file in files {
            match read_text(&file.file)? {
                Ok(text) => texts.push(ValueText {
                    path: file.path.clone(),
                    text,
                }),
                Err(finding) => findings.push(finding.in_source(file.file.display().to_string())),
            }
        }
        let tree_findings = if sources.has_complete_trees {
            check_tree(&texts)
        } else {
            check_values_separately(&texts)
        };
        findings.extend(
            tree_findings
                .into_iter()
                .map(|finding| with_file_as_source(finding, files)),
        );
    }
    Ok(findings)
}

/// Checks values without the rest of their tree, and so without references to other values.
fn check_values_separately(texts: &[ValueText]) -> Vec<Diagnostic> {
    use celeryknot_settings::DiagnosticCode::{UnknownService, UnknownZone};
    texts
        .iter()
        .flat_map(|text| check_tree(std::slice::from_ref(text)))
        .filter(|finding| !matches!(finding.code, UnknownService | UnknownZone))
        .collect()
}

/// Replaces the value's path with the file's, so that editors can open it.
fn with_file_as_source(finding: Diagnostic, files: &[ValueFile]) -> Diagnostic {
    let file = files.iter().find(|file| file.path == finding.source);
    match file {
        Some(file) => finding.in_source(file.file.display().to_string()),
        None => finding,
    }
}

fn read_text(file: &Path) -> Result<Result<String, Diagnostic>, Failure> {
    use celeryknot_settings::DiagnosticCode::Syntax;
    let bytes = read_bytes(file)?;
    Ok(String::from_utf8(bytes).map_err(|error| {
        let valid_len = error.utf8_error().valid_up_to();
        let newlines = error.as_bytes()[..valid_len]
            .iter()
            .filter(|b| **b == b'\n');
        let line = u32::try_from(newlines.count() + 1).ok();
        Diagnostic::new(Syntax, line, "the line is not UTF-8")
    }))
}

fn read_bytes(file: &Path) -> Result<Vec<u8>, Failure> {
    std::fs::read(file).map_err(|error| Failure::usage(format!("{}: {error}", file.display())))
}
