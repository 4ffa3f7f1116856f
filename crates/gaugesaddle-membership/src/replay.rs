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
mod tests;
