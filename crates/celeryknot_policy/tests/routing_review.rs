//! Tests of the review of a configuration before it is published.

#![allow(
    clippy::unwrap_used,
    reason = "tests may unwrap, in their helper functions too"
)]

use std::collections::HashSet;
use std::sync::Arc;

use celeryknot_core::{DurationMs, RatePerS, RegionName, SizeBytes, TokenCount, ZoneName};
use celeryknot_policy::routing::review::{
    Document, EntryRef, FieldRef, Finding, FindingCode, MaskedKey, Place, Severity, compare, review,
};
use celeryknot_policy::routing::{
    Configuration, Customer, EngineModel, EntryDefect, EntryKind, RequestLimits, Route, RouteKind,
    RoutePattern, Service, WeightedService,
};
use proptest::prelude::*;
use smallvec::smallvec;
use strum::IntoEnumIterator;

const KEY: &str = "key-of-otaru-0123456789";
const SPARE_KEY: &str = "spare-key-0123456789";

fn weighted(service: &str, weight: u32) -> WeightedService {
    WeightedService {
        service: service.parse().unwrap(),
        weight,
    }
}

fn route(host: &str, path_prefix: &str) -> Route {
    Route {
        name: Arc::from("r-1"),
        host: Arc::from(host),
        path_prefix: Arc::from(path_prefix),
        kind: RouteKind::Stream,
        timeout_ms: DurationMs(5_000),
        latency_objective_ms: DurationMs(600),
        pause_objective_ms: Some(DurationMs(300)),
        priority: 1,
        attempts_max: 2,
        allowed_regions: smallvec![],
        is_anonymous: false,
        has_prompt: true,
        services: smallvec![weighted("llm", 1)],
    }
}

fn service(name: &str) -> Service {
    Service {
        name: name.parse().unwrap(),
        health_path: Arc::from("/healthz"),
        connections_max: 360,
        has_cold_start: true,
        cold_rate: Some(RatePerS(13.0)),
        engine: Some(EngineModel {
            slots: 64,
            memory_tokens: TokenCount(342_415),
            token_size_bytes: SizeBytes(163_840),
        }),
    }
}

fn customer(name: &str, keys: &[&str]) -> Customer {
    Customer {
        name: name.parse().unwrap(),
        keys: keys.iter().map(|key| (*key).to_owned()).collect(),
        priority: None,
        allowed_regions: smallvec![],
    }
}

fn sound() -> Configuration {
    Configuration {
        version: 7,
        routes: vec![route("desk.example", "/"), route("desk.example", "/file/")],
        services: vec![service("llm")],
        customers: vec![customer("otaru", &[KEY])],
        limits: Some(RequestLimits::default()),
        ..Configuration::default()
    }
}

fn zones() -> Vec<(ZoneName, RegionName)> {
    let zones = [("hkd-a", "hkd"), ("oki-a", "oki")];
    let zones = zones.map(|(zone, region)| (zone.parse().unwrap(), region.parse().unwrap()));
    zones.to_vec()
}

fn region(name: &str) -> RegionName {
    name.parse().unwrap()
}

/// What a finding is compared by: code, severity, place and the place that contradicts it.
type Summary = (FindingCode, Severity, Place, Option<Place>);

fn summarize(findings: &[Finding]) -> Vec<Summary> {
    let findings = findings.iter();
    findings
        .map(|it| (it.code, it.severity, it.place, it.other_place))
        .collect()
}

struct ReviewCase {
    name: &'static str,
    change: fn(&mut Configuration),
    expected: Vec<Summary>,
    /// The message of the first finding.
    message: &'static str,
}

#[test]
fn sound_configuration_has_no_findings() {
    assert_eq!(review(&sound(), Some(&zones())), []);
    assert_eq!(review(&sound(), None), []);
}

/// Guards against a finding that is missed, is reported at another place, or comes with others.
#[test]
fn entries_that_never_match_are_found() {
    use FindingCode as Code;
    use Severity::{Error, Warning};
    let route = |field| Place::field(EntryRef::Route(0), field);
    let customer = |index, key| Place::field(EntryRef::Customer(index), FieldRef::Key(key));
    let cases = [
        ReviewCase {
            name: "a value that can't be read",
            change: |it| {
                it.defects.push(EntryDefect {
                    kind: EntryKind::Route,
                    name: "r-1".to_owned(),
                    reason: "the field `gapAimMs`\ncan't be read".to_owned(),
                });
            },
            expected: vec![(
                Code::UnreadableEntry,
                Error,
                Place::entry(EntryRef::Defect(0)),
                None,
            )],
            message: "the field `gapAimMs`\\ncan't be read",
        },
        ReviewCase {
            name: "three routes with one host and prefix: the last one counts",
            change: |it| {
                let repeated = it.routes[0].clone();
                it.routes.extend([repeated.clone(), repeated]);
            },
            expected: [0, 2]
                .map(|index| {
                    let last = Place::entry(EntryRef::Route(3));
                    let place = Place::entry(EntryRef::Route(index));
                    (Code::RepeatedRoute, Error, place, Some(last))
                })
                .to_vec(),
            message: "no request matches the route: a later one has the host `desk.example` and the prefix `/` too",
        },
        ReviewCase {
            name: "the same prefix at another host",
            change: |it| it.routes[0].host = Arc::from("other.example"),
            expected: vec![],
            message: "",
        },
        ReviewCase {
            name: "no slash at the end",
            change: |it| it.routes[0].path_prefix = Arc::from("/read"),
            expected: vec![(
                Code::PrefixWithoutSlash,
                Error,
                route(FieldRef::PathPrefix),
                None,
            )],
            message: "no request matches the prefix `/read`: it must start and end with a slash",
        },
        ReviewCase {
            name: "no slash at the start",
            change: |it| it.routes[0].path_prefix = Arc::from("read/"),
            expected: vec![(
                Code::PrefixWithoutSlash,
                Error,
                route(FieldRef::PathPrefix),
                None,
            )],
            message: "no request matches the prefix `read/`: it must start and end with a slash",
        },
        ReviewCase {
            name: "an empty prefix",
            change: |it| it.routes[0].path_prefix = Arc::from(""),
            expected: vec![(
                Code::PrefixWithoutSlash,
                Error,
                route(FieldRef::PathPrefix),
                None,
            )],
            message: "no request matches the prefix ``: it must start and end with a slash",
        },
        ReviewCase {
            name: "a host with a port",
            change: |it| it.routes[0].host = Arc::from("desk.example:80"),
            expected: vec![(Code::HostNeverMatches, Error, route(FieldRef::Host), None)],
            message: "no request has the host `desk.example:80`: a host is a name without a port",
        },
        ReviewCase {
            name: "an empty host",
            change: |it| it.routes[0].host = Arc::from(""),
            expected: vec![(Code::HostNeverMatches, Error, route(FieldRef::Host), None)],
            message: "no request has the host ``: a host is a name without a port",
        },
        ReviewCase {
            name: "an unknown service",
            change: |it| it.routes[0].services = smallvec![weighted("lm", 1)],
            expected: vec![(
                Code::UnknownService,
                Error,
                route(FieldRef::WeightedService(0)),
                None,
            )],
            message: "there is no service `lm`",
        },
        ReviewCase {
            name: "an unknown service that gets no requests",
            change: |it| it.routes[0].services = smallvec![weighted("llm", 1), weighted("lm", 0)],
            expected: vec![(
                Code::UnknownService,
                Warning,
                route(FieldRef::WeightedService(1)),
                None,
            )],
            message: "there is no service `lm`",
        },
        ReviewCase {
            name: "a service that can't be read is not unknown too",
            change: |it| {
                it.services.clear();
                it.defects.push(EntryDefect {
                    kind: EntryKind::Service,
                    name: "llm".to_owned(),
                    reason: "missing".to_owned(),
                });
            },
            expected: vec![(
                Code::UnreadableEntry,
                Error,
                Place::entry(EntryRef::Defect(0)),
                None,
            )],
            message: "missing",
        },
        ReviewCase {
            name: "no service",
            change: |it| it.routes[0].services.clear(),
            expected: vec![(
                Code::RouteWithoutService,
                Error,
                route(FieldRef::Services),
                None,
            )],
            message: "the route names no service, so that its requests are refused",
        },
        ReviewCase {
            name: "weights of zero",
            change: |it| it.routes[0].services = smallvec![weighted("llm", 0), weighted("llm", 0)],
            expected: vec![(Code::ZeroWeights, Error, route(FieldRef::Services), None)],
            message: "all weights are 0, so that the requests of the route are refused",
        },
        ReviewCase {
            name: "one weight above zero",
            change: |it| it.routes[0].services = smallvec![weighted("llm", 0), weighted("llm", 1)],
            expected: vec![],
            message: "",
        },
        ReviewCase {
            name: "a repeated service",
            change: |it| it.services.push(service("llm")),
            expected: vec![(
                Code::RepeatedService,
                Error,
                Place::field(EntryRef::Service(0), FieldRef::Name),
                Some(Place::field(EntryRef::Service(1), FieldRef::Name)),
            )],
            message: "the entry has no effect: a later one has the name `llm` too",
        },
        ReviewCase {
            name: "a key of two customers",
            change: |it| {
                it.customers
                    .push(self::customer("minami", &[SPARE_KEY, KEY]))
            },
            expected: vec![(Code::SharedKey, Error, customer(1, 1), Some(customer(0, 0)))],
            message: "the key key-… belongs to `otaru` and `minami`; requests with it count for the last of them",
        },
        ReviewCase {
            name: "a key twice",
            change: |it| it.customers[0].keys.push(KEY.to_owned()),
            expected: vec![(
                Code::RepeatedKey,
                Warning,
                customer(0, 1),
                Some(customer(0, 0)),
            )],
            message: "`otaru` has the key key-… twice",
        },
        ReviewCase {
            name: "a customer without a key",
            change: |it| it.customers.push(self::customer("minami", &[])),
            expected: vec![(
                Code::CustomerWithoutKey,
                Warning,
                Place::field(EntryRef::Customer(1), FieldRef::Keys),
                None,
            )],
            message: "no request is of `minami`: it has no key",
        },
        ReviewCase {
            name: "regions of a route, none of which has a zone",
            change: |it| it.routes[0].allowed_regions = smallvec![region("tok"), region("osk")],
            expected: [0, 1]
                .map(|index| {
                    let place = route(FieldRef::AllowedRegion(index));
                    (Code::UnknownRegion, Error, place, None)
                })
                .to_vec(),
            message: "no zone is in the region `tok`",
        },
        ReviewCase {
            name: "regions of a customer, one of which has a zone",
            change: |it| it.customers[0].allowed_regions = smallvec![region("oki"), region("osk")],
            expected: vec![(
                Code::UnknownRegion,
                Warning,
                Place::field(EntryRef::Customer(0), FieldRef::AllowedRegion(1)),
                None,
            )],
            message: "no zone is in the region `osk`",
        },
    ];
    check_reviews(&cases);
}

/// Guards against a contradiction that is missed, or one that is found where values are equal.
#[test]
fn contradicting_limits_are_found() {
    use FindingCode as Code;
    use Severity::{Error, Warning};
    let route = |field| Place::field(EntryRef::Route(0), field);
    let service = |field| Place::field(EntryRef::Service(0), field);
    let limits = |field| Place::field(EntryRef::Limits, field);
    let cases = [
        ReviewCase {
            name: "no timeout, which says it all",
            change: |it| it.routes[0].timeout_ms = DurationMs(0),
            expected: vec![(Code::ZeroTimeout, Error, route(FieldRef::Timeout), None)],
            message: "the timeout is 0, so that every request times out at once",
        },
        ReviewCase {
            name: "latency objective above the timeout",
            change: |it| it.routes[0].latency_objective_ms = DurationMs(5_001),
            expected: vec![(
                Code::ObjectiveAboveTimeout,
                Warning,
                route(FieldRef::LatencyObjective),
                Some(route(FieldRef::Timeout)),
            )],
            message: "the latency objective 5001ms is above the timeout 5000ms",
        },
        ReviewCase {
            name: "objectives of the timeout",
            change: |it| {
                it.routes[0].latency_objective_ms = DurationMs(5_000);
                it.routes[0].pause_objective_ms = Some(DurationMs(5_000));
            },
            expected: vec![],
            message: "",
        },
        ReviewCase {
            name: "pause objective above the timeout",
            change: |it| it.routes[0].pause_objective_ms = Some(DurationMs(6_000)),
            expected: vec![(
                Code::PauseAboveTimeout,
                Warning,
                route(FieldRef::PauseObjective),
                Some(route(FieldRef::Timeout)),
            )],
            message: "the pause objective 6000ms is above the timeout 5000ms",
        },
        ReviewCase {
            name: "no attempt",
            change: |it| it.routes[0].attempts_max = 0,
            expected: vec![(
                Code::ZeroAttempts,
                Error,
                route(FieldRef::AttemptsMax),
                None,
            )],
            message: "no attempt is allowed; gateways make one all the same",
        },
        ReviewCase {
            name: "cold rate without a cold start",
            change: |it| it.services[0].has_cold_start = false,
            expected: vec![(
                Code::ColdRateWithoutColdStart,
                Warning,
                service(FieldRef::ColdRate),
                None,
            )],
            message: "the rate for cold endpoints, 13 a second, has no effect: the service has no cold start",
        },
        ReviewCase {
            name: "cold start without a cold rate",
            change: |it| it.services[0].cold_rate = None,
            expected: vec![(
                Code::ColdStartWithoutColdRate,
                Warning,
                service(FieldRef::ColdStart),
                None,
            )],
            message: "the service has a cold start but no rate for cold endpoints, so that they get requests without a limit",
        },
        ReviewCase {
            name: "neither",
            change: |it| {
                it.services[0].has_cold_start = false;
                it.services[0].cold_rate = None;
            },
            expected: vec![],
            message: "",
        },
        ReviewCase {
            name: "cold rate of zero",
            change: |it| it.services[0].cold_rate = Some(RatePerS(0.0)),
            expected: vec![(Code::ZeroColdRate, Error, service(FieldRef::ColdRate), None)],
            message: "the rate for cold endpoints is 0 a second; it must be above 0",
        },
        ReviewCase {
            name: "more slots than connections",
            change: |it| it.services[0].connections_max = 63,
            expected: vec![(
                Code::SlotsAboveConnections,
                Warning,
                service(FieldRef::EngineSlots),
                None,
            )],
            message: "an engine has 64 slots but at most 63 connections",
        },
        ReviewCase {
            name: "as many slots as connections",
            change: |it| it.services[0].connections_max = 64,
            expected: vec![],
            message: "",
        },
        ReviewCase {
            name: "connections that aren't stated",
            change: |it| it.services[0].connections_max = 0,
            expected: vec![],
            message: "",
        },
        ReviewCase {
            name: "header timeout above the idle timeout",
            change: |it| it.limits.as_mut().unwrap().header_timeout_ms = DurationMs(30_001),
            expected: vec![(
                Code::HeaderTimeoutAboveIdle,
                Warning,
                limits(FieldRef::HeaderTimeout),
                Some(limits(FieldRef::IdleTimeout)),
            )],
            message: "the header timeout 30001ms is above the idle timeout 30000ms",
        },
        ReviewCase {
            name: "an idle timeout of zero, which says it all",
            change: |it| it.limits.as_mut().unwrap().idle_timeout_ms = DurationMs(0),
            expected: vec![(Code::ZeroLimit, Error, limits(FieldRef::IdleTimeout), None)],
            message: "the idle timeout is 0",
        },
        ReviewCase {
            name: "a header block of no bytes within no time",
            change: |it| {
                let limits = it.limits.as_mut().unwrap();
                limits.header_size_max_bytes = SizeBytes(0);
                limits.header_timeout_ms = DurationMs(0);
            },
            expected: [FieldRef::HeaderSizeMax, FieldRef::HeaderTimeout]
                .map(|field| (Code::ZeroLimit, Error, limits(field), None))
                .to_vec(),
            message: "the maximum size of a header block is 0; gateways use a larger one",
        },
        ReviewCase {
            name: "no bodies",
            change: |it| it.limits.as_mut().unwrap().body_size_max_bytes = SizeBytes(0),
            expected: vec![],
            message: "",
        },
        ReviewCase {
            name: "limits that can't be read",
            change: |it| it.limits = None,
            expected: vec![],
            message: "",
        },
    ];
    check_reviews(&cases);
}

fn check_reviews(cases: &[ReviewCase]) {
    for case in cases {
        let mut configuration = sound();
        (case.change)(&mut configuration);
        let findings = review(&configuration, Some(&zones()));
        assert_eq!(summarize(&findings), case.expected, "{}", case.name);
        let message = findings.first().map_or("", |it| &it.message);
        assert_eq!(message, case.message, "{}", case.name);
    }
}

/// Without the zones, a region that no zone has can't be told from one that has some.
#[test]
fn regions_are_not_checked_without_zones() {
    let mut configuration = sound();
    configuration.routes[0].allowed_regions = smallvec![region("tok")];
    assert_eq!(review(&configuration, None), []);
    assert_eq!(review(&configuration, Some(&[])).len(), 1);
}

struct DifferenceCase {
    name: &'static str,
    /// Changes the active version, of which the new one is otherwise a copy.
    active: fn(&mut Configuration),
    new: fn(&mut Configuration),
    expected: Vec<(FindingCode, Place, &'static str)>,
}

/// Guards against a difference that is missed, is reported at another place, or shows a key.
#[test]
fn differences_are_found() {
    use FindingCode as Code;
    let unchanged: fn(&mut Configuration) = |_| {};
    let entry = Place::entry;
    let cases = [
        DifferenceCase {
            name: "none",
            active: unchanged,
            new: unchanged,
            expected: vec![],
        },
        DifferenceCase {
            name: "a route added",
            active: unchanged,
            new: |it| it.routes.push(route("new.example", "/")),
            expected: vec![(
                Code::RouteAdded,
                entry(EntryRef::Route(2)),
                "the route `r-1` of `new.example/` is added",
            )],
        },
        DifferenceCase {
            name: "a route removed, others moved",
            active: unchanged,
            new: |it| drop(it.routes.remove(0)),
            expected: vec![(
                Code::RouteRemoved,
                entry(EntryRef::Route(0)).in_active(),
                "the route `r-1` of `desk.example/` is removed",
            )],
        },
        DifferenceCase {
            name: "all of a route changed",
            active: unchanged,
            new: |it| {
                it.routes[1] = Route {
                    name: Arc::from("r-2"),
                    kind: RouteKind::Idempotent,
                    timeout_ms: DurationMs(1_000),
                    latency_objective_ms: DurationMs(200),
                    pause_objective_ms: None,
                    priority: 0,
                    attempts_max: 3,
                    allowed_regions: smallvec![region("hkd"), region("oki")],
                    is_anonymous: true,
                    has_prompt: false,
                    services: smallvec![weighted("llm", 9), weighted("desk", 1)],
                    ..route("desk.example", "/file/")
                };
            },
            expected: vec![(
                Code::RouteChanged,
                entry(EntryRef::Route(1)),
                "the route `r-2` of `desk.example/file/` is changed: name r-1 -> r-2, kind stream -> idempotent, \
                 timeout 5000ms -> 1000ms, latency objective 600ms -> 200ms, pause objective 300ms -> none, \
                 priority 1 -> 0, attempts 2 -> 3, regions none -> hkd+oki, anonymous false -> true, \
                 prompts true -> false, services llm (1) -> llm (9)+desk (1)",
            )],
        },
        DifferenceCase {
            name: "a repeated route counts once, by its last entry",
            active: |it| it.routes.insert(0, route("desk.example", "/")),
            new: |it| {
                it.routes[0].priority = 9;
                it.routes.push(route("desk.example", "/"));
            },
            expected: vec![],
        },
        DifferenceCase {
            name: "a route that can't be read any more is not removed",
            active: unchanged,
            new: |it| {
                it.routes.remove(0);
                it.unusable
                    .routes
                    .push(RoutePattern::new("desk.example", "/"));
            },
            expected: vec![],
        },
        DifferenceCase {
            name: "a route that could not be read is not added",
            active: |it| {
                it.routes.remove(0);
                it.unusable
                    .routes
                    .push(RoutePattern::new("desk.example", "/"));
                it.defects.push(EntryDefect {
                    kind: EntryKind::Route,
                    name: "r-1".to_owned(),
                    reason: "missing".to_owned(),
                });
            },
            new: unchanged,
            expected: vec![(
                Code::ActiveEntryUnreadable,
                entry(EntryRef::Defect(0)).in_active(),
                "not compared: missing",
            )],
        },
        DifferenceCase {
            name: "a service instead of another",
            active: unchanged,
            new: |it| it.services[0] = service("lm"),
            expected: vec![
                (
                    Code::ServiceAdded,
                    entry(EntryRef::Service(0)),
                    "the service `lm` is added",
                ),
                (
                    Code::ServiceRemoved,
                    entry(EntryRef::Service(0)).in_active(),
                    "the service `llm` is removed",
                ),
            ],
        },
        DifferenceCase {
            name: "all of a service changed",
            active: unchanged,
            new: |it| {
                it.services[0] = Service {
                    name: "llm".parse().unwrap(),
                    health_path: Arc::from("/"),
                    connections_max: 10,
                    has_cold_start: false,
                    cold_rate: None,
                    engine: None,
                };
            },
            expected: vec![(
                Code::ServiceChanged,
                entry(EntryRef::Service(0)),
                "the service `llm` is changed: health path /healthz -> /, connections 360 -> 10, \
                 cold start true -> false, cold rate 13 -> none, \
                 engine 64 slots, 342415 tokens of 160KiB -> none",
            )],
        },
        DifferenceCase {
            name: "a customer with its key added",
            active: unchanged,
            new: |it| it.customers.push(customer("minami", &[SPARE_KEY])),
            expected: vec![
                (
                    Code::CustomerAdded,
                    entry(EntryRef::Customer(1)),
                    "the customer `minami` is added",
                ),
                (
                    Code::KeyAdded,
                    Place::field(EntryRef::Customer(1), FieldRef::Key(0)),
                    "the key spar… of `minami` is added",
                ),
            ],
        },
        DifferenceCase {
            name: "a key instead of another",
            active: unchanged,
            new: |it| it.customers[0].keys = vec![SPARE_KEY.to_owned()],
            expected: vec![
                (
                    Code::KeyAdded,
                    Place::field(EntryRef::Customer(0), FieldRef::Key(0)),
                    "the key spar… of `otaru` is added",
                ),
                (
                    Code::KeyRemoved,
                    Place::field(EntryRef::Customer(0), FieldRef::Key(0)).in_active(),
                    "the key key-… of `otaru` is removed",
                ),
            ],
        },
        DifferenceCase {
            name: "a key of another customer than before",
            active: |it| it.customers.push(customer("minami", &[SPARE_KEY])),
            new: |it| {
                it.customers.push(customer("minami", &[]));
                it.customers[0].keys.push(SPARE_KEY.to_owned());
            },
            expected: vec![(
                Code::KeyMoved,
                Place::field(EntryRef::Customer(0), FieldRef::Key(1)),
                "the key spar… moves from `minami` to `otaru`",
            )],
        },
        DifferenceCase {
            name: "a customer that can't be read any more is not removed",
            active: unchanged,
            new: |it| {
                it.customers.clear();
                it.unusable.customers = 1;
                it.unusable.keys.push(KEY.to_owned());
                it.defects.push(EntryDefect {
                    kind: EntryKind::Customer,
                    name: "otaru".to_owned(),
                    reason: "missing".to_owned(),
                });
            },
            expected: vec![],
        },
        DifferenceCase {
            name: "a key of a customer whose name can't be read any more is not removed",
            active: unchanged,
            new: |it| {
                it.customers.clear();
                it.unusable.customers = 1;
                it.unusable.keys.push(KEY.to_owned());
            },
            expected: vec![(
                Code::CustomerRemoved,
                entry(EntryRef::Customer(0)).in_active(),
                "the customer `otaru` is removed",
            )],
        },
        DifferenceCase {
            name: "all of a customer changed",
            active: unchanged,
            new: |it| {
                it.customers[0].priority = Some(0);
                it.customers[0].allowed_regions = smallvec![region("hkd")];
            },
            expected: vec![(
                Code::CustomerChanged,
                entry(EntryRef::Customer(0)),
                "the customer `otaru` is changed: priority none -> 0, regions none -> hkd",
            )],
        },
        DifferenceCase {
            name: "all limits changed",
            active: unchanged,
            new: |it| {
                it.limits = Some(RequestLimits {
                    header_size_max_bytes: SizeBytes(8 << 10),
                    body_size_max_bytes: SizeBytes(1_000),
                    header_timeout_ms: DurationMs(1_000),
                    idle_timeout_ms: DurationMs(2_000),
                });
            },
            expected: vec![
                (
                    Code::LimitChanged,
                    Place::field(EntryRef::Limits, FieldRef::HeaderSizeMax),
                    "a limit is changed: header size 16KiB -> 8KiB",
                ),
                (
                    Code::LimitChanged,
                    Place::field(EntryRef::Limits, FieldRef::BodySizeMax),
                    "a limit is changed: body size 4MiB -> 1000",
                ),
                (
                    Code::LimitChanged,
                    Place::field(EntryRef::Limits, FieldRef::HeaderTimeout),
                    "a limit is changed: header timeout 5000ms -> 1000ms",
                ),
                (
                    Code::LimitChanged,
                    Place::field(EntryRef::Limits, FieldRef::IdleTimeout),
                    "a limit is changed: idle timeout 30000ms -> 2000ms",
                ),
            ],
        },
    ];
    for case in &cases {
        let (mut active, mut new) = (sound(), sound());
        new.version += 1;
        (case.active)(&mut active);
        (case.new)(&mut new);
        let findings = compare(&active, &new);
        let found: Vec<_> = findings
            .iter()
            .map(|it| (it.code, it.place, &*it.message))
            .collect();
        assert_eq!(found, case.expected, "{}", case.name);
        assert!(findings.iter().all(|it| it.severity == Severity::Note));
    }
}

#[test]
fn version_must_be_higher_than_the_active_one() {
    struct Case {
        active: u64,
        new: u64,
        is_error: bool,
    }
    let cases = [
        (7, 8, false),
        (7, 7, true),
        (7, 6, true),
        (0, u64::MAX, false),
    ];
    let cases = cases.map(|(active, new, is_error)| Case {
        active,
        new,
        is_error,
    });
    for case in cases {
        let version = |version| Configuration { version, ..sound() };
        let findings = compare(&version(case.active), &version(case.new));
        let place = Place::entry(EntryRef::Version);
        let expected = case.is_error.then_some((
            FindingCode::VersionNotHigher,
            Severity::Error,
            place,
            Some(place.in_active()),
        ));
        let expected: Vec<Summary> = expected.into_iter().collect();
        assert_eq!(
            summarize(&findings),
            expected,
            "{} {}",
            case.active,
            case.new
        );
    }
}

/// Guards against a masked key from which a short key can be guessed.
#[test]
fn masked_key_shows_at_most_a_quarter_of_the_key() {
    let cases = [
        ("", "…"),
        ("abc", "…"),
        ("abcd", "a…"),
        ("abcdefgh", "ab…"),
        ("abcdefghabcdefgh", "abcd…"),
        ("abcdefghabcdefghabcdefgh", "abcd…"),
        ("小樽小樽", "小…"),
    ];
    for (key, expected) in cases {
        assert_eq!(MaskedKey::new(key).to_string(), expected);
        assert_eq!(format!("{:?}", MaskedKey::new(key)), expected);
    }
}

/// Scripts rely on the codes, so that none may be used twice.
#[test]
fn codes_are_distinct_and_in_kebab_case() {
    let codes: Vec<String> = FindingCode::iter().map(|it| it.to_string()).collect();
    let distinct: HashSet<&String> = codes.iter().collect();
    assert_eq!(distinct.len(), codes.len());
    let is_kebab = |code: &String| code.bytes().all(|b| b.is_ascii_lowercase() || b == b'-');
    assert!(codes.iter().all(is_kebab), "{codes:?}");
}

fn any_configuration() -> impl Strategy<Value = Configuration> {
    let text = "[/a\\n:é]{0,4}";
    let routes = (text, text, 0_u64..3, 0_u64..3, 0_u32..2, 0_u32..2);
    let services = (0_u8..3, any::<bool>(), proptest::option::of(any::<f64>()));
    let customers = (0_u8..3, proptest::collection::vec(text, 0..3));
    (
        any::<u64>(),
        proptest::collection::vec(routes, 0..5),
        proptest::collection::vec(services, 0..4),
        proptest::collection::vec(customers, 0..4),
        proptest::option::of((0_u64..3, 0_u64..3)),
    )
        .prop_map(
            |(version, routes, services, customers, limits)| Configuration {
                version,
                routes: routes
                    .into_iter()
                    .map(
                        |(host, prefix, timeout, objective, attempts, weight)| Route {
                            timeout_ms: DurationMs(timeout),
                            latency_objective_ms: DurationMs(objective),
                            attempts_max: attempts,
                            services: smallvec![weighted("s-0", weight), weighted("s-1", weight)],
                            ..route(&host, &prefix)
                        },
                    )
                    .collect(),
                services: services
                    .into_iter()
                    .map(|(name, has_cold_start, rate)| Service {
                        has_cold_start,
                        cold_rate: rate.map(RatePerS),
                        ..service(&format!("s-{name}"))
                    })
                    .collect(),
                customers: customers
                    .into_iter()
                    .map(|(name, keys)| Customer {
                        keys,
                        ..customer(&format!("c-{name}"), &[])
                    })
                    .collect(),
                limits: limits.map(|(header, idle)| RequestLimits {
                    header_timeout_ms: DurationMs(header),
                    idle_timeout_ms: DurationMs(idle),
                    ..RequestLimits::default()
                }),
                ..Configuration::default()
            },
        )
}

proptest! {
    #[test]
    fn findings_are_of_existing_entries_in_one_line(
        active in any_configuration(),
        new in any_configuration(),
    ) {
        let mut findings = review(&new, Some(&zones()));
        findings.extend(compare(&active, &new));
        let places = findings.iter().flat_map(|it| [Some(it.place), it.other_place]);
        for place in places.flatten() {
            let configuration = match place.document {
                Document::New => &new,
                Document::Active => &active,
            };
            let exists = match place.entry {
                EntryRef::Version => true,
                EntryRef::Route(index) => index < configuration.routes.len(),
                EntryRef::Service(index) => index < configuration.services.len(),
                EntryRef::Customer(index) => index < configuration.customers.len(),
                EntryRef::Limits => configuration.limits.is_some(),
                EntryRef::Defect(_) => false,
            };
            prop_assert!(exists, "{place:?}");
        }
        prop_assert!(findings.iter().all(|it| !it.message.contains(char::is_control)));
    }

    /// The differences lead from each version to the other: what one direction adds, the other removes.
    #[test]
    fn differences_are_symmetric(a in any_configuration(), b in any_configuration()) {
        let count = |findings: &[Finding], code| findings.iter().filter(|it| it.code == code).count();
        let (forth, back) = (compare(&a, &b), compare(&b, &a));
        let pairs = [
            (FindingCode::RouteAdded, FindingCode::RouteRemoved),
            (FindingCode::ServiceAdded, FindingCode::ServiceRemoved),
            (FindingCode::CustomerAdded, FindingCode::CustomerRemoved),
            (FindingCode::KeyAdded, FindingCode::KeyRemoved),
            (FindingCode::RouteChanged, FindingCode::RouteChanged),
            (FindingCode::KeyMoved, FindingCode::KeyMoved),
        ];
        for (added, removed) in pairs {
            prop_assert_eq!(count(&forth, added), count(&back, removed));
        }
    }
}
