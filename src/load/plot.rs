//! SVG chart of goodput over time by tier.

use std::path::Path;

use plotters::prelude::*;
use thiserror::Error;

use super::report::{GroupReport, Report};

const SIZE_PX: (u32, u32) = (960, 480);
const MARGIN_PX: u32 = 12;
const Y_LABEL_WIDTH_PX: u32 = 48;
const X_LABEL_HEIGHT_PX: u32 = 40;
const LEGEND_LINE_PX: i32 = 18;

/// Line colours, distinguishable with colour blindness (Okabe and Ito).
const TIER_COLOURS: [RGBColor; 4] = [
    RGBColor(0, 114, 178),
    RGBColor(230, 159, 0),
    RGBColor(0, 158, 115),
    RGBColor(204, 121, 167),
];

/// The chart can't be drawn or written to its file.
#[derive(Debug, Error)]
#[error("{path}: {reason}")]
pub struct PlotError {
    path: String,
    reason: String,
}

/// Draws, per tier and second of arrival, complete responses in time (strong) and arrivals (faint).
pub fn plot(report: &Report, path: &Path) -> Result<(), PlotError> {
    draw(report, path).map_err(|e| PlotError {
        path: path.display().to_string(),
        reason: e.to_string(),
    })
}

fn draw(report: &Report, path: &Path) -> Result<(), Box<dyn std::error::Error>> {
    let root = SVGBackend::new(path, SIZE_PX).into_drawing_area();
    root.fill(&WHITE)?;
    let duration_s = report.tiers.iter().map(|t| t.seconds.len()).max();
    let max_sent = report.tiers.iter().flat_map(|t| &t.seconds).map(|s| s.sent);
    let y_max = max_sent.max().unwrap_or(0).max(1) as f64 * 1.1;
    let mut chart = ChartBuilder::on(&root)
        .margin(MARGIN_PX)
        .caption(
            "Whole answers in time (strong) and arrivals (faint), by tier",
            ("sans-serif", 18),
        )
        .x_label_area_size(X_LABEL_HEIGHT_PX)
        .y_label_area_size(Y_LABEL_WIDTH_PX)
        .build_cartesian_2d(0.0..duration_s.unwrap_or(0).max(1) as f64, 0.0..y_max)?;
    chart
        .configure_mesh()
        .x_desc("second of arrival")
        .y_desc("requests a second")
        .light_line_style(WHITE)
        .draw()?;
    for (i, tier) in report.tiers.iter().enumerate() {
        let colour = TIER_COLOURS[i % TIER_COLOURS.len()];
        chart.draw_series(LineSeries::new(
            step_points(tier, |s| s.sent),
            colour.mix(0.35),
        ))?;
        chart
            .draw_series(LineSeries::new(
                step_points(tier, |s| s.good),
                colour.stroke_width(2),
            ))?
            .label(tier.name.clone())
            .legend(move |(x, y)| {
                PathElement::new(
                    vec![(x, y), (x + LEGEND_LINE_PX, y)],
                    colour.stroke_width(2),
                )
            });
    }
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::UpperRight)
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK.mix(0.3))
        .draw()?;
    root.present()?;
    Ok(())
}

// A count applies to an entire second, so the line is drawn as steps.
fn step_points<V>(tier: &GroupReport, value: V) -> Vec<(f64, f64)>
where
    V: Fn(&super::report::SecondReport) -> u64,
{
    let mut points = Vec::new();
    for (i, second) in tier.seconds.iter().enumerate() {
        let count = value(second) as f64;
        points.push((i as f64, count));
        points.push((i as f64 + 1.0, count));
    }
    points
}
