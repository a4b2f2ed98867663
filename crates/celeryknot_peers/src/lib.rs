//! The protocol between daemons: messages, transport and authentication.
//!
//! Each daemon opens one stream to every peer that it sends messages to, over HTTP/2 with the
//! codec and framing of `tonic`, on the single-threaded executor that the caller provides.

mod executor;
mod handshake;
mod inbound;
mod outbound;
pub mod peers;
pub mod relay;
mod service;
pub mod wire;

pub use handshake::VersionRange;
pub use peers::{PeerEvent, Peers, PeersConfig};
