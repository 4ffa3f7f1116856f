//! Counts that decay exponentially.

/// Time constant of the decay, in milliseconds: long enough to register a few events per second at one backend, short
/// enough that a recovered backend is soon used again.
const DECAY_MS: f64 = 1500.0;

/// A count of events whose weights decay exponentially with time.
#[derive(Clone, Copy, Debug, Default)]
pub struct DecayingCount {
    count: f64,
    updated_ms: u64,
}

impl DecayingCount {
    /// Counts an event at `now` (milliseconds).
    pub fn add(&mut self, now: u64) {
        self.count = self.at(now) + 1.0;
        self.updated_ms = now;
    }

    /// The decayed count at `now` (milliseconds).
    pub fn at(&self, now: u64) -> f64 {
        let elapsed_ms = now.saturating_sub(self.updated_ms) as f64;
        self.count * (-elapsed_ms / DECAY_MS).exp()
    }
}
