//! Finds the few endpoints with the lowest values in one pass without sorting.

/// An endpoint and its value.
#[derive(Debug, Clone, Copy)]
pub(super) struct Entry<K> {
    pub(super) value: K,
    pub(super) index: usize,
    pub(super) base_cost_ms: f64,
}

/// The `N` endpoints with the lowest values, in ascending order.
#[derive(Debug)]
pub(super) struct LowestN<K, const N: usize> {
    entries: [Option<Entry<K>>; N],
}

impl<K: Copy, const N: usize> Default for LowestN<K, N> {
    fn default() -> Self {
        Self { entries: [None; N] }
    }
}

impl<K: Copy + PartialOrd, const N: usize> LowestN<K, N> {
    /// Returns whether [`Self::insert`] would keep an endpoint with the value.
    #[inline]
    pub(super) fn qualifies(&self, value: K) -> bool {
        self.entries[N - 1].is_none_or(|last| value < last.value)
    }

    /// Inserts an endpoint if its value is among the lowest.
    pub(super) fn insert(&mut self, value: K, index: usize, base_cost_ms: f64) {
        if !self.qualifies(value) {
            return;
        }
        let mut pending = Some(Entry {
            value,
            index,
            base_cost_ms,
        });
        for slot in &mut self.entries {
            let Some(entry) = pending else { return };
            if slot.is_none_or(|other| entry.value < other.value) {
                std::mem::swap(slot, &mut pending);
            }
        }
    }

    /// Iterates over the endpoints in ascending order of value.
    pub(super) fn iter(&self) -> impl Iterator<Item = &Entry<K>> {
        self.entries.iter().flatten()
    }
}
