//! Tables and timeline of the demo's text output.

use std::collections::BTreeMap;
use std::fmt::Write;

use celeryknot_standins::load::OutcomeKind;
use celeryknot_standins::{EndpointCounters, LoadReport};

use super::{DemoFigures, second_index};
use crate::cluster::Cluster;
use crate::sampler::LoadSample;

/// Width of the longest bar of the timeline, in characters.
const BAR_WIDTH_MAX: f64 = 30.0;

/// Figures of one second of the run.
#[derive(Debug, Default, Clone, Copy)]
struct SecondStats {
    completed: u64,
    refused: u64,
    failed: u64,
    mean_in_flight: f64,
    max_in_flight: f64,
}

pub(super) fn render(
    cluster: &Cluster,
    figures: &DemoFigures,
    load: &LoadReport,
    samples: &[LoadSample],
    events: &[(f64, String)],
) -> String {
    let mut text = String::new();
    write_endpoints(&mut text, cluster).expect("writing to a string succeeds");
    write_timeline(&mut text, load, samples, events).expect("writing to a string succeeds");
    write_figures(&mut text, figures).expect("writing to a string succeeds");
    text
}

fn write_endpoints(text: &mut String, cluster: &Cluster) -> std::fmt::Result {
    writeln!(
        text,
        "{}\n\nzone         endpoint          requests  peak in flight  prompt reuse",
        cluster.spec().title
    )?;
    let mut rows: Vec<(&str, String, EndpointCounters)> = cluster
        .engines
        .slots()
        .iter()
        .filter_map(|slot| {
            Some((
                slot.zone,
                slot.name.clone(),
                slot.engine.as_ref()?.counters(),
            ))
        })
        .collect();
    rows.extend(
        cluster
            .services
            .iter()
            .map(|slot| (slot.zone, slot.name.clone(), slot.service.counters())),
    );
    rows.sort_by(|one, other| one.0.cmp(other.0));
    let mut last_zone = "";
    for (zone, name, counters) in rows {
        let shown_zone = if zone == last_zone { "" } else { zone };
        last_zone = zone;
        let reuse = if counters.prompt_tokens == 0 {
            "-".to_owned()
        } else {
            let ratio = counters.cached_tokens as f64 / counters.prompt_tokens as f64;
            format!("{:.0} %", ratio * 100.0)
        };
        writeln!(
            text,
            "{shown_zone:<12} {name:<17} {:>8}  {:>14}  {reuse:>12}",
            counters.taken, counters.peak_in_flight
        )?;
    }
    Ok(())
}

fn write_timeline(
    text: &mut String,
    load: &LoadReport,
    samples: &[LoadSample],
    events: &[(f64, String)],
) -> std::fmt::Result {
    let seconds = collect_stats_by_second(load, samples);
    let completed_max = seconds.values().map(|second| second.completed).max();
    let scale = BAR_WIDTH_MAX / (completed_max.unwrap_or(1).max(1) as f64);
    writeln!(text, "\nsecond  answers  refused  in flight mean/max")?;
    for (at, second) in &seconds {
        let bar = "#".repeat((second.completed as f64 * scale).round() as usize);
        let notes: Vec<&str> = events
            .iter()
            .filter(|(event_at, _)| *event_at as u64 == *at)
            .map(|(_, note)| note.as_str())
            .collect();
        let failed = if second.failed > 0 {
            format!("  {} failed", second.failed)
        } else {
            String::new()
        };
        writeln!(
            text,
            "{at:>6}  {:>7}  {:>7}  {:>9.1}/{:<4.0}  {bar}{failed}  {}",
            second.completed,
            second.refused,
            second.mean_in_flight,
            second.max_in_flight,
            notes.join(", ")
        )?;
    }
    Ok(())
}

fn collect_stats_by_second(
    load: &LoadReport,
    samples: &[LoadSample],
) -> BTreeMap<u64, SecondStats> {
    let mut seconds: BTreeMap<u64, SecondStats> = BTreeMap::new();
    for sample in &load.samples {
        let second = seconds.entry(sample.at_ms / 1_000).or_default();
        match sample.end {
            OutcomeKind::Completed => second.completed += 1,
            OutcomeKind::Refused => second.refused += 1,
            OutcomeKind::Truncated | OutcomeKind::CrossDelivered | OutcomeKind::Lost => {
                second.failed += 1
            }
        }
    }
    let mut counts: BTreeMap<u64, f64> = BTreeMap::new();
    for sample in samples {
        let Some(second) = seconds.get_mut(&second_index(sample)) else {
            continue;
        };
        *counts.entry(second_index(sample)).or_default() += 1.0;
        second.mean_in_flight += sample.mean();
        second.max_in_flight = second.max_in_flight.max(sample.max());
    }
    for (at, count) in counts {
        if let Some(second) = seconds.get_mut(&at) {
            second.mean_in_flight /= count;
        }
    }
    seconds
}

fn write_figures(text: &mut String, figures: &DemoFigures) -> std::fmt::Result {
    let rows = [
        ("requests", figures.requests.to_string()),
        ("completed", figures.completed.to_string()),
        ("refused", figures.refused.to_string()),
        ("lost", figures.lost.to_string()),
        ("doubled bookings", figures.doubled_bookings.to_string()),
        ("truncated", figures.truncated.to_string()),
        ("cross-delivered", figures.cross_delivered.to_string()),
        (
            "cache reuse",
            format!("{:.0} %", figures.cache_reuse_ratio * 100.0),
        ),
        (
            "most loaded engine",
            format!("{:.2} times the mean", figures.max_over_mean_load),
        ),
        (
            "control traffic",
            format!("{:.0} bytes/s", figures.control_bytes_per_s),
        ),
        (
            "first token, p95",
            format!("{:.0} ms", figures.first_token_ms_p95),
        ),
    ];
    writeln!(text)?;
    for (name, value) in rows {
        writeln!(text, "{name:<20} {value}")?;
    }
    for (title, counts) in [
        ("refused", &figures.refused_by_code),
        ("lost", &figures.lost_by_reason),
    ] {
        for (reason, count) in counts {
            writeln!(text, "{title}: {reason:<30} {count}")?;
        }
    }
    Ok(())
}
