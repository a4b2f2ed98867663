//! Routing decisions without I/O: placement, load bounds, queues, retries, tickets.
