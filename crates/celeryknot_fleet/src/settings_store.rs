//! Active settings: for each path, the highest accepted revision wins, regardless of its source.

use std::collections::BTreeMap;
use std::sync::Arc;

use celeryknot_core::id::rendezvous_score;
use celeryknot_core::{Revision, SettingPath};
use serde::{Deserialize, Serialize};

use crate::view::ActiveSetting;

/// Maximum size of a value's text.
pub const VALUE_SIZE_MAX_BYTES: usize = 16 << 10;

/// Number of buckets whose digests are compared separately.
pub const BUCKET_COUNT: usize = 16;

/// Reasons why a value is rejected.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rejection {
    /// Findings, one line each, with path and line number.
    pub findings: Vec<String>,
}

/// Validates the text of a value.
pub type Validator = fn(&SettingPath, &str) -> Result<(), Rejection>;

/// A value as sent between daemons.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ValueRecord {
    /// The path of the value.
    pub path: SettingPath,
    /// The value's revision at the platform.
    pub revision: Revision,
    /// The text, or `None` if the value was removed.
    pub text: Option<Arc<str>>,
}

/// A rejected value; an earlier one may still be active.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RejectedValue {
    /// The revision of the rejected value.
    pub revision: Revision,
    /// The rejected text.
    pub text: Arc<str>,
    /// Why it was rejected.
    pub rejection: Rejection,
}

/// Result of merging a value.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MergeOutcome {
    /// The value is now active.
    Accepted,
    /// The value is invalid; the previous one stays active.
    Rejected,
    /// The store already has a value that is at least as new.
    Stale,
}

#[derive(Debug, Clone, Default)]
struct Entry {
    accepted: Option<ActiveSetting>,
    rejected: Option<RejectedValue>,
}

impl Entry {
    fn accepted_revision(&self) -> Option<Revision> {
        self.accepted.as_ref().map(|value| value.revision)
    }

    fn hash(&self, path: &SettingPath) -> u64 {
        let hash_of = |revision: Option<Revision>, salt: u64| {
            revision.map_or(0, |r| rendezvous_score(r.0 ^ salt, path.as_str()))
        };
        let rejected = self.rejected.as_ref().map(|value| value.revision);
        hash_of(self.accepted_revision(), 0) ^ hash_of(rejected, REJECTED_SALT)
    }
}

const REJECTED_SALT: u64 = 0x9e37_79b9_7f4a_7c15;

/// All accepted and rejected values that this daemon has received.
///
/// # Examples
///
/// ```
/// use celeryknot_core::Revision;
/// use celeryknot_fleet::settings_store::{MergeOutcome, SettingsStore, ValueRecord};
///
/// let mut store = SettingsStore::new(|_, _| Ok(()));
/// let value = |revision, text: &str| ValueRecord {
///     path: "fleet/zones/a".parse().expect("a valid path"),
///     revision: Revision(revision),
///     text: Some(text.into()),
/// };
/// assert_eq!(store.merge(&value(7, "state = out")), MergeOutcome::Accepted);
/// assert_eq!(store.merge(&value(6, "state = in")), MergeOutcome::Stale);
/// ```
#[derive(Debug, Clone)]
pub struct SettingsStore {
    entries: BTreeMap<SettingPath, Entry>,
    validate: Validator,
    buckets: [u64; BUCKET_COUNT],
    highest_revision: Revision,
    version: u64,
}

fn bucket_of(path: &SettingPath) -> usize {
    let bucket = rendezvous_score(0, path.as_str()) % BUCKET_COUNT as u64;
    usize::try_from(bucket).unwrap_or(0)
}

impl SettingsStore {
    /// Creates an empty store.
    pub fn new(validate: Validator) -> Self {
        Self {
            entries: BTreeMap::new(),
            validate,
            buckets: [0; BUCKET_COUNT],
            highest_revision: Revision(0),
            version: 0,
        }
    }

    /// Merges a value from any source, unless the stored one is at least as new.
    pub fn merge(&mut self, value: &ValueRecord) -> MergeOutcome {
        let entry = self.entries.entry(value.path.clone()).or_default();
        if entry.accepted_revision() >= Some(value.revision) {
            return MergeOutcome::Stale;
        }
        if entry.rejected.as_ref().map(|r| r.revision) == Some(value.revision) {
            return MergeOutcome::Stale;
        }
        let hash_before = entry.hash(&value.path);
        let outcome = apply(entry, value, self.validate);
        self.buckets[bucket_of(&value.path)] ^= hash_before ^ entry.hash(&value.path);
        self.highest_revision = self.highest_revision.max(value.revision);
        if outcome != MergeOutcome::Stale {
            self.version += 1;
        }
        outcome
    }

    /// Returns a version that increases with every accepted or rejected value.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the highest received revision.
    pub fn highest_revision(&self) -> Revision {
        self.highest_revision
    }

    /// Returns the number of paths.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether the store has no paths.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the active values by path, including removed ones.
    pub fn active_values(&self) -> impl Iterator<Item = (&SettingPath, &ActiveSetting)> {
        self.entries
            .iter()
            .filter_map(|(path, entry)| Some((path, entry.accepted.as_ref()?)))
    }

    /// Returns the active value of a path.
    pub fn get(&self, path: &SettingPath) -> Option<&ActiveSetting> {
        self.entries.get(path)?.accepted.as_ref()
    }

    /// Returns, by path, the rejected values that have not been replaced since.
    pub fn rejected(&self) -> impl Iterator<Item = (&SettingPath, &RejectedValue)> {
        self.entries
            .iter()
            .filter_map(|(path, entry)| Some((path, entry.rejected.as_ref()?)))
    }

    /// Returns a digest of all values, to compare two stores cheaply.
    pub fn digest(&self) -> u64 {
        let mix = |sum: u64, hash: &u64| sum.rotate_left(7) ^ hash;
        self.buckets.iter().fold(0, mix)
    }

    /// Returns the digest of each bucket.
    pub fn buckets(&self) -> [u64; BUCKET_COUNT] {
        self.buckets
    }

    /// Returns a page of the values in buckets that differ, newest first, of about the given size.
    ///
    /// The second item is the revision below which the next page continues, if there is one.
    pub fn page(
        &self,
        buckets: &[u64],
        before: Option<Revision>,
        size_max_bytes: usize,
    ) -> (Vec<ValueRecord>, Option<Revision>) {
        let mut records = self.differing(buckets);
        records.retain(|record| before.is_none_or(|limit| record.revision < limit));
        records.sort_by_key(|record| std::cmp::Reverse(record.revision));
        let mut size_bytes = 0;
        let mut kept: Vec<ValueRecord> = Vec::new();
        for record in records {
            let is_new_revision = kept.last().is_none_or(|l| l.revision != record.revision);
            if size_bytes >= size_max_bytes && is_new_revision {
                let next = kept.last().map(|last| last.revision);
                return (kept, next);
            }
            size_bytes += record.size_bytes();
            kept.push(record);
        }
        (kept, None)
    }

    fn differing(&self, buckets: &[u64]) -> Vec<ValueRecord> {
        let differs = |path: &SettingPath| {
            let bucket = bucket_of(path);
            buckets.get(bucket) != Some(&self.buckets[bucket])
        };
        self.entries
            .iter()
            .filter(|(path, _)| differs(path))
            .flat_map(|(path, entry)| records_of(path, entry))
            .collect()
    }
}

impl ValueRecord {
    /// Returns the approximate size of the value in a message.
    pub fn size_bytes(&self) -> usize {
        let text = self.text.as_ref().map_or(0, |text| text.len());
        self.path.as_str().len() + text + 16
    }
}

fn records_of(path: &SettingPath, entry: &Entry) -> impl Iterator<Item = ValueRecord> {
    let accepted = entry.accepted.as_ref().map(|value| ValueRecord {
        path: path.clone(),
        revision: value.revision,
        text: value.text.clone(),
    });
    let rejected = entry.rejected.as_ref().map(|value| ValueRecord {
        path: path.clone(),
        revision: value.revision,
        text: Some(Arc::clone(&value.text)),
    });
    accepted.into_iter().chain(rejected)
}

fn apply(entry: &mut Entry, value: &ValueRecord, validate: Validator) -> MergeOutcome {
    let checked = match &value.text {
        None => Ok(()),
        Some(text) => check(&value.path, text, validate),
    };
    match (checked, &value.text) {
        (Ok(()), text) => {
            entry.accepted = Some(ActiveSetting {
                revision: value.revision,
                text: text.clone(),
            });
            entry.rejected.take_if(|old| old.revision < value.revision);
            MergeOutcome::Accepted
        }
        (Err(rejection), text) => {
            let newest = entry.rejected.as_ref().map(|old| old.revision);
            if newest > Some(value.revision) {
                return MergeOutcome::Stale;
            }
            entry.rejected = Some(RejectedValue {
                revision: value.revision,
                text: text.clone().unwrap_or_else(|| Arc::from("")),
                rejection,
            });
            MergeOutcome::Rejected
        }
    }
}

fn check(path: &SettingPath, text: &str, validate: Validator) -> Result<(), Rejection> {
    if text.len() > VALUE_SIZE_MAX_BYTES {
        let finding = format!("{path}: too-large: more than {VALUE_SIZE_MAX_BYTES} bytes");
        return Err(Rejection {
            findings: vec![finding],
        });
    }
    validate(path, text)
}
