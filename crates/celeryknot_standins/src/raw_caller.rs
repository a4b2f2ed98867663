//! A caller of HTTP/1.0, 1.1 or 2 that reports how a response ended.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use bytes::Bytes;
use celeryknot_core::header::{BODY_END, BODY_END_UNVERIFIED};
use http::{Method, Request, Response, Version};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http2;
use smol_hyper::rt::FuturesIo;

use crate::executor::spawn;

/// Maximum time to wait for the next byte.
const READ_TIMEOUT: Duration = Duration::from_secs(20);

/// How a response ended, as its caller can know it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReceivedEnd {
    /// Its framing marks the end of the body.
    Complete,
    /// The end of the connection, or an unverified end of an HTTP/2 stream, ends the body.
    Unverified,
    /// It was broken off before the end that its framing announces, or by a reset.
    Cut,
}

/// What a caller makes of a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Received {
    /// So many bytes of the body, framed as complete.
    Complete(usize),
    /// So many bytes of the body, of which the caller can't know that they are complete.
    Unverified(usize),
    /// A response that is visibly broken off.
    Cut,
    /// Another status than 200.
    Refused(u16),
}

impl From<&RawResponse> for Received {
    fn from(response: &RawResponse) -> Self {
        match (response.status, response.end) {
            (200, ReceivedEnd::Complete) => Self::Complete(response.body.len()),
            (200, ReceivedEnd::Unverified) => Self::Unverified(response.body.len()),
            (0 | 200, ReceivedEnd::Cut) => Self::Cut,
            (status, _) => Self::Refused(status),
        }
    }
}

/// A response as it was received.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RawResponse {
    /// The status; 0 if no head was received.
    pub status: u16,
    /// The header fields, with lower-case names.
    pub headers: Vec<(String, String)>,
    /// The received part of the body.
    pub body: Vec<u8>,
    /// How it ended.
    pub end: ReceivedEnd,
}

impl RawResponse {
    fn empty() -> Self {
        Self {
            status: 0,
            headers: Vec::new(),
            body: Vec::new(),
            end: ReceivedEnd::Cut,
        }
    }

    /// Returns the value of a header field.
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut fields = self.headers.iter();
        let (_, value) = fields.find(|(field, _)| field == name)?;
        Some(value)
    }

    /// Returns the body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Sends a request on a new connection of the request's HTTP version and reads the response.
///
/// # Errors
///
/// The connection can't be opened.
pub fn send(address: SocketAddr, request: Request<Bytes>) -> eyre::Result<RawResponse> {
    if request.version() == Version::HTTP_2 {
        return smol::block_on(send_http2(address, request));
    }
    let mut stream = TcpStream::connect(address)?;
    stream.set_read_timeout(Some(READ_TIMEOUT))?;
    stream.write_all(&encode_http1(&request)?)?;
    let has_no_body = request.method() == Method::HEAD;
    Ok(read_http1(&mut BufReader::new(stream), has_no_body))
}

fn encode_http1(request: &Request<Bytes>) -> eyre::Result<Vec<u8>> {
    let mut text = format!(
        "{} {} {:?}\r\n",
        request.method(),
        request.uri(),
        request.version()
    );
    for (name, value) in request.headers() {
        text.push_str(&format!("{name}: {}\r\n", value.to_str()?));
    }
    if !request.body().is_empty() {
        text.push_str(&format!("content-length: {}\r\n", request.body().len()));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(request.body());
    Ok(bytes)
}

fn read_http1(reader: &mut BufReader<TcpStream>, has_no_body: bool) -> RawResponse {
    let mut response = RawResponse::empty();
    // Whatever was read before a failure is part of the result.
    if let Ok(end) = try_read_http1(reader, &mut response, has_no_body) {
        response.end = end;
    }
    response
}

fn try_read_http1(
    reader: &mut BufReader<TcpStream>,
    response: &mut RawResponse,
    has_no_body: bool,
) -> io::Result<ReceivedEnd> {
    let start = read_line(reader)?;
    let status = start.split(' ').nth(1).and_then(|it| it.parse().ok());
    response.status = status.ok_or(io::ErrorKind::InvalidData)?;
    loop {
        let line = read_line(reader)?;
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':').ok_or(io::ErrorKind::InvalidData)?;
        let field = (name.to_ascii_lowercase(), value.trim().to_owned());
        response.headers.push(field);
    }
    if has_no_body || matches!(response.status, 204 | 304) {
        return Ok(ReceivedEnd::Complete);
    }
    if response.header("transfer-encoding").is_some() {
        return read_chunks(reader, &mut response.body);
    }
    let Some(length) = response.header("content-length") else {
        reader.read_to_end(&mut response.body)?;
        return Ok(ReceivedEnd::Unverified);
    };
    let length: u64 = length.parse().map_err(io::Error::other)?;
    let read = reader.take(length).read_to_end(&mut response.body)?;
    Ok(match read as u64 == length {
        true => ReceivedEnd::Complete,
        false => ReceivedEnd::Cut,
    })
}

fn read_chunks(reader: &mut BufReader<TcpStream>, body: &mut Vec<u8>) -> io::Result<ReceivedEnd> {
    loop {
        let line = read_line(reader)?;
        let size = u64::from_str_radix(&line, 16).map_err(io::Error::other)?;
        if size == 0 {
            read_line(reader)?;
            return Ok(ReceivedEnd::Complete);
        }
        let read = reader.by_ref().take(size).read_to_end(body)?;
        if read as u64 != size {
            return Ok(ReceivedEnd::Cut);
        }
        read_line(reader)?;
    }
}

fn read_line(reader: &mut BufReader<TcpStream>) -> io::Result<String> {
    let mut line = String::new();
    reader.read_line(&mut line)?;
    let line = line
        .strip_suffix("\r\n")
        .ok_or(io::ErrorKind::UnexpectedEof)?;
    Ok(line.to_owned())
}

/// Runs the tasks of an HTTP/2 connection on the stand-ins' threads.
#[derive(Debug, Clone, Copy)]
struct StandInExecutor;

impl<F: Future<Output: Send> + Send + 'static> hyper::rt::Executor<F> for StandInExecutor {
    fn execute(&self, future: F) {
        spawn(future).detach();
    }
}

async fn send_http2(address: SocketAddr, request: Request<Bytes>) -> eyre::Result<RawResponse> {
    let stream = smol::net::TcpStream::connect(address).await?;
    let (mut sender, connection) =
        http2::handshake(StandInExecutor, FuturesIo::new(stream)).await?;
    let connection = spawn(connection);
    let (mut parts, body) = request.into_parts();
    parts.uri = format!("http://{address}{}", parts.uri).parse()?;
    let request = Request::from_parts(parts, Full::new(body));
    // A stream that is reset before its head was sent is a response that was cut.
    let received = match sender.send_request(request).await {
        Ok(response) => read_http2(response).await,
        Err(_) => RawResponse::empty(),
    };
    drop(connection);
    Ok(received)
}

async fn read_http2(response: Response<Incoming>) -> RawResponse {
    let (head, mut incoming) = response.into_parts();
    let fields = head.headers.iter().map(|(name, value)| {
        let value = String::from_utf8_lossy(value.as_bytes());
        (name.as_str().to_owned(), value.into_owned())
    });
    let mut received = RawResponse {
        status: head.status.as_u16(),
        headers: fields.collect(),
        body: Vec::new(),
        end: ReceivedEnd::Complete,
    };
    if received.header(BODY_END) == Some(BODY_END_UNVERIFIED) {
        received.end = ReceivedEnd::Unverified;
    }
    while let Some(frame) = incoming.frame().await {
        let Ok(frame) = frame else {
            received.end = ReceivedEnd::Cut;
            break;
        };
        if let Some(data) = frame.data_ref() {
            received.body.extend_from_slice(data);
        }
    }
    received
}
