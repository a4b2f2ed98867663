//! Runs a range of seeds: `campaign BINARY FROM TO PARALLEL_RUNS`.

use std::path::PathBuf;

use celeryknot_faults::campaign::run_seeds;
use eyre::{WrapErr, eyre};

fn main() -> eyre::Result<()> {
    let mut arguments = std::env::args().skip(1);
    let mut next = |name: &str| arguments.next().ok_or_else(|| eyre!("{name} is missing"));
    let binary = PathBuf::from(next("BINARY")?);
    let from: u64 = next("FROM")?.parse().wrap_err("FROM")?;
    let to: u64 = next("TO")?.parse().wrap_err("TO")?;
    let parallel_runs: u16 = next("PARALLEL_RUNS")?.parse().wrap_err("PARALLEL_RUNS")?;
    let report = run_seeds(&binary, from..to, parallel_runs, |_| {});
    println!("{}", serde_json::to_string_pretty(&report)?);
    Ok(())
}
