//! Measures the cost of one daemon's fleet state over three sizes of each kind, as JSON.
//!
//! `cargo run --release -p celeryknot_fleet --example slopes`

use std::time::{Duration, Instant};

use celeryknot_core::{DurationMs, EndpointCondition, EndpointName, EndpointSummary};
use celeryknot_fleet::simulation::{SeededRandom, Simulation, SimulationConfig};
use celeryknot_fleet::{ControlKind, Fleet};

/// Time for the fleet to converge before the measurements.
const WARM_UP_MS: u64 = 15_000;
/// Duration of each measurement.
const MEASURED_MS: u64 = 20_000;
/// Time between two changes of the endpoints' loads.
const LOAD_PERIOD_MS: u64 = 250;
/// Time between two replacements of a daemon under churn.
const REPLACE_PERIOD_MS: u64 = 4_000;
const PAGE_BYTES: u64 = 4_096;

struct Size {
    members: usize,
    endpoints: usize,
    settings: usize,
}

const SIZES: [Size; 7] = [
    size(9, 10, 50),
    size(64, 10, 50),
    size(320, 10, 50),
    size(64, 100, 50),
    size(64, 600, 50),
    size(64, 100, 2_000),
    size(320, 600, 50),
];

const fn size(members: usize, endpoints: usize, settings: usize) -> Size {
    Size {
        members,
        endpoints,
        settings,
    }
}

/// Bytes sent by each daemon, by kind, and the total processor time of all daemons.
struct Usage {
    bytes: Vec<[u64; KINDS.len()]>,
    processor: Duration,
}

const KINDS: [ControlKind; 7] = [
    ControlKind::Heartbeat,
    ControlKind::Members,
    ControlKind::Values,
    ControlKind::Instances,
    ControlKind::Platform,
    ControlKind::Summaries,
    ControlKind::Refreshes,
];

fn bytes_of(fleet: &Fleet) -> [u64; KINDS.len()] {
    KINDS.map(|kind| fleet.budget().count(kind).sent_bytes)
}

/// Measures one size in a subprocess, so that its memory figure excludes the other sizes.
fn measure_in_subprocess(index: usize) -> String {
    let program = std::env::current_exe().expect("the program has a path");
    let output = std::process::Command::new(program)
        .arg(index.to_string())
        .output()
        .expect("the program starts again");
    String::from_utf8_lossy(&output.stdout)
        .trim_end()
        .to_owned()
}

fn main() {
    let index = std::env::args().nth(1).and_then(|text| text.parse().ok());
    match index.and_then(|index: usize| SIZES.get(index)) {
        Some(size) => println!("{}", measure(size)),
        None => {
            let rows: Vec<String> = (0..SIZES.len()).map(measure_in_subprocess).collect();
            println!("[\n{}\n]", rows.join(",\n"));
        }
    }
}

fn measure(size: &Size) -> String {
    let before_bytes = resident_bytes();
    let mut simulation = Simulation::new(SimulationConfig {
        members: size.members,
        endpoints: size.endpoints,
        zones: 7,
        ..SimulationConfig::default()
    });
    for index in 0..size.settings {
        let path = format!("teams/kinrin/customers/office-{index}");
        let path = path.parse().expect("a valid path");
        simulation
            .platform
            .publish(&path, Some("[customer]\nshare_weight = 1\n"));
    }
    simulation.advance(WARM_UP_MS);
    let mut random = SeededRandom::new(5);
    let owned = owned_endpoints(&simulation, size.members);
    let calm = measure_traffic(&mut simulation, &owned, &mut random, false);
    let resident = resident_bytes().saturating_sub(before_bytes);
    let latency = settings_latency(&mut simulation);
    let load_latency = load_latency(&mut simulation, &owned, &mut random);
    let churn = measure_traffic(&mut simulation, &owned, &mut random, true);
    let seconds = MEASURED_MS / 1_000;
    let processor_us = calm.processor.as_micros() / u128::from(seconds) / size.members as u128;
    format!(
        "  {{\"members\": {}, \"endpoints\": {}, \"settings\": {}, \
         \"calm_bytes_per_s\": {}, \"calm_bytes_per_s_max\": {}, \
         \"churn_bytes_per_s\": {}, \"churn_bytes_per_s_max\": {}, \
         \"calm_by_kind\": {}, \"processor_us_per_s\": {processor_us}, \
         \"resident_bytes\": {}, \"settings_latency_ms\": {latency}, \
         \"load_latency_ms\": {load_latency}}}",
        size.members,
        size.endpoints,
        size.settings,
        mean(&calm) / seconds,
        max(&calm) / seconds,
        mean(&churn) / seconds,
        max(&churn) / seconds,
        by_kind(&calm, seconds),
        resident / size.members as u64,
    )
}

fn owned_endpoints(simulation: &Simulation, members: usize) -> Vec<Vec<EndpointName>> {
    let view = simulation
        .daemon(0)
        .expect("runs")
        .fleet
        .view(simulation.now());
    let owned_by = |index: usize| {
        let own = Simulation::name(index);
        let owned = view
            .endpoints
            .iter()
            .filter(|e| e.owner.as_ref() == Some(&own));
        owned.map(|endpoint| endpoint.name.clone()).collect()
    };
    (0..members).map(owned_by).collect()
}

fn measure_traffic(
    simulation: &mut Simulation,
    owned: &[Vec<EndpointName>],
    random: &mut SeededRandom,
    replaces_daemons: bool,
) -> Usage {
    let members = owned.len();
    let mut before: Vec<_> = simulation.daemons().map(|d| bytes_of(&d.fleet)).collect();
    let mut processor = Duration::ZERO;
    for step in 0..MEASURED_MS / LOAD_PERIOD_MS {
        change_loads(simulation, owned, random);
        if replaces_daemons && (step * LOAD_PERIOD_MS).is_multiple_of(REPLACE_PERIOD_MS) {
            let index = usize::try_from(random.below(members as u64)).unwrap_or(0);
            simulation.kill(index);
            simulation.restart(index);
            simulation.publish_list(&[]);
            before[index] = [0; KINDS.len()];
        }
        let start = Instant::now();
        simulation.advance(LOAD_PERIOD_MS);
        processor += start.elapsed();
    }
    let after = simulation.daemons().map(|d| bytes_of(&d.fleet));
    let used = |(after, before): ([u64; KINDS.len()], &[u64; KINDS.len()])| {
        std::array::from_fn(|kind| after[kind].saturating_sub(before[kind]))
    };
    Usage {
        bytes: after.zip(&before).map(used).collect(),
        processor,
    }
}

fn change_loads(
    simulation: &mut Simulation,
    owned: &[Vec<EndpointName>],
    random: &mut SeededRandom,
) {
    for (index, endpoints) in owned.iter().enumerate() {
        let Some(fleet) = simulation.fleet_mut(index) else {
            continue;
        };
        for endpoint in endpoints {
            let in_flight = 24 + u32::try_from(random.below(12)).unwrap_or(0);
            let summary = EndpointSummary {
                in_flight,
                queued: 0,
                in_flight_max: 64,
                wait_ms: DurationMs(u64::from(in_flight)),
                condition: EndpointCondition::Warm,
            };
            fleet.observe_own_endpoint(endpoint, summary);
        }
    }
}

/// Returns the time from a value's publication until it is active on all daemons.
fn settings_latency(simulation: &mut Simulation) -> String {
    let path = "fleet/zones/zone-0".parse().expect("a valid path");
    let revision = simulation
        .platform
        .publish(&path, Some("[zone]\nstate = out\n"));
    let elapsed = simulation.advance_until(60_000, |simulation| {
        simulation.daemons().all(|daemon| {
            let value = daemon.fleet.values().get(&path);
            value.is_some_and(|value| value.revision == revision)
        })
    });
    elapsed.map_or_else(|| "null".to_owned(), |elapsed| elapsed.0.to_string())
}

/// Returns the time until one load has reached all daemons while all loads keep changing.
fn load_latency(
    simulation: &mut Simulation,
    owned: &[Vec<EndpointName>],
    random: &mut SeededRandom,
) -> String {
    const MARKER_IN_FLIGHT: u32 = 63;
    const LIMIT_MS: u64 = 60_000;
    let marked = owned.iter().enumerate();
    let mut marked = marked.filter_map(|(index, names)| Some((index, names.first()?)));
    let Some((owner, endpoint)) = marked.next_back() else {
        return "null".to_owned();
    };
    let has_received = |fleet: &Fleet, simulation: &Simulation| {
        let view = fleet.view(simulation.now());
        let endpoint_view = view.endpoints.iter().find(|e| e.name == *endpoint);
        let summary = endpoint_view.and_then(|endpoint_view| endpoint_view.summary);
        summary.is_some_and(|summary| summary.in_flight == MARKER_IN_FLIGHT)
    };
    let start = simulation.now();
    while (simulation.now() - start).0 < LIMIT_MS {
        change_loads(simulation, owned, random);
        let summary = EndpointSummary {
            in_flight: MARKER_IN_FLIGHT,
            in_flight_max: 64,
            condition: EndpointCondition::Warm,
            ..EndpointSummary::default()
        };
        if let Some(fleet) = simulation.fleet_mut(owner) {
            fleet.observe_own_endpoint(endpoint, summary);
        }
        simulation.advance(LOAD_PERIOD_MS);
        if simulation
            .daemons()
            .all(|daemon| has_received(&daemon.fleet, simulation))
        {
            return (simulation.now() - start).0.to_string();
        }
    }
    "null".to_owned()
}

fn total(bytes: &[u64; KINDS.len()]) -> u64 {
    bytes.iter().sum()
}

fn mean(usage: &Usage) -> u64 {
    usage.bytes.iter().map(total).sum::<u64>() / usage.bytes.len() as u64
}

fn max(usage: &Usage) -> u64 {
    usage.bytes.iter().map(total).max().unwrap_or(0)
}

fn by_kind(usage: &Usage, seconds: u64) -> String {
    let mean_of = |kind: usize| {
        let sum: u64 = usage.bytes.iter().map(|bytes| bytes[kind]).sum();
        sum / usage.bytes.len() as u64 / seconds
    };
    let parts = KINDS.iter().enumerate();
    let parts: Vec<String> = parts
        .map(|(index, kind)| format!("\"{kind}\": {}", mean_of(index)))
        .collect();
    format!("{{{}}}", parts.join(", "))
}

fn resident_bytes() -> u64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1);
    pages
        .and_then(|pages| pages.parse::<u64>().ok())
        .unwrap_or(0)
        * PAGE_BYTES
}
