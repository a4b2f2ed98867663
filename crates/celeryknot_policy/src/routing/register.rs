//! Which version of the configuration is in force: the highest one seen, from whichever source.

use std::sync::Arc;

use super::{Configuration, RoutingTable};

/// Holds the version in force; it never goes back while the process lives.
///
/// # Examples
///
/// ```
/// use celeryknot_policy::routing::{Configuration, ConfigurationRegister};
///
/// let mut register = ConfigurationRegister::default();
/// let version = |version| Configuration { version, ..Configuration::default() };
/// assert!(register.offer(version(9)));
/// assert!(!register.offer(version(7)), "an older one from a stale source");
/// assert_eq!(register.table().map(|table| table.version()), Some(9));
/// ```
#[derive(Debug, Default)]
pub struct ConfigurationRegister {
    table: Option<Arc<RoutingTable>>,
}

impl ConfigurationRegister {
    /// Takes a version over if it is higher than the one in force; tells whether it was.
    pub fn offer(&mut self, configuration: Configuration) -> bool {
        if self.version() >= Some(configuration.version) {
            return false;
        }
        self.table = Some(Arc::new(RoutingTable::new(configuration)));
        true
    }

    /// Returns the version in force, if any is known.
    pub fn version(&self) -> Option<u64> {
        self.table.as_ref().map(|table| table.version())
    }

    /// Returns the configuration in force, if any is known.
    pub fn table(&self) -> Option<&Arc<RoutingTable>> {
        self.table.as_ref()
    }
}
