//! Endpoint updates that daemons exchange: loads, rate limits, unreachable endpoints, cached prompts,
//! and what endpoints crash on.
//!
//! No I/O and no clock. With many daemons, each of them contacts an endpoint too rarely to rely on
//! its own observations.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use crate::{
    DurationMs, EndpointPace, EndpointTag, MonotonicMs, PromptTag, RatePerS, RequestTag, SuspectTag,
};

/// Lifetime of a load report or of a failure to reach an endpoint.
const STATE_TTL: DurationMs = DurationMs(2_000);

/// Lifetime of a record that an endpoint holds a prompt.
const HOLDER_TTL: DurationMs = DurationMs(30_000);

/// Minimum time between two load or failure updates for the same endpoint.
///
/// The reported ages don't include the network delay between daemons, so an update that is relayed
/// back looks slightly newer; without this minimum it would circulate until it expires.
const STATE_UPDATE_INTERVAL_MIN: DurationMs = DurationMs(25);

/// The same minimum per known endpoint, and its upper bound; with more endpoints, each of them is
/// reported less often.
const STATE_UPDATE_INTERVAL_PER_ENDPOINT_MS: f64 = 0.5;
const STATE_UPDATE_INTERVAL_MAX: DurationMs = DurationMs(1_000);

/// Minimum time between two updates about the same prompt at the same endpoint.
const HOLDER_UPDATE_INTERVAL_MIN: DurationMs = DurationMs(10_000);

/// Maximum number of holders per message; each older one that is omitted costs one more cached copy
/// of its prompt.
const HOLDERS_PER_MESSAGE_MAX: usize = 64;

/// Lifetime of an update about a part of prompts or a request; a daemon that starts later learns what
/// is banned.
const SUSPECT_TTL: DurationMs = DurationMs(24 * 60 * 60_000);

/// Minimum time between two updates about the same suspect at the same endpoint.
const SUSPECT_UPDATE_INTERVAL_MIN: DurationMs = DurationMs(2_000);

/// Maximum number of updates about suspects per message, and stored.
const SUSPECTS_PER_MESSAGE_MAX: usize = 64;
const SUSPECTS_STORED_MAX: usize = 1_024;

/// Lifetime of an endpoint's statement about its rate limit.
const RATE_LIMIT_TTL: DurationMs = DurationMs(30_000);

/// Minimum time between two updates that state the same rate limit of an endpoint.
const RATE_LIMIT_UPDATE_INTERVAL_MIN: DurationMs = DurationMs(250);

/// Lifetime of an endpoint's statement that it is leaving.
const LEAVING_TTL: DurationMs = DurationMs(60_000);

/// Minimum time between two updates that state the same.
const LEAVING_UPDATE_INTERVAL_MIN: DurationMs = DurationMs(10_000);

/// Lifetime of an update about the beginning of a stream; longer than callers take streams up.
const STREAM_TTL: DurationMs = DurationMs(30_000);

/// Maximum number of streams per message; a caller that takes an omitted one up may be refused.
const STREAMS_PER_MESSAGE_MAX: usize = 128;

/// Time between two removals of expired updates, each of which looks at all.
const REMOVAL_INTERVAL: DurationMs = DurationMs(500);

/// An observation about an endpoint.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Observation {
    /// It reported the number of requests that it held.
    Load {
        /// Running and waiting requests.
        held: u32,
        /// How long work takes there, if it reported that.
        pace: Option<EndpointPace>,
    },
    /// It could not be reached.
    Unreachable,
    /// It stated its rate limit. The time of the observation is that at which the request was sent
    /// that it answered, so that no statement is taken for a later one.
    RateLimit {
        /// The rate that it accepts from all daemons together; `None` if it states no limit.
        rate: Option<RatePerS>,
    },
    /// It stated that it is leaving. The time of the observation is that at which the request was
    /// sent that it answered, so that it isn't taken for a later incarnation's.
    Leaving,
    /// It wrote the first event of a stream.
    BeganStream {
        /// The stream.
        stream: RequestTag,
    },
    /// A prompt was sent to it.
    HoldsPrompt {
        /// The prompt's shared parts.
        prompt: PromptTag,
    },
    /// It crashed before or as it began to answer a request with this tag.
    CrashedOn {
        /// The part of its prompt, or the request.
        suspect: SuspectTag,
    },
    /// Its answer to a request with this tag got beyond the beginning, or is complete.
    Answered {
        /// The part of its prompt, or the request.
        suspect: SuspectTag,
    },
}

/// An observation with its endpoint and time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EndpointUpdate {
    /// The endpoint.
    pub endpoint: EndpointTag,
    /// The observation.
    pub observation: Observation,
    /// Time of the observation.
    pub at: MonotonicMs,
}

/// Identifies updates that replace each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum UpdateKey {
    Load(EndpointTag),
    Unreachable(EndpointTag),
    RateLimit(EndpointTag),
    Leaving(EndpointTag),
    BeganStream(RequestTag),
    HoldsPrompt(EndpointTag, PromptTag),
    CrashedOn(EndpointTag, SuspectTag),
    Answered(SuspectTag),
}

impl Observation {
    fn is_about_suspect(&self) -> bool {
        matches!(self, Self::CrashedOn { .. } | Self::Answered { .. })
    }
}

impl EndpointUpdate {
    fn update_key(&self) -> UpdateKey {
        match self.observation {
            Observation::Load { .. } => UpdateKey::Load(self.endpoint),
            Observation::Unreachable => UpdateKey::Unreachable(self.endpoint),
            Observation::RateLimit { .. } => UpdateKey::RateLimit(self.endpoint),
            Observation::Leaving => UpdateKey::Leaving(self.endpoint),
            Observation::BeganStream { stream } => UpdateKey::BeganStream(stream),
            Observation::HoldsPrompt { prompt } => UpdateKey::HoldsPrompt(self.endpoint, prompt),
            Observation::CrashedOn { suspect } => UpdateKey::CrashedOn(self.endpoint, suspect),
            Observation::Answered { suspect } => UpdateKey::Answered(suspect),
        }
    }

    /// Returns whether this update is new and not an echo of the previous one with the same key.
    fn supersedes(&self, previous: &Self, endpoints: usize) -> bool {
        let per_endpoint =
            DurationMs((endpoints as f64 * STATE_UPDATE_INTERVAL_PER_ENDPOINT_MS) as u64);
        let interval_min = match self.observation {
            Observation::Load { .. } | Observation::Unreachable => {
                STATE_UPDATE_INTERVAL_MIN.max(per_endpoint.min(STATE_UPDATE_INTERVAL_MAX))
            }
            Observation::RateLimit { .. } if self.observation == previous.observation => {
                RATE_LIMIT_UPDATE_INTERVAL_MIN
            }
            Observation::RateLimit { .. } => STATE_UPDATE_INTERVAL_MIN,
            Observation::Leaving => LEAVING_UPDATE_INTERVAL_MIN,
            Observation::BeganStream { .. } => STREAM_TTL,
            Observation::HoldsPrompt { .. } => HOLDER_UPDATE_INTERVAL_MIN,
            Observation::CrashedOn { .. } | Observation::Answered { .. } => {
                SUSPECT_UPDATE_INTERVAL_MIN
            }
        };
        self.at - previous.at >= interval_min
    }

    fn is_fresh(&self, now: MonotonicMs) -> bool {
        let age_max = match self.observation {
            Observation::Load { .. } | Observation::Unreachable => STATE_TTL,
            Observation::RateLimit { .. } => RATE_LIMIT_TTL,
            Observation::Leaving => LEAVING_TTL,
            Observation::BeganStream { .. } => STREAM_TTL,
            Observation::HoldsPrompt { .. } => HOLDER_TTL,
            Observation::CrashedOn { .. } | Observation::Answered { .. } => SUSPECT_TTL,
        };
        now - self.at < age_max
    }
}

/// The latest update for each key, in the order of arrival.
///
/// # Examples
///
/// ```
/// use celeryknot_core::{EndpointTag, MonotonicMs};
/// use celeryknot_core::endpoint_updates::{EndpointUpdate, EndpointUpdateTable, Observation};
///
/// let mut table = EndpointUpdateTable::default();
/// let update = |held, at| EndpointUpdate {
///     endpoint: EndpointTag(1),
///     observation: Observation::Load { held, pace: None },
///     at: MonotonicMs(at),
/// };
/// assert!(table.observe(update(5, 100)));
/// assert!(!table.observe(update(5, 101)), "an echo");
/// assert!(!table.observe(update(9, 50)), "an older update");
/// assert_eq!(table.after(MonotonicMs(200), 0).len(), 1);
/// assert_eq!(table.after(MonotonicMs(200), table.version()).len(), 0);
/// ```
#[derive(Debug, Clone, Default)]
pub struct EndpointUpdateTable {
    /// The version under which the latest update of a key is stored.
    versions: HashMap<UpdateKey, u64>,
    updates: BTreeMap<u64, EndpointUpdate>,
    version: u64,
    /// Number of endpoints whose loads are known.
    endpoints: usize,
    /// Versions of the stored updates about suspects, the oldest first.
    suspect_versions: BTreeSet<u64>,
    advanced_at: MonotonicMs,
}

impl EndpointUpdateTable {
    /// Stores an update; returns whether it supersedes the previous one.
    pub fn observe(&mut self, update: EndpointUpdate) -> bool {
        let old_version = self.versions.get(&update.update_key()).copied();
        let previous = old_version.and_then(|version| self.updates.get(&version));
        if previous.is_some_and(|previous| !update.supersedes(previous, self.endpoints)) {
            return false;
        }
        if old_version.is_none() && matches!(update.observation, Observation::Load { .. }) {
            self.endpoints += 1;
        }
        if let Some(old_version) = old_version {
            self.updates.remove(&old_version);
            self.suspect_versions.remove(&old_version);
        }
        self.version += 1;
        self.versions.insert(update.update_key(), self.version);
        self.updates.insert(self.version, update);
        if update.observation.is_about_suspect() {
            self.suspect_versions.insert(self.version);
            self.limit_suspects();
        }
        true
    }

    /// Removes the oldest updates about suspects beyond the limit.
    fn limit_suspects(&mut self) {
        while self.suspect_versions.len() > SUSPECTS_STORED_MAX {
            let oldest = self.suspect_versions.pop_first();
            if let Some(removed) = oldest.and_then(|version| self.updates.remove(&version)) {
                self.versions.remove(&removed.update_key());
            }
        }
    }

    /// Returns the number of stored updates.
    pub fn len(&self) -> usize {
        self.updates.len()
    }

    /// Returns whether no update is stored.
    pub fn is_empty(&self) -> bool {
        self.updates.is_empty()
    }

    /// Returns the version of the latest stored update.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the unexpired updates after a version, the latest first.
    pub fn after(&self, now: MonotonicMs, version: u64) -> Vec<EndpointUpdate> {
        let (mut holders, mut suspects, mut streams) = (0, 0, 0);
        let fresh = self
            .updates
            .range(version.saturating_add(1)..)
            .rev()
            .map(|(_, update)| *update)
            .filter(|update| update.is_fresh(now));
        fresh
            .filter(|update| {
                let is_holder = matches!(update.observation, Observation::HoldsPrompt { .. });
                let is_about_suspect = update.observation.is_about_suspect();
                holders += usize::from(is_holder);
                let is_stream = matches!(update.observation, Observation::BeganStream { .. });
                suspects += usize::from(is_about_suspect);
                streams += usize::from(is_stream);
                (!is_stream || streams <= STREAMS_PER_MESSAGE_MAX)
                    && (!is_holder || holders <= HOLDERS_PER_MESSAGE_MAX)
                    && (!is_about_suspect || suspects <= SUSPECTS_PER_MESSAGE_MAX)
            })
            .collect()
    }

    /// Removes expired updates, once in a while: [`Self::after`] returns none of them anyway.
    pub fn advance(&mut self, now: MonotonicMs) {
        if now - self.advanced_at < REMOVAL_INTERVAL {
            return;
        }
        self.advanced_at = now;
        let (versions, suspect_versions) = (&mut self.versions, &mut self.suspect_versions);
        self.endpoints = 0;
        self.updates.retain(|version, update| {
            let is_fresh = update.is_fresh(now);
            let is_load = matches!(update.observation, Observation::Load { .. });
            self.endpoints += usize::from(is_fresh && is_load);
            if !is_fresh {
                versions.remove(&update.update_key());
                suspect_versions.remove(version);
            }
            is_fresh
        });
    }
}
