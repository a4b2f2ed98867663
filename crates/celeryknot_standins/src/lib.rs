//! Stand-ins for tests and trials: platform, engine, plain service, fault proxy, caller and load.
//!
//! Each runs inside the calling process, listens on its own address and serves the interfaces in
//! `docs/INTERFACES.md`. They are deliberately small and do not simulate a cluster.

#[macro_use]
mod options;

pub mod caller;
pub mod client;
pub mod counters;
pub mod engine;
pub mod executor;
pub mod fault_proxy;
pub mod load;
pub mod odd_responses;
pub mod platform;
pub mod raw_caller;
pub mod raw_endpoint;
mod server;
pub mod service;
pub mod text;
pub mod wire;

pub use caller::{Caller, CallerOptions, Outcome};
pub use engine::{Engine, EngineOptions};
pub use fault_proxy::{Fault, FaultPlan, FaultProxy};
pub use load::{LoadOptions, LoadPlan, LoadReport};

pub use counters::EndpointCounters;
pub use platform::{Platform, PlatformOptions};
pub use service::{Service, ServiceOptions};

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

/// The loopback address with port 0: the system picks a free port.
pub const LOOPBACK: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
