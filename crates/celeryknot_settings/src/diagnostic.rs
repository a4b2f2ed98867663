//! Diagnostics: errors in a settings text and their location.

use std::fmt;

use strum::{Display, EnumIter, EnumString, IntoStaticStr};

/// The kind of error that a check reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, EnumIter, EnumString, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum DiagnosticCode {
    /// A line is not valid INI.
    Syntax,
    /// The text exceeds the size that daemons relay.
    TooLarge,
    /// The section does not exist.
    UnknownSection,
    /// A section occurs more than once.
    DuplicateSection,
    /// The section has no such key.
    UnknownKey,
    /// A key occurs more than once.
    DuplicateKey,
    /// A required key is missing.
    MissingKey,
    /// The value is malformed.
    InvalidValue,
    /// The value is out of range.
    OutOfRange,
    /// Two values contradict each other.
    Conflict,
    /// The path is not one that holds a value.
    UnknownPath,
    /// A rollout references a service that the team does not have.
    UnknownService,
    /// A rollout references a model that the service does not offer.
    UnknownModel,
    /// A team references a zone that the fleet does not have.
    UnknownZone,
    /// Two teams or daemons use a name that must be unique.
    DuplicateName,
}

/// One finding: a code, a location, a reason and a suggested name.
///
/// # Examples
///
/// ```
/// use celeryknot_settings::{Diagnostic, DiagnosticCode};
///
/// let finding = Diagnostic::new(DiagnosticCode::UnknownKey, Some(3), "no key `ramp` in [service]")
///     .with_nearest("ramp_ms")
///     .in_source("teams/kinrin/services/wakai-llm");
/// assert_eq!(
///     finding.to_string(),
///     "teams/kinrin/services/wakai-llm:3: unknown-key: no key `ramp` in [service] \
///      (did you mean `ramp_ms`?)"
/// );
/// ```
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Diagnostic {
    /// The kind of error.
    pub code: DiagnosticCode,
    /// The file or settings path; empty until [`Diagnostic::in_source`] sets it.
    pub source: String,
    /// The line, counted from 1, if the finding belongs to one.
    pub line: Option<u32>,
    /// The error message, in one line.
    pub reason: String,
    /// The valid name that is most similar to the one in the text.
    pub nearest: Option<String>,
}

impl Diagnostic {
    /// Creates a finding without a source.
    pub fn new(code: DiagnosticCode, line: Option<u32>, reason: impl Into<String>) -> Self {
        Self {
            code,
            source: String::new(),
            line,
            reason: reason.into(),
            nearest: None,
        }
    }

    /// Sets the file or settings path of the finding.
    #[must_use]
    pub fn in_source(mut self, source: impl Into<String>) -> Self {
        self.source = source.into();
        self
    }

    /// Sets the suggested name.
    #[must_use]
    pub fn with_nearest(mut self, nearest: impl Into<String>) -> Self {
        self.nearest = Some(nearest.into());
        self
    }
}

impl fmt::Display for Diagnostic {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let source = if self.source.is_empty() {
            "settings"
        } else {
            &self.source
        };
        write!(f, "{source}:")?;
        if let Some(line) = self.line {
            write!(f, "{line}:")?;
        }
        write!(f, " {}: {}", self.code, self.reason)?;
        if let Some(nearest) = &self.nearest {
            write!(f, " (did you mean `{nearest}`?)")?;
        }
        Ok(())
    }
}

impl std::error::Error for Diagnostic {}

/// Minimum similarity of two names for one to be suggested in place of the other.
const SIMILARITY_MIN: f64 = 0.75;

/// Returns the name that is most similar to an unknown one.
pub(crate) fn nearest_name<'a>(
    unknown: &str,
    names: impl Iterator<Item = &'a str>,
) -> Option<&'a str> {
    names
        .map(|name| (similarity(unknown, name), name))
        .filter(|(similarity, _)| *similarity >= SIMILARITY_MIN)
        .max_by(|(a, _), (b, _)| a.total_cmp(b))
        .map(|(_, name)| name)
}

/// Returns the similarity of two names, from 0 to 1.
///
/// One edit always counts as similar, which matters for short names; Jaro-Winkler favours a common
/// prefix, which suits long ones.
fn similarity(unknown: &str, name: &str) -> f64 {
    let prefix_weighted = strsim::jaro_winkler(unknown, name);
    if strsim::damerau_levenshtein(unknown, name) <= 1 {
        return prefix_weighted.max(SIMILARITY_MIN);
    }
    prefix_weighted
}
