//! Engines in processes of their own that end on a part of a prompt, in front of them daemons in
//! processes of their own.

#![allow(
    clippy::unwrap_used,
    reason = "tests may unwrap, in their helper functions too"
)]

use std::net::{IpAddr, SocketAddr};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use celeryknot_faults::process::{DaemonProcess, RunFolder, loopback_address};
use celeryknot_kinrin_standins::caller::TestRequest;
use celeryknot_kinrin_standins::engine::{Behaviour, CrashManner, Engine};
use celeryknot_kinrin_standins::site::{
    CONFIGURATION_KEY, ZONE, configuration, entry_key_of, entry_of,
};
use celeryknot_kinrin_standins::store::Store;
use celeryknot_kinrin_standins::wait_until;

/// Number of the first run; the runs of other test files have other numbers.
const FIRST_RUN_NUMBER: u16 = 2_400;

const CALLERS_PORT: u16 = 8080;
const READINESS_PORT: u16 = 8081;
const PEERS_PORT: u16 = 7001;
const HOP_PORT: u16 = 7002;
const ENGINE_PORT: u16 = 9000;

/// Variable that makes [`engine_process`] run one engine: its id, address and the number of a case.
const ENGINE_VARIABLE: &str = "CELERYKNOT_TEST_ENGINE";

const DAEMONS: u8 = 4;
const ENGINES: u8 = 8;

/// Time from the end of an engine until it is started again, under another id.
const RESTART_DELAY: Duration = Duration::from_millis(2_200);

/// The part on which engines end, and the first part of all prompts.
const BAD_PART: &str = "bad";
const FIRST_PART: &str = "f1";

/// Later parts that sound prompts share.
const LEAVES: usize = 6;

/// The platform's bound: requests with the part that may reach engines later than this time after
/// the fifth crash.
const CRASHES: usize = 5;
const LATE_MAX: usize = 3;
const CONTACT: Duration = Duration::from_millis(3_000);

const SOUND_INTERVAL: Duration = Duration::from_millis(40);
const BAD_INTERVAL: Duration = Duration::from_millis(500);

/// Time without bad requests, and the time for which they come afterwards.
const CALM_TIME: Duration = Duration::from_secs(5);
const BAD_TIME: Duration = Duration::from_secs(18);

/// Share of the rate of first attempts served in calm that sound requests get beside bad ones.
const SERVED_SHARE_MIN: f64 = 0.5;

struct Case {
    name: &'static str,
    manner: CrashManner,
    /// The path of the bad requests; chats may not be sent again, drafts may.
    path: &'static str,
}

const CASES: [Case; 8] = [
    Case {
        name: "after the head",
        manner: CrashManner::AfterHead,
        path: "/chat/1",
    },
    Case {
        name: "after the head, resumable",
        manner: CrashManner::AfterHead,
        path: "/draft/1",
    },
    Case {
        name: "after a head without a length or chunks",
        manner: CrashManner::AfterUnframedHead,
        path: "/chat/1",
    },
    Case {
        name: "before the head",
        manner: CrashManner::BeforeHead,
        path: "/chat/1",
    },
    Case {
        name: "before the head, resumable",
        manner: CrashManner::BeforeHead,
        path: "/draft/1",
    },
    Case {
        name: "after three events",
        manner: CrashManner::AfterEvents(3),
        path: "/chat/1",
    },
    Case {
        name: "connections close before the address does",
        manner: CrashManner::AfterHeadLingering(Duration::from_millis(150)),
        path: "/chat/1",
    },
    Case {
        name: "after the attempt was replaced for its silence",
        manner: CrashManner::BeforeHeadAfter(Duration::from_millis(450)),
        path: "/draft/1",
    },
];

/// The engine of a supervisor's child process; without [`ENGINE_VARIABLE`], it does nothing.
#[test]
fn engine_process() {
    let Ok(text) = std::env::var(ENGINE_VARIABLE) else {
        return;
    };
    let mut words = text.split(' ');
    let (id, address, case) = (words.next(), words.next(), words.next());
    let engine = Engine::start_exiting(id.unwrap(), address.unwrap().parse().unwrap());
    let case: usize = case.unwrap().parse().unwrap();
    engine.set_crash_manner(CASES[case].manner);
    engine.crash_on_part(BAD_PART);
    engine.set_default_behaviour(Behaviour::SlowStream(Duration::from_millis(20)));
    loop {
        std::thread::park();
    }
}

fn start_engine(id: &str, address: SocketAddr, case: usize) -> Child {
    Command::new(std::env::current_exe().unwrap())
        .args(["--exact", "engine_process", "--nocapture"])
        .env(ENGINE_VARIABLE, format!("{id} {address} {case}"))
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(Stdio::null())
        .spawn()
        .unwrap()
}

/// Engines that are started again after each of their ends.
struct Engines {
    ends: Arc<Mutex<Vec<Instant>>>,
    is_stopped: Arc<AtomicBool>,
    supervisors: Vec<JoinHandle<()>>,
}

impl Engines {
    fn start(run: u16, case: usize, store: &Arc<Store>) -> Self {
        let (ends, is_stopped) = (Arc::default(), Arc::default());
        let supervisors = (0..ENGINES)
            .map(|number| {
                let (ends, is_stopped) = (Arc::clone(&ends), Arc::clone(&is_stopped));
                let store = Arc::clone(store);
                let ip = IpAddr::V4(loopback_address(run, DAEMONS + number));
                let address = SocketAddr::new(ip, ENGINE_PORT);
                std::thread::spawn(move || {
                    supervise(&store, number, address, case, &ends, &is_stopped);
                })
            })
            .collect();
        Self {
            ends,
            is_stopped,
            supervisors,
        }
    }

    fn ends(&self) -> Vec<Instant> {
        self.ends.lock().unwrap().clone()
    }
}

impl Drop for Engines {
    fn drop(&mut self) {
        self.is_stopped.store(true, Ordering::Relaxed);
        for supervisor in self.supervisors.drain(..) {
            let _ = supervisor.join();
        }
    }
}

/// Runs an engine until the test ends, and starts it again after each of its ends.
fn supervise(
    store: &Store,
    number: u8,
    address: SocketAddr,
    case: usize,
    ends: &Mutex<Vec<Instant>>,
    is_stopped: &AtomicBool,
) {
    for start in 0.. {
        let id = format!("i-llm-{number}-{start}");
        let mut child = start_engine(&id, address, case);
        wait_until("the engine", || {
            std::net::TcpStream::connect(address).is_ok()
        });
        store.put(&entry_key_of(&id), &entry_of(address, "llm"));
        loop {
            std::thread::sleep(Duration::from_millis(2));
            if is_stopped.load(Ordering::Relaxed) {
                child.kill().unwrap();
                child.wait().unwrap();
                return;
            }
            if child.try_wait().unwrap().is_some() {
                break;
            }
        }
        ends.lock().unwrap().push(Instant::now());
        std::thread::sleep(RESTART_DELAY);
        store.delete(&entry_key_of(&id));
    }
}

struct Site {
    daemons: Vec<DaemonProcess>,
    callers: Vec<SocketAddr>,
    engines: Engines,
    _store: Arc<Store>,
    _folder: RunFolder,
}

fn daemon_address(run: u16, daemon: u8, port: u16) -> SocketAddr {
    SocketAddr::new(IpAddr::V4(loopback_address(run, daemon)), port)
}

fn settings(run: u16, daemon: u8, store: SocketAddr) -> String {
    let address = |port| daemon_address(run, daemon, port);
    format!(
        "[gateway]\nname = edge-{daemon}\nzone = {ZONE}\nconnections_max = 900\n\
         first_start = true\n\n\
         [addresses]\ncallers = {}\nreadiness = {}\npeers = {}\nhop = {}\noutgoing = {}\n\n\
         [store]\naddresses = {store}\n\n[members]\nseeds = {}\n\n\
         [regions]\nzones = {ZONE}\nregions = hkd\n",
        address(CALLERS_PORT),
        address(READINESS_PORT),
        address(PEERS_PORT),
        address(HOP_PORT),
        address(0),
        daemon_address(run, 0, PEERS_PORT),
    )
}

impl Site {
    fn start(run: u16, case: usize) -> Self {
        let store = Arc::new(Store::start());
        store.put(CONFIGURATION_KEY, &configuration(7));
        let engines = Engines::start(run, case, &store);
        let folder = RunFolder::create(&format!("crashing-engines-{run}")).unwrap();
        let binary = Path::new(env!("CARGO_BIN_EXE_celeryknotd"));
        let daemons = (0..DAEMONS).map(|daemon| {
            let file = folder.path().join(format!("edge-{daemon}.ini"));
            std::fs::write(&file, settings(run, daemon, store.address)).unwrap();
            let arguments = ["--boundary", "kinrin"];
            DaemonProcess::start_with(binary, &format!("edge-{daemon}"), &file, &arguments).unwrap()
        });
        let daemons = daemons.collect();
        for daemon in 0..DAEMONS {
            let readiness = daemon_address(run, daemon, READINESS_PORT);
            wait_until("the daemon to be ready", || {
                let response = TestRequest::new("GET", "/readyz").try_run(readiness);
                response.is_ok_and(|it| it.status() == 200)
            });
        }
        Self {
            daemons,
            callers: (0..DAEMONS)
                .map(|daemon| daemon_address(run, daemon, CALLERS_PORT))
                .collect(),
            engines,
            _store: store,
            _folder: folder,
        }
    }

    /// Sends requests at an interval to the daemons in turn; returns when each was sent, and whether
    /// it got a complete success.
    fn send_load(
        &self,
        interval: Duration,
        from: Instant,
        duration: Duration,
        request: impl Fn(usize) -> TestRequest + Sync,
    ) -> Vec<(Instant, bool)> {
        let outcomes = Mutex::new(Vec::new());
        std::thread::scope(|scope| {
            for number in 0.. {
                let due = from + interval * u32::try_from(number).unwrap();
                if due - from >= duration {
                    break;
                }
                std::thread::sleep(due.saturating_duration_since(Instant::now()));
                let address = self.callers[number % self.callers.len()];
                let (outcomes, request) = (&outcomes, &request);
                scope.spawn(move || {
                    let response = request(number).run(address);
                    let is_served = response.status() == 200 && response.is_complete;
                    outcomes.lock().unwrap().push((due, is_served));
                });
            }
        });
        outcomes.into_inner().unwrap()
    }
}

fn prompt(path: &str, leaf: &str, own: usize) -> TestRequest {
    TestRequest::new("POST", path)
        .prompt()
        .prompt_parts(&format!("{FIRST_PART}:300,{leaf}:300,{own:x}:20"))
        .body(b"x")
}

fn sound_prompt(number: usize) -> TestRequest {
    let path = ["/chat/1", "/draft/1"][number % 2];
    let leaf = format!("e{}", number % LEAVES);
    prompt(path, &leaf, 0xaa_0000 + number)
}

/// Returns the share of requests sent in a span that were served.
fn served_share(outcomes: &[(Instant, bool)], from: Instant, until: Instant) -> f64 {
    let sent = outcomes.iter().filter(|(at, _)| (from..until).contains(at));
    let served: Vec<bool> = sent.map(|(_, is_served)| *is_served).collect();
    served.iter().filter(|it| **it).count() as f64 / served.len().max(1) as f64
}

/// Plays a case; returns what broke.
fn play(run: u16, index: usize) -> Option<String> {
    let case = &CASES[index];
    let mut site = Site::start(run, index);
    let started = Instant::now();
    let bad_from = started + CALM_TIME;
    let bad_until = bad_from + BAD_TIME;
    let outcomes = std::thread::scope(|scope| {
        let bad = |number| prompt(case.path, BAD_PART, 0xbb_0000 + number);
        let site = &site;
        scope.spawn(move || site.send_load(BAD_INTERVAL, bad_from, BAD_TIME, bad));
        site.send_load(SOUND_INTERVAL, started, CALM_TIME + BAD_TIME, sound_prompt)
    });
    for daemon in &mut site.daemons {
        assert!(
            daemon.wait_for_exit(Duration::ZERO).is_err(),
            "a daemon ended"
        );
    }
    let mut ends = site.engines.ends();
    ends.sort_unstable();
    let last_counted = ends.get(CRASHES - 1).or(ends.last());
    let Some(counted_at) = last_counted.copied() else {
        return Some(format!("{}: no engine ended", case.name));
    };
    let late = ends.iter().filter(|at| **at > counted_at + CONTACT).count();
    let calm = served_share(&outcomes, started, bad_from);
    let beside = served_share(&outcomes, counted_at + 2 * CONTACT, bad_until);
    let summary = format!(
        "{}: {} engines ended, {late} of them late; served {calm:.2} in calm, {beside:.2} beside",
        case.name,
        ends.len()
    );
    println!("{summary}");
    let is_kept = late <= LATE_MAX && beside >= SERVED_SHARE_MIN * calm && calm > 0.9;
    (!is_kept).then_some(summary)
}

#[test]
fn part_on_which_engine_processes_end_reaches_few_of_them_and_sound_prompts_are_served() {
    let runs: Vec<_> = (FIRST_RUN_NUMBER..)
        .zip(0..CASES.len())
        .map(|(run, case)| std::thread::spawn(move || play(run, case)))
        .collect();
    let broken: Vec<String> = runs
        .into_iter()
        .filter_map(|run| run.join().unwrap())
        .collect();
    assert!(broken.is_empty(), "{}", broken.join("\n"));
}
