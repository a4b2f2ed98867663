//! Runs a gateway from its settings file until a signal ends it.

use std::path::Path;
use std::process::ExitCode;

use async_signal::{Signal, Signals};
use celeryknot_settings::GatewaySettings;
use eyre::WrapErr;
use futures_lite::StreamExt;
use strum::{EnumIter, IntoStaticStr};

use crate::boundary::Boundary;
use crate::daemon::Gateway;
use crate::logs;

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
    let settings = match read_settings(settings_path) {
        Ok(settings) => settings,
        Err(report) => {
            eprintln!("{report:#}");
            return ExitStatus::Usage;
        }
    };
    let _logs = logs::start();
    match serve::<B>(settings, settings_path) {
        Ok(status) => status,
        Err(report) => {
            tracing::error!("{report:#}");
            ExitStatus::Unavailable
        }
    }
}

fn read_settings(path: &Path) -> eyre::Result<GatewaySettings> {
    let name = path.display().to_string();
    let text = std::fs::read_to_string(path).wrap_err_with(|| format!("can't read {name}"))?;
    GatewaySettings::parse(&text).map_err(|findings| {
        let lines: Vec<String> = findings
            .into_iter()
            .map(|finding| finding.in_source(name.as_str()).to_string())
            .collect();
        eyre::Report::msg(lines.join("\n"))
    })
}

fn serve<B: Boundary>(settings: GatewaySettings, path: &Path) -> eyre::Result<ExitStatus> {
    let kinds = [Signal::Term, Signal::Int, Signal::Hup];
    let mut signals = Signals::new(kinds).wrap_err("signals can't be taken")?;
    let gateway = Gateway::start::<B>(settings)?;
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
    smol::block_on(await_end(&mut signals, path));
    Ok(match gateway.shut_down() {
        0 => ExitStatus::Done,
        _ => ExitStatus::Leftover,
    })
}

/// Waits for the signal to stop; a signal to reload checks the settings file.
async fn await_end(signals: &mut Signals, path: &Path) {
    while let Some(signal) = signals.next().await {
        match signal {
            Ok(Signal::Hup) => match read_settings(path) {
                Ok(_) => tracing::info!("settings read again; a restart brings them into force"),
                Err(report) => tracing::warn!("the settings file can't be used: {report:#}"),
            },
            Ok(_) => return,
            Err(error) => tracing::warn!(%error, "a signal could not be read"),
        }
    }
}
