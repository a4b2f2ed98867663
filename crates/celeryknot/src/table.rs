//! Plain-text tables.

use std::fmt;

/// Rows of cells under a heading, written in aligned columns.
///
/// # Examples
///
/// ```
/// use celeryknot::table::Table;
///
/// let mut table = Table::new(&["zone", "members"]);
/// table.add(["hkd-a".to_owned(), "3".to_owned()]);
/// assert_eq!(table.to_string(), "zone   members\nhkd-a  3\n");
/// ```
#[derive(Debug, Clone)]
pub struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Creates a table with a heading row.
    pub fn new(heading: &[&str]) -> Self {
        let heading = heading.iter().map(|cell| (*cell).to_owned()).collect();
        Self {
            rows: vec![heading],
        }
    }

    /// Adds a row.
    pub fn add<const N: usize>(&mut self, row: [String; N]) {
        self.rows.push(row.to_vec());
    }

    fn widths(&self) -> Vec<usize> {
        let columns = self.rows.iter().map(Vec::len).max().unwrap_or(0);
        let cell_width =
            |row: &Vec<String>, column: usize| row.get(column).map_or(0, |c| c.chars().count());
        (0..columns)
            .map(|column| {
                self.rows
                    .iter()
                    .map(|row| cell_width(row, column))
                    .max()
                    .unwrap_or(0)
            })
            .collect()
    }
}

impl fmt::Display for Table {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let widths = self.widths();
        for row in &self.rows {
            let cells: Vec<String> = row
                .iter()
                .zip(&widths)
                .map(|(cell, width)| format!("{cell:width$}"))
                .collect();
            writeln!(f, "{}", cells.join("  ").trim_end())?;
        }
        Ok(())
    }
}
