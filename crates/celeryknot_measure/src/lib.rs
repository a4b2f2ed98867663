//! Measurements of the router against stand-ins, baselines and an oracle.
