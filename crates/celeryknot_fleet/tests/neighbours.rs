//! Messages reach every member once over few links.

use std::collections::{BTreeMap, BTreeSet};

use celeryknot_core::MemberName;
use celeryknot_fleet::neighbours::{Ring, Tree};

const COUNTS: [usize; 9] = [1, 2, 9, 16, 17, 27, 64, 100, 320];

fn names(count: usize) -> Vec<MemberName> {
    let name = |index| format!("daemon-{index}").parse().expect("a valid name");
    (0..count).map(name).collect()
}

#[test]
fn neighbours_are_mutual_and_few() {
    for count in COUNTS {
        let names = names(count);
        let ring = Ring::new(names.clone());
        for name in &names {
            let neighbours = ring.neighbours(name);
            assert!(!neighbours.contains(name), "{count}");
            assert!(
                neighbours.len() <= if count <= 16 { 15 } else { 6 },
                "{count}"
            );
            let is_mutual = |other: &MemberName| ring.neighbours(other).contains(name);
            assert!(neighbours.iter().all(is_mutual), "{count}");
        }
    }
}

/// Relays a message from its origin; returns how often each member received it, and the hops.
fn relay_along_tree(
    ring: &Ring,
    origin: &MemberName,
    tree: Tree,
) -> (BTreeMap<MemberName, u32>, u32) {
    let mut received = BTreeMap::from([(origin.clone(), 1)]);
    let mut senders = BTreeSet::from([origin.clone()]);
    let mut hops = 0;
    while !senders.is_empty() {
        let mut next = BTreeSet::new();
        for sender in senders {
            for child in ring.children(origin, &sender, tree) {
                *received.entry(child.clone()).or_insert(0) += 1;
                next.insert(child);
            }
        }
        senders = next;
        hops += 1;
        assert!(hops < 100, "the message is relayed in a loop");
    }
    (received, hops)
}

#[test]
fn tree_reaches_every_member_once() {
    for count in COUNTS {
        let names = names(count);
        let ring = Ring::new(names.clone());
        for tree in [Tree::LongFirst, Tree::ShortFirst] {
            for origin in names.iter().step_by(7) {
                let (received, hops) = relay_along_tree(&ring, origin, tree);
                assert_eq!(received.len(), count, "{count} members, {tree:?}");
                assert!(
                    received.values().all(|count| *count == 1),
                    "{count}, {tree:?}"
                );
                assert!(hops <= 14, "{count} members, {tree:?}: {hops} hops");
            }
        }
    }
}

#[test]
fn message_from_an_unknown_origin_goes_to_all_neighbours() {
    let names = names(64);
    let ring = Ring::new(names[1..].to_vec());
    let children = ring.children(&names[0], &names[5], Tree::LongFirst);
    assert_eq!(children, ring.neighbours(&names[5]));
}
