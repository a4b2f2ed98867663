//! Callers of the soak: each sends one request after the other, on a connection that it keeps for
//! as long as it is open.

use std::io::BufReader;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use celeryknot_kinrin_standins::caller::{Ask, read_answer};
use celeryknot_kinrin_standins::engine::EVENTS;
use celeryknot_kinrin_standins::http::Message;
use celeryknot_kinrin_standins::site::{KEY, SPARE_KEY};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use strum::{Display, EnumIter, IntoStaticStr};

use super::fleet::{DAEMONS, Fleet};
use crate::plan::Seed;

/// Callers of a run.
const CALLERS: u64 = 8;

/// Longest wait for an answer; the requests' own deadline is 4 s.
const ANSWER_TIME_MAX: Duration = Duration::from_secs(8);

/// Longest wait for a connection.
const CONNECT_TIME_MAX: Duration = Duration::from_secs(1);

/// Longest pause between two requests.
const THINK_MS_MAX: u64 = 40;

/// Requests, in a hundred, after which a caller moves to another daemon.
const MOVE_PERCENT: u32 = 10;

/// The kinds of request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum AskKind {
    /// May run again.
    Read,
    /// Must not run twice.
    Book,
    /// A stream that may not be resumed.
    Chat,
    /// A stream that may be resumed.
    Draft,
    /// A read on a route that only one generation of the configuration has.
    Generation(u64),
}

impl AskKind {
    /// Tells whether a second run does no harm.
    pub fn is_repeatable(self) -> bool {
        match self {
            Self::Read | Self::Draft | Self::Generation(_) => true,
            Self::Book | Self::Chat => false,
        }
    }
}

/// One request as its caller saw it.
#[derive(Debug, Clone)]
pub struct Asked {
    /// The request's id.
    pub id: String,
    /// Its kind.
    pub kind: AskKind,
    /// The daemon that it was sent to.
    pub daemon: usize,
    /// That daemon's life, if it was the same before and after.
    pub life: Option<u64>,
    /// Whether it was sent with the key that may be taken away.
    pub has_spare_key: bool,
    /// When it was sent.
    pub sent_at: Instant,
    /// When its answer was whole, or broke.
    pub ended_at: Instant,
    /// The answer; `None` if the connection ended before it.
    pub answer: Option<Answer>,
}

/// What is checked of an answer.
#[derive(Debug, Clone)]
pub struct Answer {
    /// Its status.
    pub status: u16,
    /// Whether its body came to its announced end.
    pub is_whole: bool,
    /// Whether it bears the mark of an endpoint.
    pub is_signed: bool,
    /// The id that it echoes.
    pub echoed: Option<String>,
    /// Its body.
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
            is_whole: message.is_whole,
            is_signed: message.is_signed(),
            echoed: message.request_id().map(str::to_owned),
            body: message.text(),
        }
    }
}

impl Asked {
    /// Tells whether the caller got a whole answer that says success.
    pub fn is_success(&self) -> bool {
        let is_good = |answer: &Answer| answer.is_whole && answer.status == 200;
        self.answer.as_ref().is_some_and(is_good)
    }
}

/// The running callers.
#[derive(Debug)]
pub struct Callers {
    is_stopping: Arc<AtomicBool>,
    threads: Vec<JoinHandle<Vec<Asked>>>,
}

impl Callers {
    /// Starts the callers.
    pub fn start(fleet: &Arc<Fleet>, seed: Seed) -> Self {
        let is_stopping = Arc::new(AtomicBool::new(false));
        let threads = (0..CALLERS)
            .map(|number| {
                let caller = CallerThread {
                    fleet: Arc::clone(fleet),
                    rng: SmallRng::seed_from_u64(seed.0.wrapping_mul(1_000) + number),
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

    /// Lets every caller end its request, and returns all that they saw.
    pub fn finish(self) -> Vec<Asked> {
        self.is_stopping.store(true, Ordering::Relaxed);
        let ended = self.threads.into_iter().map(JoinHandle::join);
        ended
            .flat_map(|asked| asked.expect("no caller panics"))
            .collect()
    }
}

struct CallerThread {
    fleet: Arc<Fleet>,
    rng: SmallRng,
    daemon: usize,
    connection: Option<(TcpStream, BufReader<TcpStream>)>,
}

impl CallerThread {
    fn run(mut self, is_stopping: &AtomicBool) -> Vec<Asked> {
        let mut asked = Vec::new();
        while !is_stopping.load(Ordering::Relaxed) {
            let pause_ms = self.rng.random_range(1..THINK_MS_MAX);
            std::thread::sleep(Duration::from_millis(pause_ms));
            asked.extend(self.ask());
        }
        asked
    }

    /// Sends one request; `None` if no connection could be opened.
    fn ask(&mut self) -> Option<Asked> {
        if self.rng.random_range(0..100) < MOVE_PERCENT {
            self.connection = None;
        }
        let mut life = 0;
        if self.connection.is_none() {
            self.daemon = self.rng.random_range(0..DAEMONS);
            life = self.fleet.life(self.daemon);
            self.connection = Some(self.connect()?);
        }
        let (kind, has_spare_key) = (self.draw_kind(), self.rng.random_range(0..5) == 0);
        let ask = build(kind, has_spare_key);
        let (mut stream, mut reader) = self.connection.take()?;
        if life == 0 {
            life = self.fleet.life(self.daemon);
        }
        let sent_at = Instant::now();
        ask.try_write(&mut stream).ok()?;
        let message = read_answer(&mut reader);
        let closes = message.header("connection") == Some("close");
        if message.is_whole && !closes {
            self.connection = Some((stream, reader));
        }
        Some(Asked {
            id: ask.id().to_owned(),
            kind,
            daemon: self.daemon,
            life: Some(life).filter(|life| *life == self.fleet.life(self.daemon)),
            has_spare_key,
            sent_at,
            ended_at: Instant::now(),
            answer: (message.status() != 0).then(|| message.into()),
        })
    }

    fn connect(&self) -> Option<(TcpStream, BufReader<TcpStream>)> {
        let address = self.fleet.callers_address(self.daemon);
        let stream = TcpStream::connect_timeout(&address, CONNECT_TIME_MAX).ok()?;
        stream.set_read_timeout(Some(ANSWER_TIME_MAX)).ok()?;
        stream.set_nodelay(true).ok()?;
        let reader = BufReader::new(stream.try_clone().ok()?);
        Some((stream, reader))
    }

    fn draw_kind(&mut self) -> AskKind {
        let generation = self.fleet.generation();
        match self.rng.random_range(0..10) {
            0..2 => AskKind::Read,
            2..5 => AskKind::Book,
            5..6 => AskKind::Chat,
            6..8 => AskKind::Draft,
            8..9 => AskKind::Generation(generation),
            _ => AskKind::Generation(generation.saturating_sub(1)),
        }
    }
}

fn build(kind: AskKind, has_spare_key: bool) -> Ask {
    let key = match has_spare_key {
        true => SPARE_KEY,
        false => KEY,
    };
    let ask = match kind {
        AskKind::Read => Ask::new("GET", "/read/1"),
        AskKind::Book => Ask::new("POST", "/book/1").body(b"a slot"),
        AskKind::Chat => Ask::new("POST", "/chat/1").prompt().body(b"a question"),
        AskKind::Draft => Ask::new("POST", "/draft/1").prompt().body(b"a letter"),
        AskKind::Generation(number) => Ask::new("GET", &format!("/generation-{number}/1")),
    };
    ask.key(key)
}

/// Events of a stream that is whole.
pub fn whole_stream() -> Vec<usize> {
    (1..=EVENTS).collect()
}
