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

/// Operate and test the celeryknot router fleet.
#[derive(FromArgs, Debug)]
#[argh(
    example = "Check settings before they are published:\n$ celeryknot check examples/kinrin-wakai"
)]
pub struct Arguments {
    /// print the version and exit
    #[argh(switch)]
    pub version: bool,
    /// the command to run
    #[argh(subcommand)]
    pub command: Option<Command>,
}

/// The commands.
#[derive(FromArgs, Debug)]
#[argh(subcommand)]
pub enum Command {
    /// Check settings offline.
    Check(CheckArguments),
    /// List the refusal codes.
    Codes(CodesArguments),
    /// Run daemons, stand-ins and load in one process.
    Demo(DemoArguments),
    /// Explain the placement of a chat.
    Explain(ExplainArguments),
    /// Send load and measure the responses.
    Load(LoadArguments),
    /// Run a measurement.
    Measure(MeasureArguments),
    /// Run the fault soak of gateways.
    Soak(SoakArguments),
    /// Run a stand-in.
    StandIn(StandInArguments),
    /// Show the status of a daemon.
    Status(StatusArguments),
}

/// The output format of a command.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Display, EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum Format {
    /// Human-readable text.
    #[default]
    Text,
    /// JSON.
    Json,
}

/// Check daemon files, trees of values and the operators' configuration offline, with the same
/// checks as a daemon.
///
/// A file with the extension `.ini` is a daemon file. A file below a folder `teams` or `fleet` is
/// the value of that path. Folders are searched for both. A named file with the extension `.json`
/// is the operators' configuration in the platform's form.
#[derive(FromArgs, Debug)]
#[argh(
    subcommand,
    name = "check",
    example = "$ celeryknot check examples/kinrin-wakai\nchecked 9 daemon files and 16 values: no findings",
    example = "$ celeryknot check new.json --against active.json --gateway router.ini"
)]
pub struct CheckArguments {
    /// files or folders to check
    #[argh(positional, arg_name = "FILE|DIR")]
    pub paths: Vec<PathBuf>,
    /// check a single file as the value of this path, regardless of its location
    #[argh(option, arg_name = "path")]
    pub as_path: Option<SettingPath>,
    /// compare a single configuration with the active one in this file
    #[argh(option, arg_name = "file")]
    pub against: Option<PathBuf>,
    /// check the regions of configurations against the zones in this gateway's settings file
    #[argh(option, arg_name = "file")]
    pub gateway: Option<PathBuf>,
    /// text (default) or json
    #[argh(option, default = "Format::default()")]
    pub format: Format,
}

/// List the refusal codes with status, execution and retry advice.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "codes", example = "$ celeryknot codes")]
pub struct CodesArguments {
    /// text (default) or json
    #[argh(option, default = "Format::default()")]
    pub format: Format,
}

/// Show the ranking of the endpoints for the next request of a chat.
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
    /// the chat's name, as sent by callers
    #[argh(option)]
    pub chat: String,
    /// the model (default: the first one of the service)
    #[argh(option)]
    pub model: Option<ModelName>,
    /// text (default) or json
    #[argh(option, default = "Format::default()")]
    pub format: Format,
}

/// Show the members, endpoints, zones and active settings in the view of one daemon.
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
