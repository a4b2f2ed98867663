//! The failures of one run with their times and durations, drawn from a seed.

use std::fmt;

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use serde::Serialize;
use strum::{Display, EnumIter, EnumString, IntoEnumIterator, IntoStaticStr};

/// The seed of one run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(transparent)]
pub struct Seed(pub u64);

impl fmt::Display for Seed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl std::str::FromStr for Seed {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self)
    }
}

/// The kinds of failure that a run can inject.
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
    EnumString,
    IntoStaticStr,
    Serialize,
)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum FailureKind {
    /// A daemon is killed and replaced.
    KillDaemon,
    /// A daemon is suspended and resumed later.
    FreezeDaemon,
    /// A daemon is shut down gracefully and replaced.
    ReplaceDaemon,
    /// All connections to an endpoint are reset.
    CutEndpoint,
    /// All open connections to an endpoint stop carrying data; new ones work.
    SilenceEndpoint,
    /// All open connections between daemons stop carrying data; new ones work.
    SilencePeers,
    /// A network partition splits the fleet in two.
    SplitFleet,
    /// Messages and requests between daemons are reordered by varying delays.
    DelayPeers,
    /// All replicas of the platform are down.
    PlatformDown,
    /// One replica of the platform is stale.
    PlatformStale,
    /// Operators take a zone out of service and back in.
    ZoneOut,
    /// An endpoint drains and rejoins.
    EndpointLeaves,
    /// An endpoint becomes cold without notice.
    EndpointCold,
    /// Two operators alternately change the same value.
    OperatorsRace,
}

/// One failure of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct PlannedFailure {
    /// The kind of failure.
    pub kind: FailureKind,
    /// Index of the affected daemon, endpoint or zone, modulo their number.
    pub target: usize,
    /// Start time, relative to the start of the load.
    pub starts_ms: u64,
    /// Duration.
    pub lasts_ms: u64,
}

impl fmt::Display for PlannedFailure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} of {} from {} ms for {} ms",
            self.kind, self.target, self.starts_ms, self.lasts_ms
        )
    }
}

/// Targets are drawn from 0 up to this number.
const TARGET_COUNT: usize = 12;

/// The failures of one run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Plan {
    /// The seed that the plan was drawn from.
    pub seed: Seed,
    /// The failures, sorted by start time.
    pub failures: Vec<PlannedFailure>,
}

impl Plan {
    /// Draws one or two failures from a seed.
    ///
    /// # Examples
    ///
    /// ```
    /// use celeryknot_faults::plan::{Plan, Seed};
    ///
    /// let plan = Plan::from_seed(Seed(7));
    /// assert_eq!(plan, Plan::from_seed(Seed(7)));
    /// assert!((1..=2).contains(&plan.failures.len()));
    /// ```
    pub fn from_seed(seed: Seed) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed.0);
        let count = rng.random_range(1..=2);
        let kinds: Vec<FailureKind> = FailureKind::iter().collect();
        let mut failures: Vec<PlannedFailure> = (0..count)
            .map(|_| PlannedFailure {
                kind: kinds[rng.random_range(0..kinds.len())],
                target: rng.random_range(0..TARGET_COUNT),
                starts_ms: rng.random_range(300..1_500),
                lasts_ms: rng.random_range(500..2_500),
            })
            .collect();
        failures.sort_by_key(|failure| failure.starts_ms);
        Self { seed, failures }
    }

    /// Builds a plan with one given failure.
    pub fn single(seed: Seed, failure: PlannedFailure) -> Self {
        Self {
            seed,
            failures: vec![failure],
        }
    }
}

impl fmt::Display for Plan {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "seed {}", self.seed)?;
        for failure in &self.failures {
            write!(f, "; {failure}")?;
        }
        Ok(())
    }
}
