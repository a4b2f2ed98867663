//! `check` validates settings offline.

use std::collections::BTreeMap;
use std::io::Write;
use std::path::Path;

use celeryknot_settings::{
    DaemonFile, DaemonSettings, Diagnostic, ValueText, check_fleet, check_tree,
};
use serde::Serialize;

use super::write_json;
use crate::arguments::{CheckArguments, Format};
use crate::exit_status::{ExitStatus, Failure};

pub mod source;

use source::{Sources, ValueFile};

/// A finding in the JSON output.
#[derive(Debug, Serialize)]
struct Finding {
    source: String,
    line: Option<u32>,
    code: String,
    reason: String,
    nearest: Option<String>,
}

impl From<Diagnostic> for Finding {
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
    let mut findings = check_daemons(&sources)?;
    findings.extend(check_values(&sources)?);
    let is_clean = findings.is_empty();
    match arguments.format {
        Format::Json => {
            let findings: Vec<Finding> = findings.into_iter().map(Finding::from).collect();
            write_json(out, &findings)?;
        }
        Format::Text => write_text(out, &sources, &findings)?,
    }
    if is_clean {
        return Ok(ExitStatus::Done);
    }
    Ok(ExitStatus::Findings)
}

fn read_sources(arguments: &CheckArguments) -> Result<Sources, Failure> {
    let Some(path) = &arguments.as_path else {
        if arguments.paths.is_empty() {
            return Err(Failure::usage("no file or folder given to check"));
        }
        return Sources::find(&arguments.paths);
    };
    let [file] = arguments.paths.as_slice() else {
        return Err(Failure::usage("--as-path takes exactly one file"));
    };
    Ok(Sources::single_value(file.clone(), path.as_str()))
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
    let bytes = std::fs::read(file)
        .map_err(|error| Failure::usage(format!("{}: {error}", file.display())))?;
    Ok(String::from_utf8(bytes).map_err(|error| {
        let valid_len = error.utf8_error().valid_up_to();
        let newlines = error.as_bytes()[..valid_len]
            .iter()
            .filter(|b| **b == b'\n');
        let line = u32::try_from(newlines.count() + 1).ok();
        Diagnostic::new(Syntax, line, "the line is not UTF-8")
    }))
}

fn write_text(
    out: &mut impl Write,
    sources: &Sources,
    findings: &[Diagnostic],
) -> Result<(), Failure> {
    for finding in findings {
        writeln!(out, "{finding}")?;
    }
    let count = match findings.len() {
        0 => "no findings".to_owned(),
        1 => "1 finding".to_owned(),
        n => format!("{n} findings"),
    };
    writeln!(out, "checked {sources}: {count}")?;
    Ok(())
}
