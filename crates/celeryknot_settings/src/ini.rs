//! Parses INI text into sections and entries with their line numbers.
//!
//! `Fields` validates the names of sections and keys.

use ini_core::{Item, Parser};

use crate::diagnostic::{Diagnostic, DiagnosticCode};

/// Maximum size of a value or file; limits the control traffic when daemons relay values.
pub const TEXT_SIZE_MAX_BYTES: usize = 16 << 10;

/// The header of one section.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Section<'a> {
    pub(crate) name: &'a str,
    pub(crate) line: u32,
}

/// One `name = value` line.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Entry<'a> {
    pub(crate) section: &'a str,
    pub(crate) name: &'a str,
    pub(crate) value: &'a str,
    pub(crate) line: u32,
}

/// The sections, entries and syntax errors of a text, in line order.
#[derive(Debug, Default)]
pub(crate) struct Document<'a> {
    pub(crate) sections: Vec<Section<'a>>,
    pub(crate) entries: Vec<Entry<'a>>,
    pub(crate) diagnostics: Vec<Diagnostic>,
}

impl<'a> Document<'a> {
    /// Parses a text; lines that are not valid INI become diagnostics.
    pub(crate) fn parse(text: &'a str) -> Self {
        let mut document = Self::default();
        if text.len() > TEXT_SIZE_MAX_BYTES {
            let reason = format!(
                "the text has {} bytes, more than {TEXT_SIZE_MAX_BYTES}",
                text.len()
            );
            document
                .diagnostics
                .push(Diagnostic::new(DiagnosticCode::TooLarge, None, reason));
            return document;
        }
        let mut parser = Parser::new(text).auto_trim(true);
        loop {
            // `line` returns the number of consumed lines, so the next item starts one line later.
            let line = parser.line() + 1;
            let Some(item) = parser.next() else {
                return document;
            };
            document.add(item, line);
        }
    }

    fn add(&mut self, item: Item<'a>, line: u32) {
        match item {
            Item::Section(name) => self.sections.push(Section { name, line }),
            Item::Property(name, Some(value)) => self.add_entry(name, value, line),
            Item::Property(text, None) if text.starts_with(';') => {}
            Item::Property(text, None) | Item::Error(text) => self.add_syntax_error(text, line),
            Item::SectionEnd | Item::Comment(_) | Item::Blank => {}
        }
    }

    fn add_entry(&mut self, name: &'a str, value: &'a str, line: u32) {
        if name.starts_with(';') {
            return;
        }
        if name.starts_with('#') {
            return self.add_syntax_error(name, line);
        }
        let section = self.sections.last().map_or("", |section| section.name);
        self.entries.push(Entry {
            section,
            name,
            value,
            line,
        });
    }

    fn add_syntax_error(&mut self, text: &str, line: u32) {
        let excerpt: String = text.chars().take(40).collect();
        let reason = if text.starts_with('#') {
            "a comment begins with `;`".to_owned()
        } else {
            format!(
                "`{}` is neither `[section]`, `name = value` nor a comment",
                excerpt.escape_debug()
            )
        };
        self.diagnostics
            .push(Diagnostic::new(DiagnosticCode::Syntax, Some(line), reason));
    }
}
