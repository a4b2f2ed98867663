//! Simulations of whole fleets with delays, losses, partitions, stalls and replaced daemons.

use std::collections::BTreeMap;

use celeryknot_core::{DurationMs, MemberName, Revision, SettingPath};
use celeryknot_fleet::simulation::{Faults, SeededRandom, Simulation, SimulationConfig};
use celeryknot_fleet::{ControlKind, Fleet, MemberState, Rejection};

const HARSH_NETWORK: Faults = Faults {
    delay_min: DurationMs(1),
    delay_max: DurationMs(400),
    drop_percent: 10,
};

fn path(text: &str) -> SettingPath {
    text.parse().expect("a valid path")
}

fn revision_of(fleet: &Fleet, path: &SettingPath) -> Option<Revision> {
    fleet.values().get(path).map(|value| value.revision)
}

fn all_have(simulation: &Simulation, path: &SettingPath, revision: Revision) -> bool {
    simulation
        .daemons()
        .all(|daemon| revision_of(&daemon.fleet, path) == Some(revision))
}

/// Counts values that reverted to a lower revision, for each incarnation of each daemon.
#[derive(Default)]
struct RevertCounter {
    latest_revisions: BTreeMap<(u64, SettingPath), Revision>,
    revert_count: u64,
}

impl RevertCounter {
    fn observe_values(&mut self, simulation: &Simulation) {
        for daemon in simulation.daemons() {
            for (path, value) in daemon.fleet.values().active_values() {
                let key = (daemon.incarnation.0, path.clone());
                let before = self.latest_revisions.insert(key, value.revision);
                if before > Some(value.revision) {
                    self.revert_count += 1;
                }
            }
        }
    }
}

/// Conditions under which settings change.
struct Scenario {
    name: &'static str,
    members: usize,
    faults: Faults,
    stale_replicas: usize,
    replaces_daemons: bool,
    partitions: bool,
    stalls: bool,
}

const CALM: Scenario = Scenario {
    name: "calm",
    members: 9,
    faults: Faults {
        delay_min: DurationMs(1),
        delay_max: DurationMs(3),
        drop_percent: 0,
    },
    stale_replicas: 0,
    replaces_daemons: false,
    partitions: false,
    stalls: false,
};

const SCENARIOS: [Scenario; 9] = [
    CALM,
    Scenario {
        name: "calm, 64 members",
        members: 64,
        ..CALM
    },
    Scenario {
        name: "two of three replicas are stale",
        stale_replicas: 2,
        ..CALM
    },
    Scenario {
        name: "daemons are replaced",
        replaces_daemons: true,
        ..CALM
    },
    Scenario {
        name: "a partition that heals",
        partitions: true,
        ..CALM
    },
    Scenario {
        name: "processes stall and resume",
        stalls: true,
        ..CALM
    },
    Scenario {
        name: "everything, harsh network",
        members: 9,
        faults: HARSH_NETWORK,
        stale_replicas: 2,
        replaces_daemons: true,
        partitions: true,
        stalls: true,
    },
    Scenario {
        name: "a partition that heals, 64 members",
        members: 64,
        partitions: true,
        ..CALM
    },
    Scenario {
        name: "everything, harsh network, 64 members",
        members: 64,
        faults: HARSH_NETWORK,
        stale_replicas: 2,
        replaces_daemons: true,
        partitions: true,
        stalls: true,
    },
];

const ROUNDS: u64 = 8;

fn inject_faults(
    simulation: &mut Simulation,
    scenario: &Scenario,
    round: u64,
    random: &mut SeededRandom,
) {
    let index = usize::try_from(random.below(scenario.members as u64)).expect("small");
    if scenario.replaces_daemons {
        simulation.kill(index);
        simulation.restart(index);
    }
    if scenario.partitions && round == 2 {
        let side: Vec<usize> = (0..scenario.members / 3).collect();
        simulation.set_partition(&side);
        simulation.set_platform_sides(&[0]);
    }
    if scenario.partitions && round == 5 {
        simulation.set_partition(&[]);
        simulation.set_platform_sides(&[0, 1]);
    }
    if scenario.stalls {
        let stalled_index = (index + 1) % scenario.members;
        if round.is_multiple_of(2) {
            simulation.stall(stalled_index);
        } else {
            (0..scenario.members).for_each(|member| simulation.resume(member));
        }
    }
}

#[test]
fn settings_become_active_everywhere_and_never_revert() {
    for scenario in SCENARIOS {
        let mut simulation = Simulation::new(SimulationConfig {
            members: scenario.members,
            faults: scenario.faults,
            seed: 7,
            ..SimulationConfig::default()
        });
        let mut random = SeededRandom::new(11);
        let mut reverts = RevertCounter::default();
        let paths = [
            path("fleet/zones/zone-0"),
            path("teams/kinrin/zones/zone-1"),
        ];
        simulation.advance(4_000);
        simulation.platform.set_stale(scenario.stale_replicas);
        let mut last = BTreeMap::new();
        for round in 0..ROUNDS {
            for path in &paths {
                let text = format!("round {round}");
                last.insert(path, simulation.platform.publish(path, Some(&text)));
            }
            inject_faults(&mut simulation, &scenario, round, &mut random);
            for _ in 0..60 {
                simulation.advance(50);
                reverts.observe_values(&simulation);
            }
        }
        (0..scenario.members).for_each(|member| simulation.resume(member));
        let converged = simulation.advance_until(30_000, |simulation| {
            last.iter()
                .all(|(path, revision)| all_have(simulation, path, *revision))
        });
        reverts.observe_values(&simulation);
        assert!(
            converged.is_some(),
            "{}: values did not converge",
            scenario.name
        );
        assert_eq!(
            reverts.revert_count, 0,
            "{}: values reverted",
            scenario.name
        );
    }
}

#[test]
fn concurrent_updates_converge_to_the_last_revision() {
    for members in [9, 64] {
        let mut simulation = Simulation::new(SimulationConfig {
            members,
            faults: HARSH_NETWORK,
            ..SimulationConfig::default()
        });
        simulation.advance(4_000);
        let zone = path("fleet/zones/zone-0");
        simulation.platform.publish(&zone, Some("one"));
        // Two of the replicas return only the first operator's value for a while.
        simulation.platform.set_stale(2);
        let last = simulation.platform.publish(&zone, Some("two"));
        simulation.advance(500);
        simulation.platform.set_stale(0);
        let converged =
            simulation.advance_until(30_000, |simulation| all_have(simulation, &zone, last));
        assert!(converged.is_some(), "{members} members");
    }
}

#[test]
fn new_daemon_gets_the_last_accepted_value_after_an_invalid_update() {
    let mut simulation = Simulation::new(SimulationConfig {
        validate: |path, text| match text {
            "bad" => Err(Rejection {
                findings: vec![format!("{path}:1: bad")],
            }),
            _ => Ok(()),
        },
        ..SimulationConfig::default()
    });
    simulation.advance(3_000);
    let zone = path("fleet/zones/zone-0");
    let good = simulation.platform.publish(&zone, Some("good"));
    simulation.advance(3_000);
    simulation.platform.publish(&zone, Some("bad"));
    simulation.advance(3_000);
    simulation.kill(4);
    simulation.restart(4);
    let ready = simulation.advance_until(10_000, |simulation| {
        simulation
            .daemon(4)
            .is_some_and(|daemon| daemon.fleet.is_ready())
    });
    assert!(ready.is_some());
    assert!(all_have(&simulation, &zone, good));
    let rejected = simulation
        .daemons()
        .map(|daemon| daemon.fleet.values().rejected().count());
    assert!(rejected.into_iter().all(|count| count == 1));
}

#[test]
fn values_and_list_come_from_peers_while_the_platform_is_down() {
    let mut simulation = Simulation::new(SimulationConfig::default());
    let zone = path("fleet/zones/zone-0");
    let revision = simulation.platform.publish(&zone, Some("out"));
    simulation.advance(5_000);
    simulation.platform.set_down(true);
    simulation.kill(2);
    simulation.restart(2);
    let ready = simulation.advance_until(20_000, |simulation| {
        simulation
            .daemon(2)
            .is_some_and(|daemon| daemon.fleet.is_ready())
    });
    assert!(ready.is_some(), "not ready from peers alone");
    let fleet = &simulation.daemon(2).unwrap().fleet;
    assert_eq!(revision_of(fleet, &zone), Some(revision));
    assert_eq!(fleet.list().endpoints().count(), 13);
}

#[test]
fn isolated_daemon_is_not_ready() {
    let mut simulation = Simulation::new(SimulationConfig::default());
    simulation.advance(5_000);
    simulation.kill(2);
    simulation.restart(2);
    simulation.set_partition(&[2]);
    simulation.set_platform_sides(&[0]);
    simulation.advance(20_000);
    assert!(!simulation.daemon(2).unwrap().fleet.is_ready());
}

fn owners(simulation: &Simulation, index: usize) -> Vec<Option<MemberName>> {
    let view = simulation
        .daemon(index)
        .expect("runs")
        .fleet
        .view(simulation.now());
    let owners = view.endpoints.into_iter().map(|endpoint| endpoint.owner);
    owners.collect()
}

fn agree_on_owners(simulation: &Simulation, running: &[usize]) -> bool {
    let first = owners(simulation, running[0]);
    let names: Vec<MemberName> = running
        .iter()
        .map(|index| Simulation::name(*index))
        .collect();
    let is_held = |owner: &Option<MemberName>| owner.as_ref().is_some_and(|o| names.contains(o));
    first.iter().all(is_held)
        && running
            .iter()
            .all(|index| owners(simulation, *index) == first)
}

#[test]
fn daemons_agree_on_owners_after_churn() {
    for members in [9, 64] {
        let mut simulation = Simulation::new(SimulationConfig {
            members,
            endpoints: members,
            ..SimulationConfig::default()
        });
        simulation.advance(5_000);
        let all: Vec<usize> = (0..members).collect();
        assert!(
            agree_on_owners(&simulation, &all),
            "{members} members at the start"
        );
        simulation.kill(3);
        simulation.kill(5);
        let rest: Vec<usize> = all
            .iter()
            .copied()
            .filter(|i| ![3, 5].contains(i))
            .collect();
        let elapsed =
            simulation.advance_until(20_000, |simulation| agree_on_owners(simulation, &rest));
        assert!(elapsed.is_some(), "{members} members after two were killed");
        simulation.restart(3);
        simulation.restart(5);
        let elapsed =
            simulation.advance_until(20_000, |simulation| agree_on_owners(simulation, &all));
        assert!(elapsed.is_some(), "{members} members after the restarts");
    }
}

#[test]
fn draining_daemon_loses_its_duties_within_two_seconds() {
    for members in [9, 64] {
        let mut simulation = Simulation::new(SimulationConfig {
            members,
            endpoints: members,
            ..SimulationConfig::default()
        });
        simulation.advance(5_000);
        let now = simulation.now();
        simulation.fleet_mut(4).unwrap().start_draining(now);
        let elapsed = simulation.advance_until(10_000, |simulation| {
            let has_no_duties =
                |index: usize| !owners(simulation, index).contains(&Some(Simulation::name(4)));
            (0..members).all(has_no_duties)
        });
        let limit = DurationMs(2_000);
        assert!(
            elapsed.is_some_and(|elapsed| elapsed <= limit),
            "{members}: {elapsed:?}"
        );
    }
}

#[test]
fn daemon_declared_dead_refutes_after_the_partition_heals() {
    let mut simulation = Simulation::new(SimulationConfig::default());
    simulation.advance(5_000);
    simulation.set_partition(&[1]);
    simulation.advance(8_000);
    let state = |simulation: &Simulation, of: usize, at: usize| {
        let members = simulation.daemon(at).expect("runs").fleet.members();
        members
            .record(&Simulation::name(of))
            .map(|record| record.state)
    };
    assert_eq!(state(&simulation, 1, 0), Some(MemberState::Dead));
    simulation.set_partition(&[]);
    let elapsed = simulation.advance_until(30_000, |simulation| {
        (0..9).all(|at| (0..9).all(|of| state(simulation, of, at) == Some(MemberState::Alive)))
    });
    assert!(elapsed.is_some());
}

#[test]
fn both_sides_of_a_partition_assign_owners() {
    let mut simulation = Simulation::new(SimulationConfig::default());
    simulation.advance(5_000);
    let (one, other): (Vec<usize>, Vec<usize>) = (0..9).partition(|index| index % 3 == 0);
    simulation.set_partition(&one);
    let elapsed = simulation.advance_until(20_000, |simulation| {
        agree_on_owners(simulation, &one) && agree_on_owners(simulation, &other)
    });
    assert!(elapsed.is_some());
    simulation.set_partition(&[]);
    let all: Vec<usize> = (0..9).collect();
    let elapsed = simulation.advance_until(60_000, |simulation| agree_on_owners(simulation, &all));
    assert!(elapsed.is_some(), "no agreement after the partition healed");
}

#[test]
fn flapping_daemon_gets_no_duties_for_a_while() {
    let mut simulation = Simulation::new(SimulationConfig::default());
    simulation.advance(5_000);
    for _ in 0..3 {
        simulation.set_partition(&[1]);
        simulation.advance(9_000);
        simulation.set_partition(&[]);
        simulation.advance(9_000);
    }
    let has_duties = |simulation: &Simulation| {
        let members = simulation.daemon(0).expect("runs").fleet.members();
        let holders = members.duty_holders(simulation.now());
        holders.iter().any(|info| info.name == Simulation::name(1))
    };
    simulation.set_partition(&[1]);
    simulation.advance(9_000);
    simulation.set_partition(&[]);
    simulation.advance(9_000);
    assert!(!has_duties(&simulation));
    assert!(simulation.advance_until(90_000, has_duties).is_some());
}

#[test]
fn control_traffic_stays_within_the_budget() {
    const SECONDS: u64 = 30;
    for members in [9, 64] {
        let mut simulation = Simulation::new(SimulationConfig {
            members,
            endpoints: members * 2,
            faults: HARSH_NETWORK,
            ..SimulationConfig::default()
        });
        simulation.advance(5_000);
        let mut random = SeededRandom::new(3);
        let sent = |simulation: &Simulation| -> Vec<u64> {
            let bytes = |fleet: &Fleet| fleet.budget().counts().map(|(_, c)| c.sent_bytes).sum();
            simulation
                .daemons()
                .map(|daemon| bytes(&daemon.fleet))
                .collect()
        };
        let before = sent(&simulation);
        for _ in 0..SECONDS * 4 {
            simulation.advance(250);
            change_loads(&mut simulation, members, &mut random);
        }
        let limit = 8_192 * (SECONDS + 2);
        for (index, (after, before)) in sent(&simulation).iter().zip(before).enumerate() {
            let used = after - before;
            assert!(
                used <= limit,
                "{members} members, daemon {index}: {used} bytes"
            );
        }
        let heartbeats = |fleet: &Fleet| fleet.budget().count(ControlKind::Heartbeat).dropped;
        let dropped: u64 = simulation
            .daemons()
            .map(|daemon| heartbeats(&daemon.fleet))
            .sum();
        assert_eq!(dropped, 0, "{members} members: heartbeats were dropped");
    }
}

fn change_loads(simulation: &mut Simulation, members: usize, random: &mut SeededRandom) {
    for index in 0..members {
        let now = simulation.now();
        let Some(fleet) = simulation.fleet_mut(index) else {
            continue;
        };
        let own = Simulation::name(index);
        let owned: Vec<_> = fleet
            .view(now)
            .endpoints
            .into_iter()
            .filter(|endpoint| endpoint.owner.as_ref() == Some(&own))
            .collect();
        for endpoint in owned {
            let in_flight = u32::try_from(random.below(64)).expect("small");
            let summary = celeryknot_core::EndpointSummary {
                in_flight,
                in_flight_max: 64,
                wait_ms: DurationMs(u64::from(in_flight) * 10),
                ..Default::default()
            };
            fleet.observe_own_endpoint(&endpoint.name, summary);
        }
    }
}

#[test]
fn changed_load_reaches_all_daemons_in_time() {
    for (members, limit_ms) in [(9, 500), (64, 6_000)] {
        let mut simulation = Simulation::new(SimulationConfig {
            members,
            endpoints: members,
            ..SimulationConfig::default()
        });
        simulation.advance(8_000);
        let view = simulation.daemon(0).unwrap().fleet.view(simulation.now());
        let endpoint = &view.endpoints[0];
        let owner = endpoint.owner.clone().unwrap();
        let index = (0..members)
            .find(|i| Simulation::name(*i) == owner)
            .unwrap();
        let summary = celeryknot_core::EndpointSummary {
            in_flight: 40,
            in_flight_max: 64,
            ..Default::default()
        };
        let fleet = simulation.fleet_mut(index).unwrap();
        fleet.observe_own_endpoint(&endpoint.name, summary);
        let elapsed = simulation.advance_until(limit_ms, |simulation| {
            simulation.daemons().all(|daemon| {
                let view = daemon.fleet.view(simulation.now());
                view.endpoints[0].summary == Some(summary)
            })
        });
        assert!(elapsed.is_some(), "{members} members");
    }
}
