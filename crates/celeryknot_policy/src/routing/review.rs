//! Review of a configuration before it is published: errors, contradictions and differences.
//!
//! The review works on the decoded configuration and names places by entry and field. The platform's
//! adapter translates a [`Place`] to the names and lines of the text.

mod difference;
mod entries;
mod limits;
mod masked_key;

use std::collections::HashSet;
use std::fmt;

use celeryknot_core::{RegionName, ZoneName};
use strum::{Display, EnumIter, EnumString, IntoStaticStr};

use super::{Configuration, EntryKind};

pub use difference::compare;
pub use masked_key::MaskedKey;

/// Maximum length of a message, as names in a configuration may be of any length.
const MESSAGE_LEN_MAX_CHARS: usize = 1_000;

/// What a finding means for publishing the configuration.
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
)]
#[strum(serialize_all = "kebab-case")]
pub enum Severity {
    /// A difference from the active version.
    Note,
    /// A contradiction that the gateways resolve in a defined way.
    Warning,
    /// The configuration must not be published like this.
    Error,
}

/// The kind of a finding. Codes are stable: scripts may rely on them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, EnumIter, EnumString, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum FindingCode {
    /// The file can't be read at all.
    UnreadableFile,
    /// An entry or one of its fields can't be read.
    UnreadableEntry,
    /// A later route has the same host and prefix.
    RepeatedRoute,
    /// The prefix of a route doesn't start and end with a slash.
    PrefixWithoutSlash,
    /// No request has the host of a route.
    HostNeverMatches,
    /// A route names a service that doesn't exist.
    UnknownService,
    /// A route names no service.
    RouteWithoutService,
    /// All weights of a route are zero.
    ZeroWeights,
    /// A later service has the same name.
    RepeatedService,
    /// Two customers hold the same key.
    SharedKey,
    /// A customer holds a key twice.
    RepeatedKey,
    /// A customer has no key.
    CustomerWithoutKey,
    /// No zone is in an allowed region.
    UnknownRegion,
    /// The timeout of a route is zero.
    ZeroTimeout,
    /// The latency objective of a route is above its timeout.
    ObjectiveAboveTimeout,
    /// The pause objective of a route is above its timeout.
    PauseAboveTimeout,
    /// A route allows no attempt.
    ZeroAttempts,
    /// A rate for cold endpoints without a cold start.
    ColdRateWithoutColdStart,
    /// A cold start without a rate for cold endpoints.
    ColdStartWithoutColdRate,
    /// A rate for cold endpoints that allows no request.
    ZeroColdRate,
    /// An engine has more slots than connections.
    SlotsAboveConnections,
    /// A limit on callers is zero.
    ZeroLimit,
    /// The header timeout is above the idle timeout.
    HeaderTimeoutAboveIdle,
    /// The version isn't higher than the active one.
    VersionNotHigher,
    /// A route of the new version alone.
    RouteAdded,
    /// A route of the active version alone.
    RouteRemoved,
    /// A route that differs between the versions.
    RouteChanged,
    /// A service of the new version alone.
    ServiceAdded,
    /// A service of the active version alone.
    ServiceRemoved,
    /// A service that differs between the versions.
    ServiceChanged,
    /// A customer of the new version alone.
    CustomerAdded,
    /// A customer of the active version alone.
    CustomerRemoved,
    /// A customer that differs between the versions, other than in its keys.
    CustomerChanged,
    /// A key of the new version alone.
    KeyAdded,
    /// A key of the active version alone.
    KeyRemoved,
    /// A key that belongs to another customer than before.
    KeyMoved,
    /// A limit on callers that differs between the versions.
    LimitChanged,
    /// An entry of the active version can't be read, and isn't compared.
    ActiveEntryUnreadable,
}

/// The configuration that a place is in.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Document {
    /// The configuration under review.
    New,
    /// The active version, which it is compared with.
    Active,
}

/// An entry, by its index in the decoded [`Configuration`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum EntryRef {
    /// The version.
    Version,
    /// An entry of `routes`.
    Route(usize),
    /// An entry of `services`.
    Service(usize),
    /// An entry of `customers`.
    Customer(usize),
    /// The limits on callers.
    Limits,
    /// The entry, or its field, that an element of `defects` is about.
    Defect(usize),
}

/// A field of an entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum FieldRef {
    /// [`Route::host`](super::Route::host).
    Host,
    /// [`Route::path_prefix`](super::Route::path_prefix).
    PathPrefix,
    /// [`Route::timeout_ms`](super::Route::timeout_ms).
    Timeout,
    /// [`Route::latency_objective_ms`](super::Route::latency_objective_ms).
    LatencyObjective,
    /// [`Route::pause_objective_ms`](super::Route::pause_objective_ms).
    PauseObjective,
    /// [`Route::attempts_max`](super::Route::attempts_max).
    AttemptsMax,
    /// All of [`Route::services`](super::Route::services).
    Services,
    /// One of [`Route::services`](super::Route::services).
    WeightedService(usize),
    /// One of the allowed regions of a route or customer.
    AllowedRegion(usize),
    /// The name of a service.
    Name,
    /// [`Service::has_cold_start`](super::Service::has_cold_start).
    ColdStart,
    /// [`Service::cold_rate`](super::Service::cold_rate).
    ColdRate,
    /// [`EngineModel::slots`](super::EngineModel::slots).
    EngineSlots,
    /// All of [`Customer::keys`](super::Customer::keys).
    Keys,
    /// One of [`Customer::keys`](super::Customer::keys).
    Key(usize),
    /// [`RequestLimits::header_size_max_bytes`](super::RequestLimits::header_size_max_bytes).
    HeaderSizeMax,
    /// [`RequestLimits::body_size_max_bytes`](super::RequestLimits::body_size_max_bytes).
    BodySizeMax,
    /// [`RequestLimits::header_timeout_ms`](super::RequestLimits::header_timeout_ms).
    HeaderTimeout,
    /// [`RequestLimits::idle_timeout_ms`](super::RequestLimits::idle_timeout_ms).
    IdleTimeout,
}

/// The place of a finding.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Place {
    /// The configuration.
    pub document: Document,
    /// The entry.
    pub entry: EntryRef,
    /// The field; `None` for the entry as a whole.
    pub field: Option<FieldRef>,
}

impl Place {
    /// Creates the place of an entry of the configuration under review.
    pub const fn entry(entry: EntryRef) -> Self {
        Self {
            document: Document::New,
            entry,
            field: None,
        }
    }

    /// Creates the place of a field of the configuration under review.
    pub const fn field(entry: EntryRef, field: FieldRef) -> Self {
        Self {
            document: Document::New,
            entry,
            field: Some(field),
        }
    }

    /// Returns the same place in the active version.
    #[must_use]
    pub const fn in_active(self) -> Self {
        Self {
            document: Document::Active,
            ..self
        }
    }
}

/// One finding.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Finding {
    /// The kind of the finding.
    pub code: FindingCode,
    /// What it means for publishing.
    pub severity: Severity,
    /// Where it is.
    pub place: Place,
    /// The place that contradicts it, if there is one.
    pub other_place: Option<Place>,
    /// The message, in one line.
    pub message: String,
}

impl Finding {
    fn new(
        code: FindingCode,
        severity: Severity,
        place: Place,
        message: impl fmt::Display,
    ) -> Self {
        Self {
            code,
            severity,
            place,
            other_place: None,
            message: one_line(&message.to_string()),
        }
    }

    fn error(code: FindingCode, place: Place, message: impl fmt::Display) -> Self {
        Self::new(code, Severity::Error, place, message)
    }

    fn warning(code: FindingCode, place: Place, message: impl fmt::Display) -> Self {
        Self::new(code, Severity::Warning, place, message)
    }

    fn note(code: FindingCode, place: Place, message: impl fmt::Display) -> Self {
        Self::new(code, Severity::Note, place, message)
    }

    fn with_other(mut self, place: Place) -> Self {
        self.other_place = Some(place);
        self
    }
}

/// Reviews a configuration by itself; the findings are in no particular order.
///
/// `zones` maps each zone to its region; without it, regions aren't checked.
///
/// # Examples
///
/// ```
/// use celeryknot_core::DurationMs;
/// use celeryknot_policy::routing::review::{FindingCode, review};
/// use celeryknot_policy::routing::{Configuration, RequestLimits};
///
/// let limits = RequestLimits {
///     header_timeout_ms: DurationMs(60_000),
///     ..RequestLimits::default()
/// };
/// let configuration = Configuration { limits: Some(limits), ..Configuration::default() };
/// let findings = review(&configuration, None);
/// assert_eq!(findings[0].code, FindingCode::HeaderTimeoutAboveIdle);
/// ```
pub fn review(
    configuration: &Configuration,
    zones: Option<&[(ZoneName, RegionName)]>,
) -> Vec<Finding> {
    let mut findings = Vec::new();
    review_defects(configuration, &mut findings);
    entries::review_entries(configuration, zones, &mut findings);
    limits::review_limits(configuration, &mut findings);
    findings
}

fn review_defects(configuration: &Configuration, findings: &mut Vec<Finding>) {
    for (index, defect) in configuration.defects.iter().enumerate() {
        let place = Place::entry(EntryRef::Defect(index));
        let code = FindingCode::UnreadableEntry;
        findings.push(Finding::error(code, place, &defect.reason));
    }
}

/// Returns the names of the entries of this kind that have a value that can't be read.
fn names_with_defects(configuration: &Configuration, kind: EntryKind) -> HashSet<&str> {
    let defects = configuration.defects.iter();
    let defects = defects.filter(|defect| defect.kind == kind);
    defects.map(|defect| defect.name.as_str()).collect()
}

/// Escapes control characters and shortens the text, so that it stays on one line.
fn one_line(text: &str) -> String {
    let is_break = |c: char| c.is_control() || matches!(c, '\u{2028}' | '\u{2029}');
    let mut line = String::new();
    for (index, c) in text.chars().enumerate() {
        if index == MESSAGE_LEN_MAX_CHARS {
            line.push('…');
            break;
        }
        match is_break(c) {
            true => line.extend(c.escape_default()),
            false => line.push(c),
        }
    }
    line
}
