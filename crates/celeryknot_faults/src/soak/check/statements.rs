//! Checks what endpoints state about themselves: rate limits, departures and pauses.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::{Duration, Instant};

use celeryknot_kinrin_standins::engine::Arrival;
use celeryknot_standins::counters::most_within;

use super::{Checker, Promise};
use crate::soak::callers::RequestRecord;
use crate::soak::fleet::{DAEMON_COUNT, DRAIN_TIME};
use crate::soak::observations::Observations;
use crate::soak::plan::{SoakPlan, StepKind};

/// Time after a request's arrival at which its daemon has had the response that states something.
const TOLD_TIME: Duration = Duration::from_millis(600);

/// A stated rate limit is kept in every window from a time after it was first stated: the limit times
/// a factor, and an allowance, of requests from daemons that had been told.
const RATE_REACTION_TIME: Duration = Duration::from_millis(3_000);
const RATE_WINDOW: Duration = Duration::from_millis(4_000);
const RATE_FACTOR: f64 = 1.5;
const RATE_ALLOWANCE: f64 = 5.0;

/// Requests of a daemon that may reach an endpoint from some time after its refusal until the end of
/// the pause that it asked for.
const PAUSE_GRACE: Duration = Duration::from_millis(500);
const PAUSE_ARRIVALS_MAX: usize = 2;

/// A daemon and its incarnation.
type Sender = (usize, u64);

/// The requests of callers by id, without those to daemons that were suspended, which may be sent
/// late.
struct Requests<'a>(HashMap<&'a str, &'a RequestRecord>);

impl<'a> Requests<'a> {
    fn new(plan: &SoakPlan, observations: &'a Observations) -> Self {
        let frozen: BTreeSet<usize> = plan
            .steps
            .iter()
            .filter(|step| step.kind == StepKind::FreezeDaemon)
            .map(|step| step.target % DAEMON_COUNT)
            .collect();
        let requests = observations.requests.iter();
        let of_running = requests.filter(|request| !frozen.contains(&request.daemon));
        Self(of_running.map(|it| (it.id.as_str(), it)).collect())
    }

    /// Returns the request that arrived and the daemon that sent it.
    fn find(&self, arrival: &Arrival) -> Option<(&'a RequestRecord, Sender)> {
        let request = *self.0.get(arrival.head.request_id()?)?;
        Some((request, (request.daemon, request.incarnation?)))
    }
}

pub(super) fn check_statements(
    checker: &mut Checker,
    plan: &SoakPlan,
    observations: &Observations,
) {
    let requests = Requests::new(plan, observations);
    check_rate_limits(checker, &requests, observations);
    check_departures(checker, &requests, observations);
    check_pauses(checker, &requests, observations);
}

fn check_rate_limits(checker: &mut Checker, requests: &Requests<'_>, observations: &Observations) {
    for limit in &observations.stated_limits {
        let mut told_at: BTreeMap<Sender, Instant> = BTreeMap::new();
        let mut times = Vec::new();
        let mut arrivals: Vec<&Arrival> = observations.arrivals_at(&limit.endpoint).collect();
        arrivals.sort_unstable_by_key(|arrival| arrival.at);
        let stated = arrivals
            .into_iter()
            .filter(|arrival| (limit.from..limit.until).contains(&arrival.at));
        for arrival in stated {
            let Some((request, sender)) = requests.find(arrival) else {
                continue;
            };
            if request.response.is_none() {
                continue;
            }
            let told_at = *told_at.entry(sender).or_insert(arrival.at);
            let has_reacted = arrival.at >= limit.from + RATE_REACTION_TIME;
            if has_reacted && arrival.at >= told_at + TOLD_TIME {
                times.push(arrival.at);
            }
        }
        let most = most_within(times, RATE_WINDOW);
        let allowed = limit.rate_per_s * RATE_WINDOW.as_secs_f64() * RATE_FACTOR + RATE_ALLOWANCE;
        checker.check(Promise::RateLimit, most as f64 <= allowed, || {
            format!(
                "{} got {most} requests in a window at {} a second, {allowed} allowed",
                limit.endpoint, limit.rate_per_s
            )
        });
    }
}

fn check_departures(checker: &mut Checker, requests: &Requests<'_>, observations: &Observations) {
    for (endpoint, from) in &observations.stated_departures {
        let found: Vec<(&Arrival, &RequestRecord, Sender)> = observations
            .arrivals_at(endpoint)
            .filter(|arrival| arrival.at >= *from)
            .filter_map(|arrival| {
                let (request, sender) = requests.find(arrival)?;
                Some((arrival, request, sender))
            })
            .collect();
        let mut told_at: BTreeMap<Sender, Instant> = BTreeMap::new();
        for (arrival, request, sender) in &found {
            if request.response.is_some() {
                let at = told_at.entry(*sender).or_insert(arrival.at);
                *at = arrival.at.min(*at);
            }
        }
        let is_late = |request: &RequestRecord, sender: &Sender| {
            told_at
                .get(sender)
                .is_some_and(|at| request.sent_at > *at + TOLD_TIME + DRAIN_TIME)
        };
        let late = found.iter().filter(|(_, it, sender)| is_late(it, sender));
        let late = late.count();
        checker.check(Promise::StatedDeparture, late == 0, || {
            format!("{endpoint} got {late} requests after it stated that it was leaving")
        });
    }
}

fn check_pauses(checker: &mut Checker, requests: &Requests<'_>, observations: &Observations) {
    for pause in &observations.stated_pauses {
        let arrivals: Vec<(Instant, Sender)> = observations
            .arrivals_at(&pause.endpoint)
            .filter_map(|arrival| Some((arrival.at, requests.find(arrival)?.1)))
            .collect();
        let refused = arrivals
            .iter()
            .filter(|(at, _)| (pause.from..pause.until).contains(at));
        for (refused_at, sender) in refused {
            let window = *refused_at + PAUSE_GRACE..*refused_at + pause.pause;
            let is_early =
                |(at, other): &&(Instant, Sender)| other == sender && window.contains(at);
            let early = arrivals.iter().filter(is_early).count();
            checker.check(Promise::StatedPause, early <= PAUSE_ARRIVALS_MAX, || {
                let (endpoint, daemon) = (&pause.endpoint, sender.0);
                format!("{endpoint} got {early} requests of edge-{daemon} in its pause")
            });
        }
    }
}
