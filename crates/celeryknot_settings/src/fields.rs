//! The values of a settings text, validated against the declared keys.

use std::fmt;
use std::str::FromStr;

use crate::diagnostic::{Diagnostic, DiagnosticCode, nearest_name};
use crate::ini::{Document, Entry, Section};
use crate::key::{Key, Presence, split_list};

/// The validated values of a settings text, with typed access by section and name.
#[derive(Debug)]
pub(crate) struct Fields<'a> {
    keys: &'static [Key],
    values: Vec<Option<(&'a str, u32)>>,
}

impl<'a> Fields<'a> {
    /// Parses a text and validates it against the keys.
    ///
    /// # Errors
    ///
    /// Returns all findings, sorted by line.
    pub(crate) fn parse(keys: &'static [Key], text: &'a str) -> Result<Self, Vec<Diagnostic>> {
        let document = Document::parse(text);
        let mut fields = Self {
            keys,
            values: vec![None; keys.len()],
        };
        let mut diagnostics = document.diagnostics;
        diagnostics.extend(check_sections(keys, &document.sections));
        for entry in &document.entries {
            diagnostics.extend(fields.add(entry));
        }
        diagnostics.extend(fields.missing_keys(&document.sections));
        if diagnostics.is_empty() {
            return Ok(fields);
        }
        diagnostics.sort_by_key(|diagnostic| diagnostic.line);
        Err(diagnostics)
    }

    fn add(&mut self, entry: &Entry<'a>) -> Option<Diagnostic> {
        if !self.keys.iter().any(|key| key.section == entry.section) {
            return entry.section.is_empty().then(|| {
                let reason = format!("`{}` stands before the first [section]", entry.name);
                Diagnostic::new(DiagnosticCode::UnknownKey, Some(entry.line), reason)
            });
        }
        let Some(index) = self.find(entry.section, entry.name) else {
            return Some(unknown_key_diagnostic(self.keys, entry));
        };
        if let Some((_, first_line)) = self.values[index] {
            let reason = format!("`{}` was given on line {first_line} already", entry.name);
            return Some(Diagnostic::new(
                DiagnosticCode::DuplicateKey,
                Some(entry.line),
                reason,
            ));
        }
        self.values[index] = Some((entry.value, entry.line));
        let error = self.keys[index].key_type.check(entry.value).err()?;
        let reason = format!("`{}`: {}", entry.name, error.reason);
        Some(Diagnostic::new(error.code, Some(entry.line), reason))
    }

    fn missing_keys(&self, sections: &[Section<'_>]) -> Vec<Diagnostic> {
        let is_missing = |(key, value): &(&Key, &Option<(&str, u32)>)| {
            key.presence == Presence::Required && value.is_none()
        };
        self.keys
            .iter()
            .zip(&self.values)
            .filter(is_missing)
            .map(|(key, _)| {
                let section = sections.iter().find(|section| section.name == key.section);
                let reason = format!("[{}] needs `{}`", key.section, key.name);
                Diagnostic::new(
                    DiagnosticCode::MissingKey,
                    section.map(|section| section.line),
                    reason,
                )
            })
            .collect()
    }

    fn find(&self, section: &str, name: &str) -> Option<usize> {
        self.keys
            .iter()
            .position(|key| key.section == section && key.name == name)
    }

    fn index(&self, section: &str, name: &str) -> usize {
        self.find(section, name)
            .expect("every key that is read is declared in `key_table`")
    }

    /// Returns the line on which a key is set.
    pub(crate) fn line(&self, section: &str, name: &str) -> Option<u32> {
        self.values[self.index(section, name)].map(|(_, line)| line)
    }

    fn value_or_default(&self, section: &str, name: &str) -> Option<&str> {
        let index = self.index(section, name);
        if let Some((text, _)) = self.values[index] {
            return Some(text);
        }
        match self.keys[index].presence {
            Presence::Default(text) => Some(text),
            Presence::Required | Presence::Optional => None,
        }
    }

    /// Returns the value or default of a key, if it has one.
    pub(crate) fn optional<T: FromStr<Err: fmt::Debug>>(
        &self,
        section: &str,
        name: &str,
    ) -> Option<T> {
        let text = self.value_or_default(section, name)?;
        Some(text.parse().expect("`Fields::add` validated the value"))
    }

    /// Returns the value of a key that is required or has a default.
    pub(crate) fn get<T: FromStr<Err: fmt::Debug>>(&self, section: &str, name: &str) -> T {
        self.optional(section, name)
            .expect("the key is required or has a default")
    }

    /// Returns the items of a list; empty if the key is omitted.
    pub(crate) fn list<T: FromStr<Err: fmt::Debug>>(&self, section: &str, name: &str) -> Vec<T> {
        let Some(text) = self.value_or_default(section, name) else {
            return Vec::new();
        };
        split_list(text)
            .map(|item| item.parse().expect("`Fields::add` validated the items"))
            .collect()
    }
}

fn check_sections(keys: &'static [Key], sections: &[Section<'_>]) -> Vec<Diagnostic> {
    let mut diagnostics = Vec::new();
    for (index, section) in sections.iter().enumerate() {
        let first = sections[..index]
            .iter()
            .find(|earlier| earlier.name == section.name);
        if let Some(first) = first {
            let reason = format!("[{}] began on line {} already", section.name, first.line);
            let code = DiagnosticCode::DuplicateSection;
            diagnostics.push(Diagnostic::new(code, Some(section.line), reason));
        } else if !keys.iter().any(|key| key.section == section.name) {
            let reason = format!("no section [{}] here", section.name.escape_debug());
            let code = DiagnosticCode::UnknownSection;
            let mut diagnostic = Diagnostic::new(code, Some(section.line), reason);
            diagnostic.nearest =
                nearest_name(section.name, keys.iter().map(|key| key.section)).map(str::to_owned);
            diagnostics.push(diagnostic);
        }
    }
    diagnostics
}

fn unknown_key_diagnostic(keys: &'static [Key], entry: &Entry<'_>) -> Diagnostic {
    let code = DiagnosticCode::UnknownKey;
    if let Some(key) = keys.iter().find(|key| key.name == entry.name) {
        let reason = format!("`{}` belongs to [{}]", entry.name, key.section);
        return Diagnostic::new(code, Some(entry.line), reason);
    }
    let names = keys
        .iter()
        .filter(|key| key.section == entry.section)
        .map(|key| key.name);
    let reason = format!(
        "no key `{}` in [{}]",
        entry.name.escape_debug(),
        entry.section
    );
    let mut diagnostic = Diagnostic::new(code, Some(entry.line), reason);
    diagnostic.nearest = nearest_name(entry.name, names).map(str::to_owned);
    diagnostic
}
