//! Reads the counters that only daemons know from their operators' pages.

use std::net::SocketAddr;
use std::time::Duration;

use celeryknot_standins::client::call;
use http::Method;

const TIMEOUT: Duration = Duration::from_secs(2);

/// Sums the samples of one metric over all labels; `None` where the daemon does not answer.
pub(crate) async fn metric_sum(address: SocketAddr, name: &str) -> Option<f64> {
    let (status, body) = call(address, Method::GET, "/metrics", "", TIMEOUT)
        .await
        .ok()?;
    if !status.is_success() {
        return None;
    }
    let text = String::from_utf8(body.to_vec()).ok()?;
    Some(
        text.lines()
            .filter_map(|line| line.rsplit_once(' '))
            .filter(|(metric, _)| metric.split('{').next() == Some(name))
            .filter_map(|(_, value)| value.parse::<f64>().ok())
            .sum(),
    )
}

/// Reads the bytes of control traffic that each daemon has sent.
pub(crate) async fn control_bytes(addresses: &[SocketAddr]) -> Vec<Option<f64>> {
    let mut bytes = Vec::with_capacity(addresses.len());
    for address in addresses {
        bytes.push(metric_sum(*address, "celeryknot_control_bytes_total").await);
    }
    bytes
}

/// Returns the largest rate between two readings; a daemon that was replaced counts from 0.
pub(crate) fn largest_rate_per_s(
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
