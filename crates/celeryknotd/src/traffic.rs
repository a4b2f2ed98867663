//! The traffic threads, which carry requests from callers to endpoints and responses back.

pub(crate) mod admission;
pub(crate) mod admitted;
pub(crate) mod attempt_log;
pub(crate) mod body;
pub(crate) mod body_read;
pub(crate) mod chat;
pub(crate) mod context;
pub(crate) mod dispatch;
pub(crate) mod entry;
pub(crate) mod failure;
pub(crate) mod hop;
pub(crate) mod load_poll;
pub(crate) mod owner;
pub(crate) mod peer_connection;
pub(crate) mod peer_server;
pub(crate) mod permit;
pub(crate) mod requests;
pub(crate) mod service_states;
pub(crate) mod shared;
pub(crate) mod stream;
pub(crate) mod thread;
pub(crate) mod ticket_actor;
pub(crate) mod ticketed;
