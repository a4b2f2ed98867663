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

/// How a connection ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ConnectionEnd {
    Closed,
    Reset,
}

/// Makes the connection end with a reset once it is dropped.
pub(super) fn reset(stream: &TcpStream) {
    // A connection that is gone already needs no reset.
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

pub(super) async fn run(
    shared: Arc<ProxyShared>,
    inbound: TcpStream,
    outbound: TcpStream,
    number: u64,
    reset_signal: Receiver<()>,
) {
    for stream in [&inbound, &outbound] {
        // The proxy works as well with delayed segments.
        let _ = stream.set_nodelay(true);
    }
    let there = copy(&shared, number, inbound.clone(), outbound.clone());
    let back = copy(&shared, number, outbound.clone(), inbound.clone());
    let both = async {
        let (there, back) = future::zip(there, back).await;
        if there == ConnectionEnd::Reset || back == ConnectionEnd::Reset {
            return ConnectionEnd::Reset;
        }
        ConnectionEnd::Closed
    };
    let cut = async {
        // The channel is only ever closed, which is the signal.
        let _ = reset_signal.recv().await;
        ConnectionEnd::Reset
    };
    if both.or(cut).await == ConnectionEnd::Reset {
        reset(&inbound);
        reset(&outbound);
    }
}

async fn copy(
    shared: &ProxyShared,
    number: u64,
    mut from: TcpStream,
    mut to: TcpStream,
) -> ConnectionEnd {
    let mut buffer = vec![0; BUFFER_SIZE_BYTES];
    let mut forwarded_bytes = 0;
    let jitter_percent = u32::try_from(number * 37 % 100).unwrap_or(0);
    loop {
        let read = from.read(&mut buffer).await;
        if is_silent(shared, number) {
            match read {
                Ok(count) if count > 0 => continue,
                // The other end never learns that this one has gone.
                _ => return future::pending().await,
            }
        }
        let count = match read {
            Ok(0) => {
                // The other end may have gone already.
                let _ = to.shutdown(Shutdown::Write);
                return ConnectionEnd::Closed;
            }
            Ok(count) => count,
            Err(_) => return abort(&from, &to),
        };
        let (pause, segment_bytes, truncate) = {
            let faults = shared.faults();
            let pause = faults.delay + faults.reorder * jitter_percent / 100;
            (pause, faults.segment_bytes, faults.truncate_after_bytes)
        };
        if !pause.is_zero() {
            Timer::after(pause).await;
            if is_silent(shared, number) {
                continue;
            }
        }
        let mut piece = &buffer[..count];
        let room = truncate.map(|after| after.saturating_sub(forwarded_bytes));
        let is_truncated = room.is_some_and(|room| room < count as u64);
        if let (true, Some(room)) = (is_truncated, room) {
            piece = &piece[..room as usize];
        }
        forwarded_bytes += piece.len() as u64;
        if write(&mut to, piece, segment_bytes).await.is_err() || is_truncated {
            return abort(&from, &to);
        }
    }
}

fn is_silent(shared: &ProxyShared, number: u64) -> bool {
    number < shared.faults().first_live_connection
}

/// Resets both ends, so that the other direction ends as well.
fn abort(from: &TcpStream, to: &TcpStream) -> ConnectionEnd {
    for stream in [from, to] {
        reset(stream);
        // The end may have gone already.
        let _ = stream.shutdown(Shutdown::Both);
    }
    ConnectionEnd::Reset
}

async fn write(
    to: &mut TcpStream,
    piece: &[u8],
    segment_bytes: Option<usize>,
) -> std::io::Result<()> {
    let Some(segment_bytes) = segment_bytes else {
        return to.write_all(piece).await;
    };
    for segment in piece.chunks(segment_bytes) {
        to.write_all(segment).await?;
        to.flush().await?;
        future::yield_now().await;
    }
    Ok(())
}
