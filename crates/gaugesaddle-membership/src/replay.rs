//! Which datagrams of a process were here: each counts once, late ones too as long as they are not too late.

/// Datagrams behind the newest that may still come: what a network reorders within a second of the fastest sender.
const BEHIND: u64 = 128;

/// What is known of one process's counters.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Window {
    newest: u64,
    /// Bit n: the one n behind the newest was here.
    seen: u128,
}

impl Window {
    /// Whether this one is new; from now on it is not.
    pub fn fresh(&mut self, counter: u64) -> bool {
        if counter > self.newest {
            let on = counter - self.newest;
            self.seen = if on < BEHIND { self.seen << on } else { 0 };
            self.seen |= 1;
            self.newest = counter;
            return true;
        }
        let behind = self.newest - counter;
        if behind >= BEHIND || self.seen >> behind & 1 == 1 {
            return false;
        }
        self.seen |= 1 << behind;
        true
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn each_counts_once_in_any_order() {
        let mut window = Window::default();
        assert!([5, 3, 4, 9, 1].into_iter().all(|n| window.fresh(n)));
        assert!(![5, 3, 4, 9, 1].into_iter().any(|n| window.fresh(n)));
        assert!(window.fresh(9 + BEHIND - 1));
        assert!(window.fresh(10) && !window.fresh(9), "9 was here, and is too late now");
        assert!(window.fresh(10_000) && !window.fresh(10_000 - BEHIND));
        assert!(window.fresh(u64::MAX) && !window.fresh(u64::MAX));
    }
}
