//! The result of a measurement: JSON, text and plot.

use std::path::Path;

use serde::Serialize;
use serde_json::Value;

use crate::plot::{Plot, draw};

/// Whether a run reached a target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Verdict {
    /// Description of the target.
    pub aim: String,
    /// Whether the run reached the target.
    pub is_reached: bool,
}

/// The result of a measurement.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Report {
    /// The measurement's name.
    pub name: &'static str,
    /// The figures.
    #[serde(flatten)]
    pub figures: Value,
    /// The targets, and whether the run reached them.
    pub verdicts: Vec<Verdict>,
    /// The plot, if the measurement has one.
    #[serde(skip)]
    pub plot: Option<Plot>,
}

impl Report {
    /// Creates a report of figures that serialize to JSON.
    pub(crate) fn new<T: Serialize>(name: &'static str, figures: &T) -> Self {
        let figures = serde_json::to_value(figures).expect("figures serialize to JSON");
        Self {
            name,
            figures,
            verdicts: Vec::new(),
            plot: None,
        }
    }

    pub(crate) fn with_verdict(mut self, aim: &str, is_reached: bool) -> Self {
        self.verdicts.push(Verdict {
            aim: aim.to_owned(),
            is_reached,
        });
        self
    }

    pub(crate) fn with_plot(mut self, plot: Plot) -> Self {
        self.plot = Some(plot);
        self
    }

    /// Returns the report as JSON.
    pub fn json(&self) -> String {
        serde_json::to_string_pretty(self).expect("a report serializes to JSON")
    }

    /// Returns the report as human-readable text.
    pub fn text(&self) -> String {
        let mut text = format!("{}\n", self.name);
        if let Value::Object(figures) = &self.figures {
            for (key, value) in figures {
                text.push_str(&render_figure(key, value));
            }
        }
        for verdict in &self.verdicts {
            let mark = if verdict.is_reached {
                "reached"
            } else {
                "missed "
            };
            text.push_str(&format!("  {mark}  {}\n", verdict.aim));
        }
        text
    }

    /// Returns whether the run reached every target.
    pub fn reached_all_targets(&self) -> bool {
        self.verdicts.iter().all(|verdict| verdict.is_reached)
    }

    /// Writes the plot as SVG; fails if the measurement has none.
    pub fn write_plot(&self, path: &Path) -> eyre::Result<()> {
        match &self.plot {
            Some(plot) => draw(plot, path),
            None => Err(eyre::eyre!("{} has no plot", self.name)),
        }
    }
}

fn render_figure(key: &str, value: &Value) -> String {
    match value {
        Value::Array(rows) => {
            let rows: String = rows.iter().map(render_row).collect();
            format!("  {key}\n{rows}")
        }
        Value::Null | Value::Bool(_) | Value::Number(_) | Value::String(_) | Value::Object(_) => {
            format!("  {key:<28} {}\n", format_value(value))
        }
    }
}

fn render_row(row: &Value) -> String {
    let Value::Object(cells) = row else {
        return format!("    {}\n", format_value(row));
    };
    let cells: Vec<String> = cells
        .iter()
        .map(|(key, value)| format!("{key} {:<16}", format_value(value)))
        .collect();
    format!("    {}\n", cells.join("  "))
}

fn format_value(value: &Value) -> String {
    match value {
        Value::Number(number) => match number.as_f64() {
            Some(float) if number.is_f64() => format!("{float:.3}"),
            Some(_) | None => number.to_string(),
        },
        Value::String(text) => text.clone(),
        Value::Null | Value::Bool(_) | Value::Array(_) | Value::Object(_) => value.to_string(),
    }
}
