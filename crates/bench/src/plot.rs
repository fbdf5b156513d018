//! SVG plots of completed answers per second.

use std::{collections::BTreeMap, path::Path};

use plotters::prelude::*;

/// Width and height of a plot, pixels.
const SIZE: (u32, u32) = (900, 360);

/// Writes a plot with one line for each variant to `file`.
///
/// Each element of `series` is a variant's name and its answers by second.
///
/// # Errors
///
/// Returns the drawing error as text, for example if `file` can't be written.
pub fn plot_answers_per_second(
    file: &Path,
    title: &str,
    series: &[(&str, &BTreeMap<u64, u64>)],
) -> Result<(), String> {
    draw(file, title, series).map_err(|err| err.to_string())
}

fn draw(
    file: &Path,
    title: &str,
    series: &[(&str, &BTreeMap<u64, u64>)],
) -> Result<(), Box<dyn std::error::Error>> {
    let last_second = series
        .iter()
        .filter_map(|(_, points)| points.keys().max())
        .max();
    let max_count = series
        .iter()
        .filter_map(|(_, points)| points.values().max())
        .max();
    let (last_second, max_count) = (
        last_second.copied().unwrap_or(1),
        max_count.copied().unwrap_or(1),
    );
    let root = SVGBackend::new(file, SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(40)
        .build_cartesian_2d(0..last_second, 0..max_count + max_count / 10 + 1)?;
    let caption = series
        .iter()
        .map(|(name, _)| *name)
        .collect::<Vec<_>>()
        .join(", ");
    chart
        .configure_mesh()
        .x_desc(format!("{title}: seconds ({caption})"))
        .y_desc("answers a second")
        .draw()?;
    for (index, (_, points)) in series.iter().enumerate() {
        let color = Palette99::pick(index).to_rgba();
        let line = points.iter().map(|(second, count)| (*second, *count));
        chart.draw_series(LineSeries::new(line, color.stroke_width(1)))?;
    }
    root.present()?;
    Ok(())
}
