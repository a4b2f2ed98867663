//! What the traffic thread knows of the platform: immutable, published whole by the control thread.

use std::collections::HashMap;
use std::sync::Arc;

use celeryknot_core::{MemberName, ServiceName};
use celeryknot_policy::direct::ListedEndpoint;
use celeryknot_policy::routing::RoutingTable;

/// The platform at one moment.
#[derive(Debug, Clone, Default)]
pub struct View {
    /// Rises with every publication.
    pub version: u64,
    /// The configuration in force, if any is known.
    pub table: Option<Arc<RoutingTable>>,
    /// The endpoints of each service.
    pub endpoints: HashMap<ServiceName, Vec<ListedEndpoint>>,
    /// The daemons that may be running, this one included.
    pub members: Vec<MemberName>,
}

impl View {
    /// Tells whether requests can be served.
    pub fn is_usable(&self) -> bool {
        self.table.is_some() && !self.endpoints.is_empty()
    }
}
