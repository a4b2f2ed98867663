//! Whole fleets, driven through delays, losses, splits, pauses and replacements.

use std::collections::BTreeMap;

use celeryknot_core::{DurationMs, MemberName, Revision, SettingPath};
use celeryknot_fleet::drive::{Drive, DriveConfig, Faults, SeededRandom};
use celeryknot_fleet::{ControlKind, Fleet, MemberState, Rejection};

const HARSH: Faults = Faults {
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

fn all_have(drive: &Drive, path: &SettingPath, revision: Revision) -> bool {
    drive
        .daemons()
        .all(|daemon| revision_of(&daemon.fleet, path) == Some(revision))
}

/// Follows each life of each daemon and counts values that went back.
#[derive(Default)]
struct Reverts {
    seen: BTreeMap<(u64, SettingPath), Revision>,
    count: u64,
}

impl Reverts {
    fn look(&mut self, drive: &Drive) {
        for daemon in drive.daemons() {
            for (path, value) in daemon.fleet.values().in_force() {
                let key = (daemon.incarnation.0, path.clone());
                let before = self.seen.insert(key, value.revision);
                if before > Some(value.revision) {
                    self.count += 1;
                }
            }
        }
    }
}

/// What happens to a fleet while settings change.
struct Trouble {
    name: &'static str,
    members: usize,
    faults: Faults,
    stale_replicas: usize,
    replaces_daemons: bool,
    splits: bool,
    pauses: bool,
}

const CALM: Trouble = Trouble {
    name: "calm",
    members: 9,
    faults: Faults {
        delay_min: DurationMs(1),
        delay_max: DurationMs(3),
        drop_percent: 0,
    },
    stale_replicas: 0,
    replaces_daemons: false,
    splits: false,
    pauses: false,
};

const TROUBLES: [Trouble; 9] = [
    CALM,
    Trouble {
        name: "calm, 64 members",
        members: 64,
        ..CALM
    },
    Trouble {
        name: "two of three replicas are stale",
        stale_replicas: 2,
        ..CALM
    },
    Trouble {
        name: "daemons are replaced",
        replaces_daemons: true,
        ..CALM
    },
    Trouble {
        name: "a split that heals",
        splits: true,
        ..CALM
    },
    Trouble {
        name: "processes pause and wake",
        pauses: true,
        ..CALM
    },
    Trouble {
        name: "everything, harsh network",
        members: 9,
        faults: HARSH,
        stale_replicas: 2,
        replaces_daemons: true,
        splits: true,
        pauses: true,
    },
    Trouble {
        name: "a split that heals, 64 members",
        members: 64,
        splits: true,
        ..CALM
    },
    Trouble {
        name: "everything, harsh network, 64 members",
        members: 64,
        faults: HARSH,
        stale_replicas: 2,
        replaces_daemons: true,
        splits: true,
        pauses: true,
    },
];

const ROUNDS: u64 = 8;

fn trouble_round(drive: &mut Drive, trouble: &Trouble, round: u64, random: &mut SeededRandom) {
    let pick = usize::try_from(random.below(trouble.members as u64)).expect("small");
    if trouble.replaces_daemons {
        drive.kill(pick);
        drive.restart(pick);
    }
    if trouble.splits && round == 2 {
        let side: Vec<usize> = (0..trouble.members / 3).collect();
        drive.split(&side);
        drive.set_platform_sides(&[0]);
    }
    if trouble.splits && round == 5 {
        drive.split(&[]);
        drive.set_platform_sides(&[0, 1]);
    }
    if trouble.pauses {
        let sleeper = (pick + 1) % trouble.members;
        if round.is_multiple_of(2) {
            drive.pause(sleeper);
        } else {
            (0..trouble.members).for_each(|index| drive.wake(index));
        }
    }
}

#[test]
fn settings_come_into_force_everywhere_and_never_revert() {
    for trouble in TROUBLES {
        let mut drive = Drive::new(DriveConfig {
            members: trouble.members,
            faults: trouble.faults,
            seed: 7,
            ..DriveConfig::default()
        });
        let mut random = SeededRandom::new(11);
        let mut reverts = Reverts::default();
        let paths = [
            path("fleet/zones/zone-0"),
            path("teams/kinrin/zones/zone-1"),
        ];
        drive.advance(4_000);
        drive.platform.set_stale(trouble.stale_replicas);
        let mut last = BTreeMap::new();
        for round in 0..ROUNDS {
            for path in &paths {
                let text = format!("round {round}");
                last.insert(path, drive.platform.publish(path, Some(&text)));
            }
            trouble_round(&mut drive, &trouble, round, &mut random);
            for _ in 0..60 {
                drive.advance(50);
                reverts.look(&drive);
            }
        }
        (0..trouble.members).for_each(|index| drive.wake(index));
        let agree = drive.advance_until(30_000, |drive| {
            last.iter()
                .all(|(path, revision)| all_have(drive, path, *revision))
        });
        reverts.look(&drive);
        assert!(agree.is_some(), "{}: values differ", trouble.name);
        assert_eq!(reverts.count, 0, "{}: values went back", trouble.name);
    }
}

#[test]
fn two_operators_who_race_end_in_one_order() {
    for members in [9, 64] {
        let mut drive = Drive::new(DriveConfig {
            members,
            faults: HARSH,
            ..DriveConfig::default()
        });
        drive.advance(4_000);
        let zone = path("fleet/zones/zone-0");
        drive.platform.publish(&zone, Some("one"));
        // Part of the replicas show the first operator's value alone for a while.
        drive.platform.set_stale(2);
        let last = drive.platform.publish(&zone, Some("two"));
        drive.advance(500);
        drive.platform.set_stale(0);
        let agree = drive.advance_until(30_000, |drive| all_have(drive, &zone, last));
        assert!(agree.is_some(), "{members} members");
    }
}

#[test]
fn a_new_daemon_gets_the_last_accepted_value_although_the_platform_shows_an_invalid_one() {
    let mut drive = Drive::new(DriveConfig {
        validate: |path, text| match text {
            "bad" => Err(Rejection {
                findings: vec![format!("{path}:1: bad")],
            }),
            _ => Ok(()),
        },
        ..DriveConfig::default()
    });
    drive.advance(3_000);
    let zone = path("fleet/zones/zone-0");
    let good = drive.platform.publish(&zone, Some("good"));
    drive.advance(3_000);
    drive.platform.publish(&zone, Some("bad"));
    drive.advance(3_000);
    drive.kill(4);
    drive.restart(4);
    let ready = drive.advance_until(10_000, |drive| {
        drive
            .daemon(4)
            .is_some_and(|daemon| daemon.fleet.is_ready())
    });
    assert!(ready.is_some());
    assert!(all_have(&drive, &zone, good));
    let rejected = drive
        .daemons()
        .map(|daemon| daemon.fleet.values().rejected().count());
    assert!(rejected.into_iter().all(|count| count == 1));
}

#[test]
fn with_the_platform_down_values_and_list_come_from_peers() {
    let mut drive = Drive::new(DriveConfig::default());
    let zone = path("fleet/zones/zone-0");
    let revision = drive.platform.publish(&zone, Some("out"));
    drive.advance(5_000);
    drive.platform.set_down(true);
    drive.kill(2);
    drive.restart(2);
    let ready = drive.advance_until(20_000, |drive| {
        drive
            .daemon(2)
            .is_some_and(|daemon| daemon.fleet.is_ready())
    });
    assert!(ready.is_some(), "peers suffice");
    let fleet = &drive.daemon(2).unwrap().fleet;
    assert_eq!(revision_of(fleet, &zone), Some(revision));
    assert_eq!(fleet.list().endpoints().count(), 13);
}

#[test]
fn a_daemon_that_reaches_nothing_is_not_ready() {
    let mut drive = Drive::new(DriveConfig::default());
    drive.advance(5_000);
    drive.kill(2);
    drive.restart(2);
    drive.split(&[2]);
    drive.set_platform_sides(&[0]);
    drive.advance(20_000);
    assert!(!drive.daemon(2).unwrap().fleet.is_ready());
}

fn owners(drive: &Drive, index: usize) -> Vec<Option<MemberName>> {
    let view = drive.daemon(index).expect("runs").fleet.view(drive.now());
    let owners = view.endpoints.into_iter().map(|endpoint| endpoint.owner);
    owners.collect()
}

fn agree_on_owners(drive: &Drive, running: &[usize]) -> bool {
    let first = owners(drive, running[0]);
    let names: Vec<MemberName> = running.iter().map(|index| Drive::name(*index)).collect();
    let is_held = |owner: &Option<MemberName>| owner.as_ref().is_some_and(|o| names.contains(o));
    first.iter().all(is_held) && running.iter().all(|index| owners(drive, *index) == first)
}

#[test]
fn daemons_agree_on_owners_after_churn() {
    for members in [9, 64] {
        let mut drive = Drive::new(DriveConfig {
            members,
            endpoints: members,
            ..DriveConfig::default()
        });
        drive.advance(5_000);
        let all: Vec<usize> = (0..members).collect();
        assert!(
            agree_on_owners(&drive, &all),
            "{members} members at the start"
        );
        drive.kill(3);
        drive.kill(5);
        let rest: Vec<usize> = all
            .iter()
            .copied()
            .filter(|i| ![3, 5].contains(i))
            .collect();
        let took = drive.advance_until(20_000, |drive| agree_on_owners(drive, &rest));
        assert!(took.is_some(), "{members} members after two deaths");
        drive.restart(3);
        drive.restart(5);
        let took = drive.advance_until(20_000, |drive| agree_on_owners(drive, &all));
        assert!(took.is_some(), "{members} members after the return");
    }
}

#[test]
fn a_leaving_daemon_has_no_duties_within_seconds() {
    for members in [9, 64] {
        let mut drive = Drive::new(DriveConfig {
            members,
            endpoints: members,
            ..DriveConfig::default()
        });
        drive.advance(5_000);
        let now = drive.now();
        drive.fleet_mut(4).unwrap().start_leaving(now);
        let took = drive.advance_until(10_000, |drive| {
            let is_gone = |index: usize| !owners(drive, index).contains(&Some(Drive::name(4)));
            (0..members).all(is_gone)
        });
        let limit = DurationMs(2_000);
        assert!(
            took.is_some_and(|took| took <= limit),
            "{members}: {took:?}"
        );
    }
}

#[test]
fn a_daemon_that_was_wrongly_suspected_refutes() {
    let mut drive = Drive::new(DriveConfig::default());
    drive.advance(5_000);
    drive.split(&[1]);
    drive.advance(8_000);
    let state = |drive: &Drive, of: usize, at: usize| {
        let members = drive.daemon(at).expect("runs").fleet.members();
        members.record(&Drive::name(of)).map(|record| record.state)
    };
    assert_eq!(state(&drive, 1, 0), Some(MemberState::Dead));
    drive.split(&[]);
    let took = drive.advance_until(30_000, |drive| {
        (0..9).all(|at| (0..9).all(|of| state(drive, of, at) == Some(MemberState::Alive)))
    });
    assert!(took.is_some());
}

#[test]
fn both_sides_of_a_split_keep_owners() {
    let mut drive = Drive::new(DriveConfig::default());
    drive.advance(5_000);
    let (one, other): (Vec<usize>, Vec<usize>) = (0..9).partition(|index| index % 3 == 0);
    drive.split(&one);
    let took = drive.advance_until(20_000, |drive| {
        agree_on_owners(drive, &one) && agree_on_owners(drive, &other)
    });
    assert!(took.is_some());
    drive.split(&[]);
    let all: Vec<usize> = (0..9).collect();
    let took = drive.advance_until(60_000, |drive| agree_on_owners(drive, &all));
    assert!(took.is_some(), "after the split has healed");
}

#[test]
fn a_daemon_that_flaps_is_kept_without_duties_for_a_while() {
    let mut drive = Drive::new(DriveConfig::default());
    drive.advance(5_000);
    for _ in 0..3 {
        drive.split(&[1]);
        drive.advance(9_000);
        drive.split(&[]);
        drive.advance(9_000);
    }
    let has_duties = |drive: &Drive| {
        let members = drive.daemon(0).expect("runs").fleet.members();
        let holders = members.duty_holders(drive.now());
        holders.iter().any(|info| info.name == Drive::name(1))
    };
    drive.split(&[1]);
    drive.advance(9_000);
    drive.split(&[]);
    drive.advance(9_000);
    assert!(!has_duties(&drive));
    assert!(drive.advance_until(90_000, has_duties).is_some());
}

#[test]
fn control_traffic_keeps_to_the_budget() {
    const SECONDS: u64 = 30;
    for members in [9, 64] {
        let mut drive = Drive::new(DriveConfig {
            members,
            endpoints: members * 2,
            faults: HARSH,
            ..DriveConfig::default()
        });
        drive.advance(5_000);
        let mut random = SeededRandom::new(3);
        let sent = |drive: &Drive| -> Vec<u64> {
            let bytes = |fleet: &Fleet| fleet.budget().counts().map(|(_, c)| c.sent_bytes).sum();
            drive.daemons().map(|daemon| bytes(&daemon.fleet)).collect()
        };
        let before = sent(&drive);
        for _ in 0..SECONDS * 4 {
            drive.advance(250);
            change_loads(&mut drive, members, &mut random);
        }
        let limit = 8_192 * (SECONDS + 2);
        for (index, (after, before)) in sent(&drive).iter().zip(before).enumerate() {
            let used = after - before;
            assert!(
                used <= limit,
                "{members} members, daemon {index}: {used} bytes"
            );
        }
        let heartbeats = |fleet: &Fleet| fleet.budget().count(ControlKind::Heartbeat).dropped;
        let dropped: u64 = drive
            .daemons()
            .map(|daemon| heartbeats(&daemon.fleet))
            .sum();
        assert_eq!(dropped, 0, "{members} members: safety goes first");
    }
}

fn change_loads(drive: &mut Drive, members: usize, random: &mut SeededRandom) {
    for index in 0..members {
        let now = drive.now();
        let Some(fleet) = drive.fleet_mut(index) else {
            continue;
        };
        let own = Drive::name(index);
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
fn a_changed_load_is_known_everywhere_soon() {
    for (members, limit_ms) in [(9, 500), (64, 6_000)] {
        let mut drive = Drive::new(DriveConfig {
            members,
            endpoints: members,
            ..DriveConfig::default()
        });
        drive.advance(8_000);
        let view = drive.daemon(0).unwrap().fleet.view(drive.now());
        let endpoint = &view.endpoints[0];
        let owner = endpoint.owner.clone().unwrap();
        let index = (0..members).find(|i| Drive::name(*i) == owner).unwrap();
        let summary = celeryknot_core::EndpointSummary {
            in_flight: 40,
            in_flight_max: 64,
            ..Default::default()
        };
        let fleet = drive.fleet_mut(index).unwrap();
        fleet.observe_own_endpoint(&endpoint.name, summary);
        let took = drive.advance_until(limit_ms, |drive| {
            drive.daemons().all(|daemon| {
                let view = daemon.fleet.view(drive.now());
                view.endpoints[0].summary == Some(summary)
            })
        });
        assert!(took.is_some(), "{members} members");
    }
}
