//! Differences between two versions of the configuration.

use std::collections::{HashMap, HashSet};
use std::fmt;
use std::hash::Hash;

use super::{EntryRef, FieldRef, Finding, FindingCode, MaskedKey, Place, names_with_defects};
use crate::routing::{
    Configuration, Customer, EngineModel, EntryKind, RequestLimits, Route, RoutePattern, Service,
    WeightedService,
};

/// Compares a configuration with the active version; the findings are in no particular order.
///
/// An entry that can't be read in one of the two is not compared.
///
/// # Examples
///
/// ```
/// use celeryknot_policy::routing::Configuration;
/// use celeryknot_policy::routing::review::{FindingCode, compare};
///
/// let version = |version| Configuration { version, ..Configuration::default() };
/// assert_eq!(compare(&version(7), &version(8)), []);
/// let findings = compare(&version(7), &version(7));
/// assert_eq!(findings[0].code, FindingCode::VersionNotHigher);
/// ```
pub fn compare(active: &Configuration, new: &Configuration) -> Vec<Finding> {
    let mut findings = Vec::new();
    compare_versions(active, new, &mut findings);
    note_unreadable_entries(active, &mut findings);
    compare_routes(active, new, &mut findings);
    compare_services(active, new, &mut findings);
    compare_customers(active, new, &mut findings);
    compare_keys(active, new, &mut findings);
    compare_limits(active, new, &mut findings);
    findings
}

fn compare_versions(active: &Configuration, new: &Configuration, findings: &mut Vec<Finding>) {
    if new.version > active.version {
        return;
    }
    let (new, active) = (new.version, active.version);
    let place = Place::entry(EntryRef::Version);
    let finding = Finding::error(
        FindingCode::VersionNotHigher,
        place,
        format!(
            "the version {new} is not above the active version {active}, so that gateways ignore it"
        ),
    );
    findings.push(finding.with_other(place.in_active()));
}

fn note_unreadable_entries(active: &Configuration, findings: &mut Vec<Finding>) {
    for (index, defect) in active.defects.iter().enumerate() {
        findings.push(Finding::note(
            FindingCode::ActiveEntryUnreadable,
            Place::entry(EntryRef::Defect(index)).in_active(),
            format!("not compared: {}", defect.reason),
        ));
    }
}

/// The findings for the entries of one kind, and how they are described.
struct EntryComparison<'a, T> {
    codes: ChangeCodes,
    entry: fn(usize) -> EntryRef,
    describe: fn(&T) -> String,
    changes: fn(&T, &T) -> Changes,
    findings: &'a mut Vec<Finding>,
}

#[derive(Clone, Copy)]
struct ChangeCodes {
    added: FindingCode,
    removed: FindingCode,
    changed: FindingCode,
}

/// The entries of one version by what identifies them; of repeated ones, the last takes effect.
struct Entries<'a, K, T> {
    entries: &'a [T],
    identity: fn(&'a T) -> K,
    last_index: HashMap<K, usize>,
    /// What identifies the entries that can't be read.
    unreadable: HashSet<K>,
}

impl<'a, K: Eq + Hash, T> Entries<'a, K, T> {
    fn new(entries: &'a [T], identity: fn(&'a T) -> K, unreadable: HashSet<K>) -> Self {
        Self {
            entries,
            identity,
            last_index: entries.iter().map(identity).zip(0..).collect(),
            unreadable,
        }
    }

    /// Returns the entries that take effect, with their indexes.
    fn in_effect(&self) -> impl Iterator<Item = (K, usize, &'a T)> {
        let entries = self.entries.iter().enumerate();
        let identified = entries.map(|(index, entry)| ((self.identity)(entry), index, entry));
        identified.filter(|(identity, index, _)| self.last_index.get(identity) == Some(index))
    }

    fn find(&self, identity: &K) -> Option<(usize, &'a T)> {
        let index = *self.last_index.get(identity)?;
        Some((index, self.entries.get(index)?))
    }

    fn is_absent(&self, identity: &K) -> bool {
        !self.last_index.contains_key(identity) && !self.unreadable.contains(identity)
    }
}

impl<T> EntryComparison<'_, T> {
    fn run<K: Eq + Hash>(&mut self, active: &Entries<'_, K, T>, new: &Entries<'_, K, T>) {
        for (identity, index, entry) in new.in_effect() {
            let place = Place::entry((self.entry)(index));
            if active.is_absent(&identity) {
                let message = format!("{} is added", (self.describe)(entry));
                let finding = Finding::note(self.codes.added, place, message);
                self.findings.push(finding);
            }
            let Some((active_index, active_entry)) = active.find(&identity) else {
                continue;
            };
            let changes = (self.changes)(active_entry, entry);
            if !changes.0.is_empty() {
                let message = format!("{} is changed: {changes}", (self.describe)(entry));
                let other = Place::entry((self.entry)(active_index)).in_active();
                let finding = Finding::note(self.codes.changed, place, message);
                self.findings.push(finding.with_other(other));
            }
        }
        for (identity, index, entry) in active.in_effect() {
            if new.is_absent(&identity) {
                let place = Place::entry((self.entry)(index)).in_active();
                let message = format!("{} is removed", (self.describe)(entry));
                let finding = Finding::note(self.codes.removed, place, message);
                self.findings.push(finding);
            }
        }
    }
}

fn compare_routes(active: &Configuration, new: &Configuration, findings: &mut Vec<Finding>) {
    fn pattern(route: &Route) -> RoutePattern {
        RoutePattern::new(&route.host, &route.path_prefix)
    }
    let entries = |it: &'_ Configuration| it.unusable.routes.iter().cloned().collect();
    let active = Entries::new(&active.routes, pattern, entries(active));
    let new = Entries::new(&new.routes, pattern, entries(new));
    let mut comparison = EntryComparison {
        codes: ChangeCodes {
            added: FindingCode::RouteAdded,
            removed: FindingCode::RouteRemoved,
            changed: FindingCode::RouteChanged,
        },
        entry: EntryRef::Route,
        describe: |it: &Route| {
            format!("the route `{}` of `{}{}`", it.name, it.host, it.path_prefix)
        },
        changes: route_changes,
        findings,
    };
    comparison.run(&active, &new);
}

fn compare_services(active: &Configuration, new: &Configuration, findings: &mut Vec<Finding>) {
    fn name(service: &Service) -> &str {
        service.name.as_str()
    }
    let unreadable = |it| names_with_defects(it, EntryKind::Service);
    let active = Entries::new(&active.services, name, unreadable(active));
    let new = Entries::new(&new.services, name, unreadable(new));
    let mut comparison = EntryComparison {
        codes: ChangeCodes {
            added: FindingCode::ServiceAdded,
            removed: FindingCode::ServiceRemoved,
            changed: FindingCode::ServiceChanged,
        },
        entry: EntryRef::Service,
        describe: |it: &Service| format!("the service `{}`", it.name),
        changes: service_changes,
        findings,
    };
    comparison.run(&active, &new);
}

fn compare_customers(active: &Configuration, new: &Configuration, findings: &mut Vec<Finding>) {
    fn name(customer: &Customer) -> &str {
        customer.name.as_str()
    }
    let unreadable = |it| names_with_defects(it, EntryKind::Customer);
    let active = Entries::new(&active.customers, name, unreadable(active));
    let new = Entries::new(&new.customers, name, unreadable(new));
    let mut comparison = EntryComparison {
        codes: ChangeCodes {
            added: FindingCode::CustomerAdded,
            removed: FindingCode::CustomerRemoved,
            changed: FindingCode::CustomerChanged,
        },
        entry: EntryRef::Customer,
        describe: |it: &Customer| format!("the customer `{}`", it.name),
        changes: customer_changes,
        findings,
    };
    comparison.run(&active, &new);
}

/// A key, its customer and its place.
type OwnedKey<'a> = (&'a str, &'a Customer, Place);

fn list_keys(configuration: &Configuration) -> impl Iterator<Item = OwnedKey<'_>> {
    let customers = configuration.customers.iter().enumerate();
    customers.flat_map(|(customer_index, customer)| {
        let keys = customer.keys.iter().enumerate();
        keys.map(move |(key_index, key)| {
            let field = FieldRef::Key(key_index);
            let place = Place::field(EntryRef::Customer(customer_index), field);
            (key.as_str(), customer, place)
        })
    })
}

/// The keys of one version; of the owners of a key, the last one takes effect.
struct Keys<'a> {
    owners: HashMap<&'a str, (&'a Customer, Place)>,
    unreadable: HashSet<&'a str>,
    customers_with_defects: HashSet<&'a str>,
}

impl<'a> Keys<'a> {
    fn new(configuration: &'a Configuration) -> Self {
        let keys = list_keys(configuration).map(|(key, owner, place)| (key, (owner, place)));
        let unreadable = configuration.unusable.keys.iter();
        Self {
            owners: keys.collect(),
            unreadable: unreadable.map(String::as_str).collect(),
            customers_with_defects: names_with_defects(configuration, EntryKind::Customer),
        }
    }

    /// Returns whether a key of this customer may be among those that can't be read.
    fn may_be_unreadable(&self, key: &str, customer: &Customer) -> bool {
        self.unreadable.contains(key)
            || self.customers_with_defects.contains(customer.name.as_str())
    }

    /// Returns the keys that take effect, in the order of the configuration.
    fn in_effect(&self, configuration: &'a Configuration) -> impl Iterator<Item = OwnedKey<'a>> {
        let keys = list_keys(configuration);
        keys.filter(|(key, _, place)| self.owners.get(key).is_some_and(|it| it.1 == *place))
    }
}

fn compare_keys(active: &Configuration, new: &Configuration, findings: &mut Vec<Finding>) {
    let (active_keys, new_keys) = (Keys::new(active), Keys::new(new));
    for (key, customer, place) in new_keys.in_effect(new) {
        let (masked, name) = (MaskedKey::new(key), &customer.name);
        match active_keys.owners.get(key) {
            Some((owner, _)) if owner.name == *name => {}
            Some((owner, active_place)) => {
                let message = format!("the key {masked} moves from `{}` to `{name}`", owner.name);
                let finding = Finding::note(FindingCode::KeyMoved, place, message);
                findings.push(finding.with_other(active_place.in_active()));
            }
            None if active_keys.may_be_unreadable(key, customer) => {}
            None => {
                let message = format!("the key {masked} of `{name}` is added");
                findings.push(Finding::note(FindingCode::KeyAdded, place, message));
            }
        }
    }
    for (key, customer, place) in active_keys.in_effect(active) {
        if new_keys.owners.contains_key(key) || new_keys.may_be_unreadable(key, customer) {
            continue;
        }
        let (masked, name) = (MaskedKey::new(key), &customer.name);
        let message = format!("the key {masked} of `{name}` is removed");
        let place = place.in_active();
        findings.push(Finding::note(FindingCode::KeyRemoved, place, message));
    }
}

fn compare_limits(active: &Configuration, new: &Configuration, findings: &mut Vec<Finding>) {
    let (Some(active), Some(new)) = (&active.limits, &new.limits) else {
        return;
    };
    // Without `..`, so that a new limit is compared too.
    let RequestLimits {
        header_size_max_bytes,
        body_size_max_bytes,
        header_timeout_ms,
        idle_timeout_ms,
    } = active;
    let changes = [
        (
            FieldRef::HeaderSizeMax,
            change(
                "header size",
                header_size_max_bytes,
                &new.header_size_max_bytes,
            ),
        ),
        (
            FieldRef::BodySizeMax,
            change("body size", body_size_max_bytes, &new.body_size_max_bytes),
        ),
        (
            FieldRef::HeaderTimeout,
            change("header timeout", header_timeout_ms, &new.header_timeout_ms),
        ),
        (
            FieldRef::IdleTimeout,
            change("idle timeout", idle_timeout_ms, &new.idle_timeout_ms),
        ),
    ];
    for (field, change) in changes {
        let Some(change) = change else {
            continue;
        };
        let place = Place::field(EntryRef::Limits, field);
        let message = format!("a limit is changed: {change}");
        let finding = Finding::note(FindingCode::LimitChanged, place, message);
        findings.push(finding.with_other(place.in_active()));
    }
}

/// Returns a description of the change if the values differ.
fn change<T: PartialEq + fmt::Display>(label: &str, old: &T, new: &T) -> Option<String> {
    (old != new).then(|| format!("{label} {old} -> {new}"))
}

/// The fields of an entry that differ.
#[derive(Default)]
struct Changes(Vec<String>);

impl Changes {
    fn with<T: PartialEq + fmt::Display>(mut self, label: &str, old: &T, new: &T) -> Self {
        self.0.extend(change(label, old, new));
        self
    }

    fn with_optional<T: Copy + fmt::Display>(
        self,
        label: &str,
        old: Option<T>,
        new: Option<T>,
    ) -> Self {
        let text = |value: Option<T>| value.map_or("none".to_owned(), |it| it.to_string());
        self.with(label, &text(old), &text(new))
    }

    fn with_list<T: fmt::Display>(self, label: &str, old: &[T], new: &[T]) -> Self {
        let text = |values: &[T]| match values {
            [] => "none".to_owned(),
            values => {
                let values: Vec<String> = values.iter().map(T::to_string).collect();
                values.join("+")
            }
        };
        self.with(label, &text(old), &text(new))
    }
}

impl fmt::Display for Changes {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0.join(", "))
    }
}

// The patterns below have no `..`, so that a new field is compared too.

fn route_changes(active: &Route, new: &Route) -> Changes {
    let Route {
        name,
        host: _,
        path_prefix: _,
        kind,
        timeout_ms,
        latency_objective_ms,
        pause_objective_ms,
        priority,
        attempts_max,
        allowed_regions,
        is_anonymous,
        has_prompt,
        services,
    } = active;
    let list_services = |services: &[WeightedService]| -> Vec<String> {
        let services = services.iter();
        services
            .map(|it| format!("{} ({})", it.service, it.weight))
            .collect()
    };
    Changes::default()
        .with("name", name, &new.name)
        .with("kind", kind, &new.kind)
        .with("timeout", timeout_ms, &new.timeout_ms)
        .with(
            "latency objective",
            latency_objective_ms,
            &new.latency_objective_ms,
        )
        .with_optional(
            "pause objective",
            *pause_objective_ms,
            new.pause_objective_ms,
        )
        .with("priority", priority, &new.priority)
        .with("attempts", attempts_max, &new.attempts_max)
        .with_list("regions", allowed_regions, &new.allowed_regions)
        .with("anonymous", is_anonymous, &new.is_anonymous)
        .with("prompts", has_prompt, &new.has_prompt)
        .with_list(
            "services",
            &list_services(services),
            &list_services(&new.services),
        )
}

fn service_changes(active: &Service, new: &Service) -> Changes {
    let Service {
        name: _,
        health_path,
        connections_max,
        has_cold_start,
        cold_rate,
        engine,
    } = active;
    let describe_engine = |engine: &Option<EngineModel>| match engine {
        None => "none".to_owned(),
        Some(EngineModel {
            slots,
            memory_tokens,
            token_size_bytes,
        }) => format!("{slots} slots, {memory_tokens} tokens of {token_size_bytes}"),
    };
    Changes::default()
        .with("health path", health_path, &new.health_path)
        .with("connections", connections_max, &new.connections_max)
        .with("cold start", has_cold_start, &new.has_cold_start)
        .with_optional("cold rate", *cold_rate, new.cold_rate)
        .with(
            "engine",
            &describe_engine(engine),
            &describe_engine(&new.engine),
        )
}

fn customer_changes(active: &Customer, new: &Customer) -> Changes {
    let Customer {
        name: _,
        // Keys have findings of their own.
        keys: _,
        priority,
        allowed_regions,
    } = active;
    Changes::default()
        .with_optional("priority", *priority, new.priority)
        .with_list("regions", allowed_regions, &new.allowed_regions)
}
