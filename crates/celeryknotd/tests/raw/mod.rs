//! Plain sockets: a caller that writes any bytes, and an endpoint that answers any bytes.

#![allow(dead_code, reason = "each test file uses a part of it")]

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

/// Longest wait of a test for a byte.
const READ_TIMEOUT: Duration = Duration::from_secs(20);

/// Writes bytes and reads until the other side closes.
pub(crate) fn exchange(address: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(READ_TIMEOUT)).unwrap();
    // The daemon may answer and close before it has read all of it.
    let _ = stream.write_all(bytes);
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer);
    String::from_utf8_lossy(&answer).into_owned()
}

/// Returns the status of an answer.
pub(crate) fn status_of(answer: &str) -> u16 {
    answer
        .split(' ')
        .nth(1)
        .and_then(|status| status.parse().ok())
        .unwrap_or_default()
}

/// What an endpoint does with a request.
#[derive(Clone, Copy)]
pub(crate) enum Reply {
    /// Writes the head and the body, with the request's id in place of `{id}`, and closes.
    Bytes(&'static str),
    /// Never answers.
    Silence,
}

/// An endpoint that answers every request but load polls in the same way.
pub(crate) struct OddEndpoint {
    pub(crate) address: SocketAddr,
    taken: Arc<AtomicU32>,
}

impl OddEndpoint {
    pub(crate) fn start(reply: Reply) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let taken = Arc::new(AtomicU32::new(0));
        let counter = Arc::clone(&taken);
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let counter = Arc::clone(&counter);
                std::thread::spawn(move || answer(stream, reply, &counter));
            }
        });
        Self { address, taken }
    }

    /// Returns how many requests it has read.
    pub(crate) fn taken(&self) -> u32 {
        self.taken.load(Ordering::SeqCst)
    }
}

fn answer(mut stream: TcpStream, reply: Reply, taken: &AtomicU32) {
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
    taken.fetch_add(1, Ordering::SeqCst);
    match reply {
        Reply::Bytes(text) => {
            let id = field(&head, "celeryknot-request-id").unwrap_or_default();
            let _ = stream.write_all(text.replace("{id}", &id).as_bytes());
        }
        Reply::Silence => {
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
    let length = field(&head, "content-length").and_then(|text| text.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    stream.read_exact(&mut body).ok()?;
    Some(head)
}

fn field(head: &str, name: &str) -> Option<String> {
    head.lines().find_map(|line| {
        let (field, value) = line.split_once(':')?;
        field
            .eq_ignore_ascii_case(name)
            .then(|| value.trim().to_owned())
    })
}
