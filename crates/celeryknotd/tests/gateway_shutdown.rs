//! Signals that reach a gateway's process during its shutdown.

#![allow(
    clippy::unwrap_used,
    reason = "tests may unwrap, in their helper functions too"
)]

use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::time::Duration;

use celeryknot_faults::process::{DaemonProcess, RunFolder, loopback_address};
use celeryknot_kinrin_standins::caller::TestRequest;
use celeryknot_kinrin_standins::engine::{Behaviour, Engine};
use celeryknot_kinrin_standins::site::{
    CONFIGURATION_KEY, ZONE, configuration, engine_entry, entry_key,
};
use celeryknot_kinrin_standins::store::Store;
use celeryknot_kinrin_standins::wait_until;

/// Number of the first run; the runs of other test files have other numbers.
const FIRST_RUN_NUMBER: u16 = 1_900;

const CALLERS_PORT: u16 = 8080;
const READINESS_PORT: u16 = 8081;
const PEERS_PORT: u16 = 7001;

/// Far below the changed grace time of a minute.
const EXIT_TIMEOUT: Duration = Duration::from_secs(15);

/// What happens during the shutdown.
#[derive(Debug, Clone, Copy)]
enum Event {
    Terminate,
    Reload,
    ChangeGrace(&'static str),
}

struct Case {
    name: &'static str,
    events: &'static [Event],
}

const CASES: [Case; 5] = [
    Case {
        name: "nothing",
        events: &[],
    },
    Case {
        name: "second SIGTERM",
        events: &[Event::Terminate, Event::Terminate],
    },
    Case {
        name: "SIGHUP",
        events: &[Event::Reload, Event::Terminate, Event::Reload],
    },
    Case {
        name: "SIGHUP with a longer grace time",
        events: &[Event::ChangeGrace("60s"), Event::Reload],
    },
    Case {
        name: "SIGHUP with a shorter grace time",
        events: &[Event::ChangeGrace("500ms"), Event::Reload],
    },
];

/// A gateway's process with its stand-ins.
struct Site {
    process: DaemonProcess,
    engine: Engine,
    desk: Engine,
    store: Store,
    settings_file: PathBuf,
    run: u16,
    _folder: RunFolder,
}

fn address(run: u16, port: u16) -> SocketAddr {
    SocketAddr::new(IpAddr::V4(loopback_address(run, 0)), port)
}

fn settings(run: u16, store: SocketAddr, grace: &str) -> String {
    format!(
        "[gateway]\nname = edge-1\nzone = {ZONE}\nconnections_max = 900\n\n\
         [addresses]\ncallers = {}\nreadiness = {}\npeers = {}\n\n\
         [store]\naddresses = {store}\n\n[regions]\nzones = {ZONE}\nregions = hkd\n\n\
         [bounds]\nshutdown_grace_ms = {grace}\n",
        address(run, CALLERS_PORT),
        address(run, READINESS_PORT),
        address(run, PEERS_PORT),
    )
}

impl Site {
    fn start(run: u16) -> Self {
        let (store, engine, desk) = (
            Store::start(),
            Engine::start("i-llm"),
            Engine::start("i-desk"),
        );
        store.put(&entry_key(&engine), &engine_entry(&engine, "llm"));
        store.put(&entry_key(&desk), &engine_entry(&desk, "desk"));
        let mut long_timeouts = configuration(7);
        for route in long_timeouts["routes"].as_array_mut().unwrap() {
            route["timeoutMs"] = 60_000.into();
        }
        store.put(CONFIGURATION_KEY, &long_timeouts);
        let folder = RunFolder::create(&format!("gateway-shutdown-{run}")).unwrap();
        let settings_file = folder.path().join("edge-1.ini");
        std::fs::write(&settings_file, settings(run, store.address, "5s")).unwrap();
        let binary = Path::new(env!("CARGO_BIN_EXE_celeryknotd"));
        let arguments = ["--boundary", "kinrin"];
        let process =
            DaemonProcess::start_with(binary, "edge-1", &settings_file, &arguments).unwrap();
        let readiness = address(run, READINESS_PORT);
        wait_until("the daemon to be ready", || {
            std::net::TcpStream::connect(readiness).is_ok()
                && TestRequest::new("GET", "/readyz").run(readiness).status() == 200
        });
        Self {
            process,
            engine,
            desk,
            store,
            settings_file,
            run,
            _folder: folder,
        }
    }

    fn apply(&self, event: Event) {
        match event {
            Event::Terminate => self.process.terminate().unwrap(),
            Event::Reload => self.process.reload().unwrap(),
            Event::ChangeGrace(grace) => {
                let text = settings(self.run, self.store.address, grace);
                std::fs::write(&self.settings_file, text).unwrap();
            }
        }
    }
}

fn check(run: u16, case: &Case) {
    let mut site = Site::start(run);
    site.engine
        .set_default_behaviour(Behaviour::SlowStream(Duration::from_millis(450)));
    let callers = address(run, CALLERS_PORT);
    let chat = TestRequest::new("POST", "/chat/1").prompt();
    let stream = std::thread::spawn(move || chat.run(callers));
    wait_until("the stream at the engine", || site.engine.runs() == 1);
    site.desk.script(&[Behaviour::NoResponse]);
    let unanswered = TestRequest::new("POST", "/book/1").with("Deadline-Ms", "60000");
    let unanswered = std::thread::spawn(move || unanswered.body(b"x").run(callers));
    wait_until("the booking at the desk", || site.desk.runs() == 1);
    site.process.terminate().unwrap();
    let readiness = address(run, READINESS_PORT);
    wait_until("the start of the shutdown", || {
        TestRequest::new("GET", "/readyz").run(readiness).status() == 503
    });
    for event in case.events {
        site.apply(*event);
        // Signals of one kind that are pending together arrive once.
        std::thread::sleep(Duration::from_millis(100));
    }
    let book = TestRequest::new("POST", "/book/1").with("Deadline-Ms", "600");
    let book = book.body(b"x").run(callers);
    assert_eq!(book.status(), 200, "{}: a request that fits", case.name);
    let stream = stream.join().unwrap();
    assert!(stream.is_complete, "{}: a stream that runs", case.name);
    let status = site.process.wait_for_exit(EXIT_TIMEOUT).unwrap();
    assert_eq!(status.code(), Some(0), "{}", case.name);
    let unanswered = unanswered.join().unwrap();
    assert_eq!(unanswered.status(), 504, "{}", case.name);
    assert_eq!(site.desk.runs(), 2, "{}", case.name);
}

#[test]
fn signals_during_a_shutdown_neither_move_its_end_nor_break_requests() {
    let runs: Vec<_> = (FIRST_RUN_NUMBER..)
        .zip(CASES)
        .map(|(run, case)| std::thread::spawn(move || check(run, &case)))
        .collect();
    let failures: Vec<_> = runs
        .into_iter()
        .filter_map(|run| run.join().err())
        .collect();
    assert!(failures.is_empty(), "{} cases failed", failures.len());
}
