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

use crate::boundary::Boundary;
use crate::daemon::Gateway;
use crate::logs;

/// Time between two looks whether the settings file has changed.
const SETTINGS_LOOK: Duration = Duration::from_secs(1);

/// The exit statuses of a daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
#[repr(u8)]
pub enum ExitStatus {
    /// Shut down by a signal; no request was cut.
    Done = 0,
    /// Shut down by a signal; requests in flight were cut at the end of the grace time.
    Leftover = 1,
    /// The arguments or the settings file can't be used.
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
pub fn run<B: Boundary>(settings_path: &Path) -> ExitStatus {
    // Taken before all else: a signal that comes earlier ends the process at once.
    let signals = Signals::new([Signal::Term, Signal::Int, Signal::Hup]);
    let settings = match read_settings(settings_path, GatewaySettings::parse) {
        Ok(settings) => settings,
        Err(report) => {
            eprintln!("{report:#}");
            return ExitStatus::Usage;
        }
    };
    let _logs = logs::start();
    match serve::<B>(signals, settings, settings_path) {
        Ok(status) => status,
        Err(report) => {
            tracing::error!("{report:#}");
            ExitStatus::Unavailable
        }
    }
}

/// Reads and checks a settings file.
///
/// # Errors
///
/// The file can't be read, or all findings, each on a line with its place.
pub fn read_settings<T>(
    path: &Path,
    parse: impl Fn(&str) -> Result<T, Vec<Diagnostic>>,
) -> eyre::Result<T> {
    let name = path.display().to_string();
    let text = std::fs::read_to_string(path).wrap_err_with(|| format!("can't read {name}"))?;
    parse(&text).map_err(|findings| {
        let lines: Vec<String> = findings
            .into_iter()
            .map(|finding| finding.in_source(name.as_str()).to_string())
            .collect();
        eyre::Report::msg(lines.join("\n"))
    })
}

fn serve<B: Boundary>(
    signals: io::Result<Signals>,
    settings: GatewaySettings,
    path: &Path,
) -> eyre::Result<ExitStatus> {
    let mut signals = signals.wrap_err("signals can't be taken")?;
    let mut gateway = Gateway::start::<B>(settings)?;
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
    smol::block_on(await_end(&mut signals, path, &mut gateway));
    Ok(match gateway.shut_down() {
        0 => ExitStatus::Done,
        _ => ExitStatus::Leftover,
    })
}

/// Waits for the signal to stop; reads the settings again on a signal, and when the file changes.
async fn await_end(signals: &mut Signals, path: &Path, gateway: &mut Gateway) {
    let mut changed_at = modified_at(path);
    loop {
        let signal = async { Some(signals.next().await) };
        let look = async {
            smol::Timer::after(SETTINGS_LOOK).await;
            None
        };
        match future::or(signal, look).await {
            Some(Some(Ok(Signal::Hup))) => reload(path, gateway),
            Some(Some(Err(error))) => tracing::warn!(%error, "a signal could not be read"),
            Some(Some(Ok(_)) | None) => return,
            None if modified_at(path) != changed_at => {
                changed_at = modified_at(path);
                reload(path, gateway);
            }
            None => {}
        }
    }
}

/// Returns when a file was changed; none of one that can't be read, which the next reload reports.
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
