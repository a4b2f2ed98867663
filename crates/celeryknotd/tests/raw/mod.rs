//! A caller on a raw socket, which can send any bytes.

#![allow(dead_code, reason = "each test file uses a part of it")]

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Maximum time to wait for the next byte.
const READ_TIMEOUT: Duration = Duration::from_secs(20);

/// Sends bytes and reads until the peer closes the connection.
pub(crate) fn exchange(address: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(READ_TIMEOUT)).unwrap();
    // The daemon may respond and close the connection before it has read all bytes.
    let _ = stream.write_all(bytes);
    let mut response = Vec::new();
    let _ = stream.read_to_end(&mut response);
    String::from_utf8_lossy(&response).into_owned()
}

/// Returns the status of a response.
pub(crate) fn status_of(response: &str) -> u16 {
    response
        .split(' ')
        .nth(1)
        .and_then(|status| status.parse().ok())
        .unwrap_or_default()
}
