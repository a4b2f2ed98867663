//! The peers that a daemon exchanges messages with: all in a small fleet, a few in a large one.

use std::collections::BTreeMap;

use celeryknot_core::MemberName;
use celeryknot_core::id::rendezvous_score;
use smallvec::SmallVec;

/// Maximum size of a fleet in which each daemon exchanges messages with every other one.
pub const MESH_MEMBERS_MAX: usize = 16;

/// A daemon's neighbours; at most six in fleets larger than a full mesh.
pub type Neighbours = SmallVec<[MemberName; MESH_MEMBERS_MAX]>;

/// The members in hash order, from which each daemon derives its neighbours.
///
/// Up to [`MESH_MEMBERS_MAX`] members form a full mesh. In a larger fleet, a member's neighbours
/// are those at distance 1, s and s² on both sides, where s is the cube root of the fleet size.
/// The relation is symmetric, the graph is connected, and a message reaches all members in about
/// 3s/2 hops.
///
/// # Examples
///
/// ```
/// use celeryknot_core::MemberName;
/// use celeryknot_fleet::neighbours::Ring;
///
/// let names: Vec<MemberName> = (0..64)
///     .map(|i| format!("daemon-{i}").parse())
///     .collect::<Result<_, _>>()?;
/// assert_eq!(Ring::new(names.clone()).neighbours(&names[0]).len(), 6);
/// assert_eq!(Ring::new(names[..9].to_vec()).neighbours(&names[0]).len(), 8);
/// # Ok::<(), celeryknot_core::IdError>(())
/// ```
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Ring {
    members: Vec<MemberName>,
    positions: BTreeMap<MemberName, usize>,
}

/// The spanning tree of the ring along which a message is relayed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Tree {
    /// The longest distances first.
    LongFirst,
    /// The shortest distances first, which gives most members a different parent.
    ShortFirst,
}

impl Ring {
    /// Creates the ring of all members.
    pub fn new(mut members: Vec<MemberName>) -> Self {
        members.sort_by_key(|name| (rendezvous_score(RING_SALT, name.as_str()), name.clone()));
        members.dedup();
        let positions = members.iter().cloned().zip(0..).collect();
        Self { members, positions }
    }

    /// Returns whether all members are neighbours of each other.
    pub fn is_mesh(&self) -> bool {
        self.members.len() <= MESH_MEMBERS_MAX
    }

    /// Returns the neighbours of a member.
    pub fn neighbours(&self, own: &MemberName) -> Neighbours {
        if self.is_mesh() {
            let others = self.members.iter().filter(|name| *name != own);
            return others.cloned().collect();
        }
        let Some(position) = self.positions.get(own) else {
            return Neighbours::new();
        };
        let mut found = Neighbours::new();
        for step in self.steps() {
            let name = self.member_at(*position, step);
            if name != own && !found.contains(name) {
                found.push(name.clone());
            }
        }
        found
    }

    /// Returns the neighbours to which `own` relays a message that started at `origin`.
    ///
    /// Each member has one parent in the tree of an origin, so a message reaches every member
    /// once if all members have the same view. A message of an unknown origin goes to all
    /// neighbours.
    pub fn children(&self, origin: &MemberName, own: &MemberName, tree: Tree) -> Neighbours {
        if self.is_mesh() {
            return if origin == own {
                self.neighbours(own)
            } else {
                Neighbours::new()
            };
        }
        let (Some(origin_position), Some(position)) =
            (self.positions.get(origin), self.positions.get(own))
        else {
            return self.neighbours(own);
        };
        let own_offset = self.offset(*origin_position, *position);
        let mut found = Neighbours::new();
        for step in self.steps() {
            let name = self.member_at(*position, step);
            let offset = self.offset(*origin_position, self.positions[name]);
            let is_child = offset != 0 && self.parent(offset, tree) == own_offset;
            if is_child && !found.contains(name) {
                found.push(name.clone());
            }
        }
        found
    }

    fn len(&self) -> i64 {
        i64::try_from(self.members.len()).unwrap_or(i64::MAX)
    }

    fn member_at(&self, position: usize, step: i64) -> &MemberName {
        let position = i64::try_from(position).unwrap_or(0);
        let index = (position + step).rem_euclid(self.len());
        &self.members[usize::try_from(index).unwrap_or(0)]
    }

    /// Returns the signed distance between two positions in the shorter direction.
    fn offset(&self, from: usize, to: usize) -> i64 {
        let distance =
            |a: usize, b: usize| i64::try_from(b).unwrap_or(0) - i64::try_from(a).unwrap_or(0);
        self.shortest_offset(distance(from, to))
    }

    fn shortest_offset(&self, offset: i64) -> i64 {
        let offset = offset.rem_euclid(self.len());
        if offset * 2 > self.len() {
            offset - self.len()
        } else {
            offset
        }
    }

    /// Returns the offset of the parent, which is one hop nearer to the origin.
    fn parent(&self, offset: i64, tree: Tree) -> i64 {
        let root = self.cube_root();
        let square = root * root;
        let long = round_to_multiple(offset, square);
        let middle = round_to_multiple(offset - long, root);
        let short = offset - long - middle;
        let steps = [(short, 1), (middle, root), (long, square)];
        let mut shortest_first = steps.iter().copied();
        let mut longest_first = steps.iter().rev().copied();
        let is_nonzero = |(part, _): &(i64, i64)| *part != 0;
        let last = match tree {
            Tree::LongFirst => shortest_first.find(is_nonzero),
            Tree::ShortFirst => longest_first.find(is_nonzero),
        };
        let step = last.map_or(0, |(part, distance)| part.signum() * distance);
        self.shortest_offset(offset - step)
    }

    /// Returns the cube root of the number of members, rounded down.
    fn cube_root(&self) -> i64 {
        let mut root = 1_i64;
        while (root + 1).pow(3) <= self.len() {
            root += 1;
        }
        root
    }

    fn steps(&self) -> [i64; 6] {
        let root = self.cube_root();
        [1, -1, root, -root, root * root, -root * root]
    }
}

const RING_SALT: u64 = 0x7269_6e67;

/// Rounds to the nearest multiple of a unit. Halves are rounded up, so adding one unit to the
/// offset adds exactly one unit to the result.
fn round_to_multiple(offset: i64, unit: i64) -> i64 {
    (offset + unit / 2).div_euclid(unit) * unit
}
