//! Plot of a run: responses per second, queued requests, and traffic between zones.

use super::scenario::Scenario;
use super::tally::{Second, Tally};
use plotters::chart::{ChartBuilder, SeriesLabelPosition};
use plotters::coord::Shift;
use plotters::drawing::{DrawingArea, IntoDrawingArea};
use plotters::element::{Rectangle, Text};
use plotters::prelude::{AreaSeries, LineSeries, SVGBackend};
use plotters::style::{Color, RGBColor, WHITE};
use std::path::Path;
use sycamore_core::{Code, Fault, Result};

/// Image size, in pixels.
const SIZE: (u32, u32) = (1_000, 980);
/// Vertical positions at which the image is split into three charts, in pixels.
const SPLITS: [u32; 2] = [400, 620];
const IN_TIME: RGBColor = RGBColor(51, 145, 85);
const LATE: RGBColor = RGBColor(230, 170, 50);
const FAILED: RGBColor = RGBColor(200, 60, 60);
const QUEUED: RGBColor = RGBColor(70, 90, 160);

type Area<'a> = DrawingArea<SVGBackend<'a>, Shift>;

/// Writes an SVG plot of a run.
pub fn draw(scenario: &Scenario, run: &Tally, path: &Path) -> Result<()> {
    let failed = |e: &dyn std::fmt::Display| {
        Fault::new(Code::OutputFailed).with_location(path.display()).with_detail(e)
    };
    let root = SVGBackend::new(path, SIZE).into_drawing_area();
    root.fill(&WHITE).map_err(|e| failed(&e))?;
    let (top, rest) = root.split_vertically(SPLITS[0]);
    let (middle, bottom) = rest.split_vertically(SPLITS[1] - SPLITS[0]);
    draw_requests(&top, scenario, run).map_err(|e| failed(&e))?;
    draw_queue(&middle, run).map_err(|e| failed(&e))?;
    draw_traffic(&bottom, scenario, run).map_err(|e| failed(&e))?;
    root.present().map_err(|e| failed(&e))
}

/// Label, color and upper edge of a layer.
type Layer = (&'static str, RGBColor, fn(&Second) -> u64);

type DrawResult = std::result::Result<(), Box<dyn std::error::Error>>;

/// Draws requests by the second in which they arrived, as stacked areas.
fn draw_requests(area: &Area<'_>, scenario: &Scenario, run: &Tally) -> DrawResult {
    let sum = |of: &Second| of.in_time + of.late + of.lost;
    let max = run.seconds.iter().map(sum).max().unwrap_or(1) as f64;
    let mut chart = ChartBuilder::on(area)
        .caption(format!("{}: requests per second by outcome", scenario.name), ("sans-serif", 18))
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..run.seconds.len() as f64, 0.0..max * 1.1)?;
    chart.configure_mesh().x_desc("second").draw()?;
    let layers: [Layer; 3] = [
        ("refused or failed", FAILED, |of| of.in_time + of.late + of.lost),
        ("late", LATE, |of| of.in_time + of.late),
        ("in time", IN_TIME, |of| of.in_time),
    ];
    for (label, color, height) in layers {
        let seconds = run.seconds.iter().enumerate();
        let points = seconds.map(|(at, of)| (at as f64, height(of) as f64));
        chart
            .draw_series(AreaSeries::new(points, 0.0, color.mix(0.9)))?
            .label(label)
            .legend(move |(x, y)| Rectangle::new([(x, y - 5), (x + 12, y + 5)], color.filled()));
    }
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::LowerRight)
        .background_style(WHITE.mix(0.8))
        .draw()?;
    Ok(())
}

/// Draws the number of requests queued at gatekeepers.
fn draw_queue(area: &Area<'_>, run: &Tally) -> DrawResult {
    let max = run.seconds.iter().map(|of| of.queued).max().unwrap_or(1).max(1) as f64;
    let mut chart = ChartBuilder::on(area)
        .caption("requests waiting for a slot", ("sans-serif", 16))
        .margin(10)
        .x_label_area_size(20)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..run.seconds.len() as f64, 0.0..max * 1.1)?;
    chart.configure_mesh().draw()?;
    let points = run.seconds.iter().enumerate().map(|(at, of)| (at as f64, of.queued as f64));
    chart.draw_series(LineSeries::new(points, &QUEUED))?;
    Ok(())
}

/// Draws a heat map of the bytes sent from zone (row) to zone (column).
fn draw_traffic(area: &Area<'_>, scenario: &Scenario, run: &Tally) -> DrawResult {
    let zones: Vec<&str> = scenario.zones.keys().map(|zone| zone.as_str()).collect();
    let count = zones.len();
    let between = |from: usize, to: usize| if from == to { 0 } else { run.bytes[from][to] };
    let all = (0..count * count).map(|cell| between(cell / count, cell % count));
    let max = all.max().unwrap_or(1).max(1) as f64;
    let mut chart = ChartBuilder::on(area)
        .caption("kB from zone (rows) to zone (columns)", ("sans-serif", 16))
        .margin(10)
        .y_label_area_size(110)
        .x_label_area_size(30)
        .build_cartesian_2d(0.0..count as f64, 0.0..count as f64)?;
    let place = |at: &f64| zones.get(*at as usize).copied().unwrap_or("").to_owned();
    chart
        .configure_mesh()
        .disable_mesh()
        // With fewer labels, the axis would show only every other zone.
        .x_labels(count + 1)
        .y_labels(count + 1)
        .x_label_formatter(&place)
        .y_label_formatter(&place)
        .draw()?;
    for cell in 0..count * count {
        let (from, to) = (cell / count, cell % count);
        let bytes = between(from, to) as f64;
        let (x, y) = (to as f64, from as f64);
        let style = QUEUED.mix(0.8 * bytes / max).filled();
        let square = Rectangle::new([(x, y), (x + 1.0, y + 1.0)], style);
        let text =
            Text::new(format!("{:.0}", bytes / 1e3), (x + 0.35, y + 0.55), ("sans-serif", 12));
        chart.draw_series([square])?;
        chart.draw_series([text])?;
    }
    Ok(())
}
