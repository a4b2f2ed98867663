//! The arguments of `demo`, `measure` and `soak`.

use std::ops::Range;
use std::path::PathBuf;

use argh::FromArgs;
use celeryknot_measure::{Deployment, Measurement};

use super::Format;

/// Run stand-ins and three daemons in this process under load, with a temporary zone outage.
///
/// The stand-ins and callers count all figures. The exit status is 1 if a request was lost, a
/// booking ran twice, or a response was truncated or delivered to another caller.
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
    /// duration of the load in seconds (default 10)
    #[argh(option, default = "10")]
    pub seconds: u64,
    /// seed of the random choices (default 1)
    #[argh(option, default = "1")]
    pub seed: u64,
    /// text (default) or json
    #[argh(option, default = "Format::default()")]
    pub format: Format,
}

/// Run a measurement on stand-ins and daemons in this process and compare it with baselines.
///
/// The exit status is 1 if a target was missed. docs/COMMANDS.md lists the names.
#[derive(FromArgs, Debug)]
#[argh(
    subcommand,
    name = "measure",
    example = "$ celeryknot measure skew --seed 1 --seconds 20 --format json"
)]
pub struct MeasureArguments {
    /// name of the measurement
    #[argh(positional, from_str_fn(parse_name))]
    pub name: MeasureName,
    /// kinrin-wakai (default) or quayline
    #[argh(option, default = "Deployment::KinrinWakai")]
    pub deployment: Deployment,
    /// duration of each run in seconds (default 20)
    #[argh(option, default = "20")]
    pub seconds: u64,
    /// seed of the random choices (default 1)
    #[argh(option, default = "1")]
    pub seed: u64,
    /// load as a multiple of the normal load (default 1)
    #[argh(option, default = "1.0")]
    pub load: f64,
    /// for faults: the seeds to run, such as 1..100 (default 1..11); the end is exclusive
    #[argh(option, arg_name = "a..b", default = "1..11", from_str_fn(parse_seeds))]
    pub seeds: Range<u64>,
    /// for faults: number of parallel runs, each with four daemon processes (default 2)
    #[argh(option, default = "2")]
    pub parallel_runs: u16,
    /// write a plot of the measurement to this SVG file
    #[argh(option, arg_name = "file")]
    pub plot: Option<PathBuf>,
    /// text (default) or json
    #[argh(option, default = "Format::default()")]
    pub format: Format,
}

/// Run the fault soak: real daemons on this machine in front of stand-ins for the platform.
///
/// Each seed determines overlapping signals, outages, endpoint failures and changes. The exit
/// status is 1 if a promise was broken or a run served nothing. The command ends only processes
/// that it started.
#[derive(FromArgs, Debug)]
#[argh(
    subcommand,
    name = "soak",
    example = "$ celeryknot soak --seeds 1..51 --parallel-runs 4"
)]
pub struct SoakArguments {
    /// the seeds to run, such as 1..51 (default 1..11); the end is exclusive
    #[argh(option, arg_name = "a..b", default = "1..11", from_str_fn(parse_seeds))]
    pub seeds: Range<u64>,
    /// number of parallel runs, each with five daemon processes (default 2)
    #[argh(option, default = "2")]
    pub parallel_runs: u16,
    /// text (default) or json
    #[argh(option, default = "Format::default()")]
    pub format: Format,
}

/// The name of a measurement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MeasureName {
    /// A measurement in this process.
    Report(Measurement),
    /// Runs of daemon processes under seeded failures.
    Faults,
}

/// The name of the runs under seeded failures.
const FAULTS_NAME: &str = "faults";

fn parse_name(name: &str) -> Result<MeasureName, String> {
    if name == FAULTS_NAME {
        return Ok(MeasureName::Faults);
    }
    name.parse().map(MeasureName::Report).map_err(|_| {
        let names = <Measurement as strum::VariantNames>::VARIANTS.join(", ");
        format!("`{name}` is none of {names}, {FAULTS_NAME}")
    })
}

fn parse_seeds(text: &str) -> Result<Range<u64>, String> {
    let seeds = text
        .split_once("..")
        .and_then(|(from, until)| Some(from.parse().ok()?..until.parse().ok()?));
    seeds
        .filter(|seeds| !seeds.is_empty())
        .ok_or_else(|| format!("`{text}` is not a range of seeds such as 1..100"))
}
