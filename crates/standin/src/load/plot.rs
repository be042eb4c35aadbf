//! Plot of response time over time.

use std::path::Path;

use anyhow::{Result, anyhow};
use plotters::prelude::{
    ChartBuilder, Color, IntoDrawingArea, IntoLogRange, LineSeries, Palette, Palette99,
    PathElement, SVGBackend, WHITE,
};

use super::Figures;

const SIZE: (u32, u32) = (1_000, 600);

/// Draws the 99th percentile of the response time by second of arrival, a line for each policy.
///
/// # Errors
/// Fails if the file cannot be written.
pub fn draw(path: &Path, title: &str, all: &[Figures]) -> Result<()> {
    let points = || all.iter().flat_map(|figures| &figures.timeline);
    let end = points().map(|point| point.0).fold(1.0, f64::max);
    let top = points().map(|point| point.2).fold(100.0, f64::max);
    let area = SVGBackend::new(path, SIZE).into_drawing_area();
    let failed = |error: &dyn std::fmt::Display| anyhow!("the plot cannot be drawn: {error}");
    area.fill(&WHITE).map_err(|error| failed(&error))?;
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 18))
        .margin(10)
        .x_label_area_size(40)
        .y_label_area_size(70)
        .build_cartesian_2d(0.0..end, (10.0..top).log_scale())
        .map_err(|error| failed(&error))?;
    chart
        .configure_mesh()
        .x_desc("arrival, seconds")
        .y_desc("p99 response time, ms")
        .draw()
        .map_err(|error| failed(&error))?;
    for (number, figures) in all.iter().enumerate() {
        let colour = Palette99::pick(number).to_rgba();
        let line = figures.timeline.iter().map(|point| (point.0, point.2));
        chart
            .draw_series(LineSeries::new(line, &colour))
            .map_err(|error| failed(&error))?
            .label(&figures.policy)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 20, y)], colour));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE)
        .draw()
        .map_err(|error| failed(&error))?;
    area.present().map_err(|error| failed(&error))
}
