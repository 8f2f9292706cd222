//! The `report burn` command: how fast each service uses up its error budget, the errors
//! that its service-level objective allows.

use std::collections::BTreeMap;
use std::path::Path;
use std::sync::Arc;

use chervilwharf_daemon::metrics::since_epoch;
use chervilwharf_lib::burn;
use chervilwharf_lib::burn::Alert;
use chervilwharf_lib::burn::BurnCounts;
use chervilwharf_lib::burn::ServiceBurn;
use chervilwharf_lib::config_check;
use plotters::prelude::*;
use serde_json::json;

use crate::client::Client;
use crate::command::BurnCommand;
use crate::command::ExitStatus;
use crate::command::Output;

/// Width and height of the plot in pixels.
const PLOT_SIZE_PX: (u32, u32) = (900, 480);

/// Prints the burn rate of each service over all instances that answer. With `--svg`,
/// also draws it.
///
/// # Errors
///
/// Returns an error if the store or every instance does not answer, if the stored
/// configuration or the counts of an instance are not valid, or if the plot cannot be
/// written.
pub async fn run(
    output: &Output,
    client: &Client,
    command: &BurnCommand,
) -> Result<ExitStatus, String> {
    let (_, stored) = client.configuration().await?.ok_or("the store holds no configuration")?;
    let config =
        config_check::check(&stored.text).config.ok_or("the stored configuration is not valid")?;
    let (counts, unreachable) = collect_counts(client).await?;
    let now = since_epoch();
    let no_requests = BurnCounts::default();
    let reports: Vec<_> = config
        .services
        .iter()
        .map(|(name, service)| {
            let counts = counts.get(name).unwrap_or(&no_requests);
            burn::report(name, service.objective, counts, now)
        })
        .collect();
    if let Some(path) = &command.svg {
        draw(path, &reports).map_err(|error| format!("{}: {error}", path.display()))?;
    }
    if output.json {
        output.line(json!({ "services": reports, "not_answering": unreachable }));
    } else {
        print(output, &reports);
        if !unreachable.is_empty() {
            eprintln!(
                "without the counts of instances that do not answer: {}",
                unreachable.join(", ")
            );
        }
    }
    Ok(ExitStatus::Done)
}

/// Counts of each service, and ids of the instances that do not answer.
type CollectedCounts = (BTreeMap<Arc<str>, BurnCounts>, Vec<String>);

/// Sums the counts of all instances.
async fn collect_counts(client: &Client) -> Result<CollectedCounts, String> {
    let mut sum: BTreeMap<Arc<str>, BurnCounts> = BTreeMap::new();
    let mut unreachable = Vec::new();
    let instances = client.instances().await?;
    for instance in &instances {
        let Ok(counts) = client.query_instance(instance, "burn", &[]).await else {
            unreachable.push(instance.id.to_string());
            continue;
        };
        let counts: BTreeMap<Arc<str>, BurnCounts> =
            serde_json::from_value(counts).map_err(|error| {
                format!("instance {} sent counts that cannot be read: {error}", instance.id)
            })?;
        for (service, counts) in counts {
            sum.entry(service).or_default().merge(&counts);
        }
    }
    if unreachable.len() == instances.len() {
        return Err("no instance answers".into());
    }
    Ok((sum, unreachable))
}

fn alert_name(alert: Alert) -> &'static str {
    match alert {
        Alert::None => "-",
        Alert::Ticket => "ticket",
        Alert::Page => "PAGE",
    }
}

fn print(output: &Output, reports: &[ServiceBurn]) {
    output.line("service            objective  window  requests  bad      burn     alert");
    for report in reports {
        for window in &report.windows {
            output.line(format_args!(
                "{:<18} {:<10} {:<7} {:<9} {:<8} {:<8.2} {}",
                report.service,
                report.objective,
                format!("{}m", window.window_s / 60),
                window.total,
                window.bad,
                window.burn_rate,
                alert_name(report.alert)
            ));
        }
        let causes = report.windows.last().map(|window| window.causes.as_slice());
        for (cause, count) in causes.unwrap_or_default() {
            output.line(format_args!("    {count} x {cause}"));
        }
    }
}

/// Draws one bar for each window of each service; its height is the burn rate.
fn draw(path: &Path, reports: &[ServiceBurn]) -> Result<(), Box<dyn std::error::Error>> {
    let root = SVGBackend::new(path, PLOT_SIZE_PX).into_drawing_area();
    root.fill(&WHITE)?;
    let rates = reports.iter().flat_map(|report| &report.windows).map(|window| window.burn_rate);
    let highest = rates.fold(1.0, f64::max) * 1.1;
    let bars = reports.len() * burn::WINDOWS.len();
    let mut chart = ChartBuilder::on(&root)
        .caption("Burn rate by service: 5 min, 1 h, 6 h", ("sans-serif", 22))
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(60)
        .build_cartesian_2d(0..bars.max(1), 0.0..highest)?;
    let windows = burn::WINDOWS.len();
    chart
        .configure_mesh()
        .disable_x_mesh()
        .x_labels(bars.max(1))
        .x_label_formatter(&|index| {
            let labelled_report =
                (index % windows == windows / 2).then(|| reports.get(index / windows)).flatten();
            labelled_report.map(|report| report.service.to_string()).unwrap_or_default()
        })
        .y_desc("burn rate (1 = exactly the error budget)")
        .draw()?;
    let colours = [RED, BLUE, GREEN];
    for (service_index, report) in reports.iter().enumerate() {
        for (index, window) in report.windows.iter().enumerate() {
            let x = service_index * windows + index;
            let bar =
                Rectangle::new([(x, 0.0), (x + 1, window.burn_rate)], colours[index].filled());
            chart.draw_series(std::iter::once(bar))?;
        }
    }
    root.present()?;
    Ok(())
}
