//! With whom a daemon exchanges messages: everyone in a small fleet, a few in a large one.

use celeryknot_core::MemberName;
use celeryknot_core::id::rendezvous_score;
use smallvec::SmallVec;

/// Most members of a fleet in which each daemon talks to every other one.
pub const MESH_MEMBERS_MAX: usize = 16;

/// A daemon's neighbours: at most six beyond the mesh.
pub type Neighbours = SmallVec<[MemberName; MESH_MEMBERS_MAX]>;

/// Returns the neighbours of `own` among all members, itself included.
///
/// Beyond the mesh the members stand in a ring in the order of their hashes. A member's
/// neighbours are the ones at distance 1, s and s² on both sides, where s is the cube root of
/// their number: the relation is mutual, the graph connected, and a message reaches everyone in
/// about 3s/2 steps.
///
/// # Examples
///
/// ```
/// use celeryknot_core::MemberName;
/// use celeryknot_fleet::neighbours::neighbours;
///
/// let names: Vec<MemberName> = (0..64)
///     .map(|i| format!("daemon-{i}").parse())
///     .collect::<Result<_, _>>()?;
/// assert_eq!(neighbours(&names[0], &names).len(), 6);
/// assert_eq!(neighbours(&names[0], &names[..9]).len(), 8);
/// # Ok::<(), celeryknot_core::IdError>(())
/// ```
pub fn neighbours(own: &MemberName, members: &[MemberName]) -> Neighbours {
    if members.len() <= MESH_MEMBERS_MAX {
        return members
            .iter()
            .filter(|name| *name != own)
            .cloned()
            .collect();
    }
    let mut ring: Vec<(u64, &MemberName)> = members
        .iter()
        .map(|name| (rendezvous_score(RING_SALT, name.as_str()), name))
        .collect();
    ring.sort();
    let Some(position) = ring.iter().position(|(_, name)| *name == own) else {
        return Neighbours::new();
    };
    let mut found = Neighbours::new();
    for distance in distances(ring.len()) {
        for index in [position + distance, position + ring.len() - distance] {
            let name = ring[index % ring.len()].1;
            if name != own && !found.contains(name) {
                found.push(name.clone());
            }
        }
    }
    found
}

const RING_SALT: u64 = 0x7269_6e67;

fn distances(len: usize) -> [usize; 3] {
    let mut root = 1;
    while (root + 1_usize).pow(3) <= len {
        root += 1;
    }
    [1, root, root * root]
}
