//! The channels between the control thread and traffic threads.

use std::sync::Arc;

use arc_swap::ArcSwap;
use async_channel::{Receiver, Sender};
use celeryknot_operators::ControlStatus;

use crate::crash_guard::CrashGuard;
use crate::event::TrafficEvent;
use crate::snapshot::Snapshot;

/// Maximum number of events queued for the control thread.
const EVENT_QUEUE_LEN_MAX: usize = 4096;

/// The state that the control thread publishes.
#[derive(Debug, Clone)]
pub struct FleetFeed {
    /// The latest snapshot of the fleet.
    pub snapshot: Arc<ArcSwap<Snapshot>>,
    /// The status of the control thread, for operators.
    pub status: Arc<ArcSwap<ControlStatus>>,
    /// The parts of prompts that are banned.
    pub crash_guard: Arc<CrashGuard>,
}

impl FleetFeed {
    /// Returns a feed with an initial snapshot; any clone of it can publish further ones.
    pub fn new(snapshot: Snapshot) -> Self {
        Self {
            snapshot: Arc::new(ArcSwap::from_pointee(snapshot)),
            status: Arc::new(ArcSwap::from_pointee(ControlStatus::default())),
            crash_guard: Arc::default(),
        }
    }
}

/// Creates the channel for events from traffic threads to the control thread.
pub fn event_channel() -> (Sender<TrafficEvent>, Receiver<TrafficEvent>) {
    async_channel::bounded(EVENT_QUEUE_LEN_MAX)
}
