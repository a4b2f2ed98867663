//! How long a change of the store takes to all daemons that have no fault themselves.

#![allow(
    clippy::unwrap_used,
    reason = "tests may unwrap, in their helper functions too"
)]

#[allow(unreachable_pub, reason = "a module of a test has no other users")]
mod simulation;

use celeryknot_core::DurationMs;
use simulation::{Disturbance, Fault, FleetSize, Simulation};

/// Three quarters of the 2,000 ms in which a change must be in effect; the rest is for processing.
const ARRIVAL_TIME_MAX: DurationMs = DurationMs(1_500);

/// Time before the fault, in which the phases of polls and watches drift apart.
const WARM_UP: DurationMs = DurationMs(3_000);

/// Duration of the fault.
const FAULT_TIME: DurationMs = DurationMs(6_000);

/// Time after the last change, in which it may still arrive.
const SETTLING_TIME: DurationMs = DurationMs(4_000);

const SMALL: FleetSize = FleetSize {
    daemons: 9,
    endpoints: 13,
};
const GROWN: FleetSize = FleetSize {
    daemons: 77,
    endpoints: 63,
};
const LARGE: FleetSize = FleetSize {
    daemons: 300,
    endpoints: 600,
};

struct Case {
    name: &'static str,
    size: FleetSize,
    fault: Option<Fault>,
    /// Number of daemons with the fault, in the order of their ranks as readers.
    faulty_daemons: usize,
    /// Times of changes after the start of the fault.
    changes_ms: &'static [u64],
    /// Whether idle connections to the store go silent when the fault begins.
    are_connections_silent: bool,
    /// Number of runs with different phases.
    seeds: u64,
}

const fn case(
    name: &'static str,
    size: FleetSize,
    fault: Fault,
    faulty_daemons: usize,
    changes_ms: &'static [u64],
) -> Case {
    Case {
        name,
        size,
        fault: Some(fault),
        faulty_daemons,
        changes_ms,
        are_connections_silent: false,
        seeds: if size.daemons < 100 { 2 } else { 1 },
    }
}

const JUST_AFTER: &[u64] = &[20];
const LATER: &[u64] = &[1_700];
const SERIES: &[u64] = &[20, 420, 820, 2_700, 3_100, 5_900, 6_050];

const CASES: [Case; 16] = [
    case(
        "six frozen of 77, a change just after",
        GROWN,
        Fault::Frozen,
        6,
        JUST_AFTER,
    ),
    case(
        "six frozen of 77, a change later",
        GROWN,
        Fault::Frozen,
        6,
        LATER,
    ),
    case(
        "six frozen of 77, a series",
        GROWN,
        Fault::Frozen,
        6,
        SERIES,
    ),
    case("six killed of 77", GROWN, Fault::Killed, 6, JUST_AFTER),
    case("six cut off of 77", GROWN, Fault::CutOff, 6, JUST_AFTER),
    case(
        "six without store of 77",
        GROWN,
        Fault::CutOffFromStore,
        6,
        JUST_AFTER,
    ),
    case(
        "six without store of 77, a series",
        GROWN,
        Fault::CutOffFromStore,
        6,
        SERIES,
    ),
    case(
        "six refused of 77",
        GROWN,
        Fault::RefusedByStore,
        6,
        JUST_AFTER,
    ),
    case(
        "five refused of 77",
        GROWN,
        Fault::RefusedByStore,
        5,
        SERIES,
    ),
    case("twelve frozen of 77", GROWN, Fault::Frozen, 12, SERIES),
    case("fifty cut off of 77", GROWN, Fault::CutOff, 50, SERIES),
    case("six frozen of 9", SMALL, Fault::Frozen, 6, SERIES),
    case(
        "eight without store of 9",
        SMALL,
        Fault::CutOffFromStore,
        8,
        JUST_AFTER,
    ),
    case("eight frozen of 9", SMALL, Fault::Frozen, 8, LATER),
    case("six frozen of 300", LARGE, Fault::Frozen, 6, JUST_AFTER),
    case(
        "forty without store of 300",
        LARGE,
        Fault::CutOffFromStore,
        40,
        LATER,
    ),
];

fn run(case: &Case, seed: u64) -> simulation::Outcome {
    let mut simulation = Simulation::new(case.size, seed);
    let fault_at = simulation.after(WARM_UP);
    // The strong daemons come first, and are the first readers.
    assert_eq!(
        simulation.readers(),
        (0..6).collect::<Vec<_>>(),
        "{}",
        case.name
    );
    if let Some(fault) = case.fault {
        simulation.disturb(Disturbance {
            fault,
            daemons: (0..case.faulty_daemons).collect(),
            from: fault_at,
            until: fault_at + FAULT_TIME,
        });
    }
    if case.are_connections_silent {
        simulation.silence_idle_connections(fault_at);
    }
    for at_ms in case.changes_ms {
        simulation.write_at(fault_at + DurationMs(*at_ms));
    }
    let last_change_ms = case.changes_ms.iter().max().copied().unwrap_or(0);
    simulation.run(fault_at + DurationMs(last_change_ms) + SETTLING_TIME)
}

#[test]
fn change_reaches_sound_daemons_in_time_while_all_readers_fail() {
    let mut late = Vec::new();
    for case in &CASES {
        for seed in 0..case.seeds {
            let outcome = run(case, seed);
            println!("{} (seed {seed}): {outcome:?}", case.name);
            if outcome.slowest > ARRIVAL_TIME_MAX {
                late.push(format!("{} (seed {seed}): {outcome:?}", case.name));
            }
        }
    }
    assert!(late.is_empty(), "{late:#?}");
}

/// A daemon that isn't a reader has not used its connection to the store since its start.
#[test]
fn change_reaches_daemons_whose_idle_connections_to_the_store_are_silent() {
    for size in [SMALL, GROWN] {
        let mut case = case("silent", size, Fault::CutOffFromStore, 6, JUST_AFTER);
        case.are_connections_silent = true;
        let outcome = run(&case, 1);
        assert!(
            outcome.slowest <= ARRIVAL_TIME_MAX,
            "{} daemons: {outcome:?}",
            size.daemons
        );
    }
}

#[test]
fn only_readers_call_the_store_while_nothing_fails() {
    for size in [SMALL, GROWN, LARGE] {
        let case = Case {
            name: "calm",
            size,
            fault: None,
            faulty_daemons: 0,
            changes_ms: &[500, 3_000],
            are_connections_silent: false,
            seeds: 1,
        };
        let outcome = run(&case, 1);
        println!("{} daemons: {outcome:?}", size.daemons);
        assert_eq!(outcome.follower_calls, 0, "{} daemons", size.daemons);
        assert!(
            outcome.slowest <= ARRIVAL_TIME_MAX,
            "{} daemons: {outcome:?}",
            size.daemons
        );
    }
}
