//! Entries that no request matches, and references to entries that don't exist.

use std::collections::{HashMap, HashSet};

use celeryknot_core::{RegionName, ServiceName, ZoneName};

use super::{
    EntryRef, FieldRef, Finding, FindingCode, MaskedKey, Place, Severity, names_with_defects,
};
use crate::routing::{Configuration, Customer, EntryKind, Route};

pub(super) fn review_entries(
    configuration: &Configuration,
    zones: Option<&[(ZoneName, RegionName)]>,
    findings: &mut Vec<Finding>,
) {
    let regions: Option<HashSet<&RegionName>> =
        zones.map(|zones| zones.iter().map(|(_, region)| region).collect());
    // A service that can't be read has a finding of its own.
    let mut services = names_with_defects(configuration, EntryKind::Service);
    services.extend(configuration.services.iter().map(|it| it.name.as_str()));
    for (index, route) in configuration.routes.iter().enumerate() {
        let entry = EntryRef::Route(index);
        review_pattern(entry, route, findings);
        review_route_services(entry, route, &services, findings);
        review_regions(entry, &route.allowed_regions, regions.as_ref(), findings);
    }
    for (index, customer) in configuration.customers.iter().enumerate() {
        let entry = EntryRef::Customer(index);
        review_regions(entry, &customer.allowed_regions, regions.as_ref(), findings);
    }
    review_repeated_routes(configuration, findings);
    review_repeated_services(configuration, findings);
    review_keys(&configuration.customers, findings);
}

/// Checks what `RoutingTable::find_route` can match: it compares the host without its port, and the
/// part of the path up to a slash.
fn review_pattern(entry: EntryRef, route: &Route, findings: &mut Vec<Finding>) {
    let (host, prefix) = (&route.host, &route.path_prefix);
    if host.is_empty() || host.contains([':', '/']) || host.contains(char::is_whitespace) {
        findings.push(Finding::error(
            FindingCode::HostNeverMatches,
            Place::field(entry, FieldRef::Host),
            format!("no request has the host `{host}`: a host is a name without a port"),
        ));
    }
    if !(prefix.starts_with('/') && prefix.ends_with('/')) {
        findings.push(Finding::error(
            FindingCode::PrefixWithoutSlash,
            Place::field(entry, FieldRef::PathPrefix),
            format!("no request matches the prefix `{prefix}`: it must start and end with a slash"),
        ));
    }
}

fn review_route_services(
    entry: EntryRef,
    route: &Route,
    services: &HashSet<&str>,
    findings: &mut Vec<Finding>,
) {
    if route.services.is_empty() {
        findings.push(Finding::error(
            FindingCode::RouteWithoutService,
            Place::field(entry, FieldRef::Services),
            "the route names no service, so that its requests are refused",
        ));
    } else if route.services.iter().all(|it| it.weight == 0) {
        findings.push(Finding::error(
            FindingCode::ZeroWeights,
            Place::field(entry, FieldRef::Services),
            "all weights are 0, so that the requests of the route are refused",
        ));
    }
    for (index, weighted) in route.services.iter().enumerate() {
        let name = &weighted.service;
        if services.contains(name.as_str()) {
            continue;
        }
        let severity = match weighted.weight {
            0 => Severity::Warning,
            _ => Severity::Error,
        };
        findings.push(Finding::new(
            FindingCode::UnknownService,
            severity,
            Place::field(entry, FieldRef::WeightedService(index)),
            format!("there is no service `{name}`"),
        ));
    }
}

/// An entry with one region that exists still has endpoints, so that the others only weigh a warning.
fn review_regions(
    entry: EntryRef,
    allowed: &[RegionName],
    regions: Option<&HashSet<&RegionName>>,
    findings: &mut Vec<Finding>,
) {
    let Some(regions) = regions else {
        return;
    };
    let severity = match allowed.iter().any(|region| regions.contains(region)) {
        true => Severity::Warning,
        false => Severity::Error,
    };
    let unknown = allowed.iter().enumerate();
    let unknown = unknown.filter(|(_, region)| !regions.contains(region));
    findings.extend(unknown.map(|(index, region)| {
        let place = Place::field(entry, FieldRef::AllowedRegion(index));
        let message = format!("no zone is in the region `{region}`");
        Finding::new(FindingCode::UnknownRegion, severity, place, message)
    }));
}

/// Reports all but the last of the routes with one host and prefix: the last one gets the requests.
fn review_repeated_routes(configuration: &Configuration, findings: &mut Vec<Finding>) {
    let routes = &configuration.routes;
    let pattern = |route: &'_ Route| (route.host.clone(), route.path_prefix.clone());
    let last: HashMap<_, usize> = routes.iter().map(pattern).zip(0..).collect();
    for (index, route) in routes.iter().enumerate() {
        let last_index = last[&pattern(route)];
        if last_index == index {
            continue;
        }
        let finding = Finding::error(
            FindingCode::RepeatedRoute,
            Place::entry(EntryRef::Route(index)),
            format!(
                "no request matches the route: a later one has the host `{}` and the prefix `{}` too",
                route.host, route.path_prefix
            ),
        );
        findings.push(finding.with_other(Place::entry(EntryRef::Route(last_index))));
    }
}

fn review_repeated_services(configuration: &Configuration, findings: &mut Vec<Finding>) {
    let services = &configuration.services;
    let last: HashMap<&ServiceName, usize> = services.iter().map(|it| &it.name).zip(0..).collect();
    for (index, service) in services.iter().enumerate() {
        let last_index = last[&service.name];
        if last_index == index {
            continue;
        }
        let finding = Finding::error(
            FindingCode::RepeatedService,
            Place::field(EntryRef::Service(index), FieldRef::Name),
            format!(
                "the entry has no effect: a later one has the name `{}` too",
                service.name
            ),
        );
        let other = Place::field(EntryRef::Service(last_index), FieldRef::Name);
        findings.push(finding.with_other(other));
    }
}

fn review_keys(customers: &[Customer], findings: &mut Vec<Finding>) {
    // The first place of each key.
    let mut places: HashMap<&str, (usize, usize)> = HashMap::new();
    for (customer_index, customer) in customers.iter().enumerate() {
        let entry = EntryRef::Customer(customer_index);
        if customer.keys.is_empty() {
            findings.push(Finding::warning(
                FindingCode::CustomerWithoutKey,
                Place::field(entry, FieldRef::Keys),
                format!("no request is of `{}`: it has no key", customer.name),
            ));
        }
        for (key_index, key) in customer.keys.iter().enumerate() {
            let Some(&(other_customer, other_key)) = places.get(key.as_str()) else {
                places.insert(key, (customer_index, key_index));
                continue;
            };
            let place = Place::field(entry, FieldRef::Key(key_index));
            let other_entry = EntryRef::Customer(other_customer);
            let other_place = Place::field(other_entry, FieldRef::Key(other_key));
            let masked = MaskedKey::new(key);
            let finding = match other_customer == customer_index {
                true => Finding::warning(
                    FindingCode::RepeatedKey,
                    place,
                    format!("`{}` has the key {masked} twice", customer.name),
                ),
                false => Finding::error(
                    FindingCode::SharedKey,
                    place,
                    format!(
                        "the key {masked} belongs to `{}` and `{}`; requests with it count for the last of them",
                        customers[other_customer].name, customer.name
                    ),
                ),
            };
            findings.push(finding.with_other(other_place));
        }
    }
}
