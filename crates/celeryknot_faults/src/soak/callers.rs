//! Callers of the soak: each sends requests one after the other and reuses its connection for as
//! long as it is open.

use std::io::BufReader;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use celeryknot_kinrin_standins::caller::{TestRequest, read_response};
use celeryknot_kinrin_standins::http::Message;
use celeryknot_kinrin_standins::site::{KEY, SPARE_KEY};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use strum::{Display, EnumIter, IntoStaticStr};

use super::fleet::{DAEMON_COUNT, EVENT_INTERVAL, Fleet, STREAM_TIMEOUT_MS};
use crate::plan::Seed;

/// Number of callers.
const CALLER_COUNT: u64 = 16;

/// Number of callers that also send long streams.
const LONG_STREAM_CALLER_COUNT: u64 = 8;

/// Percentage of long streams among the requests of these callers.
const LONG_STREAM_PERCENT: u32 = 50;

/// Number of events of a short stream.
const SHORT_STREAM_EVENT_COUNT: usize = 6;

/// Longest duration of a stream.
const STREAM_DURATION_MAX: Duration = Duration::from_secs(6);

/// Read timeout of a response; the deadline of requests other than streams is 4 s.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(8);

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Upper bound of the think time between two requests.
const THINK_TIME_MAX_MS: u64 = 40;

/// Percentage of requests before which a caller pauses, for up to four fifths of the idle timeout.
const PAUSE_PERCENT: u32 = 5;

/// Upper bound of a pause, whatever the idle timeout is.
const PAUSE_MAX: Duration = Duration::from_secs(4);

/// Interval at which a pausing caller checks whether it should stop.
const PAUSE_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Percentage of requests before which a caller reconnects to a random daemon.
const RECONNECT_PERCENT: u32 = 10;

/// The kinds of request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum RequestKind {
    /// A read, which may be repeated.
    Read,
    /// A booking, which must not run twice.
    Book,
    /// A stream that must not be resumed.
    Chat,
    /// A stream that may be resumed.
    Draft,
    /// A read on a route that exists in only one generation of the configuration.
    Generation(u64),
}

impl RequestKind {
    /// Returns whether the request may run more than once.
    pub fn is_repeatable(self) -> bool {
        match self {
            Self::Read | Self::Draft | Self::Generation(_) => true,
            Self::Book | Self::Chat => false,
        }
    }

    /// Returns whether the response is a stream of the model service.
    pub fn is_stream(self) -> bool {
        match self {
            Self::Chat | Self::Draft => true,
            Self::Read | Self::Book | Self::Generation(_) => false,
        }
    }
}

/// What a caller asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Call {
    /// The kind of request.
    pub kind: RequestKind,
    /// Number of events of the complete stream; 0 for other kinds.
    pub event_count: usize,
    /// Whether it is sent with the spare key, which may be revoked.
    pub has_spare_key: bool,
}

/// One request and its outcome for the caller.
#[derive(Debug, Clone)]
pub struct RequestRecord {
    /// The request's id.
    pub id: String,
    /// What it asks for.
    pub call: Call,
    /// The daemon that it was sent to.
    pub daemon: usize,
    /// That daemon's incarnation, if it did not change during the request.
    pub incarnation: Option<u64>,
    /// When it was sent.
    pub sent_at: Instant,
    /// When the response was complete or aborted.
    pub ended_at: Instant,
    /// The response; `None` if the connection ended before it.
    pub response: Option<Answer>,
}

/// The parts of a response that are checked.
#[derive(Debug, Clone)]
pub struct Answer {
    /// The status code.
    pub status: u16,
    /// Whether the body is complete.
    pub is_whole: bool,
    /// Whether the response carries the marker of an endpoint.
    pub is_signed: bool,
    /// The request id that it echoes.
    pub echoed: Option<String>,
    /// The body.
    pub body: String,
}

impl Answer {
    /// Returns the ids of the events of a stream.
    pub fn event_ids(&self) -> Vec<usize> {
        let ids = self.body.lines().filter_map(|it| it.strip_prefix("id: "));
        ids.filter_map(|id| id.parse().ok()).collect()
    }
}

impl From<Message> for Answer {
    fn from(message: Message) -> Self {
        Self {
            status: message.status(),
            is_whole: message.is_complete,
            is_signed: message.is_signed(),
            echoed: message.request_id().map(str::to_owned),
            body: message.text(),
        }
    }
}

impl RequestRecord {
    /// Returns whether the caller received a complete, successful response.
    pub fn is_success(&self) -> bool {
        let is_complete_success = |response: &Answer| response.is_whole && response.status == 200;
        self.response.as_ref().is_some_and(is_complete_success)
    }
}

/// The running callers.
#[derive(Debug)]
pub struct Callers {
    is_stopping: Arc<AtomicBool>,
    threads: Vec<JoinHandle<Vec<RequestRecord>>>,
}

impl Callers {
    /// Starts the callers.
    pub fn start(fleet: &Arc<Fleet>, seed: Seed) -> Self {
        let is_stopping = Arc::new(AtomicBool::new(false));
        let threads = (0..CALLER_COUNT)
            .map(|number| {
                let caller = CallerThread {
                    fleet: Arc::clone(fleet),
                    rng: SmallRng::seed_from_u64(seed.0.wrapping_mul(1_000) + number),
                    sends_long_streams: number < LONG_STREAM_CALLER_COUNT,
                    daemon: 0,
                    connection: None,
                };
                let is_stopping = Arc::clone(&is_stopping);
                std::thread::spawn(move || caller.run(&is_stopping))
            })
            .collect();
        Self {
            is_stopping,
            threads,
        }
    }

    /// Waits until every caller has finished its current request and returns all records.
    pub fn finish(self) -> Vec<RequestRecord> {
        self.is_stopping.store(true, Ordering::Relaxed);
        let results = self.threads.into_iter().map(JoinHandle::join);
        results
            .flat_map(|records| records.expect("no caller panics"))
            .collect()
    }
}

struct CallerThread {
    fleet: Arc<Fleet>,
    rng: SmallRng,
    sends_long_streams: bool,
    daemon: usize,
    connection: Option<(TcpStream, BufReader<TcpStream>)>,
}

impl CallerThread {
    fn run(mut self, is_stopping: &AtomicBool) -> Vec<RequestRecord> {
        let mut records = Vec::new();
        while !is_stopping.load(Ordering::Relaxed) {
            let think_time_ms = self.rng.random_range(1..THINK_TIME_MAX_MS);
            std::thread::sleep(Duration::from_millis(think_time_ms));
            if self.rng.random_range(0..100) < PAUSE_PERCENT {
                self.pause(is_stopping);
            }
            records.extend(self.send_request());
        }
        records
    }

    /// Leaves the connection idle for a time after which the daemon must still keep it open.
    fn pause(&mut self, is_stopping: &AtomicBool) {
        let pause_max = (self.fleet.limits().idle_timeout() * 4 / 5).min(PAUSE_MAX);
        let end = Instant::now() + pause_max.mul_f64(self.rng.random());
        while Instant::now() < end && !is_stopping.load(Ordering::Relaxed) {
            std::thread::sleep(PAUSE_POLL_INTERVAL);
        }
    }

    /// Sends one request; `None` if no connection could be opened.
    fn send_request(&mut self) -> Option<RequestRecord> {
        if self.rng.random_range(0..100) < RECONNECT_PERCENT {
            self.connection = None;
        }
        let mut incarnation = 0;
        if self.connection.is_none() {
            self.daemon = self.rng.random_range(0..DAEMON_COUNT);
            incarnation = self.fleet.incarnation(self.daemon);
            self.connection = Some(self.connect()?);
        }
        let call = self.draw_call();
        let request = build_request(call);
        let (mut stream, mut reader) = self.connection.take()?;
        if incarnation == 0 {
            incarnation = self.fleet.incarnation(self.daemon);
        }
        let sent_at = Instant::now();
        request.try_write(&mut stream).ok()?;
        let message = read_response(&mut reader);
        let closes = message.header("connection") == Some("close");
        if message.is_complete && !closes {
            self.connection = Some((stream, reader));
        }
        Some(RequestRecord {
            id: request.id().to_owned(),
            call,
            daemon: self.daemon,
            incarnation: Some(incarnation)
                .filter(|incarnation| *incarnation == self.fleet.incarnation(self.daemon)),
            sent_at,
            ended_at: Instant::now(),
            response: (message.status() != 0).then(|| message.into()),
        })
    }

    fn connect(&self) -> Option<(TcpStream, BufReader<TcpStream>)> {
        let address = self.fleet.callers_address(self.daemon);
        let stream = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT).ok()?;
        stream.set_read_timeout(Some(RESPONSE_TIMEOUT)).ok()?;
        stream.set_nodelay(true).ok()?;
        let reader = BufReader::new(stream.try_clone().ok()?);
        Some((stream, reader))
    }

    fn draw_call(&mut self) -> Call {
        let is_long =
            self.sends_long_streams && self.rng.random_range(0..100) < LONG_STREAM_PERCENT;
        let kind = match is_long {
            true if self.rng.random() => RequestKind::Chat,
            true => RequestKind::Draft,
            false => self.draw_kind(),
        };
        let event_count = match kind {
            RequestKind::Chat | RequestKind::Draft if is_long => self
                .rng
                .random_range(SHORT_STREAM_EVENT_COUNT..=longest_event_count()),
            RequestKind::Chat | RequestKind::Draft => SHORT_STREAM_EVENT_COUNT,
            RequestKind::Read | RequestKind::Book | RequestKind::Generation(_) => 0,
        };
        Call {
            kind,
            event_count,
            has_spare_key: self.rng.random_range(0..5) == 0,
        }
    }

    fn draw_kind(&mut self) -> RequestKind {
        let generation = self.fleet.generation();
        match self.rng.random_range(0..10) {
            0..2 => RequestKind::Read,
            2..5 => RequestKind::Book,
            5..6 => RequestKind::Chat,
            6..8 => RequestKind::Draft,
            8..9 => RequestKind::Generation(generation),
            _ => RequestKind::Generation(generation.saturating_sub(1)),
        }
    }
}

fn longest_event_count() -> usize {
    let count = STREAM_DURATION_MAX.as_millis() / EVENT_INTERVAL.as_millis();
    usize::try_from(count).expect("some hundred events")
}

fn build_request(call: Call) -> TestRequest {
    let key = match call.has_spare_key {
        true => SPARE_KEY,
        false => KEY,
    };
    let stream = |path| {
        TestRequest::new("POST", path)
            .prompt()
            .output_tokens_max(call.event_count)
            .deadline_ms(STREAM_TIMEOUT_MS)
    };
    let request = match call.kind {
        RequestKind::Read => TestRequest::new("GET", "/read/1"),
        RequestKind::Book => TestRequest::new("POST", "/book/1").body(b"a slot"),
        RequestKind::Chat => stream("/chat/1").body(b"a question"),
        RequestKind::Draft => stream("/draft/1").body(b"a letter"),
        RequestKind::Generation(number) => {
            TestRequest::new("GET", &format!("/generation-{number}/1"))
        }
    };
    request.key(key)
}
