//! Publishes what the store says as one view.

use std::cell::RefCell;
use std::sync::Arc;

use celeryknot_core::MonotonicMs;

use crate::boundary::{StoreItem, StoreRevision};
use crate::shared::Shared;
use crate::store_state::{StateChange, StoreState};
use crate::view::View;

/// Owns the state that the view is made of.
#[derive(Debug)]
pub(crate) struct Publisher {
    shared: Arc<Shared>,
    state: RefCell<StoreState>,
}

impl Publisher {
    pub(crate) fn new(shared: Arc<Shared>) -> Self {
        Self {
            shared,
            state: RefCell::default(),
        }
    }

    pub(crate) fn now(&self) -> MonotonicMs {
        self.shared.now()
    }

    /// Takes over a whole listing of the store.
    pub(crate) fn apply_listing(&self, at: StoreRevision, items: Vec<StoreItem>) {
        let changes = self.state.borrow_mut().apply_listing(self.now(), items);
        self.publish(at, &changes);
    }

    /// Takes over changes of a watch.
    pub(crate) fn apply_changes(&self, at: StoreRevision, items: Vec<StoreItem>) {
        let now = self.now();
        let changes: Vec<StateChange> = {
            let mut state = self.state.borrow_mut();
            items
                .into_iter()
                .filter_map(|item| state.apply(now, item))
                .collect()
        };
        self.publish(at, &changes);
    }

    pub(crate) fn note_outage(&self) {
        self.state.borrow_mut().note_outage(self.now());
    }

    /// Does what has become due.
    pub(crate) fn advance(&self) {
        let changes = self.state.borrow_mut().advance(self.now());
        self.publish(StoreRevision::default(), &changes);
    }

    fn publish(&self, at: StoreRevision, changes: &[StateChange]) {
        if changes.is_empty() {
            return;
        }
        for change in changes {
            log_change(at, change);
        }
        let state = self.state.borrow();
        let before = self.shared.view.load();
        self.shared.view.store(Arc::new(View {
            version: before.version + 1,
            table: state.table().cloned(),
            endpoints: state.endpoints(),
            members: before.members.clone(),
        }));
    }
}

fn log_change(at: StoreRevision, change: &StateChange) {
    let revision = at.0;
    match change {
        StateChange::Configuration { version } => {
            tracing::info!(revision, version, "configuration in force");
        }
        StateChange::Endpoint(record) => tracing::info!(
            revision,
            endpoint = %record.name,
            service = %record.service,
            address = %record.address,
            zone = %record.zone,
            is_leaving = record.is_leaving,
            cold_ms = record.cold_ms.0,
            "endpoint listed"
        ),
        StateChange::EndpointGone(record) => {
            tracing::info!(revision, endpoint = %record.name, "endpoint no longer listed");
        }
        StateChange::ZoneOut(zone) => tracing::info!(revision, %zone, "zone taken out"),
        StateChange::ZoneBack(zone) => tracing::info!(revision, %zone, "zone taken back"),
        StateChange::Unusable { key, reason } => {
            tracing::warn!(revision, key, reason, "an item of the store can't be used");
        }
    }
}
