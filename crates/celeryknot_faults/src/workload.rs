//! The callers of one run: they send bookings, reads and chats and record each outcome.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use celeryknot_core::{DurationMs, Execution};
use celeryknot_standins::caller::CallTarget;
use celeryknot_standins::executor::spawn;
use celeryknot_standins::text::Message;
use celeryknot_standins::wire::{Booking, BookingRequest, ChatRequest};
use celeryknot_standins::{Caller, CallerOptions, Outcome};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use smol::{Task, Timer};

use crate::history::{BookingKey, BookingOutcome, HistoryEvent, Recorder, RequestOutcome};
use crate::plan::Seed;
use crate::testbed::{CUSTOMERS, DAEMON_COUNT, MODEL_SERVICE, PLAIN_SERVICE, Testbed};

const BOOKING_CALLERS: u64 = 4;
const READ_CALLERS: u64 = 2;
const CHAT_CALLERS: u64 = 3;

const CALL_TIMEOUT_MS: DurationMs = DurationMs(6_000);
const SUBMISSIONS_MAX: u32 = 5;
const RESUBMIT_DELAY: Duration = Duration::from_millis(150);
const THINK_TIME_MAX_MS: u64 = 60;
/// Percentage of bookings that are sent without a ticket.
const NO_TICKET_PERCENT: u32 = 20;
/// Percentage of bookings with a ticket that are first submitted through two daemons
/// concurrently.
const CONCURRENT_PERCENT: u32 = 30;
const RESPONSE_TOKENS_MAX: u32 = 24;

/// Counts requests and successes, to check that the run produced load.
#[derive(Debug, Default)]
pub struct RequestCounts {
    /// Bookings submitted at least once.
    pub bookings: AtomicU64,
    /// Bookings confirmed as done.
    pub bookings_done: AtomicU64,
    /// Reads and chats sent.
    pub requests: AtomicU64,
    /// Reads and chats that received a complete response.
    pub requests_completed: AtomicU64,
}

/// The running callers.
#[derive(Debug)]
pub struct Workload {
    is_stopping: Arc<AtomicBool>,
    tasks: Vec<Task<()>>,
    counts: Arc<RequestCounts>,
}

#[derive(Debug, Clone)]
struct CallerTask {
    caller: Caller,
    targets: Vec<CallTarget>,
    recorder: Arc<Recorder>,
    is_stopping: Arc<AtomicBool>,
    counts: Arc<RequestCounts>,
    number: u64,
}

impl Workload {
    /// Starts callers that send requests to all daemons of a testbed.
    pub fn start(testbed: &Testbed, recorder: &Arc<Recorder>, seed: Seed) -> Self {
        let is_stopping = Arc::new(AtomicBool::new(false));
        let counts = Arc::new(RequestCounts::default());
        let caller_task = |number: u64, service: &str| CallerTask {
            caller: Caller::new(CallerOptions::default().timeout_ms(CALL_TIMEOUT_MS)),
            targets: targets(testbed, service, number),
            recorder: Arc::clone(recorder),
            is_stopping: Arc::clone(&is_stopping),
            counts: Arc::clone(&counts),
            number,
        };
        let rng = |number: u64| SmallRng::seed_from_u64(seed.0.wrapping_mul(1_000) + number);
        let mut tasks = Vec::new();
        for number in 0..BOOKING_CALLERS {
            tasks.push(spawn(
                caller_task(number, PLAIN_SERVICE).run_bookings(rng(number)),
            ));
        }
        for number in BOOKING_CALLERS..BOOKING_CALLERS + READ_CALLERS {
            tasks.push(spawn(
                caller_task(number, PLAIN_SERVICE).run_reads(rng(number)),
            ));
        }
        for number in BOOKING_CALLERS + READ_CALLERS..BOOKING_CALLERS + READ_CALLERS + CHAT_CALLERS
        {
            tasks.push(spawn(
                caller_task(number, MODEL_SERVICE).run_chats(rng(number)),
            ));
        }
        Self {
            is_stopping,
            tasks,
            counts,
        }
    }

    /// Waits until every caller has finished its current request and returns the counts.
    pub async fn finish(self) -> Arc<RequestCounts> {
        self.is_stopping.store(true, Ordering::Relaxed);
        for task in self.tasks {
            task.await;
        }
        self.counts
    }
}

fn targets(testbed: &Testbed, service: &str, number: u64) -> Vec<CallTarget> {
    let customer_count = u64::try_from(CUSTOMERS.len()).expect("few customers");
    let customer = CUSTOMERS[usize::try_from(number % customer_count).expect("few customers")];
    (0..DAEMON_COUNT)
        .map(|daemon| CallTarget {
            address: testbed.callers_address(daemon),
            prefix: format!("/{service}"),
            customer: customer.to_owned(),
        })
        .collect()
}

impl CallerTask {
    fn is_stopping(&self) -> bool {
        self.is_stopping.load(Ordering::Relaxed)
    }

    fn pick_target(&self, rng: &mut SmallRng) -> &CallTarget {
        &self.targets[rng.random_range(0..self.targets.len())]
    }

    async fn wait_think_time(&self, rng: &mut SmallRng) {
        Timer::after(Duration::from_millis(
            rng.random_range(1..THINK_TIME_MAX_MS),
        ))
        .await;
    }

    async fn run_bookings(self, mut rng: SmallRng) {
        let mut count = 0_u64;
        while !self.is_stopping() {
            self.wait_think_time(&mut rng).await;
            let request = BookingRequest {
                slot: format!("slot-{}-{count}", self.number),
                party: format!("party-{}", self.number),
            };
            count += 1;
            self.counts.bookings.fetch_add(1, Ordering::Relaxed);
            let is_done = if rng.random_range(0..100) < NO_TICKET_PERCENT {
                let target = self.pick_target(&mut rng).clone();
                is_done(&self.submit(&target, None, &request).await)
            } else {
                self.book_with_ticket(&request, &mut rng).await
            };
            self.counts
                .bookings_done
                .fetch_add(u64::from(is_done), Ordering::Relaxed);
        }
    }

    async fn book_with_ticket(&self, request: &BookingRequest, rng: &mut SmallRng) -> bool {
        let issuer = self.pick_target(rng).clone();
        let Ok(tickets) = self.caller.tickets(&issuer, PLAIN_SERVICE, 1).await else {
            return false;
        };
        let Some(ticket) = tickets.first() else {
            return false;
        };
        let is_concurrent = rng.random_range(0..100) < CONCURRENT_PERCENT;
        for submission in 0..SUBMISSIONS_MAX {
            let first = self.pick_target(rng).clone();
            let second = self.pick_target(rng).clone();
            let is_done = if submission == 0 && is_concurrent {
                let first = self.submit(&first, Some(ticket), request);
                let second = self.submit(&second, Some(ticket), request);
                let (first, second) = futures_lite::future::zip(first, second).await;
                is_done(&first) || is_done(&second)
            } else {
                is_done(&self.submit(&first, Some(ticket), request).await)
            };
            if is_done {
                return true;
            }
            Timer::after(RESUBMIT_DELAY).await;
        }
        false
    }

    async fn submit(
        &self,
        target: &CallTarget,
        ticket: Option<&str>,
        request: &BookingRequest,
    ) -> BookingOutcome {
        let called_at = self.recorder.now();
        let outcome = self.caller.book_once(target, ticket, request).await;
        let outcome = booking_outcome(&outcome);
        self.recorder.record(HistoryEvent::Submitted {
            key: BookingKey(request.slot.clone()),
            called_at,
            returned_at: self.recorder.now(),
            outcome: outcome.clone(),
        });
        outcome
    }

    async fn run_reads(self, mut rng: SmallRng) {
        let mut count = 0_u64;
        while !self.is_stopping() {
            self.wait_think_time(&mut rng).await;
            count += 1;
            let record = format!("record-{}-{count}", self.number);
            let target = self.pick_target(&mut rng);
            let outcome = self.caller.read_record(target, &record).await;
            self.record_request(&record, request_outcome(&outcome));
        }
    }

    async fn run_chats(self, mut rng: SmallRng) {
        let mut count = 0_u64;
        while !self.is_stopping() {
            self.wait_think_time(&mut rng).await;
            count += 1;
            let chat = format!("chat-{}-{}", self.number, count % 5);
            let request = ChatRequest {
                model: "wakai-8b".to_owned(),
                messages: vec![Message {
                    role: "user".to_owned(),
                    content: format!("question {count} of {chat}"),
                }],
                stream: rng.random_range(0..100) < 70,
                max_tokens: Some(RESPONSE_TOKENS_MAX),
            };
            let target = self.pick_target(&mut rng);
            let outcome = self.caller.chat(target, &chat, None, &request).await;
            self.record_request(&format!("{chat} ({count})"), request_outcome(&outcome));
        }
    }

    fn record_request(&self, request: &str, outcome: RequestOutcome) {
        self.counts.requests.fetch_add(1, Ordering::Relaxed);
        let is_complete = outcome == RequestOutcome::Complete;
        self.counts
            .requests_completed
            .fetch_add(u64::from(is_complete), Ordering::Relaxed);
        self.recorder.record(HistoryEvent::Requested {
            request: request.to_owned(),
            outcome,
        });
    }
}

const fn is_done(outcome: &BookingOutcome) -> bool {
    matches!(outcome, BookingOutcome::Done { .. })
}

fn booking_outcome(outcome: &Outcome<Booking>) -> BookingOutcome {
    let unknown = |code: &str| BookingOutcome::Refused {
        execution: Execution::Unknown,
        code: code.to_owned(),
    };
    match outcome {
        Outcome::Completed(booking) => BookingOutcome::Done {
            booking: booking.booking,
        },
        Outcome::Refused(refused) => BookingOutcome::Refused {
            execution: refused.execution.unwrap_or(Execution::Unknown),
            code: refused.code.clone(),
        },
        // No endpoint assigns the number 0, so the check finds a response to another booking.
        Outcome::Truncated | Outcome::CrossDelivered => BookingOutcome::Done { booking: 0 },
        Outcome::Aborted => unknown("aborted"),
        Outcome::Lost(_) => unknown("no-answer"),
    }
}

fn request_outcome<T>(outcome: &Outcome<T>) -> RequestOutcome {
    match outcome {
        Outcome::Completed(_) => RequestOutcome::Complete,
        // A reset, an abort or an error event is recognizable to the caller.
        Outcome::Refused(_) | Outcome::Lost(_) | Outcome::Aborted => RequestOutcome::Refused,
        Outcome::Truncated => RequestOutcome::Truncated,
        Outcome::CrossDelivered => RequestOutcome::CrossDelivered,
    }
}
