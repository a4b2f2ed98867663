//! Measures the time from a value's publication until it is active on all daemons, as JSON.
//!
//! `cargo run --release -p celeryknot_fleet --example settings`

use std::collections::BTreeMap;

use celeryknot_core::{Revision, SettingPath};
use celeryknot_fleet::simulation::{SeededRandom, Simulation, SimulationConfig};

const CHANGES: u64 = 60;
const UPDATE_DELAY_MS: u64 = 400;
const LATENCY_MAX_MS: u64 = 60_000;

/// Conditions under which values are published.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    Calm,
    StaleReplicas,
    DaemonsReplaced,
    SplitThatHeals,
}

const PHASES: [Phase; 4] = [
    Phase::Calm,
    Phase::StaleReplicas,
    Phase::DaemonsReplaced,
    Phase::SplitThatHeals,
];

#[derive(Default)]
struct Figures {
    times_ms: Vec<u64>,
    reverts: u64,
    never_in_force: u64,
}

fn main() {
    let mut rows = Vec::new();
    for members in [9, 64] {
        for phase in PHASES {
            rows.push(measure(members, phase));
        }
    }
    println!("[\n{}\n]", rows.join(",\n"));
}

fn measure(members: usize, phase: Phase) -> String {
    let mut simulation = Simulation::new(SimulationConfig {
        members,
        ..SimulationConfig::default()
    });
    simulation.advance(10_000);
    let mut random = SeededRandom::new(9);
    let mut figures = Figures::default();
    let mut highest: BTreeMap<u64, Revision> = BTreeMap::new();
    let path: SettingPath = "fleet/zones/zone-0".parse().expect("a valid path");
    simulation
        .platform
        .set_stale(if phase == Phase::StaleReplicas { 2 } else { 0 });
    let (calls, start) = (simulation.platform.calls(), simulation.now());
    for change in 0..CHANGES {
        inject_fault(&mut simulation, members, phase, change, &mut random);
        let revision = simulation
            .platform
            .publish(&path, Some(&format!("{change}")));
        // A value published during a partition can become active everywhere only after it heals.
        if phase == Phase::SplitThatHeals {
            simulation.advance(UPDATE_DELAY_MS);
            simulation.set_partition(&[]);
        }
        let elapsed = simulation.advance_until(LATENCY_MAX_MS, |simulation| {
            count_reverts(simulation, &path, &mut highest, &mut figures.reverts);
            simulation.daemons().all(|daemon| {
                let value = daemon.fleet.values().get(&path);
                value.map(|value| value.revision) == Some(revision)
            })
        });
        match elapsed {
            Some(elapsed) => figures.times_ms.push(elapsed.0),
            None => figures.never_in_force += 1,
        }
        simulation.advance(UPDATE_DELAY_MS);
    }
    let seconds = (simulation.now() - start).0 as f64 / 1_000.0;
    let calls_per_s = (simulation.platform.calls() - calls) as f64 / seconds;
    row(members, phase, figures, calls_per_s)
}

fn inject_fault(
    simulation: &mut Simulation,
    members: usize,
    phase: Phase,
    change: u64,
    random: &mut SeededRandom,
) {
    match phase {
        Phase::Calm | Phase::StaleReplicas => {}
        Phase::DaemonsReplaced => {
            if change.is_multiple_of(4) {
                let index = usize::try_from(random.below(members as u64)).unwrap_or(0);
                simulation.kill(index);
                simulation.restart(index);
            }
        }
        Phase::SplitThatHeals => {
            let side: Vec<usize> = (0..members / 3).collect();
            simulation.set_partition(&side);
            simulation.set_platform_sides(&[0]);
            simulation.advance(8_000);
        }
    }
}

fn count_reverts(
    simulation: &Simulation,
    path: &SettingPath,
    highest: &mut BTreeMap<u64, Revision>,
    reverts: &mut u64,
) {
    for daemon in simulation.daemons() {
        let Some(value) = daemon.fleet.values().get(path) else {
            continue;
        };
        let before = highest.insert(daemon.incarnation.0, value.revision);
        *reverts += u64::from(before > Some(value.revision));
    }
}

fn row(members: usize, phase: Phase, mut figures: Figures, calls_per_s: f64) -> String {
    figures.times_ms.sort_unstable();
    let quantile = |share: f64| {
        let rank = (figures.times_ms.len() as f64 * share).ceil() as usize;
        let time = figures.times_ms.get(rank.saturating_sub(1));
        time.copied().unwrap_or(0)
    };
    format!(
        "  {{\"members\": {members}, \"phase\": \"{phase:?}\", \"p50_ms\": {}, \"p99_ms\": {}, \
         \"worst_ms\": {}, \"reverts\": {}, \"never_in_force\": {}, \
         \"service_calls_per_s\": {calls_per_s:.1}}}",
        quantile(0.5),
        quantile(0.99),
        quantile(1.0),
        figures.reverts,
        figures.never_in_force,
    )
}
