//! Active settings are independent of the order in which values arrive.

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

/// Values as published by the platform, with one value per revision.
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

type Revisions = (Vec<(SettingPath, Revision)>, Vec<(SettingPath, Revision)>);

fn revisions(store: &SettingsStore) -> Revisions {
    let active = store.active_values().map(|(p, v)| (p.clone(), v.revision));
    let rejected = store.rejected().map(|(p, v)| (p.clone(), v.revision));
    (active.collect(), rejected.collect())
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(256))]

    #[test]
    fn settings_are_independent_of_value_order(
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
        prop_assert_eq!(revisions(&in_order), revisions(&shuffled));
        prop_assert_eq!(in_order.digest(), shuffled.digest());
    }

    #[test]
    fn active_value_never_reverts(
        values in published(1..24),
        order in prop::collection::vec(any::<prop::sample::Index>(), 0..96),
    ) {
        let mut store = store_of(&[]);
        for index in order {
            let merged = index.get(&values);
            let before = store.get(&merged.path).map(|value| value.revision);
            store.merge(merged);
            let after = store.get(&merged.path).map(|value| value.revision);
            prop_assert!(after >= before);
        }
    }

    #[test]
    fn pulls_make_two_stores_converge(
        values in published(0..40),
        is_present in prop::collection::vec(any::<bool>(), 40),
        page_size_bytes in 1..400_usize,
    ) {
        let mut one = store_of(&values);
        let half: Vec<_> = values.iter().zip(&is_present).filter(|(_, k)| **k).collect();
        let half: Vec<ValueRecord> = half.into_iter().map(|(value, _)| value.clone()).collect();
        let mut other = store_of(&half);
        pull_all(&mut other, &one, page_size_bytes);
        pull_all(&mut one, &other, page_size_bytes);
        prop_assert_eq!(revisions(&one), revisions(&other));
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
    panic!("a pull did not end within 1,000 pages");
}

/// A value merged after others.
struct Case {
    name: &'static str,
    before: &'static [(u64, Option<&'static str>)],
    merged: (u64, Option<&'static str>),
    expected: MergeOutcome,
    active: Option<u64>,
}

#[test]
fn highest_accepted_revision_is_active() {
    let cases = [
        Case {
            name: "a first value",
            before: &[],
            merged: (5, Some("good")),
            expected: MergeOutcome::Accepted,
            active: Some(5),
        },
        Case {
            name: "a lower revision",
            before: &[(5, Some("good"))],
            merged: (4, Some("good")),
            expected: MergeOutcome::Stale,
            active: Some(5),
        },
        Case {
            name: "a removal",
            before: &[(5, Some("good"))],
            merged: (6, None),
            expected: MergeOutcome::Accepted,
            active: Some(6),
        },
        Case {
            name: "a late value after a removal",
            before: &[(6, None)],
            merged: (5, Some("good")),
            expected: MergeOutcome::Stale,
            active: Some(6),
        },
        Case {
            name: "an invalid value",
            before: &[(5, Some("good"))],
            merged: (6, Some("bad")),
            expected: MergeOutcome::Rejected,
            active: Some(5),
        },
        Case {
            name: "the last accepted value after an invalid one",
            before: &[(6, Some("bad"))],
            merged: (5, Some("good")),
            expected: MergeOutcome::Accepted,
            active: Some(5),
        },
        Case {
            name: "an invalid value alone",
            before: &[],
            merged: (6, Some("bad")),
            expected: MergeOutcome::Rejected,
            active: None,
        },
    ];
    for case in cases {
        let before = case.before.iter().map(|(r, text)| value(0, *r, *text));
        let mut store = store_of(&before.collect::<Vec<_>>());
        let merged = value(0, case.merged.0, case.merged.1);
        assert_eq!(store.merge(&merged), case.expected, "{}", case.name);
        let active = store.get(&merged.path).map(|value| value.revision);
        assert_eq!(active, case.active.map(Revision), "{}", case.name);
    }
}

#[test]
fn oversized_value_is_rejected_with_its_path() {
    let mut store = store_of(&[]);
    let text = "x".repeat(VALUE_SIZE_MAX_BYTES + 1);
    assert_eq!(
        store.merge(&value(0, 1, Some(&text))),
        MergeOutcome::Rejected
    );
    let (path, rejected) = store.rejected().next().unwrap();
    assert!(rejected.rejection.findings[0].starts_with(path.as_str()));
}
