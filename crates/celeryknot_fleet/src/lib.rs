//! Fleet state machines without I/O: members, settings in force, duties, gossip, orders.
