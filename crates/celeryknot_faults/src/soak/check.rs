//! Checks the observations of a run against the promises.

mod severed;
mod statements;

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::{Duration, Instant};

use celeryknot_core::ErrorKind;
use celeryknot_kinrin_standins::engine::Arrival;
use celeryknot_kinrin_standins::site::CUSTOMER;
use celeryknot_standins::counters::most_within;
use serde::Serialize;
use strum::{Display, EnumIter, IntoStaticStr};

use super::callers::{RequestKind, RequestRecord};
use super::fleet::{
    BAD_PART, BAD_PATH, COLD_MAX_PER_S, CONFIGURATION_DELAY_MAX, DRAIN_TIME, RETRY_ALLOWANCE,
};
use super::observations::{Observations, Shutdown};
use super::plan::SoakPlan;

/// Retries allowed per 100 requests, in addition to the allowance.
const RETRY_PERCENT: u64 = 20;

/// The window in which retries are counted.
const RETRY_WINDOW: Duration = Duration::from_secs(10);

/// Requests sent within this time after a response under a newer configuration may still use an
/// older one.
const ROLLBACK_TOLERANCE: Duration = Duration::from_millis(250);

/// Share of the grace time after SIGTERM, in eighths, in which a request may be sent whose answer
/// is cut at the end of the grace time: 3 s of the users' 8 s.
const CUT_SENT_MAX_EIGHTHS: u32 = 3;

/// Share of the grace time after SIGTERM, in eighths, from which a daemon may cut these answers.
const CUT_MIN_EIGHTHS: u32 = 7;

/// Requests with a part that has crashed [`PART_CRASHES_MAX`] engines, or of one that has crashed
/// [`REQUEST_CRASHES_MAX`] endpoints, that may reach endpoints later than [`CRASH_REACTION_TIME`]
/// after that.
const PART_CRASHES_MAX: usize = 5;
const REQUEST_CRASHES_MAX: usize = 3;
const REQUESTS_AFTER_CRASHES_MAX: usize = 3;
const CRASH_REACTION_TIME: Duration = Duration::from_millis(3_000);

/// Status codes which guarantee that the request has not run and will not run.
const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];

/// The guarantees that are checked; some hold only if all steps are planned work.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Display,
    EnumIter,
    IntoStaticStr,
    Serialize,
)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum Promise {
    /// A request that must not be repeated runs at most once.
    AtMostOnce,
    /// A request that was refused as not run has not run.
    TrueRefusals,
    /// A successful response is complete and comes from an endpoint that served this request.
    WholeAnswers,
    /// A stream has each event once and in order, and ends cleanly only after the last one.
    EventsInOrder,
    /// Endpoints receive the right customer name and no key.
    Keys,
    /// With planned work only, every request that a daemon read receives a complete response.
    NoneLost,
    /// A draining endpoint receives no requests after the drain time.
    LeavingLeftAlone,
    /// A configuration becomes active in time.
    ConfigurationInForce,
    /// A daemon never returns to an older configuration within one incarnation.
    ConfigurationNeverBack,
    /// A daemon that has refused a key that was taken away never accepts it again.
    RevocationNeverBack,
    /// Retries stay within the fleet's budget.
    RetryBudget,
    /// A cold engine receives no more requests than its rate limit allows.
    ColdBound,
    /// An endpoint that states a rate limit receives no more requests than that allows.
    RateLimit,
    /// An endpoint that states that it is leaving receives no requests that reach a daemon after the
    /// drain time.
    StatedDeparture,
    /// An endpoint that refuses a request and asks for a pause receives few others from that daemon.
    StatedPause,
    /// A part of prompts that crashed five engines, or a request that crashed three endpoints, reaches
    /// few more, unless all daemons are killed.
    CrashesBounded,
    /// A request is refused as banned only if endpoints crash on it.
    SoundPromptsServed,
    /// A daemon that can reach no endpoint serves requests nearly as often as those that can.
    SeveredDaemonsServe,
}

/// A promise that did not hold.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Broken {
    /// The promise.
    pub promise: Promise,
    /// What was observed.
    pub detail: String,
}

#[derive(Debug, Default)]
struct Checker {
    broken: Vec<Broken>,
    checks: BTreeMap<Promise, u64>,
}

impl Checker {
    fn check(&mut self, promise: Promise, holds: bool, detail: impl FnOnce() -> String) {
        *self.checks.entry(promise).or_default() += 1;
        if !holds {
            let detail = detail();
            self.broken.push(Broken { promise, detail });
        }
    }
}

/// Returns the broken promises and how often each promise was checked.
pub fn check(
    plan: &SoakPlan,
    observations: &Observations,
) -> (Vec<Broken>, BTreeMap<Promise, u64>) {
    let mut checker = Checker::default();
    let mut arrivals_by_id: HashMap<&str, Vec<&Arrival>> = HashMap::new();
    for arrival in observations
        .arrivals
        .iter()
        .flat_map(|(_, arrivals)| arrivals)
    {
        if let Some(id) = arrival.head.request_id() {
            arrivals_by_id.entry(id).or_default().push(arrival);
        }
    }
    for request in &observations.requests {
        let arrivals = arrivals_by_id
            .get(request.id.as_str())
            .map_or(&[][..], Vec::as_slice);
        check_executions(&mut checker, request, arrivals);
        check_response(&mut checker, request, observations);
        if plan.is_planned_work() {
            check_lost_requests(&mut checker, plan, request, arrivals, observations);
            check_active_configuration(&mut checker, request, observations);
        }
    }
    check_caller_identity(&mut checker, observations);
    check_retry_budget(&mut checker, observations, &arrivals_by_id);
    check_rollbacks(&mut checker, observations);
    check_cold_engines(&mut checker, observations);
    statements::check_statements(&mut checker, plan, observations);
    check_revocation(&mut checker, observations);
    severed::check_severed_daemons(&mut checker, plan, observations);
    if !plan.kills_all() {
        check_crashes(&mut checker, observations);
    }
    if plan.is_planned_work() {
        check_drained_endpoints(&mut checker, observations);
    }
    (checker.broken, checker.checks)
}

fn run_count(arrivals: &[&Arrival]) -> usize {
    arrivals.iter().filter(|arrival| arrival.is_run).count()
}

fn check_executions(checker: &mut Checker, request: &RequestRecord, arrivals: &[&Arrival]) {
    let runs = run_count(arrivals);
    if !request.call.kind.is_repeatable() {
        checker.check(Promise::AtMostOnce, runs <= 1, || {
            format!("{} {} was run {runs} times", request.call.kind, request.id)
        });
    }
    let status = request
        .response
        .as_ref()
        .map_or(0, |response| response.status);
    if NOT_RUN_STATUSES.contains(&status) && !request.call.kind.is_repeatable() {
        checker.check(Promise::TrueRefusals, runs == 0, || {
            format!(
                "{} {} was answered {status} and run",
                request.call.kind, request.id
            )
        });
    }
}

fn check_response(checker: &mut Checker, request: &RequestRecord, observations: &Observations) {
    if let Some(response) = &request.response {
        let codes = [ErrorKind::PromptBanned, ErrorKind::RequestBanned].map(ErrorKind::code);
        let is_banned = codes.iter().any(|code| response.body.contains(code));
        checker.check(Promise::SoundPromptsServed, !is_banned, || {
            format!("{} {}: {}", request.call.kind, request.id, response.body)
        });
    }
    let Some(response) = request.response.as_ref().filter(|it| it.status == 200) else {
        return;
    };
    let is_stream = matches!(request.call.kind, RequestKind::Chat | RequestKind::Draft);
    if is_stream {
        let ids = response.event_ids();
        let all_ids: Vec<usize> = (1..=request.call.event_count).collect();
        let is_in_order = all_ids.starts_with(&ids) && (!response.is_whole || ids == all_ids);
        checker.check(Promise::EventsInOrder, is_in_order, || {
            format!("{} {}: events {ids:?}", request.call.kind, request.id)
        });
    }
    if !response.is_whole {
        return;
    }
    let is_matching = response.is_signed && response.echoed.as_deref() == Some(request.id.as_str());
    let is_from_endpoint = is_stream
        || observations
            .arrivals
            .iter()
            .any(|(id, _)| *id == response.body);
    checker.check(
        Promise::WholeAnswers,
        is_matching && is_from_endpoint,
        || format!("{} {}: {response:?}", request.call.kind, request.id),
    );
}

/// A request that was read must receive a complete response; refusals count, also the one for an
/// expired deadline.
///
/// A request was certainly read if it reached an endpoint or its response began. Of other ones
/// without a response, the daemon may have closed the connection before they arrived.
fn check_lost_requests(
    checker: &mut Checker,
    plan: &SoakPlan,
    request: &RequestRecord,
    arrivals: &[&Arrival],
    observations: &Observations,
) {
    if arrivals.is_empty() && request.response.is_none() {
        return;
    }
    let response = request.response.as_ref();
    let is_answered = response.is_some_and(|response| response.is_whole);
    let shutdown = observations.shutdowns.iter().find(|shutdown| {
        shutdown.daemon == request.daemon
            && request.sent_at <= shutdown.exited_at
            && request.ended_at >= shutdown.terminated_at
    });
    let grace = plan.limits.shutdown_grace();
    let may_be_cut = shutdown.is_some_and(|shutdown| {
        request.sent_at <= shutdown.terminated_at + grace * CUT_SENT_MAX_EIGHTHS / 8
            && request.ended_at >= shutdown.terminated_at + grace * CUT_MIN_EIGHTHS / 8
    });
    checker.check(Promise::NoneLost, is_answered || may_be_cut, || {
        describe_lost_request(plan, request, shutdown, observations.started_at)
    });
}

fn describe_lost_request(
    plan: &SoakPlan,
    request: &RequestRecord,
    shutdown: Option<&Shutdown>,
    started_at: Instant,
) -> String {
    let seconds = |at: Instant| at.saturating_duration_since(started_at).as_secs_f64();
    let part = request.response.as_ref().map_or_else(
        || "without a response".to_owned(),
        |response| {
            let received = response.event_ids().len();
            let of = request.call.event_count;
            format!(
                "with status {} and {received} of {of} events",
                response.status
            )
        },
    );
    let signal = shutdown.map_or_else(String::new, |shutdown| {
        let (signal, exit) = (seconds(shutdown.terminated_at), seconds(shutdown.exited_at));
        format!("; SIGTERM at {signal:.3} s, exit at {exit:.3} s")
    });
    format!(
        "seed {}: {} {} at edge-{}, sent at {:.3} s, ended at {:.3} s {part}{signal}",
        plan.seed,
        request.call.kind,
        request.id,
        request.daemon,
        seconds(request.sent_at),
        seconds(request.ended_at),
    )
}

/// After the allowed delay, requests to routes of older generations and requests with a revoked
/// key must not succeed.
fn check_active_configuration(
    checker: &mut Checker,
    request: &RequestRecord,
    observations: &Observations,
) {
    let is_active_when_sent = |at: Instant| at + CONFIGURATION_DELAY_MAX < request.sent_at;
    if let RequestKind::Generation(number) = request.call.kind {
        let newer = observations.generations.iter().find(|(it, _)| *it > number);
        if newer.is_some_and(|(_, at)| is_active_when_sent(*at)) {
            checker.check(Promise::ConfigurationInForce, !request.is_success(), || {
                format!("generation {number} ran at edge-{}", request.daemon)
            });
        }
    }
    if request.call.has_spare_key && observations.revoked_at.is_some_and(is_active_when_sent) {
        checker.check(Promise::ConfigurationInForce, !request.is_success(), || {
            format!("{} ran with a key that was taken away", request.id)
        });
    }
}

fn check_caller_identity(checker: &mut Checker, observations: &Observations) {
    for (endpoint, arrivals) in &observations.arrivals {
        for arrival in arrivals.iter().filter(|arrival| arrival.is_run) {
            let customer = arrival.head.customer();
            let is_right = customer == Some(CUSTOMER) && !arrival.head.has_key();
            checker.check(Promise::Keys, is_right, || {
                let (id, line) = (arrival.head.request_id(), &arrival.head.start);
                format!("{endpoint} heard of customer {customer:?} in {line:?}, request {id:?}")
            });
        }
    }
}

/// Checks each window that begins with a repeat, for each service by itself.
fn check_retry_budget(
    checker: &mut Checker,
    observations: &Observations,
    arrivals_by_id: &HashMap<&str, Vec<&Arrival>>,
) {
    for is_model_service in [true, false] {
        let is_of_service =
            |arrivals: &&Vec<&Arrival>| is_model_request(arrivals[0]) == is_model_service;
        let mut requests: Vec<Instant> = observations
            .requests
            .iter()
            .filter(|request| request.call.kind.is_stream() == is_model_service)
            .map(|request| request.sent_at)
            .collect();
        let mut repeats: Vec<Instant> = arrivals_by_id
            .values()
            .filter(is_of_service)
            .flat_map(|arrivals| {
                let mut times: Vec<Instant> = arrivals.iter().map(|it| it.at).collect();
                times.sort_unstable();
                times.into_iter().skip(1)
            })
            .collect();
        requests.sort_unstable();
        repeats.sort_unstable();
        let worst = repeats
            .iter()
            .map(|start| {
                let repeats = count_within(&repeats, *start);
                (repeats, allowed_repeats(&requests, *start))
            })
            .max_by_key(|(repeats, allowed)| repeats.saturating_sub(*allowed));
        let (repeats, allowed) = worst.unwrap_or_default();
        checker.check(Promise::RetryBudget, repeats <= allowed, || {
            let service = if is_model_service { "llm" } else { "desk" };
            format!("{repeats} further sends to {service} in a window, {allowed} allowed")
        });
    }
}

/// Returns how many repeats a window may have: the requests count that were sent in it, in the one
/// before, or in the one half a window before, whichever had most.
fn allowed_repeats(requests: &[Instant], start: Instant) -> u64 {
    let before = [Duration::ZERO, RETRY_WINDOW / 2, RETRY_WINDOW];
    let starts = before
        .iter()
        .filter_map(|before| start.checked_sub(*before));
    let requests = starts.map(|start| count_within(requests, start)).max();
    requests.unwrap_or(0) * RETRY_PERCENT / 100 + RETRY_ALLOWANCE
}

/// Returns how many of the sorted times lie in the window that begins at `start`.
fn count_within(times: &[Instant], start: Instant) -> u64 {
    let first = times.partition_point(|at| *at < start);
    let end = times.partition_point(|at| *at < start + RETRY_WINDOW);
    (end - first) as u64
}

fn is_model_request(arrival: &Arrival) -> bool {
    let target = arrival.head.target();
    target.starts_with("/chat/") || target.starts_with("/draft/")
}

fn check_rollbacks(checker: &mut Checker, observations: &Observations) {
    let generation = |request: &RequestRecord| match request.call.kind {
        RequestKind::Generation(number) => request.is_success().then_some(number),
        RequestKind::Read | RequestKind::Book | RequestKind::Chat | RequestKind::Draft => None,
    };
    let mut by_incarnation: BTreeMap<(usize, u64), Vec<(&RequestRecord, u64)>> = BTreeMap::new();
    for request in &observations.requests {
        if let (Some(incarnation), Some(number)) = (request.incarnation, generation(request)) {
            let key = (request.daemon, incarnation);
            by_incarnation
                .entry(key)
                .or_default()
                .push((request, number));
        }
    }
    for ((daemon, _), requests) in by_incarnation {
        for (later, number) in &requests {
            let was_newer = requests.iter().any(|(earlier, newer)| {
                newer > number && earlier.ended_at + ROLLBACK_TOLERANCE < later.sent_at
            });
            checker.check(Promise::ConfigurationNeverBack, !was_newer, || {
                format!("edge-{daemon} went back to generation {number}")
            });
        }
    }
}

/// A daemon that has refused the key that was taken away never accepts it again.
fn check_revocation(checker: &mut Checker, observations: &Observations) {
    let with_key = observations
        .requests
        .iter()
        .filter(|request| request.call.has_spare_key);
    let mut refused_at: BTreeMap<(usize, u64), Instant> = BTreeMap::new();
    for request in with_key.clone() {
        let status = request.response.as_ref().map(|it| it.status);
        if let (Some(incarnation), Some(401)) = (request.incarnation, status) {
            let at = refused_at
                .entry((request.daemon, incarnation))
                .or_insert(request.ended_at);
            *at = request.ended_at.min(*at);
        }
    }
    for request in with_key {
        let refused_at = request
            .incarnation
            .and_then(|incarnation| refused_at.get(&(request.daemon, incarnation)));
        if refused_at.is_some_and(|at| *at + ROLLBACK_TOLERANCE < request.sent_at) {
            checker.check(Promise::RevocationNeverBack, !request.is_success(), || {
                let (id, daemon) = (&request.id, request.daemon);
                format!("{id} was served by edge-{daemon}, which had refused its key")
            });
        }
    }
}

fn check_cold_engines(checker: &mut Checker, observations: &Observations) {
    for (name, until) in &observations.cold {
        let times = observations
            .arrivals_at(name)
            .filter(|arrival| arrival.is_run && arrival.at < *until)
            .map(|arrival| arrival.at);
        let rate_max = most_within(times, Duration::from_secs(1));
        checker.check(Promise::ColdBound, rate_max <= COLD_MAX_PER_S, || {
            format!("{name} got {rate_max} requests in a second while it was cold")
        });
    }
}

fn check_crashes(checker: &mut Checker, observations: &Observations) {
    let has_bad_part = |arrival: &Arrival| arrival.head.shared_parts().any(|part| part == BAD_PART);
    let is_bad_request = |arrival: &Arrival| arrival.head.target() == BAD_PATH;
    check_late_arrivals(
        checker,
        observations,
        "part",
        PART_CRASHES_MAX,
        has_bad_part,
    );
    check_late_arrivals(
        checker,
        observations,
        "path",
        REQUEST_CRASHES_MAX,
        is_bad_request,
    );
}

/// Checks that few requests that crash endpoints arrive later than daemons must have reacted to a
/// number of crashes.
fn check_late_arrivals(
    checker: &mut Checker,
    observations: &Observations,
    name: &str,
    crashes_max: usize,
    crashes_endpoint: impl Fn(&Arrival) -> bool,
) {
    let arrivals = observations.arrivals.iter().flat_map(|(_, all)| all);
    let crashing = arrivals.filter(|arrival| arrival.is_run && crashes_endpoint(arrival));
    let mut times: Vec<Instant> = crashing.map(|it| it.at).collect();
    times.sort_unstable();
    let Some(last_crash_at) = times.get(crashes_max - 1).copied() else {
        return;
    };
    let is_late = |at: &&Instant| **at > last_crash_at + CRASH_REACTION_TIME;
    let late = times.iter().filter(is_late).count();
    let holds = late <= REQUESTS_AFTER_CRASHES_MAX;
    checker.check(Promise::CrashesBounded, holds, || {
        format!(
            "{late} of {} requests with the {name} were late",
            times.len()
        )
    });
}

fn check_drained_endpoints(checker: &mut Checker, observations: &Observations) {
    let ids: BTreeSet<&str> = observations
        .requests
        .iter()
        .map(|request| request.id.as_str())
        .collect();
    for withdrawal in &observations.withdrawals {
        let late = observations
            .arrivals_at(&withdrawal.endpoint)
            .filter(|arrival| arrival.is_run && arrival.at > withdrawal.at + DRAIN_TIME)
            .filter_map(|arrival| arrival.head.request_id())
            .filter(|id| ids.contains(id))
            .count();
        checker.check(Promise::LeavingLeftAlone, late == 0, || {
            format!("{} got {late} requests", withdrawal.endpoint)
        });
    }
}
