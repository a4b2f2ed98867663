//! Tests of the platform stand-in over HTTP.

mod common;

use celeryknot_core::DurationMs;
use celeryknot_platform::{
    EndpointInstance, Fencing, Instance, InstanceList, InstanceState, ValueList,
};
use celeryknot_standins::client::{call, fetch_json};
use celeryknot_standins::wire::PlatformMode;
use celeryknot_standins::{LOOPBACK, Platform, PlatformOptions};
use http::{Method, StatusCode};

use common::{TIMEOUT, wait_until};

fn start(options: PlatformOptions) -> Platform {
    Platform::start(options, LOOPBACK).expect("a port is free")
}

async fn values(platform: &Platform, replica: usize, query: &str) -> ValueList {
    let address = platform.addresses()[replica];
    fetch_json(address, &format!("/v1/values{query}"), TIMEOUT)
        .await
        .expect("the platform responds")
}

#[test]
fn values_carry_the_revision_of_their_last_change() {
    smol::block_on(async {
        let platform = start(PlatformOptions::default());
        platform.put_value("a", "1");
        platform.put_value("b", "1");
        platform.put_value("a", "2");
        platform.remove_value("b");
        let all = values(&platform, 0, "").await;
        assert_eq!(all.revision.0, 4);
        let found: Vec<_> = all
            .values
            .iter()
            .map(|value| (value.path.as_str(), value.revision.0, value.text.as_deref()))
            .collect();
        assert_eq!(found, [("a", 3, Some("2")), ("b", 4, None)]);
        assert_eq!(values(&platform, 0, "?after=3").await.values.len(), 1);
    });
}

#[test]
fn watch_returns_on_a_change_and_counts_as_one_call() {
    smol::block_on(async {
        let platform = start(PlatformOptions::default());
        platform.put_value("a", "1");
        let address = platform.address();
        let watch = smol::spawn(async move {
            let path = "/v1/values?after=1&wait_ms=20000";
            fetch_json::<ValueList>(address, path, TIMEOUT)
                .await
                .unwrap()
        });
        wait_until(|| platform.calls().waiting == 1).await;
        platform.put_value("a", "2");
        assert_eq!(watch.await.revision.0, 2);
        let calls = platform.calls();
        assert_eq!((calls.calls, calls.waiting), (1, 0));
    });
}

#[test]
fn stale_replica_ignores_updates_until_it_recovers() {
    smol::block_on(async {
        let platform = start(PlatformOptions::default().replicas(2));
        platform.put_value("a", "1");
        let stale = |is_stale| PlatformMode {
            stale: Some(is_stale),
            ..PlatformMode::default()
        };
        platform.set_mode(1, stale(true));
        platform.put_value("a", "2");
        let revisions = [
            values(&platform, 0, "").await.revision.0,
            values(&platform, 1, "").await.revision.0,
        ];
        assert_eq!(revisions, [2, 1]);
        platform.set_mode(1, stale(false));
        assert_eq!(values(&platform, 1, "").await.revision.0, 2);
    });
}

#[test]
fn platform_that_is_down_aborts_calls() {
    smol::block_on(async {
        let platform = start(PlatformOptions::default());
        platform.set_mode(
            0,
            PlatformMode {
                down: Some(true),
                ..PlatformMode::default()
            },
        );
        let answer = call(platform.address(), Method::GET, "/v1/values", "", TIMEOUT).await;
        assert!(answer.is_err(), "{answer:?}");
    });
}

#[test]
fn calls_above_the_rate_limit_are_refused() {
    smol::block_on(async {
        let platform = start(PlatformOptions::default().calls_per_s(8.0));
        let mut refused = 0;
        for _ in 0..50 {
            let (status, _) = call(platform.address(), Method::GET, "/v1/values", "", TIMEOUT)
                .await
                .unwrap();
            refused += u64::from(status == StatusCode::TOO_MANY_REQUESTS);
        }
        assert!(refused > 0);
        let calls = platform.calls();
        assert_eq!((calls.calls, calls.refused), (50, refused));
    });
}

#[test]
fn new_instance_list_becomes_visible_after_the_lag() {
    smol::block_on(async {
        let lag_ms = DurationMs(300);
        let platform = start(PlatformOptions::default().instance_lag_ms(lag_ms));
        platform.put_instances(vec![Instance::Endpoint(EndpointInstance {
            name: "engine-1".parse().unwrap(),
            service: "wakai-llm".parse().unwrap(),
            zone: "hkd-a".parse().unwrap(),
            address: LOOPBACK,
            state: InstanceState::Live,
            fencing: Fencing::Refuses,
        })]);
        let read = |path: &'static str| {
            let address = platform.address();
            async move {
                fetch_json::<InstanceList>(address, path, TIMEOUT)
                    .await
                    .unwrap()
            }
        };
        assert_eq!(read("/v1/instances").await.revision.0, 0);
        let late = read("/v1/instances?after=0&wait_ms=10000").await;
        assert_eq!((late.revision.0, late.instances.len()), (1, 1));
    });
}
