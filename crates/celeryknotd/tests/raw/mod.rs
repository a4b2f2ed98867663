//! A caller and an endpoint on raw sockets, which can send any bytes.

#![allow(dead_code, reason = "each test file uses a part of it")]

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
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

/// The reply of an endpoint to a request.
#[derive(Clone, Copy)]
pub(crate) enum Reply {
    /// Sends this response, with `{id}` replaced by the request id, and closes the connection.
    Bytes(&'static str),
    /// Sends nothing and keeps the connection open.
    Nothing,
}

/// An endpoint that sends the same reply to every request except load polls.
pub(crate) struct ScriptedEndpoint {
    pub(crate) address: SocketAddr,
    request_count: Arc<AtomicU32>,
}

impl ScriptedEndpoint {
    pub(crate) fn start(reply: Reply) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let request_count = Arc::new(AtomicU32::new(0));
        let counter = Arc::clone(&request_count);
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let counter = Arc::clone(&counter);
                std::thread::spawn(move || reply_to(stream, reply, &counter));
            }
        });
        Self {
            address,
            request_count,
        }
    }

    /// Returns the number of requests received, without load polls.
    pub(crate) fn request_count(&self) -> u32 {
        self.request_count.load(Ordering::SeqCst)
    }
}

fn reply_to(mut stream: TcpStream, reply: Reply, request_count: &AtomicU32) {
    let Some(head) = read_request(&mut stream) else {
        return;
    };
    if head.starts_with("GET /v1/load") {
        let body = r#"{"in_flight": 0, "queued": 0, "cold": false, "bound": 64}"#;
        let length = body.len();
        let _ = write!(
            stream,
            "HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{body}"
        );
        return;
    }
    request_count.fetch_add(1, Ordering::SeqCst);
    match reply {
        Reply::Bytes(text) => {
            let id = header(&head, "celeryknot-request-id").unwrap_or_default();
            let _ = stream.write_all(text.replace("{id}", &id).as_bytes());
        }
        Reply::Nothing => {
            let mut rest = [0; 64];
            while matches!(stream.read(&mut rest), Ok(len) if len > 0) {}
        }
    }
}

fn read_request(stream: &mut TcpStream) -> Option<String> {
    let mut bytes = Vec::new();
    let mut byte = [0];
    while !bytes.ends_with(b"\r\n\r\n") {
        if stream.read(&mut byte).ok()? == 0 {
            return None;
        }
        bytes.push(byte[0]);
    }
    let head = String::from_utf8_lossy(&bytes).into_owned();
    let length = header(&head, "content-length").and_then(|text| text.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    stream.read_exact(&mut body).ok()?;
    Some(head)
}

fn header(head: &str, name: &str) -> Option<String> {
    head.lines().find_map(|line| {
        let (header_name, value) = line.split_once(':')?;
        header_name
            .eq_ignore_ascii_case(name)
            .then(|| value.trim().to_owned())
    })
}
