//! `stand-in` runs a stand-in until the process is terminated.

use std::io::Write;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use celeryknot_core::{DurationMs, ServiceName};
use celeryknot_platform::Instance;
use celeryknot_standins::{
    Engine, EngineOptions, FaultPlan, FaultProxy, Platform, PlatformOptions, Service,
    ServiceOptions,
};

use super::check::source::Sources;
use super::unavailable;
use crate::arguments::{
    EngineArguments, FaultProxyArguments, PlatformArguments, ServiceArguments, StandInArguments,
    StandInKind,
};
use crate::exit_status::{ExitStatus, Failure};

/// Starts the stand-in, writes its addresses and runs until the process is terminated.
///
/// # Errors
///
/// Fails when a file is invalid or an address can't be bound.
pub fn run(arguments: &StandInArguments, out: &mut impl Write) -> Result<ExitStatus, Failure> {
    match &arguments.kind {
        StandInKind::Platform(arguments) => run_platform(arguments, out),
        StandInKind::Engine(arguments) => run_engines(arguments, out),
        StandInKind::Service(arguments) => run_services(arguments, out),
        StandInKind::FaultProxy(arguments) => run_fault_proxy(arguments, out),
    }
}

/// Keeps the stand-ins running until the process is terminated.
fn run_forever<T>(stand_ins: T) -> Result<ExitStatus, Failure> {
    smol::block_on(std::future::pending::<()>());
    drop(stand_ins);
    Ok(ExitStatus::Done)
}

fn write_address(out: &mut impl Write, name: &str, address: SocketAddr) -> Result<(), Failure> {
    writeln!(out, "{name} on {address}")?;
    out.flush()?;
    Ok(())
}

fn run_platform(
    arguments: &PlatformArguments,
    out: &mut impl Write,
) -> Result<ExitStatus, Failure> {
    let options = PlatformOptions::default()
        .calls_per_s(arguments.calls_per_s)
        .instance_lag_ms(arguments.instance_lag_ms)
        .replicas(arguments.replicas);
    let values = arguments.values.as_deref().map(read_values).transpose()?;
    let instances = arguments
        .instances
        .as_deref()
        .map(read_instances)
        .transpose()?;
    let platform =
        Platform::start(options, arguments.address).map_err(|report| unavailable(&report))?;
    for (path, text) in values.unwrap_or_default() {
        platform.put_value(&path, &text);
    }
    platform.put_instances(instances.unwrap_or_default());
    for address in platform.addresses() {
        write_address(out, "platform", address)?;
    }
    run_forever(platform)
}

fn read_values(folder: &Path) -> Result<Vec<(String, String)>, Failure> {
    if !folder.is_dir() {
        return Err(Failure::usage(format!(
            "{}: not a folder",
            folder.display()
        )));
    }
    let sources = Sources::find(&[folder.to_owned()])?;
    let mut values = Vec::new();
    for file in sources.trees.values().flatten() {
        values.push((file.path.clone(), read_file(&file.file)?));
    }
    Ok(values)
}

fn read_file(file: &Path) -> Result<String, Failure> {
    std::fs::read_to_string(file)
        .map_err(|error| Failure::usage(format!("{}: {error}", file.display())))
}

fn read_instances(file: &Path) -> Result<Vec<Instance>, Failure> {
    serde_json::from_str(&read_file(file)?)
        .map_err(|error| Failure::usage(format!("{}: {error}", file.display())))
}

fn run_engines(arguments: &EngineArguments, out: &mut impl Write) -> Result<ExitStatus, Failure> {
    let listen_addresses =
        listen_addresses(&arguments.address, &arguments.instances, &arguments.service)?;
    let mut engines = Vec::new();
    for (seed, address) in (arguments.seed..).zip(listen_addresses) {
        let options = EngineOptions::default()
            .model(arguments.model.clone())
            .batch_max(arguments.batch_max)
            .prefill_tokens_per_s(arguments.prefill_tokens_per_s)
            .kv_tokens_max(arguments.kv_tokens_max)
            .cold_ms(arguments.cold_ms)
            .refuses_old_orders(!arguments.ignores_old_orders)
            .seed(seed);
        let engine = Engine::start(options, address).map_err(|report| unavailable(&report))?;
        write_address(out, "engine", engine.address())?;
        engines.push(engine);
    }
    run_forever(engines)
}

fn run_services(arguments: &ServiceArguments, out: &mut impl Write) -> Result<ExitStatus, Failure> {
    let listen_addresses =
        listen_addresses(&arguments.address, &arguments.instances, &arguments.service)?;
    let mut services = Vec::new();
    for (seed, address) in (arguments.seed..).zip(listen_addresses) {
        let options = ServiceOptions::default()
            .work_ms(arguments.work_ms)
            .bound(arguments.bound)
            .cold_ms(arguments.cold_ms)
            .seed(seed);
        let service = Service::start(options, address).map_err(|report| unavailable(&report))?;
        write_address(out, "service", service.address())?;
        services.push(service);
    }
    run_forever(services)
}

/// Returns the given addresses and those of a service's endpoints in an instance list.
fn listen_addresses(
    given: &[SocketAddr],
    instances: &Option<PathBuf>,
    service: &Option<ServiceName>,
) -> Result<Vec<SocketAddr>, Failure> {
    let mut addresses = given.to_vec();
    match (instances, service) {
        (Some(file), Some(service)) => {
            addresses.extend(endpoints_of(&read_instances(file)?, service));
        }
        (None, None) => {}
        (Some(_), None) | (None, Some(_)) => {
            return Err(Failure::usage("--instances and --service go together"));
        }
    }
    if addresses.is_empty() {
        return Err(Failure::usage(
            "no address to listen on: give --address, or --instances with a --service that it lists",
        ));
    }
    Ok(addresses)
}

fn endpoints_of(instances: &[Instance], service: &ServiceName) -> Vec<SocketAddr> {
    instances
        .iter()
        .filter_map(|instance| match instance {
            Instance::Endpoint(endpoint) if endpoint.service == *service => Some(endpoint.address),
            Instance::Endpoint(_) | Instance::Daemon(_) => None,
        })
        .collect()
}

fn run_fault_proxy(
    arguments: &FaultProxyArguments,
    out: &mut impl Write,
) -> Result<ExitStatus, Failure> {
    let proxy = FaultProxy::start(
        arguments.target,
        arguments.address,
        arguments.control_address,
    )
    .map_err(|report| unavailable(&report))?;
    write_address(out, "fault-proxy", proxy.address())?;
    write_address(out, "control", proxy.control_address())?;
    if let Some(seed) = arguments.seed {
        let length_ms = DurationMs(arguments.seconds.saturating_mul(1000));
        proxy.run_plan(FaultPlan::from_seed(seed, length_ms));
    }
    run_forever(proxy)
}
