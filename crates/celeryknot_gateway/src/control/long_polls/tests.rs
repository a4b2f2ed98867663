//! Round trips of endpoint updates between daemons.

use super::*;

/// Guards against a peer's fault, or an earlier version of it, costing the load beside the pace.
#[test]
fn loads_keep_a_usable_pace_on_the_way_to_a_peer() {
    struct Case {
        name: &'static str,
        sent: Option<u32>,
        received: Option<u32>,
    }
    let case = |name, sent, received| Case {
        name,
        sent,
        received,
    };
    let cases = [
        case("absent", None, None),
        case("usual", Some(100), Some(100)),
        case("slow", Some(450), Some(450)),
        case("longest", Some(10_000), Some(10_000)),
        case("too short", Some(9), None),
        case("zero", Some(0), None),
        case("too long", Some(10_001), None),
        case("far too long", Some(u32::MAX), None),
    ];
    for case in cases {
        let message = UpdatesRequest {
            loads: vec![RelayLoad {
                endpoint: 7,
                held: 12,
                age_ms: 40,
                is_unreachable: false,
                is_leaving: false,
                pace_percent: case.sent,
            }],
            ..UpdatesRequest::default()
        };
        let now = MonotonicMs(1_000);
        let decoded: Vec<EndpointUpdate> = decode_updates(now, (&message).into()).collect();
        let expected = EndpointUpdate {
            endpoint: EndpointTag(7),
            observation: Observation::Load {
                held: 12,
                pace: case.received.and_then(EndpointPace::from_percent),
            },
            at: MonotonicMs(960),
        };
        assert_eq!(decoded, [expected], "{}", case.name);
        let encoded = encode_updates(now, decoded).loads;
        assert_eq!(encoded[0].pace_percent, case.received, "{}", case.name);
    }
}
