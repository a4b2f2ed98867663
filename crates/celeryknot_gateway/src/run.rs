//! Runs a gateway from its settings file until a signal ends it.

use std::io;
use std::path::Path;
use std::process::ExitCode;
use std::time::{Duration, SystemTime};

use async_signal::{Signal, Signals};
use celeryknot_settings::{Diagnostic, GatewaySettings};
use eyre::WrapErr;
use futures_lite::{StreamExt, future};
use strum::{EnumIter, IntoStaticStr};

use crate::daemon::Gateway;
use crate::logs;
use crate::platform_protocol::PlatformProtocol;

/// Interval between checks whether the settings file has changed.
const SETTINGS_POLL_INTERVAL: Duration = Duration::from_secs(1);

/// The exit statuses of a daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
#[repr(u8)]
pub enum ExitStatus {
    /// Shut down by a signal; no request was aborted.
    Done = 0,
    /// Shut down by a signal; requests in flight were aborted at the end of the grace time.
    Leftover = 1,
    /// The arguments or the settings file are invalid.
    Usage = 2,
    /// An address can't be bound, or a thread can't be started.
    Unavailable = 3,
}

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> Self {
        Self::from(status as u8)
    }
}

/// Runs a gateway until a signal ends it.
pub fn run<P: PlatformProtocol>(settings_path: &Path) -> ExitStatus {
    // Installed first: a signal before this point terminates the process immediately.
    let signals = Signals::new([Signal::Term, Signal::Int, Signal::Hup]);
    let settings = match read_settings(settings_path, GatewaySettings::parse) {
        Ok(settings) => settings,
        Err(report) => {
            eprintln!("{report:#}");
            return ExitStatus::Usage;
        }
    };
    let _logs = logs::start();
    match serve::<P>(signals, settings, settings_path) {
        Ok(status) => status,
        Err(report) => {
            tracing::error!("{report:#}");
            ExitStatus::Unavailable
        }
    }
}

/// Reads and validates a settings file.
///
/// # Errors
///
/// Fails if the file can't be read or is invalid; the message lists each finding with its location
/// on its own line.
pub fn read_settings<T>(
    path: &Path,
    parse: impl Fn(&str) -> Result<T, Vec<Diagnostic>>,
) -> eyre::Result<T> {
    let name = path.display().to_string();
    let text = std::fs::read_to_string(path).wrap_err_with(|| format!("can't read {name}"))?;
    parse(&text).map_err(|findings| {
        let messages: Vec<String> = findings
            .into_iter()
            .map(|finding| finding.in_source(name.as_str()).to_string())
            .collect();
        eyre::Report::msg(messages.join("\n"))
    })
}

fn serve<P: PlatformProtocol>(
    signals: io::Result<Signals>,
    settings: GatewaySettings,
    path: &Path,
) -> eyre::Result<ExitStatus> {
    let mut signals = signals.wrap_err("can't install signal handlers")?;
    let mut gateway = Gateway::start::<P>(settings)?;
    let bound = gateway.settings();
    tracing::info!(
        daemon = %bound.name,
        zone = %bound.zone,
        callers = %bound.callers_address,
        readiness = %bound.readiness_address,
        peers = %bound.peers_address,
        version = env!("CARGO_PKG_VERSION"),
        "started"
    );
    future::block_on(wait_for_shutdown(&mut signals, path, &mut gateway));
    Ok(match gateway.shut_down() {
        0 => ExitStatus::Done,
        _ => ExitStatus::Leftover,
    })
}

/// Waits for a stop signal; reloads the settings on SIGHUP and when the file changes.
async fn wait_for_shutdown(signals: &mut Signals, path: &Path, gateway: &mut Gateway) {
    let mut changed_at = modified_at(path);
    loop {
        let signal = async { Some(signals.next().await) };
        let poll_delay = async {
            smol::Timer::after(SETTINGS_POLL_INTERVAL).await;
            None
        };
        match future::or(signal, poll_delay).await {
            Some(Some(Ok(Signal::Hup))) => reload(path, gateway),
            Some(Some(Err(error))) => tracing::warn!(%error, "failed to read a signal"),
            Some(Some(Ok(_)) | None) => return,
            None if modified_at(path) != changed_at => {
                changed_at = modified_at(path);
                reload(path, gateway);
            }
            None => {}
        }
    }
}

/// Returns a file's modification time; `None` if unreadable, which the next reload reports.
fn modified_at(path: &Path) -> Option<SystemTime> {
    std::fs::metadata(path).and_then(|it| it.modified()).ok()
}

fn reload(path: &Path, gateway: &mut Gateway) {
    match read_settings(path, GatewaySettings::parse) {
        Ok(settings) => {
            let outcome = gateway.reload(settings);
            tracing::info!(%outcome, "settings read again");
        }
        Err(report) => tracing::warn!("the settings file can't be used: {report:#}"),
    }
}
