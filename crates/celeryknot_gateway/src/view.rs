//! The traffic thread's immutable view of the platform, published by the control thread.

use std::collections::HashMap;
use std::sync::Arc;

use celeryknot_core::{DurationMs, MemberName, ServiceName};
use celeryknot_policy::direct::{ListedEndpoint, ListedVersions};
use celeryknot_policy::routing::RoutingTable;

use crate::members::Member;

/// Age of the copy of the store from which on changes of versions may have been missed.
pub(crate) const COPY_GAP_MIN: DurationMs = DurationMs(3_000);

/// A snapshot of the platform.
#[derive(Debug, Clone, Default)]
pub struct View {
    /// Increases with every publication.
    pub version: u64,
    /// The active configuration, if any is known.
    pub table: Option<Arc<RoutingTable>>,
    /// The endpoints of each service.
    pub endpoints: HashMap<ServiceName, Vec<ListedEndpoint>>,
    /// The software versions of all services.
    pub versions: Arc<ListedVersions>,
    /// The daemons that may be running, including this one.
    pub members: Vec<MemberName>,
    /// The other daemons that may be running.
    pub peers: Arc<[Member]>,
    /// Whether these are likely to be all daemons.
    pub are_members_settled: bool,
}

impl View {
    /// Returns whether requests can be served.
    pub fn is_usable(&self) -> bool {
        self.table.is_some() && !self.endpoints.is_empty()
    }
}
