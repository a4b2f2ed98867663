//! Simulated fleets that find out together on which parts of prompts engines crash.

use celeryknot_core::endpoint_updates::{EndpointUpdate, Observation};
use celeryknot_core::{DurationMs, EndpointTag, MonotonicMs, PromptTag, SuspectTag};
use celeryknot_fleet::simulation::{Faults, SeededRandom, Simulation, SimulationConfig};
use celeryknot_fleet::{ControlKind, FleetTiming};
use celeryknot_policy::direct::CrashSuspects;

/// The platform's bounds: requests with a part that may reach engines later than this time after
/// the part's fifth crash.
const REQUESTS_AFTER_MAX: usize = 3;
const CONTACT_MS: u64 = 3_000;

/// The parts on which every engine crashes, in turn.
const BAD_PARTS: [SuspectTag; 2] = [
    SuspectTag::Part(PromptTag(7)),
    SuspectTag::Part(PromptTag(8)),
];

const STEP_MS: u64 = 50;
const RUN_MS: u64 = 35_000;
const CALM: Faults = Faults {
    delay_min: DurationMs(1),
    delay_max: DurationMs(3),
    drop_percent: 0,
};

struct Case {
    name: &'static str,
    members: usize,
    faults: Faults,
    /// Time between two requests with a bad part.
    interval_ms: u64,
    bad_parts: usize,
    /// Time from which to which the fleet is split in two halves.
    split_ms: Option<(u64, u64)>,
    /// Time at which a third of the daemons restart with no memory.
    restart_ms: Option<u64>,
    /// Time at which a rack of engines crashes for another reason.
    rack_ms: Option<u64>,
}

const BASE: Case = Case {
    name: "calm",
    members: 9,
    faults: CALM,
    interval_ms: 400,
    bad_parts: 1,
    split_ms: None,
    restart_ms: None,
    rack_ms: None,
};

const CASES: [Case; 9] = [
    BASE,
    Case {
        name: "calm, 77 daemons",
        members: 77,
        ..BASE
    },
    Case {
        name: "harsh network, 77 daemons",
        members: 77,
        faults: Faults {
            delay_min: DurationMs(1),
            delay_max: DurationMs(400),
            drop_percent: 10,
        },
        ..BASE
    },
    Case {
        name: "two parts at once, 77 daemons",
        members: 77,
        bad_parts: 2,
        interval_ms: 200,
        ..BASE
    },
    Case {
        name: "split before the first crash, healed later",
        split_ms: Some((4_000, 20_000)),
        ..BASE
    },
    Case {
        name: "split before the first crash, healed later, 77 daemons",
        members: 77,
        split_ms: Some((4_000, 20_000)),
        ..BASE
    },
    Case {
        name: "daemons that restart after the ban, 77 daemons",
        members: 77,
        restart_ms: Some(15_000),
        ..BASE
    },
    Case {
        name: "a rack crashes just before, 77 daemons",
        members: 77,
        rack_ms: Some(4_900),
        ..BASE
    },
    Case {
        name: "rare requests, 77 daemons",
        members: 77,
        interval_ms: 2_500,
        ..BASE
    },
];

/// A simulated fleet, with what each daemon knows about the parts.
struct Fleet {
    simulation: Simulation,
    suspects: Vec<CrashSuspects>,
    random: SeededRandom,
    crash_count: u32,
    /// Times of the requests that reached engines, by part.
    arrivals_ms: Vec<Vec<u64>>,
}

impl Fleet {
    fn new(case: &Case, seed: u64) -> Self {
        let config = SimulationConfig {
            members: case.members,
            seed,
            faults: case.faults,
            ..SimulationConfig::default()
        };
        Self {
            simulation: Simulation::new(config),
            suspects: vec![CrashSuspects::default(); case.members],
            random: SeededRandom::new(seed),
            crash_count: 0,
            arrivals_ms: vec![Vec::new(); BAD_PARTS.len()],
        }
    }

    fn step(&mut self) {
        self.simulation.advance(STEP_MS);
        for (index, suspects) in self.suspects.iter_mut().enumerate() {
            let Some(fleet) = self.simulation.fleet_mut(index) else {
                continue;
            };
            for update in fleet.take_suspect_updates() {
                match update.observation {
                    Observation::CrashedOn { suspect } => {
                        suspects.record_crash(update.at, suspect, update.endpoint);
                    }
                    Observation::Answered { suspect } => {
                        suspects.record_answer(update.at, suspect);
                    }
                    Observation::Load { .. }
                    | Observation::Unreachable
                    | Observation::Leaving
                    | Observation::BeganStream { .. }
                    | Observation::RateLimit { .. }
                    | Observation::HoldsPrompt { .. } => panic!("{update:?}"),
                }
            }
        }
    }

    fn now(&self) -> MonotonicMs {
        self.simulation.now()
    }

    /// Records at one daemon that an engine crashed as it began to answer a prompt with the part.
    fn crash(&mut self, daemon: usize, part: SuspectTag) {
        self.crash_count += 1;
        let now = self.now();
        // Each start of an engine has a name of its own.
        let endpoint = EndpointTag(self.crash_count);
        self.suspects[daemon].record_crash(now, part, endpoint);
        let update = EndpointUpdate {
            endpoint,
            observation: Observation::CrashedOn { suspect: part },
            at: now,
        };
        if let Some(fleet) = self.simulation.fleet_mut(daemon) {
            fleet.observe_suspect(now, update);
        }
    }

    /// Sends a request with a bad part through a random daemon; it crashes an engine.
    fn send(&mut self, index: usize) {
        let daemon = (self.random.draw() % self.suspects.len() as u64) as usize;
        let (now, part) = (self.now(), BAD_PARTS[index]);
        if !self.suspects[daemon].is_banned(now, part) {
            self.arrivals_ms[index].push(now.0);
            self.crash(daemon, part);
        }
    }

    /// Returns the requests that reached engines later than [`CONTACT_MS`] after the fifth crash.
    fn late_arrivals(&self, index: usize) -> usize {
        let arrivals = &self.arrivals_ms[index];
        let Some(fifth_ms) = arrivals.get(4) else {
            return 0;
        };
        let late = arrivals.iter().filter(|at| **at > fifth_ms + CONTACT_MS);
        late.count()
    }

    fn run(&mut self, case: &Case) {
        let half: Vec<usize> = (0..case.members / 2).collect();
        while self.now().0 < RUN_MS {
            self.step();
            let now_ms = self.now().0;
            let is_at = |time_ms: u64| (time_ms..time_ms + STEP_MS).contains(&now_ms);
            if let Some((from_ms, to_ms)) = case.split_ms {
                if is_at(from_ms) {
                    self.simulation.set_partition(&half);
                }
                if is_at(to_ms) {
                    self.simulation.set_partition(&[]);
                }
            }
            if case.restart_ms.is_some_and(is_at) {
                for index in (0..case.members).step_by(3) {
                    self.simulation.restart(index);
                    self.suspects[index] = CrashSuspects::default();
                }
            }
            if case.rack_ms.is_some_and(is_at) {
                for engine in 0..16_usize {
                    self.crash(
                        engine % case.members,
                        SuspectTag::Part(PromptTag(1_000 + engine as u32)),
                    );
                }
            }
            if now_ms >= 5_000 && now_ms % case.interval_ms < STEP_MS {
                let turn = (now_ms / case.interval_ms) as usize;
                self.send(turn % case.bad_parts);
            }
        }
    }
}

#[test]
fn part_is_stopped_within_the_bound_in_fleets_of_any_size_and_state() {
    std::thread::scope(|scope| {
        for (case, seed) in CASES.iter().zip(1..) {
            scope.spawn(move || {
                let mut fleet = Fleet::new(case, seed);
                fleet.run(case);
                for index in 0..case.bad_parts {
                    let late = fleet.late_arrivals(index);
                    let arrivals = &fleet.arrivals_ms[index];
                    assert!(
                        late <= REQUESTS_AFTER_MAX,
                        "{}, seed {seed}: {late} of {arrivals:?}",
                        case.name
                    );
                    assert!(arrivals.len() >= 3, "{}: {arrivals:?}", case.name);
                }
            });
        }
    });
}

#[test]
fn update_reaches_a_peer_although_messages_are_lost() {
    for seed in 0..20 {
        let mut fleet = Fleet::new(
            &Case {
                members: 2,
                faults: Faults {
                    drop_percent: 30,
                    ..CALM
                },
                ..BASE
            },
            seed,
        );
        while fleet.now().0 < 5_000 {
            fleet.step();
        }
        for _ in 0..3 {
            fleet.crash(0, BAD_PARTS[0]);
        }
        while fleet.now().0 < 2 * RUN_MS {
            fleet.step();
        }
        assert!(
            fleet.suspects[1].is_banned(fleet.now(), BAD_PARTS[0]),
            "seed {seed}"
        );
    }
}

#[test]
fn flood_of_made_up_parts_stays_within_the_byte_budget() {
    let case = Case { members: 9, ..BASE };
    let mut fleet = Fleet::new(&case, 1);
    while fleet.now().0 < RUN_MS {
        fleet.step();
        for _ in 0..100 {
            let part = SuspectTag::Part(PromptTag(fleet.random.draw() as u32));
            fleet.crash(0, part);
        }
    }
    let budget_bytes_per_s = FleetTiming::default().control_bytes_per_s.0;
    for daemon in fleet.simulation.daemons() {
        let sent = daemon.fleet.budget().count(ControlKind::SuspectUpdates);
        let sent_bytes_per_s = sent.sent_bytes / (RUN_MS / 1_000);
        assert!(
            sent_bytes_per_s <= budget_bytes_per_s,
            "{sent_bytes_per_s} bytes a second"
        );
    }
    // Updates of members and settings still get through.
    let mut daemons = fleet.simulation.daemons();
    assert!(daemons.all(|daemon| daemon.fleet.is_ready()));
}
