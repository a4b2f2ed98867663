//! The control thread: owns the state of the fleet and publishes snapshots for traffic threads.

mod active_settings;
mod actor;
mod convert;
mod orders;
mod platform;
mod publish;
mod status;
mod validate;

use std::net::TcpListener;
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;

use arc_swap::ArcSwap;
use async_channel::{Receiver, Sender};
use celeryknot_core::Incarnation;
use celeryknot_operators::ControlStatus;
use celeryknot_settings::DaemonSettings;
use eyre::WrapErr;

use crate::crash_guard::CrashGuard;
use crate::event::TrafficEvent;
use crate::snapshot::Snapshot;

pub use validate::validate_value;

/// A command from another thread to the control thread.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Command {
    /// Announce to the fleet that this daemon is shutting down.
    StartDraining,
    /// Stop the thread.
    Stop,
}

/// Channels that are notified of each new snapshot.
#[derive(Debug, Default)]
struct Subscribers(Mutex<Vec<Sender<()>>>);

impl Subscribers {
    fn add(&self) -> Receiver<()> {
        let (sender, receiver) = async_channel::bounded(1);
        let mut senders = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        senders.push(sender);
        receiver
    }

    /// Notifies all subscribers; a subscriber with a pending message gets no second one.
    fn notify(&self) {
        let mut senders = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        senders.retain(|sender| {
            let is_closed = matches!(
                sender.try_send(()),
                Err(async_channel::TrySendError::Closed(()))
            );
            !is_closed
        });
    }
}

/// A running control thread and the state that it publishes.
#[derive(Debug)]
pub struct ControlHandle {
    /// The fleet and the active settings.
    pub snapshot: Arc<ArcSwap<Snapshot>>,
    /// The status for operators.
    pub status: Arc<ArcSwap<ControlStatus>>,
    /// The parts of prompts that are banned.
    pub crash_guard: Arc<CrashGuard>,
    subscribers: Arc<Subscribers>,
    commands: Sender<Command>,
    thread: Option<JoinHandle<()>>,
}

impl ControlHandle {
    /// Returns a channel that is notified of new snapshots; notifications may be coalesced.
    pub fn subscribe(&self) -> Receiver<()> {
        self.subscribers.add()
    }

    /// Announces to the fleet that this daemon is shutting down.
    pub fn start_draining(&self) {
        // The channel is closed only after the thread has ended.
        let _ = self.commands.try_send(Command::StartDraining);
    }

    /// Stops the control thread and waits for it to end.
    pub fn stop(mut self) {
        self.stop_thread();
    }

    fn stop_thread(&mut self) {
        let _ = self.commands.try_send(Command::Stop);
        if let Some(thread) = self.thread.take()
            && thread.join().is_err()
        {
            tracing::error!("the control thread panicked");
        }
    }
}

impl Drop for ControlHandle {
    fn drop(&mut self) {
        self.stop_thread();
    }
}

/// Starts the control thread.
pub fn spawn(
    settings: DaemonSettings,
    own_incarnation: Incarnation,
    peers_listener: TcpListener,
    events: Receiver<TrafficEvent>,
) -> eyre::Result<ControlHandle> {
    let (commands, command_queue) = async_channel::unbounded();
    let initial = publish::empty_snapshot(&settings, own_incarnation);
    let snapshot = Arc::new(ArcSwap::from_pointee(initial));
    let status = Arc::new(ArcSwap::from_pointee(ControlStatus::default()));
    let crash_guard = Arc::<CrashGuard>::default();
    let subscribers = Arc::new(Subscribers::default());
    let outputs = actor::Outputs {
        snapshot: Arc::clone(&snapshot),
        status: Arc::clone(&status),
        crash_guard: Arc::clone(&crash_guard),
        subscribers: Arc::clone(&subscribers),
    };
    let inputs = actor::Inputs {
        events,
        commands: command_queue,
    };
    let thread = std::thread::Builder::new()
        .name("control".to_owned())
        .spawn(move || {
            let result = actor::run(settings, own_incarnation, peers_listener, inputs, outputs);
            if let Err(error) = result {
                tracing::error!(%error, "the control thread stopped");
            }
        })
        .wrap_err("the control thread could not be started")?;
    Ok(ControlHandle {
        snapshot,
        status,
        crash_guard,
        subscribers,
        commands,
        thread: Some(thread),
    })
}
