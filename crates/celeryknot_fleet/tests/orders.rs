//! Rollouts to simulated engines, with two holders, stalls and engines that ignore fencing.

use std::collections::BTreeMap;

use celeryknot_core::{
    DurationMs, EndpointCondition, EndpointName, EndpointSummary, MonotonicMs, Revision,
    ServiceName,
};
use celeryknot_fleet::{
    EndpointView, EngineReport, FencingMode, FencingNumber, FleetView, Order, Orders, OrdersConfig,
    Rollout, RolloutState,
};

const LOAD_MS: u64 = 2_000;
const TICK_MS: u64 = 500;
const LEASE_MS: u64 = 3_000;

struct Engine {
    mode: FencingMode,
    version: String,
    loading: Option<(MonotonicMs, String)>,
    highest: FencingNumber,
    loads: u32,
    summary: EndpointSummary,
}

struct TestFleet {
    now: MonotonicMs,
    engines: BTreeMap<EndpointName, Engine>,
    loading_peak: usize,
}

fn service(name: &str) -> ServiceName {
    name.parse().expect("a valid name")
}

fn rollout(name: &str, revision: u64, version: &str) -> Rollout {
    Rollout {
        service: service(name),
        revision: Revision(revision),
        model: "wakai-8b".parse().expect("a valid name"),
        version: version.to_owned(),
        adapter: None,
        parallel_max: 2,
    }
}

impl TestFleet {
    fn new(count: usize, mode: FencingMode) -> Self {
        let engine = |index: usize| {
            let name = format!("wakai-{index}").parse().expect("a valid name");
            let engine = Engine {
                mode,
                version: "v1".to_owned(),
                loading: None,
                highest: FencingNumber(0),
                loads: 0,
                summary: EndpointSummary {
                    in_flight: 4,
                    in_flight_max: 16,
                    condition: EndpointCondition::Warm,
                    ..EndpointSummary::default()
                },
            };
            (name, engine)
        };
        Self {
            now: MonotonicMs(0),
            engines: (0..count).map(engine).collect(),
            loading_peak: 0,
        }
    }

    fn view(&self) -> FleetView {
        let endpoints = self.engines.iter().map(|(name, engine)| EndpointView {
            name: name.clone(),
            service: service("wakai"),
            zone: "hkd-a".parse().expect("a valid zone"),
            address: "127.0.0.1:9001".parse().expect("an address"),
            is_draining: false,
            fencing: engine.mode,
            owner: None,
            summary: Some(engine.summary),
        });
        FleetView {
            is_ready: true,
            endpoints: endpoints.collect(),
            ..FleetView::default()
        }
    }

    /// Delivers an order to its engine; an engine that refuses it returns its highest number.
    fn deliver(&mut self, order: &Order) -> Result<(), FencingNumber> {
        let engine = self.engines.get_mut(&order.endpoint).expect("known");
        if engine.mode == FencingMode::Refuses && order.fencing < engine.highest {
            return Err(engine.highest);
        }
        engine.highest = engine.highest.max(order.fencing);
        engine.loads += 1;
        let done = self.now + DurationMs(LOAD_MS);
        engine.loading = Some((done, order.version.clone()));
        Ok(())
    }

    fn step(&mut self) {
        self.now = self.now + DurationMs(TICK_MS);
        let now = self.now;
        for engine in self.engines.values_mut() {
            if let Some((_, version)) = engine.loading.take_if(|(done, _)| now >= *done) {
                engine.version = version;
            }
        }
        let loading = self
            .engines
            .values()
            .filter(|e| e.loading.is_some())
            .count();
        self.loading_peak = self.loading_peak.max(loading);
    }

    /// Passes the engines' reports to a holder and delivers its orders.
    fn run_holder(&mut self, orders: &mut Orders, list: u64, rollouts: &[Rollout]) {
        for (name, engine) in &self.engines {
            let report = EngineReport {
                version: engine.version.clone(),
                is_cold: false,
            };
            orders.observe_engine(name, report);
        }
        let view = self.view();
        for order in orders.tick(self.now, &view, Revision(list), rollouts, |_| true) {
            assert!(order.send_before > self.now);
            if let Err(highest) = self.deliver(&order) {
                orders.record_refusal(&order.endpoint, highest);
            }
        }
    }

    fn all_serve(&self, version: &str) -> bool {
        self.engines
            .values()
            .all(|engine| engine.version == version)
    }

    fn loads(&self) -> u32 {
        self.engines.values().map(|engine| engine.loads).sum()
    }
}

fn holder() -> Orders {
    Orders::new(OrdersConfig {
        lease: DurationMs(LEASE_MS),
        loads_per_min_max: 600,
        load_timeout: DurationMs(10_000),
    })
}

#[test]
fn rollout_updates_every_engine_once_within_its_limits() {
    let mut fleet = TestFleet::new(10, FencingMode::Refuses);
    let mut orders = holder();
    let target = [rollout("wakai", 5, "v2")];
    while !fleet.all_serve("v2") {
        fleet.run_holder(&mut orders, 3, &target);
        fleet.step();
        assert!(
            fleet.now < MonotonicMs(120_000),
            "the rollout did not finish"
        );
    }
    assert_eq!(fleet.loads(), 10);
    assert_eq!(fleet.loading_peak, 2);
    fleet.run_holder(&mut orders, 3, &target);
    assert_eq!(orders.state(&service("wakai")), RolloutState::Done);
}

#[test]
fn new_holder_waits_for_the_previous_lease_to_expire() {
    let mut fleet = TestFleet::new(4, FencingMode::Refuses);
    let mut orders = holder();
    let target = [rollout("wakai", 5, "v2")];
    while fleet.now < MonotonicMs(LEASE_MS) {
        fleet.run_holder(&mut orders, 3, &target);
        assert_eq!(fleet.loads(), 0);
        fleet.step();
    }
    fleet.run_holder(&mut orders, 3, &target);
    assert_eq!(fleet.loads(), 1);
    orders.observe_stall();
    fleet.run_holder(&mut orders, 3, &target);
    assert_eq!(
        fleet.loads(),
        1,
        "an order was sent without a lease after a stall"
    );
}

#[test]
fn no_engine_is_updated_while_the_others_cannot_carry_the_load() {
    let mut fleet = TestFleet::new(4, FencingMode::Refuses);
    let mut orders = holder();
    let target = [rollout("wakai", 5, "v2")];
    let set_load = |fleet: &mut TestFleet, in_flight: u32| {
        for engine in fleet.engines.values_mut() {
            engine.summary.in_flight = in_flight;
        }
    };
    // Three engines with a bound of 16 can carry at most 38 requests at 80 % of their bounds.
    set_load(&mut fleet, 10);
    for _ in 0..20 {
        fleet.run_holder(&mut orders, 3, &target);
        fleet.step();
    }
    assert_eq!(fleet.loads(), 0);
    set_load(&mut fleet, 9);
    for _ in 0..60 {
        fleet.run_holder(&mut orders, 3, &target);
        fleet.step();
    }
    assert!(fleet.all_serve("v2"));
    assert_eq!(fleet.loading_peak, 1);
}

#[test]
fn rollout_stops_when_an_updated_engine_is_unhealthy() {
    let mut fleet = TestFleet::new(6, FencingMode::Refuses);
    let mut orders = holder();
    let target = [rollout("wakai", 5, "v2")];
    for _ in 0..40 {
        fleet.run_holder(&mut orders, 3, &target);
        fleet.step();
        for engine in fleet.engines.values_mut().filter(|e| e.version == "v2") {
            engine.summary.condition = EndpointCondition::Unhealthy;
        }
    }
    assert_eq!(orders.state(&service("wakai")), RolloutState::Stopped);
    let updated = fleet.engines.values().filter(|e| e.version == "v2").count();
    assert!(updated <= 2, "{updated} engines were updated");
    let back = [rollout("wakai", 6, "v1")];
    for _ in 0..40 {
        fleet.run_holder(&mut orders, 3, &back);
        fleet.step();
        for engine in fleet.engines.values_mut() {
            engine.summary.condition = EndpointCondition::Warm;
        }
    }
    assert!(fleet.all_serve("v1"), "the rollback did not finish");
}

#[test]
fn rollouts_share_the_load_rate_of_the_weight_store() {
    let config = OrdersConfig {
        loads_per_min_max: 12,
        ..OrdersConfig::default()
    };
    let mut fleet = TestFleet::new(20, FencingMode::Refuses);
    let mut orders = Orders::new(config);
    // A second rollout, held by another daemon, gets half of the rate.
    let targets = [rollout("wakai", 5, "v2"), rollout("other", 6, "v9")];
    while fleet.now < MonotonicMs(60_000 + LEASE_MS) {
        fleet.run_holder(&mut orders, 3, &targets);
        fleet.step();
    }
    assert_eq!(fleet.loads(), 6);
}

/// A case with two concurrent holders.
struct TwoHolders {
    name: &'static str,
    mode: FencingMode,
    other_revision: u64,
    other_version: &'static str,
    other_list: u64,
    loads_max: u32,
}

#[test]
fn two_holders_converge_to_the_newest_settings() {
    let cases = [
        TwoHolders {
            name: "same settings",
            mode: FencingMode::Refuses,
            other_revision: 5,
            other_version: "v2",
            other_list: 2,
            loads_max: 16,
        },
        TwoHolders {
            name: "same settings, fencing ignored",
            mode: FencingMode::Ignores,
            other_revision: 5,
            other_version: "v2",
            other_list: 2,
            loads_max: 16,
        },
        TwoHolders {
            name: "the other holder has older settings and a newer list",
            mode: FencingMode::Refuses,
            other_revision: 4,
            other_version: "v0",
            other_list: 9,
            loads_max: 24,
        },
    ];
    for case in cases {
        let mut fleet = TestFleet::new(8, case.mode);
        let (mut holder_a, mut holder_b) = (holder(), holder());
        let target = [rollout("wakai", 5, "v2")];
        let other_target = [rollout("wakai", case.other_revision, case.other_version)];
        for _ in 0..120 {
            fleet.run_holder(&mut holder_b, case.other_list, &other_target);
            fleet.run_holder(&mut holder_a, 3, &target);
            fleet.step();
        }
        assert!(fleet.all_serve("v2"), "{}", case.name);
        assert!(
            fleet.loads() <= case.loads_max,
            "{}: {}",
            case.name,
            fleet.loads()
        );
    }
}

#[test]
fn late_order_to_an_engine_without_fencing_is_corrected() {
    let mut fleet = TestFleet::new(4, FencingMode::Ignores);
    let mut orders = holder();
    let target = [rollout("wakai", 5, "v2")];
    let run = |fleet: &mut TestFleet, orders: &mut Orders, rounds: u32| {
        for _ in 0..rounds {
            fleet.run_holder(orders, 3, &target);
            fleet.step();
        }
    };
    run(&mut fleet, &mut orders, 60);
    assert!(fleet.all_serve("v2"));
    // An order that passed its sender's last lease check before a stall.
    let endpoint = fleet.engines.keys().next().cloned().expect("an engine");
    let late = Order {
        endpoint,
        address: "127.0.0.1:9001".parse().expect("an address"),
        fencing: FencingNumber::new(Revision(4), Revision(1)),
        model: "wakai-8b".parse().expect("a valid name"),
        version: "v0".to_owned(),
        adapter: None,
        send_before: MonotonicMs(0),
    };
    assert_eq!(fleet.deliver(&late), Ok(()));
    run(&mut fleet, &mut orders, 4);
    assert!(
        !fleet.all_serve("v2"),
        "the engine did not load the late order's version"
    );
    run(&mut fleet, &mut orders, 8);
    assert!(
        fleet.all_serve("v2"),
        "the holder did not restore the version"
    );
}
