//! Checks what was seen in a run against the promises.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::{Duration, Instant};

use celeryknot_kinrin_standins::engine::Arrival;
use celeryknot_kinrin_standins::site::CUSTOMER;
use serde::Serialize;
use strum::{Display, EnumIter, IntoStaticStr};

use super::callers::{AskKind, Asked, whole_stream};
use super::fleet::{COLD_MAX_PER_S, CONFIGURATION, DRAIN, RETRY_ALLOWANCE, Seen};
use super::plan::SoakPlan;

/// Requests in a hundred that may be sent once more, besides the allowance.
const RETRY_PERCENT: u64 = 20;

/// Time after the effect of a configuration was seen from which no older one may show.
const DOWNGRADE: Duration = Duration::from_millis(250);

/// Statuses that promise that the request was not run and never will be.
const NOT_RUN: [u16; 4] = [408, 421, 429, 503];

/// What always holds, or holds around planned work.
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
    /// What is not repeatable runs at most once.
    AtMostOnce,
    /// What was refused as not run has not run.
    TrueRefusals,
    /// A success is the whole answer of an endpoint to this very request.
    WholeAnswers,
    /// A stream has each event once and in order, and is complete only behind its last one.
    EventsInOrder,
    /// Endpoints hear the right customer and no key.
    Keys,
    /// No request that an endpoint ran is left without an answer around planned work.
    NoneLost,
    /// A leaving endpoint gets nothing after the drain time.
    LeavingLeftAlone,
    /// A configuration is in force in time.
    ConfigurationInForce,
    /// A life of a daemon never goes back to an older configuration.
    ConfigurationNeverBack,
    /// Further sends stay within the fleet's budget.
    RetryBudget,
    /// A cold engine gets no more than its bound.
    ColdBound,
}

/// A promise that did not hold.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Broken {
    /// The promise.
    pub promise: Promise,
    /// What was seen.
    pub detail: String,
}

#[derive(Debug, Default)]
struct Checker {
    broken: Vec<Broken>,
    checks: BTreeMap<Promise, u64>,
}

impl Checker {
    fn expect(&mut self, promise: Promise, holds: bool, detail: impl FnOnce() -> String) {
        *self.checks.entry(promise).or_default() += 1;
        if !holds {
            let detail = detail();
            self.broken.push(Broken { promise, detail });
        }
    }
}

/// Returns the promises that were broken, and how often each was checked.
pub fn check(plan: &SoakPlan, seen: &Seen) -> (Vec<Broken>, BTreeMap<Promise, u64>) {
    let mut checker = Checker::default();
    let mut runs: HashMap<&str, Vec<&Arrival>> = HashMap::new();
    for arrival in seen.arrivals.iter().flat_map(|(_, arrivals)| arrivals) {
        if let Some(id) = arrival.head.request_id() {
            runs.entry(id).or_default().push(arrival);
        }
    }
    for asked in &seen.asked {
        let arrivals = runs.get(asked.id.as_str()).map_or(&[][..], Vec::as_slice);
        check_runs(&mut checker, asked, arrivals);
        check_answer(&mut checker, asked, seen);
        if plan.is_planned_work() {
            check_none_lost(&mut checker, asked, arrivals);
            check_in_force(&mut checker, asked, seen);
        }
    }
    check_arrivals(&mut checker, seen);
    check_budget(&mut checker, seen, &runs);
    check_never_back(&mut checker, seen);
    check_cold(&mut checker, seen);
    if plan.is_planned_work() {
        check_leaving(&mut checker, seen);
    }
    (checker.broken, checker.checks)
}

fn run_count(arrivals: &[&Arrival]) -> usize {
    arrivals.iter().filter(|arrival| arrival.is_run).count()
}

fn check_runs(checker: &mut Checker, asked: &Asked, arrivals: &[&Arrival]) {
    let runs = run_count(arrivals);
    if !asked.kind.is_repeatable() {
        checker.expect(Promise::AtMostOnce, runs <= 1, || {
            format!("{} {} was run {runs} times", asked.kind, asked.id)
        });
    }
    let status = asked.answer.as_ref().map_or(0, |answer| answer.status);
    if NOT_RUN.contains(&status) && !asked.kind.is_repeatable() {
        checker.expect(Promise::TrueRefusals, runs == 0, || {
            format!("{} {} was answered {status} and run", asked.kind, asked.id)
        });
    }
}

fn check_answer(checker: &mut Checker, asked: &Asked, seen: &Seen) {
    let Some(answer) = asked.answer.as_ref().filter(|it| it.status == 200) else {
        return;
    };
    let is_stream = matches!(asked.kind, AskKind::Chat | AskKind::Draft);
    if is_stream {
        let ids = answer.event_ids();
        let whole = whole_stream();
        let is_in_order = whole.starts_with(&ids) && (!answer.is_whole || ids == whole);
        checker.expect(Promise::EventsInOrder, is_in_order, || {
            format!("{} {}: events {ids:?}", asked.kind, asked.id)
        });
    }
    if !answer.is_whole {
        return;
    }
    let is_own = answer.is_signed && answer.echoed.as_deref() == Some(asked.id.as_str());
    let is_body = is_stream || seen.arrivals.iter().any(|(id, _)| *id == answer.body);
    checker.expect(Promise::WholeAnswers, is_own && is_body, || {
        format!("{} {}: {answer:?}", asked.kind, asked.id)
    });
}

/// A request that ran needs an answer; one that ran into its own time limit has had one.
fn check_none_lost(checker: &mut Checker, asked: &Asked, arrivals: &[&Arrival]) {
    if run_count(arrivals) > 0 {
        let is_answered = asked.answer.as_ref().is_some_and(|answer| answer.is_whole);
        checker.expect(Promise::NoneLost, is_answered, || {
            format!("{} {} at edge-{}", asked.kind, asked.id, asked.daemon)
        });
    }
}

/// After its time, only the newest generation's route may run, and no key that was taken away.
fn check_in_force(checker: &mut Checker, asked: &Asked, seen: &Seen) {
    let in_force_at = |at: Instant| at + CONFIGURATION < asked.sent_at;
    if let AskKind::Generation(number) = asked.kind {
        let newer = seen.generations.iter().find(|(it, _)| *it > number);
        if newer.is_some_and(|(_, at)| in_force_at(*at)) {
            checker.expect(Promise::ConfigurationInForce, !asked.is_success(), || {
                format!("generation {number} ran at edge-{}", asked.daemon)
            });
        }
    }
    if asked.has_spare_key && seen.revoked_at.is_some_and(in_force_at) {
        checker.expect(Promise::ConfigurationInForce, !asked.is_success(), || {
            format!("{} ran with a key that was taken away", asked.id)
        });
    }
}

fn check_arrivals(checker: &mut Checker, seen: &Seen) {
    for (endpoint, arrivals) in &seen.arrivals {
        for arrival in arrivals.iter().filter(|arrival| arrival.is_run) {
            let customer = arrival.head.customer();
            let is_right = customer == Some(CUSTOMER) && !arrival.head.has_key();
            checker.expect(Promise::Keys, is_right, || {
                format!("{endpoint} heard of customer {customer:?}")
            });
        }
    }
}

fn check_budget(checker: &mut Checker, seen: &Seen, runs: &HashMap<&str, Vec<&Arrival>>) {
    let further: u64 = runs
        .values()
        .map(|arrivals| arrivals.len() as u64 - 1)
        .sum();
    let allowed = seen.asked.len() as u64 * RETRY_PERCENT / 100 + RETRY_ALLOWANCE;
    checker.expect(Promise::RetryBudget, further <= allowed, || {
        format!("{further} further sends, {allowed} allowed")
    });
}

fn check_never_back(checker: &mut Checker, seen: &Seen) {
    let generation = |asked: &Asked| match asked.kind {
        AskKind::Generation(number) => asked.is_success().then_some(number),
        AskKind::Read | AskKind::Book | AskKind::Chat | AskKind::Draft => None,
    };
    let mut by_life: BTreeMap<(usize, u64), Vec<(&Asked, u64)>> = BTreeMap::new();
    for asked in &seen.asked {
        if let (Some(life), Some(number)) = (asked.life, generation(asked)) {
            let key = (asked.daemon, life);
            by_life.entry(key).or_default().push((asked, number));
        }
    }
    for ((daemon, _), asked) in by_life {
        for (later, number) in &asked {
            let was_newer = asked.iter().any(|(earlier, newer)| {
                newer > number && earlier.ended_at + DOWNGRADE < later.sent_at
            });
            checker.expect(Promise::ConfigurationNeverBack, !was_newer, || {
                format!("edge-{daemon} went back to generation {number}")
            });
        }
    }
}

fn check_cold(checker: &mut Checker, seen: &Seen) {
    for (name, until) in &seen.cold {
        let mut times: Vec<Instant> = seen
            .arrivals_at(name)
            .filter(|arrival| arrival.is_run && arrival.at < *until)
            .map(|arrival| arrival.at)
            .collect();
        times.sort_unstable();
        let most = times
            .iter()
            .map(|from| {
                let is_within = |at: &&Instant| {
                    *at >= from && at.duration_since(*from) < Duration::from_secs(1)
                };
                times.iter().filter(is_within).count()
            })
            .max();
        let most = most.unwrap_or(0);
        checker.expect(Promise::ColdBound, most <= COLD_MAX_PER_S, || {
            format!("{name} got {most} requests in a second while it was cold")
        });
    }
}

fn check_leaving(checker: &mut Checker, seen: &Seen) {
    let ids: BTreeSet<&str> = seen.asked.iter().map(|asked| asked.id.as_str()).collect();
    for withdrawal in &seen.withdrawals {
        let late = seen
            .arrivals_at(&withdrawal.endpoint)
            .filter(|arrival| arrival.is_run && arrival.at > withdrawal.at + DRAIN)
            .filter_map(|arrival| arrival.head.request_id())
            .filter(|id| ids.contains(id))
            .count();
        checker.expect(Promise::LeavingLeftAlone, late == 0, || {
            format!("{} got {late} requests", withdrawal.endpoint)
        });
    }
}
