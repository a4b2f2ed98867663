//! The endpoints' side: connections, attempts, load reports, cache events and orders.
