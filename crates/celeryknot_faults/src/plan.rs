//! What is broken in one run, when and for how long, drawn from a seed.

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

/// The kinds of failure that a run can bring about.
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
    /// A daemon is stopped and goes on later.
    FreezeDaemon,
    /// A daemon is shut down gracefully and replaced.
    ReplaceDaemon,
    /// All connections to an endpoint are reset.
    CutEndpoint,
    /// All open connections to an endpoint go silent; new ones work.
    SilenceEndpoint,
    /// All open connections between daemons go silent; new ones work.
    SilencePeers,
    /// The fleet is split in two sides.
    SplitFleet,
    /// Messages and requests between daemons are delayed differently and overtake each other.
    DelayPeers,
    /// All replicas of the platform are down.
    PlatformDown,
    /// One replica of the platform is stale.
    PlatformStale,
    /// Operators take a zone out and bring it back.
    ZoneOut,
    /// An endpoint leaves and joins again.
    EndpointLeaves,
    /// An endpoint turns cold again without notice.
    EndpointCold,
    /// Two operators change the same value in turn.
    OperatorsRace,
}

/// One failure of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct PlannedFailure {
    /// What fails.
    pub kind: FailureKind,
    /// Which daemon, endpoint or zone it hits, modulo their number.
    pub target: usize,
    /// When it begins, after the start of the load.
    pub starts_ms: u64,
    /// How long it lasts.
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

/// Number of targets that a failure chooses from.
const TARGET_COUNT: usize = 12;

/// The failures of one run, one or two.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Plan {
    /// The seed that the plan was drawn from.
    pub seed: Seed,
    /// The failures, in the order of their beginning.
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
