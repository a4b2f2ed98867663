//! The few endpoints with the least values, found in one pass without sorting.

/// An endpoint and its value.
#[derive(Debug, Clone, Copy)]
pub(super) struct Found<K> {
    pub(super) value: K,
    pub(super) index: usize,
    pub(super) base_ms: f64,
}

/// The `N` endpoints with the least values, the least first.
#[derive(Debug)]
pub(super) struct Best<K, const N: usize> {
    found: [Option<Found<K>>; N],
}

impl<K: Copy, const N: usize> Default for Best<K, N> {
    fn default() -> Self {
        Self { found: [None; N] }
    }
}

impl<K: Copy + PartialOrd, const N: usize> Best<K, N> {
    /// Tells whether an endpoint with the value would be taken in.
    #[inline]
    pub(super) fn wants(&self, value: K) -> bool {
        self.found[N - 1].is_none_or(|last| value < last.value)
    }

    /// Takes in an endpoint if its value is among the least.
    pub(super) fn offer(&mut self, value: K, index: usize, base_ms: f64) {
        if !self.wants(value) {
            return;
        }
        let mut entering = Some(Found {
            value,
            index,
            base_ms,
        });
        for held in &mut self.found {
            let Some(found) = entering else { return };
            if held.is_none_or(|other| found.value < other.value) {
                std::mem::swap(held, &mut entering);
            }
        }
    }

    /// Walks the endpoints taken in, the least first.
    pub(super) fn iter(&self) -> impl Iterator<Item = &Found<K>> {
        self.found.iter().flatten()
    }
}
