//! What happens in one run of the soak, drawn from a seed.

use std::fmt;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use strum::{Display, EnumIter, IntoEnumIterator, IntoStaticStr};

use crate::plan::Seed;

/// Latest beginning of a step.
const LAST_START_MS: u64 = 6_000;

/// Longest step.
const LONGEST_MS: u64 = 3_000;

/// Least and most steps of a run.
const STEPS_MIN: usize = 4;
const STEPS_MAX: usize = 9;

/// One run in so many has planned work alone, for the promises that hold only then.
const PLANNED_EVERY: u64 = 3;

/// The kinds of step.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum StepKind {
    /// A daemon is asked to shut down, and replaced.
    TermDaemon,
    /// A daemon is told that its settings have changed.
    HupDaemon,
    /// A newer configuration, with one route more and one less.
    ChangeConfiguration,
    /// An endpoint drains, leaves the list, and comes back as another one.
    DrainEndpoint,
    /// A new endpoint joins cold.
    AddColdEndpoint,
    /// A key of the customer is taken away.
    RevokeKey,
    /// A daemon is killed and replaced.
    KillDaemon,
    /// All daemons are killed at once and replaced.
    KillAll,
    /// A daemon is stopped and goes on later.
    FreezeDaemon,
    /// The store refuses all calls.
    StoreRefuses,
    /// The store says nothing.
    StoreSilent,
    /// One daemon is cut off from the store.
    CutFromStore,
    /// The store forgets its history.
    StoreForgets,
    /// All connections to an endpoint are reset, again and again.
    ResetEndpoint,
    /// The open connections to an endpoint fall silent.
    SilenceEndpoint,
    /// The way to an endpoint gets slow.
    DelayEndpoint,
    /// An endpoint answers with errors of its own.
    EndpointErrors,
    /// An endpoint runs requests and resets the connection.
    EndpointLosesAnswers,
    /// An endpoint breaks its answers off.
    EndpointTruncates,
    /// An endpoint answers with another request's id.
    EndpointCrosses,
    /// An endpoint says that it is full.
    EndpointFull,
}

impl StepKind {
    /// Tells whether it is work that operators plan, which must cost no request.
    pub const fn is_planned(self) -> bool {
        matches!(
            self,
            Self::TermDaemon
                | Self::HupDaemon
                | Self::ChangeConfiguration
                | Self::DrainEndpoint
                | Self::AddColdEndpoint
                | Self::RevokeKey
        )
    }
}

/// One step of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Step {
    /// What happens.
    pub kind: StepKind,
    /// Which daemon or endpoint it happens to, modulo their number.
    pub target: usize,
    /// When it begins, after the start of the load.
    pub starts_ms: u64,
    /// How long it lasts.
    pub lasts_ms: u64,
}

impl Step {
    /// Returns when it begins, after the start of the load.
    pub fn starts_at(&self) -> Duration {
        Duration::from_millis(self.starts_ms)
    }

    /// Returns how long it lasts.
    pub fn lasts(&self) -> Duration {
        Duration::from_millis(self.lasts_ms)
    }
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} of {} from {} ms for {} ms",
            self.kind, self.target, self.starts_ms, self.lasts_ms
        )
    }
}

/// The steps of one run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SoakPlan {
    /// The seed that the plan was drawn from.
    pub seed: Seed,
    /// The steps, in the order of their beginning; they overlap.
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
        let is_planned = seed.0.is_multiple_of(PLANNED_EVERY);
        let kinds: Vec<StepKind> = StepKind::iter()
            .filter(|kind| !is_planned || kind.is_planned())
            .collect();
        let count = rng.random_range(STEPS_MIN..=STEPS_MAX);
        let mut steps: Vec<Step> = (0..count)
            .map(|_| Step {
                kind: kinds[rng.random_range(0..kinds.len())],
                target: rng.random_range(0..60),
                starts_ms: rng.random_range(300..LAST_START_MS),
                lasts_ms: rng.random_range(300..LONGEST_MS),
            })
            .collect();
        steps.sort_by_key(|step| step.starts_ms);
        Self { seed, steps }
    }

    /// Tells whether all steps are work that operators plan.
    pub fn is_planned_work(&self) -> bool {
        self.steps.iter().all(|step| step.kind.is_planned())
    }
}

impl fmt::Display for SoakPlan {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "seed {}", self.seed)?;
        for step in &self.steps {
            write!(f, "; {step}")?;
        }
        Ok(())
    }
}
