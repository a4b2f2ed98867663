//! Fleet state machines without I/O: membership, active settings, duties, gossip and orders.
//!
//! [`Fleet`] takes events and the current time and returns actions. It reads no clock and opens
//! no socket, so daemons, tests and benchmarks run the same code.

pub mod byte_budget;
pub mod duties;
pub mod fleet;
pub mod instance_list;
pub mod membership;
pub mod message;
pub mod neighbours;
pub mod orders;
pub mod readiness;
pub mod settings_store;
pub mod simulation;
pub mod summaries;
pub mod timing;
pub mod view;

pub use byte_budget::{ByteBudget, ControlKind, KindCount};
pub use fleet::{Action, Fleet, FleetConfig};
pub use instance_list::{ListedDaemon, ListedEndpoint, ListedInstance};
pub use membership::{MemberInfo, MemberRecord, Membership};
pub use message::Message;
pub use orders::{EngineReport, FencingNumber, Order, Orders, OrdersConfig, Rollout, RolloutState};
pub use settings_store::{Rejection, SettingsStore, Validator};
pub use timing::FleetTiming;
pub use view::{ActiveSetting, EndpointView, FencingMode, FleetView, MemberState, MemberView};
