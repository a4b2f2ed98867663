//! The arguments of `stand-in`.

use std::net::SocketAddr;
use std::path::PathBuf;

use argh::FromArgs;
use celeryknot_core::{DurationMs, ServiceName};

/// Run a stand-in for a system that the router connects to, until the process is terminated.
#[derive(FromArgs, Debug)]
#[argh(
    subcommand,
    name = "stand-in",
    example = "$ celeryknot stand-in engine --address 127.0.0.1:8000\nengine on 127.0.0.1:8000"
)]
pub struct StandInArguments {
    /// the kind of stand-in
    #[argh(subcommand)]
    pub kind: StandInKind,
}

/// The kinds of stand-in.
#[derive(FromArgs, Debug)]
#[argh(subcommand)]
pub enum StandInKind {
    /// The platform.
    Platform(PlatformArguments),
    /// A model engine.
    Engine(EngineArguments),
    /// A plain service.
    Service(ServiceArguments),
    /// A proxy that injects faults.
    FaultProxy(FaultProxyArguments),
}

/// Run a configuration service with an instance list.
///
/// Values and instances can be changed over HTTP at run time, see docs/INTERFACES.md.
#[derive(FromArgs, Debug)]
#[argh(
    subcommand,
    name = "platform",
    example = "$ celeryknot stand-in platform --address 127.0.0.5:8500 --values examples/kinrin-wakai/values --instances examples/kinrin-wakai/instances.json"
)]
pub struct PlatformArguments {
    /// address to listen on; port 0 selects a free port
    #[argh(option)]
    pub address: SocketAddr,
    /// folder with the tree of values to publish
    #[argh(option, arg_name = "dir")]
    pub values: Option<PathBuf>,
    /// file with the instance list, a JSON array
    #[argh(option, arg_name = "file")]
    pub instances: Option<PathBuf>,
    /// number of replicas; those after the first listen on free ports (default 1)
    #[argh(option, default = "1")]
    pub replicas: u32,
    /// calls per second that all replicas together accept (default 2000)
    #[argh(option, default = "2000.0")]
    pub calls_per_s: f64,
    /// staleness of the instance list (default 0)
    #[argh(option, default = "DurationMs(0)", arg_name = "time")]
    pub instance_lag_ms: DurationMs,
}

/// Run engines: one at each address, or all of a service in an instance list.
#[derive(FromArgs, Debug)]
#[argh(
    subcommand,
    name = "engine",
    example = "$ celeryknot stand-in engine --instances examples/kinrin-wakai/instances.json --service wakai-llm"
)]
pub struct EngineArguments {
    /// address to listen on; port 0 selects a free port; may be repeated
    #[argh(option)]
    pub address: Vec<SocketAddr>,
    /// instance list with the endpoints to run
    #[argh(option, arg_name = "file")]
    pub instances: Option<PathBuf>,
    /// service with the endpoints to run
    #[argh(option)]
    pub service: Option<ServiceName>,
    /// the model to serve (default wakai-8b)
    #[argh(option, default = "String::from(\"wakai-8b\")")]
    pub model: String,
    /// maximum number of requests in a batch (default 32)
    #[argh(option, default = "32")]
    pub batch_max: u32,
    /// prompt tokens processed per second (default 20000)
    #[argh(option, default = "20_000.0")]
    pub prefill_tokens_per_s: f64,
    /// capacity of the prefix cache in tokens (default 200000)
    #[argh(option, default = "200_000")]
    pub kv_tokens_max: usize,
    /// time for which the engine is cold after its start (default 0)
    #[argh(option, default = "DurationMs(0)", arg_name = "time")]
    pub cold_ms: DurationMs,
    /// accept orders with outdated fencing tokens
    #[argh(switch)]
    pub ignores_old_orders: bool,
    /// seed for the choice of lost events (default 1)
    #[argh(option, default = "1")]
    pub seed: u64,
}

/// Run plain services: one at each address, or all of a service in an instance list.
#[derive(FromArgs, Debug)]
#[argh(
    subcommand,
    name = "service",
    example = "$ celeryknot stand-in service --instances examples/kinrin-wakai/instances.json --service case-svc"
)]
pub struct ServiceArguments {
    /// address to listen on; port 0 selects a free port; may be repeated
    #[argh(option)]
    pub address: Vec<SocketAddr>,
    /// instance list with the endpoints to run
    #[argh(option, arg_name = "file")]
    pub instances: Option<PathBuf>,
    /// service with the endpoints to run
    #[argh(option)]
    pub service: Option<ServiceName>,
    /// duration of a call (default 5ms)
    #[argh(option, default = "DurationMs(5)", arg_name = "time")]
    pub work_ms: DurationMs,
    /// concurrency limit that the service reports (default 64)
    #[argh(option, default = "64")]
    pub bound: u32,
    /// time for which the service is cold after its start (default 0)
    #[argh(option, default = "DurationMs(0)", arg_name = "time")]
    pub cold_ms: DurationMs,
    /// seed for the choice of failing calls (default 1)
    #[argh(option, default = "1")]
    pub seed: u64,
}

/// Run a proxy that forwards connections to a target and injects faults.
///
/// `POST /stand-in/faults` on the control address accepts {"steps": [{"at_ms": 0, "fault": "…"}]}.
/// Faults: heal, delay (ms), reset, silent-drop, black-hole, truncate (after_bytes),
/// split (segment_bytes), reorder (ms).
#[derive(FromArgs, Debug)]
#[argh(
    subcommand,
    name = "fault-proxy",
    example = "$ celeryknot stand-in fault-proxy --address 127.0.0.1:8100 --target 127.0.0.1:8000 --control-address 127.0.0.1:8101\n$ curl -d '{{\"steps\": [{{\"fault\": \"delay\", \"ms\": 50}}]}}' http://127.0.0.1:8101/stand-in/faults"
)]
pub struct FaultProxyArguments {
    /// address to listen on; port 0 selects a free port
    #[argh(option)]
    pub address: SocketAddr,
    /// address to which connections are forwarded
    #[argh(option)]
    pub target: SocketAddr,
    /// address on which commands are accepted
    #[argh(option)]
    pub control_address: SocketAddr,
    /// execute a fault plan drawn from this seed
    #[argh(option)]
    pub seed: Option<u64>,
    /// duration of that plan in seconds (default 60)
    #[argh(option, default = "60")]
    pub seconds: u64,
}
