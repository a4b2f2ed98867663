//! A simulation of how changes of the store reach all daemons, without network and clock.
//!
//! Members, polls and calls of the store are decided by the code that daemons run; this module moves
//! the messages, and takes processing to cost nothing.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::net::SocketAddr;

use celeryknot_core::{DurationMs, Incarnation, MonotonicMs};
use celeryknot_gateway::members::{Member, MemberTable, READER_COUNT};
use celeryknot_gateway::peer_schedule::{
    PeerSchedule, PollContext, PollStep, poll_wait, retry_delay,
};
use celeryknot_gateway::platform_protocol::StoreRevision;
use celeryknot_gateway::store_calls::{
    CallOutcome, ROLE_CHECK_INTERVAL, StoreCall, StoreCalls, must_read_store, must_reconnect,
};
use celeryknot_peers::relay::RESPONSE_MARGIN;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Time of a message between two daemons.
const PEER_LATENCY: DurationMs = DurationMs(1);

/// Time of a request to the store, and of its response.
const STORE_LATENCY: DurationMs = DurationMs(2);

/// Interval at which a daemon looks for polls whose wait has passed.
const POLL_EXPIRY_INTERVAL_MS: u64 = 50;

/// Number of zones, over which the daemons are spread.
const ZONES: usize = 3;

/// Number of daemons with much processor, which are the readers.
const STRONG_DAEMONS: usize = READER_COUNT;

/// The size of a fleet.
#[derive(Debug, Clone, Copy)]
pub struct FleetSize {
    pub daemons: usize,
    pub endpoints: usize,
}

/// What happens to a daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// It stands still, and goes on where it was.
    Frozen,
    /// It is gone, and connections to it are refused.
    Killed,
    /// Messages from and to it are lost.
    CutOff,
    /// Its messages to the store, and the responses, are lost.
    CutOffFromStore,
    /// The store refuses its calls.
    RefusedByStore,
}

/// A fault of some daemons at the same time.
#[derive(Debug, Clone)]
pub struct Disturbance {
    pub fault: Fault,
    pub daemons: Vec<usize>,
    pub from: MonotonicMs,
    pub until: MonotonicMs,
}

/// A message between daemons: who polls whom, on which schedule.
#[derive(Debug, Clone)]
struct Poll {
    id: u64,
    from: usize,
    to: usize,
    rank: usize,
    after: StoreRevision,
    wait: DurationMs,
}

#[derive(Debug, Clone)]
struct Reply {
    poll: Poll,
    at: StoreRevision,
    copy_age: DurationMs,
    ages: Vec<u8>,
}

#[derive(Debug, Clone)]
enum Event {
    DecideCall {
        daemon: usize,
    },
    StoreReceives {
        daemon: usize,
        call: u64,
        after: StoreRevision,
        wait: DurationMs,
    },
    WatchExpires {
        call: u64,
    },
    CallEnds {
        daemon: usize,
        call: u64,
        at: Option<StoreRevision>,
    },
    DecidePoll {
        daemon: usize,
        rank: usize,
    },
    PollArrives {
        poll: Poll,
        ages: Vec<u8>,
    },
    PollExpires {
        daemon: usize,
        poll: u64,
    },
    ReplyArrives {
        reply: Reply,
    },
    PollFails {
        poll: Poll,
    },
    Write,
}

impl Event {
    /// Returns the daemon at which the event happens.
    fn daemon(&self) -> Option<usize> {
        match self {
            Event::DecideCall { daemon }
            | Event::CallEnds { daemon, .. }
            | Event::DecidePoll { daemon, .. }
            | Event::PollExpires { daemon, .. } => Some(*daemon),
            Event::PollArrives { poll, .. } => Some(poll.to),
            Event::ReplyArrives { reply } => Some(reply.poll.from),
            Event::PollFails { poll } => Some(poll.from),
            Event::StoreReceives { .. } | Event::WatchExpires { .. } | Event::Write => None,
        }
    }
}

struct Daemon {
    members: MemberTable,
    position: StoreRevision,
    confirmed_at: MonotonicMs,
    calls: StoreCalls,
    call: Option<u64>,
    /// The revision after which its last watch waits for changes.
    watched_after: StoreRevision,
    schedules: Vec<PeerSchedule>,
    /// The poll in progress on each schedule.
    polls: Vec<Option<u64>>,
    pending: Vec<Poll>,
    store_call_count: u64,
    /// When its connection to the store was opened, and last used.
    connection: Option<Connection>,
    /// When each revision arrived.
    arrivals: BTreeMap<StoreRevision, MonotonicMs>,
}

#[derive(Debug, Clone, Copy)]
struct Connection {
    opened_at: MonotonicMs,
    used_at: MonotonicMs,
}

struct PendingWatch {
    daemon: usize,
    call: u64,
    after: StoreRevision,
}

/// A fleet and its store.
pub struct Simulation {
    size: FleetSize,
    now: MonotonicMs,
    queue: BinaryHeap<Reverse<(MonotonicMs, u64)>>,
    events: BTreeMap<u64, Event>,
    next_id: u64,
    daemons: Vec<Daemon>,
    disturbances: Vec<Disturbance>,
    writes: BTreeMap<StoreRevision, MonotonicMs>,
    store_at: StoreRevision,
    watches: Vec<PendingWatch>,
    /// Connections that were opened before and are idle then are silent from then on.
    silenced_at: Option<MonotonicMs>,
    random: SmallRng,
}

/// How a simulation ended.
#[derive(Debug, Clone)]
pub struct Outcome {
    /// Longest time from a change to a daemon that was never disturbed.
    pub slowest: DurationMs,
    /// The daemon that it was, and the time of the change.
    pub slowest_at: Option<(usize, MonotonicMs)>,
    /// Calls of the store by daemons that were never disturbed and are no readers at first.
    pub follower_calls: u64,
    /// Calls of the store by the first readers.
    pub reader_calls: u64,
}

fn member(number: usize) -> Member {
    let address = SocketAddr::from(([10, 0, 0, 1], 1_000 + number as u16));
    Member {
        name: format!("edge-{number}").parse().unwrap(),
        zone: format!("zone-{}", number % ZONES).parse().unwrap(),
        address,
        incarnation: Incarnation(number as u64 + 1),
        cores_percent: if number < STRONG_DAEMONS { 50 } else { 12 },
        hop_address: None,
    }
}

fn number_of(address: SocketAddr) -> usize {
    usize::from(address.port()) - 1_000
}

impl Simulation {
    /// Creates a fleet whose daemons know each other and have the same copy of the store.
    pub fn new(size: FleetSize, seed: u64) -> Self {
        let now = MonotonicMs::PROCESS_START + DurationMs(10_000);
        let store_at = StoreRevision::from(1);
        let daemons = (0..size.daemons)
            .map(|own| {
                let mut members = MemberTable::new(member(own));
                for other in 0..size.daemons {
                    members.observe(now, member(other), DurationMs(0));
                }
                Daemon {
                    members,
                    position: store_at,
                    confirmed_at: now,
                    calls: StoreCalls::default(),
                    call: None,
                    watched_after: store_at,
                    schedules: (0..READER_COUNT).map(PeerSchedule::new).collect(),
                    polls: vec![None; READER_COUNT],
                    pending: Vec::new(),
                    store_call_count: 0,
                    connection: Some(Connection {
                        opened_at: now,
                        used_at: now,
                    }),
                    arrivals: BTreeMap::new(),
                }
            })
            .collect();
        let mut simulation = Self {
            size,
            now,
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            next_id: 0,
            daemons,
            disturbances: Vec::new(),
            writes: BTreeMap::new(),
            store_at,
            watches: Vec::new(),
            silenced_at: None,
            random: SmallRng::seed_from_u64(seed),
        };
        for daemon in 0..size.daemons {
            let start = DurationMs(simulation.random.next_u64() % 200);
            simulation.schedule(start, Event::DecideCall { daemon });
            for rank in 0..READER_COUNT {
                simulation.schedule(start, Event::DecidePoll { daemon, rank });
            }
        }
        simulation
    }

    /// Returns the daemons that read the store for the others at first.
    pub fn readers(&self) -> Vec<usize> {
        let is_reader = |it: &usize| self.daemons[*it].members.is_reader(self.now);
        (0..self.size.daemons).filter(is_reader).collect()
    }

    /// Returns the time that is some time after the start.
    pub fn after(&self, time: DurationMs) -> MonotonicMs {
        self.now + time
    }

    /// Adds a fault.
    pub fn disturb(&mut self, disturbance: Disturbance) {
        self.disturbances.push(disturbance);
    }

    /// Lets all connections to the store that are idle at a time go silent.
    pub fn silence_idle_connections(&mut self, at: MonotonicMs) {
        self.silenced_at = Some(at);
    }

    /// Lets the store acknowledge a change at a time.
    pub fn write_at(&mut self, at: MonotonicMs) {
        self.schedule(at - self.now, Event::Write);
    }

    /// Runs until a time.
    pub fn run(mut self, until: MonotonicMs) -> Outcome {
        let first_readers = self.readers();
        while let Some(Reverse((at, id))) = self.queue.pop() {
            if at > until {
                break;
            }
            self.now = at;
            if let Some(event) = self.events.remove(&id) {
                self.handle(event);
            }
        }
        self.outcome(&first_readers, until)
    }

    fn outcome(&self, first_readers: &[usize], until: MonotonicMs) -> Outcome {
        let is_disturbed = |daemon: &usize| {
            let mut all = self.disturbances.iter();
            all.any(|it| it.daemons.contains(daemon))
        };
        let mut outcome = Outcome {
            slowest: DurationMs(0),
            slowest_at: None,
            follower_calls: 0,
            reader_calls: 0,
        };
        for (number, daemon) in self.daemons.iter().enumerate() {
            if first_readers.contains(&number) {
                outcome.reader_calls += daemon.store_call_count;
            }
            if is_disturbed(&number) {
                continue;
            }
            if !first_readers.contains(&number) {
                outcome.follower_calls += daemon.store_call_count;
            }
            for (revision, written_at) in &self.writes {
                let arrival = daemon.arrivals.range(revision..).map(|(_, at)| *at).min();
                let delay = arrival.unwrap_or(until) - *written_at;
                if delay > outcome.slowest {
                    outcome.slowest = delay;
                    outcome.slowest_at = Some((number, *written_at));
                }
            }
        }
        outcome
    }

    fn schedule(&mut self, delay: DurationMs, event: Event) {
        let id = self.new_id();
        self.queue.push(Reverse((self.now + delay, id)));
        self.events.insert(id, event);
    }

    fn new_id(&mut self) -> u64 {
        self.next_id += 1;
        self.next_id
    }

    fn has_fault(&self, daemon: usize, faults: &[Fault]) -> Option<&Disturbance> {
        self.disturbances.iter().find(|it| {
            let is_active = (it.from..it.until).contains(&self.now);
            is_active && faults.contains(&it.fault) && it.daemons.contains(&daemon)
        })
    }

    fn handle(&mut self, event: Event) {
        if let Some(daemon) = event.daemon() {
            if let Some(frozen) = self.has_fault(daemon, &[Fault::Frozen]) {
                let delay = frozen.until - self.now;
                self.schedule(delay, event);
                return;
            }
            if self.has_fault(daemon, &[Fault::Killed]).is_some() {
                return;
            }
        }
        match event {
            Event::DecideCall { daemon } => self.decide_call(daemon),
            Event::StoreReceives {
                daemon,
                call,
                after,
                wait,
            } => self.receive_at_store(daemon, call, after, wait),
            Event::WatchExpires { call } => {
                let index = self.watches.iter().position(|watch| watch.call == call);
                if let Some(index) = index {
                    let watch = self.watches.remove(index);
                    self.send_from_store(watch.daemon, call, Some(self.store_at));
                }
            }
            Event::CallEnds { daemon, call, at } => self.end_call(daemon, call, at),
            Event::DecidePoll { daemon, rank } => self.decide_poll(daemon, rank),
            Event::PollArrives { poll, ages } => self.receive_poll(poll, &ages),
            Event::PollExpires { daemon, poll } => {
                let pending = &mut self.daemons[daemon].pending;
                if let Some(index) = pending.iter().position(|it| it.id == poll) {
                    let poll = pending.remove(index);
                    self.reply(poll);
                }
            }
            Event::ReplyArrives { reply } => self.receive_reply(reply),
            Event::PollFails { poll } => self.fail_poll(&poll),
            Event::Write => self.write(),
        }
    }

    fn decide_call(&mut self, daemon: usize) {
        let now = self.now;
        let wait = poll_wait(self.size.daemons, self.size.endpoints);
        let state = &mut self.daemons[daemon];
        let reader_rank = state.members.reader_rank(now);
        if !must_read_store(reader_rank.is_some(), now - state.confirmed_at, wait) {
            self.schedule(ROLE_CHECK_INTERVAL, Event::DecideCall { daemon });
            return;
        }
        let StoreCall::Watch(watch) = state.calls.next_call(Some(state.position), reader_rank)
        else {
            unreachable!("the store keeps its history and its era");
        };
        state.store_call_count += 1;
        state.watched_after = watch.after;
        let call = self.new_id();
        self.daemons[daemon].call = Some(call);
        let is_silent = self.use_connection(daemon);
        let request = Event::StoreReceives {
            daemon,
            call,
            after: watch.after,
            wait: watch.wait_ms,
        };
        if !is_silent {
            self.schedule(STORE_LATENCY, request);
        }
        let timeout = Event::CallEnds {
            daemon,
            call,
            at: None,
        };
        self.schedule(watch.timeout_ms, timeout);
    }

    /// Returns whether the connection on which a daemon sends a call is silent.
    fn use_connection(&mut self, daemon: usize) -> bool {
        let now = self.now;
        let state = &mut self.daemons[daemon];
        let is_usable = |it: &Connection| !must_reconnect(now - it.used_at);
        let mut connection = state.connection.filter(is_usable).unwrap_or(Connection {
            opened_at: now,
            used_at: now,
        });
        let is_silent = self
            .silenced_at
            .is_some_and(|at| connection.opened_at < at && connection.used_at <= at && at <= now);
        connection.used_at = now;
        state.connection = Some(connection);
        is_silent
    }

    fn is_cut_off_from_store(&self, daemon: usize) -> bool {
        let faults = [Fault::CutOff, Fault::CutOffFromStore];
        self.has_fault(daemon, &faults).is_some()
    }

    fn receive_at_store(
        &mut self,
        daemon: usize,
        call: u64,
        after: StoreRevision,
        wait: DurationMs,
    ) {
        if self.is_cut_off_from_store(daemon) {
            return;
        }
        if self.has_fault(daemon, &[Fault::RefusedByStore]).is_some() {
            self.send_from_store(daemon, call, None);
        } else if after < self.store_at {
            self.send_from_store(daemon, call, Some(self.store_at));
        } else {
            let watch = PendingWatch {
                daemon,
                call,
                after,
            };
            self.watches.push(watch);
            self.schedule(wait, Event::WatchExpires { call });
        }
    }

    fn send_from_store(&mut self, daemon: usize, call: u64, at: Option<StoreRevision>) {
        if !self.is_cut_off_from_store(daemon) {
            self.schedule(STORE_LATENCY, Event::CallEnds { daemon, call, at });
        }
    }

    fn end_call(&mut self, daemon: usize, call: u64, at: Option<StoreRevision>) {
        let now = self.now;
        let random = self.random.next_u64();
        let state = &mut self.daemons[daemon];
        if state.call.take_if(|it| *it == call).is_none() {
            return;
        }
        state.connection = match at {
            Some(_) => state.connection.map(|it| Connection { used_at: now, ..it }),
            None => None,
        };
        let outcome = match at {
            Some(at) => CallOutcome::Answered {
                has_changes: at > state.watched_after,
            },
            None => CallOutcome::Failed,
        };
        let reader_rank = state.members.reader_rank(now);
        let delay = state.calls.finish(outcome, reader_rank, random);
        if let Some(at) = at {
            state.confirmed_at = now;
            self.advance_copy(daemon, at);
        }
        self.schedule(delay, Event::DecideCall { daemon });
    }

    fn decide_poll(&mut self, daemon: usize, rank: usize) {
        let now = self.now;
        let state = &mut self.daemons[daemon];
        let context = PollContext {
            now,
            members: &state.members,
            seeds: &[],
            has_copy: true,
        };
        let address = match state.schedules[rank].next_step(context) {
            PollStep::Poll(address) => address,
            PollStep::Pause(delay) => {
                self.schedule(delay, Event::DecidePoll { daemon, rank });
                return;
            }
        };
        let wait = poll_wait(self.size.daemons, self.size.endpoints);
        let ages = state.members.ages(now);
        let after = state.position;
        let poll = Poll {
            id: self.new_id(),
            from: daemon,
            to: number_of(address),
            rank,
            after,
            wait,
        };
        self.daemons[daemon].polls[rank] = Some(poll.id);
        let timeout = wait + DurationMs::from(RESPONSE_MARGIN);
        self.schedule(timeout, Event::PollFails { poll: poll.clone() });
        if self.has_fault(poll.to, &[Fault::Killed]).is_some() {
            let refused = Event::PollFails { poll };
            self.schedule(PEER_LATENCY + PEER_LATENCY, refused);
        } else if !self.is_path_cut(daemon, poll.to) {
            self.schedule(PEER_LATENCY, Event::PollArrives { poll, ages });
        }
    }

    fn is_path_cut(&self, one: usize, other: usize) -> bool {
        let mut ends = [one, other].into_iter();
        ends.any(|it| self.has_fault(it, &[Fault::CutOff]).is_some())
    }

    fn receive_poll(&mut self, poll: Poll, ages: &[u8]) {
        let now = self.now;
        let state = &mut self.daemons[poll.to];
        state.members.observe(now, member(poll.from), DurationMs(0));
        state.members.observe_ages(now, ages);
        if poll.after < state.position {
            self.reply(poll);
            return;
        }
        let (daemon, id) = (poll.to, poll.id);
        let deadline_ms = (now + poll.wait).0;
        let expiry_ms = deadline_ms.next_multiple_of(POLL_EXPIRY_INTERVAL_MS);
        state.pending.push(poll);
        let delay = MonotonicMs(expiry_ms) - now;
        self.schedule(delay, Event::PollExpires { daemon, poll: id });
    }

    fn reply(&mut self, poll: Poll) {
        if self.is_path_cut(poll.to, poll.from) {
            return;
        }
        let state = &self.daemons[poll.to];
        let reply = Reply {
            at: state.position,
            copy_age: self.now - state.confirmed_at,
            ages: state.members.ages(self.now),
            poll,
        };
        self.schedule(PEER_LATENCY, Event::ReplyArrives { reply });
    }

    fn receive_reply(&mut self, reply: Reply) {
        let now = self.now;
        let Reply {
            poll,
            at,
            copy_age,
            ages,
        } = reply;
        let state = &mut self.daemons[poll.from];
        if state.polls[poll.rank]
            .take_if(|it| *it == poll.id)
            .is_none()
        {
            return;
        }
        state.members.observe(now, member(poll.to), DurationMs(0));
        state.members.observe_ages(now, &ages);
        let confirmed_at = MonotonicMs(now.0 - copy_age.0);
        state.confirmed_at = state.confirmed_at.max(confirmed_at);
        self.advance_copy(poll.from, at);
        self.decide_poll(poll.from, poll.rank);
    }

    fn fail_poll(&mut self, poll: &Poll) {
        let now = self.now;
        let state = &mut self.daemons[poll.from];
        if state.polls[poll.rank]
            .take_if(|it| *it == poll.id)
            .is_none()
        {
            return;
        }
        let address = member(poll.to).address;
        state.members.note_unresponsive(now, address);
        let (daemon, rank) = (poll.from, poll.rank);
        self.schedule(retry_delay(true), Event::DecidePoll { daemon, rank });
    }

    fn advance_copy(&mut self, daemon: usize, at: StoreRevision) {
        let state = &mut self.daemons[daemon];
        if at <= state.position {
            return;
        }
        state.position = at;
        state.arrivals.insert(at, self.now);
        let (outdated, current) = std::mem::take(&mut state.pending)
            .into_iter()
            .partition(|poll| poll.after < at);
        state.pending = current;
        let outdated: Vec<Poll> = outdated;
        for poll in outdated {
            self.reply(poll);
        }
    }

    fn write(&mut self) {
        self.store_at.number += 1;
        self.writes.insert(self.store_at, self.now);
        for watch in std::mem::take(&mut self.watches) {
            debug_assert!(watch.after < self.store_at);
            self.send_from_store(watch.daemon, watch.call, Some(self.store_at));
        }
    }
}
