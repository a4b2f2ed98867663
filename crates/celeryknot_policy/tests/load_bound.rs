//! The load bound and the customers' shares across several owners with delayed summaries.

#![allow(clippy::unwrap_used)]

mod fleet_fake;

use celeryknot_core::{EndpointCondition, EndpointSummary};
use celeryknot_policy::bound::{LoadBound, ServiceLoad};
use celeryknot_policy::placement::ContextAware;
use fleet_fake::{Outcome, Plan, run};

struct Case {
    name: &'static str,
    plan: Plan,
    /// Maximum share of samples above the multiple of the mean plus one.
    above_share_max: f64,
    /// Maximum number of requests above that bound.
    excess_max: f64,
}

fn measured(name: &str, plan: &Plan) -> Outcome {
    let outcome = run(plan, || {
        ContextAware::new(32_768, 8_000.0).with_kv_import(true)
    });
    println!(
        "{name:34} mean {:4.1} max/mean {:.2} above {:.3} excess {:.2} started {} refused {} p95 {} quiet p95 {} reuse {:.3}",
        outcome.mean_in_flight,
        outcome.max_over_mean,
        outcome.above_share(),
        outcome.excess_max,
        outcome.started,
        outcome.refused,
        outcome.p95_ms(),
        outcome.other_customers_p95_ms(),
        outcome.reuse_ratio(),
    );
    outcome
}

#[test]
fn bound_holds_with_lagging_summaries_and_a_surging_customer() {
    let case = |name, lag_ms, chats, surge| Case {
        name,
        plan: Plan {
            lag_ms,
            chats,
            surge,
            ..Plan::default()
        },
        above_share_max: if lag_ms > 500 { 0.06 } else { 0.04 },
        excess_max: if lag_ms > 500 { 5.0 } else { 2.0 },
    };
    let cases = [
        case("steady, lag 250 ms", 250, 600, 1),
        case("steady, lag 1 s", 1_000, 600, 1),
        case("little load, surge, lag 250 ms", 250, 150, 20),
        case("surge, lag 250 ms", 250, 600, 20),
        case("surge, lag 500 ms", 500, 600, 20),
        case("surge, lag 1 s", 1_000, 600, 20),
        case("much load, surge, lag 250 ms", 250, 2_000, 20),
        case("much load, surge, lag 1 s", 1_000, 2_000, 20),
    ];
    for case in cases {
        let outcome = measured(case.name, &case.plan);
        let (above, excess) = (outcome.above_share(), outcome.excess_max);
        assert!(above <= case.above_share_max, "{}", case.name);
        assert!(excess <= case.excess_max, "{}", case.name);
    }
}

#[test]
fn surge_of_one_customer_does_not_slow_the_others() {
    for seed in 1..4 {
        let plan = |surge| Plan {
            seed,
            surge,
            chats: 400,
            ..Plan::default()
        };
        let without = measured("without a surge", &plan(1));
        let with = measured("with a surge", &plan(20));
        let ratio = with.other_customers_p95_ms() as f64 / without.other_customers_p95_ms() as f64;
        println!("quiet p95 ratio {ratio:.2}");
        assert!(ratio <= 1.2, "seed {seed}: p95 ratio {ratio}");
    }
}

#[test]
fn bound_holds_for_the_first_warm_endpoint() {
    let summary = |in_flight, condition| EndpointSummary {
        in_flight,
        condition,
        ..EndpointSummary::default()
    };
    struct Case {
        name: &'static str,
        summaries: Vec<EndpointSummary>,
        in_flight_max: u32,
    }
    let cases = [
        Case {
            name: "one warm among ramping ones",
            summaries: std::iter::once(summary(2, EndpointCondition::Warm))
                .chain((0..9).map(|_| summary(2, EndpointCondition::Ramping)))
                .collect(),
            in_flight_max: 4,
        },
        Case {
            name: "a single endpoint has no bound",
            summaries: vec![summary(2, EndpointCondition::Warm)],
            in_flight_max: u32::MAX,
        },
    ];
    for case in cases {
        let load = ServiceLoad::from_summaries(&case.summaries);
        let in_flight_max = LoadBound::new(1.25).in_flight_max(&load);
        assert!(
            in_flight_max <= case.in_flight_max,
            "{}: {in_flight_max}",
            case.name
        );
    }
}
