//! Stand-ins for tests and trials: platform, engine, plain service, fault proxy and load.
