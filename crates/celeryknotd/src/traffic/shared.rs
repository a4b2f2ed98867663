//! State that all threads of one daemon share.

use std::convert::Infallible;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use async_channel::{Receiver, Sender};
use celeryknot_core::{EndpointName, Incarnation, RequestId, SizeBytes};
use celeryknot_gateway::clock::Clock;
pub(crate) use celeryknot_gateway::count_guard::CountGuard;
use celeryknot_operators::Metrics;
use celeryknot_settings::DaemonSettings;

use super::permit::AdmissionMessage;
use super::ticket_actor::TicketMessage;
use crate::event::TrafficEvent;
use crate::feed::FleetFeed;

/// Channel without messages; closing it is the signal.
pub(crate) type Signal = Receiver<Infallible>;

/// Stages of a shutdown; each is a signal that fires once.
#[derive(Debug, Clone)]
pub(crate) struct ShutdownSignals {
    /// Closes callers' connections after their requests in flight.
    pub(crate) callers: Signal,
    /// Closes peer connections after their requests in flight.
    pub(crate) peers: Signal,
    /// Stops everything immediately.
    pub(crate) kill: Signal,
}

/// State that all threads of one daemon share; read-only except for counters and flags.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) settings: DaemonSettings,
    pub(crate) incarnation: Incarnation,
    pub(crate) clock: Clock,
    pub(crate) feed: FleetFeed,
    pub(crate) events: Sender<TrafficEvent>,
    pub(crate) metrics: Metrics,
    pub(crate) admission_senders: Vec<Sender<AdmissionMessage>>,
    pub(crate) ticket_sender: Sender<TicketMessage>,
    pub(crate) shutdown: ShutdownSignals,
    /// Set from the start of a shutdown.
    pub(crate) is_draining: AtomicBool,
    pub(crate) in_flight: Arc<AtomicU64>,
    pub(crate) connections: Arc<AtomicU64>,
    pub(crate) peer_connections: Arc<AtomicU64>,
    /// Bytes of request bodies in memory.
    pub(crate) body_memory_bytes: Arc<AtomicU64>,
}

impl Shared {
    pub(crate) fn is_draining(&self) -> bool {
        self.is_draining.load(Ordering::Acquire)
    }

    /// Returns the channel to the thread that admits requests to an endpoint.
    pub(crate) fn admission_channel(&self, endpoint: &EndpointName) -> &Sender<AdmissionMessage> {
        let score = celeryknot_core::id::rendezvous_score(0, endpoint.as_str());
        let index = score % self.admission_senders.len() as u64;
        &self.admission_senders[index as usize]
    }

    pub(crate) fn is_admitted_on(&self, thread: usize, endpoint: &EndpointName) -> bool {
        let score = celeryknot_core::id::rendezvous_score(0, endpoint.as_str());
        score % self.admission_senders.len() as u64 == thread as u64
    }
}

/// Limits the bytes of request bodies in memory.
const BODY_MEMORY_MAX: SizeBytes = SizeBytes(128 << 20);

/// Memory reservation for one request body; released on drop.
#[derive(Debug)]
pub(crate) struct BodyReservation {
    used: Arc<AtomicU64>,
    size_bytes: u64,
}

impl BodyReservation {
    /// Reserves memory for a body of this size, if there is enough.
    pub(crate) fn try_reserve(used: &Arc<AtomicU64>, size: SizeBytes) -> Option<Self> {
        let used = Arc::clone(used);
        let used_bytes = used.fetch_add(size.0, Ordering::AcqRel) + size.0;
        let size_bytes = size.0;
        let reservation = Self { used, size_bytes };
        (used_bytes <= BODY_MEMORY_MAX.0).then_some(reservation)
    }

    /// Releases the memory that the body did not need.
    pub(crate) fn shrink_to(&mut self, size: SizeBytes) {
        let rest_bytes = self.size_bytes.saturating_sub(size.0);
        self.used.fetch_sub(rest_bytes, Ordering::AcqRel);
        self.size_bytes -= rest_bytes;
    }
}

impl Drop for BodyReservation {
    fn drop(&mut self) {
        self.used.fetch_sub(self.size_bytes, Ordering::AcqRel);
    }
}

/// Generates a random request id.
pub(crate) fn random_request_id() -> RequestId {
    RequestId(rand::random())
}

/// Waits until the signal fires.
pub(crate) async fn wait_for_signal(signal: &Signal) {
    while signal.recv().await.is_ok() {}
}
