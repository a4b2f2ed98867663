//! A graceful shutdown fails no request.

#![allow(clippy::unwrap_used, reason = "a test may panic")]

mod live;

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use celeryknot_callers::executor::ThreadRuntime;
use celeryknot_standins::caller::CallTarget;
use celeryknot_standins::text::Message;
use celeryknot_standins::wire::{BookingRequest, ChatRequest};
use celeryknot_standins::{Caller, CallerOptions, Outcome};
use http_body_util::{BodyExt, Empty};
use hyper::client::conn::http2;
use live::{CUSTOMER, LiveFleet, MODEL_SERVICE, PLAIN_SERVICE, wait_until};
use smol::net::TcpStream;
use smol_hyper::rt::FuturesIo;

const DAEMON_COUNT: usize = 3;

/// Interval between the balancer's readiness checks.
const BALANCER_PERIOD: Duration = Duration::from_millis(100);

/// State shared by the callers and the balancer.
#[derive(Default)]
struct Load {
    ready: Mutex<Vec<SocketAddr>>,
    is_stopped: AtomicBool,
    completed: AtomicU64,
    failures: Mutex<Vec<String>>,
}

impl Load {
    fn pick(&self, turn: usize) -> SocketAddr {
        let ready = self.ready.lock().unwrap();
        ready[turn % ready.len()]
    }

    fn record(&self, call: &str, result: Result<(), String>) {
        match result {
            Ok(()) => {
                self.completed.fetch_add(1, Ordering::SeqCst);
            }
            Err(reason) => self
                .failures
                .lock()
                .unwrap()
                .push(format!("{call}: {reason}")),
        }
    }

    fn is_running(&self) -> bool {
        !self.is_stopped.load(Ordering::SeqCst)
    }
}

fn target(address: SocketAddr, service: &str) -> CallTarget {
    CallTarget {
        address,
        prefix: format!("/{service}"),
        customer: CUSTOMER.to_owned(),
    }
}

fn to_result<T: std::fmt::Debug>(outcome: Outcome<T>) -> Result<(), String> {
    match outcome {
        Outcome::Completed(_) => Ok(()),
        Outcome::Refused(_)
        | Outcome::Truncated
        | Outcome::Aborted
        | Outcome::CrossDelivered
        | Outcome::Lost(_) => Err(format!("{outcome:?}")),
    }
}

/// Sends streaming chats, reads and bookings over persistent HTTP/1.1 connections.
async fn call_http1(load: &Load, index: usize) {
    let caller = Caller::new(CallerOptions::default());
    let mut turn = index;
    while load.is_running() {
        turn += 1;
        let plain = target(load.pick(turn), PLAIN_SERVICE);
        let model = target(load.pick(turn), MODEL_SERVICE);
        let outcome = caller.read_record(&plain, "r7").await;
        load.record("read", to_result(outcome));
        let request = ChatRequest {
            model: "wakai-8b".to_owned(),
            messages: vec![Message {
                role: "user".to_owned(),
                content: format!("complaint {index}"),
            }],
            stream: true,
            max_tokens: Some(16),
        };
        let chat = format!("chat-{index}");
        let outcome = caller.chat(&model, &chat, None, &request).await;
        load.record("chat", to_result(outcome));
        let booking = BookingRequest {
            slot: format!("slot-{index}-{turn}"),
            party: "household".to_owned(),
        };
        let outcome = caller.book_once(&plain, None, &booking).await;
        load.record("booking", to_result(outcome));
        smol::Timer::after(Duration::from_millis(20)).await;
    }
}

/// Sends reads over HTTP/2 connections that stay open until the daemon closes them.
async fn call_http2(runtime: &ThreadRuntime, load: &Load) {
    let mut turn = 0;
    while load.is_running() {
        turn += 1;
        let address = load.pick(turn);
        let stream = TcpStream::connect(address).await.unwrap();
        let executor = runtime.executor();
        let (mut sender, connection) = http2::Builder::new(executor.clone())
            .handshake(FuturesIo::new(stream))
            .await
            .unwrap();
        let connection = executor.spawn(connection);
        while load.is_running() && sender.ready().await.is_ok() {
            let request = http::Request::get(format!("http://{address}/case-svc/records/r8"))
                .header("celeryknot-customer", CUSTOMER)
                .body(Empty::<Bytes>::new())
                .unwrap();
            let result = match sender.try_send_request(request).await {
                Ok(response) if response.status() == 200 => {
                    let body = response.into_body().collect().await;
                    body.map(|_| ()).map_err(|error| error.to_string())
                }
                Ok(response) => Err(format!("status {}", response.status())),
                // The daemon closed the connection before the request was sent.
                Err(error) if error.message().is_some() => break,
                Err(error) => Err(error.error().to_string()),
            };
            load.record("HTTP/2 read", result);
            smol::Timer::after(Duration::from_millis(10)).await;
        }
        drop(connection);
    }
}

fn run_callers(load: &Arc<Load>) -> Vec<std::thread::JoinHandle<()>> {
    let mut threads: Vec<_> = (0..3)
        .map(|index| {
            let load = Arc::clone(load);
            std::thread::spawn(move || smol::block_on(call_http1(&load, index)))
        })
        .collect();
    let load = Arc::clone(load);
    threads.push(std::thread::spawn(move || {
        let runtime = ThreadRuntime::new();
        smol::block_on(runtime.run(call_http2(&runtime, &load)));
    }));
    threads
}

/// Keeps the list of ready daemons up to date, as the platform's load balancer does.
fn run_balancer(fleet: &Mutex<Vec<(SocketAddr, SocketAddr)>>, load: &Load) {
    while load.is_running() {
        let daemons = fleet.lock().unwrap().clone();
        let ready = daemons
            .into_iter()
            .filter(|(_, operators)| {
                let health = celeryknot_operators::client::fetch(*operators, "/readyz");
                smol::block_on(health).is_ok()
            })
            .map(|(callers, _)| callers)
            .collect::<Vec<_>>();
        if !ready.is_empty() {
            *load.ready.lock().unwrap() = ready;
        }
        std::thread::sleep(BALANCER_PERIOD);
    }
}

fn addresses(fleet: &LiveFleet) -> Vec<(SocketAddr, SocketAddr)> {
    let daemons = fleet.daemons.iter().flatten();
    daemons
        .map(|daemon| {
            let settings = daemon.settings();
            (settings.callers_address, settings.operators_address)
        })
        .collect()
}

#[test]
fn rolling_replacement_of_all_daemons_fails_no_request() {
    let mut fleet = LiveFleet::start(DAEMON_COUNT, 3, 3);
    let load = Arc::new(Load::default());
    let listed = Arc::new(Mutex::new(addresses(&fleet)));
    *load.ready.lock().unwrap() = addresses(&fleet)
        .into_iter()
        .map(|address| address.0)
        .collect();
    let balancer = {
        let (listed, load) = (Arc::clone(&listed), Arc::clone(&load));
        std::thread::spawn(move || run_balancer(&listed, &load))
    };
    let callers = run_callers(&load);
    for index in 0..DAEMON_COUNT {
        let completed_before = load.completed.load(Ordering::SeqCst);
        wait_until("requests complete", || {
            load.completed.load(Ordering::SeqCst) > completed_before + 30
        });
        let replacement = fleet.start_daemon();
        let mut replaced = fleet.daemons[index].replace(replacement).unwrap();
        // The platform still lists the replaced daemon while it shuts down.
        replaced.begin_shutdown();
        let report = replaced.wait();
        assert_eq!(report.leftover, 0, "daemon {index}");
        fleet.publish();
        fleet.wait_until_ready();
        *listed.lock().unwrap() = addresses(&fleet);
    }
    let completed_before = load.completed.load(Ordering::SeqCst);
    wait_until("requests complete", || {
        load.completed.load(Ordering::SeqCst) > completed_before + 30
    });
    load.is_stopped.store(true, Ordering::SeqCst);
    for thread in callers {
        thread.join().unwrap();
    }
    balancer.join().unwrap();
    let failures = load.failures.lock().unwrap();
    assert!(
        failures.is_empty(),
        "{} failed: {failures:#?}",
        failures.len()
    );
}
