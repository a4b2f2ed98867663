//! Checks how often daemons that are cut off from all endpoints serve requests.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use super::{Checker, Promise};
use crate::soak::callers::RequestRecord;
use crate::soak::fleet::DAEMON_COUNT;
use crate::soak::observations::{EndpointCut, Observations};
use crate::soak::plan::{SoakPlan, Step, StepKind};

/// Time after the beginning of a cut from which it must not be noticeable.
const CONTACT_TIME: Duration = Duration::from_millis(3_000);

/// Share of the requests that such a daemon must serve, in thirds of the share of the others.
const SERVED_MIN_THIRDS: u64 = 2;

/// Failed requests that are tolerated, and the same for each request.
const FAILED_ALLOWANCE: u64 = 10;
const FAILED_DIVISOR: u64 = 50;

/// Requests of some daemons within a time.
#[derive(Debug, Default)]
struct Served {
    requests: u64,
    served: u64,
    /// Requests that weren't served, by what their callers got.
    failures: BTreeMap<String, u64>,
}

impl Served {
    fn add(&mut self, request: &RequestRecord) {
        self.requests += 1;
        if request.is_success() {
            self.served += 1;
            return;
        }
        let got = request.response.as_ref().map_or_else(
            || "nothing".to_owned(),
            |response| match response.status {
                200 => "a part".to_owned(),
                _ => response.body.clone(),
            },
        );
        let kind = format!("{}: {got}", request.call.kind);
        *self.failures.entry(kind).or_default() += 1;
    }
}

pub(super) fn check_severed_daemons(
    checker: &mut Checker,
    plan: &SoakPlan,
    observations: &Observations,
) {
    for cut in &observations.endpoint_cuts {
        let window = cut.from + CONTACT_TIME..cut.until;
        let is_severed_alone = |daemon: usize| {
            let mut cuts = observations.endpoint_cuts.iter();
            cuts.any(|it| it.daemon == daemon && it.from < window.end && it.until > window.start)
        };
        if is_disturbed(plan, observations.started_at, cut) {
            continue;
        }
        let (mut severed, mut others) = (Served::default(), Served::default());
        let sent_then = observations
            .requests
            .iter()
            .filter(|request| window.contains(&request.sent_at) && request.ended_at < window.end)
            .filter(|request| !is_disallowed(request));
        for request in sent_then {
            match request.daemon == cut.daemon {
                true => severed.add(request),
                false if is_severed_alone(request.daemon) => {}
                false => others.add(request),
            }
        }
        let failed = severed.requests - severed.served;
        let is_rare = failed <= FAILED_ALLOWANCE + severed.requests / FAILED_DIVISOR;
        let is_fair = severed.served * others.requests * 3
            >= others.served * severed.requests * SERVED_MIN_THIRDS;
        checker.check(Promise::SeveredDaemonsServe, is_rare || is_fair, || {
            format!(
                "edge-{} served {} of {} requests behind a cut, the others {} of {}; it failed {:?}",
                cut.daemon,
                severed.served,
                severed.requests,
                others.served,
                others.requests,
                severed.failures
            )
        });
    }
}

/// Returns whether the configuration has no such route or key, which no daemon serves.
fn is_disallowed(request: &RequestRecord) -> bool {
    let status = request.response.as_ref().map(|response| response.status);
    matches!(status, Some(401 | 404))
}

/// Returns whether the daemon doesn't run all the while, or all daemons are killed.
fn is_disturbed(plan: &SoakPlan, started_at: Instant, cut: &EndpointCut) -> bool {
    let affects = |step: &&Step| {
        let is_down = matches!(
            step.kind,
            StepKind::TerminateDaemon
                | StepKind::TerminateDaemonTwice
                | StepKind::TerminateAndReloadDaemon
                | StepKind::KillDaemon
                | StepKind::FreezeDaemon
        );
        let is_own = is_down && step.target % DAEMON_COUNT == cut.daemon;
        let begins_before_end = started_at + step.start() < cut.until;
        begins_before_end && (is_own || step.kind == StepKind::KillAll)
    };
    plan.steps.iter().any(|step| affects(&step))
}
