//! Checks the files of several daemons of one fleet against each other.

use crate::daemon::DaemonSettings;
use crate::diagnostic::{Diagnostic, DiagnosticCode};

/// The settings of one daemon and the file that they came from.
#[derive(Debug, Clone, PartialEq)]
pub struct DaemonFile {
    /// The file, as findings are to name it.
    pub source: String,
    /// The settings.
    pub settings: DaemonSettings,
}

/// Checks what daemons of one fleet must share and what each must have for itself.
///
/// # Examples
///
/// ```
/// use celeryknot_settings::{DaemonFile, DaemonSettings, check_fleet};
///
/// let name = "entry-1".parse()?;
/// let settings = DaemonSettings::builder(name, "hkd-a".parse()?).build();
/// let files = ["one.ini", "two.ini"].map(|source| DaemonFile {
///     source: source.to_owned(),
///     settings: settings.clone(),
/// });
/// let findings = check_fleet(&files);
/// assert_eq!(
///     findings[0].to_string(),
///     "two.ini: duplicate-name: one.ini has the name `entry-1` too"
/// );
/// # Ok::<(), celeryknot_core::IdError>(())
/// ```
pub fn check_fleet(files: &[DaemonFile]) -> Vec<Diagnostic> {
    let Some(first) = files.first() else {
        return Vec::new();
    };
    let mut findings = Vec::new();
    for (index, file) in files.iter().enumerate() {
        findings.extend(check_own(file, &files[..index]));
        findings.extend(check_shared(file, first));
    }
    findings
}

/// Finds what the daemon shares with an earlier one but must not.
fn check_own(file: &DaemonFile, earlier: &[DaemonFile]) -> Option<Diagnostic> {
    let name = &file.settings.name;
    let other = earlier.iter().find(|other| other.settings.name == *name)?;
    let reason = format!("{} has the name `{name}` too", other.source);
    Some(Diagnostic::new(DiagnosticCode::DuplicateName, None, reason).in_source(&file.source))
}

/// Finds what the daemon must share with the first one but doesn't.
fn check_shared(file: &DaemonFile, first: &DaemonFile) -> Vec<Diagnostic> {
    let (own, theirs) = (&file.settings, &first.settings);
    let shared = [
        // During a change of keys a file may hold the new one first or still second.
        (
            "[keys] peers",
            own.peer_keys.shares_key_with(&theirs.peer_keys),
        ),
        (
            "[keys] callers",
            own.caller_keys.shares_key_with(&theirs.caller_keys),
        ),
        (
            "[limits] readers_per_zone",
            own.readers_per_zone == theirs.readers_per_zone,
        ),
    ];
    shared
        .into_iter()
        .filter(|(_, is_shared)| !is_shared)
        .map(|(key, _)| {
            let reason = format!("{key} differs from {}", first.source);
            Diagnostic::new(DiagnosticCode::Conflict, None, reason).in_source(&file.source)
        })
        .collect()
}
