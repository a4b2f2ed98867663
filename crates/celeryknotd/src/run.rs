//! The `celeryknotd` command: parses arguments and settings, sets up logs, handles signals.

use std::io::IsTerminal;
use std::path::{Path, PathBuf};

use argh::FromArgs;
use async_signal::{Signal, Signals};
use celeryknot_gateway::run::read_settings;
use celeryknot_kinrin::Kinrin;
use celeryknot_settings::{DaemonSettings, LogFormat};
use eyre::WrapErr;
use futures_lite::StreamExt;
use strum::{EnumIter, EnumString, IntoStaticStr};
use tracing_subscriber::EnvFilter;

pub use celeryknot_gateway::ExitStatus;

use crate::daemon::Daemon;

/// Log level if the environment sets none.
const LOG_LEVEL_DEFAULT: &str = "info";

/// A router between callers and endpoints; one of a fleet of equals.
///
/// SIGTERM or SIGINT shuts it down gracefully; a second one ends it at once.
#[derive(Debug, FromArgs)]
#[argh(
    example = "{command_name} --settings /etc/celeryknot/daemon.ini",
    error_code(0, "shut down by a signal; no request was cut"),
    error_code(
        1,
        "shut down by a signal; requests were cut at the end of the grace time"
    ),
    error_code(2, "the arguments or the settings file can't be used"),
    error_code(3, "an address can't be bound, or a thread can't be started")
)]
struct Arguments {
    /// the daemon's settings file, in INI
    #[argh(option)]
    settings: PathBuf,
    /// whom the daemon speaks to: `native` (the default), or `kinrin`
    #[argh(option, default = "Protocol::Native")]
    boundary: Protocol,
}

/// The protocol spoken with the platform, callers and endpoints.
#[derive(Debug, Clone, Copy, PartialEq, Eq, EnumIter, EnumString, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
enum Protocol {
    /// Celeryknot's own protocol.
    Native,
    /// The protocol of Kinrin Wakai Systems' platform.
    Kinrin,
}

/// Runs the daemon until a signal stops it.
pub fn run(arguments: &[String]) -> ExitStatus {
    let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
    let arguments = match Arguments::from_args(&["celeryknotd"], &arguments) {
        Ok(arguments) => arguments,
        Err(exit) => {
            let is_help = exit.status.is_ok();
            if is_help {
                println!("{}", exit.output);
                return ExitStatus::Done;
            }
            eprintln!("{}", exit.output);
            return ExitStatus::Usage;
        }
    };
    match arguments.boundary {
        Protocol::Native => run_native(&arguments.settings),
        Protocol::Kinrin => celeryknot_gateway::run::<Kinrin>(&arguments.settings),
    }
}

fn run_native(settings_path: &Path) -> ExitStatus {
    let settings = match read_settings(settings_path, DaemonSettings::parse) {
        Ok(settings) => settings,
        Err(report) => {
            eprintln!("{report:#}");
            return ExitStatus::Usage;
        }
    };
    init_logs(settings.log_format);
    match run_daemon(settings) {
        Ok(status) => status,
        Err(report) => {
            tracing::error!("{report:#}");
            ExitStatus::Unavailable
        }
    }
}

fn init_logs(format: LogFormat) {
    let filter =
        EnvFilter::try_from_default_env().unwrap_or_else(|_| EnvFilter::new(LOG_LEVEL_DEFAULT));
    let builder = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_ansi(std::io::stderr().is_terminal())
        .with_writer(std::io::stderr);
    // If a subscriber is already installed in this process, it stays in place.
    let _ = match format {
        LogFormat::Human => builder.try_init(),
        LogFormat::Json => builder.json().try_init(),
    };
}

fn run_daemon(settings: DaemonSettings) -> eyre::Result<ExitStatus> {
    let mut signals =
        Signals::new([Signal::Term, Signal::Int]).wrap_err("can't install signal handlers")?;
    let mut daemon = Daemon::start(settings)?;
    let settings = daemon.settings();
    tracing::info!(
        daemon = %settings.name,
        zone = %settings.zone,
        incarnation = %daemon.incarnation(),
        callers = %settings.callers_address,
        peers = %settings.peers_address,
        forwards = %settings.forwards_address,
        operators = %settings.operators_address,
        "started"
    );
    smol::block_on(signals.next());
    daemon.begin_shutdown();
    std::thread::spawn(move || {
        smol::block_on(signals.next());
        std::process::exit(ExitStatus::Leftover as i32);
    });
    let report = daemon.wait();
    Ok(if report.leftover == 0 {
        ExitStatus::Done
    } else {
        ExitStatus::Leftover
    })
}
