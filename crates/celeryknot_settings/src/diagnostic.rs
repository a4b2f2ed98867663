//! What is wrong with a text, and where.

use std::fmt;

use strum::{Display, EnumIter, EnumString, IntoStaticStr};

/// The kinds of fault that a check can find.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, EnumIter, EnumString, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum DiagnosticCode {
    /// A line is not INI.
    Syntax,
    /// The text is larger than daemons pass on.
    TooLarge,
    /// No section has the name.
    UnknownSection,
    /// A section stands twice.
    DuplicateSection,
    /// The section has no key with the name.
    UnknownKey,
    /// A key stands twice.
    DuplicateKey,
    /// A required key is missing.
    MissingKey,
    /// The value has the wrong form.
    InvalidValue,
    /// The value lies outside its range.
    OutOfRange,
    /// Two values exclude each other.
    Conflict,
    /// No value belongs under the path.
    UnknownPath,
    /// A rollout names a service that the team does not have.
    UnknownService,
    /// A rollout names a model that the service does not offer.
    UnknownModel,
    /// A team names a zone that the fleet does not have.
    UnknownZone,
    /// Two teams or daemons use a name that must be one's.
    DuplicateName,
}

/// One finding: a code, a place, a reason and the nearest right name.
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
    /// The kind of fault.
    pub code: DiagnosticCode,
    /// The file or path; empty until it is known.
    pub source: String,
    /// The line, counted from 1, where one can be named.
    pub line: Option<u32>,
    /// What is wrong, in one line.
    pub reason: String,
    /// The nearest right name.
    pub nearest: Option<String>,
}

impl Diagnostic {
    /// Builds a finding whose source is not known yet.
    pub fn new(code: DiagnosticCode, line: Option<u32>, reason: impl Into<String>) -> Self {
        Self {
            code,
            source: String::new(),
            line,
            reason: reason.into(),
            nearest: None,
        }
    }

    /// Names the file or path in which the fault stands.
    #[must_use]
    pub fn in_source(mut self, source: impl Into<String>) -> Self {
        self.source = source.into();
        self
    }

    /// Names the nearest right name.
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

/// Least likeness of two names at which one is offered for the other.
const LIKENESS_MIN: f64 = 0.75;

/// Finds the name that is most like a wrong one.
pub(crate) fn nearest_name<'a>(
    wrong: &str,
    names: impl Iterator<Item = &'a str>,
) -> Option<&'a str> {
    names
        .map(|name| (likeness(wrong, name), name))
        .filter(|(likeness, _)| *likeness >= LIKENESS_MIN)
        .max_by(|(a, _), (b, _)| a.total_cmp(b))
        .map(|(_, name)| name)
}

/// Rates two names from 0 to 1; one slip is enough for short names, a common start for long ones.
fn likeness(wrong: &str, name: &str) -> f64 {
    let by_start = strsim::jaro_winkler(wrong, name);
    if strsim::damerau_levenshtein(wrong, name) <= 1 {
        return by_start.max(LIKENESS_MIN);
    }
    by_start
}
