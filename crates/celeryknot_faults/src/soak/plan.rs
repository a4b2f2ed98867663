//! The steps of one run of the soak, drawn from a seed.

use std::fmt;
use std::ops::Range;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, RngExt, SeedableRng};
use strum::{Display, EnumIter, IntoEnumIterator, IntoStaticStr};

use super::fleet::DAEMON_COUNT;
use crate::plan::Seed;

/// Upper bound of the start time of a step.
const START_MAX_MS: u64 = 6_000;

/// Upper bound of the duration of a step.
const DURATION_MAX_MS: u64 = 3_000;

/// Minimum and maximum number of steps.
const STEPS_MIN: usize = 4;
const STEPS_MAX: usize = 9;

/// Every third seed has planned work only, to check the promises that hold only then.
const PLANNED_SEED_INTERVAL: u64 = 3;

/// Minimum number of daemons in a series of shutdowns.
const SERIES_DAEMONS_MIN: usize = 3;

/// Upper bound of the start time of a series of shutdowns, and bounds of the gap between two of
/// them.
const SERIES_START_MAX_MS: u64 = 3_000;
const SERIES_GAP_MIN_MS: u64 = 500;
const SERIES_GAP_MAX_MS: u64 = 3_000;

/// Number of changes during a series of shutdowns.
const SERIES_CHANGE_COUNT: usize = 3;

/// The shutdowns of a series.
const SHUTDOWN_KINDS: [StepKind; 3] = [
    StepKind::TerminateDaemon,
    StepKind::TerminateDaemonTwice,
    StepKind::TerminateAndReloadDaemon,
];

/// The changes during a series of shutdowns.
const CHANGE_KINDS: [StepKind; 3] = [
    StepKind::ChangeConfiguration,
    StepKind::DrainEndpoint,
    StepKind::AddColdEndpoint,
];

/// Maximum number of steps of engines with unframed responses, and their kinds.
const UNFRAMED_STEPS_MAX: usize = 3;
const UNFRAMED_KINDS: [StepKind; 2] = [StepKind::EngineUnframed, StepKind::EngineUnframedTruncates];

/// Maximum number of steps that crash engines, and their kinds.
const CRASH_STEPS_MAX: usize = 4;
const CRASH_KINDS: [StepKind; 2] = [StepKind::EngineCrash, StepKind::BadPrompts];

/// First of the seeds that have requests that crash endpoints; lower ones keep the steps with which
/// they were recorded.
const BAD_REQUEST_SEED_MIN: u64 = 9_000;

/// Maximum number of steps with requests that crash endpoints, and their kind.
const BAD_REQUEST_STEPS_MAX: usize = 2;
const BAD_REQUEST_KINDS: [StepKind; 1] = [StepKind::BadRequests];

/// First of the seeds in which endpoints leave and pause by their own statement, and the store is
/// restored; lower ones keep the steps with which they were recorded.
const STATEMENT_SEED_MIN: u64 = 10_000;

/// Maximum number of such steps, and their kinds.
const STATEMENT_STEPS_MAX: usize = 5;
const STATEMENT_KINDS: [StepKind; 3] = [
    StepKind::EndpointLeaves,
    StepKind::EndpointPauses,
    StepKind::RestoreStore,
];

/// First of the seeds in which daemons are cut off from endpoints; lower ones keep the steps with
/// which they were recorded.
const CUT_SEED_MIN: u64 = 12_000;

/// Maximum number of such steps, and bounds of their times.
const CUT_STEPS_MAX: usize = 4;
const CUT_START_MAX_MS: u64 = 3_000;
const CUT_DURATION_MIN_MS: u64 = 4_000;
const CUT_DURATION_MAX_MS: u64 = 8_000;

/// Maximum number of steps in which an endpoint states a rate limit, and bounds of their times.
const LIMIT_STEPS_MAX: usize = 3;
const LIMIT_START_MAX_MS: u64 = 3_000;
const LIMIT_DURATION_MIN_MS: u64 = 5_000;
const LIMIT_DURATION_MAX_MS: u64 = 9_000;

/// Idle timeouts of callers' connections; most are shorter than the longest streams.
const IDLE_TIMEOUTS_MS: [u64; 5] = [1_000, 1_500, 2_500, 4_000, 10_000];

/// Grace times of a shutdown; 8 s is the users'.
const SHUTDOWN_GRACES_S: [u64; 3] = [5, 6, 8];

/// The kinds of step.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum StepKind {
    /// A daemon is shut down with SIGTERM and replaced.
    #[strum(serialize = "term-daemon")]
    TerminateDaemon,
    /// A daemon is shut down with SIGTERM, gets another one meanwhile, and is replaced.
    #[strum(serialize = "term-daemon-twice")]
    TerminateDaemonTwice,
    /// A daemon is shut down with SIGTERM, gets SIGHUP meanwhile, and is replaced.
    #[strum(serialize = "term-hup-daemon")]
    TerminateAndReloadDaemon,
    /// A daemon reloads its settings on SIGHUP.
    #[strum(serialize = "hup-daemon")]
    ReloadDaemon,
    /// A newer configuration adds one route and removes another.
    ChangeConfiguration,
    /// An endpoint drains, is delisted and is replaced by a new one.
    DrainEndpoint,
    /// A new, cold endpoint replaces one that is delisted without draining.
    AddColdEndpoint,
    /// A key of the customer is revoked.
    RevokeKey,
    /// A daemon is killed and replaced.
    KillDaemon,
    /// All daemons are killed at once and replaced.
    KillAll,
    /// A daemon is suspended and resumed later.
    FreezeDaemon,
    /// The store refuses all calls.
    StoreRefuses,
    /// The store does not respond.
    #[strum(serialize = "store-silent")]
    StoreUnresponsive,
    /// A network partition separates one daemon from the store.
    #[strum(serialize = "cut-from-store")]
    PartitionFromStore,
    /// The store loses its history.
    #[strum(serialize = "store-forgets")]
    StoreHistoryLost,
    /// All connections to an endpoint are reset repeatedly.
    ResetEndpoint,
    /// The open connections to an endpoint stop carrying data.
    SilenceEndpoint,
    /// Connections to an endpoint are slow.
    DelayEndpoint,
    /// An endpoint responds with errors.
    EndpointErrors,
    /// An endpoint runs requests and resets the connection before it responds.
    #[strum(serialize = "endpoint-loses-answers")]
    EndpointDropsResponses,
    /// An endpoint truncates its responses.
    EndpointTruncates,
    /// An endpoint responds with another request's id.
    #[strum(serialize = "endpoint-crosses")]
    EndpointMixesResponses,
    /// An endpoint refuses requests as it is at capacity.
    EndpointFull,
    /// An engine's responses have neither a length nor chunks.
    EngineUnframed,
    /// The same, and they end inside an event.
    EngineUnframedTruncates,
    /// An engine crashes and starts again.
    EngineCrash,
    /// Prompts with a part under which every engine crashes.
    BadPrompts,
    /// An endpoint states a rate limit.
    LimitRate,
    /// A request that crashes each endpoint of the plain service that runs it.
    BadRequests,
    /// An endpoint states that it is leaving, while its entry in the store says nothing, and is
    /// replaced.
    EndpointLeaves,
    /// An endpoint refuses requests for a moment and asks for no further ones for a longer time.
    EndpointPauses,
    /// The store is restored from a copy, and what was written since is written again.
    RestoreStore,
    /// A network partition separates one daemon from all endpoints.
    CutFromEndpoints,
}

impl StepKind {
    /// Returns whether this is planned work of operators, which must fail no request.
    pub const fn is_planned(self) -> bool {
        matches!(
            self,
            Self::TerminateDaemon
                | Self::TerminateDaemonTwice
                | Self::TerminateAndReloadDaemon
                | Self::ReloadDaemon
                | Self::ChangeConfiguration
                | Self::DrainEndpoint
                | Self::AddColdEndpoint
                | Self::RevokeKey
        )
    }

    /// Returns whether this is part of a series only, which is drawn after the other steps.
    const fn is_in_series_only(self) -> bool {
        matches!(
            self,
            Self::TerminateDaemonTwice
                | Self::TerminateAndReloadDaemon
                | Self::EngineUnframed
                | Self::EngineUnframedTruncates
                | Self::EngineCrash
                | Self::BadPrompts
                | Self::LimitRate
                | Self::BadRequests
                | Self::EndpointLeaves
                | Self::EndpointPauses
                | Self::RestoreStore
                | Self::CutFromEndpoints
        )
    }
}

/// One step of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Step {
    /// The kind of step.
    pub kind: StepKind,
    /// Index of the affected daemon or endpoint, modulo their number.
    pub target: usize,
    /// Start time, relative to the start of the load.
    pub start_ms: u64,
    /// Duration.
    pub duration_ms: u64,
}

impl Step {
    /// Returns the start time, relative to the start of the load.
    pub fn start(&self) -> Duration {
        Duration::from_millis(self.start_ms)
    }

    /// Returns the duration.
    pub fn duration(&self) -> Duration {
        Duration::from_millis(self.duration_ms)
    }
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} of {} from {} ms for {} ms",
            self.kind, self.target, self.start_ms, self.duration_ms
        )
    }
}

/// The limits of one run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RunLimits {
    /// Idle timeout of callers' connections.
    pub idle_timeout_ms: u64,
    /// Grace time of a daemon's shutdown.
    pub shutdown_grace_s: u64,
}

impl RunLimits {
    fn draw(rng: &mut impl Rng) -> Self {
        Self {
            idle_timeout_ms: IDLE_TIMEOUTS_MS[rng.random_range(0..IDLE_TIMEOUTS_MS.len())],
            shutdown_grace_s: SHUTDOWN_GRACES_S[rng.random_range(0..SHUTDOWN_GRACES_S.len())],
        }
    }

    /// Returns the idle timeout of callers' connections.
    pub fn idle_timeout(&self) -> Duration {
        Duration::from_millis(self.idle_timeout_ms)
    }

    /// Returns the grace time of a daemon's shutdown.
    pub fn shutdown_grace(&self) -> Duration {
        Duration::from_secs(self.shutdown_grace_s)
    }
}

/// The steps of one run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SoakPlan {
    /// The seed that the plan was drawn from.
    pub seed: Seed,
    /// The limits of the daemons.
    pub limits: RunLimits,
    /// The steps, sorted by start time; they may overlap.
    pub steps: Vec<Step>,
}

impl SoakPlan {
    /// Draws the steps of a seed.
    ///
    /// # Examples
    ///
    /// ```
    /// use celeryknot_faults::plan::Seed;
    /// use celeryknot_faults::soak::plan::SoakPlan;
    ///
    /// let plan = SoakPlan::from_seed(Seed(3));
    /// assert_eq!(plan, SoakPlan::from_seed(Seed(3)));
    /// assert!(plan.is_planned_work(), "a third of the seeds");
    /// ```
    pub fn from_seed(seed: Seed) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed.0);
        let is_planned = seed.0.is_multiple_of(PLANNED_SEED_INTERVAL);
        let kinds: Vec<StepKind> = StepKind::iter()
            .filter(|kind| !kind.is_in_series_only() && (!is_planned || kind.is_planned()))
            .collect();
        let count = rng.random_range(STEPS_MIN..=STEPS_MAX);
        let mut steps: Vec<Step> = (0..count)
            .map(|_| Step {
                kind: kinds[rng.random_range(0..kinds.len())],
                target: rng.random_range(0..60),
                start_ms: rng.random_range(300..START_MAX_MS),
                duration_ms: rng.random_range(300..DURATION_MAX_MS),
            })
            .collect();
        // Drawn after the steps, so that a seed that failed in the past keeps them.
        let limits = RunLimits::draw(&mut rng);
        match is_planned {
            true => steps.extend(draw_series(&mut rng)),
            false => {
                steps.extend(draw_engine_steps(
                    &mut rng,
                    &UNFRAMED_KINDS,
                    UNFRAMED_STEPS_MAX,
                ));
                steps.extend(draw_engine_steps(&mut rng, &CRASH_KINDS, CRASH_STEPS_MAX));
                steps.extend(draw_long_steps(&mut rng, &LIMIT_STEPS));
                if seed.0 >= BAD_REQUEST_SEED_MIN {
                    steps.extend(draw_engine_steps(
                        &mut rng,
                        &BAD_REQUEST_KINDS,
                        BAD_REQUEST_STEPS_MAX,
                    ));
                }
                if seed.0 >= STATEMENT_SEED_MIN {
                    steps.extend(draw_engine_steps(
                        &mut rng,
                        &STATEMENT_KINDS,
                        STATEMENT_STEPS_MAX,
                    ));
                }
                if seed.0 >= CUT_SEED_MIN {
                    steps.extend(draw_long_steps(&mut rng, &CUT_STEPS));
                }
            }
        }
        steps.sort_by_key(|step| step.start_ms);
        Self {
            seed,
            limits,
            steps,
        }
    }

    /// Returns whether all daemons are killed at once, and with them what only they know.
    pub fn kills_all(&self) -> bool {
        self.steps.iter().any(|step| step.kind == StepKind::KillAll)
    }

    /// Returns whether all steps are planned work of operators.
    pub fn is_planned_work(&self) -> bool {
        self.steps.iter().all(|step| step.kind.is_planned())
    }
}

/// Draws shutdowns of daemons one after the other, with gaps that are often shorter than the grace
/// time divided by the number of daemons, and changes meanwhile.
fn draw_series(rng: &mut impl Rng) -> Vec<Step> {
    let first_daemon = rng.random_range(0..DAEMON_COUNT);
    let count = rng.random_range(SERIES_DAEMONS_MIN..=DAEMON_COUNT);
    let start_ms = rng.random_range(300..SERIES_START_MAX_MS);
    let gap_ms = rng.random_range(SERIES_GAP_MIN_MS..=SERIES_GAP_MAX_MS);
    let end_ms = start_ms + gap_ms * count as u64;
    let mut steps: Vec<Step> = (0..count)
        .map(|index| Step {
            kind: SHUTDOWN_KINDS[rng.random_range(0..SHUTDOWN_KINDS.len())],
            target: first_daemon + index,
            start_ms: start_ms + gap_ms * index as u64,
            duration_ms: rng.random_range(300..DURATION_MAX_MS),
        })
        .collect();
    steps.extend((0..SERIES_CHANGE_COUNT).map(|_| Step {
        kind: CHANGE_KINDS[rng.random_range(0..CHANGE_KINDS.len())],
        target: rng.random_range(0..60),
        start_ms: rng.random_range(start_ms..end_ms),
        duration_ms: 0,
    }));
    steps
}

/// Draws a series of steps of the given kinds that affect engines.
fn draw_engine_steps(rng: &mut impl Rng, kinds: &[StepKind], count_max: usize) -> Vec<Step> {
    let count = rng.random_range(0..=count_max);
    let steps = (0..count).map(|_| Step {
        kind: kinds[rng.random_range(0..kinds.len())],
        target: rng.random_range(0..60),
        start_ms: rng.random_range(300..START_MAX_MS),
        duration_ms: rng.random_range(300..DURATION_MAX_MS),
    });
    steps.collect()
}

/// A kind of step that lasts longer than the time in which daemons must have reacted.
struct LongSteps {
    kind: StepKind,
    count_max: usize,
    start_max_ms: u64,
    duration_ms: Range<u64>,
}

const LIMIT_STEPS: LongSteps = LongSteps {
    kind: StepKind::LimitRate,
    count_max: LIMIT_STEPS_MAX,
    start_max_ms: LIMIT_START_MAX_MS,
    duration_ms: LIMIT_DURATION_MIN_MS..LIMIT_DURATION_MAX_MS,
};

const CUT_STEPS: LongSteps = LongSteps {
    kind: StepKind::CutFromEndpoints,
    count_max: CUT_STEPS_MAX,
    start_max_ms: CUT_START_MAX_MS,
    duration_ms: CUT_DURATION_MIN_MS..CUT_DURATION_MAX_MS,
};

fn draw_long_steps(rng: &mut impl Rng, steps: &LongSteps) -> Vec<Step> {
    let count = rng.random_range(0..=steps.count_max);
    let steps = (0..count).map(|_| Step {
        kind: steps.kind,
        target: rng.random_range(0..60),
        start_ms: rng.random_range(300..steps.start_max_ms),
        duration_ms: rng.random_range(steps.duration_ms.clone()),
    });
    steps.collect()
}

impl fmt::Display for SoakPlan {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let RunLimits {
            idle_timeout_ms,
            shutdown_grace_s,
        } = self.limits;
        write!(
            f,
            "seed {}; idle timeout {idle_timeout_ms} ms, grace time {shutdown_grace_s} s",
            self.seed
        )?;
        for step in &self.steps {
            write!(f, "; {step}")?;
        }
        Ok(())
    }
}
