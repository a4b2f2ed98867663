//! Finds settings files and determines their kind.

use std::collections::BTreeMap;
use std::fmt;
use std::path::{Path, PathBuf};

use crate::exit_status::Failure;

/// Maximum depth of the search, which stops at cyclic links.
const FOLDER_DEPTH_MAX: usize = 16;

/// A file that contains one value.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ValueFile {
    /// The path of the file.
    pub file: PathBuf,
    /// The path of the value in its tree.
    pub path: String,
}

/// The settings files found.
#[derive(Debug, Default)]
pub struct Sources {
    /// Daemon files.
    pub daemons: Vec<PathBuf>,
    /// Values by the root folder of their tree.
    pub trees: BTreeMap<PathBuf, Vec<ValueFile>>,
    /// Files with the operators' configuration.
    pub configurations: Vec<PathBuf>,
    /// Whether folders were searched, so that the trees are complete.
    pub has_complete_trees: bool,
    /// Number of files that are not settings.
    pub other_files: usize,
}

impl Sources {
    /// Finds the settings among files and in folders.
    ///
    /// # Errors
    ///
    /// Fails when a folder can't be read or there is nothing to check.
    pub fn find(paths: &[PathBuf]) -> Result<Self, Failure> {
        let mut sources = Self {
            has_complete_trees: paths.iter().any(|path| path.is_dir()),
            ..Self::default()
        };
        for path in paths {
            if path.is_dir() {
                sources.search(path, 0)?;
            } else {
                sources.add_given(path);
            }
        }
        if sources.daemons.is_empty()
            && sources.trees.is_empty()
            && sources.configurations.is_empty()
        {
            return Err(Failure::usage(
                "no settings here: daemons' files end in `.ini`, values lie below `teams` or `fleet`",
            ));
        }
        Ok(sources)
    }

    /// Uses a single file as the operators' configuration, regardless of its name.
    pub fn single_configuration(file: PathBuf) -> Self {
        Self {
            configurations: vec![file],
            ..Self::default()
        }
    }

    /// Uses a single file as the value of a path.
    pub fn single_value(file: PathBuf, path: &str) -> Self {
        let value = ValueFile {
            file,
            path: path.to_owned(),
        };
        Self {
            trees: BTreeMap::from([(PathBuf::new(), vec![value])]),
            ..Self::default()
        }
    }

    fn search(&mut self, folder: &Path, depth: usize) -> Result<(), Failure> {
        let failure = |error| Failure::usage(format!("{}: {error}", folder.display()));
        if depth > FOLDER_DEPTH_MAX {
            return Err(Failure::usage(format!(
                "{}: more than {FOLDER_DEPTH_MAX} folders deep",
                folder.display()
            )));
        }
        let mut paths = Vec::new();
        for entry in std::fs::read_dir(folder).map_err(failure)? {
            paths.push(entry.map_err(failure)?.path());
        }
        paths.sort();
        for path in paths.iter().filter(|path| !is_hidden(path)) {
            if path.is_dir() {
                self.search(path, depth + 1)?;
            } else {
                self.add_found(path);
            }
        }
        Ok(())
    }

    fn add_found(&mut self, file: &Path) {
        if is_daemon_file(file) {
            self.daemons.push(file.to_owned());
        } else if !self.add_value(file) {
            self.other_files += 1;
        }
    }

    /// Adds a file given as an argument, which is checked regardless of its name.
    fn add_given(&mut self, file: &Path) {
        if is_configuration(file) {
            self.configurations.push(file.to_owned());
        } else if is_daemon_file(file) || !self.add_value(file) {
            self.daemons.push(file.to_owned());
        }
    }

    fn add_value(&mut self, file: &Path) -> bool {
        let Some((root, path)) = split_tree(file) else {
            return false;
        };
        let value = ValueFile {
            file: file.to_owned(),
            path,
        };
        self.trees.entry(root).or_default().push(value);
        true
    }
}

fn is_hidden(path: &Path) -> bool {
    path.file_name()
        .is_some_and(|name| name.to_string_lossy().starts_with('.'))
}

fn is_daemon_file(file: &Path) -> bool {
    file.extension().is_some_and(|extension| extension == "ini")
}

fn is_configuration(file: &Path) -> bool {
    file.extension()
        .is_some_and(|extension| extension == "json")
}

/// Splits the path of a file into the root of its tree and the path of the value, which begins at
/// the last folder `teams` or `fleet`.
fn split_tree(file: &Path) -> Option<(PathBuf, String)> {
    let parts: Vec<_> = file.components().collect();
    let is_top = |part: &std::path::Component<'_>| {
        part.as_os_str() == "teams" || part.as_os_str() == "fleet"
    };
    let top = parts[..parts.len().checked_sub(1)?]
        .iter()
        .rposition(is_top)?;
    let root = parts[..top].iter().collect();
    let names: Vec<_> = parts[top..]
        .iter()
        .map(|part| part.as_os_str().to_string_lossy())
        .collect();
    Some((root, names.join("/")))
}

impl fmt::Display for Sources {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let plural = |count: usize, one: &str, many: &str| match count {
            1 => format!("1 {one}"),
            n => format!("{n} {many}"),
        };
        let values = self.trees.values().map(Vec::len).sum();
        let configurations = self.configurations.len();
        let counts = [
            (self.daemons.len(), "daemon file", "daemon files"),
            (values, "value", "values"),
            (configurations, "configuration", "configurations"),
        ];
        let counts = counts.into_iter().filter(|(count, _, _)| *count > 0);
        let counts: Vec<String> = counts
            .map(|(count, one, many)| plural(count, one, many))
            .collect();
        match counts.split_last() {
            None => f.write_str(&plural(0, "value", "values"))?,
            Some((last, [])) => f.write_str(last)?,
            Some((last, others)) => write!(f, "{} and {last}", others.join(", "))?,
        }
        if self.other_files > 0 {
            write!(
                f,
                ", passed over {}",
                plural(self.other_files, "other file", "other files")
            )?;
        }
        Ok(())
    }
}
