//! Chats that share a message on which every engine crashes.

#![allow(clippy::unwrap_used, reason = "a test may panic")]

mod live;

use std::time::Duration;

use celeryknot_core::Execution;
use celeryknot_standins::caller::{Completed, Refused};
use celeryknot_standins::executor::spawn;
use celeryknot_standins::text::Message;
use celeryknot_standins::wire::{ChatRequest, EndpointMode};
use celeryknot_standins::{Caller, CallerOptions, Engine, Outcome};
use live::{LiveFleet, MODEL_SERVICE, wait_until};

const DAEMON_COUNT: usize = 3;
const ENGINE_COUNT: usize = 8;

/// Crashes that ban a message.
const CRASHES_TO_BAN: u64 = 3;

/// Requests with the message that may reach engines later than [`CONTACT`] after the fifth crash.
const REQUESTS_AFTER_MAX: u64 = 3;
const CONTACT: Duration = Duration::from_millis(3_000);

/// Longer than an answer keeps later crashes from counting.
const CLEARED: Duration = Duration::from_millis(10_500);

/// Factor by which engines are slow while a test changes the fleet.
const SLOW: f64 = 200.0;

/// The message on which engines crash, and messages that sound chats share.
const BAD: &str = "a message that crashes engines";
const SYSTEM: &str = "answer briefly";
const SOUND: &str = "a sound message";

/// A fleet whose engines crash on [`BAD`].
struct CrashingFleet {
    live: LiveFleet,
    caller: Caller,
    sent_count: usize,
    /// Limit on the tokens of an answer.
    answer_tokens_max: u32,
}

impl CrashingFleet {
    fn start() -> Self {
        let fleet = Self {
            live: LiveFleet::start(DAEMON_COUNT, ENGINE_COUNT, 0),
            caller: Caller::new(CallerOptions::default()),
            sent_count: 0,
            answer_tokens_max: 20,
        };
        fleet.crash_on(BAD);
        fleet
    }

    fn crash_on(&self, text: &str) {
        for engine in &self.live.engines {
            engine.crash_on_text(text);
        }
    }

    /// Sends a new chat with these messages and one of its own to the daemons in turn.
    fn send(&mut self, shared: &[&str], stream: bool) -> Outcome<Completed> {
        let daemon = self.sent_count % DAEMON_COUNT;
        self.send_to(daemon, shared, stream)
    }

    fn send_to(&mut self, daemon: usize, shared: &[&str], stream: bool) -> Outcome<Completed> {
        smol::block_on(self.next_call(daemon, shared, stream))
    }

    /// Returns the call of a new chat.
    fn next_call(
        &mut self,
        daemon: usize,
        shared: &[&str],
        stream: bool,
    ) -> impl Future<Output = Outcome<Completed>> + Send + use<> {
        self.sent_count += 1;
        let own = format!("question {}", self.sent_count);
        let texts = shared.iter().copied().chain([own.as_str()]);
        let request = ChatRequest {
            model: "wakai-8b".to_owned(),
            messages: texts
                .map(|text| Message {
                    role: "user".to_owned(),
                    content: text.to_owned(),
                })
                .collect(),
            stream,
            max_tokens: Some(self.answer_tokens_max),
        };
        let target = self.live.target(daemon, MODEL_SERVICE);
        let chat = format!("chat-{}", self.sent_count);
        let caller = self.caller.clone();
        async move { caller.chat(&target, &chat, None, &request).await }
    }

    /// Sets the factor by which all engines take longer.
    fn set_slow_factor(&self, slow_factor: f64) {
        for engine in &self.live.engines {
            engine.set_mode(EndpointMode {
                slow_factor: Some(slow_factor),
                ..EndpointMode::default()
            });
        }
    }

    fn busy_engine(&self) -> Option<usize> {
        let mut engines = self.live.engines.iter();
        engines.position(|engine| engine.in_flight() > 0)
    }

    /// Sends requests until this many engines have crashed.
    fn crash_engines(&mut self, shared: &[&str], stream: bool, crash_count: u64) {
        for _ in 0..60 {
            if self.crash_count() >= crash_count {
                return;
            }
            self.send(shared, stream);
        }
    }

    fn crash_count(&self) -> u64 {
        let engines = self.live.engines.iter();
        engines.map(|engine| engine.counters().crashes).sum()
    }

    /// Checks that all daemons send chats with these messages to engines, which answer again.
    fn assert_not_banned(&mut self, shared: &[&str]) {
        self.crash_on("no message");
        std::thread::sleep(CONTACT);
        for _ in 0..DAEMON_COUNT {
            let outcome = self.send(shared, true);
            assert!(matches!(outcome, Outcome::Completed(_)), "{outcome:?}");
        }
    }
}

fn assert_banned(outcome: Outcome<Completed>) {
    let Outcome::Refused(Refused {
        code,
        execution,
        retry_after_ms,
        ..
    }) = outcome
    else {
        panic!("not refused: {outcome:?}");
    };
    assert_eq!(code, "prompt-banned");
    assert_eq!(execution, Some(Execution::NotRun));
    assert!(retry_after_ms.unwrap().0 > 60_000, "{retry_after_ms:?}");
}

#[test]
fn chats_with_a_message_that_crashed_five_engines_reach_no_more_of_them() {
    for stream in [true, false] {
        let mut fleet = CrashingFleet::start();
        for _ in 0..2 * DAEMON_COUNT {
            let outcome = fleet.send(&[SYSTEM, SOUND], stream);
            assert!(matches!(outcome, Outcome::Completed(_)), "{outcome:?}");
        }
        fleet.crash_engines(&[SYSTEM, BAD], stream, 5);
        std::thread::sleep(CONTACT);
        let crashes_before = fleet.crash_count();
        let mut outcomes = Vec::new();
        for _ in 0..4 * DAEMON_COUNT {
            outcomes.push(fleet.send(&[SYSTEM, BAD], stream));
            let sound = fleet.send(&[SYSTEM, SOUND], stream);
            assert!(matches!(sound, Outcome::Completed(_)), "{sound:?}");
        }
        let crashes = fleet.crash_count() - crashes_before;
        assert!(crashes <= REQUESTS_AFTER_MAX, "{crashes}, stream: {stream}");
        outcomes.into_iter().for_each(assert_banned);
    }
}

#[test]
fn message_is_banned_wherever_in_its_stream_the_engines_crash() {
    // Before the response, and after some events that were ready.
    for event_count in [0, 3] {
        let mut fleet = CrashingFleet::start();
        for engine in &fleet.live.engines {
            engine.set_crash_event_count(event_count);
        }
        fleet.crash_engines(&[SYSTEM, BAD], true, 5);
        std::thread::sleep(CONTACT);
        let crashes_before = fleet.crash_count();
        for _ in 0..4 * DAEMON_COUNT {
            fleet.send(&[SYSTEM, BAD], true);
            let sound = fleet.send(&[SYSTEM, SOUND], true);
            assert!(matches!(sound, Outcome::Completed(_)), "{sound:?}");
        }
        let crashes = fleet.crash_count() - crashes_before;
        assert!(
            crashes <= REQUESTS_AFTER_MAX,
            "{crashes} after {event_count} events"
        );
    }
}

#[test]
fn stream_that_crashed_an_engine_is_not_resumed_at_a_second_one() {
    let mut fleet = CrashingFleet::start();
    for sent_count in 1..=CRASHES_TO_BAN {
        fleet.send(&[SYSTEM, BAD], true);
        assert!(fleet.crash_count() <= sent_count, "{sent_count} sent");
        // Time for the engine to start again.
        std::thread::sleep(CONTACT);
    }
}

#[test]
fn chat_with_its_own_bad_message_crashes_two_engines_at_most() {
    let mut fleet = CrashingFleet::start();
    fleet.send(&[SYSTEM], true);
    fleet.crash_on("question");
    for sent_count in 1..=2 {
        let crashes_before = fleet.crash_count();
        fleet.send(&[SYSTEM], true);
        let crashes = fleet.crash_count() - crashes_before;
        assert!(crashes <= 2, "{crashes} crashes of request {sent_count}");
        // Time for the engines to start again.
        std::thread::sleep(CONTACT);
    }
}

#[test]
fn answer_cut_by_an_engine_that_still_runs_bans_no_message() {
    let mut fleet = CrashingFleet::start();
    fleet.crash_on("no message");
    // An answer is cut in its middle: here after its first token, still at its beginning.
    fleet.answer_tokens_max = 2;
    let set_truncation = |engines: &[Engine], percent| {
        for engine in engines {
            engine.set_mode(EndpointMode {
                truncate_percent: Some(percent),
                ..EndpointMode::default()
            });
        }
    };
    set_truncation(&fleet.live.engines, 100);
    for _ in 0..2 * DAEMON_COUNT {
        fleet.send(&[SYSTEM, SOUND], true);
    }
    set_truncation(&fleet.live.engines, 0);
    fleet.assert_not_banned(&[SYSTEM, SOUND]);
}

#[test]
fn engine_that_ends_while_it_drains_bans_no_message() {
    let mut fleet = CrashingFleet::start();
    fleet.crash_on("no message");
    for _ in 0..CRASHES_TO_BAN {
        fleet.set_slow_factor(SLOW);
        let call = spawn(fleet.next_call(0, &[SYSTEM, SOUND], true));
        wait_until("the chat is at an engine", || fleet.busy_engine().is_some());
        let engine = fleet.busy_engine().unwrap();
        fleet.live.draining_engines.push(engine);
        fleet.live.publish();
        let name = format!("engine-{engine}").parse().unwrap();
        wait_until("the engine drains at all daemons", || {
            let mut daemons = fleet.live.daemons.iter().flatten();
            daemons.all(|daemon| {
                let snapshot = daemon.snapshot();
                let mut listed = snapshot.services.values().flat_map(|it| &it.endpoints);
                listed.any(|it| it.name == name && !it.accepts_requests)
            })
        });
        fleet.live.engines[engine].crash();
        fleet.set_slow_factor(1.0);
        let outcome = smol::block_on(call);
        assert!(matches!(outcome, Outcome::Completed(_)), "{outcome:?}");
    }
    fleet.assert_not_banned(&[SYSTEM, SOUND]);
}

#[test]
fn daemon_that_starts_later_learns_which_message_is_banned() {
    let mut fleet = CrashingFleet::start();
    fleet.crash_engines(&[SYSTEM, BAD], true, CRASHES_TO_BAN);
    std::thread::sleep(CONTACT);
    let late = fleet.live.start_daemon();
    fleet.live.daemons.push(Some(late));
    fleet.live.publish();
    fleet.live.wait_until_ready();
    let crashes_before = fleet.crash_count();
    std::thread::sleep(CONTACT);
    assert_banned(fleet.send_to(DAEMON_COUNT, &[SYSTEM, BAD], true));
    assert_eq!(fleet.crash_count(), crashes_before);
}

#[test]
fn answer_at_one_daemon_clears_a_suspected_message_at_all() {
    // The answer is recent when the next crash comes, or only known.
    for pause in [CONTACT, CLEARED] {
        let mut fleet = CrashingFleet::start();
        let shared = [SYSTEM, BAD];
        for _ in 1..CRASHES_TO_BAN {
            fleet.send(&shared, true);
            // Crashes of one engine within two seconds count as one.
            std::thread::sleep(CONTACT);
        }
        fleet.crash_on("no message");
        let outcome = fleet.send(&shared, true);
        assert!(matches!(outcome, Outcome::Completed(_)), "{outcome:?}");
        std::thread::sleep(pause);
        fleet.crash_on(BAD);
        fleet.send(&shared, true);
        wait_until("an engine crashed again", || {
            fleet.crash_count() >= CRASHES_TO_BAN
        });
        fleet.assert_not_banned(&shared);
    }
}

#[test]
fn recent_answer_at_another_daemon_keeps_crashes_from_counting() {
    let mut fleet = CrashingFleet::start();
    let shared = [SYSTEM, BAD];
    for _ in 0..CRASHES_TO_BAN {
        fleet.crash_on("no message");
        let outcome = fleet.send_to(1, &shared, true);
        assert!(matches!(outcome, Outcome::Completed(_)), "{outcome:?}");
        fleet.crash_on(BAD);
        fleet.send_to(0, &shared, true);
        std::thread::sleep(CONTACT);
    }
    fleet.assert_not_banned(&shared);
}
