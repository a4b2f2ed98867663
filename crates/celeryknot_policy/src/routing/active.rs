//! The active version of the configuration: the highest one received from any source.

use std::sync::Arc;

use super::{Configuration, RoutingTable};

/// Holds the active configuration; its version never decreases within a process.
///
/// # Examples
///
/// ```
/// use celeryknot_policy::routing::{ActiveConfiguration, Configuration};
///
/// let mut active = ActiveConfiguration::default();
/// let version = |version| Configuration { version, ..Configuration::default() };
/// assert!(active.offer(version(9)));
/// assert!(!active.offer(version(7)), "an older version from a stale source");
/// assert_eq!(active.table().map(|table| table.version()), Some(9));
/// ```
#[derive(Debug, Default)]
pub struct ActiveConfiguration {
    table: Option<Arc<RoutingTable>>,
}

impl ActiveConfiguration {
    /// Activates a configuration if its version is higher; returns whether it did.
    pub fn offer(&mut self, configuration: Configuration) -> bool {
        if self.version() >= Some(configuration.version) {
            return false;
        }
        let last_limits = self.table.as_ref().map(|table| *table.limits());
        let limits = configuration.limits.or(last_limits);
        let configuration = Configuration {
            limits,
            ..configuration
        };
        self.table = Some(Arc::new(RoutingTable::new(configuration)));
        true
    }

    /// Returns the active version, if any.
    pub fn version(&self) -> Option<u64> {
        self.table.as_ref().map(|table| table.version())
    }

    /// Returns the active configuration, if any.
    pub fn table(&self) -> Option<&Arc<RoutingTable>> {
        self.table.as_ref()
    }
}
