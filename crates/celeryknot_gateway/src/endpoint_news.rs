//! What daemons tell each other of endpoints: their loads, who could not be reached, and which
//! prompts they hold.
//!
//! No I/O and no clock. With many daemons each hears of an endpoint too seldom itself.

use std::collections::{BTreeMap, HashMap};

use celeryknot_core::{DurationMs, EndpointTag, MonotonicMs, PromptTag};

/// Age from which a load, or a failure to reach an endpoint, is of no more use.
const STATE_AGE_MAX: DurationMs = DurationMs(2_000);

/// Age from which it is no longer told where a prompt was sent.
const HOLDER_AGE_MAX: DurationMs = DurationMs(30_000);

/// Time by which a load or failure must be later to be other news.
///
/// Ages grow by the way between two daemons, so that news that come back look a little later;
/// without this they would go round until they are too old.
const STATE_LATER_BY: DurationMs = DurationMs(25);

/// The same, for each endpoint that is told of, and the longest; the more endpoints, the less often
/// is each told.
const STATE_LATER_PER_ENDPOINT_MS: f64 = 0.5;
const STATE_LATER_MAX: DurationMs = DurationMs(1_000);

/// Time by which a prompt must have been sent later to be told again.
const HOLDER_LATER_BY: DurationMs = DurationMs(10_000);

/// Most holders told at once; beyond that the older ones are left out, which costs a copy each.
const HOLDERS_TOLD_MAX: usize = 64;

/// One thing that is known of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fact {
    /// It said how many requests it held, running and waiting.
    Load {
        /// The requests.
        held: u32,
    },
    /// It could not be reached.
    Unreachable,
    /// A prompt was sent to it.
    Holds {
        /// The prompt's shared parts.
        prompt: PromptTag,
    },
}

/// A fact with the endpoint that it is of and the time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EndpointNews {
    /// The endpoint.
    pub endpoint: EndpointTag,
    /// What is known.
    pub fact: Fact,
    /// When it was so.
    pub at: MonotonicMs,
}

/// What is replaced by later news.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Subject {
    Load(EndpointTag),
    Unreachable(EndpointTag),
    Holds(EndpointTag, PromptTag),
}

impl EndpointNews {
    fn subject(&self) -> Subject {
        match self.fact {
            Fact::Load { .. } => Subject::Load(self.endpoint),
            Fact::Unreachable => Subject::Unreachable(self.endpoint),
            Fact::Holds { prompt } => Subject::Holds(self.endpoint, prompt),
        }
    }

    /// Tells whether this is more than an echo of earlier news of the same subject.
    fn is_later_than(&self, known: &Self, endpoints: usize) -> bool {
        let per_endpoint = DurationMs((endpoints as f64 * STATE_LATER_PER_ENDPOINT_MS) as u64);
        let later_by = match self.fact {
            Fact::Load { .. } | Fact::Unreachable => {
                STATE_LATER_BY.max(per_endpoint.min(STATE_LATER_MAX))
            }
            Fact::Holds { .. } => HOLDER_LATER_BY,
        };
        self.at - known.at >= later_by
    }

    fn is_fresh(&self, now: MonotonicMs) -> bool {
        let age_max = match self.fact {
            Fact::Load { .. } | Fact::Unreachable => STATE_AGE_MAX,
            Fact::Holds { .. } => HOLDER_AGE_MAX,
        };
        now - self.at < age_max
    }
}

/// The latest news, in the order in which they became known.
///
/// # Examples
///
/// ```
/// use celeryknot_core::{EndpointTag, MonotonicMs};
/// use celeryknot_gateway::endpoint_news::{EndpointNews, Fact, NewsTable};
///
/// let mut table = NewsTable::default();
/// let news = |held, at| EndpointNews {
///     endpoint: EndpointTag(1),
///     fact: Fact::Load { held },
///     at: MonotonicMs(at),
/// };
/// assert!(table.observe(news(5, 100)));
/// assert!(!table.observe(news(5, 101)), "its echo");
/// assert!(!table.observe(news(9, 50)), "an older one");
/// assert_eq!(table.after(MonotonicMs(200), 0).len(), 1);
/// assert_eq!(table.after(MonotonicMs(200), table.version()).len(), 0);
/// ```
#[derive(Debug, Clone, Default)]
pub struct NewsTable {
    /// The number under which the news of a subject are found.
    versions: HashMap<Subject, u64>,
    news: BTreeMap<u64, EndpointNews>,
    version: u64,
    /// Endpoints whose loads are known.
    endpoints: usize,
}

impl NewsTable {
    /// Takes in news; tells whether they are later than what is known.
    pub fn observe(&mut self, news: EndpointNews) -> bool {
        let before = self.versions.get(&news.subject()).copied();
        let known = before.and_then(|version| self.news.get(&version));
        if known.is_some_and(|known| !news.is_later_than(known, self.endpoints)) {
            return false;
        }
        if let Some(before) = before {
            self.news.remove(&before);
        }
        self.version += 1;
        self.versions.insert(news.subject(), self.version);
        self.news.insert(self.version, news);
        true
    }

    /// Returns the number of the last news taken in.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the fresh news that became known after a number, the latest first.
    pub fn after(&self, now: MonotonicMs, version: u64) -> Vec<EndpointNews> {
        let mut holders = 0;
        let fresh = self
            .news
            .range(version.saturating_add(1)..)
            .rev()
            .map(|(_, news)| *news)
            .filter(|news| news.is_fresh(now));
        fresh
            .filter(|news| {
                let is_holder = matches!(news.fact, Fact::Holds { .. });
                holders += usize::from(is_holder);
                !is_holder || holders <= HOLDERS_TOLD_MAX
            })
            .collect()
    }

    /// Forgets news that are of no more use.
    pub fn advance(&mut self, now: MonotonicMs) {
        let versions = &mut self.versions;
        self.endpoints = 0;
        self.news.retain(|_, news| {
            let is_fresh = news.is_fresh(now);
            let is_load = matches!(news.fact, Fact::Load { .. });
            self.endpoints += usize::from(is_fresh && is_load);
            if !is_fresh {
                versions.remove(&news.subject());
            }
            is_fresh
        });
    }
}
