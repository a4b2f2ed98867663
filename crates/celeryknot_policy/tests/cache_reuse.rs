//! Compares the reuse of cached contexts with that of standard placements under one fake load.

#![allow(clippy::unwrap_used)]

mod fleet_fake;

use celeryknot_policy::placement::{
    ConsistentHash, ContextAware, LeastLoad, Placement, Random, RoundRobin,
};
use fleet_fake::{Outcome, Plan, run};

fn plan() -> Plan {
    Plan {
        churn_ms: 5_000,
        ..Plan::default()
    }
}

/// Plan for the standard placements in their original form, which has no load bound.
fn unbounded() -> Plan {
    let limits = plan().limits.with_load_multiple(1_000.0);
    Plan { limits, ..plan() }
}

fn print(name: &str, outcome: &Outcome) {
    println!(
        "{name:16} reuse {:.3} max/mean {:.2} above {:.3} excess {:.2} p95 {:5} ms (quiet {}) mean {:.1} started {} refused {} cold {}",
        outcome.reuse_ratio(),
        outcome.max_over_mean,
        outcome.above_share(),
        outcome.excess_max,
        outcome.p95_ms(),
        outcome.other_customers_p95_ms(),
        outcome.mean_in_flight,
        outcome.started,
        outcome.refused,
        outcome.cold_excess,
    );
}

fn context_aware() -> ContextAware {
    ContextAware::new(32_768, 8_000.0)
}

fn measured<P: Placement>(name: &str, plan: &Plan, new: impl Fn() -> P) -> Outcome {
    let outcome = run(plan, new);
    print(name, &outcome);
    outcome
}

struct Case {
    name: &'static str,
    seed: u64,
    chats: usize,
}

const CASES: [Case; 3] = [
    Case {
        name: "contexts fit the caches",
        seed: 1,
        chats: 400,
    },
    Case {
        name: "short cache memory",
        seed: 2,
        chats: 600,
    },
    Case {
        name: "very short cache memory",
        seed: 3,
        chats: 1_000,
    },
];

#[test]
fn chats_reuse_cached_contexts_under_the_load_bound() {
    for case in CASES {
        println!("{}", case.name);
        let plan = Plan {
            seed: case.seed,
            chats: case.chats,
            ..plan()
        };
        let ours = measured("celeryknot", &plan, || context_aware().with_kv_import(true));
        let without_import = measured("  without import", &plan, context_aware);
        let oracle_plan = Plan {
            is_oracle: true,
            ..plan.clone()
        };
        let oracle = measured("oracle", &oracle_plan, context_aware);
        let random = measured("random", &plan, || Random);
        measured("round-robin", &plan, RoundRobin::default);
        measured("least-load", &plan, || LeastLoad);
        let unbounded = Plan {
            limits: unbounded().limits,
            ..plan.clone()
        };
        let consistent_hash = measured("consistent-hash", &unbounded, || ConsistentHash);
        let bounded_hash = measured("  with the bound", &plan, || ConsistentHash);
        let floors = [
            (
                "the oracle",
                ours.reuse_ratio(),
                0.95 * oracle.reuse_ratio(),
            ),
            ("random", ours.reuse_ratio(), 3.0 * random.reuse_ratio()),
            (
                "consistent hashing",
                ours.reuse_ratio(),
                consistent_hash.reuse_ratio(),
            ),
            (
                "random, without import",
                without_import.reuse_ratio(),
                3.0 * random.reuse_ratio(),
            ),
        ];
        for (other, reuse_ratio, reuse_ratio_min) in floors {
            assert!(
                reuse_ratio >= reuse_ratio_min,
                "{}: reuse ratio {reuse_ratio} is too low compared with {other}",
                case.name
            );
        }
        assert!(2 * ours.p95_ms() < bounded_hash.p95_ms(), "{}", case.name);
        assert_eq!(ours.cold_excess, 0, "{}", case.name);
        assert!(ours.above_share() < 0.05, "{}", case.name);
    }
}
