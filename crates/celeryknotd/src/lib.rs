//! The daemon: one control thread, traffic threads, and the wiring between the peers' packages.
