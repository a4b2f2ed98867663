//! Measurements of the router against stand-ins, baselines and an oracle.
//!
//! All figures are counted at the stand-ins and the callers, except control bytes and settings
//! revisions, which only the daemons can report.

pub mod baseline;
pub mod cluster;
pub mod demo;
pub mod deployment;
mod measurements;
pub mod options;
pub mod plot;
pub mod report;
pub mod sampler;
mod scrape;

pub use deployment::Deployment;
pub use measurements::{Measurement, run};
pub use options::MeasureOptions;
pub use report::Report;
