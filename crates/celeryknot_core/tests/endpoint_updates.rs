//! Which updates a table of endpoint updates stores and hands on.

use celeryknot_core::endpoint_updates::{EndpointUpdate, EndpointUpdateTable, Observation};
use celeryknot_core::{EndpointPace, EndpointTag, MonotonicMs, PromptTag};

struct EchoCase {
    name: &'static str,
    observation: Observation,
}

/// Six daemons relay new updates to each other every 100 ms with 1 ms latency: each of them accepts
/// an update once.
#[test]
fn updates_do_not_circulate() {
    let cases = [
        EchoCase {
            name: "load",
            observation: Observation::Load {
                held: 3,
                pace: EndpointPace::from_percent(250),
            },
        },
        EchoCase {
            name: "failure",
            observation: Observation::Unreachable,
        },
        EchoCase {
            name: "holder",
            observation: Observation::HoldsPrompt {
                prompt: PromptTag(7),
            },
        },
        EchoCase {
            name: "crash",
            observation: Observation::CrashedOn {
                suspect: PromptTag(7).into(),
            },
        },
        EchoCase {
            name: "answer",
            observation: Observation::Answered {
                suspect: PromptTag(7).into(),
            },
        },
    ];
    const DAEMONS: usize = 6;
    for case in cases {
        let mut tables: Vec<EndpointUpdateTable> = vec![EndpointUpdateTable::default(); DAEMONS];
        tables[0].observe(EndpointUpdate {
            endpoint: EndpointTag(1),
            observation: case.observation,
            at: MonotonicMs(1_000),
        });
        let mut sent_versions = [[0; DAEMONS]; DAEMONS];
        let mut accepted = 0;
        for now_ms in (1_000..20_000).step_by(100) {
            for from in 0..DAEMONS {
                for to in (0..DAEMONS).filter(|to| *to != from) {
                    let updates = tables[from].after(MonotonicMs(now_ms), sent_versions[from][to]);
                    sent_versions[from][to] = tables[from].version();
                    for mut update in updates {
                        // The reported age does not include the latency of 1 ms.
                        update.at = MonotonicMs(update.at.0 + 1);
                        accepted += usize::from(tables[to].observe(update));
                    }
                }
            }
        }
        assert_eq!(accepted, DAEMONS - 1, "{}", case.name);
    }
}

/// Load: 3,000 endpoints that each report their load ten times a second, and 60 endpoints.
#[test]
fn endpoints_are_reported_less_often_when_there_are_more_of_them() {
    for (endpoints, reported_max_per_s) in [(60, 600), (3_000, 3_000)] {
        let mut table = EndpointUpdateTable::default();
        let mut reported = 0;
        for now_ms in (0..10_000).step_by(100) {
            let at = MonotonicMs(now_ms);
            let version = table.version();
            for endpoint in 0..endpoints {
                table.observe(EndpointUpdate {
                    endpoint: EndpointTag(endpoint),
                    observation: Observation::Load {
                        held: 1,
                        pace: None,
                    },
                    at,
                });
            }
            reported += table.after(at, version).len();
            table.advance(at);
        }
        // In the first second, each endpoint is reported once more.
        assert!(
            reported <= 11 * reported_max_per_s,
            "{endpoints}: {reported}"
        );
        assert!(
            reported >= endpoints as usize * 9,
            "{endpoints}: {reported}"
        );
    }
}

#[test]
fn flood_of_made_up_parts_neither_fills_the_table_nor_a_message() {
    let mut table = EndpointUpdateTable::default();
    for part in 0..20_000 {
        table.observe(EndpointUpdate {
            endpoint: EndpointTag(1),
            observation: Observation::CrashedOn {
                suspect: PromptTag(part).into(),
            },
            at: MonotonicMs(u64::from(part)),
        });
    }
    assert!(table.len() <= 1_024, "{} updates", table.len());
    let message = table.after(MonotonicMs(20_000), 0);
    assert!(message.len() <= 64, "{} updates", message.len());
    // The latest ones are kept.
    assert_eq!(message[0].at, MonotonicMs(19_999));
}
