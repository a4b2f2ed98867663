//! The stand-in for a plain service, with non-idempotent bookings and readable records.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use async_channel::Sender;
use celeryknot_core::{DurationMs, RequestId, header};
use futures_lite::future;
use http::{HeaderMap, HeaderValue, Request, StatusCode};
use hyper::body::Incoming;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use smol::Timer;

use crate::counters::{BookingExecution, EndpointCounters};
use crate::executor::spawn;
use crate::server::{
    Aborted, Answer, Handler, Server, empty, into_answer, json, read_json, restart_after_crashes,
};
use crate::wire::{Booking, BookingRequest, EndpointMode, Load};

options! {
    /// Options of a plain service.
    pub struct ServiceOptions {
        /// Duration of a call.
        work_ms: DurationMs = DurationMs(5),
        /// Concurrency limit while warm.
        bound: u32 = 64,
        /// Duration of the cold start; 0 starts the service warm.
        cold_ms: DurationMs = DurationMs(0),
        /// Concurrency limit while cold.
        cold_bound: u32 = 2,
        /// Seeds the draws of faults.
        seed: u64 = 1,
    }
}

/// Time from a crash until the service starts again.
const RESTART_DELAY: Duration = Duration::from_millis(2_200);

/// Factor by which calls take longer while a cold service is overloaded.
const OVERLOAD_FACTOR: f64 = 8.0;

#[derive(Debug)]
struct ServiceState {
    options: ServiceOptions,
    mode: EndpointMode,
    cold_until: Option<Instant>,
    in_flight: u32,
    next_booking: u64,
    counters: EndpointCounters,
    random: SmallRng,
    /// The record whose reads crash the service.
    crash_record: Option<String>,
}

impl ServiceState {
    fn is_cold(&self) -> bool {
        self.mode.cold == Some(true) || self.cold_until.is_some_and(|until| Instant::now() < until)
    }

    fn load(&self) -> Load {
        let is_cold = self.is_cold();
        Load {
            in_flight: self.in_flight,
            queued: 0,
            cold: is_cold,
            bound: if is_cold {
                self.options.cold_bound
            } else {
                self.options.bound
            },
            rate_limit_per_s: self.mode.stated_rate_limit_per_s(),
            ..Load::default()
        }
    }

    fn set_mode(&mut self, change: EndpointMode) {
        let mode = &mut self.mode;
        mode.cold = change.cold.or(mode.cold);
        mode.slow_factor = change.slow_factor.or(mode.slow_factor);
        mode.fail_percent = change.fail_percent.or(mode.fail_percent);
        mode.silent = change.silent.or(mode.silent);
        mode.truncate_percent = change.truncate_percent.or(mode.truncate_percent);
        mode.rate_limit_per_s = change.rate_limit_per_s.or(mode.rate_limit_per_s);
        if change.cold == Some(false) {
            self.cold_until = None;
        }
    }

    fn hits_fault(&mut self, percent: Option<u32>) -> bool {
        percent.is_some_and(|percent| self.random.random_range(0..100) < percent)
    }

    fn begin_call(&mut self, request_id: RequestId) -> Duration {
        self.in_flight += 1;
        self.counters.record_request(request_id);
        self.counters.peak_in_flight = self.counters.peak_in_flight.max(self.in_flight);
        let mut slow_factor = self.mode.slow_factor.unwrap_or(1.0);
        if self.is_cold() {
            self.counters.peak_in_flight_cold =
                self.counters.peak_in_flight_cold.max(self.in_flight);
            if self.in_flight > self.options.cold_bound {
                self.counters.overwhelmed += 1;
                slow_factor *= OVERLOAD_FACTOR;
            }
        }
        self.options.work_ms.as_std().mul_f64(slow_factor.max(0.0))
    }
}

#[derive(Debug)]
struct ServiceShared {
    state: Mutex<ServiceState>,
    crash: Sender<()>,
}

/// Counts a call as in flight until dropped, even on cancellation.
struct InFlightGuard(Arc<ServiceShared>);

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.state().in_flight -= 1;
    }
}

impl ServiceShared {
    fn state(&self) -> MutexGuard<'_, ServiceState> {
        self.state
            .lock()
            .expect("no thread panics while it holds the service's state")
    }

    async fn execute(self: &Arc<Self>, headers: &HeaderMap) -> Result<InFlightGuard, StatusCode> {
        let request_id = request_id(headers);
        let (duration, guard) = {
            let mut state = self.state();
            let fail_percent = state.mode.fail_percent;
            if state.hits_fault(fail_percent) {
                return Err(StatusCode::INTERNAL_SERVER_ERROR);
            }
            (
                state.begin_call(request_id),
                InFlightGuard(Arc::clone(self)),
            )
        };
        Timer::after(duration).await;
        Ok(guard)
    }

    async fn book(
        self: &Arc<Self>,
        headers: &HeaderMap,
        body: Incoming,
    ) -> Result<Answer, StatusCode> {
        let request: BookingRequest = read_json(body).await?;
        // Recorded on arrival, so that failed and aborted calls count too.
        let booking = {
            let mut state = self.state();
            let customer = headers
                .get(header::CUSTOMER)
                .and_then(|value| value.to_str().ok())
                .unwrap_or_default()
                .to_owned();
            state.counters.bookings.push(BookingExecution {
                request: request.clone(),
                customer,
                at: Some(Instant::now()),
            });
            state.next_booking += 1;
            Booking {
                slot: request.slot,
                party: request.party,
                booking: state.next_booking,
            }
        };
        let _in_flight = self.execute(headers).await?;
        Ok(json(StatusCode::CREATED, &booking))
    }

    async fn route(self: &Arc<Self>, request: Request<Incoming>) -> Result<Answer, StatusCode> {
        let (head, body) = request.into_parts();
        let path = head.uri.path();
        match (head.method.as_str(), path) {
            ("GET", "/v1/load") => Ok(json(StatusCode::OK, &self.state().load())),
            ("POST", "/bookings") => self.book(&head.headers, body).await,
            ("GET", "/stand-in/seen") => {
                Ok(json(StatusCode::OK, &self.state().counters.snapshot()))
            }
            ("POST", "/stand-in/mode") => {
                let mode = read_json(body).await?;
                self.state().set_mode(mode);
                Ok(empty(StatusCode::NO_CONTENT))
            }
            ("GET", _) if path.starts_with("/records/") => {
                let _in_flight = self.execute(&head.headers).await?;
                let name = path.trim_start_matches("/records/");
                let crashes = self.state().crash_record.as_deref() == Some(name);
                if crashes {
                    // A full channel already holds a pending crash.
                    let _ = self.crash.try_send(());
                    return future::pending().await;
                }
                Ok(json(StatusCode::OK, &serde_json::json!({"record": name})))
            }
            _ => Err(StatusCode::NOT_FOUND),
        }
    }
}

impl Handler for ServiceShared {
    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Result<Answer, Aborted> {
        let is_control = request.uri().path().starts_with("/stand-in/");
        if is_control {
            return into_answer(self.route(request).await);
        }
        if self.state().mode.silent == Some(true) {
            return future::pending().await;
        }
        let id = request_id(request.headers());
        let mut answer = into_answer(self.route(request).await)?;
        let load = {
            let mut state = self.state();
            let percent = state.mode.truncate_percent;
            if state.hits_fault(percent) {
                return Err(Aborted);
            }
            state.load().headers()
        };
        for (name, text) in load.chain([(header::REQUEST_ID, id.to_string())]) {
            let value =
                HeaderValue::try_from(text).expect("request ids and loads are visible ASCII");
            answer.headers_mut().insert(name, value);
        }
        Ok(answer)
    }
}

fn request_id(headers: &HeaderMap) -> RequestId {
    headers
        .get(header::REQUEST_ID)
        .and_then(|value| value.to_str().ok())
        .and_then(|text| text.parse().ok())
        .unwrap_or_default()
}

/// A running plain service.
#[derive(Debug)]
pub struct Service {
    shared: Arc<ServiceShared>,
    address: SocketAddr,
    server_task: smol::Task<()>,
}

impl Service {
    /// Starts a plain service.
    ///
    /// # Examples
    ///
    /// ```
    /// use celeryknot_standins::{LOOPBACK, Service, ServiceOptions};
    ///
    /// let service = Service::start(ServiceOptions::default(), LOOPBACK)?;
    /// assert!(service.counters().bookings.is_empty());
    /// # Ok::<(), eyre::Report>(())
    /// ```
    pub fn start(options: ServiceOptions, address: SocketAddr) -> eyre::Result<Self> {
        let cold_until = (options.cold_ms.0 > 0).then(|| Instant::now() + options.cold_ms.as_std());
        let random = SmallRng::seed_from_u64(options.seed);
        let (crash, crash_signal) = async_channel::bounded(1);
        let state = ServiceState {
            options,
            mode: EndpointMode::default(),
            cold_until,
            in_flight: 0,
            next_booking: 0,
            counters: EndpointCounters::default(),
            random,
            crash_record: None,
        };
        let shared = Arc::new(ServiceShared {
            state: Mutex::new(state),
            crash,
        });
        let server = Server::start(address, Arc::clone(&shared))?;
        let address = server.address();
        let (crashed, restarted) = (Arc::clone(&shared), Arc::clone(&shared));
        let server_task = spawn(restart_after_crashes(
            server,
            crash_signal,
            RESTART_DELAY,
            move || crashed.state().counters.crashes += 1,
            move || Arc::clone(&restarted),
        ));
        Ok(Self {
            shared,
            address,
            server_task,
        })
    }

    /// Returns the listening address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the number of calls in flight.
    pub fn in_flight(&self) -> u32 {
        self.shared.state().in_flight
    }

    /// Returns the service's counters.
    pub fn counters(&self) -> EndpointCounters {
        self.shared.state().counters.snapshot()
    }

    /// Makes the service crash whenever it has worked on a read of this record.
    pub fn crash_on_record(&self, name: &str) {
        self.shared.state().crash_record = Some(name.to_owned());
    }

    /// Ends all calls, closes the connections, and refuses new ones for a time.
    pub fn crash(&self) {
        // A full channel already holds a pending crash.
        let _ = self.shared.crash.try_send(());
    }

    /// Changes the service's mode.
    pub fn set_mode(&self, mode: EndpointMode) {
        self.shared.state().set_mode(mode);
    }

    /// Stops the service and closes its connections.
    pub async fn stop(self) {
        self.server_task.cancel().await;
    }
}
