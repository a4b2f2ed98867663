//! The arguments of the stand-ins.

use std::net::SocketAddr;
use std::path::PathBuf;

use argh::FromArgs;
use celeryknot_core::{DurationMs, ServiceName};

/// Run a stand-in for what the router talks to, until the process is ended.
#[derive(FromArgs, Debug)]
#[argh(
    subcommand,
    name = "stand-in",
    example = "$ celeryknot stand-in engine --address 127.0.0.1:8000\nengine on 127.0.0.1:8000"
)]
pub struct StandInArguments {
    /// what to stand in for
    #[argh(subcommand)]
    pub kind: StandInKind,
}

/// What is stood in for.
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
/// Values and instances can be changed over HTTP while it runs, see docs/INTERFACES.md.
#[derive(FromArgs, Debug)]
#[argh(
    subcommand,
    name = "platform",
    example = "$ celeryknot stand-in platform --address 127.0.0.5:8500 --values examples/kinrin-wakai/values --instances examples/kinrin-wakai/instances.json"
)]
pub struct PlatformArguments {
    /// where to listen; port 0 takes a free one
    #[argh(option)]
    pub address: SocketAddr,
    /// folder with the tree of values to publish
    #[argh(option, arg_name = "dir")]
    pub values: Option<PathBuf>,
    /// file with the instance list, a JSON array
    #[argh(option, arg_name = "file")]
    pub instances: Option<PathBuf>,
    /// replicas; those after the first take free ports (default 1)
    #[argh(option, default = "1")]
    pub replicas: u32,
    /// calls that all replicas together answer in a second (default 2000)
    #[argh(option, default = "2000.0")]
    pub calls_per_s: f64,
    /// how old the instance list is (default 0)
    #[argh(option, default = "DurationMs(0)", arg_name = "time")]
    pub instance_lag_ms: DurationMs,
}

/// Run engines: one at an address, or all of a service in an instance list.
#[derive(FromArgs, Debug)]
#[argh(
    subcommand,
    name = "engine",
    example = "$ celeryknot stand-in engine --instances examples/kinrin-wakai/instances.json --service wakai-llm"
)]
pub struct EngineArguments {
    /// where to listen; port 0 takes a free one; may be repeated
    #[argh(option)]
    pub address: Vec<SocketAddr>,
    /// instance list whose endpoints are to be run
    #[argh(option, arg_name = "file")]
    pub instances: Option<PathBuf>,
    /// service whose endpoints are to be run
    #[argh(option)]
    pub service: Option<ServiceName>,
    /// the model that is served (default wakai-8b)
    #[argh(option, default = "String::from(\"wakai-8b\")")]
    pub model: String,
    /// most requests in the batch (default 32)
    #[argh(option, default = "32")]
    pub batch_max: u32,
    /// prompt tokens read in a second (default 20000)
    #[argh(option, default = "20_000.0")]
    pub prefill_tokens_per_s: f64,
    /// tokens that the prefix cache holds (default 200000)
    #[argh(option, default = "200_000")]
    pub kv_tokens_max: usize,
    /// how long the engine is cold after its start (default 0)
    #[argh(option, default = "DurationMs(0)", arg_name = "time")]
    pub cold_ms: DurationMs,
    /// take orders with old fencing numbers
    #[argh(switch)]
    pub ignores_old_orders: bool,
    /// decides which events get lost (default 1)
    #[argh(option, default = "1")]
    pub seed: u64,
}

/// Run plain services: one at an address, or all of a service in an instance list.
#[derive(FromArgs, Debug)]
#[argh(
    subcommand,
    name = "service",
    example = "$ celeryknot stand-in service --instances examples/kinrin-wakai/instances.json --service case-svc"
)]
pub struct ServiceArguments {
    /// where to listen; port 0 takes a free one; may be repeated
    #[argh(option)]
    pub address: Vec<SocketAddr>,
    /// instance list whose endpoints are to be run
    #[argh(option, arg_name = "file")]
    pub instances: Option<PathBuf>,
    /// service whose endpoints are to be run
    #[argh(option)]
    pub service: Option<ServiceName>,
    /// time that a call takes (default 5ms)
    #[argh(option, default = "DurationMs(5)", arg_name = "time")]
    pub work_ms: DurationMs,
    /// calls that it can bear at once (default 64)
    #[argh(option, default = "64")]
    pub bound: u32,
    /// how long the service is cold after its start (default 0)
    #[argh(option, default = "DurationMs(0)", arg_name = "time")]
    pub cold_ms: DurationMs,
    /// decides which calls are hit by a fault (default 1)
    #[argh(option, default = "1")]
    pub seed: u64,
}

/// Run a proxy that passes connections on to a target and injects faults.
///
/// `POST /stand-in/faults` on the control address takes {"steps": [{"at_ms": 0, "fault": "…"}]}.
/// Faults: heal, delay (ms), reset, silent-drop, black-hole, truncate (after_bytes),
/// split (segment_bytes), reorder (ms).
#[derive(FromArgs, Debug)]
#[argh(
    subcommand,
    name = "fault-proxy",
    example = "$ celeryknot stand-in fault-proxy --address 127.0.0.1:8100 --target 127.0.0.1:8000 --control-address 127.0.0.1:8101\n$ curl -d '{{\"steps\": [{{\"fault\": \"delay\", \"ms\": 50}}]}}' http://127.0.0.1:8101/stand-in/faults"
)]
pub struct FaultProxyArguments {
    /// where to listen; port 0 takes a free one
    #[argh(option)]
    pub address: SocketAddr,
    /// where connections are passed on to
    #[argh(option)]
    pub target: SocketAddr,
    /// where commands are taken
    #[argh(option)]
    pub control_address: SocketAddr,
    /// carry out a plan drawn from this seed
    #[argh(option)]
    pub seed: Option<u64>,
    /// length of that plan (default 60)
    #[argh(option, default = "60")]
    pub seconds: u64,
}
