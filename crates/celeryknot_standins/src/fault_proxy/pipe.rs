//! The two directions of one proxied connection.

use std::net::Shutdown;
use std::sync::Arc;
use std::time::Duration;

use async_channel::Receiver;
use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt, future};
use smol::Timer;
use smol::net::TcpStream;
use socket2::SockRef;

use super::ProxyShared;

const BUFFER_SIZE_BYTES: usize = 16 << 10;

/// How a connection or a direction ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ConnectionEnd {
    Closed,
    Reset,
}

/// Makes the connection end with a TCP reset when it is dropped.
pub(super) fn reset(stream: &TcpStream) {
    // A closed connection needs no reset.
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

pub(super) async fn run(
    shared: Arc<ProxyShared>,
    inbound: TcpStream,
    outbound: TcpStream,
    connection_number: u64,
    reset_signal: Receiver<()>,
) {
    for stream in [&inbound, &outbound] {
        // The proxy works without TCP_NODELAY too.
        let _ = stream.set_nodelay(true);
    }
    let upstream = forward(
        &shared,
        connection_number,
        inbound.clone(),
        outbound.clone(),
    );
    let downstream = forward(
        &shared,
        connection_number,
        outbound.clone(),
        inbound.clone(),
    );
    let both_directions = async {
        let (upstream, downstream) = future::zip(upstream, downstream).await;
        if upstream == ConnectionEnd::Reset || downstream == ConnectionEnd::Reset {
            return ConnectionEnd::Reset;
        }
        ConnectionEnd::Closed
    };
    let reset_request = async {
        // Nothing is sent on the channel: closing it is the signal.
        let _ = reset_signal.recv().await;
        ConnectionEnd::Reset
    };
    if both_directions.or(reset_request).await == ConnectionEnd::Reset {
        reset(&inbound);
        reset(&outbound);
    }
}

async fn forward(
    shared: &ProxyShared,
    connection_number: u64,
    mut from: TcpStream,
    mut to: TcpStream,
) -> ConnectionEnd {
    let mut buffer = vec![0; BUFFER_SIZE_BYTES];
    let mut forwarded_bytes = 0;
    let jitter_percent = u32::try_from(connection_number * 37 % 100).unwrap_or(0);
    loop {
        let read = from.read(&mut buffer).await;
        if is_silent(shared, connection_number) {
            match read {
                Ok(count) if count > 0 => continue,
                // Hides from the other end that this one has closed.
                _ => return future::pending().await,
            }
        }
        let count = match read {
            Ok(0) => {
                // The other end may be closed already.
                let _ = to.shutdown(Shutdown::Write);
                return ConnectionEnd::Closed;
            }
            Ok(count) => count,
            Err(_) => return abort(&from, &to),
        };
        let (delay, segment_bytes, truncate_after_bytes) = {
            let faults = shared.faults();
            let delay = faults.delay + faults.reorder * jitter_percent / 100;
            (delay, faults.segment_bytes, faults.truncate_after_bytes)
        };
        if !delay.is_zero() {
            Timer::after(delay).await;
            if is_silent(shared, connection_number) {
                continue;
            }
        }
        let mut data = &buffer[..count];
        let remaining = truncate_after_bytes.map(|limit| limit.saturating_sub(forwarded_bytes));
        let is_truncated = remaining.is_some_and(|remaining| remaining < count as u64);
        if let (true, Some(remaining)) = (is_truncated, remaining) {
            data = &data[..remaining as usize];
        }
        forwarded_bytes += data.len() as u64;
        if write(&mut to, data, segment_bytes).await.is_err() || is_truncated {
            return abort(&from, &to);
        }
    }
}

fn is_silent(shared: &ProxyShared, connection_number: u64) -> bool {
    connection_number < shared.faults().first_live_connection
}

/// Resets both streams, which also ends the other direction.
fn abort(from: &TcpStream, to: &TcpStream) -> ConnectionEnd {
    for stream in [from, to] {
        reset(stream);
        // The stream may be closed already.
        let _ = stream.shutdown(Shutdown::Both);
    }
    ConnectionEnd::Reset
}

async fn write(
    to: &mut TcpStream,
    data: &[u8],
    segment_bytes: Option<usize>,
) -> std::io::Result<()> {
    let Some(segment_bytes) = segment_bytes else {
        return to.write_all(data).await;
    };
    for segment in data.chunks(segment_bytes) {
        to.write_all(segment).await?;
        to.flush().await?;
        future::yield_now().await;
    }
    Ok(())
}
