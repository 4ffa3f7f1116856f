//! Local health multiplier (Lifeguard, section IV.A): a process that is slow itself, or whose datagrams get lost,
//! probes less often and waits longer before it suspects other members.

use gaugesaddle_balancer::Micros;

/// Highest multiplier of time-outs. A higher one would slow down a process for too long after it has recovered.
const MAX_MULTIPLIER: u32 = 4;

/// The local health score: 0 is healthy, at most `MAX_MULTIPLIER - 1`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LocalHealth(u32);

impl LocalHealth {
    /// Records that a probe was acknowledged.
    pub fn improve(&mut self) {
        self.0 = self.0.saturating_sub(1);
    }

    /// Records an indication of a local fault: no helper received the ping request, a suspicion had to be refuted, or
    /// this process stalled.
    pub fn degrade(&mut self) {
        self.0 = (self.0 + 1).min(MAX_MULTIPLIER - 1);
    }

    /// Multiplies a time-out by the current multiplier.
    pub fn scale(self, timeout: Micros) -> Micros {
        Micros(timeout.0 * u64::from(self.multiplier()))
    }

    /// The current multiplier, 1 to 4.
    pub fn multiplier(self) -> u32 {
        self.0 + 1
    }
}

#[cfg(test)]
mod tests;
