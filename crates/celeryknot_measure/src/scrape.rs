//! Reads figures that only daemons have from their operators addresses.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use celeryknot_operators::Status;
use celeryknot_standins::client::fetch_json;

const TIMEOUT: Duration = Duration::from_secs(2);

/// Fetches the status of a daemon; `None` if the request fails.
pub(crate) async fn fetch_status(address: SocketAddr) -> Option<Status> {
    fetch_json(address, "/status", TIMEOUT).await.ok()
}

/// Fetches the bytes of control traffic that each daemon has sent.
pub(crate) async fn fetch_control_bytes(addresses: &[SocketAddr]) -> Vec<Option<f64>> {
    let mut bytes = Vec::with_capacity(addresses.len());
    for address in addresses {
        let sent = fetch_status(*address).await.map(|status| {
            let counts = status.control.counters.traffic.values();
            counts.map(|count| count.sent_bytes as f64).sum()
        });
        bytes.push(sent);
    }
    bytes
}

/// Fetches the bytes of control traffic that all daemons together have sent, by kind.
pub(crate) async fn fetch_control_bytes_by_kind(addresses: &[SocketAddr]) -> BTreeMap<String, u64> {
    let mut bytes = BTreeMap::new();
    for address in addresses {
        let Some(status) = fetch_status(*address).await else {
            continue;
        };
        for (kind, count) in status.control.counters.traffic {
            *bytes.entry(kind.to_string()).or_insert(0) += count.sent_bytes;
        }
    }
    bytes
}

/// Returns the largest rate of a daemon between two readings; the counter of a replaced daemon
/// restarts at 0.
pub(crate) fn max_rate_per_s(
    before: &[Option<f64>],
    after: &[Option<f64>],
    seconds: f64,
) -> Option<f64> {
    before
        .iter()
        .zip(after)
        .filter_map(|(before, after)| {
            let (before, after) = ((*before).unwrap_or(0.0), (*after)?);
            let sent = if after >= before {
                after - before
            } else {
                after
            };
            Some(sent / seconds)
        })
        .reduce(f64::max)
}
