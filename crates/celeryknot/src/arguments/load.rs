//! The arguments of `load`.

use std::net::SocketAddr;
use std::str::FromStr;

use argh::FromArgs;
use celeryknot_core::{CustomerName, DurationMs, ModelName, ServiceName};

use super::Format;

/// A customer and its share of the load, written `otaru` or `sapporo:6`.
///
/// # Examples
///
/// ```
/// use celeryknot::arguments::CustomerWeight;
///
/// let customer: CustomerWeight = "sapporo:6".parse()?;
/// assert_eq!(customer.weight, 6.0);
/// assert!("sapporo:-1".parse::<CustomerWeight>().is_err());
/// # Ok::<(), String>(())
/// ```
#[derive(Debug, Clone, PartialEq)]
pub struct CustomerWeight {
    /// The customer's name.
    pub name: CustomerName,
    /// The customer's weight, relative to the others.
    pub weight: f64,
}

impl FromStr for CustomerWeight {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let (name, weight) = text.split_once(':').unwrap_or((text, "1"));
        let name = name.parse().map_err(|error| format!("{error}"))?;
        let weight: f64 = weight
            .parse()
            .map_err(|_| format!("`{weight}` is not a number"))?;
        if !weight.is_finite() || weight <= 0.0 {
            return Err(format!("the weight `{weight}` is not above 0"));
        }
        Ok(Self { name, weight })
    }
}

/// Send open-loop load of multi-turn chats, bookings and reads, and measure the responses.
///
/// The start time of each request is planned before the run; latency counts from that time, so
/// that a slow response does not hide the delay of later requests.
#[derive(FromArgs, Debug)]
#[argh(
    subcommand,
    name = "load",
    example = "$ celeryknot load --address 127.0.1.1:8080 --address 127.0.2.1:8080 --customer sapporo:6 --customer otaru --seconds 20"
)]
pub struct LoadArguments {
    /// a daemon's address for callers; may be repeated to distribute the requests
    #[argh(option)]
    pub address: Vec<SocketAddr>,
    /// the model service (default wakai-llm)
    #[argh(option, default = "default_name(\"wakai-llm\")")]
    pub service: ServiceName,
    /// the model (default wakai-8b)
    #[argh(option, default = "default_model(\"wakai-8b\")")]
    pub model: ModelName,
    /// the plain service for bookings and reads (default case-svc)
    #[argh(option, default = "default_name(\"case-svc\")")]
    pub plain_service: ServiceName,
    /// a customer, with its weight after a colon; may be repeated (default otaru)
    #[argh(option, arg_name = "name:weight")]
    pub customer: Vec<CustomerWeight>,
    /// chat requests per second (default 40)
    #[argh(option, default = "40.0")]
    pub chats_per_s: f64,
    /// bookings per second (default 0)
    #[argh(option, default = "0.0")]
    pub bookings_per_s: f64,
    /// reads of records per second (default 0)
    #[argh(option, default = "0.0")]
    pub reads_per_s: f64,
    /// mean pause between two requests of a chat, without the long pauses (default 3s)
    #[argh(option, default = "DurationMs(3_000)", arg_name = "time")]
    pub pause_ms: DurationMs,
    /// duration of the load in seconds (default 10)
    #[argh(option, default = "10")]
    pub seconds: u64,
    /// seed of the random choices (default 1)
    #[argh(option, default = "1")]
    pub seed: u64,
    /// text (default) or json
    #[argh(option, default = "Format::default()")]
    pub format: Format,
}

fn default_name(name: &str) -> ServiceName {
    name.parse().expect("the default is a name")
}

fn default_model(name: &str) -> ModelName {
    name.parse().expect("the default is a name")
}
