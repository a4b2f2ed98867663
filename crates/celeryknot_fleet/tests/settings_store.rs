//! Settings in force do not depend on the order in which values come.

use celeryknot_core::{Revision, SettingPath};
use celeryknot_fleet::settings_store::{
    MergeOutcome, Rejection, SettingsStore, VALUE_SIZE_MAX_BYTES, ValueRecord,
};
use proptest::prelude::*;
use proptest::sample::SizeRange;

fn validate(path: &SettingPath, text: &str) -> Result<(), Rejection> {
    if text.starts_with("bad") {
        return Err(Rejection {
            findings: vec![format!("{path}:1: bad")],
        });
    }
    Ok(())
}

fn value(path: u8, revision: u64, text: Option<&str>) -> ValueRecord {
    ValueRecord {
        path: format!("fleet/zones/zone-{path}")
            .parse()
            .expect("a valid path"),
        revision: Revision(revision),
        text: text.map(Into::into),
    }
}

/// Values as a platform publishes them: each revision once, with one text.
fn published(count: impl Into<SizeRange>) -> impl Strategy<Value = Vec<ValueRecord>> {
    prop::collection::vec((0..4_u8, 0..4_u8), count).prop_map(|choices| {
        let text = |kind: u8| match kind {
            0 => None,
            1 => Some("bad"),
            _ => Some("good"),
        };
        (1..)
            .zip(choices)
            .map(|(revision, (path, kind))| value(path, revision, text(kind)))
            .collect()
    })
}

fn store_of(values: &[ValueRecord]) -> SettingsStore {
    let mut store = SettingsStore::new(validate);
    for value in values {
        store.merge(value);
    }
    store
}

type Seen = (Vec<(SettingPath, Revision)>, Vec<(SettingPath, Revision)>);

fn seen(store: &SettingsStore) -> Seen {
    let in_force = store.in_force().map(|(p, v)| (p.clone(), v.revision));
    let rejected = store.rejected().map(|(p, v)| (p.clone(), v.revision));
    (in_force.collect(), rejected.collect())
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(256))]

    #[test]
    fn any_order_ends_in_the_same_settings(
        values in published(0..24),
        order in prop::collection::vec(any::<prop::sample::Index>(), 0..96),
    ) {
        let in_order = store_of(&values);
        let mut shuffled = store_of(&[]);
        if !values.is_empty() {
            for index in order {
                shuffled.merge(index.get(&values));
            }
        }
        for value in values.iter().rev() {
            shuffled.merge(value);
        }
        prop_assert_eq!(seen(&in_order), seen(&shuffled));
        prop_assert_eq!(in_order.digest(), shuffled.digest());
    }

    #[test]
    fn a_value_in_force_never_goes_back(
        values in published(1..24),
        order in prop::collection::vec(any::<prop::sample::Index>(), 0..96),
    ) {
        let mut store = store_of(&[]);
        for index in order {
            let offered = index.get(&values);
            let before = store.get(&offered.path).map(|value| value.revision);
            store.merge(offered);
            let after = store.get(&offered.path).map(|value| value.revision);
            prop_assert!(after >= before);
        }
    }

    #[test]
    fn pulls_bring_two_stores_together(
        values in published(0..40),
        known in prop::collection::vec(any::<bool>(), 40),
        page_size_bytes in 1..400_usize,
    ) {
        let mut one = store_of(&values);
        let half: Vec<_> = values.iter().zip(&known).filter(|(_, k)| **k).collect();
        let half: Vec<ValueRecord> = half.into_iter().map(|(value, _)| value.clone()).collect();
        let mut other = store_of(&half);
        pull_all(&mut other, &one, page_size_bytes);
        pull_all(&mut one, &other, page_size_bytes);
        prop_assert_eq!(seen(&one), seen(&other));
        prop_assert_eq!(one.digest(), other.digest());
    }
}

fn pull_all(to: &mut SettingsStore, from: &SettingsStore, page_size_bytes: usize) {
    let mut before = None;
    for _ in 0..1_000 {
        let (page, next) = from.page(&to.buckets(), before, page_size_bytes);
        for value in &page {
            to.merge(value);
        }
        if next.is_none() {
            return;
        }
        before = next;
    }
    panic!("the pages do not end");
}

/// One value offered after others.
struct Case {
    name: &'static str,
    before: &'static [(u64, Option<&'static str>)],
    offered: (u64, Option<&'static str>),
    expected: MergeOutcome,
    in_force: Option<u64>,
}

#[test]
fn the_highest_accepted_revision_is_in_force() {
    let cases = [
        Case {
            name: "a first value",
            before: &[],
            offered: (5, Some("good")),
            expected: MergeOutcome::Accepted,
            in_force: Some(5),
        },
        Case {
            name: "a lower revision",
            before: &[(5, Some("good"))],
            offered: (4, Some("good")),
            expected: MergeOutcome::Stale,
            in_force: Some(5),
        },
        Case {
            name: "a removal",
            before: &[(5, Some("good"))],
            offered: (6, None),
            expected: MergeOutcome::Accepted,
            in_force: Some(6),
        },
        Case {
            name: "a late value after a removal",
            before: &[(6, None)],
            offered: (5, Some("good")),
            expected: MergeOutcome::Stale,
            in_force: Some(6),
        },
        Case {
            name: "an invalid value",
            before: &[(5, Some("good"))],
            offered: (6, Some("bad")),
            expected: MergeOutcome::Rejected,
            in_force: Some(5),
        },
        Case {
            name: "the last accepted value after an invalid one",
            before: &[(6, Some("bad"))],
            offered: (5, Some("good")),
            expected: MergeOutcome::Accepted,
            in_force: Some(5),
        },
        Case {
            name: "an invalid value alone",
            before: &[],
            offered: (6, Some("bad")),
            expected: MergeOutcome::Rejected,
            in_force: None,
        },
    ];
    for case in cases {
        let before = case.before.iter().map(|(r, text)| value(0, *r, *text));
        let mut store = store_of(&before.collect::<Vec<_>>());
        let offered = value(0, case.offered.0, case.offered.1);
        assert_eq!(store.merge(&offered), case.expected, "{}", case.name);
        let in_force = store.get(&offered.path).map(|value| value.revision);
        assert_eq!(in_force, case.in_force.map(Revision), "{}", case.name);
    }
}

#[test]
fn a_value_that_is_too_large_is_rejected_with_its_path() {
    let mut store = store_of(&[]);
    let text = "x".repeat(VALUE_SIZE_MAX_BYTES + 1);
    assert_eq!(
        store.merge(&value(0, 1, Some(&text))),
        MergeOutcome::Rejected
    );
    let (path, rejected) = store.rejected().next().unwrap();
    assert!(rejected.rejection.findings[0].starts_with(path.as_str()));
}
