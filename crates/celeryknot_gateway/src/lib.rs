//! A daemon that routes by the platform's configuration and sends requests straight to endpoints.
//!
//! One thread for control: it watches the platform's store and publishes an immutable view. One
//! thread for traffic: it reads the view, places requests and passes answers on. What the
//! platform's names look like on the wire is the business of a [`Boundary`].

pub mod boundary;
mod control;
pub mod counted;
pub mod daemon;
pub mod endpoint_news;
pub mod in_flight;
pub mod listeners;
mod logs;
pub mod members;
pub mod relay_log;
pub mod run;
mod shared;
pub mod store_state;
mod traffic;
pub mod view;

pub use boundary::Boundary;
pub use daemon::Gateway;
pub use run::{ExitStatus, run};
