//! The `report loss` command: reports from log files which requests were refused, late or
//! of unknown outcome, and why.

use std::path::Path;

use chervilwharf_lib::loss;
use chervilwharf_lib::loss::LossReport;
use chervilwharf_lib::loss::LossRow;
use chervilwharf_lib::loss::LossWindow;
use chervilwharf_lib::loss::WINDOW_MS;
use plotters::prelude::*;
use serde_json::json;

use crate::command::ExitStatus;
use crate::command::LossCommand;
use crate::command::Output;
use crate::explain::read_log;

/// Width and height of the plot in pixels.
const PLOT_SIZE_PX: (u32, u32) = (960, 420);

/// Prints the report. With `--svg`, also draws the numbers over time.
///
/// # Errors
///
/// Returns an error if the files hold no log lines, or one that names the file if a file
/// cannot be read or the plot cannot be written.
pub fn run(output: &Output, command: &LossCommand) -> Result<ExitStatus, String> {
    let mut log = Vec::new();
    for file in &command.files {
        log.extend(read_log(file)?);
    }
    if log.is_empty() {
        return Err("the files hold no log lines".to_owned());
    }
    let report = loss::report(&log);
    if output.json {
        output.line(json!(report));
    } else {
        print(output, &report);
    }
    if let Some(path) = &command.svg {
        let drawn = draw(path, &report.windows);
        drawn.map_err(|error| format!("{} cannot be drawn: {error}", path.display()))?;
    }
    Ok(ExitStatus::Done)
}

fn print(output: &Output, report: &LossReport) {
    output.line("   count  ending   reason             seconds        p50 / p90 ms  cause");
    for row in &report.rows {
        output.line(to_text(row));
        output.line(format_args!(
            "{:>20}{}; {}",
            "",
            format_counts(&row.groups),
            format_counts(&row.instances)
        ));
    }
    if report.lines_left_out > 0 {
        output.line(format_args!(
            "{} log lines were omitted because of rate limits: as many requests may be missing",
            report.lines_left_out
        ));
    }
}

#[allow(clippy::cast_precision_loss, reason = "seconds of a run")]
fn to_text(row: &LossRow) -> String {
    let (first_s, last_s) = (row.first_ms as f64 / 1e3, row.last_ms as f64 / 1e3);
    let seconds = format!("{first_s:.1} to {last_s:.1}");
    let took = format!("{:.0} / {:.0}", row.took_p50_ms, row.took_p90_ms);
    let LossRow { ending, reason, cause, count, .. } = row;
    format!("{count:>8}  {ending:<8} {reason:<18} {seconds:<14} {took:<13} {cause}")
}

fn format_counts(counts: &[(String, usize)]) -> String {
    let formatted: Vec<_> = counts.iter().map(|(name, count)| format!("{name} {count}")).collect();
    formatted.join(", ")
}

/// Draws the numbers of refused, unknown and late requests over time, stacked.
#[allow(clippy::cast_precision_loss, reason = "seconds and counts of a run")]
fn draw(path: &Path, windows: &[LossWindow]) -> Result<(), Box<dyn std::error::Error>> {
    let root = SVGBackend::new(path, PLOT_SIZE_PX).into_drawing_area();
    root.fill(&WHITE)?;
    let last_ms = windows.last().map_or(0, |window| window.from_ms) + WINDOW_MS;
    let counts = windows.iter().map(|window| window.refused + window.unknown + window.late);
    let highest = counts.max().unwrap_or(0).max(1);
    let mut chart = ChartBuilder::on(&root)
        .caption(
            "Requests a second: refused (red), unknown (blue), late (green)",
            ("sans-serif", 20),
        )
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..last_ms as f64 / 1e3, 0.0..highest as f64 * 1.1)?;
    chart.configure_mesh().x_desc("seconds after the first log line").draw()?;
    for window in windows {
        let (from_s, to_s) =
            (window.from_ms as f64 / 1e3, (window.from_ms + WINDOW_MS) as f64 / 1e3);
        let mut bottom = 0.0;
        let parts = [(window.refused, RED), (window.unknown, BLUE), (window.late, GREEN)];
        for (count, colour) in parts {
            let top = bottom + count as f64;
            let bar = Rectangle::new([(from_s, bottom), (to_s, top)], colour.filled());
            chart.draw_series(std::iter::once(bar))?;
            bottom = top;
        }
    }
    root.present()?;
    Ok(())
}
