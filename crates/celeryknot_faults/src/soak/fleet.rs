//! The processes and stand-ins of one run, and what can be done to them.

use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard};
use std::time::{Duration, Instant};

use celeryknot_kinrin_standins::caller::Ask;
use celeryknot_kinrin_standins::engine::{Arrival, Behaviour, Engine};
use celeryknot_kinrin_standins::site::{
    CONFIGURATION_KEY, ZONE, at_address, cold, draining, entry, generation, key_of,
};
use celeryknot_kinrin_standins::store::{Store, StoreMode};
use celeryknot_standins::{Fault, FaultProxy};
use eyre::{WrapErr, ensure, eyre};

use super::callers::Asked;
use super::plan::{Step, StepKind};
use crate::process::{DaemonProcess, RunFolder, loopback_address};

/// Daemons of a run.
pub const DAEMONS: usize = 5;
/// Engines, and plain services' endpoints, of a run.
const ENGINES: usize = 4;
const DESKS: usize = 3;

const CALLERS_PORT: u16 = 8080;
const READINESS_PORT: u16 = 8081;
const PEERS_PORT: u16 = 7001;

/// Further sends that all daemons together may make in ten seconds besides a fifth of the requests.
pub const RETRY_ALLOWANCE: u64 = 60;
/// Time after which a leaving endpoint gets no request.
pub const DRAIN: Duration = Duration::from_millis(2_000);
/// Time after which a configuration is in force.
pub const CONFIGURATION: Duration = Duration::from_millis(2_000);
/// Requests that a cold engine may get within a second: 1.5 times its rate of 13, and 5.
pub const COLD_MAX_PER_S: usize = 24;
/// Time for which an engine that joins is cold.
const COLD: Duration = Duration::from_millis(3_000);

/// Time between two resets of an endpoint's connections.
const RESET_PERIOD: Duration = Duration::from_millis(37);
/// Delay on the way to an endpoint that is slow to reach.
const DELAY_MS: u64 = 60;
/// Grace time of a daemon that shuts down, and what it may take beyond.
const GRACE_S: u64 = 5;
const EXIT_TIME_MAX: Duration = Duration::from_secs(GRACE_S + 10);
/// Longest time until a daemon that has started is ready.
const READY_TIME_MAX: Duration = Duration::from_secs(20);
const READY_POLL: Duration = Duration::from_millis(20);

/// An endpoint with the proxy before it.
#[derive(Debug)]
struct Place {
    service: &'static str,
    engine: Engine,
    proxy: FaultProxy,
}

/// When an endpoint was withdrawn, as the store has acknowledged it.
#[derive(Debug, Clone)]
pub struct Withdrawal {
    /// The endpoint's id.
    pub endpoint: String,
    /// When.
    pub at: Instant,
}

/// All that was seen in a run.
#[derive(Debug)]
pub struct Seen {
    /// Requests as their callers saw them.
    pub asked: Vec<Asked>,
    /// Requests as each endpoint saw them, by the endpoint's id.
    pub arrivals: Vec<(String, Vec<Arrival>)>,
    /// Endpoints that were withdrawn.
    pub withdrawals: Vec<Withdrawal>,
    /// Endpoints that joined cold, with the end of that.
    pub cold: Vec<(String, Instant)>,
    /// When each generation of the configuration was acknowledged.
    pub generations: Vec<(u64, Instant)>,
    /// When the spare key was taken away.
    pub revoked_at: Option<Instant>,
}

impl Seen {
    /// Returns the requests that an endpoint saw.
    pub(crate) fn arrivals_at<'a>(
        &'a self,
        endpoint: &'a str,
    ) -> impl Iterator<Item = &'a Arrival> {
        let found = self.arrivals.iter().filter(move |(id, _)| id == endpoint);
        found.flat_map(|(_, arrivals)| arrivals)
    }
}

#[derive(Debug, Default)]
struct Operator {
    generation: u64,
    generations: Vec<(u64, Instant)>,
    revoked_at: Option<Instant>,
    withdrawals: Vec<Withdrawal>,
    cold: Vec<(String, Instant)>,
    next_endpoint: usize,
}

/// All processes and stand-ins of one run.
#[derive(Debug)]
pub struct Fleet {
    binary: PathBuf,
    folder: RunFolder,
    run: u16,
    store: Store,
    store_proxies: Vec<FaultProxy>,
    places: Vec<Mutex<Place>>,
    gone: Mutex<Vec<Engine>>,
    daemons: Vec<Mutex<Option<DaemonProcess>>>,
    lives: Vec<AtomicU64>,
    operator: Mutex<Operator>,
}

fn lock<T>(held: &Mutex<T>) -> MutexGuard<'_, T> {
    held.lock().expect("no step panics while it holds a lock")
}

impl Fleet {
    /// Starts everything, and waits until every daemon is ready.
    ///
    /// # Errors
    ///
    /// Fails when something can't be started or a daemon is not ready in time.
    pub fn start(binary: &Path, run: u16) -> eyre::Result<Self> {
        let store = Store::start();
        let places = (0..ENGINES + DESKS).map(|index| {
            let service = if index < ENGINES { "llm" } else { "desk" };
            let engine = Engine::start(&format!("i-{service}-{index}"));
            let proxy = FaultProxy::start_before(engine.address)?;
            let place = Place {
                service,
                engine,
                proxy,
            };
            store.put(&key_of(&place.engine), &place.entry());
            Ok(Mutex::new(place))
        });
        let places = places.collect::<eyre::Result<_>>()?;
        let proxies = (0..DAEMONS).map(|_| FaultProxy::start_before(store.address));
        let fleet = Self {
            binary: binary.to_owned(),
            folder: RunFolder::create(&format!("soak-{run}"))?,
            run,
            store_proxies: proxies.collect::<eyre::Result<_>>()?,
            store,
            places,
            gone: Mutex::default(),
            daemons: (0..DAEMONS).map(|_| Mutex::new(None)).collect(),
            lives: (0..DAEMONS).map(|_| AtomicU64::new(0)).collect(),
            operator: Mutex::default(),
        };
        fleet.change_configuration(false);
        for daemon in 0..DAEMONS {
            *lock(&fleet.daemons[daemon]) = Some(fleet.start_daemon(daemon)?);
        }
        for daemon in 0..DAEMONS {
            fleet.await_ready(daemon)?;
        }
        Ok(fleet)
    }

    /// Returns where callers reach a daemon.
    pub fn callers_address(&self, daemon: usize) -> SocketAddr {
        self.address(daemon, CALLERS_PORT)
    }

    /// Returns a number that rises with each start of a daemon.
    pub fn life(&self, daemon: usize) -> u64 {
        self.lives[daemon].load(Ordering::Acquire)
    }

    /// Returns the newest generation of the configuration.
    pub fn generation(&self) -> u64 {
        lock(&self.operator).generation
    }

    fn address(&self, daemon: usize, port: u16) -> SocketAddr {
        let number = u8::try_from(daemon).expect("few daemons");
        SocketAddr::new(IpAddr::V4(loopback_address(self.run, number)), port)
    }

    fn start_daemon(&self, daemon: usize) -> eyre::Result<DaemonProcess> {
        let name = format!("edge-{daemon}");
        let file = self.folder.path().join(format!("{name}.ini"));
        std::fs::write(&file, self.settings(&name, daemon)).wrap_err("writing settings")?;
        self.lives[daemon].fetch_add(1, Ordering::AcqRel);
        DaemonProcess::start_with(&self.binary, &name, &file, &["--boundary", "kinrin"])
    }

    fn settings(&self, name: &str, daemon: usize) -> String {
        let seeds: Vec<String> = (0..3)
            .map(|seed| self.address(seed, PEERS_PORT).to_string())
            .collect();
        format!(
            "[gateway]\nname = {name}\nzone = {ZONE}\nconnections_max = 900\n\n\
             [addresses]\ncallers = {}\nreadiness = {}\npeers = {}\n\n\
             [store]\naddresses = {}\n\n[members]\nseeds = {}\n\n\
             [regions]\nzones = {ZONE}\nregions = hkd\n\n\
             [bounds]\nretry_ratio = 0.2\nretry_window_ms = 10s\n\
             retry_allowance = {RETRY_ALLOWANCE}\ncold_factor = 1.5\ncold_allowance = 5\n\
             load_factor = 2\ndrain_ms = {}ms\nshutdown_grace_ms = {GRACE_S}s\ncache_reuse_ms = 10s\n",
            self.address(daemon, CALLERS_PORT),
            self.address(daemon, READINESS_PORT),
            self.address(daemon, PEERS_PORT),
            self.store_proxies[daemon].address(),
            seeds.join(", "),
            DRAIN.as_millis(),
        )
    }

    fn await_ready(&self, daemon: usize) -> eyre::Result<()> {
        let address = self.address(daemon, READINESS_PORT);
        let until = Instant::now() + READY_TIME_MAX;
        while Instant::now() < until {
            let is_listening = std::net::TcpStream::connect(address).is_ok();
            if is_listening && Ask::new("GET", "/readyz").run(address).status() == 200 {
                return Ok(());
            }
            std::thread::sleep(READY_POLL);
        }
        Err(eyre!(
            "daemon {daemon} is not ready after {READY_TIME_MAX:?}"
        ))
    }

    /// Waits until a daemon listens; from then on it takes signals.
    ///
    /// One that comes earlier ends any process.
    fn await_listening(&self, daemon: usize) -> eyre::Result<()> {
        let address = self.address(daemon, READINESS_PORT);
        let until = Instant::now() + READY_TIME_MAX;
        while std::net::TcpStream::connect(address).is_err() {
            ensure!(Instant::now() < until, "edge-{daemon} does not listen");
            std::thread::sleep(READY_POLL);
        }
        Ok(())
    }

    /// Carries out one step, to its end.
    ///
    /// # Errors
    ///
    /// Fails when a process can't be started, signalled, or does not end as it should.
    pub fn carry_out(&self, step: &Step) -> eyre::Result<()> {
        let daemon = step.target % DAEMONS;
        let wait = || std::thread::sleep(step.lasts());
        match step.kind {
            StepKind::TermDaemon => return self.replace(daemon),
            StepKind::HupDaemon => {
                if let Some(process) = &*lock(&self.daemons[daemon]) {
                    self.await_listening(daemon)?;
                    process.reload()?;
                }
            }
            StepKind::KillDaemon => return self.kill(&[daemon], step.lasts()),
            StepKind::KillAll => {
                let all: Vec<usize> = (0..DAEMONS).collect();
                return self.kill(&all, step.lasts());
            }
            StepKind::FreezeDaemon => {
                let held = lock(&self.daemons[daemon]);
                if let Some(process) = &*held {
                    process.freeze()?;
                    wait();
                    process.thaw()?;
                }
            }
            StepKind::ChangeConfiguration => self.change_configuration(false),
            StepKind::RevokeKey => self.change_configuration(true),
            StepKind::DrainEndpoint => self.drain(step.target % self.places.len()),
            StepKind::AddColdEndpoint => self.add_cold(step.target % ENGINES),
            StepKind::StoreRefuses => self.with_store(StoreMode::Refusing, wait),
            StepKind::StoreSilent => self.with_store(StoreMode::Silent, wait),
            StepKind::StoreForgets => self.store.forget_history(),
            StepKind::CutFromStore => {
                let proxy = &self.store_proxies[daemon];
                proxy.apply(Fault::BlackHole);
                wait();
                proxy.apply(Fault::Heal);
                proxy.apply(Fault::Reset);
            }
            StepKind::ResetEndpoint => self.disturb(step, Fault::Reset),
            StepKind::SilenceEndpoint => self.disturb(step, Fault::SilentDrop),
            StepKind::DelayEndpoint => self.disturb(step, Fault::Delay { ms: DELAY_MS }),
            StepKind::EndpointErrors => self.misbehave(step, Behaviour::Error(500)),
            StepKind::EndpointLosesAnswers => self.misbehave(step, Behaviour::ResetAfterRun),
            StepKind::EndpointTruncates => self.misbehave(step, Behaviour::Truncated),
            StepKind::EndpointCrosses => self.misbehave(step, Behaviour::Crossed),
            StepKind::EndpointFull => self.misbehave(step, Behaviour::Full),
        }
        Ok(())
    }

    /// Shuts a daemon down and starts it again; no request in flight may be left.
    fn replace(&self, daemon: usize) -> eyre::Result<()> {
        let mut held = lock(&self.daemons[daemon]);
        let Some(process) = &mut *held else {
            return Ok(());
        };
        self.await_listening(daemon)?;
        process.terminate()?;
        let status = process.wait_for_exit(EXIT_TIME_MAX)?;
        ensure!(
            status.code().is_some_and(|code| code <= 1),
            "edge-{daemon} ended with {status}"
        );
        *held = Some(self.start_daemon(daemon)?);
        drop(held);
        self.await_ready(daemon)
    }

    fn kill(&self, daemons: &[usize], down: Duration) -> eyre::Result<()> {
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
        let configuration = generation(number, has_spare_key);
        self.store.put(CONFIGURATION_KEY, &configuration);
        let now = Instant::now();
        operator.generation = number;
        operator.generations.push((number, now));
        if !has_spare_key && operator.revoked_at.is_none() {
            operator.revoked_at = Some(now);
        }
    }

    /// Lets an endpoint drain and leave, while another one takes its place.
    fn drain(&self, index: usize) {
        let mut place = lock(&self.places[index]);
        let key = key_of(&place.engine);
        self.store.put(&key, &draining(place.entry()));
        lock(&self.operator).withdrawals.push(Withdrawal {
            endpoint: place.engine.id.clone(),
            at: Instant::now(),
        });
        let joined = self.new_endpoint(place.service);
        std::thread::sleep(DRAIN);
        self.store.delete(&key);
        let engine = joined.0.clone();
        lock(&self.gone).push(std::mem::replace(&mut place.engine, joined.0));
        place.proxy = joined.1;
        self.store.put(&key_of(&engine), &place.entry());
    }

    fn new_endpoint(&self, service: &str) -> (Engine, FaultProxy) {
        let number = {
            let mut operator = lock(&self.operator);
            operator.next_endpoint += 1;
            operator.next_endpoint
        };
        let engine = Engine::start(&format!("i-{service}-new-{number}"));
        let proxy = FaultProxy::start_before(engine.address).expect("a loopback port is free");
        (engine, proxy)
    }

    /// Puts an engine that is cold in the place of one that leaves at once.
    fn add_cold(&self, index: usize) {
        let mut place = lock(&self.places[index]);
        let (engine, proxy) = self.new_endpoint(place.service);
        lock(&self.operator)
            .cold
            .push((engine.id.clone(), Instant::now() + COLD));
        self.store.delete(&key_of(&place.engine));
        lock(&self.gone).push(std::mem::replace(&mut place.engine, engine));
        place.proxy = proxy;
        let cold_ms = u64::try_from(COLD.as_millis()).expect("some seconds");
        let entry = cold(place.entry(), cold_ms);
        self.store.put(&key_of(&place.engine), &entry);
    }

    fn with_store(&self, mode: StoreMode, wait: impl FnOnce()) {
        self.store.set_mode(mode);
        wait();
        self.store.set_mode(StoreMode::Up);
    }

    /// Hits the way to an endpoint again and again, so that some connections carry a request then.
    fn disturb(&self, step: &Step, fault: Fault) {
        let place = &self.places[step.target % self.places.len()];
        let until = Instant::now() + step.lasts();
        while Instant::now() < until {
            lock(place).proxy.apply(fault);
            std::thread::sleep(RESET_PERIOD);
        }
        lock(place).proxy.apply(Fault::Heal);
    }

    fn misbehave(&self, step: &Step, behaviour: Behaviour) {
        let place = &self.places[step.target % self.places.len()];
        let engine = lock(place).engine.clone();
        engine.behave(behaviour);
        std::thread::sleep(step.lasts());
        engine.behave(Behaviour::Good);
    }

    /// Returns all that was seen, with what callers saw.
    pub fn seen(&self, asked: Vec<Asked>) -> Seen {
        let operator = lock(&self.operator);
        let listed = self.places.iter().map(|place| lock(place).engine.clone());
        let gone = lock(&self.gone).clone();
        let all = listed.chain(gone);
        Seen {
            asked,
            arrivals: all.map(|it| (it.id.clone(), it.arrivals())).collect(),
            withdrawals: operator.withdrawals.clone(),
            cold: operator.cold.clone(),
            generations: operator.generations.clone(),
            revoked_at: operator.revoked_at,
        }
    }
}

impl Place {
    /// Returns the endpoint's entry, which names the proxy before it.
    fn entry(&self) -> serde_json::Value {
        at_address(entry(&self.engine, self.service), self.proxy.address())
    }
}
