//! The load bound over several owners whose summaries lag.

#![allow(clippy::unwrap_used)]

mod fleet_fake;

use fleet_fake::{Plan, run};

#[test]
fn prints_the_bound_for_each_lag_and_load() {
    println!("lag_ms mean_wanted | mean max/mean above excess | started refused wait_ms");
    for lag_ms in [0, 250, 500, 1_000] {
        for mean_wanted in [1.5, 4.0, 12.0, 40.0] {
            let plan = Plan {
                lag_ms,
                mean_wanted,
                ..Plan::default()
            };
            let outcome = run(&plan);
            println!(
                "{lag_ms:6} {mean_wanted:11} | {:4.1} {:8.2} {:5.3} {:6.2} | {:7} {:7} {:7}",
                outcome.mean_in_flight,
                outcome.max_over_mean,
                outcome.above as f64 / outcome.samples as f64,
                outcome.excess_max,
                outcome.started,
                outcome.refused,
                outcome.wait_ms_sum / outcome.started.max(1),
            );
        }
    }
}
