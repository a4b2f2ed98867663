//! Parts of prompts and requests under which endpoints crash, and which of them are banned.
//!
//! No I/O and no clock. An endpoint that crashes takes all its requests down, sound ones too. Its
//! requests are suspected, by the parts that their prompts share with others if their answers had
//! just begun, and each by itself. An answer that gets beyond its beginning clears them. A suspect is
//! banned after crashes of several endpoints without an answer that clears it, wherever in the fleet
//! they were seen.

use std::collections::HashMap;

use celeryknot_core::endpoint_updates::{EndpointUpdate, Observation};
use celeryknot_core::id::rendezvous_score;
use celeryknot_core::{DurationMs, EndpointTag, MemberName, MonotonicMs, SuspectTag};
use smallvec::SmallVec;
use strum::Display;

/// Events up to which an answer is at its beginning.
///
/// An endpoint that crashes as it begins to answer may still write what was ready.
pub const BEGINNING_EVENTS_MAX: u32 = 8;

/// Times from the end of an attempt to the further checks whether its endpoint has crashed.
///
/// The address of a process that ends may accept connections for longer than those that were open
/// live, and a request that was given up may crash its endpoint later.
pub const LATER_CHECKS: [DurationMs; 3] = [DurationMs(100), DurationMs(400), DurationMs(1_200)];

/// Crashes under a suspect that ban it.
pub const CRASHES_TO_BAN: usize = 3;

/// Time for which a crash counts.
const CRASH_TTL: DurationMs = DurationMs(30 * 60_000);

/// Time for which a ban is remembered after its last crash.
const BAN_TTL: DurationMs = DurationMs(24 * 60 * 60_000);

/// Time after an answer in which crashes under its suspects don't count.
///
/// A part that many prompts share is answered more often than this. Longer, it would hide the crashes
/// under a part on which endpoints begin to crash: the platform allows five, and three seconds more.
const CLEARED_TTL: DurationMs = DurationMs(4_000);

/// Crashes that two suspects have in common from which on one may explain those of the other.
const COMMON_CRASHES_MIN: usize = 2;

/// Crashes under a banned suspect that nothing else explains and that don't count against a request.
///
/// The first part of many prompts is at most crashes of endpoints, whatever their cause.
const UNEXPLAINED_CRASHES_MAX: usize = 1;

/// Minimum age of the last known answer before a later one is reported to peers again.
const ANSWER_REPORT_INTERVAL: DurationMs = DurationMs(1_000);

/// Time for which a suspect that was answered, and under which nothing crashed since, counts as sound.
const SOUND_TTL: DurationMs = DurationMs(5 * 60_000);

/// Reports about one endpoint within this time are about the same crash.
const SAME_CRASH_INTERVAL: DurationMs = DurationMs(2_000);

/// Times from a ban, or from the trial before, to the requests that test whether a banned suspect
/// still crashes endpoints. Each crash after the ban takes the place of one.
const TRIAL_INTERVALS: [DurationMs; 3] = [
    DurationMs(5 * 60_000),
    DurationMs(30 * 60_000),
    DurationMs(4 * 60 * 60_000),
];

/// Limit on the suspects that are remembered; those without crashes are forgotten first, then those
/// that aren't banned, the oldest of each first.
const SUSPECTS_MAX: usize = 4_096;

/// Time from the ban of a request to its first trial, at least, and the number of seconds over which
/// first trials are spread by tag.
///
/// A sound request that many callers send was in flight at each crash as well; it is tried once the
/// endpoints are back, and not together with the request that crashed them.
const FIRST_REQUEST_TRIAL_MIN: DurationMs = DurationMs(4_000);
const FIRST_REQUEST_TRIAL_SPREAD_S: u64 = 8;

/// What is known about one suspect.
#[derive(Debug, Clone, Default)]
struct Suspect {
    /// The latest crashes, at most [`CRASHES_TO_BAN`].
    crashes: SmallVec<[(EndpointTag, MonotonicMs); CRASHES_TO_BAN]>,
    cleared_at: Option<MonotonicMs>,
    /// The latest answer that this daemon has reported to peers or heard of from them.
    reported_answer_at: Option<MonotonicMs>,
    /// When it was banned or last tried.
    banned_at: Option<MonotonicMs>,
    /// Trials and further crashes since the ban.
    trials: usize,
    /// Whether this daemon has sent a trial that has neither crashed an endpoint nor been answered.
    is_trial_running: bool,
    changed_at: MonotonicMs,
}

/// The result of a reported crash.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum CrashVerdict {
    /// An answer has cleared the suspect.
    Cleared,
    /// The crash is known already.
    Known,
    /// It is suspected, or banned already.
    Suspected,
    /// It is banned from now on.
    Banned,
}

impl CrashVerdict {
    /// Returns whether the crash counts against the suspect.
    pub const fn counts(self) -> bool {
        match self {
            Self::Suspected | Self::Banned => true,
            Self::Cleared | Self::Known => false,
        }
    }
}

/// What a crash under a request shows.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CrashFinding {
    /// The verdict on each suspect.
    pub verdicts: SmallVec<[(SuspectTag, CrashVerdict); 4]>,
    /// Whether not all shared parts are known to be sound.
    pub has_unproven_part: bool,
    /// Whether another endpoint has crashed under one of them before.
    pub is_repeated: bool,
}

/// What a peer's update has changed.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct AppliedUpdate {
    /// What a reported crash is about, and the verdict on it.
    pub crash: Option<(SuspectTag, CrashVerdict)>,
    /// Whether a reported answer cleared a suspect.
    pub has_cleared: bool,
    /// The answer that contradicts a reported crash.
    pub contradiction: Option<EndpointUpdate>,
}

/// Whether a request may be sent to an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestVerdict {
    /// Nothing about it is banned.
    Allowed,
    /// It is the fleet's next trial of this.
    Trial(SuspectTag),
    /// This about it is banned.
    Banned(SuspectTag),
}

/// Returns whether a daemon is the one that tries a banned suspect for the whole fleet.
///
/// # Examples
///
/// ```
/// use celeryknot_core::{MemberName, PromptTag};
/// use celeryknot_policy::direct::crash_suspects::runs_trials_of;
///
/// let members: Vec<MemberName> = vec!["entry-1".parse()?, "entry-2".parse()?];
/// let runs_trials = |own| runs_trials_of(PromptTag(7).into(), own, &members);
/// assert_ne!(runs_trials(&members[0]), runs_trials(&members[1]));
/// # Ok::<(), celeryknot_core::IdError>(())
/// ```
pub fn runs_trials_of<'a>(
    suspect: SuspectTag,
    own_name: &MemberName,
    members: impl IntoIterator<Item = &'a MemberName>,
) -> bool {
    let score = |name: &MemberName| rendezvous_score(suspect.hash_key(), name.as_str());
    let first = members.into_iter().max_by_key(|name| score(name));
    first.is_none_or(|name| name == own_name)
}

/// Returns the time from a ban or the trial before to the next trial, if there is to be one.
fn trial_interval(suspect: SuspectTag, trials: usize) -> Option<DurationMs> {
    match suspect {
        SuspectTag::Request(tag) if trials == 0 => {
            let spread_ms = tag.0 % FIRST_REQUEST_TRIAL_SPREAD_S * 1_000;
            Some(DurationMs(FIRST_REQUEST_TRIAL_MIN.0 + spread_ms))
        }
        SuspectTag::Request(_) | SuspectTag::Part(_) => TRIAL_INTERVALS.get(trials).copied(),
    }
}

/// The suspected, banned and cleared parts and requests known to one daemon.
///
/// # Examples
///
/// ```
/// use celeryknot_core::{EndpointTag, MonotonicMs, RequestTag, SuspectTag};
/// use celeryknot_policy::direct::crash_suspects::{CrashSuspects, CrashVerdict};
///
/// let (mut suspects, request) = (CrashSuspects::default(), SuspectTag::Request(RequestTag(7)));
/// for (endpoint, at) in [(1, 100), (2, 900)] {
///     let verdict = suspects.record_crash(MonotonicMs(at), request, EndpointTag(endpoint));
///     assert_eq!(verdict, CrashVerdict::Suspected);
/// }
/// let verdict = suspects.record_crash(MonotonicMs(1_500), request, EndpointTag(3));
/// assert_eq!(verdict, CrashVerdict::Banned);
/// assert!(suspects.is_banned(MonotonicMs(1_600), request));
/// ```
#[derive(Debug, Clone, Default)]
pub struct CrashSuspects {
    suspects: HashMap<SuspectTag, Suspect>,
}

impl CrashSuspects {
    /// Records that an endpoint crashed under a suspect.
    pub fn record_crash(
        &mut self,
        at: MonotonicMs,
        suspect: SuspectTag,
        endpoint: EndpointTag,
    ) -> CrashVerdict {
        let known = self.entry(at, suspect);
        if known.is_cleared(at) {
            return CrashVerdict::Cleared;
        }
        known
            .crashes
            .retain(|(_, crashed_at)| at - *crashed_at < CRASH_TTL);
        if known.has_crash(endpoint, at) {
            return CrashVerdict::Known;
        }
        if known.crashes.len() == CRASHES_TO_BAN {
            known.crashes.remove(0);
        }
        known.crashes.push((endpoint, at));
        if known.is_banned(at) {
            known.banned_at = known.banned_at.max(Some(at));
            // The crash of this daemon's own trial is counted already.
            known.trials += usize::from(!known.is_trial_running);
            known.is_trial_running = false;
            return CrashVerdict::Suspected;
        }
        if known.crashes.len() < CRASHES_TO_BAN {
            return CrashVerdict::Suspected;
        }
        known.banned_at = Some(at);
        known.trials = 0;
        CrashVerdict::Banned
    }

    /// Records that an endpoint crashed before or as it began to answer a request, whose prompt has
    /// these shared parts, and which is identified by `own`.
    pub fn record_crashed_request(
        &mut self,
        at: MonotonicMs,
        endpoint: EndpointTag,
        shared: &[SuspectTag],
        own: Option<SuspectTag>,
    ) -> CrashFinding {
        let all = || shared.iter().copied().chain(own);
        // Other requests at the endpoint may have been recorded before this one.
        let has_another = |it: &SuspectTag| self.has_another_crash(at, *it, endpoint);
        let is_sound = |it: &SuspectTag| self.was_answered(at, *it) && !has_another(it);
        CrashFinding {
            has_unproven_part: !shared.iter().all(is_sound),
            is_repeated: all().any(|it| has_another(&it)),
            verdicts: all()
                .map(|it| (it, self.record_crash(at, it, endpoint)))
                .collect(),
        }
    }

    /// Returns whether an endpoint other than this one, or this one at another time, has crashed
    /// under a suspect.
    fn has_another_crash(
        &self,
        at: MonotonicMs,
        suspect: SuspectTag,
        endpoint: EndpointTag,
    ) -> bool {
        let is_other = |(crashed, crashed_at): &(EndpointTag, MonotonicMs)| {
            at - *crashed_at < CRASH_TTL && !is_same_crash((*crashed, *crashed_at), (endpoint, at))
        };
        self.suspects
            .get(&suspect)
            .is_some_and(|it| it.crashes.iter().any(is_other))
    }

    /// Takes the answer to a suspect that peers have to hear of, as they take crashes under it for
    /// its own.
    fn take_unreported_answer(
        &mut self,
        at: MonotonicMs,
        suspect: SuspectTag,
    ) -> Option<MonotonicMs> {
        let known = self.suspects.get_mut(&suspect)?;
        let answered_at = known.cleared_at.filter(|it| at - *it < SOUND_TTL)?;
        let is_new = known
            .reported_answer_at
            .is_none_or(|it| answered_at - it >= ANSWER_REPORT_INTERVAL);
        is_new.then(|| {
            known.reported_answer_at = Some(answered_at);
            answered_at
        })
    }

    /// Applies a peer's update.
    pub fn apply(&mut self, update: &EndpointUpdate) -> AppliedUpdate {
        match update.observation {
            Observation::CrashedOn { suspect } => {
                let verdict = self.record_crash(update.at, suspect, update.endpoint);
                let answered_at = self.take_unreported_answer(update.at, suspect);
                AppliedUpdate {
                    crash: Some((suspect, verdict)),
                    contradiction: answered_at.map(|at| EndpointUpdate {
                        endpoint: update.endpoint,
                        observation: Observation::Answered { suspect },
                        at,
                    }),
                    ..AppliedUpdate::default()
                }
            }
            Observation::Answered { suspect } => {
                let has_cleared = self.record_answer(update.at, suspect);
                let known = self.entry(update.at, suspect);
                known.reported_answer_at = known.reported_answer_at.max(Some(update.at));
                AppliedUpdate {
                    has_cleared,
                    ..AppliedUpdate::default()
                }
            }
            Observation::Load { .. }
            | Observation::Unreachable
            | Observation::Leaving
            | Observation::BeganStream { .. }
            | Observation::RateLimit { .. }
            | Observation::HoldsPrompt { .. } => AppliedUpdate::default(),
        }
    }

    /// Records that an answer got beyond its beginning or is complete; returns whether the suspect was
    /// suspected.
    pub fn record_answer(&mut self, at: MonotonicMs, suspect: SuspectTag) -> bool {
        let known = self.entry(at, suspect);
        known.cleared_at = known.cleared_at.max(Some(at));
        let crash_count = known.crashes.len();
        known
            .crashes
            .retain(|(_, crashed_at)| *crashed_at - at >= CLEARED_TTL);
        if known.crashes.len() < CRASHES_TO_BAN {
            known.banned_at = None;
            known.trials = 0;
            known.is_trial_running = false;
        }
        known.crashes.len() < crash_count
    }

    /// Returns whether an endpoint has crashed under it, and no answer has cleared it since.
    pub fn is_suspected(&self, now: MonotonicMs, suspect: SuspectTag) -> bool {
        let is_recent = |(_, at): &(EndpointTag, MonotonicMs)| now - *at < CRASH_TTL;
        self.suspects
            .get(&suspect)
            .is_some_and(|it| it.crashes.iter().any(is_recent))
    }

    /// Returns whether it was answered, and no endpoint has crashed under it since.
    pub fn is_sound(&self, now: MonotonicMs, suspect: SuspectTag) -> bool {
        let has_crashes = |it: &Suspect| !it.crashes.is_empty();
        self.was_answered(now, suspect) && !self.suspects.get(&suspect).is_some_and(has_crashes)
    }

    fn was_answered(&self, now: MonotonicMs, suspect: SuspectTag) -> bool {
        let answered_at = self.suspects.get(&suspect).and_then(|it| it.cleared_at);
        answered_at.is_some_and(|at| now - at < SOUND_TTL)
    }

    /// Checks a request with these suspects before it is sent to an endpoint.
    ///
    /// `runs_trials` returns whether this daemon tries a suspect for the whole fleet.
    pub fn check(
        &mut self,
        now: MonotonicMs,
        suspects: &[SuspectTag],
        runs_trials: impl FnOnce(SuspectTag) -> bool,
    ) -> RequestVerdict {
        let is_banned = |it: &&SuspectTag| {
            self.is_banned(now, **it) && !self.is_explained_without(**it, suspects)
        };
        let banned = suspects.iter().find(is_banned);
        match banned {
            None => RequestVerdict::Allowed,
            Some(suspect) if runs_trials(*suspect) && self.try_take_trial(now, *suspect) => {
                RequestVerdict::Trial(*suspect)
            }
            Some(suspect) => RequestVerdict::Banned(*suspect),
        }
    }

    /// Returns whether suspects that a request doesn't have were at all but one of the crashes of a
    /// banned one that it has.
    ///
    /// The first part of sound prompts is at the same crashes as the part behind it on which endpoints
    /// crash. A prompt with the first part alone shows which of them it is.
    fn is_explained_without(&self, suspect: SuspectTag, request: &[SuspectTag]) -> bool {
        let Some(known) = self.suspects.get(&suspect) else {
            return false;
        };
        let causes: SmallVec<[&Suspect; 4]> = self
            .suspects
            .iter()
            // A request that was sent again crashes two endpoints by itself, whatever part is the cause.
            .filter(|(other, _)| other.part().is_some() && !request.contains(other))
            .map(|(_, it)| it)
            .filter(|it| it.common_crashes(known) >= COMMON_CRASHES_MIN)
            .collect();
        let is_unexplained = |(endpoint, at): &&(EndpointTag, MonotonicMs)| {
            !causes.iter().any(|it| it.has_crash(*endpoint, *at))
        };
        let unexplained = known.crashes.iter().filter(is_unexplained).count();
        unexplained <= UNEXPLAINED_CRASHES_MAX
    }

    /// Returns whether requests with it are refused, unless another suspect explains its crashes.
    pub fn is_banned(&self, now: MonotonicMs, suspect: SuspectTag) -> bool {
        self.suspects
            .get(&suspect)
            .is_some_and(|it| it.is_banned(now))
    }

    /// Returns whether one request may test whether a banned suspect still crashes endpoints.
    ///
    /// The caller makes sure that one daemon of the fleet asks.
    pub fn try_take_trial(&mut self, now: MonotonicMs, suspect: SuspectTag) -> bool {
        let Some(known) = self.suspects.get_mut(&suspect) else {
            return false;
        };
        let interval_ms = trial_interval(suspect, known.trials);
        let (Some(banned_at), Some(interval_ms)) = (known.banned_at, interval_ms) else {
            return false;
        };
        let is_due = now - banned_at >= interval_ms;
        if is_due {
            known.banned_at = Some(now);
            known.trials += 1;
            known.is_trial_running = true;
        }
        is_due
    }

    /// Takes back a trial that reached no endpoint.
    pub fn return_trial(&mut self, suspect: SuspectTag) {
        if let Some(known) = self.suspects.get_mut(&suspect)
            && known.is_trial_running
        {
            known.is_trial_running = false;
            known.trials = known.trials.saturating_sub(1);
        }
    }

    /// Returns the number of banned parts and requests.
    pub fn banned_count(&self, now: MonotonicMs) -> usize {
        self.suspects
            .values()
            .filter(|it| it.is_banned(now))
            .count()
    }

    /// Returns the number of remembered suspects.
    pub fn len(&self) -> usize {
        self.suspects.len()
    }

    /// Returns whether nothing is remembered.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    fn entry(&mut self, at: MonotonicMs, suspect: SuspectTag) -> &mut Suspect {
        if self.suspects.len() >= SUSPECTS_MAX && !self.suspects.contains_key(&suspect) {
            self.forget_oldest();
        }
        let known = self.suspects.entry(suspect).or_default();
        known.changed_at = known.changed_at.max(at);
        known
    }

    /// Forgets an eighth of the suspects, so that a full table isn't searched for each new one.
    fn forget_oldest(&mut self) {
        let mut order: Vec<_> = self.suspects.values().map(Suspect::age_order).collect();
        order.sort_unstable();
        let limit = order[SUSPECTS_MAX / 8];
        self.suspects.retain(|_, known| known.age_order() > limit);
    }
}

/// Returns whether two reports are about one crash.
fn is_same_crash(one: (EndpointTag, MonotonicMs), other: (EndpointTag, MonotonicMs)) -> bool {
    let apart = (one.1 - other.1).max(other.1 - one.1);
    one.0 == other.0 && apart < SAME_CRASH_INTERVAL
}

impl Suspect {
    fn has_crash(&self, endpoint: EndpointTag, at: MonotonicMs) -> bool {
        let mut crashes = self.crashes.iter();
        crashes.any(|it| is_same_crash(*it, (endpoint, at)))
    }

    fn common_crashes(&self, other: &Self) -> usize {
        let is_common =
            |(endpoint, at): &&(EndpointTag, MonotonicMs)| self.has_crash(*endpoint, *at);
        other.crashes.iter().filter(is_common).count()
    }

    fn is_cleared(&self, now: MonotonicMs) -> bool {
        self.cleared_at.is_some_and(|at| now - at < CLEARED_TTL)
    }

    fn is_banned(&self, now: MonotonicMs) -> bool {
        self.banned_at.is_some_and(|at| now - at < BAN_TTL)
    }

    fn age_order(&self) -> (bool, bool, MonotonicMs) {
        let is_banned = self.banned_at.is_some();
        (is_banned, !self.crashes.is_empty(), self.changed_at)
    }
}
