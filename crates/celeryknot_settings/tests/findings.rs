//! Checks which settings are rejected, with which location and suggestion.

use celeryknot_core::DurationMs;
use celeryknot_settings::{
    CustomerSettings, DaemonSettings, RolloutSettings, ServiceKind, ServiceSettings, ValueText,
    ZoneSettings, check_tree, parse_value,
};
use proptest::prelude::*;

const DAEMON: &str = "\
[daemon]
name = entry-1
zone = hkd-a
[listen]
callers = 127.0.0.1:8080
peers = 127.0.0.1:7001
forwards = 127.0.0.1:7002
operators = 127.0.0.1:9090
[platform]
addresses = 127.0.0.5:8500
[keys]
peers = a-peer-key-of-24-bytes-1
callers = a-caller-key-of-24-bytes
";

struct DaemonCase {
    name: &'static str,
    /// Text of [`DAEMON`] and its replacement.
    replacement: (&'static str, &'static str),
    findings: &'static [&'static str],
}

const DAEMON_CASES: &[DaemonCase] = &[
    DaemonCase {
        name: "unchanged",
        replacement: ("zone = hkd-a", "zone = hkd-a"),
        findings: &[],
    },
    DaemonCase {
        name: "unknown key",
        replacement: ("zone = hkd-a", "zone = hkd-a\ntrafic_threads = 2"),
        findings: &[
            "settings:4: unknown-key: no key `trafic_threads` in [daemon] (did you mean `traffic_threads`?)",
        ],
    },
    DaemonCase {
        name: "key of another section",
        replacement: ("zone = hkd-a", "zone = hkd-a\nconnections_max = 2"),
        findings: &["settings:4: unknown-key: `connections_max` belongs to [limits]"],
    },
    DaemonCase {
        name: "unknown section",
        replacement: ("[keys]", "[limit]\nconnections_max = 2\n[keys]"),
        findings: &[
            "settings:11: unknown-section: no section [limit] here (did you mean `limits`?)",
        ],
    },
    DaemonCase {
        name: "duplicate section",
        replacement: ("[keys]", "[listen]\n[keys]"),
        findings: &["settings:11: duplicate-section: [listen] began on line 4 already"],
    },
    DaemonCase {
        name: "duplicate key",
        replacement: ("zone = hkd-a", "zone = hkd-a\nzone = hkd-b"),
        findings: &["settings:4: duplicate-key: `zone` was given on line 3 already"],
    },
    DaemonCase {
        name: "missing key",
        replacement: ("name = entry-1", ""),
        findings: &["settings:1: missing-key: [daemon] needs `name`"],
    },
    DaemonCase {
        name: "missing section",
        replacement: ("[platform]\naddresses = 127.0.0.5:8500\n", ""),
        findings: &["settings: missing-key: [platform] needs `addresses`"],
    },
    DaemonCase {
        name: "key before a section",
        replacement: ("[daemon]", "level = 3\n[daemon]"),
        findings: &["settings:1: unknown-key: `level` stands before the first [section]"],
    },
    DaemonCase {
        name: "comment with a number sign",
        replacement: ("zone = hkd-a", "zone = hkd-a\n# a note"),
        findings: &["settings:4: syntax: a comment begins with `;`"],
    },
    DaemonCase {
        name: "line without a value",
        replacement: ("zone = hkd-a", "zone = hkd-a\nzone"),
        findings: &[
            "settings:4: syntax: `zone` is neither `[section]`, `name = value` nor a comment",
        ],
    },
    DaemonCase {
        name: "host name instead of an address",
        replacement: ("peers = 127.0.0.1:7001", "peers = localhost:7001"),
        findings: &[
            "settings:6: invalid-value: `peers`: `localhost:7001` is not an IP address and port such as `10.0.0.1:80`",
        ],
    },
    DaemonCase {
        name: "out of range",
        replacement: ("zone = hkd-a", "zone = hkd-a\ntraffic_threads = 0"),
        findings: &["settings:4: out-of-range: `traffic_threads`: `0` is not within 1 to 64"],
    },
    DaemonCase {
        name: "wrong unit",
        replacement: ("[keys]", "[limits]\nheader_timeout_ms = 5m\n[keys]"),
        findings: &[
            "settings:12: invalid-value: `header_timeout_ms`: `5m` is not a time such as 250, 250ms, 4s or 10min",
        ],
    },
    DaemonCase {
        name: "duplicate listen address",
        replacement: ("forwards = 127.0.0.1:7002", "forwards = 127.0.0.1:7001"),
        findings: &[
            "settings:7: conflict: `forwards` = 127.0.0.1:7001 clashes with `peers` = 127.0.0.1:7001",
        ],
    },
    DaemonCase {
        name: "unspecified address conflicts with a specific one",
        replacement: ("forwards = 127.0.0.1:7002", "forwards = 0.0.0.0:7001"),
        findings: &[
            "settings:7: conflict: `forwards` = 0.0.0.0:7001 clashes with `peers` = 127.0.0.1:7001",
        ],
    },
    DaemonCase {
        name: "short key is not revealed",
        replacement: ("peers = a-peer-key-of-24-bytes-1", "peers = tooshort"),
        findings: &["settings:12: out-of-range: `peers`: the key has 8 bytes, fewer than 16"],
    },
    DaemonCase {
        name: "same key for peers and callers",
        replacement: (
            "callers = a-caller-key-of-24-bytes",
            "callers = a-peer-key-of-24-bytes-1",
        ),
        findings: &[
            "settings:13: conflict: `peers` and `callers`: peers and callers need different keys",
        ],
    },
    DaemonCase {
        name: "all findings are reported",
        replacement: ("name = entry-1\nzone = hkd-a", "name = Entry 1\nzone ="),
        findings: &[
            "settings:2: invalid-value: `name`: `Entry 1` is not a name of 1 to 63 of a-z, 0-9, `-`, `_` and `.`",
            "settings:3: invalid-value: `zone`: the value is empty, not a name of 1 to 63 of a-z, 0-9, `-`, `_` and `.`",
        ],
    },
];

#[test]
fn daemon_settings_report_the_expected_findings() {
    for case in DAEMON_CASES {
        let (old, new) = case.replacement;
        assert!(DAEMON.contains(old), "{}", case.name);
        let text = DAEMON.replacen(old, new, 1);
        let findings: Vec<String> = DaemonSettings::parse(&text)
            .err()
            .unwrap_or_default()
            .iter()
            .map(ToString::to_string)
            .collect();
        assert_eq!(findings, case.findings, "{}", case.name);
    }
}

struct ValueCase {
    name: &'static str,
    path: &'static str,
    text: &'static str,
    findings: &'static [&'static str],
}

const VALUE_CASES: &[ValueCase] = &[
    ValueCase {
        name: "empty zone is valid",
        path: "teams/kinrin/zones/hkd-a",
        text: "",
        findings: &[],
    },
    ValueCase {
        name: "model service without models",
        path: "teams/kinrin/services/llm",
        text: "[service]\nkind = model\n",
        findings: &["teams/kinrin/services/llm:2: missing-key: a model service needs `models`"],
    },
    ValueCase {
        name: "plain service with models",
        path: "teams/kinrin/services/case",
        text: "[service]\nkind = plain\nmodels = a\n",
        findings: &["teams/kinrin/services/case:3: conflict: a plain service offers no models"],
    },
    ValueCase {
        name: "cold limit above warm limit",
        path: "teams/kinrin/services/case",
        text: "[service]\nkind = plain\ncold_in_flight_max = 9\nin_flight_max = 8\n",
        findings: &[
            "teams/kinrin/services/case:3: conflict: `cold_in_flight_max` is above `in_flight_max`",
        ],
    },
    ValueCase {
        name: "tickets for a model service",
        path: "teams/kinrin/services/llm",
        text: "[service]\nmodels = a\nrequires_ticket = true\nidempotent_routes = POST /x\n",
        findings: &[
            "teams/kinrin/services/llm:4: conflict: all calls of a model service are idempotent",
            "teams/kinrin/services/llm:3: conflict: calls of a model service take no tickets",
        ],
    },
    ValueCase {
        name: "route without a slash",
        path: "teams/kinrin/services/case",
        text: "[service]\nkind = plain\nidempotent_routes = POST search\n",
        findings: &[
            "teams/kinrin/services/case:3: invalid-value: `idempotent_routes`: `POST search` is not a method in capitals and a path, such as `POST /search`",
        ],
    },
    ValueCase {
        name: "not a number",
        path: "teams/kinrin/customers/otaru",
        text: "[customer]\nshare_weight = NaN\n",
        findings: &[
            "teams/kinrin/customers/otaru:2: invalid-value: `share_weight`: `NaN` is not a number",
        ],
    },
    ValueCase {
        name: "unknown subtree",
        path: "teams/kinrin/service/llm",
        text: "",
        findings: &[
            "teams/kinrin/service/llm: unknown-path: no value belongs here; paths are `fleet/zones/<zone>`, `teams/<team>/zones/<zone>`, `teams/<team>/services/<service>`, `teams/<team>/customers/<customer>` or `teams/<team>/rollouts/<service>` (did you mean `teams/kinrin/services/llm`?)",
        ],
    },
];

#[test]
fn values_report_the_expected_findings() {
    for case in VALUE_CASES {
        let path = case.path.parse().unwrap();
        let findings: Vec<String> = parse_value(&path, case.text)
            .err()
            .unwrap_or_default()
            .iter()
            .map(ToString::to_string)
            .collect();
        assert_eq!(findings, case.findings, "{}", case.name);
    }
}

struct TreeCase {
    name: &'static str,
    values: &'static [(&'static str, &'static str)],
    findings: &'static [&'static str],
}

const LLM: (&str, &str) = (
    "teams/kinrin/services/llm",
    "[service]\nmodels = wakai-8b\n",
);

const TREE_CASES: &[TreeCase] = &[
    TreeCase {
        name: "rollout of an unknown service",
        values: &[
            LLM,
            (
                "teams/kinrin/rollouts/llms",
                "[rollout]\nmodel = wakai-8b\nversion = 2\n",
            ),
        ],
        findings: &[
            "teams/kinrin/rollouts/llms: unknown-service: the team has no service `llms` (did you mean `llm`?)",
        ],
    },
    TreeCase {
        name: "rollout of an unknown model",
        values: &[
            LLM,
            (
                "teams/kinrin/rollouts/llm",
                "[rollout]\nmodel = wakai-8\nversion = 2\n",
            ),
        ],
        findings: &[
            "teams/kinrin/rollouts/llm: unknown-model: the service does not offer model `wakai-8` (did you mean `wakai-8b`?)",
        ],
    },
    TreeCase {
        name: "invalid service does not invalidate its rollout",
        values: &[
            ("teams/kinrin/services/llm", "[service]\n"),
            (
                "teams/kinrin/rollouts/llm",
                "[rollout]\nmodel = wakai-8b\nversion = 2\n",
            ),
        ],
        findings: &["teams/kinrin/services/llm: missing-key: a model service needs `models`"],
    },
    TreeCase {
        name: "customer in two teams",
        values: &[
            ("teams/kinrin/customers/otaru", ""),
            ("teams/wakai/customers/otaru", ""),
        ],
        findings: &[
            "teams/wakai/customers/otaru: duplicate-name: `teams/kinrin/customers/otaru` has the same name",
        ],
    },
    TreeCase {
        name: "customer and service may share a name",
        values: &[LLM, ("teams/kinrin/customers/llm", "")],
        findings: &[],
    },
    TreeCase {
        name: "unknown zone",
        values: &[
            ("fleet/zones/hkd-a", ""),
            ("teams/kinrin/zones/hkd-aa", "[zone]\nstate = out\n"),
        ],
        findings: &[
            "teams/kinrin/zones/hkd-aa: unknown-zone: the fleet has no zone `hkd-aa` (did you mean `hkd-a`?)",
        ],
    },
    TreeCase {
        name: "invalid path",
        values: &[("teams/Kinrin/customers/otaru", "")],
        findings: &[
            "teams/Kinrin/customers/otaru: unknown-path: `teams/Kinrin/customers/otaru` is not a settings path: use 1 to 63 of a-z, 0-9, `-`, `_` and `.`",
        ],
    },
];

#[test]
fn trees_report_the_expected_findings() {
    for case in TREE_CASES {
        let values: Vec<ValueText> = case
            .values
            .iter()
            .map(|(path, text)| ValueText {
                path: (*path).to_owned(),
                text: (*text).to_owned(),
            })
            .collect();
        let findings: Vec<String> = check_tree(&values)
            .iter()
            .map(ToString::to_string)
            .collect();
        assert_eq!(findings, case.findings, "{}", case.name);
    }
}

#[test]
fn builder_defaults_match_the_key_table() {
    let service = ServiceSettings::parse("[service]\nkind = plain\n").unwrap();
    let expected = ServiceSettings::builder().kind(ServiceKind::Plain).build();
    assert_eq!(service, expected);
    assert_eq!(CustomerSettings::parse(""), Ok(CustomerSettings::default()));
    assert_eq!(ZoneSettings::parse(""), Ok(ZoneSettings::default()));
    let rollout = RolloutSettings::parse("[rollout]\nmodel = m\nversion = 1\n").unwrap();
    assert_eq!(
        rollout,
        RolloutSettings::builder("m".parse().unwrap(), "1").build()
    );
    let daemon = DaemonSettings::parse(DAEMON).unwrap();
    let expected = DaemonSettings::builder("entry-1".parse().unwrap(), "hkd-a".parse().unwrap())
        .callers_address(daemon.callers_address)
        .peers_address(daemon.peers_address)
        .forwards_address(daemon.forwards_address)
        .operators_address(daemon.operators_address)
        .platform_addresses(daemon.platform_addresses.clone())
        .peer_keys(daemon.peer_keys.clone())
        .caller_keys(daemon.caller_keys.clone())
        .build();
    assert_eq!(daemon, expected);
    assert_eq!(daemon.shutdown_settle_ms, DurationMs(1_000));
    assert_eq!(daemon.shutdown_grace_ms, DurationMs(30_000));
}

proptest! {
    #[test]
    fn findings_of_arbitrary_text_refer_to_existing_lines(text in "(\\[?[a-z=; #\\r]{0,12}\\]?\n?){0,12}") {
        let findings = DaemonSettings::parse(&text).unwrap_err();
        let line_count = u32::try_from(text.split(['\n', '\r']).count()).unwrap();
        for finding in findings {
            prop_assert!(finding.line.is_none_or(|line| (1..=line_count).contains(&line)), "{finding}");
        }
    }

    #[test]
    fn valid_durations_round_trip(duration_ms in 0_u64..=3_600_000) {
        let text = format!("[service]\nmodels = m\nramp_ms = {duration_ms}\n");
        let settings = ServiceSettings::parse(&text).unwrap();
        prop_assert_eq!(settings.ramp_ms, DurationMs(duration_ms));
    }
}
