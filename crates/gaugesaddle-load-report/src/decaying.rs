//! Counts that fade.

/// A count whose events lose their weight over time.
#[derive(Clone, Copy, Debug, Default)]
pub struct Decaying {
    count: f64,
    updated: u64,
}

/// An event's weight falls to 1/e in so long, in ms: long enough to see a few events a second at one backend, short enough
/// that a backend that has recovered is used again soon.
const FADING: f64 = 1500.0;

impl Decaying {
    pub fn add(&mut self, now: u64) {
        self.count = self.at(now) + 1.0;
        self.updated = now;
    }

    pub fn at(&self, now: u64) -> f64 {
        self.count * (-(now.saturating_sub(self.updated) as f64) / FADING).exp()
    }
}
