//! Starts a gateway from its settings file and runs it until a signal ends it.

use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use arc_swap::ArcSwap;
use async_signal::{Signal as SignalKind, Signals};
use celeryknot_core::DurationMs;
use celeryknot_settings::GatewaySettings;
use eyre::WrapErr;
use futures_lite::StreamExt;
use strum::{EnumIter, IntoStaticStr};

use crate::boundary::Boundary;
use crate::control::{ControlSockets, run_control};
use crate::listeners::Listeners;
use crate::logs;
use crate::shared::Shared;
use crate::traffic::run_traffic;
use crate::view::View;

/// Time in which the balancer sees that the daemon is leaving and callers are still served.
const SETTLE: DurationMs = DurationMs(2_500);

/// Time kept of the grace time for the process to end by itself.
const GRACE_MARGIN: DurationMs = DurationMs(300);

/// Time between two looks at what is still in flight.
const DRAIN_POLL: Duration = Duration::from_millis(50);

/// The exit statuses of a gateway.
#[derive(Debug, Clone, Copy, PartialEq, Eq, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
#[repr(u8)]
pub enum ExitStatus {
    /// Shut down by a signal; no request was cut.
    Done = 0,
    /// Shut down by a signal; requests in flight were cut at the end of the grace time.
    Leftover = 1,
    /// The settings file can't be used.
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

fn serve<B: Boundary>(mut settings: GatewaySettings, path: &Path) -> eyre::Result<ExitStatus> {
    let kinds = [SignalKind::Term, SignalKind::Int, SignalKind::Hup];
    let mut signals = Signals::new(kinds).wrap_err("signals can't be taken")?;
    let listeners = Listeners::bind(&mut settings)?;
    let (callers_end, callers_end_signal) = async_channel::bounded(1);
    let (stop, stop_signal) = async_channel::bounded(1);
    let members = vec![settings.name.clone()];
    tracing::info!(
        daemon = %settings.name,
        zone = %settings.zone,
        callers = %settings.callers_address,
        version = env!("CARGO_PKG_VERSION"),
        "started"
    );
    let shared = Arc::new(Shared {
        settings,
        started_at: Instant::now(),
        view: ArcSwap::from_pointee(View {
            members,
            ..View::default()
        }),
        store_heard_at_ms: AtomicU64::new(0),
        is_leaving: AtomicBool::new(false),
        callers_end: callers_end_signal,
        in_flight: Arc::default(),
        connections: Arc::default(),
    });
    let control = {
        let (shared, stop) = (Arc::clone(&shared), stop_signal.clone());
        let sockets = ControlSockets {
            readiness: listeners.readiness,
            peers: listeners.peers,
            operators: listeners.operators,
        };
        spawn("control", move || run_control::<B>(shared, sockets, stop))?
    };
    let traffic = {
        let (shared, callers) = (Arc::clone(&shared), listeners.callers);
        spawn("traffic", move || {
            run_traffic::<B>(shared, callers, stop_signal)
        })?
    };
    smol::block_on(await_end(&mut signals, path));
    let leftover = drain(&shared, || {
        callers_end.close();
    });
    stop.close();
    for thread in [control, traffic] {
        if thread.join().is_err() {
            tracing::error!("a thread of the daemon panicked");
        }
    }
    tracing::info!(daemon = %shared.settings.name, leftover, "stopped");
    Ok(match leftover {
        0 => ExitStatus::Done,
        _ => ExitStatus::Leftover,
    })
}

fn spawn(name: &str, run: impl FnOnce() + Send + 'static) -> eyre::Result<JoinHandle<()>> {
    std::thread::Builder::new()
        .name(name.to_owned())
        .spawn(run)
        .wrap_err("can't start a thread")
}

/// Waits for the signal to stop; a signal to reload checks the settings file.
async fn await_end(signals: &mut Signals, path: &Path) {
    while let Some(signal) = signals.next().await {
        match signal {
            Ok(SignalKind::Hup) => match read_settings(path) {
                Ok(_) => tracing::info!("settings read again; a restart brings them into force"),
                Err(report) => tracing::warn!("the settings file can't be used: {report:#}"),
            },
            Ok(_) => return,
            Err(error) => tracing::warn!(%error, "a signal could not be read"),
        }
    }
}

/// Lets the requests in flight end; returns how many did not within the grace time.
fn drain(shared: &Shared, end_callers: impl FnOnce()) -> u64 {
    tracing::info!(
        in_flight = shared.in_flight.load(Ordering::Acquire),
        "shutting down"
    );
    shared.is_leaving.store(true, Ordering::Release);
    let grace_ms = shared.settings.bounds.shutdown_grace_ms;
    let ends_at = Instant::now() + grace_ms.as_std().saturating_sub(GRACE_MARGIN.as_std());
    std::thread::sleep(SETTLE.min(grace_ms).as_std());
    end_callers();
    let is_open = || shared.connections.load(Ordering::Acquire) > 0;
    while is_open() && Instant::now() < ends_at {
        std::thread::sleep(DRAIN_POLL);
    }
    shared.in_flight.load(Ordering::Acquire)
}
