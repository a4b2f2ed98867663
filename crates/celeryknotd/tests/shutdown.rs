//! A graceful shutdown cuts no request.

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
use live::{CUSTOMER, LiveFleet, MODEL_SERVICE, PLAIN_SERVICE, await_true};
use smol::net::TcpStream;
use smol_hyper::rt::FuturesIo;

const DAEMONS: usize = 3;

/// Time between two looks of the balancer.
const BALANCER_PERIOD: Duration = Duration::from_millis(100);

/// What callers know and count.
#[derive(Default)]
struct Load {
    ready: Mutex<Vec<SocketAddr>>,
    is_over: AtomicBool,
    done: AtomicU64,
    failures: Mutex<Vec<String>>,
}

impl Load {
    fn pick(&self, turn: usize) -> SocketAddr {
        let ready = self.ready.lock().unwrap();
        ready[turn % ready.len()]
    }

    fn note(&self, what: &str, result: Result<(), String>) {
        match result {
            Ok(()) => {
                self.done.fetch_add(1, Ordering::SeqCst);
            }
            Err(reason) => self
                .failures
                .lock()
                .unwrap()
                .push(format!("{what}: {reason}")),
        }
    }

    fn goes_on(&self) -> bool {
        !self.is_over.load(Ordering::SeqCst)
    }
}

fn target(address: SocketAddr, service: &str) -> CallTarget {
    CallTarget {
        address,
        prefix: format!("/{service}"),
        customer: CUSTOMER.to_owned(),
    }
}

fn result_of<T: std::fmt::Debug>(outcome: Outcome<T>) -> Result<(), String> {
    match outcome {
        Outcome::Completed(_) => Ok(()),
        Outcome::Refused(_)
        | Outcome::Truncated
        | Outcome::Aborted
        | Outcome::CrossDelivered
        | Outcome::Lost(_) => Err(format!("{outcome:?}")),
    }
}

/// Asks for streams, reads and bookings over HTTP/1.1 connections that are kept.
async fn call_http1(load: &Load, index: usize) {
    let caller = Caller::new(CallerOptions::default());
    let mut turn = index;
    while load.goes_on() {
        turn += 1;
        let plain = target(load.pick(turn), PLAIN_SERVICE);
        let model = target(load.pick(turn), MODEL_SERVICE);
        let outcome = caller.read_record(&plain, "r7").await;
        load.note("read", result_of(outcome));
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
        load.note("chat", result_of(outcome));
        let booking = BookingRequest {
            slot: format!("slot-{index}-{turn}"),
            party: "household".to_owned(),
        };
        let outcome = caller.book_once(&plain, None, &booking).await;
        load.note("booking", result_of(outcome));
        smol::Timer::after(Duration::from_millis(20)).await;
    }
}

/// Asks for reads over HTTP/2 connections that are kept until the daemon ends them.
async fn call_http2(runtime: &ThreadRuntime, load: &Load) {
    let mut turn = 0;
    while load.goes_on() {
        turn += 1;
        let address = load.pick(turn);
        let stream = TcpStream::connect(address).await.unwrap();
        let executor = runtime.executor();
        let (mut sender, connection) = http2::Builder::new(executor.clone())
            .handshake(FuturesIo::new(stream))
            .await
            .unwrap();
        let connection = executor.spawn(connection);
        while load.goes_on() && sender.ready().await.is_ok() {
            let request = http::Request::get(format!("http://{address}/case-svc/records/r8"))
                .header("celeryknot-customer", CUSTOMER)
                .body(Empty::<Bytes>::new())
                .unwrap();
            let result = match sender.try_send_request(request).await {
                Ok(answer) if answer.status() == 200 => {
                    let body = answer.into_body().collect().await;
                    body.map(|_| ()).map_err(|error| error.to_string())
                }
                Ok(answer) => Err(format!("status {}", answer.status())),
                // The daemon had ended the connection before the request was sent.
                Err(error) if error.message().is_some() => break,
                Err(error) => Err(error.error().to_string()),
            };
            load.note("HTTP/2 read", result);
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

/// Lists the daemons that say that they are ready, as the platform's balancer does.
fn balance(fleet: &Mutex<Vec<(SocketAddr, SocketAddr)>>, load: &Load) {
    while load.goes_on() {
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
fn every_daemon_is_replaced_in_turn_and_nothing_fails() {
    let mut fleet = LiveFleet::start(DAEMONS, 3, 3);
    let load = Arc::new(Load::default());
    let listed = Arc::new(Mutex::new(addresses(&fleet)));
    *load.ready.lock().unwrap() = addresses(&fleet).into_iter().map(|it| it.0).collect();
    let balancer = {
        let (listed, load) = (Arc::clone(&listed), Arc::clone(&load));
        std::thread::spawn(move || balance(&listed, &load))
    };
    let callers = run_callers(&load);
    for index in 0..DAEMONS {
        let before = load.done.load(Ordering::SeqCst);
        await_true("some load", || {
            load.done.load(Ordering::SeqCst) > before + 30
        });
        let replacement = fleet.start_daemon();
        let mut old = fleet.daemons[index].replace(replacement).unwrap();
        // The platform still lists the old daemon while it shuts down.
        old.begin_shutdown();
        let report = old.wait();
        assert_eq!(report.leftover, 0, "daemon {index}");
        fleet.publish();
        fleet.await_ready();
        *listed.lock().unwrap() = addresses(&fleet);
    }
    let before = load.done.load(Ordering::SeqCst);
    await_true("some load", || {
        load.done.load(Ordering::SeqCst) > before + 30
    });
    load.is_over.store(true, Ordering::SeqCst);
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
