//! Tests of the skew computed from load samples.

use celeryknot_measure::cluster::EngineLoad;
use celeryknot_measure::sampler::{LoadSample, Skew};

const MULTIPLE: f64 = 1.25;

fn sample(in_flight: &[u32], excluded: &[u32]) -> LoadSample {
    let load = |in_flight: &u32, is_fully_available| EngineLoad {
        in_flight: *in_flight,
        is_fully_available,
    };
    LoadSample {
        at_ms: 0,
        engines: in_flight
            .iter()
            .map(|count| load(count, true))
            .chain(excluded.iter().map(|count| load(count, false)))
            .collect(),
    }
}

#[test]
fn skew_covers_only_fully_available_engines() {
    struct Case {
        name: &'static str,
        samples: Vec<LoadSample>,
        max_over_mean: f64,
        share_above: f64,
    }
    let cases = [
        Case {
            name: "even",
            samples: vec![sample(&[4, 4], &[])],
            max_over_mean: 1.0,
            share_above: 0.0,
        },
        Case {
            name: "one request above the multiple is within the bound",
            samples: vec![sample(&[6, 2], &[])],
            max_over_mean: 1.5,
            share_above: 0.0,
        },
        Case {
            name: "two requests above the multiple exceed the bound",
            samples: vec![sample(&[7, 1], &[]), sample(&[4, 4], &[])],
            max_over_mean: 1.75,
            share_above: 0.5,
        },
        Case {
            name: "cold and draining engines are ignored",
            samples: vec![sample(&[4, 4], &[0, 40])],
            max_over_mean: 1.0,
            share_above: 0.0,
        },
        Case {
            name: "nearly idle samples are ignored for the ratio",
            samples: vec![sample(&[8, 8], &[]), sample(&[1, 0], &[])],
            max_over_mean: 1.0,
            share_above: 0.0,
        },
    ];
    for case in cases {
        let skew = Skew::new(&case.samples, MULTIPLE);
        assert_eq!(skew.max_over_mean, case.max_over_mean, "{}", case.name);
        assert_eq!(skew.share_above, case.share_above, "{}", case.name);
    }
}
