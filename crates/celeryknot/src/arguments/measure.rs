//! The arguments of the demo and the measurements.

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
    #[argh(positional, from_str_fn(parse_measurement))]
    pub name: Measurement,
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
    /// draw the measurement's plot as SVG
    #[argh(option, arg_name = "file")]
    pub plot: Option<PathBuf>,
    /// text (default) or json
    #[argh(option, default = "Format::default()")]
    pub format: Format,
}

fn parse_measurement(name: &str) -> Result<Measurement, String> {
    name.parse().map_err(|_| {
        let names = <Measurement as strum::VariantNames>::VARIANTS.join(", ");
        format!("`{name}` is none of {names}")
    })
}
