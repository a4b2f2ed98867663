//! Open connections silently drop all traffic while new connections work.

#![allow(clippy::unwrap_used, reason = "a test may panic")]

mod fleet;

use std::time::{Duration, Instant};

use celeryknot_core::DurationMs;
use celeryknot_settings::ServiceSettings;
use celeryknot_standins::{
    Caller, CallerOptions, Engine, EngineOptions, Fault, FaultProxy, LOOPBACK, Outcome, Service,
    ServiceOptions,
};
use fleet::{
    MODEL_SERVICE, PLAIN_SERVICE, TestEndpoint, TestFleet, TestOptions, booking, chat_request,
    model_settings, plain_settings,
};

/// Number of concurrent callers.
const CALLER_COUNT: usize = 4;

/// Rounds of requests per caller, before and after the connections go silent.
const ROUND_COUNT: usize = 12;

/// Maximum time that a caller waits for a response.
const CALLER_TIMEOUT: DurationMs = DurationMs(8_000);

struct Setup {
    fleet: TestFleet,
    proxies: Vec<FaultProxy>,
    engines: Vec<Engine>,
    services: Vec<Service>,
}

impl Setup {
    /// Starts two daemons, of which the second owns the endpoints. A fault proxy stands in front
    /// of each endpoint and of the second daemon.
    fn start() -> Self {
        let engines: Vec<Engine> = (0..2)
            .map(|_| Engine::start(EngineOptions::default(), LOOPBACK).unwrap())
            .collect();
        let services: Vec<Service> = (0..2)
            .map(|_| Service::start(ServiceOptions::default(), LOOPBACK).unwrap())
            .collect();
        let mut proxies: Vec<FaultProxy> = engines
            .iter()
            .map(Engine::address)
            .chain(services.iter().map(Service::address))
            .map(|address| FaultProxy::start_on_loopback(address).unwrap())
            .collect();
        let names = ["engine-1", "engine-2", "service-1", "service-2"];
        let endpoints: Vec<TestEndpoint> = names
            .into_iter()
            .enumerate()
            .map(|(index, name)| TestEndpoint {
                service: if index < 2 {
                    MODEL_SERVICE
                } else {
                    PLAIN_SERVICE
                },
                name,
                address: proxies[index].address(),
                owner: 1,
            })
            .collect();
        let options = TestOptions {
            daemons: 2,
            model: ServiceSettings {
                retry_percent_max: 100,
                ..model_settings()
            },
            plain: ServiceSettings {
                retry_percent_max: 100,
                ..plain_settings()
            },
            ..TestOptions::default()
        };
        let mut fleet = TestFleet::start(options, &endpoints);
        let forwards_address = fleet.daemon(1).settings().forwards_address;
        let proxy = FaultProxy::start_on_loopback(forwards_address).unwrap();
        fleet.change_members(|members| {
            for member in members.values_mut() {
                if member.name.as_str() == "daemon-1" {
                    member.forwards_address = proxy.address();
                }
            }
        });
        proxies.push(proxy);
        Self {
            fleet,
            proxies,
            engines,
            services,
        }
    }

    fn silence_connections(&self) {
        for proxy in &self.proxies {
            proxy.apply(Fault::SilentDrop);
        }
    }

    /// Sends a read and a streaming chat; returns those that did not complete.
    async fn call(&self, caller: &Caller, index: usize, round: usize) -> Vec<String> {
        let mut failures = Vec::new();
        let plain = self.fleet.target(0, PLAIN_SERVICE);
        let outcome = caller.read_record(&plain, "r1").await;
        if !matches!(outcome, Outcome::Completed(_)) {
            failures.push(format!("read {index}-{round}: {outcome:?}"));
        }
        let model = self.fleet.target(0, MODEL_SERVICE);
        let chat = format!("chat-{index}");
        let request = chat_request(&format!("file {index}"), true);
        let outcome = caller.chat(&model, &chat, None, &request).await;
        if !matches!(outcome, Outcome::Completed(_)) {
            failures.push(format!("chat {index}-{round}: {outcome:?}"));
        }
        failures
    }
}

#[test]
fn reads_and_streams_retry_on_new_connections_in_time() {
    let setup = Setup::start();
    let failures: Vec<String> = std::thread::scope(|scope| {
        let threads: Vec<_> = (0..CALLER_COUNT)
            .map(|index| {
                let setup = &setup;
                scope.spawn(move || {
                    let options = CallerOptions::default().timeout_ms(CALLER_TIMEOUT);
                    let caller = Caller::new(options);
                    let mut failures = Vec::new();
                    for round in 0..ROUND_COUNT {
                        failures.extend(smol::block_on(setup.call(&caller, index, round)));
                    }
                    failures
                })
            })
            .collect();
        for _ in 0..3 {
            std::thread::sleep(Duration::from_millis(1_200));
            setup.silence_connections();
        }
        threads
            .into_iter()
            .flat_map(|thread| thread.join().unwrap())
            .collect()
    });
    assert!(failures.is_empty(), "{failures:#?}");
    assert!(
        setup
            .engines
            .iter()
            .any(|engine| engine.counters().taken > 0)
    );
}

/// Each of the streams opens a connection to the peer, as there is none yet; one of them is kept
/// for later requests.
#[test]
fn streams_that_open_connections_at_once_detect_silent_ones() {
    let setup = Setup::start();
    let peer_proxy = setup.proxies.last().unwrap();
    let options = CallerOptions::default().timeout_ms(CALLER_TIMEOUT);
    let caller = Caller::new(options);
    let target = setup.fleet.target(0, MODEL_SERVICE);
    let outcomes: Vec<_> = std::thread::scope(|scope| {
        let threads: Vec<_> = (0..2 * CALLER_COUNT)
            .map(|index| {
                let (caller, target) = (&caller, &target);
                scope.spawn(move || {
                    let chat = format!("chat-{index}");
                    let request = chat_request(&format!("file {index}"), true);
                    smol::block_on(caller.chat(target, &chat, None, &request))
                })
            })
            .collect();
        // The streams have begun, and last at least this time again.
        std::thread::sleep(Duration::from_millis(120));
        peer_proxy.apply(Fault::SilentDrop);
        threads
            .into_iter()
            .map(|thread| thread.join().unwrap())
            .collect()
    });
    for outcome in outcomes {
        assert!(matches!(outcome, Outcome::Completed(_)), "{outcome:?}");
    }
}

#[test]
fn booking_uses_a_live_connection_after_others_go_silent() {
    let setup = Setup::start();
    let caller = Caller::new(CallerOptions::default().timeout_ms(CALLER_TIMEOUT));
    let plain = setup.fleet.target(0, PLAIN_SERVICE);
    for round in 0..4 {
        let slot = format!("slot-{round}");
        let start = Instant::now();
        let outcome = smol::block_on(caller.book_once(&plain, None, &booking(&slot)));
        assert!(
            matches!(outcome, Outcome::Completed(_)),
            "round {round} after {:?}: {outcome:?}",
            start.elapsed()
        );
        setup.silence_connections();
        // Longer than a connection can be idle before the daemon checks that it is alive.
        std::thread::sleep(Duration::from_millis(100));
    }
    let bookings: usize = setup
        .services
        .iter()
        .map(|service| service.counters().bookings.len())
        .sum();
    assert_eq!(bookings, 4);
}
