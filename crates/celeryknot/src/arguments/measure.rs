//! The arguments of the demo and the measurements.

use std::ops::Range;
use std::path::PathBuf;

use argh::FromArgs;
use celeryknot_measure::{Deployment, Measurement};

use super::Format;

/// Run stand-ins and three daemons in this process, with load and a zone that goes out and returns.
///
/// All figures are counted by the stand-ins and callers. The exit status is 1 when a request was
/// lost, a booking doubled, or an answer truncated or delivered to another caller.
#[derive(FromArgs, Debug)]
#[argh(
    subcommand,
    name = "demo",
    example = "$ celeryknot demo --seconds 10 --seed 1"
)]
pub struct DemoArguments {
    /// kinrin-wakai (default) or quayline
    #[argh(option, default = "Deployment::KinrinWakai")]
    pub deployment: Deployment,
    /// length of the load (default 10)
    #[argh(option, default = "10")]
    pub seconds: u64,
    /// decides all that is drawn (default 1)
    #[argh(option, default = "1")]
    pub seed: u64,
    /// text (default) or json
    #[argh(option, default = "Format::default()")]
    pub format: Format,
}

/// Run a measurement on stand-ins and daemons in this process, against baselines.
///
/// The exit status is 1 when an aim was missed. docs/COMMANDS.md lists the names.
#[derive(FromArgs, Debug)]
#[argh(
    subcommand,
    name = "measure",
    example = "$ celeryknot measure skew --seed 1 --seconds 20 --format json"
)]
pub struct MeasureArguments {
    /// what to measure
    #[argh(positional, from_str_fn(parse_name))]
    pub name: MeasureName,
    /// kinrin-wakai (default) or quayline
    #[argh(option, default = "Deployment::KinrinWakai")]
    pub deployment: Deployment,
    /// length of each run (default 20)
    #[argh(option, default = "20")]
    pub seconds: u64,
    /// decides all that is drawn (default 1)
    #[argh(option, default = "1")]
    pub seed: u64,
    /// load as a multiple of the ordinary one (default 1)
    #[argh(option, default = "1.0")]
    pub load: f64,
    /// for faults: the seeds to run, such as 1..100 (default 1..11); the last is left out
    #[argh(option, arg_name = "a..b", default = "1..11", from_str_fn(parse_seeds))]
    pub seeds: Range<u64>,
    /// for faults: runs at a time, each with four daemon processes (default 2)
    #[argh(option, default = "2")]
    pub parallel_runs: u16,
    /// draw the measurement's plot as SVG
    #[argh(option, arg_name = "file")]
    pub plot: Option<PathBuf>,
    /// text (default) or json
    #[argh(option, default = "Format::default()")]
    pub format: Format,
}

/// Run the fault soak: real daemons on this machine before stand-ins in the platform's form.
///
/// Each seed draws a series of signals, outages, failing endpoints and changes that overlap. The
/// exit status is 1 when a promise was broken or a run served nothing. Ends only processes that
/// it started.
#[derive(FromArgs, Debug)]
#[argh(
    subcommand,
    name = "soak",
    example = "$ celeryknot soak --seeds 1..51 --parallel-runs 4"
)]
pub struct SoakArguments {
    /// the seeds to run, such as 1..51 (default 1..11); the last is left out
    #[argh(option, arg_name = "a..b", default = "1..11", from_str_fn(parse_seeds))]
    pub seeds: Range<u64>,
    /// runs at a time, each with five daemon processes (default 2)
    #[argh(option, default = "2")]
    pub parallel_runs: u16,
    /// text (default) or json
    #[argh(option, default = "Format::default()")]
    pub format: Format,
}

/// What `measure` can run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MeasureName {
    /// A measurement in this process.
    Report(Measurement),
    /// Runs of real daemons under seeded failures.
    Faults,
}

/// The name of the runs under seeded failures.
const FAULTS: &str = "faults";

fn parse_name(name: &str) -> Result<MeasureName, String> {
    if name == FAULTS {
        return Ok(MeasureName::Faults);
    }
    name.parse().map(MeasureName::Report).map_err(|_| {
        let names = <Measurement as strum::VariantNames>::VARIANTS.join(", ");
        format!("`{name}` is none of {names}, {FAULTS}")
    })
}

fn parse_seeds(text: &str) -> Result<Range<u64>, String> {
    let seeds = text
        .split_once("..")
        .and_then(|(from, until)| Some(from.parse().ok()?..until.parse().ok()?));
    seeds
        .filter(|seeds| !seeds.is_empty())
        .ok_or_else(|| format!("`{text}` is no range of seeds such as 1..100"))
}
