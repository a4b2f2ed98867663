//! What traffic threads get from the control thread and send to it.

use std::sync::Arc;

use arc_swap::ArcSwap;
use async_channel::{Receiver, Sender};
use celeryknot_operators::ControlStatus;

use crate::event::TrafficEvent;
use crate::snapshot::Snapshot;

/// Events that may wait for the control thread.
const EVENTS_MAX: usize = 4096;

/// The fleet as the control thread publishes it.
#[derive(Debug, Clone)]
pub struct FleetFeed {
    /// The last published snapshot.
    pub snapshot: Arc<ArcSwap<Snapshot>>,
    /// What operators are shown of the control thread.
    pub status: Arc<ArcSwap<ControlStatus>>,
}

impl FleetFeed {
    /// Builds a feed of one snapshot; who holds the returned feed may publish others.
    pub fn fixed(snapshot: Snapshot) -> Self {
        Self {
            snapshot: Arc::new(ArcSwap::from_pointee(snapshot)),
            status: Arc::new(ArcSwap::from_pointee(ControlStatus::default())),
        }
    }
}

/// Builds the channel by which traffic threads reach the control thread.
pub fn event_channel() -> (Sender<TrafficEvent>, Receiver<TrafficEvent>) {
    async_channel::bounded(EVENTS_MAX)
}
