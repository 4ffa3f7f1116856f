//! Replay protection: each datagram of a process is accepted at most once. Reordered datagrams are accepted within a
//! window.

/// Number of counters behind the newest one that are still accepted: as many datagrams as the fastest sender sends
/// within one second, which the network may reorder.
const WINDOW_SIZE: u64 = 128;

/// The counters received from one process, as a sliding window (as in RFC 4303, section 3.4.3).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReplayWindow {
    newest: u64,
    /// Bit n is set if the counter `newest - n` has been received.
    received: u128,
}

impl ReplayWindow {
    /// Records a counter. Returns `false` if it was recorded before or lies behind the window.
    pub fn accept(&mut self, counter: u64) -> bool {
        if counter > self.newest {
            let advance = counter - self.newest;
            self.received = if advance < WINDOW_SIZE { self.received << advance } else { 0 };
            self.received |= 1;
            self.newest = counter;
            return true;
        }
        let behind = self.newest - counter;
        if behind >= WINDOW_SIZE || self.received >> behind & 1 == 1 {
            return false;
        }
        self.received |= 1 << behind;
        true
    }
}

#[cfg(test)]
mod tests;
