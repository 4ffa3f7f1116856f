//! Smoothed rates.

/// A rate of events a second, smoothed exponentially.
#[derive(Clone, Copy, Debug, Default)]
pub struct Rate {
    per_second: f64,
    updated: u64,
}

impl Rate {
    /// Notes one event at a time in milliseconds; `smoothing` in milliseconds.
    pub fn note(&mut self, now: u64, smoothing: f64) {
        self.per_second = self.at(now, smoothing) + 1000.0 / smoothing;
        self.updated = now;
    }

    /// The rate at a time.
    pub fn at(&self, now: u64, smoothing: f64) -> f64 {
        let passed = now.saturating_sub(self.updated) as f64;
        self.per_second * (-passed / smoothing).exp()
    }
}
