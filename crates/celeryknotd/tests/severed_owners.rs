//! Owners of endpoints that can't reach them, while other daemons do.

#![allow(clippy::unwrap_used, reason = "a test may panic")]

mod fleet;

use std::sync::Arc;
use std::time::{Duration, Instant};

use celeryknot_core::DurationMs;
use celeryknot_kinrin_standins::link::{Cut, Link};
use celeryknot_settings::ServiceSettings;
use celeryknot_standins::{
    Caller, CallerOptions, Engine, EngineOptions, LOOPBACK, Outcome, Service, ServiceOptions,
};
use celeryknotd::snapshot::Snapshot;
use fleet::{
    MODEL_SERVICE, PLAIN_SERVICE, TestEndpoint, TestFleet, TestOptions, booking, chat_request,
    model_settings, plain_settings,
};

/// Daemons, of which the last ones are cut off.
const DAEMONS: usize = 3;
const SEVERED: usize = DAEMONS - 1;

/// Time from which on a cut must not be noticeable.
const CONTACT: Duration = Duration::from_secs(3);

const CALLERS: usize = 6;

/// Describes an outcome that isn't a complete answer.
fn failure<T: std::fmt::Debug>(kind: &str, outcome: Outcome<T>) -> Option<String> {
    let is_complete = matches!(outcome, Outcome::Completed(_));
    (!is_complete).then(|| format!("{kind}: {outcome:?}"))
}

struct Setup {
    fleet: TestFleet,
    /// The links of the daemons that are cut off.
    links: Vec<Link>,
    services: Vec<Service>,
    _engines: Vec<Engine>,
}

impl Setup {
    fn start(owner_of: fn(usize) -> usize, severed: usize) -> Self {
        let engines: Vec<Engine> = (0..DAEMONS)
            .map(|_| Engine::start(EngineOptions::default(), LOOPBACK).unwrap())
            .collect();
        let services: Vec<Service> = (0..DAEMONS)
            .map(|_| Service::start(ServiceOptions::default(), LOOPBACK).unwrap())
            .collect();
        let engine_names = ["engine-0", "engine-1", "engine-2"];
        let service_names = ["service-0", "service-1", "service-2"];
        let of_model = engine_names.into_iter().zip(&engines).enumerate();
        let of_plain = service_names.into_iter().zip(&services).enumerate();
        let endpoints: Vec<TestEndpoint> =
            of_model
                .map(|(index, (name, engine))| (MODEL_SERVICE, index, name, engine.address()))
                .chain(of_plain.map(|(index, (name, service))| {
                    (PLAIN_SERVICE, index, name, service.address())
                }))
                .map(|(service, index, name, address)| TestEndpoint {
                    service,
                    name,
                    address,
                    owner: owner_of(index),
                })
                .collect();
        // Without retries, what an owner can't send is a failure of its caller.
        let options = TestOptions {
            daemons: DAEMONS,
            model: ServiceSettings {
                retry_percent_max: 0,
                ..model_settings()
            },
            plain: ServiceSettings {
                retry_percent_max: 0,
                ..plain_settings()
            },
            ..TestOptions::default()
        };
        let fleet = TestFleet::start(options, &endpoints);
        let links: Vec<Link> = endpoints.iter().map(|it| Link::start(it.address)).collect();
        for feed in &fleet.feeds[DAEMONS - severed..] {
            let mut snapshot = Snapshot::clone(&feed.snapshot.load());
            snapshot.version += 1;
            for service in snapshot.services.values_mut() {
                for listed in &mut Arc::make_mut(service).endpoints {
                    let mut pairs = endpoints.iter().zip(&links);
                    let (_, link) = pairs.find(|(it, _)| it.address == listed.address).unwrap();
                    listed.address = link.address;
                }
            }
            feed.snapshot.store(Arc::new(snapshot));
        }
        Self {
            fleet,
            links,
            services,
            _engines: engines,
        }
    }

    /// Sends a read, a booking and chats to a daemon by several callers; returns those that did
    /// not complete.
    fn failures(&self, daemon: usize, round: usize) -> Vec<String> {
        let call = |index: usize| {
            let options = CallerOptions::default().timeout_ms(DurationMs(4_000));
            let caller = Caller::new(options);
            let plain = self.fleet.target(daemon, PLAIN_SERVICE);
            let model = self.fleet.target(daemon, MODEL_SERVICE);
            let chat = format!("chat-{daemon}-{round}-{index}");
            let slot = format!("slot-{daemon}-{round}-{index}");
            smol::block_on(async {
                let streamed = chat_request(&format!("file {index}"), true);
                let complete = chat_request(&format!("file {index}"), false);
                [
                    failure("read", caller.read_record(&plain, "r1").await),
                    failure(
                        "booking",
                        caller.book_once(&plain, None, &booking(&slot)).await,
                    ),
                    failure("stream", caller.chat(&model, &chat, None, &streamed).await),
                    failure("chat", caller.chat(&model, &chat, None, &complete).await),
                ]
            })
        };
        std::thread::scope(|scope| {
            let callers: Vec<_> = (0..CALLERS)
                .map(|index| scope.spawn(move || call(index)))
                .collect();
            let failures = callers.into_iter().flat_map(|it| it.join().unwrap());
            failures.flatten().collect()
        })
    }
}

struct Case {
    name: &'static str,
    cut: Cut,
    /// Returns the owner of the endpoints with an index.
    owner_of: fn(usize) -> usize,
    /// Number of daemons that are cut off.
    severed: usize,
}

const CASES: [Case; 7] = [
    Case {
        name: "silent",
        cut: Cut::Silent,
        owner_of: |index| index,
        severed: 1,
    },
    Case {
        name: "silent, owner of all",
        cut: Cut::Silent,
        owner_of: |_| SEVERED,
        severed: 1,
    },
    Case {
        name: "reset",
        cut: Cut::Reset,
        owner_of: |index| index,
        severed: 1,
    },
    Case {
        name: "reset, owner of all",
        cut: Cut::Reset,
        owner_of: |_| SEVERED,
        severed: 1,
    },
    Case {
        name: "new connections refused, owner of all",
        cut: Cut::RefuseNew,
        owner_of: |_| SEVERED,
        severed: 1,
    },
    Case {
        name: "one way, owner of all",
        cut: Cut::OneWay,
        owner_of: |_| SEVERED,
        severed: 1,
    },
    Case {
        name: "all daemons but one, owner of all",
        cut: Cut::Silent,
        owner_of: |_| SEVERED,
        severed: 2,
    },
];

#[test]
fn endpoints_whose_owner_is_cut_off_are_served_at_all_daemons() {
    std::thread::scope(|scope| {
        for case in &CASES {
            let Case {
                name,
                cut,
                owner_of,
                severed,
            } = case;
            scope.spawn(move || {
                let setup = Setup::start(*owner_of, *severed);
                for daemon in 0..DAEMONS {
                    assert_eq!(setup.failures(daemon, 0), [""; 0], "{name}: before the cut");
                }
                for link in &setup.links {
                    link.cut(*cut);
                }
                let cut_at = Instant::now();
                let mut round = 1;
                while cut_at.elapsed() < CONTACT {
                    setup.failures(SEVERED, round);
                    round += 1;
                }
                for daemon in 0..DAEMONS {
                    assert_eq!(
                        setup.failures(daemon, round),
                        [""; 0],
                        "{name}: at {daemon}"
                    );
                }
                let executions = setup.services.iter().flat_map(|it| it.counters().bookings);
                let mut slots: Vec<String> = executions.map(|it| it.request.slot).collect();
                slots.sort();
                let runs = slots.len();
                slots.dedup();
                assert_eq!(runs, slots.len(), "{name}: bookings run twice");
            });
        }
    });
}
