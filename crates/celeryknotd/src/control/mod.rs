//! The control thread: it owns the fleet's state and publishes what traffic threads need.

mod actor;
mod convert;
mod orders;
mod platform;
mod publish;
mod sources;
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

use crate::event::TrafficEvent;
use crate::snapshot::Snapshot;

pub use validate::validate_value;

/// What other threads ask of the control thread.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Command {
    /// Announce that this daemon is shutting down.
    StartLeaving,
    /// End the thread.
    Stop,
}

/// Those who want to know of each new snapshot.
#[derive(Debug, Default)]
struct Subscribers(Mutex<Vec<Sender<()>>>);

impl Subscribers {
    fn add(&self) -> Receiver<()> {
        let (sender, receiver) = async_channel::bounded(1);
        let mut senders = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        senders.push(sender);
        receiver
    }

    /// Wakes all subscribers; one that has not looked yet needs no second message.
    fn notify(&self) {
        let mut senders = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        senders.retain(|sender| {
            let is_gone = matches!(
                sender.try_send(()),
                Err(async_channel::TrySendError::Closed(()))
            );
            !is_gone
        });
    }
}

/// A running control thread and what it publishes.
#[derive(Debug)]
pub struct ControlHandle {
    /// The fleet and the settings in force.
    pub snapshot: Arc<ArcSwap<Snapshot>>,
    /// What operators see.
    pub status: Arc<ArcSwap<ControlStatus>>,
    subscribers: Arc<Subscribers>,
    commands: Sender<Command>,
    thread: Option<JoinHandle<()>>,
}

impl ControlHandle {
    /// Returns a channel that gets a message after each new snapshot; several may be merged.
    pub fn subscribe(&self) -> Receiver<()> {
        self.subscribers.add()
    }

    /// Announces to the fleet that this daemon is shutting down.
    pub fn start_leaving(&self) {
        // The channel is closed only when the thread has ended already.
        let _ = self.commands.try_send(Command::StartLeaving);
    }

    /// Ends the control thread and waits for it.
    pub fn stop(mut self) {
        self.end();
    }

    fn end(&mut self) {
        let _ = self.commands.try_send(Command::Stop);
        if let Some(thread) = self.thread.take()
            && thread.join().is_err()
        {
            tracing::error!("the control thread failed");
        }
    }
}

impl Drop for ControlHandle {
    fn drop(&mut self) {
        self.end();
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
    let first = publish::empty_snapshot(&settings, own_incarnation);
    let snapshot = Arc::new(ArcSwap::from_pointee(first));
    let status = Arc::new(ArcSwap::from_pointee(ControlStatus::default()));
    let subscribers = Arc::new(Subscribers::default());
    let outlets = actor::Outlets {
        snapshot: Arc::clone(&snapshot),
        status: Arc::clone(&status),
        subscribers: Arc::clone(&subscribers),
    };
    let inlets = actor::Inlets {
        events,
        commands: command_queue,
    };
    let thread = std::thread::Builder::new()
        .name("control".to_owned())
        .spawn(move || {
            let ended = actor::run(settings, own_incarnation, peers_listener, inlets, outlets);
            if let Err(error) = ended {
                tracing::error!(%error, "the control thread ended");
            }
        })
        .wrap_err("the control thread could not be started")?;
    Ok(ControlHandle {
        snapshot,
        status,
        subscribers,
        commands,
        thread: Some(thread),
    })
}
