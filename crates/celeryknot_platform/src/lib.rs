//! A client that reads and watches the platform's configuration service and instance list.

pub mod client;
pub mod meter;
pub mod wire;

pub use client::{PlatformClient, PlatformError};
pub use meter::{ByteMeter, MeteredStream};
pub use wire::{
    DaemonInstance, EndpointInstance, Fencing, Instance, InstanceList, InstanceState, Value,
    ValueList,
};
