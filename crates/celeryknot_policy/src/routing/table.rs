//! Lookup of the route and the customer of a request.

use std::collections::HashMap;
use std::sync::Arc;

use celeryknot_core::{ErrorKind, ServiceName};

use super::{Configuration, Customer, RequestLimits, Route, Service};

/// One version of the configuration, indexed for lookups by request.
///
/// A lookup costs one hash per path segment, independent of the number of routes.
///
/// # Examples
///
/// ```
/// use celeryknot_core::ErrorKind;
/// use celeryknot_policy::routing::{Configuration, RoutingTable};
///
/// let table = RoutingTable::new(Configuration { version: 7, ..Configuration::default() });
/// assert_eq!(table.version(), 7);
/// assert_eq!(table.find_route("desk.example", "/file/1"), Err(ErrorKind::UnknownRoute));
/// ```
#[derive(Debug, Default)]
pub struct RoutingTable {
    version: u64,
    hosts: HashMap<Arc<str>, Prefixes>,
    services: HashMap<ServiceName, Arc<Service>>,
    /// The customers by API key; `None` for a customer that can't be used.
    customers: HashMap<String, Option<Arc<Customer>>>,
    has_customers: bool,
    limits: RequestLimits,
}

/// The routes of a host by path prefix; `None` for a route that can't be used.
type Prefixes = HashMap<Arc<str>, Option<Arc<Route>>>;

impl RoutingTable {
    /// Indexes a configuration.
    pub fn new(configuration: Configuration) -> Self {
        let mut table = Self {
            version: configuration.version,
            has_customers: !configuration.customers.is_empty()
                || configuration.unusable.customers > 0,
            limits: configuration.limits.unwrap_or_default(),
            ..Self::default()
        };
        for pattern in configuration.unusable.routes {
            let prefixes = table.hosts.entry(pattern.host).or_default();
            prefixes.insert(pattern.path_prefix, None);
        }
        for key in configuration.unusable.keys {
            table.customers.insert(key, None);
        }
        for route in configuration.routes {
            let prefixes = table.hosts.entry(Arc::clone(&route.host)).or_default();
            prefixes.insert(Arc::clone(&route.path_prefix), Some(Arc::new(route)));
        }
        for service in configuration.services {
            let name = service.name.clone();
            table.services.insert(name, Arc::new(service));
        }
        for customer in configuration.customers {
            let customer = Arc::new(customer);
            for key in &customer.keys {
                let customer = Some(Arc::clone(&customer));
                table.customers.insert(key.clone(), customer);
            }
        }
        table
    }

    /// Returns the configuration's version.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the limits on callers.
    pub fn limits(&self) -> &RequestLimits {
        &self.limits
    }

    /// Finds the route with the longest prefix of the path.
    ///
    /// # Errors
    ///
    /// Returns `UnknownRoute` if no route of the host has a matching prefix, and `EntryUnusable` if
    /// that route can't be used: one with a shorter prefix isn't meant.
    pub fn find_route(&self, host: &str, path: &str) -> Result<&Arc<Route>, ErrorKind> {
        let prefixes = self
            .prefixes_for_host(host)
            .ok_or(ErrorKind::UnknownRoute)?;
        path.rmatch_indices('/')
            .find_map(|(index, _)| prefixes.get(&path[..=index]))
            .ok_or(ErrorKind::UnknownRoute)?
            .as_ref()
            .ok_or(ErrorKind::EntryUnusable)
    }

    fn prefixes_for_host(&self, host: &str) -> Option<&Prefixes> {
        let name = host.split(':').next().unwrap_or_default();
        if let Some(prefixes) = self.hosts.get(name) {
            return Some(prefixes);
        }
        self.hosts.get(name.to_ascii_lowercase().as_str())
    }

    /// Finds the customer that an API key belongs to; may be `None` on an anonymous route.
    ///
    /// # Errors
    ///
    /// Returns `UnknownKey` if the route needs a key and the key belongs to no customer, and
    /// `EntryUnusable` if it belongs to one that can't be used.
    pub fn find_customer(
        &self,
        route: &Route,
        key: Option<&str>,
    ) -> Result<Option<&Arc<Customer>>, ErrorKind> {
        let customer = match key.and_then(|key| self.customers.get(key)) {
            Some(None) => return Err(ErrorKind::EntryUnusable),
            Some(Some(customer)) => Some(customer),
            None => None,
        };
        if customer.is_some() || route.is_anonymous || !self.has_customers {
            return Ok(customer);
        }
        Err(ErrorKind::UnknownKey)
    }

    /// Returns the service with the given name.
    pub fn service(&self, name: &ServiceName) -> Option<&Arc<Service>> {
        self.services.get(name)
    }

    /// Returns all services.
    pub fn services(&self) -> impl Iterator<Item = &Arc<Service>> {
        self.services.values()
    }
}

impl Route {
    /// Picks a service at random by weight; the same `draw` picks the same service.
    ///
    /// `draw` is uniformly distributed over all values.
    ///
    /// # Errors
    ///
    /// Returns `NoEndpoint` if all weights are zero.
    pub fn pick_service(&self, draw: u64) -> Result<&ServiceName, ErrorKind> {
        let total: u64 = self.services.iter().map(|it| u64::from(it.weight)).sum();
        let mut remaining = draw.checked_rem(total).ok_or(ErrorKind::NoEndpoint)?;
        for candidate in &self.services {
            let weight = u64::from(candidate.weight);
            if remaining < weight {
                return Ok(&candidate.service);
            }
            remaining -= weight;
        }
        Err(ErrorKind::NoEndpoint)
    }
}
