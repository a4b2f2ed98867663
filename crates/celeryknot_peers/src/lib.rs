//! The protocol between daemons: messages, transport and authentication.
