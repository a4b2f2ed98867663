//! The processes and stand-ins of one run, and the execution of steps on them.

use std::collections::BTreeSet;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard};
use std::time::{Duration, Instant};

use celeryknot_kinrin_standins::caller::TestRequest;
use celeryknot_kinrin_standins::engine::{Behaviour, Engine};
use celeryknot_kinrin_standins::site::{
    CONFIGURATION_KEY, ZONE, cold_entry, draining_entry, engine_entry, entry_key,
    generation_configuration, with_address, with_idle_timeout, with_stream_timeout,
};
use celeryknot_kinrin_standins::store::{Store, StoreMode};
use celeryknot_standins::{Fault, FaultProxy};
use eyre::{WrapErr, ensure, eyre};

use super::callers::RequestRecord;
use super::observations::{
    EndpointCut, Observations, Shutdown, StatedLimit, StatedPause, Withdrawal,
};
use super::plan::{RunLimits, Step, StepKind};
use crate::process::{DaemonProcess, RunFolder, loopback_address};

/// Number of daemons.
pub const DAEMON_COUNT: usize = 5;
/// Numbers of engines and of endpoints of the plain service.
const ENGINE_COUNT: usize = 4;
const PLAIN_ENDPOINT_COUNT: usize = 3;

const CALLERS_PORT: u16 = 8080;
const READINESS_PORT: u16 = 8081;
const PEERS_PORT: u16 = 7001;
const HOP_PORT: u16 = 7002;

/// Retries that all daemons together may send in ten seconds, in addition to a fifth of the
/// requests.
pub const RETRY_ALLOWANCE: u64 = 60;
/// Time after which a draining endpoint receives no more requests.
pub const DRAIN_TIME: Duration = Duration::from_millis(2_000);

/// Time for which an endpoint refuses requests, and the pause for which it asks.
const REFUSAL_TIME: Duration = Duration::from_millis(400);
const REFUSALS_MAX: usize = 10_000;
const PAUSE_S: &str = "2.5";
const PAUSE: Duration = Duration::from_millis(2_500);

/// Time after which the writers of a restored store write again.
const REWRITE_TIME: Duration = Duration::from_millis(1_000);
/// Maximum delay until a configuration is active.
pub const CONFIGURATION_DELAY_MAX: Duration = Duration::from_millis(2_000);
/// Requests that a cold engine may receive within a second: 1.5 times its rate of 13, plus 5.
pub const COLD_MAX_PER_S: usize = 24;
/// Time for which a new engine is cold.
const COLD_TIME: Duration = Duration::from_millis(3_000);

/// Time between two faults on the connections to an endpoint.
const FAULT_INTERVAL: Duration = Duration::from_millis(37);
/// Delay of slow connections to an endpoint.
const ENDPOINT_DELAY_MS: u64 = 60;
/// Time limit for a daemon's exit after the grace time of its shutdown.
const EXIT_TIMEOUT: Duration = Duration::from_secs(10);
/// Timeout of streams, which is longer than the longest stream.
pub const STREAM_TIMEOUT_MS: u64 = 12_000;
/// Time between two events of a stream.
pub const EVENT_INTERVAL: Duration = Duration::from_millis(25);
/// What endpoints do unless a step says otherwise.
const NORMAL_BEHAVIOUR: Behaviour = Behaviour::StreamByTokens(EVENT_INTERVAL);
/// A part under which every engine crashes; its prompts share the first part with sound ones.
pub const BAD_PART: &str = "bad";
/// The path of the request that crashes endpoints, and how long they run it before.
pub const BAD_PATH: &str = "/read/bad";
const CRASH_AFTER: Duration = Duration::from_millis(40);
/// Time between two of these requests, or prompts with the part.
const BAD_PROMPT_INTERVAL: Duration = Duration::from_millis(100);
/// The rate limits that endpoints state.
const STATED_RATES_PER_S: [f64; 4] = [0.2, 1.0, 2.5, 5.0];
/// Time limit for a started daemon to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
const READY_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A slot of the endpoint list: the current endpoint and the proxy in front of it.
#[derive(Debug)]
struct EndpointSlot {
    service: &'static str,
    engine: Engine,
    proxy: FaultProxy,
}

#[derive(Debug, Default)]
struct OperatorState {
    generation: u64,
    generations: Vec<(u64, Instant)>,
    revoked_at: Option<Instant>,
    shutdowns: Vec<Shutdown>,
    withdrawals: Vec<Withdrawal>,
    cold: Vec<(String, Instant)>,
    stated_limits: Vec<StatedLimit>,
    stated_departures: Vec<(String, Instant)>,
    stated_pauses: Vec<StatedPause>,
    endpoint_cuts: Vec<EndpointCut>,
    /// The daemons that are cut off from endpoints, as often as steps cut them.
    cut_daemons: Vec<usize>,
    next_endpoint: usize,
}

impl OperatorState {
    fn cold_until(&self, endpoint: &str) -> Option<Instant> {
        let found = self.cold.iter().find(|(id, _)| id == endpoint);
        found.map(|(_, until)| *until)
    }
}

/// All processes and stand-ins of one run.
#[derive(Debug)]
pub struct Fleet {
    binary: PathBuf,
    folder: RunFolder,
    run: u16,
    limits: RunLimits,
    store: Store,
    store_proxies: Vec<FaultProxy>,
    slots: Vec<Mutex<EndpointSlot>>,
    /// Endpoints that were delisted; their proxies still carry streams.
    removed: Mutex<Vec<(Engine, FaultProxy)>>,
    daemons: Vec<Mutex<Option<DaemonProcess>>>,
    incarnations: Vec<AtomicU64>,
    operator: Mutex<OperatorState>,
}

fn lock<T>(held: &Mutex<T>) -> MutexGuard<'_, T> {
    held.lock().expect("no step panics while it holds a lock")
}

impl Fleet {
    /// Starts all stand-ins and daemons and waits until every daemon is ready.
    ///
    /// # Errors
    ///
    /// Fails when something can't be started or a daemon is not ready in time.
    pub fn start(binary: &Path, run: u16, limits: RunLimits) -> eyre::Result<Self> {
        let store = Store::start();
        let slots = (0..ENGINE_COUNT + PLAIN_ENDPOINT_COUNT).map(|index| {
            let service = if index < ENGINE_COUNT { "llm" } else { "desk" };
            let (engine, proxy) = start_endpoint(&format!("i-{service}-{index}"))?;
            let slot = EndpointSlot {
                service,
                engine,
                proxy,
            };
            store.put(&entry_key(&slot.engine), &slot.entry());
            Ok(Mutex::new(slot))
        });
        let slots = slots.collect::<eyre::Result<_>>()?;
        let proxies = (0..DAEMON_COUNT).map(|_| FaultProxy::start_on_loopback(store.address));
        let fleet = Self {
            binary: binary.to_owned(),
            folder: RunFolder::create(&format!("soak-{run}"))?,
            run,
            limits,
            store_proxies: proxies.collect::<eyre::Result<_>>()?,
            store,
            slots,
            removed: Mutex::default(),
            daemons: (0..DAEMON_COUNT).map(|_| Mutex::new(None)).collect(),
            incarnations: (0..DAEMON_COUNT).map(|_| AtomicU64::new(0)).collect(),
            operator: Mutex::default(),
        };
        fleet.change_configuration(false);
        for daemon in 0..DAEMON_COUNT {
            *lock(&fleet.daemons[daemon]) = Some(fleet.start_daemon(daemon)?);
        }
        for daemon in 0..DAEMON_COUNT {
            fleet.wait_until_ready(daemon)?;
        }
        Ok(fleet)
    }

    /// Returns a daemon's address for callers.
    pub fn callers_address(&self, daemon: usize) -> SocketAddr {
        self.address(daemon, CALLERS_PORT)
    }

    /// Returns the incarnation of a daemon, which increases with each start.
    pub fn incarnation(&self, daemon: usize) -> u64 {
        self.incarnations[daemon].load(Ordering::Acquire)
    }

    /// Returns the limits of the daemons.
    pub fn limits(&self) -> RunLimits {
        self.limits
    }

    /// Returns the newest generation of the configuration.
    pub fn generation(&self) -> u64 {
        lock(&self.operator).generation
    }

    fn ip(&self, daemon: usize) -> Ipv4Addr {
        let number = u8::try_from(daemon).expect("few daemons");
        loopback_address(self.run, number)
    }

    fn address(&self, daemon: usize, port: u16) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(self.ip(daemon)), port)
    }

    fn start_daemon(&self, daemon: usize) -> eyre::Result<DaemonProcess> {
        let name = format!("edge-{daemon}");
        let file = self.folder.path().join(format!("{name}.ini"));
        self.incarnations[daemon].fetch_add(1, Ordering::AcqRel);
        std::fs::write(&file, self.settings(&name, daemon)).wrap_err("writing settings")?;
        DaemonProcess::start_with(&self.binary, &name, &file, &["--boundary", "kinrin"])
    }

    fn settings(&self, name: &str, daemon: usize) -> String {
        let seeds: Vec<String> = (0..3)
            .map(|seed| self.address(seed, PEERS_PORT).to_string())
            .collect();
        let is_first_start = self.incarnations[daemon].load(Ordering::Acquire) <= 1;
        format!(
            "[gateway]\nname = {name}\nzone = {ZONE}\nconnections_max = 900\n\
             first_start = {is_first_start}\n\n\
             [addresses]\ncallers = {}\nreadiness = {}\npeers = {}\nhop = {}\n\
             outgoing = {}\n\n\
             [store]\naddresses = {}\n\n[members]\nseeds = {}\n\n\
             [regions]\nzones = {ZONE}\nregions = hkd\n\n\
             [bounds]\nretry_ratio = 0.2\nretry_window_ms = 10s\n\
             retry_allowance = {RETRY_ALLOWANCE}\ncold_factor = 1.5\ncold_allowance = 5\n\
             load_factor = 2\ndrain_ms = {}ms\nshutdown_grace_ms = {}s\ncache_reuse_ms = 10s\n",
            self.address(daemon, CALLERS_PORT),
            self.address(daemon, READINESS_PORT),
            self.address(daemon, PEERS_PORT),
            self.address(daemon, HOP_PORT),
            self.address(daemon, 0),
            self.store_proxies[daemon].address(),
            seeds.join(", "),
            DRAIN_TIME.as_millis(),
            self.limits.shutdown_grace_s,
        )
    }

    /// Waits until a daemon is ready, or another step has replaced it.
    fn wait_until_ready(&self, daemon: usize) -> eyre::Result<()> {
        let address = self.address(daemon, READINESS_PORT);
        let incarnation = self.incarnation(daemon);
        let until = Instant::now() + READY_TIMEOUT;
        while Instant::now() < until {
            let response = TestRequest::new("GET", "/readyz").try_run(address);
            let is_ready = response.is_ok_and(|response| response.status() == 200);
            if is_ready || self.incarnation(daemon) != incarnation {
                return Ok(());
            }
            std::thread::sleep(READY_POLL_INTERVAL);
        }
        Err(eyre!(
            "daemon {daemon} is not ready after {READY_TIMEOUT:?}"
        ))
    }

    /// Waits until a daemon listens; from then on it handles signals.
    ///
    /// An earlier signal would terminate the process.
    fn wait_until_listening(&self, daemon: usize) -> eyre::Result<()> {
        let address = self.address(daemon, READINESS_PORT);
        let until = Instant::now() + READY_TIMEOUT;
        while std::net::TcpStream::connect(address).is_err() {
            ensure!(Instant::now() < until, "edge-{daemon} does not listen");
            std::thread::sleep(READY_POLL_INTERVAL);
        }
        Ok(())
    }

    /// Executes a step and waits until it ends.
    ///
    /// # Errors
    ///
    /// Fails when a process can't be started or signalled, or does not exit as expected.
    pub fn execute_step(&self, step: &Step) -> eyre::Result<()> {
        let daemon = step.target % DAEMON_COUNT;
        let wait = || std::thread::sleep(step.duration());
        match step.kind {
            StepKind::TerminateDaemon => return self.replace_daemon(daemon, |_| Ok(())),
            StepKind::TerminateDaemonTwice => {
                return self.replace_daemon(daemon, |process| {
                    signal_unless_exited(process, step.duration(), DaemonProcess::terminate)
                });
            }
            StepKind::TerminateAndReloadDaemon => {
                return self.replace_daemon(daemon, |process| {
                    signal_unless_exited(process, step.duration(), DaemonProcess::reload)
                });
            }
            StepKind::ReloadDaemon => {
                if let Some(process) = &*lock(&self.daemons[daemon]) {
                    self.wait_until_listening(daemon)?;
                    process.reload()?;
                }
            }
            StepKind::KillDaemon => return self.kill_daemons(&[daemon], step.duration()),
            StepKind::KillAll => {
                let all: Vec<usize> = (0..DAEMON_COUNT).collect();
                return self.kill_daemons(&all, step.duration());
            }
            StepKind::FreezeDaemon => {
                let held = lock(&self.daemons[daemon]);
                if let Some(process) = &*held {
                    process.freeze()?;
                    wait();
                    process.resume()?;
                }
            }
            StepKind::ChangeConfiguration => self.change_configuration(false),
            StepKind::RevokeKey => self.change_configuration(true),
            StepKind::DrainEndpoint => self.drain_endpoint(step.target % self.slots.len()),
            StepKind::AddColdEndpoint => self.add_cold_engine(step.target % ENGINE_COUNT),
            StepKind::StoreRefuses => self.with_store_mode(StoreMode::Refusing, wait),
            StepKind::StoreUnresponsive => self.with_store_mode(StoreMode::Silent, wait),
            StepKind::StoreHistoryLost => self.store.drop_history(),
            StepKind::PartitionFromStore => {
                let proxy = &self.store_proxies[daemon];
                proxy.apply(Fault::BlackHole);
                wait();
                proxy.apply(Fault::Heal);
                proxy.apply(Fault::Reset);
            }
            StepKind::ResetEndpoint => self.inject_repeatedly(step, Fault::Reset),
            StepKind::SilenceEndpoint => self.inject_repeatedly(step, Fault::SilentDrop),
            StepKind::DelayEndpoint => self.inject_repeatedly(
                step,
                Fault::Delay {
                    ms: ENDPOINT_DELAY_MS,
                },
            ),
            StepKind::EndpointErrors => self.with_behaviour(step, Behaviour::Error(500)),
            StepKind::EndpointDropsResponses => self.with_behaviour(step, Behaviour::ResetAfterRun),
            StepKind::EndpointTruncates => self.with_behaviour(step, Behaviour::Truncated),
            StepKind::EndpointMixesResponses => {
                self.with_behaviour(step, Behaviour::WrongRequestId)
            }
            StepKind::EndpointFull => self.with_behaviour(step, Behaviour::Full),
            StepKind::EngineUnframed => {
                self.with_behaviour(&engine_step(step), Behaviour::Unframed);
            }
            StepKind::EngineUnframedTruncates => {
                self.with_behaviour(&engine_step(step), Behaviour::UnframedTruncated);
            }
            StepKind::EngineCrash => {
                lock(&self.slots[step.target % ENGINE_COUNT]).engine.crash();
            }
            StepKind::BadPrompts => self.send_bad_prompts(step),
            StepKind::LimitRate => self.limit_rate(step),
            StepKind::BadRequests => {
                self.send_bad_requests(step, |_| TestRequest::new("GET", BAD_PATH));
            }
            StepKind::EndpointLeaves => self.leave(step.target % self.slots.len()),
            StepKind::EndpointPauses => self.pause_endpoint(step),
            StepKind::RestoreStore => self.restore_store(step),
            StepKind::CutFromEndpoints => return self.cut_from_endpoints(daemon, step),
        }
        Ok(())
    }

    /// Cuts a daemon off from all endpoints for a time.
    fn cut_from_endpoints(&self, daemon: usize, step: &Step) -> eyre::Result<()> {
        lock(&self.operator).cut_daemons.push(daemon);
        self.apply_cuts()?;
        let from = Instant::now();
        std::thread::sleep(step.duration());
        let until = Instant::now();
        {
            let mut operator = lock(&self.operator);
            let cut = EndpointCut {
                daemon,
                from,
                until,
            };
            operator.endpoint_cuts.push(cut);
            let index = operator.cut_daemons.iter().position(|it| *it == daemon);
            operator
                .cut_daemons
                .swap_remove(index.expect("the daemon was added above"));
        }
        self.apply_cuts()
    }

    /// Lets the proxies of all endpoints drop what comes from the daemons that are cut off.
    fn apply_cuts(&self) -> eyre::Result<()> {
        for slot in &self.slots {
            self.apply_cuts_to(&lock(slot).proxy)?;
        }
        for (_, proxy) in lock(&self.removed).iter() {
            self.apply_cuts_to(proxy)?;
        }
        Ok(())
    }

    fn apply_cuts_to(&self, proxy: &FaultProxy) -> eyre::Result<()> {
        let cut: BTreeSet<usize> = lock(&self.operator).cut_daemons.iter().copied().collect();
        let sources: Vec<Ipv4Addr> = cut.into_iter().map(|it| self.ip(it)).collect();
        proxy.cut_off(&sources)
    }

    /// Shuts a daemon down and starts a replacement.
    ///
    /// No request in flight should be left, but the exit status for leftover requests is accepted.
    fn replace_daemon(
        &self,
        daemon: usize,
        during_shutdown: impl FnOnce(&mut DaemonProcess) -> eyre::Result<()>,
    ) -> eyre::Result<()> {
        let mut held = lock(&self.daemons[daemon]);
        let Some(process) = &mut *held else {
            return Ok(());
        };
        self.wait_until_listening(daemon)?;
        let terminated_at = Instant::now();
        process.terminate()?;
        during_shutdown(process)?;
        let status = process.wait_for_exit(self.limits.shutdown_grace() + EXIT_TIMEOUT)?;
        lock(&self.operator).shutdowns.push(Shutdown {
            daemon,
            terminated_at,
            exited_at: Instant::now(),
        });
        ensure!(
            status.code().is_some_and(|code| code <= 1),
            "edge-{daemon} ended with {status}"
        );
        *held = Some(self.start_daemon(daemon)?);
        drop(held);
        self.wait_until_ready(daemon)
    }

    fn kill_daemons(&self, daemons: &[usize], down: Duration) -> eyre::Result<()> {
        let mut held: Vec<_> = daemons.iter().map(|it| lock(&self.daemons[*it])).collect();
        for process in held.iter_mut().filter_map(|held| held.as_mut()) {
            process.kill()?;
        }
        std::thread::sleep(down);
        for (daemon, held) in daemons.iter().zip(&mut held) {
            **held = Some(self.start_daemon(*daemon)?);
        }
        Ok(())
    }

    fn change_configuration(&self, revokes: bool) {
        let mut operator = lock(&self.operator);
        let number = operator.generation + 1;
        let has_spare_key = operator.revoked_at.is_none() && !revokes;
        self.put_configuration(number, has_spare_key);
        let now = Instant::now();
        operator.generation = number;
        operator.generations.push((number, now));
        if !has_spare_key && operator.revoked_at.is_none() {
            operator.revoked_at = Some(now);
        }
    }

    fn put_configuration(&self, number: u64, has_spare_key: bool) {
        let configuration = generation_configuration(number, has_spare_key);
        let configuration = with_idle_timeout(configuration, self.limits.idle_timeout_ms);
        let configuration = with_stream_timeout(configuration, STREAM_TIMEOUT_MS);
        self.store.put(CONFIGURATION_KEY, &configuration);
    }

    /// Drains and delists an endpoint, and replaces it with a new one.
    fn drain_endpoint(&self, index: usize) {
        let mut slot = lock(&self.slots[index]);
        let key = entry_key(&slot.engine);
        self.store.put(&key, &draining_entry(slot.entry()));
        lock(&self.operator).withdrawals.push(Withdrawal {
            endpoint: slot.engine.id.clone(),
            at: Instant::now(),
        });
        let replacement = self.new_endpoint(slot.service);
        std::thread::sleep(DRAIN_TIME);
        self.store.delete(&key);
        self.replace_endpoint(&mut slot, replacement);
        self.store.put(&entry_key(&slot.engine), &slot.entry());
    }

    /// Lets an endpoint state that it is leaving, and replaces it with a new one.
    fn leave(&self, index: usize) {
        let mut slot = lock(&self.slots[index]);
        let departure = (slot.engine.id.clone(), Instant::now());
        lock(&self.operator).stated_departures.push(departure);
        slot.engine.set_leaving(true);
        let replacement = self.new_endpoint(slot.service);
        std::thread::sleep(2 * DRAIN_TIME);
        self.store.delete(&entry_key(&slot.engine));
        self.replace_endpoint(&mut slot, replacement);
        self.store.put(&entry_key(&slot.engine), &slot.entry());
    }

    /// Lets an endpoint refuse requests for a moment and ask for a longer pause.
    fn pause_endpoint(&self, step: &Step) {
        let slot = &self.slots[step.target % self.slots.len()];
        let engine = lock(slot).engine.clone();
        // A script goes before the behaviours of other steps.
        engine.script(&vec![Behaviour::Quiet(PAUSE_S); REFUSALS_MAX]);
        let from = Instant::now();
        std::thread::sleep(REFUSAL_TIME);
        let until = Instant::now();
        engine.script(&[]);
        lock(&self.operator).stated_pauses.push(StatedPause {
            endpoint: engine.id.clone(),
            pause: PAUSE,
            from,
            until,
        });
    }

    /// Restores the store from a copy; its writers write again what they have written since.
    fn restore_store(&self, step: &Step) {
        let copy = self.store.copy();
        std::thread::sleep(step.duration());
        self.store.restore(&copy);
        std::thread::sleep(REWRITE_TIME);
        {
            let operator = lock(&self.operator);
            self.put_configuration(operator.generation, operator.revoked_at.is_none());
        }
        for (engine, _) in lock(&self.removed).iter() {
            // The store has waited for it in vain.
            self.store.delete(&entry_key(engine));
        }
        // An endpoint that is being replaced is removed or added by that step.
        for slot in self.slots.iter().filter_map(|slot| slot.try_lock().ok()) {
            let entry = slot.entry();
            let cold_until = lock(&self.operator).cold_until(&slot.engine.id);
            let left_ms = cold_until.map_or(0, |until| {
                let left = until.saturating_duration_since(Instant::now());
                u64::try_from(left.as_millis()).expect("some seconds")
            });
            self.store
                .put(&entry_key(&slot.engine), &cold_entry(entry, left_ms));
        }
    }

    fn new_endpoint(&self, service: &str) -> (Engine, FaultProxy) {
        let number = {
            let mut operator = lock(&self.operator);
            operator.next_endpoint += 1;
            operator.next_endpoint
        };
        let endpoint = start_endpoint(&format!("i-{service}-new-{number}"));
        let endpoint = endpoint.expect("a loopback port is free");
        self.apply_cuts_to(&endpoint.1)
            .expect("the system takes packet filters");
        endpoint
    }

    fn replace_endpoint(&self, slot: &mut EndpointSlot, replacement: (Engine, FaultProxy)) {
        let engine = std::mem::replace(&mut slot.engine, replacement.0);
        let proxy = std::mem::replace(&mut slot.proxy, replacement.1);
        lock(&self.removed).push((engine, proxy));
    }

    /// Replaces an engine, which is delisted without draining, with a cold one.
    fn add_cold_engine(&self, index: usize) {
        let mut slot = lock(&self.slots[index]);
        let replacement = self.new_endpoint(slot.service);
        lock(&self.operator)
            .cold
            .push((replacement.0.id.clone(), Instant::now() + COLD_TIME));
        self.store.delete(&entry_key(&slot.engine));
        self.replace_endpoint(&mut slot, replacement);
        let cold_ms = u64::try_from(COLD_TIME.as_millis()).expect("some seconds");
        let entry = cold_entry(slot.entry(), cold_ms);
        self.store.put(&entry_key(&slot.engine), &entry);
    }

    fn with_store_mode(&self, mode: StoreMode, wait: impl FnOnce()) {
        self.store.set_mode(mode);
        wait();
        self.store.set_mode(StoreMode::Up);
    }

    /// Injects the fault repeatedly, so that it hits some connections while they carry a request.
    fn inject_repeatedly(&self, step: &Step, fault: Fault) {
        let slot = &self.slots[step.target % self.slots.len()];
        let until = Instant::now() + step.duration();
        while Instant::now() < until {
            lock(slot).proxy.apply(fault);
            std::thread::sleep(FAULT_INTERVAL);
        }
        lock(slot).proxy.apply(Fault::Heal);
    }

    fn with_behaviour(&self, step: &Step, behaviour: Behaviour) {
        let slot = &self.slots[step.target % self.slots.len()];
        let engine = lock(slot).engine.clone();
        engine.set_default_behaviour(behaviour);
        std::thread::sleep(step.duration());
        engine.set_default_behaviour(NORMAL_BEHAVIOUR);
    }

    /// Lets an endpoint state a rate limit, unless it does already.
    fn limit_rate(&self, step: &Step) {
        let slot = &self.slots[step.target % self.slots.len()];
        let engine = lock(slot).engine.clone();
        let rate_per_s = STATED_RATES_PER_S[step.target % STATED_RATES_PER_S.len()];
        let from = Instant::now();
        let until = from + step.duration();
        {
            let limits = &mut lock(&self.operator).stated_limits;
            if limits.iter().any(|it| it.endpoint == engine.id) {
                return;
            }
            limits.push(StatedLimit {
                endpoint: engine.id.clone(),
                rate_per_s,
                from,
                until,
            });
        }
        engine.set_rate_limit(Some(&rate_per_s.to_string()));
        std::thread::sleep(step.duration());
        engine.set_rate_limit(None);
    }

    /// Sends prompts with a part under which engines crash to the daemons in turn.
    fn send_bad_prompts(&self, step: &Step) {
        self.send_bad_requests(step, |number| {
            TestRequest::new("POST", "/draft/1")
                .prompt()
                .prompt_parts(&format!("a1:300,{BAD_PART}:150,{number:x}:50"))
                .body(b"a letter")
        });
    }

    /// Sends requests that crash endpoints to the daemons in turn.
    fn send_bad_requests(&self, step: &Step, request: impl Fn(usize) -> TestRequest) {
        let until = Instant::now() + step.duration();
        for number in step.target.. {
            if Instant::now() >= until {
                return;
            }
            // A daemon may be down; the checks count what reaches endpoints.
            let _ = request(number).try_run(self.callers_address(number % DAEMON_COUNT));
            std::thread::sleep(BAD_PROMPT_INTERVAL);
        }
    }

    /// Returns the observations of the run, including the callers' requests.
    pub fn observations(&self, started_at: Instant, requests: Vec<RequestRecord>) -> Observations {
        let operator = lock(&self.operator);
        let listed = self.slots.iter().map(|slot| lock(slot).engine.clone());
        let removed = lock(&self.removed);
        let engines = listed.chain(removed.iter().map(|(engine, _)| engine.clone()));
        Observations {
            requests,
            arrivals: engines.map(|it| (it.id.clone(), it.arrivals())).collect(),
            started_at,
            shutdowns: operator.shutdowns.clone(),
            withdrawals: operator.withdrawals.clone(),
            cold: operator.cold.clone(),
            stated_limits: operator.stated_limits.clone(),
            stated_departures: operator.stated_departures.clone(),
            stated_pauses: operator.stated_pauses.clone(),
            endpoint_cuts: operator.endpoint_cuts.clone(),
            generations: operator.generations.clone(),
            revoked_at: operator.revoked_at,
        }
    }
}

/// Returns the step with an engine as its target.
fn engine_step(step: &Step) -> Step {
    Step {
        target: step.target % ENGINE_COUNT,
        ..*step
    }
}

/// Sends a signal after the delay, unless the process has ended before.
fn signal_unless_exited(
    process: &mut DaemonProcess,
    delay: Duration,
    signal: fn(&DaemonProcess) -> eyre::Result<()>,
) -> eyre::Result<()> {
    match process.wait_for_exit(delay) {
        Ok(_) => Ok(()),
        Err(_) => signal(process),
    }
}

fn start_endpoint(id: &str) -> eyre::Result<(Engine, FaultProxy)> {
    let engine = Engine::start(id);
    engine.set_default_behaviour(NORMAL_BEHAVIOUR);
    engine.crash_on_part(BAD_PART);
    engine.crash_on_path(BAD_PATH, CRASH_AFTER);
    let proxy = FaultProxy::start_on_loopback(engine.address)?;
    Ok((engine, proxy))
}

impl EndpointSlot {
    /// Returns the endpoint's entry, with the proxy's address.
    fn entry(&self) -> serde_json::Value {
        with_address(
            engine_entry(&self.engine, self.service),
            self.proxy.address(),
        )
    }
}
