//! Fleet state machines without I/O: members, settings in force, duties, gossip, orders.

pub mod view;

pub use view::{EndpointView, FencingMode, FleetView, MemberState, MemberView, SettingInForce};
