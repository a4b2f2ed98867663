//! Tests of a whole cluster: the figures of the demo and the check of booking outcomes.

use celeryknot_measure::cluster::{Cluster, ClusterOptions};
use celeryknot_measure::{Deployment, MeasureOptions, demo};
use celeryknot_standins::load::{BookingOutcome, OutcomeKind};
use celeryknot_standins::wire::BookingRequest;

#[test]
fn demo_loses_no_request_and_runs_no_booking_twice() {
    let options = MeasureOptions {
        seconds: 4,
        load: 0.5,
        ..MeasureOptions::default()
    };
    let demo = demo::run(&options).expect("the demo runs");
    assert!(demo.figures.requests > 0);
    assert!(demo.figures.has_no_failures(), "{}", demo.json());
    assert!(demo.text().contains("hkd-a out"), "{}", demo.text());
}

#[test]
fn booking_confirmed_but_not_run_is_misreported() {
    smol::block_on(async {
        let mut options = ClusterOptions::new(Deployment::Quayline, 1);
        options.daemons = 0;
        let cluster = Cluster::start(options).await.expect("the cluster starts");
        let outcome = |end| BookingOutcome {
            request: BookingRequest {
                slot: "berth-1".to_owned(),
                party: "gang-desk".to_owned(),
            },
            end,
            execution: None,
        };
        let outcomes = [
            outcome(OutcomeKind::Completed),
            outcome(OutcomeKind::Refused),
        ];
        assert_eq!(
            cluster.misreported_bookings(&outcomes),
            1,
            "a confirmed booking that no endpoint ran"
        );
        cluster.stop().await;
    });
}
