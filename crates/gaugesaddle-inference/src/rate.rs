//! Exponentially smoothed rates.

/// A rate of events per second, smoothed exponentially.
#[derive(Clone, Copy, Debug, Default)]
pub struct Rate {
    per_second: f64,
    /// Time at which `per_second` was computed, in milliseconds.
    updated_ms: u64,
}

impl Rate {
    /// Records one event at `now` (milliseconds). `smoothing_ms` is the time constant.
    pub fn record(&mut self, now: u64, smoothing_ms: f64) {
        self.per_second = self.at(now, smoothing_ms) + 1000.0 / smoothing_ms;
        self.updated_ms = now;
    }

    /// The rate at `now` (milliseconds), in events per second.
    pub fn at(&self, now: u64, smoothing_ms: f64) -> f64 {
        let elapsed_ms = now.saturating_sub(self.updated_ms) as f64;
        self.per_second * (-elapsed_ms / smoothing_ms).exp()
    }
}
