//! Tests of route and customer lookup and of configuration versions.

#![allow(
    clippy::unwrap_used,
    reason = "tests may unwrap, in their helper functions too"
)]

use std::sync::Arc;

use celeryknot_core::{DurationMs, ErrorKind};
use celeryknot_policy::routing::{
    ActiveConfiguration, Configuration, Customer, Route, RouteKind, RoutingTable, WeightedService,
};
use proptest::prelude::*;
use smallvec::smallvec;

fn route(name: &str, host: &str, path_prefix: &str) -> Route {
    Route {
        name: Arc::from(name),
        host: Arc::from(host),
        path_prefix: Arc::from(path_prefix),
        kind: RouteKind::Idempotent,
        timeout_ms: DurationMs(1_000),
        latency_objective_ms: DurationMs(300),
        pause_objective_ms: None,
        priority: 1,
        attempts_max: 2,
        allowed_regions: smallvec![],
        is_anonymous: false,
        has_prompt: false,
        services: smallvec![
            WeightedService {
                service: "one".parse().unwrap(),
                weight: 90,
            },
            WeightedService {
                service: "two".parse().unwrap(),
                weight: 10,
            },
        ],
    }
}

fn configuration(version: u64) -> Configuration {
    Configuration {
        version,
        routes: vec![
            route("root", "desk.example", "/"),
            route("file", "desk.example", "/file/"),
            route("deep", "desk.example", "/file/deep/"),
            route("other", "other.example", "/file/"),
        ],
        customers: vec![Customer {
            name: "otaru".parse().unwrap(),
            keys: vec!["secret".to_owned()],
            priority: None,
            allowed_regions: smallvec![],
        }],
        ..Configuration::default()
    }
}

#[test]
fn find_route_picks_the_longest_matching_prefix() {
    let cases = [
        ("desk.example", "/file/deep/1", Ok("deep")),
        ("desk.example", "/file/deep", Ok("file")),
        ("desk.example", "/file/", Ok("file")),
        ("desk.example", "/file", Ok("root")),
        ("desk.example", "/files/1", Ok("root")),
        ("DESK.example:8080", "/file/1", Ok("file")),
        ("other.example", "/file/deep/1", Ok("other")),
        ("other.example", "/", Err(ErrorKind::UnknownRoute)),
        ("none.example", "/file/1", Err(ErrorKind::UnknownRoute)),
        ("", "", Err(ErrorKind::UnknownRoute)),
    ];
    let table = RoutingTable::new(configuration(1));
    for (host, path, expected) in cases {
        let found = table.find_route(host, path).map(|route| &*route.name);
        assert_eq!(found, expected, "{host} {path}");
    }
}

#[test]
fn find_customer_checks_the_key_unless_the_route_is_anonymous() {
    let table = RoutingTable::new(configuration(1));
    let route = table.find_route("desk.example", "/file/1").unwrap();
    let mut anonymous = Route::clone(route);
    anonymous.is_anonymous = true;
    let cases = [
        (
            "known key",
            route.as_ref(),
            Some("secret"),
            Ok(Some("otaru")),
        ),
        (
            "unknown key",
            route,
            Some("Secret"),
            Err(ErrorKind::UnknownKey),
        ),
        ("no key", route, None, Err(ErrorKind::UnknownKey)),
        ("anonymous without a key", &anonymous, None, Ok(None)),
        (
            "anonymous with a key",
            &anonymous,
            Some("secret"),
            Ok(Some("otaru")),
        ),
        (
            "anonymous with a forged key",
            &anonymous,
            Some("x"),
            Ok(None),
        ),
    ];
    for (name, route, key, expected) in cases {
        let found = table
            .find_customer(route, key)
            .map(|customer| customer.map(|customer| customer.name.as_str()));
        assert_eq!(found, expected, "{name}");
    }
}

#[test]
fn pick_service_follows_the_weights() {
    let table = RoutingTable::new(configuration(1));
    let route = table.find_route("desk.example", "/file/1").unwrap();
    let first_service_count = (0..1_000)
        .filter(|draw| route.pick_service(*draw).unwrap().as_str() == "one")
        .count();
    assert_eq!(first_service_count, 900);
    let mut none = Route::clone(route);
    none.services.iter_mut().for_each(|it| it.weight = 0);
    assert_eq!(none.pick_service(5), Err(ErrorKind::NoEndpoint));
}

proptest! {
    #[test]
    fn highest_offered_version_is_active(versions in prop::collection::vec(0_u64..20, 1..40)) {
        let mut active = ActiveConfiguration::default();
        let mut highest = None;
        for version in versions {
            let is_newer = Some(version) > highest;
            prop_assert_eq!(active.offer(configuration(version)), is_newer);
            highest = highest.max(Some(version));
            prop_assert_eq!(active.version(), highest);
        }
    }
}
