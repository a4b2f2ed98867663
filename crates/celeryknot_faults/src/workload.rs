//! The callers of one run: bookings, reads and chats, each recorded as its caller saw it.

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

use crate::history::{AskOutcome, BookingAnswer, BookingKey, HistoryEvent, Recorder};
use crate::plan::Seed;
use crate::site::{CUSTOMERS, DAEMON_COUNT, MODEL_SERVICE, PLAIN_SERVICE, Site};

const BOOKERS: u64 = 4;
const READERS: u64 = 2;
const CHATTERS: u64 = 3;

const CALL_TIMEOUT_MS: DurationMs = DurationMs(6_000);
const SUBMISSIONS_MAX: u32 = 5;
const RESUBMIT_PAUSE: Duration = Duration::from_millis(150);
const THINK_MS_MAX: u64 = 60;
/// Bookings, in a hundred, that are sent with no key at all.
const KEYLESS_PERCENT: u32 = 20;
/// Bookings with a ticket, in a hundred, that are sent through two daemons at once.
const TWIN_PERCENT: u32 = 30;
const ANSWER_TOKENS: u32 = 24;

/// Counts of what callers got, for the verdict that the run did its work.
#[derive(Debug, Default)]
pub struct Tally {
    /// Bookings whose submission began.
    pub bookings: AtomicU64,
    /// Bookings that were answered as done.
    pub bookings_done: AtomicU64,
    /// Reads and chats that began.
    pub asks: AtomicU64,
    /// Reads and chats that were answered whole.
    pub asks_whole: AtomicU64,
}

/// The running callers.
#[derive(Debug)]
pub struct Workload {
    is_stopping: Arc<AtomicBool>,
    tasks: Vec<Task<()>>,
    tally: Arc<Tally>,
}

#[derive(Debug, Clone)]
struct Visitor {
    caller: Caller,
    targets: Vec<CallTarget>,
    recorder: Arc<Recorder>,
    is_stopping: Arc<AtomicBool>,
    tally: Arc<Tally>,
    number: u64,
}

impl Workload {
    /// Starts the callers against all daemons of a site.
    pub fn start(site: &Site, recorder: &Arc<Recorder>, seed: Seed) -> Self {
        let is_stopping = Arc::new(AtomicBool::new(false));
        let tally = Arc::new(Tally::default());
        let visitor = |number: u64, service: &str| Visitor {
            caller: Caller::new(CallerOptions::default().timeout_ms(CALL_TIMEOUT_MS)),
            targets: targets(site, service, number),
            recorder: Arc::clone(recorder),
            is_stopping: Arc::clone(&is_stopping),
            tally: Arc::clone(&tally),
            number,
        };
        let rng = |number: u64| SmallRng::seed_from_u64(seed.0.wrapping_mul(1_000) + number);
        let mut tasks = Vec::new();
        for number in 0..BOOKERS {
            tasks.push(spawn(visitor(number, PLAIN_SERVICE).book_all(rng(number))));
        }
        for number in BOOKERS..BOOKERS + READERS {
            tasks.push(spawn(visitor(number, PLAIN_SERVICE).read_all(rng(number))));
        }
        for number in BOOKERS + READERS..BOOKERS + READERS + CHATTERS {
            tasks.push(spawn(visitor(number, MODEL_SERVICE).chat_all(rng(number))));
        }
        Self {
            is_stopping,
            tasks,
            tally,
        }
    }

    /// Lets every caller end what it has begun and returns the counts.
    pub async fn finish(self) -> Arc<Tally> {
        self.is_stopping.store(true, Ordering::Relaxed);
        for task in self.tasks {
            task.await;
        }
        self.tally
    }
}

fn targets(site: &Site, service: &str, number: u64) -> Vec<CallTarget> {
    let customer_count = u64::try_from(CUSTOMERS.len()).expect("few customers");
    let customer = CUSTOMERS[usize::try_from(number % customer_count).expect("few customers")];
    (0..DAEMON_COUNT)
        .map(|daemon| CallTarget {
            address: site.callers_address(daemon),
            prefix: format!("/{service}"),
            customer: customer.to_owned(),
        })
        .collect()
}

impl Visitor {
    fn is_stopping(&self) -> bool {
        self.is_stopping.load(Ordering::Relaxed)
    }

    fn any_target(&self, rng: &mut SmallRng) -> &CallTarget {
        &self.targets[rng.random_range(0..self.targets.len())]
    }

    async fn think(&self, rng: &mut SmallRng) {
        Timer::after(Duration::from_millis(rng.random_range(1..THINK_MS_MAX))).await;
    }

    async fn book_all(self, mut rng: SmallRng) {
        let mut count = 0_u64;
        while !self.is_stopping() {
            self.think(&mut rng).await;
            let request = BookingRequest {
                slot: format!("slot-{}-{count}", self.number),
                party: format!("party-{}", self.number),
            };
            count += 1;
            self.tally.bookings.fetch_add(1, Ordering::Relaxed);
            let is_done = if rng.random_range(0..100) < KEYLESS_PERCENT {
                let target = self.any_target(&mut rng).clone();
                is_done(&self.submit(&target, None, &request).await)
            } else {
                self.book_with_ticket(&request, &mut rng).await
            };
            self.tally
                .bookings_done
                .fetch_add(u64::from(is_done), Ordering::Relaxed);
        }
    }

    async fn book_with_ticket(&self, request: &BookingRequest, rng: &mut SmallRng) -> bool {
        let issuer = self.any_target(rng).clone();
        let Ok(tickets) = self.caller.tickets(&issuer, PLAIN_SERVICE, 1).await else {
            return false;
        };
        let Some(ticket) = tickets.first() else {
            return false;
        };
        let is_twin = rng.random_range(0..100) < TWIN_PERCENT;
        for submission in 0..SUBMISSIONS_MAX {
            let first = self.any_target(rng).clone();
            let second = self.any_target(rng).clone();
            let done = if submission == 0 && is_twin {
                let one = self.submit(&first, Some(ticket), request);
                let other = self.submit(&second, Some(ticket), request);
                let (one, other) = futures_lite::future::zip(one, other).await;
                is_done(&one) || is_done(&other)
            } else {
                is_done(&self.submit(&first, Some(ticket), request).await)
            };
            if done {
                return true;
            }
            Timer::after(RESUBMIT_PAUSE).await;
        }
        false
    }

    async fn submit(
        &self,
        target: &CallTarget,
        ticket: Option<&str>,
        request: &BookingRequest,
    ) -> BookingAnswer {
        let called_at = self.recorder.now();
        let outcome = self.caller.book_once(target, ticket, request).await;
        let answer = booking_answer(&outcome);
        self.recorder.record(HistoryEvent::Submitted {
            key: BookingKey(request.slot.clone()),
            called_at,
            returned_at: self.recorder.now(),
            answer: answer.clone(),
        });
        answer
    }

    async fn read_all(self, mut rng: SmallRng) {
        let mut count = 0_u64;
        while !self.is_stopping() {
            self.think(&mut rng).await;
            count += 1;
            let record = format!("record-{}-{count}", self.number);
            let target = self.any_target(&mut rng);
            let outcome = self.caller.read_record(target, &record).await;
            self.record_ask(&record, ask_outcome(&outcome));
        }
    }

    async fn chat_all(self, mut rng: SmallRng) {
        let mut count = 0_u64;
        while !self.is_stopping() {
            self.think(&mut rng).await;
            count += 1;
            let chat = format!("chat-{}-{}", self.number, count % 5);
            let request = ChatRequest {
                model: "wakai-8b".to_owned(),
                messages: vec![Message {
                    role: "user".to_owned(),
                    content: format!("question {count} of {chat}"),
                }],
                stream: rng.random_range(0..100) < 70,
                max_tokens: Some(ANSWER_TOKENS),
            };
            let target = self.any_target(&mut rng);
            let outcome = self.caller.chat(target, &chat, None, &request).await;
            self.record_ask(&format!("{chat} ({count})"), ask_outcome(&outcome));
        }
    }

    fn record_ask(&self, request: &str, outcome: AskOutcome) {
        self.tally.asks.fetch_add(1, Ordering::Relaxed);
        let is_whole = outcome == AskOutcome::Whole;
        self.tally
            .asks_whole
            .fetch_add(u64::from(is_whole), Ordering::Relaxed);
        self.recorder.record(HistoryEvent::Asked {
            request: request.to_owned(),
            outcome,
        });
    }
}

const fn is_done(answer: &BookingAnswer) -> bool {
    matches!(answer, BookingAnswer::Done { .. })
}

fn booking_answer(outcome: &Outcome<Booking>) -> BookingAnswer {
    let unknown = |code: &str| BookingAnswer::Refused {
        execution: Execution::Unknown,
        code: code.to_owned(),
    };
    match outcome {
        Outcome::Completed(booking) => BookingAnswer::Done {
            booking: booking.booking,
        },
        Outcome::Refused(refused) => BookingAnswer::Refused {
            execution: refused.execution.unwrap_or(Execution::Unknown),
            code: refused.code.clone(),
        },
        // An answer to another booking counts as one that no endpoint gave.
        Outcome::Truncated | Outcome::CrossDelivered => BookingAnswer::Done { booking: 0 },
        Outcome::Aborted => unknown("aborted"),
        Outcome::Lost(_) => unknown("no-answer"),
    }
}

fn ask_outcome<T>(outcome: &Outcome<T>) -> AskOutcome {
    match outcome {
        Outcome::Completed(_) => AskOutcome::Whole,
        // Callers see a reset, an abort or an error event as such.
        Outcome::Refused(_) | Outcome::Lost(_) | Outcome::Aborted => AskOutcome::Refused,
        Outcome::Truncated => AskOutcome::Truncated,
        Outcome::CrossDelivered => AskOutcome::CrossDelivered,
    }
}
