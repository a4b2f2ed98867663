//! `load` sends load and measures the responses.

use std::io::Write;
use std::sync::Arc;
use std::time::Duration;

use celeryknot_core::DurationMs;
use celeryknot_standins::load::{Balancer, CustomerShare, run_load};
use celeryknot_standins::{Caller, CallerOptions, LoadOptions, LoadPlan, LoadReport};
use serde::Serialize;

use super::write_json;
use crate::arguments::{CustomerWeight, Format, LoadArguments};
use crate::exit_status::{ExitStatus, Failure};
use crate::progress;

/// The results, with latencies relative to the planned start time of each request.
#[derive(Debug, Serialize)]
struct LoadSummary<'a> {
    #[serde(flatten)]
    report: &'a LoadReport,
    cache_reuse_ratio: f64,
    first_token_ms: Quantiles,
    #[serde(rename = "whole_ms")]
    complete_response_ms: Quantiles,
}

#[derive(Debug, Serialize)]
struct Quantiles {
    p50: Option<f64>,
    p90: Option<f64>,
    p99: Option<f64>,
    max: Option<f64>,
}

impl Quantiles {
    fn of(quantile: impl Fn(f64) -> Option<f64>) -> Self {
        Self {
            p50: quantile(0.5),
            p90: quantile(0.9),
            p99: quantile(0.99),
            max: quantile(1.0),
        }
    }
}

/// Sends the load and writes the report.
///
/// # Errors
///
/// Fails when no address is given, a rate is invalid or the output is closed.
pub fn run(arguments: &LoadArguments, out: &mut impl Write) -> Result<ExitStatus, Failure> {
    if arguments.address.is_empty() {
        return Err(Failure::usage("give at least one --address"));
    }
    let rates = [
        arguments.chats_per_s,
        arguments.bookings_per_s,
        arguments.reads_per_s,
    ];
    if rates.iter().any(|rate| !rate.is_finite() || *rate < 0.0) {
        return Err(Failure::usage("a rate is a number from 0 up"));
    }
    let plan = Arc::new(LoadPlan::draw(options(arguments)));
    let balancer = Arc::new(Balancer::new(
        arguments.service.as_str(),
        arguments.address.clone(),
    ));
    let work = run_load(plan, Caller::new(CallerOptions::default()), balancer);
    let duration = Duration::from_secs(arguments.seconds);
    let report = smol::block_on(progress::show_progress("load", duration, work));
    let summary = summarize(&report);
    match arguments.format {
        Format::Json => write_json(out, &summary)?,
        Format::Text => out.write_all(render(&summary).as_bytes())?,
    }
    if report.lost + report.truncated + report.cross_delivered > 0 {
        return Ok(ExitStatus::Findings);
    }
    Ok(ExitStatus::Done)
}

fn options(arguments: &LoadArguments) -> LoadOptions {
    let share = |customer: &CustomerWeight| CustomerShare {
        name: customer.name.to_string(),
        weight: customer.weight,
    };
    let options = LoadOptions::default()
        .chats_per_s(arguments.chats_per_s)
        .bookings_per_s(arguments.bookings_per_s)
        .reads_per_s(arguments.reads_per_s)
        .length_ms(DurationMs(arguments.seconds.saturating_mul(1000)))
        .model_service(arguments.service.to_string())
        .model(arguments.model.to_string())
        .plain_service(arguments.plain_service.to_string())
        .think_time_ms(arguments.pause_ms)
        .seed(arguments.seed);
    if arguments.customer.is_empty() {
        return options;
    }
    options.customers(arguments.customer.iter().map(share).collect())
}

fn summarize(report: &LoadReport) -> LoadSummary<'_> {
    let histogram = report.histogram_ms();
    let complete_response_quantile = |quantile| {
        // A duration in milliseconds fits a float exactly.
        (!histogram.is_empty()).then(|| histogram.value_at_quantile(quantile) as f64)
    };
    LoadSummary {
        report,
        cache_reuse_ratio: report.reuse_ratio(),
        first_token_ms: Quantiles::of(|quantile| report.first_token_ms(quantile, |_| true)),
        complete_response_ms: Quantiles::of(complete_response_quantile),
    }
}

fn render(summary: &LoadSummary<'_>) -> String {
    let report = summary.report;
    let mut text = format!(
        "requests {}  completed {}  refused {}  lost {}  truncated {}  cross-delivered {}\n\
         prompt tokens found in a cache: {:.1} %\n",
        report.requests,
        report.completed,
        report.refused,
        report.lost,
        report.truncated,
        report.cross_delivered,
        summary.cache_reuse_ratio * 100.0,
    );
    let rows = [
        ("first token", &summary.first_token_ms),
        ("whole answer", &summary.complete_response_ms),
    ];
    let mut table =
        crate::table::Table::new(&["from the planned time", "p50", "p90", "p99", "max"]);
    for (name, quantiles) in rows {
        let [p50, p90, p99, max] =
            [quantiles.p50, quantiles.p90, quantiles.p99, quantiles.max].map(format_ms);
        table.add([name.to_owned(), p50, p90, p99, max]);
    }
    text.push_str(&table.to_string());
    for (name, counts) in [
        ("refused", &report.refused_by_code),
        ("lost", &report.lost_by_reason),
    ] {
        for (reason, count) in counts {
            text.push_str(&format!("{name}: {count} {reason}\n"));
        }
    }
    text
}

fn format_ms(time_ms: Option<f64>) -> String {
    time_ms.map_or("-".to_owned(), |time_ms| format!("{time_ms:.0} ms"))
}
