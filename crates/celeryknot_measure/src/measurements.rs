//! The measurements, selected by name.

mod cache_reuse;
mod churn;
mod cold_start;
mod control_traffic;
mod cost;
mod decision;
mod pass_through;
mod settings;
mod silent_connections;
mod skew;
mod surge;
mod zone_drain;

use strum::{Display, EnumIter, EnumString, IntoStaticStr, VariantNames};

use crate::options::MeasureOptions;
use crate::report::Report;

/// A measurement.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Display, EnumIter, EnumString, IntoStaticStr, VariantNames,
)]
#[strum(serialize_all = "kebab-case")]
pub enum Measurement {
    /// Cache hit ratio of prompt tokens during churn, compared with other placements.
    CacheReuse,
    /// Largest load of an engine relative to the mean.
    Skew,
    /// Drain of a zone under load, and its return.
    ZoneDrain,
    /// Concurrency at cold engines, compared with their limit.
    ColdStart,
    /// Effect of a surge of one customer on the others.
    Surge,
    /// Duration of one placement decision.
    Decision,
    /// Latency and throughput, compared with a minimal pass-through proxy.
    Cost,
    /// Time until a published value is active at every daemon.
    Settings,
    /// Bytes of control traffic per daemon.
    ControlTraffic,
    /// Share of requests on time after all open connections stop delivering data.
    SilentConnections,
}

/// Runs a measurement.
///
/// # Examples
///
/// ```
/// use celeryknot_measure::{MeasureOptions, Measurement, run};
///
/// let report = run(Measurement::Decision, &MeasureOptions::default())?;
/// assert!(report.json().contains("us_at_600"));
/// # Ok::<(), eyre::Report>(())
/// ```
pub fn run(measurement: Measurement, options: &MeasureOptions) -> eyre::Result<Report> {
    match measurement {
        Measurement::CacheReuse => smol::block_on(cache_reuse::measure(options)),
        Measurement::Skew => smol::block_on(skew::measure(options)),
        Measurement::ZoneDrain => smol::block_on(zone_drain::measure(options)),
        Measurement::ColdStart => smol::block_on(cold_start::measure(options)),
        Measurement::Surge => smol::block_on(surge::measure(options)),
        Measurement::Decision => Ok(decision::measure(options)),
        Measurement::Cost => smol::block_on(cost::measure(options)),
        Measurement::Settings => smol::block_on(settings::measure(options)),
        Measurement::ControlTraffic => smol::block_on(control_traffic::measure(options)),
        Measurement::SilentConnections => smol::block_on(silent_connections::measure(options)),
    }
}
