//! Line plots in SVG format.

use std::path::Path;

use eyre::eyre;
use plotters::prelude::*;

/// One line of a plot.
#[derive(Debug, Clone, PartialEq)]
pub struct Series {
    /// The line's name.
    pub name: String,
    /// The points.
    pub points: Vec<(f64, f64)>,
}

/// A plot of lines.
#[derive(Debug, Clone, PartialEq)]
pub struct Plot {
    /// The title.
    pub title: String,
    /// Label of the horizontal axis.
    pub x_label: String,
    /// Label of the vertical axis.
    pub y_label: String,
    /// The lines.
    pub series: Vec<Series>,
}

const SIZE_PX: (u32, u32) = (900, 480);
/// Length of the vertical axis as a multiple of the largest value.
const Y_AXIS_HEADROOM: f64 = 1.1;

/// Writes a plot to an SVG file.
pub fn draw(plot: &Plot, path: &Path) -> eyre::Result<()> {
    let points = || plot.series.iter().flat_map(|series| &series.points);
    let x_max = points().map(|point| point.0).fold(1e-9, f64::max);
    let y_max = points().map(|point| point.1).fold(1e-9, f64::max) * Y_AXIS_HEADROOM;
    let area = SVGBackend::new(path, SIZE_PX).into_drawing_area();
    let draw_error =
        |error: &dyn std::fmt::Display| eyre!("cannot draw {}: {error}", path.display());
    area.fill(&WHITE).map_err(|error| draw_error(&error))?;
    let mut chart = ChartBuilder::on(&area)
        .caption(&plot.title, ("sans-serif", 22))
        .margin(14)
        .x_label_area_size(40)
        .y_label_area_size(56)
        .build_cartesian_2d(0.0..x_max, 0.0..y_max)
        .map_err(|error| draw_error(&error))?;
    chart
        .configure_mesh()
        .x_desc(&plot.x_label)
        .y_desc(&plot.y_label)
        .draw()
        .map_err(|error| draw_error(&error))?;
    for (index, series) in plot.series.iter().enumerate() {
        let color = Palette99::pick(index).to_rgba();
        chart
            .draw_series(LineSeries::new(series.points.iter().copied(), &color))
            .map_err(|error| draw_error(&error))?
            .label(&series.name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], color));
    }
    chart
        .configure_series_labels()
        .border_style(BLACK)
        .background_style(WHITE)
        .draw()
        .map_err(|error| draw_error(&error))?;
    area.present().map_err(|error| draw_error(&error))
}
