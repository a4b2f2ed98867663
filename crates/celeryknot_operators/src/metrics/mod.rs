//! The metrics of one daemon.
//!
//! Each daemon has its own registry, as several daemons may run in one process.

pub mod control;
pub mod gateway;
pub mod spec;
pub mod traffic;

use prometheus::{Encoder, Registry, TextEncoder};

pub use control::ControlMetrics;
pub use gateway::GatewayMetrics;
pub use spec::{GATEWAY_METRICS, METRICS, MetricKind, MetricSpec};
pub use traffic::{RequestKind, ServiceMetrics, TrafficMetrics};

/// The metrics of one daemon; clones share the values.
///
/// # Examples
///
/// ```
/// use celeryknot_core::ErrorKind;
/// use celeryknot_operators::Metrics;
///
/// let metrics = Metrics::new();
/// metrics.traffic.refused(ErrorKind::QueueFull);
/// assert!(metrics.render().contains("celeryknot_refusals_total{code=\"queue-full\"} 1"));
/// ```
#[derive(Debug, Clone)]
pub struct Metrics {
    registry: Registry,
    /// Metrics of the traffic threads.
    pub traffic: TrafficMetrics,
    /// Metrics of the control thread.
    pub control: ControlMetrics,
}

impl Metrics {
    /// Registers all metrics in a new registry.
    pub fn new() -> Self {
        let registry = Registry::new();
        Self {
            traffic: TrafficMetrics::new(&registry),
            control: ControlMetrics::new(&registry),
            registry,
        }
    }

    /// Renders all metrics in the Prometheus text format.
    pub fn render(&self) -> String {
        render(&self.registry)
    }
}

/// Renders all metrics of a registry in the Prometheus text format.
fn render(registry: &Registry) -> String {
    let mut text = Vec::new();
    TextEncoder::new()
        .encode(&registry.gather(), &mut text)
        .expect("writing to memory does not fail");
    String::from_utf8(text).expect("the text format is UTF-8")
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}
