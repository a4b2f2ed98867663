//! The arguments of each command.

mod load;
mod measure;
mod stand_in;

use std::net::SocketAddr;
use std::path::PathBuf;

use argh::FromArgs;
use celeryknot_core::{CustomerName, ModelName, ServiceName, SettingPath};
use strum::{Display, EnumString};

pub use load::{CustomerWeight, LoadArguments};
pub use measure::{DemoArguments, MeasureArguments, MeasureName, SoakArguments};
pub use stand_in::{
    EngineArguments, FaultProxyArguments, PlatformArguments, ServiceArguments, StandInArguments,
    StandInKind,
};

/// Operates and tries out the celeryknot router fleet.
#[derive(FromArgs, Debug)]
#[argh(
    example = "Check settings before they are published:\n$ celeryknot check examples/kinrin-wakai"
)]
pub struct Arguments {
    /// print the version and exit
    #[argh(switch)]
    pub version: bool,
    /// what to do
    #[argh(subcommand)]
    pub command: Option<Command>,
}

/// The commands.
#[derive(FromArgs, Debug)]
#[argh(subcommand)]
pub enum Command {
    /// Check settings offline.
    Check(CheckArguments),
    /// List the codes of refusals.
    Codes(CodesArguments),
    /// Run everything in one process.
    Demo(DemoArguments),
    /// Show why a chat goes where it goes.
    Explain(ExplainArguments),
    /// Send load and measure what callers see.
    Load(LoadArguments),
    /// Run a measurement.
    Measure(MeasureArguments),
    /// The fault soak of gateways.
    Soak(SoakArguments),
    /// Run a stand-in.
    StandIn(StandInArguments),
    /// Show what a daemon knows.
    Status(StatusArguments),
}

/// The form of a command's answer.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Display, EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum Format {
    /// For people.
    #[default]
    Text,
    /// For programs.
    Json,
}

/// Check daemon files and trees of values offline, as a daemon would.
///
/// A file ending in `.ini` is a daemon's file. A file below a folder `teams` or `fleet` is the
/// value of that path. A folder is searched for both.
#[derive(FromArgs, Debug)]
#[argh(
    subcommand,
    name = "check",
    example = "$ celeryknot check examples/kinrin-wakai\nchecked 9 daemon files and 16 values: no findings"
)]
pub struct CheckArguments {
    /// files or folders to check
    #[argh(positional, arg_name = "FILE|DIR")]
    pub paths: Vec<PathBuf>,
    /// check one file as the value of this path, wherever the file lies
    #[argh(option, arg_name = "path")]
    pub as_path: Option<SettingPath>,
    /// text (default) or json
    #[argh(option, default = "Format::default()")]
    pub format: Format,
}

/// List the codes of refusals with status, execution and retry advice.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "codes", example = "$ celeryknot codes")]
pub struct CodesArguments {
    /// text (default) or json
    #[argh(option, default = "Format::default()")]
    pub format: Format,
}

/// Show the endpoints in the order in which the next request of a chat would try them.
#[derive(FromArgs, Debug)]
#[argh(
    subcommand,
    name = "explain",
    example = "$ celeryknot explain --address 127.0.1.1:9090 --service wakai-llm --customer otaru --chat file-17"
)]
pub struct ExplainArguments {
    /// the daemon's address for operators
    #[argh(option)]
    pub address: SocketAddr,
    /// the service
    #[argh(option)]
    pub service: ServiceName,
    /// the customer
    #[argh(option)]
    pub customer: CustomerName,
    /// the chat's name, as callers send it
    #[argh(option)]
    pub chat: String,
    /// the model; the service's first one by default
    #[argh(option)]
    pub model: Option<ModelName>,
    /// text (default) or json
    #[argh(option, default = "Format::default()")]
    pub format: Format,
}

/// Show the members, endpoints, zones and settings in force, as one daemon sees them.
#[derive(FromArgs, Debug)]
#[argh(
    subcommand,
    name = "status",
    example = "$ celeryknot status --address 127.0.1.1:9090"
)]
pub struct StatusArguments {
    /// the daemon's address for operators
    #[argh(option)]
    pub address: SocketAddr,
    /// text (default) or json
    #[argh(option, default = "Format::default()")]
    pub format: Format,
}
