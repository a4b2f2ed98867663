//! Checks that the settings files of a fleet's daemons are consistent.

use crate::daemon::DaemonSettings;
use crate::diagnostic::{Diagnostic, DiagnosticCode};

/// The settings of one daemon and the file that contains them.
#[derive(Debug, Clone, PartialEq)]
pub struct DaemonFile {
    /// The file name that findings show.
    pub source: String,
    /// The settings.
    pub settings: DaemonSettings,
}

/// Checks that the daemons of a fleet have unique names and the same shared settings.
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
        findings.extend(check_unique_name(file, &files[..index]));
        findings.extend(check_shared_settings(file, first));
    }
    findings
}

/// Reports a daemon whose name an earlier file already uses.
fn check_unique_name(file: &DaemonFile, earlier: &[DaemonFile]) -> Option<Diagnostic> {
    let name = &file.settings.name;
    let other = earlier.iter().find(|other| other.settings.name == *name)?;
    let reason = format!("{} has the name `{name}` too", other.source);
    Some(Diagnostic::new(DiagnosticCode::DuplicateName, None, reason).in_source(&file.source))
}

/// Reports shared settings that differ from those of the first file.
fn check_shared_settings(file: &DaemonFile, first: &DaemonFile) -> Vec<Diagnostic> {
    let (own, expected) = (&file.settings, &first.settings);
    let comparisons = [
        // During a key rotation, the current key of one file may be the previous key of another.
        (
            "[keys] peers",
            own.peer_keys.shares_key_with(&expected.peer_keys),
        ),
        (
            "[keys] callers",
            own.caller_keys.shares_key_with(&expected.caller_keys),
        ),
        (
            "[limits] readers_per_zone",
            own.readers_per_zone == expected.readers_per_zone,
        ),
    ];
    comparisons
        .into_iter()
        .filter(|(_, is_consistent)| !is_consistent)
        .map(|(key, _)| {
            let reason = format!("{key} differs from {}", first.source);
            Diagnostic::new(DiagnosticCode::Conflict, None, reason).in_source(&file.source)
        })
        .collect()
}
