//! What endpoints said of their load last, to whichever daemon, and when.
//!
//! No I/O and no clock. Each answer of an endpoint tells its load to one daemon; with many
//! daemons each hears of an endpoint too seldom, so they tell each other what they heard.

use std::collections::HashMap;

use celeryknot_core::id::rendezvous_score;
use celeryknot_core::{DurationMs, EndpointName, MonotonicMs};

/// Age from which a report is of no more use.
const AGE_MAX: DurationMs = DurationMs(2_000);

/// An endpoint's name in four bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct EndpointTag(pub u32);

impl EndpointTag {
    /// Returns the tag of an endpoint.
    pub fn new(name: &EndpointName) -> Self {
        Self(rendezvous_score(0, name.as_str()) as u32)
    }
}

/// One report of an endpoint's load.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadNews {
    /// The endpoint.
    pub endpoint: EndpointTag,
    /// Requests that it held, running and waiting.
    pub held: u32,
    /// When it said so.
    pub at: MonotonicMs,
}

#[derive(Debug, Clone, Copy)]
struct Entry {
    news: LoadNews,
    version: u64,
}

/// The latest reports, in the order in which they became known.
///
/// # Examples
///
/// ```
/// use celeryknot_core::MonotonicMs;
/// use celeryknot_gateway::loads::{EndpointTag, LoadNews, LoadTable};
///
/// let mut table = LoadTable::default();
/// let news = |held, at| LoadNews { endpoint: EndpointTag(1), held, at: MonotonicMs(at) };
/// assert!(table.observe(news(5, 100)));
/// assert!(!table.observe(news(9, 50)), "an older one");
/// assert_eq!(table.after(MonotonicMs(200), 0).len(), 1);
/// assert_eq!(table.after(MonotonicMs(200), table.version()).len(), 0);
/// ```
#[derive(Debug, Clone, Default)]
pub struct LoadTable {
    entries: HashMap<EndpointTag, Entry>,
    version: u64,
}

impl LoadTable {
    /// Takes in a report; tells whether it is later than the one known.
    pub fn observe(&mut self, news: LoadNews) -> bool {
        let held = self.entries.get(&news.endpoint);
        if held.is_some_and(|held| held.news.at >= news.at) {
            return false;
        }
        self.version += 1;
        let version = self.version;
        self.entries.insert(news.endpoint, Entry { news, version });
        true
    }

    /// Returns the number of the last report taken in.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the fresh reports that became known after a number.
    pub fn after(&self, now: MonotonicMs, version: u64) -> Vec<LoadNews> {
        let is_news = |entry: &&Entry| entry.version > version && now - entry.news.at < AGE_MAX;
        let entries = self.entries.values().filter(is_news);
        entries.map(|entry| entry.news).collect()
    }

    /// Forgets reports that are of no more use.
    pub fn advance(&mut self, now: MonotonicMs) {
        self.entries
            .retain(|_, entry| now - entry.news.at < AGE_MAX);
    }
}
