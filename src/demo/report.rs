use std::fmt::Write as _;
use std::path::Path;
use std::sync::Arc;

use eyre::{Report, WrapErr, eyre};
use plotters::prelude::{
    BLACK, ChartBuilder, IntoDrawingArea, LineSeries, Palette, Palette99, PathElement, SVGBackend,
    WHITE,
};

use super::Summary;
use super::journal::Entry;
use crate::clock::Instant;
use crate::collections::Map;

/// Size of a plot in pixels.
const SIZE: (u32, u32) = (900, 320);

/// A plot's lines: name and points.
type Lines = Vec<(Arc<str>, Vec<(f64, f64)>)>;

/// Writes one page without outside resources: the summary, answered calls over time and the
/// distribution of answer times per workspace.
pub(super) fn write_report(dir: &Path, summary: &Summary, entries: &[Entry]) -> Result<(), Report> {
    std::fs::create_dir_all(dir)
        .wrap_err_with(|| format!("step=make-folder path={}", dir.display()))?;
    let mut page = String::from(
        "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><title>coriandernotch demo</title>\n",
    );
    let text = summary
        .to_string()
        .replace('&', "&amp;")
        .replace('<', "&lt;");
    write!(page, "<h1>Demonstration</h1><pre>{text}</pre>")?;
    let rates = draw("seconds", "answered a second", &count_answers(entries))?;
    write!(
        page,
        "<h2>Answered calls of each workspace over time</h2>{rates}"
    )?;
    let times = draw(
        "milliseconds",
        "% of calls answered within",
        &distribute_times(entries),
    )?;
    write!(
        page,
        "<h2>Answer times of each workspace</h2>{times}</html>"
    )?;
    let path = dir.join("index.html");
    std::fs::write(&path, page).wrap_err_with(|| format!("step=write path={}", path.display()))
}

fn answered(entries: &[Entry]) -> impl Iterator<Item = &Entry> {
    let success = |e: &&Entry| {
        e.answer
            .as_ref()
            .is_some_and(|(status, _)| status.is_success())
    };
    entries.iter().filter(success)
}

/// Counts answered calls per workspace and second since the first call.
fn count_answers(entries: &[Entry]) -> Lines {
    let start = entries.iter().map(|e| e.sent).min().unwrap_or_default();
    let second = |at: Instant| at.since(start).as_secs() as usize;
    let length = entries.iter().map(|e| second(e.sent)).max().unwrap_or(0) + 1;
    let mut counts: Map<Arc<str>, Vec<f64>> = Map::default();
    for entry in answered(entries) {
        let line = counts
            .entry(entry.workspace.clone())
            .or_insert_with(|| vec![0.0; length]);
        line[second(entry.sent)] += 1.0;
    }
    let points = |line: Vec<f64>| (0..).map(f64::from).zip(line).collect();
    sort(
        counts
            .into_iter()
            .map(|(workspace, line)| (workspace, points(line)))
            .collect(),
    )
}

/// Makes the cumulative distribution of the answer times per workspace, cut at the 99.9th percentile.
fn distribute_times(entries: &[Entry]) -> Lines {
    let mut times: Map<Arc<str>, Vec<f64>> = Map::default();
    for entry in answered(entries) {
        times
            .entry(entry.workspace.clone())
            .or_default()
            .push(entry.took.as_secs_f64() * 1e3);
    }
    let points = |mut line: Vec<f64>| {
        line.sort_by(f64::total_cmp);
        let at = |permille: usize| {
            let place = (line.len() * permille / 1000).min(line.len() - 1);
            (line[place], permille as f64 / 10.0)
        };
        (0..1000).step_by(5).map(at).chain([at(999)]).collect()
    };
    sort(
        times
            .into_iter()
            .map(|(workspace, line)| (workspace, points(line)))
            .collect(),
    )
}

fn sort(mut lines: Lines) -> Lines {
    lines.sort_by(|a, b| a.0.cmp(&b.0));
    lines
}

/// Draws lines as an SVG element.
fn draw(x_name: &str, y_name: &str, lines: &Lines) -> Result<String, Report> {
    let points = || lines.iter().flat_map(|(_, points)| points);
    let largest = |of: fn(&(f64, f64)) -> f64| points().map(of).fold(1.0, f64::max) * 1.05;
    let (width, height) = (largest(|p| p.0), largest(|p| p.1));
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, SIZE).into_drawing_area();
        let failed = |e: &dyn std::fmt::Display| eyre!("step=draw cause={e}");
        area.fill(&WHITE).map_err(|e| failed(&e))?;
        let mut chart = ChartBuilder::on(&area)
            .margin(12)
            .x_label_area_size(36)
            .y_label_area_size(56)
            .build_cartesian_2d(0.0..width, 0.0..height)
            .map_err(|e| failed(&e))?;
        chart
            .configure_mesh()
            .x_desc(x_name)
            .y_desc(y_name)
            .draw()
            .map_err(|e| failed(&e))?;
        for (number, (workspace, points)) in lines.iter().enumerate() {
            let colour = Palette99::pick(number);
            chart
                .draw_series(LineSeries::new(points.iter().copied(), &colour))
                .map_err(|e| failed(&e))?
                .label(&**workspace)
                .legend(move |(x, y)| {
                    PathElement::new([(x, y), (x + 16, y)], Palette99::pick(number))
                });
        }
        chart
            .configure_series_labels()
            .background_style(WHITE)
            .border_style(BLACK)
            .draw()
            .map_err(|e| failed(&e))?;
        area.present().map_err(|e| failed(&e))?;
    }
    Ok(svg)
}
