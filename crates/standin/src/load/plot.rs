//! Plot of the response time over the time of arrival.

use std::path::Path;

use anyhow::{Result, anyhow};
use plotters::prelude::{
    ChartBuilder, Color, IntoDrawingArea, IntoLogRange, LineSeries, Palette, Palette99,
    PathElement, SVGBackend, WHITE,
};

use super::Figures;

const SIZE_PIXELS: (u32, u32) = (1_000, 600);

/// Writes an SVG plot of the 99th percentile of the response time by second of arrival, on a
/// logarithmic scale, with one line for each policy.
///
/// # Errors
/// Fails if the plot cannot be drawn or the file cannot be written.
pub fn draw_response_times(path: &Path, title: &str, figures_by_policy: &[Figures]) -> Result<()> {
    let points = || {
        figures_by_policy
            .iter()
            .flat_map(|figures| &figures.timeline)
    };
    let last_second = points().map(|point| point.0).fold(1.0, f64::max);
    let max_p99_ms = points().map(|point| point.2).fold(100.0, f64::max);
    let area = SVGBackend::new(path, SIZE_PIXELS).into_drawing_area();
    let plot_error = |error: &dyn std::fmt::Display| anyhow!("cannot draw the plot: {error}");
    area.fill(&WHITE).map_err(|error| plot_error(&error))?;
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 18))
        .margin(10)
        .x_label_area_size(40)
        .y_label_area_size(70)
        .build_cartesian_2d(0.0..last_second, (10.0..max_p99_ms).log_scale())
        .map_err(|error| plot_error(&error))?;
    chart
        .configure_mesh()
        .x_desc("arrival, seconds")
        .y_desc("p99 response time, ms")
        .draw()
        .map_err(|error| plot_error(&error))?;
    for (index, figures) in figures_by_policy.iter().enumerate() {
        let colour = Palette99::pick(index).to_rgba();
        let line = figures.timeline.iter().map(|point| (point.0, point.2));
        chart
            .draw_series(LineSeries::new(line, &colour))
            .map_err(|error| plot_error(&error))?
            .label(&figures.policy)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 20, y)], colour));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE)
        .draw()
        .map_err(|error| plot_error(&error))?;
    area.present().map_err(|error| plot_error(&error))
}
