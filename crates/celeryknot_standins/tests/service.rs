//! Tests of the plain-service stand-in over HTTP.

mod common;

use celeryknot_standins::caller::CallTarget;
use celeryknot_standins::client::fetch_json;
use celeryknot_standins::wire::{BookingRequest, EndpointMode, Load};
use celeryknot_standins::{Caller, LOOPBACK, Outcome, Service, ServiceOptions};

use common::{TIMEOUT, completed};

fn target(service: &Service) -> CallTarget {
    CallTarget {
        address: service.address(),
        prefix: String::new(),
        customer: "otaru".to_owned(),
    }
}

#[test]
fn every_execution_of_a_booking_is_recorded() {
    smol::block_on(async {
        let service = Service::start(ServiceOptions::default(), LOOPBACK).unwrap();
        let caller = Caller::default();
        let request = BookingRequest {
            slot: "monday-9".to_owned(),
            party: "north".to_owned(),
        };
        for number in 1..=2 {
            let booked = caller.book_once(&target(&service), None, &request).await;
            assert_eq!(completed(booked).booking, number);
        }
        let counters = service.counters();
        assert_eq!(counters.bookings.len(), 2);
        assert_eq!(counters.bookings[0].customer, "otaru");
        completed(caller.read_record(&target(&service), "case-7").await);
    });
}

#[test]
fn failing_service_refuses_calls_and_cold_service_reports_its_bound() {
    smol::block_on(async {
        let service = Service::start(ServiceOptions::default(), LOOPBACK).unwrap();
        service.set_mode(EndpointMode {
            fail_percent: Some(100),
            cold: Some(true),
            ..EndpointMode::default()
        });
        let read = Caller::default().read_record(&target(&service), "a").await;
        assert!(matches!(read, Outcome::Refused(_)), "{read:?}");
        let load: Load = fetch_json(service.address(), "/v1/load", TIMEOUT)
            .await
            .unwrap();
        assert_eq!((load.cold, load.bound), (true, 2));
    });
}
