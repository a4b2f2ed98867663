//! Tests of what samples of the engines' load say.

use celeryknot_measure::cluster::EngineLoad;
use celeryknot_measure::sampler::{LoadSample, Skew};

const MULTIPLE: f64 = 1.25;

fn sample(in_flight: &[u32], outside: &[u32]) -> LoadSample {
    let load = |in_flight: &u32, is_full_member| EngineLoad {
        in_flight: *in_flight,
        is_full_member,
    };
    LoadSample {
        at_ms: 0,
        engines: in_flight
            .iter()
            .map(|count| load(count, true))
            .chain(outside.iter().map(|count| load(count, false)))
            .collect(),
    }
}

#[test]
fn skew_is_judged_over_full_members() {
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
            name: "one request above the multiple is allowed",
            samples: vec![sample(&[6, 2], &[])],
            max_over_mean: 1.5,
            share_above: 0.0,
        },
        Case {
            name: "two are not",
            samples: vec![sample(&[7, 1], &[]), sample(&[4, 4], &[])],
            max_over_mean: 1.75,
            share_above: 0.5,
        },
        Case {
            name: "cold and leaving engines don't count",
            samples: vec![sample(&[4, 4], &[0, 40])],
            max_over_mean: 1.0,
            share_above: 0.0,
        },
        Case {
            name: "nearly idle samples are no measure of the ratio",
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
