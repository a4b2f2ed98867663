//! Runs a planned load: each call starts at its time, whether or not earlier calls ended.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use smol::Timer;
use smol::lock::Mutex as AsyncMutex;

use super::plan::{CallKind, LoadPlan, PlannedCall};
use super::report::{BookingOutcome, LoadReport, Sample, as_ms, classify_outcome};
use crate::caller::{CallTarget, Caller, Completed, Outcome};
use crate::executor::spawn;
use crate::text::Message;
use crate::wire::{BookingRequest, ChatRequest};

/// A chat request to place.
#[derive(Debug, Clone, Copy)]
pub struct ChatCall<'a> {
    /// The customer.
    pub customer: &'a str,
    /// The chat's name.
    pub chat: &'a str,
    /// The request.
    pub request: &'a ChatRequest,
}

/// The router and the engine that a placement picked, for its own accounting.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Route {
    /// The index of the router.
    pub router: usize,
    /// The index of the engine.
    pub engine: usize,
}

/// The destination of a chat request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlacedCall {
    /// The address, and the path prefix and customer of the request.
    pub target: CallTarget,
    /// The value of the header `Celeryknot-Chat`.
    pub chat: String,
    /// The placement's own record of the request.
    pub route: Route,
}

/// Chooses the destinations of a load's calls.
pub trait Placement: Send + Sync + 'static {
    /// Places a chat request, at once or when capacity becomes free.
    fn place(&self, call: ChatCall<'_>) -> impl Future<Output = PlacedCall> + Send;

    /// Records the end of a chat request.
    fn record_end(&self, placed: &PlacedCall, outcome: &Outcome<Completed>);

    /// Returns the targets for calls of a plain service, in the order of attempts.
    fn plain_service_targets(&self, customer: &str, service: &str) -> Vec<CallTarget>;
}

/// Distributes calls to the daemons round robin, as the platform's balancer does.
#[derive(Debug)]
pub struct Balancer {
    service: String,
    state: Mutex<(usize, Vec<SocketAddr>)>,
}

impl Balancer {
    /// Builds a balancer for the daemons and one model service.
    pub fn new(service: &str, addresses: Vec<SocketAddr>) -> Self {
        Self {
            service: service.to_owned(),
            state: Mutex::new((0, addresses)),
        }
    }

    /// Replaces the addresses of the daemons.
    pub fn set_addresses(&self, addresses: Vec<SocketAddr>) {
        self.state().1 = addresses;
    }

    fn state(&self) -> MutexGuard<'_, (usize, Vec<SocketAddr>)> {
        self.state
            .lock()
            .expect("no thread panics while it holds the list")
    }

    /// Returns all addresses, starting with the next one in turn.
    fn rotate_addresses(&self) -> Vec<SocketAddr> {
        let mut state = self.state();
        let (calls, addresses) = &mut *state;
        *calls += 1;
        let start = *calls % addresses.len().max(1);
        let (before, after) = addresses.split_at(start.min(addresses.len()));
        [after, before].concat()
    }
}

impl Placement for Balancer {
    async fn place(&self, call: ChatCall<'_>) -> PlacedCall {
        PlacedCall {
            target: CallTarget {
                address: self
                    .rotate_addresses()
                    .first()
                    .copied()
                    .unwrap_or(crate::LOOPBACK),
                prefix: format!("/{}", self.service),
                customer: call.customer.to_owned(),
            },
            chat: call.chat.to_owned(),
            route: Route::default(),
        }
    }

    fn record_end(&self, _placed: &PlacedCall, _outcome: &Outcome<Completed>) {}

    fn plain_service_targets(&self, customer: &str, service: &str) -> Vec<CallTarget> {
        self.rotate_addresses()
            .into_iter()
            .map(|address| CallTarget {
                address,
                prefix: format!("/{service}"),
                customer: customer.to_owned(),
            })
            .collect()
    }
}

#[derive(Debug, Default)]
struct ChatState {
    history: Vec<Message>,
    affinity: Option<String>,
}

struct LoadRun<P> {
    plan: Arc<LoadPlan>,
    caller: Caller,
    placement: Arc<P>,
    chats: Mutex<HashMap<usize, Arc<AsyncMutex<ChatState>>>>,
    report: Mutex<LoadReport>,
    start: Instant,
}

/// Runs a load and returns the report of its callers.
pub async fn run_load<P: Placement>(
    plan: Arc<LoadPlan>,
    caller: Caller,
    placement: Arc<P>,
) -> LoadReport {
    let run = Arc::new(LoadRun {
        plan: Arc::clone(&plan),
        caller,
        placement,
        chats: Mutex::default(),
        report: Mutex::default(),
        start: Instant::now(),
    });
    let mut tasks = Vec::with_capacity(plan.calls.len());
    for call in &plan.calls {
        Timer::at(run.start + call.at).await;
        tasks.push(spawn(run_call(Arc::clone(&run), *call)));
    }
    for task in tasks {
        task.await;
    }
    let mut report = run
        .report
        .lock()
        .expect("no thread panics while it holds the report");
    std::mem::take(&mut *report)
}

async fn run_call<P: Placement>(run: Arc<LoadRun<P>>, call: PlannedCall) {
    match call.kind {
        CallKind::Chat { chat, turn } => run.chat(call, chat, turn).await,
        CallKind::Booking(number) => run.book(call, number).await,
        CallKind::Read(number) => run.read(call, number).await,
    }
}

impl<P: Placement> LoadRun<P> {
    fn report(&self) -> MutexGuard<'_, LoadReport> {
        self.report
            .lock()
            .expect("no thread panics while it holds the report")
    }

    fn customer(&self, call: PlannedCall) -> &str {
        &self.plan.options.customers[call.customer].name
    }

    async fn chat(&self, call: PlannedCall, chat: usize, turn: u32) {
        let state = {
            let mut chats = self
                .chats
                .lock()
                .expect("no thread panics while it holds the chats");
            Arc::clone(chats.entry(chat).or_default())
        };
        // Waits for the chat's previous response; the wait counts as latency.
        let mut state = state.lock().await;
        let model = &self.plan.options.model;
        let chat_plan = &self.plan.chats[chat];
        chat_plan.extend(&mut state.history, model, turn);
        let request = ChatRequest {
            model: model.clone(),
            messages: state.history.clone(),
            stream: chat_plan.is_stream,
            max_tokens: None,
        };
        let name = format!("chat-{chat}");
        let placed = self
            .placement
            .place(ChatCall {
                customer: self.customer(call),
                chat: &name,
                request: &request,
            })
            .await;
        let start_delay = self.start.elapsed().saturating_sub(call.at);
        let outcome = self
            .caller
            .chat(
                &placed.target,
                &placed.chat,
                state.affinity.as_deref(),
                &request,
            )
            .await;
        self.placement.record_end(&placed, &outcome);
        let mut first_token = None;
        if let Outcome::Completed(completed) = &outcome {
            state.affinity = completed.affinity.clone().or(state.affinity.take());
            self.report().count_tokens(completed);
            first_token = Some(start_delay + completed.first_token);
        }
        self.count(call, true, first_token, &outcome);
    }

    async fn book(&self, call: PlannedCall, number: u32) {
        let customer = self.customer(call);
        let request = BookingRequest {
            slot: format!("slot-{number}"),
            party: customer.to_owned(),
        };
        let service = &self.plan.options.plain_service;
        let targets = self.placement.plain_service_targets(customer, service);
        let outcome = self.caller.book(&targets, service, &request).await;
        let (mut end, refused, _) = classify_outcome(&outcome);
        let execution = refused.and_then(|refused| refused.execution);
        if refused.is_some() && execution != Some(celeryknot_core::Execution::NotRun) {
            end = super::report::OutcomeKind::Lost;
        }
        self.report().bookings.push(BookingOutcome {
            request,
            end,
            execution,
        });
        self.count(call, false, None, &outcome);
    }

    async fn read(&self, call: PlannedCall, number: u32) {
        let customer = self.customer(call);
        let service = &self.plan.options.plain_service;
        let targets = self.placement.plain_service_targets(customer, service);
        let Some(target) = targets.first() else {
            return;
        };
        let outcome = self
            .caller
            .read_record(target, &format!("record-{number}"))
            .await;
        self.count(call, false, None, &outcome);
    }

    fn count<T>(
        &self,
        call: PlannedCall,
        is_chat: bool,
        first_token: Option<Duration>,
        outcome: &Outcome<T>,
    ) {
        let (end, refused, reason) = classify_outcome(outcome);
        let sample = Sample {
            at_ms: as_ms(call.at),
            customer: call.customer,
            is_chat,
            end,
            first_token_ms: first_token.map(as_ms),
            whole_ms: as_ms(self.start.elapsed().saturating_sub(call.at)),
        };
        let mut report = self.report();
        report.count(sample, refused);
        if let Some(reason) = reason {
            report.count_reason(reason);
        }
    }
}
