//! Which software versions served, so that a stream that a caller takes up goes on at its own.
//!
//! No I/O and no clock: the time is an argument.

use std::collections::{HashMap, VecDeque};

use celeryknot_core::{DurationMs, MonotonicMs, RequestTag, ServiceName, SoftwareVersion};
use smallvec::SmallVec;

/// Time for which a version that is no longer listed is remembered.
const UNLISTED_TTL: DurationMs = DurationMs(10 * 60_000);

/// Time for which the version of a stream is remembered; longer than callers take streams up.
const STREAM_TTL: DurationMs = DurationMs(60_000);

/// Maximum number of streams whose versions are remembered.
const STREAMS_MAX: usize = 65_536;

/// A version that a service has, or had.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedVersion {
    /// The version.
    pub version: SoftwareVersion,
    /// When its last endpoint was removed from the list; `None` while it has one.
    pub unlisted_at: Option<MonotonicMs>,
}

/// The versions of all services since a time.
///
/// # Examples
///
/// ```
/// use celeryknot_core::{DurationMs, MonotonicMs};
/// use celeryknot_policy::direct::ListedVersions;
///
/// let service = "llm".parse()?;
/// let mut versions = ListedVersions::default();
/// versions.observe(MonotonicMs(1_000), [(&service, &"v1".parse()?)]);
/// let window = DurationMs(8_000);
/// assert_eq!(versions.sole_version(MonotonicMs(8_999), &service, window), None);
/// assert!(versions.sole_version(MonotonicMs(9_000), &service, window).is_some());
/// # Ok::<(), Box<dyn std::error::Error>>(())
/// ```
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ListedVersions {
    observed_since: Option<MonotonicMs>,
    services: HashMap<ServiceName, SmallVec<[ListedVersion; 2]>>,
}

impl ListedVersions {
    /// Applies a list of all endpoints, each with its service and version.
    pub fn observe<'a>(
        &mut self,
        now: MonotonicMs,
        listed: impl IntoIterator<Item = (&'a ServiceName, &'a SoftwareVersion)>,
    ) {
        self.observed_since.get_or_insert(now);
        for known in self.services.values_mut().flatten() {
            known.unlisted_at.get_or_insert(now);
        }
        for (service, version) in listed {
            self.insert(service, version, None);
        }
        self.services.retain(|_, versions| {
            versions.retain(|it| it.unlisted_at.is_none_or(|at| now - at < UNLISTED_TTL));
            !versions.is_empty()
        });
    }

    /// Stores a version; one that is listed, or was longer, replaces what is known.
    fn insert(
        &mut self,
        service: &ServiceName,
        version: &SoftwareVersion,
        unlisted_at: Option<MonotonicMs>,
    ) {
        let versions = self.services.entry(service.clone()).or_default();
        match versions.iter_mut().find(|it| it.version == *version) {
            Some(known) => {
                let both = known.unlisted_at.zip(unlisted_at);
                known.unlisted_at = both.map(|(one, other)| one.max(other));
            }
            None => versions.push(ListedVersion {
                version: version.clone(),
                unlisted_at,
            }),
        }
    }

    /// Records that changes may have been missed until now.
    pub fn restart(&mut self, now: MonotonicMs) {
        if self.observed_since.is_some() {
            self.observed_since = Some(now);
        }
    }

    /// Adds what a peer has observed since a time; its listed versions were listed until now.
    pub fn merge(
        &mut self,
        now: MonotonicMs,
        observed_since: MonotonicMs,
        versions: impl IntoIterator<Item = (ServiceName, ListedVersion)>,
    ) {
        // Without a list of its own, the daemon doesn't know what happens from now on.
        let Some(own_since) = self.observed_since else {
            return;
        };
        for (
            service,
            ListedVersion {
                version,
                unlisted_at,
            },
        ) in versions
        {
            let is_listed_here = self.is_listed(&service, &version);
            let unlisted_at = (!is_listed_here).then(|| unlisted_at.unwrap_or(now));
            self.insert(&service, &version, unlisted_at);
        }
        self.observed_since = Some(own_since.min(observed_since));
    }

    fn is_listed(&self, service: &ServiceName, version: &SoftwareVersion) -> bool {
        let known = self.services.get(service);
        let mut listed = known.into_iter().flatten();
        listed.any(|it| it.version == *version && it.unlisted_at.is_none())
    }

    /// Returns since when all changes are known.
    pub fn observed_since(&self) -> Option<MonotonicMs> {
        self.observed_since
    }

    /// Returns all known versions with their services.
    pub fn iter(&self) -> impl Iterator<Item = (&ServiceName, &ListedVersion)> {
        let services = self.services.iter();
        services.flat_map(|(service, versions)| versions.iter().map(move |it| (service, it)))
    }

    fn listed_within(
        &self,
        now: MonotonicMs,
        service: &ServiceName,
        window: DurationMs,
    ) -> impl Iterator<Item = &SoftwareVersion> {
        let versions = self.services.get(service).into_iter().flatten();
        versions
            .filter(move |it| it.unlisted_at.is_none_or(|at| now - at <= window))
            .map(|it| &it.version)
    }

    /// Returns whether each service certainly had one version at most within a time.
    pub fn is_settled(&self, now: MonotonicMs, window: DurationMs) -> bool {
        self.is_observed(now, window)
            && self
                .services
                .keys()
                .all(|service| self.listed_within(now, service, window).nth(1).is_none())
    }

    /// Returns whether all changes within a time are known.
    fn is_observed(&self, now: MonotonicMs, window: DurationMs) -> bool {
        self.observed_since
            .is_some_and(|since| now - since >= window)
    }

    /// Returns the only version that a service had within a time, if that is certain.
    pub fn sole_version(
        &self,
        now: MonotonicMs,
        service: &ServiceName,
        window: DurationMs,
    ) -> Option<&SoftwareVersion> {
        let is_observed = self.is_observed(now, window);
        let mut versions = self.listed_within(now, service, window);
        let sole = versions.next().filter(|_| is_observed)?;
        versions.next().is_none().then_some(sole)
    }
}

/// The versions that wrote the first events of streams.
///
/// # Examples
///
/// ```
/// use celeryknot_core::{MonotonicMs, RequestTag};
/// use celeryknot_policy::direct::StreamVersions;
///
/// let stream = RequestTag::new(&[b"9c41d07be2a35f68"]);
/// let mut streams = StreamVersions::default();
/// streams.record(MonotonicMs(0), stream, &"v1".parse()?);
/// assert!(streams.find(MonotonicMs(59_999), stream).is_some());
/// assert!(streams.find(MonotonicMs(60_000), stream).is_none());
/// # Ok::<(), Box<dyn std::error::Error>>(())
/// ```
#[derive(Debug, Default)]
pub struct StreamVersions {
    versions: HashMap<RequestTag, (MonotonicMs, SoftwareVersion)>,
    /// The streams in the order in which they were recorded, with the times.
    order: VecDeque<(MonotonicMs, RequestTag)>,
}

impl StreamVersions {
    /// Records the version of a stream; the first record of a stream holds.
    pub fn record(&mut self, now: MonotonicMs, stream: RequestTag, version: &SoftwareVersion) {
        self.remove_old(now);
        if self.find(now, stream).is_none() {
            self.versions.insert(stream, (now, version.clone()));
            self.order.push_back((now, stream));
        }
    }

    /// Returns the version of a stream.
    pub fn find(&self, now: MonotonicMs, stream: RequestTag) -> Option<&SoftwareVersion> {
        let (at, version) = self.versions.get(&stream)?;
        (now - *at < STREAM_TTL).then_some(version)
    }

    fn remove_old(&mut self, now: MonotonicMs) {
        while let Some((at, stream)) = self.order.front().copied()
            && (now - at >= STREAM_TTL || self.order.len() >= STREAMS_MAX)
        {
            self.order.pop_front();
            self.versions.remove(&stream);
        }
    }
}
