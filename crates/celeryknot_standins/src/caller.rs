//! A caller that checks that each response is complete and belongs to its request.

mod outcome;
mod stream;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use celeryknot_core::header;
use celeryknot_core::{DurationMs, Execution};
use eyre::eyre;
use futures_lite::FutureExt;
use http::{HeaderMap, Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use serde::Deserialize;
use smol::Timer;

pub use self::outcome::{Completed, Outcome, Refused};
use crate::client::{Client, UnreadAnswer};
use crate::text::AnswerText;
use crate::wire::{Booking, BookingRequest, ChatRequest, Usage};

options! {
    /// Options of a caller.
    pub struct CallerOptions {
        /// Timeout until the complete response.
        timeout_ms: DurationMs = DurationMs(30_000),
        /// Limits the attempts at a booking with a ticket.
        booking_attempts_max: u32 = 5,
        /// Delay between two attempts at a booking.
        booking_retry_delay_ms: DurationMs = DurationMs(200),
        /// Deadline to send with each request.
        deadline_ms: Option<DurationMs> = None,
        /// Urgency to send in the priority of each request.
        urgency: Option<u8> = None,
    }
}

/// A caller of the router, or of an endpoint in its place.
#[derive(Debug, Clone, Default)]
pub struct Caller {
    options: CallerOptions,
    client: Client,
}

/// The destination of a call, and the customer that it is made for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallTarget {
    /// The address of the router, or of an endpoint in its place.
    pub address: SocketAddr,
    /// The path prefix: `/<service>` for the router, empty for an endpoint.
    pub prefix: String,
    /// The customer.
    pub customer: String,
}

#[derive(Deserialize)]
struct ChatCompletion {
    choices: Vec<CompletionChoice>,
    usage: Usage,
}

#[derive(Deserialize)]
struct CompletionChoice {
    message: crate::text::Message,
}

#[derive(Deserialize)]
struct Tickets {
    tickets: Vec<String>,
}

impl Caller {
    /// Builds a caller.
    pub fn new(options: CallerOptions) -> Self {
        Self {
            options,
            client: Client::default(),
        }
    }

    /// Requests the next answer of a chat and checks it word for word.
    pub async fn chat(
        &self,
        target: &CallTarget,
        chat: &str,
        affinity: Option<&str>,
        request: &ChatRequest,
    ) -> Outcome<Completed> {
        let expected = AnswerText::new(&request.model, &request.messages, request.max_tokens);
        let body = serde_json::to_vec(request).expect("a chat request serializes to JSON");
        let mut headers = vec![(header::CHAT, chat.to_owned())];
        headers.extend(affinity.map(|value| (header::AFFINITY, value.to_owned())));
        let path = format!("{}/v1/chat/completions", target.prefix);
        let http_request = match self.request(target, Method::POST, &path, &headers, body) {
            Ok(http_request) => http_request,
            Err(error) => return Outcome::Lost(error.to_string()),
        };
        let exchange = self.exchange_chat(target.address, http_request, request.stream, expected);
        exchange.or(self.time_out()).await
    }

    async fn exchange_chat(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        is_stream: bool,
        expected: AnswerText,
    ) -> Outcome<Completed> {
        let started = Instant::now();
        let unread = match self.client.send(address, request).await {
            Ok(unread) => unread,
            Err(error) => return Outcome::Lost(format!("{error:#}")),
        };
        if unread.answer.status() != StatusCode::OK {
            return self.read_refusal(unread).await;
        }
        let (answer, address, sender) = unread.into_parts();
        let affinity = header_text(answer.headers(), header::AFFINITY);
        let outcome = if is_stream {
            stream::read(answer.into_body(), expected, started).await
        } else {
            read_completion(answer.into_body(), expected, started).await
        };
        if matches!(outcome, Outcome::Completed(_)) {
            self.client.release(address, sender);
        }
        outcome.map(|completed| Completed {
            affinity,
            ..completed
        })
    }

    /// Fetches tickets for bookings.
    pub async fn tickets(
        &self,
        target: &CallTarget,
        service: &str,
        count: u32,
    ) -> eyre::Result<Vec<String>> {
        let path = format!("/-/tickets?service={service}&count={count}");
        let request = self.request(target, Method::POST, &path, &[], Vec::new())?;
        let exchange = async {
            let unread = self.client.send(target.address, request).await?;
            let (answer, address, sender) = unread.into_parts();
            let status = answer.status();
            let body = answer.into_body().collect().await?.to_bytes();
            self.client.release(address, sender);
            if status != StatusCode::OK {
                return Err(eyre!("the request for tickets got status {status}"));
            }
            let tickets: Tickets = serde_json::from_slice(&body)?;
            Ok(tickets.tickets)
        };
        let timed_out = async {
            Timer::after(self.options.timeout_ms.as_std()).await;
            Err(eyre!("the request for tickets timed out"))
        };
        exchange.or(timed_out).await
    }

    /// Sends a booking once, with the ticket if given.
    pub async fn book_once(
        &self,
        target: &CallTarget,
        ticket: Option<&str>,
        booking: &BookingRequest,
    ) -> Outcome<Booking> {
        let body = serde_json::to_vec(booking).expect("a booking serializes to JSON");
        let headers: Vec<_> = ticket
            .map(|ticket| (header::IDEMPOTENCY_KEY, ticket.to_owned()))
            .into_iter()
            .collect();
        let path = format!("{}/bookings", target.prefix);
        let request = match self.request(target, Method::POST, &path, &headers, body) {
            Ok(request) => request,
            Err(error) => return Outcome::Lost(error.to_string()),
        };
        let exchange = async {
            let unread = match self.client.send(target.address, request).await {
                Ok(unread) => unread,
                Err(error) => return Outcome::Lost(format!("{error:#}")),
            };
            if unread.answer.status() != StatusCode::CREATED {
                return self.read_refusal(unread).await;
            }
            self.read_booking(unread, booking).await
        };
        exchange.or(self.time_out()).await
    }

    async fn read_booking(
        &self,
        unread: UnreadAnswer,
        request: &BookingRequest,
    ) -> Outcome<Booking> {
        let (answer, address, sender) = unread.into_parts();
        let Ok(body) = answer.into_body().collect().await else {
            return Outcome::Aborted;
        };
        let Ok(booking) = serde_json::from_slice::<Booking>(&body.to_bytes()) else {
            return Outcome::Truncated;
        };
        self.client.release(address, sender);
        if booking.slot != request.slot || booking.party != request.party {
            return Outcome::CrossDelivered;
        }
        Outcome::Completed(booking)
    }

    /// Retries a booking with one ticket at the targets in turn until its outcome is terminal.
    pub async fn book(
        &self,
        targets: &[CallTarget],
        service: &str,
        booking: &BookingRequest,
    ) -> Outcome<Booking> {
        let mut ticket: Option<String> = None;
        let mut last_outcome = Outcome::Lost("no attempt was made".to_owned());
        for attempt in 0..self.options.booking_attempts_max as usize {
            if attempt > 0 {
                Timer::after(self.options.booking_retry_delay_ms.as_std()).await;
            }
            let target = &targets[attempt % targets.len()];
            if ticket.is_none() {
                match self.tickets(target, service, 1).await {
                    Ok(tickets) => ticket = tickets.into_iter().next(),
                    Err(error) => {
                        last_outcome = Outcome::not_run("no-ticket", &error.to_string());
                        continue;
                    }
                }
            }
            last_outcome = self.book_once(target, ticket.as_deref(), booking).await;
            if last_outcome.is_terminal() {
                return last_outcome;
            }
        }
        last_outcome
    }

    /// Reads a record, checks the response and returns its latency.
    pub async fn read_record(&self, target: &CallTarget, name: &str) -> Outcome<Duration> {
        let path = format!("{}/records/{name}", target.prefix);
        let started = Instant::now();
        let request = match self.request(target, Method::GET, &path, &[], Vec::new()) {
            Ok(request) => request,
            Err(error) => return Outcome::Lost(error.to_string()),
        };
        let exchange = async {
            let unread = match self.client.send(target.address, request).await {
                Ok(unread) => unread,
                Err(error) => return Outcome::Lost(format!("{error:#}")),
            };
            if unread.answer.status() != StatusCode::OK {
                return self.read_refusal(unread).await;
            }
            let (answer, address, sender) = unread.into_parts();
            let Ok(body) = answer.into_body().collect().await else {
                return Outcome::Aborted;
            };
            self.client.release(address, sender);
            let expected = serde_json::json!({"record": name}).to_string();
            if body.to_bytes() != expected.as_bytes() {
                return Outcome::CrossDelivered;
            }
            Outcome::Completed(started.elapsed())
        };
        exchange.or(self.time_out()).await
    }

    async fn read_refusal<T>(&self, unread: UnreadAnswer) -> Outcome<T> {
        let (answer, address, sender) = unread.into_parts();
        let (head, body) = answer.into_parts();
        let Ok(body) = body.collect().await else {
            return Outcome::Aborted;
        };
        self.client.release(address, sender);
        let body = body.to_bytes();
        Outcome::Refused(Refused::new(head.status, &head.headers, &body))
    }

    async fn time_out<T>(&self) -> Outcome<T> {
        Timer::after(self.options.timeout_ms.as_std()).await;
        Outcome::Lost("no whole answer in time".to_owned())
    }

    fn request(
        &self,
        target: &CallTarget,
        method: Method,
        path: &str,
        headers: &[(&str, String)],
        body: Vec<u8>,
    ) -> eyre::Result<Request<Full<Bytes>>> {
        let mut builder = Request::builder()
            .method(method)
            .uri(path)
            .header(header::CUSTOMER, &target.customer);
        if let Some(deadline_ms) = self.options.deadline_ms {
            builder = builder.header(header::DEADLINE_MS, deadline_ms.0);
        }
        if let Some(urgency) = self.options.urgency {
            builder = builder.header(header::PRIORITY, format!("u={urgency}"));
        }
        for (name, value) in headers {
            builder = builder.header(*name, value);
        }
        Ok(builder.body(Full::new(Bytes::from(body)))?)
    }
}

async fn read_completion(
    body: hyper::body::Incoming,
    expected: AnswerText,
    started: Instant,
) -> Outcome<Completed> {
    let Ok(body) = body.collect().await else {
        return Outcome::Aborted;
    };
    let Ok(answer) = serde_json::from_slice::<ChatCompletion>(&body.to_bytes()) else {
        return Outcome::Truncated;
    };
    let Some(choice) = answer.choices.first() else {
        return Outcome::Truncated;
    };
    if choice.message.content != expected.text() {
        return Outcome::CrossDelivered;
    }
    Outcome::Completed(Completed {
        usage: answer.usage,
        first_token: started.elapsed(),
        total: started.elapsed(),
        affinity: None,
    })
}

fn header_text(headers: &HeaderMap, name: &str) -> Option<String> {
    Some(headers.get(name)?.to_str().ok()?.to_owned())
}

/// Returns the execution of a refused request from the response headers, if present.
fn execution_from_headers(headers: &HeaderMap) -> Option<Execution> {
    header_text(headers, header::EXECUTION)?.parse().ok()
}
